"""Local copy of a table of the store, and when it may be relayed to peers.

Peers query what changed since a revision, as they would query the store.  A
change without new information, such as the next report of an endpoint whose
state is unchanged, is excluded: endpoints report every second or so, and
relaying each report would make up nearly all of the traffic.
"""

import math
from collections.abc import Callable
from typing import Generic

import attrs

from .following import TableFollower
from .merging import RowMerger
from .readers import choose_longest_relayed
from .tablestates import (
    DecodedRow,
    DecodedState,
    Payload,
    Provenance,
    Revision,
    TableFreshness,
    TableState,
)

__all__ = ['RelayedTable', 'TableCache']

#: Dropped rows that are remembered, so that peers learn of the deletion.
#: Endpoints come and go by tens a minute; a peer queries several times a
#: second.
_MAX_DROPPED = 1_000
_NEVER = Revision(0, 0)


class TableCache(Generic[Payload]):
    """Rows of one table, and which of them changed since a revision."""

    def __init__(
        self, is_equivalent: Callable[[Payload, Payload], bool]
    ) -> None:
        """Start empty.

        ``is_equivalent`` returns whether a row holds no new information
        compared with the one before it.
        """
        self._is_equivalent = is_equivalent
        self._rows: dict[str, DecodedRow[Payload]] = {}
        self._revision: Revision | None = None
        #: Revision of the newest change with new information.
        self.changed_at = _NEVER
        #: Revision after which all changes are known.
        self._complete_since = _NEVER

    def update(self, state: DecodedState[Payload]) -> None:
        """Store all rows that were read, or those that changed."""
        if state.whole:
            self._rows = {}
            self._complete_since = state.revision
            # Rows that have disappeared have no revision of their own.
            self.changed_at = state.revision
        for decoded in state.rows:
            known = self._rows.get(decoded.row.key)
            if known is None or not self._is_unchanged(known, decoded):
                self._rows[decoded.row.key] = decoded
                self.changed_at = max(self.changed_at, decoded.row.revision)
        self._revision = state.revision
        self._forget_dropped(state.revision)

    @property
    def revision(self) -> Revision | None:
        """Newest revision of the store that was read, if any was."""
        return self._revision

    def list_changes(self, after: Revision | None) -> TableState | None:
        """List what changed since a revision, or all rows.

        Returns
        -------
        TableState | None
            Nothing while no state of the table is known.
        """
        if self._revision is None:
            return None
        rows = [known.row for known in self._rows.values()]
        if after is None or after < self._complete_since:
            # A row with empty bytes is unreadable, but it exists; without it
            # the peer would take it for dropped, and keep it for a while.
            present = [row for row in rows if row.encoded is not None]
            return TableState(self._revision, present, whole=True)
        rows = [row for row in rows if row.revision > after]
        return TableState(self._revision, rows, whole=False)

    def _is_unchanged(
        self,
        known: DecodedRow[Payload],
        decoded: DecodedRow[Payload],
    ) -> bool:
        if known.row.encoded is None or decoded.row.encoded is None:
            return False
        return self._is_equivalent(known.payload, decoded.payload)

    def _forget_dropped(self, revision: Revision) -> None:
        dropped = [
            key
            for key, known in self._rows.items()
            if known.row.encoded is None
        ]
        if len(dropped) <= _MAX_DROPPED:
            return
        for key in dropped:
            self._rows.pop(key)
        self._complete_since = revision


@attrs.frozen
class RelayedTable:
    """A table that is kept current here, and relayed to peers.

    Attributes
    ----------
    follower
        Keeps it current.
    cache
        What peers are told of it.
    merger
        Merges what is read into what is known.
    slack
        Seconds for which the store may take longer than usual before the table
        is too old to be relayed.
    """

    follower: TableFollower
    cache: TableCache
    merger: RowMerger
    slack: float

    @property
    def source(self) -> Provenance | None:
        """Source of the table, ``None`` while it is too old to be relayed."""
        provenance = self.follower.provenance
        if provenance is None:
            return None
        longest = choose_longest_relayed(
            provenance, self.follower.healthy_age, self.slack
        )
        return provenance if self.follower.measure_age() <= longest else None

    def may_relay(self, within_zone: bool) -> bool:
        """Return whether it may be relayed to peers of this zone, or another.

        A table from the local zone is relayed to nobody, one from another zone
        only to the local one, lest two instances query each other.
        """
        source = self.source
        least = Provenance.OTHER_ZONE if within_zone else Provenance.STORE
        return source is not None and source >= least

    def merge(self, state: DecodedState) -> DecodedState:
        """Merge a state into what is known, and relay the outcome."""
        merged = self.merger.merge(state)
        self.cache.update(merged)
        return merged

    def list_changes(self, after: Revision | None) -> TableState | None:
        """List what changed since a revision, and how current that is."""
        changes = self.cache.list_changes(after)
        if changes is None:
            return None
        return attrs.evolve(
            changes,
            age=self.follower.measure_age(),
            recovered_for=self.follower.measure_since_recovery(),
        )

    def describe_freshness(self) -> TableFreshness:
        """Describe the freshness as of now, for peers."""
        recovered_for = self.follower.measure_since_recovery()
        return TableFreshness(
            self.cache.revision.version,
            self.cache.changed_at.version,
            self.follower.measure_age(),
            recovered_for if math.isfinite(recovered_for) else None,
            self.cache.revision.era,
        )
