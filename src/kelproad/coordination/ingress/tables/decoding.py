"""States of a table with decoded rows, decoded once for all users.

A reader of the store compares each report of an endpoint with the last one that
held new information, and registers it.  At large sites that is many reports a
second, and decoding makes up half of the cost of each.
"""

from collections.abc import Callable
from typing import Generic, TypeVar

import attrs

from .tablestates import Revision, StoredRow, TableState

__all__ = ['DecodedRow', 'DecodedState']

Payload = TypeVar('Payload')


@attrs.frozen
class DecodedRow(Generic[Payload]):
    """A row of the store with its decoded content."""

    row: StoredRow
    payload: Payload


@attrs.frozen
class DecodedState(Generic[Payload]):
    """Rows of a table with their decoded content.

    Attributes
    ----------
    revision
        Newest revision of the store when it answered.
    whole
        Whether these are all rows, or those that changed.
    """

    revision: Revision
    rows: list[DecodedRow[Payload]]
    whole: bool

    @classmethod
    def from_state(
        cls,
        state: TableState,
        decode: Callable[[StoredRow], Payload],
    ) -> 'DecodedState[Payload]':
        """Decode each row of a state."""
        rows = [DecodedRow(row, decode(row)) for row in state.rows]
        return cls(state.revision, rows, state.whole)
