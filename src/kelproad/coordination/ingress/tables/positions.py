"""Up to where the store is known: its era, outages, and revision of each table.

A store that was restored from a copy has lost what it had acknowledged since
the copy was taken, and assigns the same versions again.  Only within one era,
the span between two restorations, do versions order its states.
"""

import logging
import math
from collections.abc import Callable

from ....state.records import record
from ....transport.deadlines import monotonic
from .tablestates import Provenance, Revision, TableState

__all__ = ['StoreEras', 'StoreOutages', 'TablePosition']

_logger = logging.getLogger(__name__)
#: Seconds for which only outdated answers of the current era come, after which
#: their versions are believed.
_MAX_OUTDATED_SECONDS = 2.0


class StoreEras:
    """The newest era that the store has stated.

    Attributes
    ----------
    current
        The newest era; 0 while the store has stated none.
    on_restored
        Called when the store was restored while this process runs.
    """

    def __init__(self) -> None:
        """Start without knowledge of any era."""
        self.current = 0
        self.on_restored: list[Callable[[], None]] = []

    def observe(self, stated: int | None, answer: str) -> int:
        """Record the era that an answer states, and return its era.

        An answer that states none counts as one of the current era.

        Parameters
        ----------
        stated
            The era, ``None`` if the answer states none.
        answer
            Description of the answer for the log.
        """
        if stated is None or stated == self.current:
            return self.current
        if stated > self.current:
            self._advance(stated, answer)
        return stated

    def _advance(self, era: int, answer: str) -> None:
        previous = self.current
        self.current = era
        record(
            _logger,
            'store_era_changed',
            previous=previous,
            era=era,
            answer=answer,
        )
        for notify in self.on_restored if previous else ():
            notify()


class StoreOutages:
    """When the store was lost here, and when it was back.

    Attributes
    ----------
    recovered_at
        Monotonic time at which it was last back, minus infinity if it was
        never away.
    """

    def __init__(self) -> None:
        """Start without an outage."""
        self.recovered_at = -math.inf
        #: Monotonic time at which it was lost, ``None`` while it answers.
        self._lost_at: float | None = None
        #: Seconds of all outages that have ended.
        self._lost_seconds = float(0)

    def begin(self) -> None:
        """Record that a call failed."""
        if self._lost_at is None:
            self._lost_at = monotonic()

    def end(self) -> None:
        """Record that the store is back, after failures or a restoration."""
        now = monotonic()
        if self._lost_at is not None:
            self._lost_seconds += now - self._lost_at
            self._lost_at = None
        self.recovered_at = now

    def adopt_recovery(self, recovered_for: float) -> None:
        """Adopt that the store was back so many seconds ago."""
        self.recovered_at = max(self.recovered_at, monotonic() - recovered_for)

    def measure_since_recovery(self) -> float:
        """Return the seconds since it was back; infinite if never away."""
        return monotonic() - self.recovered_at

    def read_answered_clock(self) -> float:
        """Read a clock in seconds that stands still during outages."""
        now = monotonic()
        until = now if self._lost_at is None else self._lost_at
        return until - self._lost_seconds


class TablePosition:
    """Position of an instance in the changes of one table.

    Attributes
    ----------
    revision
        Revision of the last state that was adopted, ``None`` before the first.
    outdated_answers
        Answers in a row that were discarded, as they are outdated.
    """

    def __init__(self, table: str, eras: StoreEras) -> None:
        """Start without any state of a table, by its name."""
        self._table = table
        self._eras = eras
        self.revision: Revision | None = None
        #: Whether changes were missed, so that the whole table is needed.
        self._misses_changes = True
        self.outdated_answers = 0
        #: Monotonic time of the first of them.
        self._outdated_since = float('inf')

    @property
    def base(self) -> Revision | None:
        """Revision after which changes are needed; ``None`` for all rows.

        Changes are missed when the store was restored: those after a version
        of the era before are others in the new one.
        """
        known = self.revision
        if known is None or self._misses_changes:
            return None
        return known if known.era == self._eras.current else None

    def lose_changes(self) -> None:
        """Record that changes were missed."""
        self._misses_changes = True

    def advance(self, state: TableState) -> bool:
        """Move on to a state; return false if it is outdated."""
        self._eras.observe(
            state.revision.era,
            f'{self._table} from {state.provenance.name.lower()}',
        )
        if self._is_outdated(state):
            self._record_outdated(state)
            return False
        if state.whole:
            self._record('table_read_whole', state, rows=len(state.rows))
        self.outdated_answers = 0
        self._misses_changes = False
        self.revision = state.revision
        return True

    def is_restored(self, state: TableState) -> bool:
        """Return whether a state is the first one since a restoration.

        A store that states no eras shows it by a lower version.
        """
        known = self.revision
        if known is None:
            return False
        if state.provenance is Provenance.STORE and state.revision < known:
            return True
        return known.era < state.revision.era

    def describe(self) -> dict[str, object]:
        """Describe the position for operators."""
        return {
            'revision': self._describe_revision(),
            'outdated_answers': self.outdated_answers,
        }

    def _is_outdated(self, state: TableState) -> bool:
        """Return whether a state shows less than what is known here.

        Within an era the store's counter never decreases; a lower version comes
        from a stale reader, and adopting it would lose no change but repeat old
        ones over newer ones.
        """
        base = self.base
        if base is None:
            return state.revision.era < self._eras.current or not state.whole
        return state.revision < base

    def _record_outdated(self, state: TableState) -> None:
        """Log the first of several answers in a row that are discarded."""
        now = monotonic()
        self.outdated_answers += 1
        if self.outdated_answers == 1:
            self._outdated_since = now
            self._record('table_answer_outdated', state)
        if now - self._outdated_since > _MAX_OUTDATED_SECONDS:
            self._misses_changes = True

    def _record(self, event: str, state: TableState, **fields: object) -> None:
        record(
            _logger,
            event,
            table=self._table,
            provenance=state.provenance.name.lower(),
            **state.revision.describe(),
            known=self._describe_revision(),
            **fields,
        )

    def _describe_revision(self) -> dict[str, int] | None:
        return self.revision.describe() if self.revision else None
