"""Errors of this program that concern one row, kept from all others.

A table whose adoption fails is read again and confirms nothing; if one row made
it fail each time, an instance would soon refuse all keys.
"""

import contextlib
import logging
from collections.abc import Iterator

from ....state.records import EVENT_FIELDS

__all__ = ['isolate_row']

_logger = logging.getLogger(__name__)


@contextlib.contextmanager
def isolate_row(table: str, row: str) -> Iterator[None]:
    """Record an error in the block with its traceback, and go on after it.

    Parameters
    ----------
    table
        Name of a table.
    row
        Key of the row that the block concerns.
    """
    try:
        yield
    except Exception:
        _logger.exception(
            'row_failed', extra={EVENT_FIELDS: {'table': table, 'row': row}}
        )
