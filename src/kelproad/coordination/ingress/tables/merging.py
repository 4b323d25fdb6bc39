"""Keeping what is known of a row against older content of it.

The copy from which the store was restored holds rows as they were: a
configuration that was replaced since, endpoints that have left since or said
that they leave.  A write that was delayed is older than what replaced it, too.
"""

import logging
from collections.abc import Callable
from typing import Generic

import attrs

from ....state.records import record
from .tablestates import DecodedRow, DecodedState, Payload

__all__ = ['RowMerger', 'RowOrder']

_logger = logging.getLogger(__name__)
#: Deleted rows that are remembered.  Endpoints come and go by tens a minute,
#: and copies are some seconds old.
_MAX_DELETED = 1_000
#: Keys of rows that are logged.
_MAX_SHOWN = 10


def _outlasts_no_copy(_content: object) -> bool:
    """Return that a content may be deleted, so that a copy may lack it."""
    return False


@attrs.frozen
class RowOrder(Generic[Payload]):
    """How the contents of a row are compared.

    Attributes
    ----------
    is_equivalent
        Whether a content holds no new information compared with another.
    is_older
        Whether one content was written before another; false where that is not
        known.
    outlasts_copies
        Whether a content is never deleted, so that a copy without it is too
        old.
    """

    is_equivalent: Callable[[Payload, Payload], bool]
    is_older: Callable[[Payload, Payload], bool]
    outlasts_copies: Callable[[Payload], bool] = _outlasts_no_copy


class RowMerger(Generic[Payload]):
    """The newest known content of each row of a table."""

    def __init__(self, table: str, order: RowOrder[Payload]) -> None:
        """Start without rows."""
        self._table = table
        self._order = order
        self._present: dict[str, DecodedRow[Payload]] = {}
        #: Last content of deleted rows, the latest one last.
        self._deleted: dict[str, DecodedRow[Payload]] = {}

    def merge(self, state: DecodedState[Payload]) -> DecodedState[Payload]:
        """Return a state in which nothing is older than what is known."""
        if not state.whole:
            return attrs.evolve(state, rows=self._merge_changes(state))
        merged = self._merge_whole(state)
        for key in self._present.keys() - merged.keys():
            self._delete(key)
        for decoded in merged.values():
            self._store(decoded)
        return attrs.evolve(state, rows=list(merged.values()))

    def _merge_changes(
        self, state: DecodedState[Payload]
    ) -> list[DecodedRow[Payload]]:
        """Select the changes that are not older than what is known.

        There may be several of one row, in the order of their writing.
        """
        merged: list[DecodedRow[Payload]] = []
        outdated: list[str] = []
        for decoded in state.rows:
            if self._is_outdated(decoded):
                outdated.append(decoded.row.key)
            else:
                self._store(decoded)
                merged.append(decoded)
        self._record('rows_outdated', outdated, state)
        return merged

    def _merge_whole(
        self, state: DecodedState[Payload]
    ) -> dict[str, DecodedRow[Payload]]:
        """Replace the rows that are older than what is known."""
        kept = []
        merged = {
            decoded.row.key: decoded
            for decoded in state.rows
            if not self._was_deleted(decoded)
        }
        for key, known in self._present.items():
            offered = merged.get(key)
            is_kept = (
                self._order.outlasts_copies(known.payload)
                if offered is None
                else self._order.is_older(offered.payload, known.payload)
            )
            if not is_kept:
                continue
            if offered is None or not self._order.is_equivalent(
                offered.payload, known.payload
            ):
                kept.append(key)
            row = attrs.evolve(known.row, revision=state.revision)
            merged[key] = attrs.evolve(known, row=row)
        self._record('rows_kept', kept, state)
        return merged

    def _is_outdated(self, decoded: DecodedRow[Payload]) -> bool:
        key = decoded.row.key
        known = self._present.get(key)
        if known is None or decoded.row.encoded is None:
            return False
        return self._order.is_older(decoded.payload, known.payload)

    def _was_deleted(self, decoded: DecodedRow[Payload]) -> bool:
        """Return whether all of a table has a row as it was when deleted."""
        deleted = self._deleted.get(decoded.row.key)
        return deleted is not None and not self._order.is_older(
            deleted.payload, decoded.payload
        )

    def _store(self, decoded: DecodedRow[Payload]) -> None:
        key = decoded.row.key
        if decoded.row.encoded is None:
            self._delete(key)
            return
        self._present[key] = decoded
        self._deleted.pop(key, None)

    def _delete(self, key: str) -> None:
        last = self._present.pop(key, None)
        if last is None:
            return
        self._deleted[key] = last
        if len(self._deleted) > _MAX_DELETED:
            self._deleted.pop(next(iter(self._deleted)))

    def _record(
        self, event: str, keys: list[str], state: DecodedState[Payload]
    ) -> None:
        if not keys:
            return
        record(
            _logger,
            event,
            table=self._table,
            count=len(keys),
            rows=keys[:_MAX_SHOWN],
            **state.revision.describe(),
        )
