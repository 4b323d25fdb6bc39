"""A table of the store as one instance has it, ready for its peers.

Peers ask for what changed since a version, as they would ask the store.  A
change that tells nobody anything, such as the next report of an endpoint that
is as it was, is left out: endpoints report every second or so, and handing
each report on would make up nearly all that is sent.
"""

from collections.abc import Callable
from typing import Generic

from .decoding import DecodedRow, DecodedState, Said
from .tablestates import TableState

__all__ = ['TableCache']

#: Dropped rows that are remembered, so that a peer hears of the dropping.
#: Endpoints come and go by tens a minute; a peer asks several times a second.
_MOST_DROPPED = 1_000


class TableCache(Generic[Said]):
    """Rows of one table, and which of them changed since a version."""

    def __init__(self, tells_same: Callable[[Said, Said], bool]) -> None:
        """Start empty.

        ``tells_same`` tells whether a row says the same as the one before it.
        """
        self._tells_same = tells_same
        self._rows: dict[str, DecodedRow[Said]] = {}
        self._version: int | None = None
        #: Version of the newest change that told anything.
        self.changed_at = 0
        #: Changes behind this version are all known, those before are not.
        self._complete_since = 0

    def take(self, state: DecodedState[Said]) -> None:
        """Take in rows that were read, or those that changed."""
        if state.whole:
            self._rows = {}
            self._complete_since = state.version
            # Rows that are no more in it have no version of their own.
            self.changed_at = state.version
        for decoded in state.rows:
            known = self._rows.get(decoded.row.key)
            if known is None or not self._is_same(known, decoded):
                self._rows[decoded.row.key] = decoded
                self.changed_at = max(self.changed_at, decoded.row.version)
        self._version = state.version
        self._forget_dropped()

    @property
    def version(self) -> int | None:
        """Newest version of the store that was read, if any was."""
        return self._version

    def list_changes(self, after: int | None) -> TableState | None:
        """List what changed since a version, or all rows.

        Returns
        -------
        TableState | None
            Nothing while no state of the table is known.
        """
        if self._version is None:
            return None
        rows = [known.row for known in self._rows.values()]
        if after is None or after < self._complete_since:
            # Bytes that are empty can't be read, but the row is there; left out
            # it would pass for one that was dropped, and be kept for a while.
            present = [row for row in rows if row.encoded is not None]
            return TableState(self._version, present, whole=True)
        rows = [row for row in rows if row.version > after]
        return TableState(self._version, rows, whole=False)

    def _is_same(
        self,
        known: DecodedRow[Said],
        decoded: DecodedRow[Said],
    ) -> bool:
        if known.row.encoded is None or decoded.row.encoded is None:
            return False
        return self._tells_same(known.said, decoded.said)

    def _forget_dropped(self) -> None:
        dropped = [
            key
            for key, known in self._rows.items()
            if known.row.encoded is None
        ]
        if len(dropped) <= _MOST_DROPPED:
            return
        for key in dropped:
            self._rows.pop(key)
        self._complete_since = self._version
