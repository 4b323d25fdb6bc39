"""Structured log records: an event's name and its fields.

A record is one line of a log.  It contains a decision or an observation, the
inputs, their age or version, and the outcome.
"""

import contextlib
import contextvars
import logging
from collections.abc import Hashable, Iterator

import attrs

__all__ = [
    'EVENT_FIELDS',
    'OnceRecorder',
    'current_request',
    'isolate_row',
    'record',
]

_logger = logging.getLogger(__name__)

#: Attribute of a log record that holds the fields of its event.
EVENT_FIELDS = 'event_fields'
#: Id of the request whose task is running, empty outside of one.  A task
#: inherits it from the task that starts it.
current_request: contextvars.ContextVar[str] = contextvars.ContextVar(
    'current_request',
    default='',
)
#: Keys of which a recorder records each once, at most.
_MAX_KEYS = 100


def record(logger: logging.Logger, event: str, /, **fields: object) -> None:
    """Log one structured record at level INFO.

    Parameters
    ----------
    logger
        Logger of the calling module.
    event
        Name of the event, in snake case.
    fields
        Inputs and outcome, which must be JSON-serializable.
    """
    logger.info(event, extra={EVENT_FIELDS: fields})


@contextlib.contextmanager
def isolate_row(table: str, row: str) -> Iterator[None]:
    """Record an error in the block with its traceback, and go on after it.

    A table whose adoption fails is read again and confirms nothing; if one row
    made it fail each time, an instance would soon refuse all keys.

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


@attrs.define
class OnceRecorder:
    """Recorder of events that others may cause any number of times.

    Each key is recorded once, and ``_MAX_KEYS`` keys at most.
    """

    _logger: logging.Logger
    _keys: set[Hashable] = attrs.field(factory=set)

    def record(self, key: Hashable, event: str, **fields: object) -> None:
        """Record an event unless one with its key was recorded before."""
        if key in self._keys or len(self._keys) >= _MAX_KEYS:
            return
        self._keys.add(key)
        record(self._logger, event, **fields)
