"""Following a table of the store, through outages and lost history.

A follower reads the table once, then waits for changes.  Each valid answer
also shows how fresh the table is here, on which it depends whether an API key
may be trusted, or an endpoint removed for good.  Another instance may be
queried in place of the store; when none can answer, the store is.

Once the store is known to have been restored from a copy, by an answer about
any table, the whole table is read again.
"""

import logging
import math
import random
from collections.abc import Callable

from returns.result import Failure

from ....state.records import record
from ....transport.deadlines import monotonic, read_boottime
from ....transport.services import BackgroundService, restarted_task
from .causes import QueryProgress
from .openqueries import OpenQueries
from .positions import StoreEras, StoreOutages, TablePosition
from .readers import MAX_RELAYED_AGE
from .tablestates import (
    PeerTable,
    Provenance,
    StoreProblem,
    StoreProblemKind,
    TableSource,
    TableState,
    name_provenance,
)

__all__ = ['TableFollower']

_logger = logging.getLogger(__name__)
#: Bounds of the delay after a failed call, in seconds.  Short, as everything
#: in force ages meanwhile; chosen at random, so that the instances don't
#: retry together.
_MIN_RETRY_DELAY = 0.05
_MAX_RETRY_DELAY = 0.5
_MAX_DOUBLINGS = 8
#: Seconds between two queries to another instance: short, as they don't load
#: the store, and tables relayed to this instance are older by this interval.
_PEER_QUERY_PERIOD = 0.2
#: Share of the usual delay after which an instance without a reader queries the
#: store for the first time.
_FIRST_TRY_SHARE = 0.2
#: Seconds between two looks for another instance that has the table, while the
#: store sends all of it.
_FIRST_QUERY_PERIOD = 0.02
#: Bytes of changes that may take long to arrive.
_LARGE_BYTES = 65_536
_OVERDUE = StoreProblem(StoreProblemKind.UNREACHABLE, 'no answer yet')


class TableFollower(BackgroundService):
    """Keeps a local copy of one table current while the store is reachable.

    Attributes
    ----------
    confirmed_at
        Boot time at which the call was sent that last got a valid answer:
        all changes up to then are known here.  The monotonic clock won't do, as
        it stands still while a machine is suspended, and old data would then
        pass for fresh.
    outages
        Outages of the store, as far as the table was lost here; a new era of
        the store counts as one.
    provenance
        Source of the last valid answer, ``None`` before the first.
    on_restored
        Called before the first state of a new era is adopted, with the
        monotonic time at which the store was back.
    on_read_directly
        Called when the store has answered after other instances, or nobody,
        had before.
    on_confirmed
        Called after each valid answer was adopted.
    """

    abstract = False

    def __init__(
        self,
        source: TableSource,
        eras: StoreEras,
        adopt: Callable[[TableState], None],
        wait_seconds: float,
        pause: float,
        generator: random.Random,
        peers: PeerTable,
    ) -> None:
        """Follow a source.

        Parameters
        ----------
        source
            The table.
        eras
            The eras of the store that all tables know.
        adopt
            Receives each state that was read.
        wait_seconds
            Seconds that a call waits for a change.
        pause
            Seconds between two calls that brought changes, which lets
            several changes come in one answer.
        generator
            Source of the random delays after failures.
        peers
            The same table as relayed by other instances.
        """
        super().__init__()
        self._source = source
        self._adopt = adopt
        self._wait_seconds = wait_seconds
        self._pause = pause
        self._generator = generator
        self._peers = peers
        #: Monotonic time of the next call to the store, ``None`` until chosen.
        self._store_due: float | None = None
        self._queries = OpenQueries(source.read_received_at)
        self._position = TablePosition(source.name, eras)
        self._failures = 0
        self._problem: StoreProblemKind | None = None
        #: Losses of history since changes were last read.
        self._history_losses = 0
        self.on_restored: Callable[[float], None] = _ignore_restoration
        self.on_read_directly: Callable[[], None] = _ignore_event
        self.on_confirmed: Callable[[], None] = _ignore_event
        self.provenance: Provenance | None = None
        self.confirmed_at = float('-inf')
        self.outages = StoreOutages()

    @property
    def healthy_age(self) -> float:
        """Age in seconds that it reaches while the store answers at once."""
        return self._wait_seconds + self._pause

    def hasten(self) -> None:
        """Query the store now, if that is due later."""
        if self._store_due is not None:
            self._store_due = monotonic()
            self._queries.hurry()
            self.wake()

    def wake(self) -> None:
        """Query another instance now, as one may have the table."""
        self._queries.wake()

    def measure_age(self) -> float:
        """Return how many seconds old the table may be."""
        return read_boottime() - self.confirmed_at

    def measure_since_recovery(self) -> float:
        """Return the seconds since the store recovered; infinite if never."""
        return self.outages.measure_since_recovery()

    @property
    def failing(self) -> bool:
        """Whether the store has failed since the last valid answer."""
        return bool(self._failures)

    @property
    def query_progress(self) -> QueryProgress:
        """How the queries of the store fare."""
        return self._queries.describe_progress(self._failures, self._problem)

    def describe(self) -> dict[str, object]:
        """Describe the state of the table for operators."""
        return {
            **self._position.describe(),
            'provenance': name_provenance(self.provenance),
            'age': self.measure_age(),
            'failures': self._failures,
        }

    @restarted_task
    async def _follow(self) -> None:
        try:
            while not self.should_stop:
                self.mark_turn('_follow')
                turned_at = read_boottime()
                if not await self._follow_peer(turned_at):
                    await self._follow_store(turned_at)
        finally:
            self._queries.discard()

    async def _follow_peer(self, sent_at: float) -> bool:
        """Take the table from another instance; return whether one had it.

        ``sent_at`` is a boot time before the query, from which its age counts.
        """
        relayed = await self._peers.query(self._position.base)
        if relayed is None:
            return False
        self._queries.discard()
        self._accept(relayed, sent_at)
        await self._queries.rest(_PEER_QUERY_PERIOD)
        return True

    async def _follow_store(self, sent_at: float) -> None:
        """Query the store if that is due, and take what it has answered."""
        until_due = max(
            self._schedule_store() - monotonic(),
            self._queries.measure_until_next(),
        )
        if until_due <= 0:
            if self._queries.is_overdue:
                # The next one is sent beside it, without a pause.
                self._count_failure(_OVERDUE)
            self._send_query(sent_at)
            until_due = self._queries.measure_until_next()
        answered = await self._queries.take(self._bound_wait(until_due))
        if answered is None:
            return
        if isinstance(answered.outcome, Failure):
            self._record_failure(answered.outcome.failure())
        else:
            accepted = self._accept(answered.outcome.unwrap(), answered.sent_at)
            await self._queries.rest(
                self._pause
                if accepted
                else _choose_delay(self._position.outdated_answers - 1)
            )

    def _bound_wait(self, seconds: float) -> float:
        """Bound the seconds until other instances are queried again.

        One that has just started needs a table from whoever has it sooner: the
        store sends it uncompressed, which may take half a second.
        """
        if self._position.base is None:
            return min(seconds, _FIRST_QUERY_PERIOD)
        is_reader = self.provenance is Provenance.STORE and not self._failures
        if is_reader and len(self._queries) <= 1:
            return seconds
        return min(seconds, _PEER_QUERY_PERIOD)

    def _schedule_store(self) -> float:
        """Choose when to query the store, if that is not chosen yet.

        An instance without any state queries it at once.  Of those that were
        served by another instance until now, the first to find the store
        serves the others, so that they don't all query it together.  They
        hurry once, as only their reader may have lost it.  A slow store makes
        no table that may be relayed, so that each queries it for itself.
        """
        if self._store_due is None:
            known = self._position.revision is not None
            may_wait = known and not self._queries.is_slow
            longest = self._peers.measure_backoff() if may_wait else 0
            self._store_due = monotonic() + self._generator.uniform(
                0, longest * _FIRST_TRY_SHARE
            )
        return self._store_due

    def _send_query(self, sent_at: float) -> None:
        base = self._position.base
        if base is None:
            self._queries.send(self._source.read(), sent_at, 0)
            return
        # After a failure the answer is needed at once, not at the next change,
        # to know whether the store is back; likewise when another instance has
        # just failed to answer, or the store is slow.
        direct = self.provenance is Provenance.STORE
        waits = direct and not self._failures and self._queries.is_prompt
        wait_seconds = self._wait_seconds if waits else 0
        query = self._source.await_changes(base, wait_seconds)
        self._queries.send(query, sent_at, wait_seconds)

    def _accept(self, state: TableState, sent_at: float) -> bool:
        """Adopt a state; return false if it is outdated."""
        is_restored = self._position.is_restored(state)
        was_lost = self.measure_age() > MAX_RELAYED_AGE
        if not self._position.advance(state):
            return False
        if self._failures:
            self._record_recovery()
        self._failures = 0
        self._problem = None
        if not state.whole:
            self._history_losses = 0
        self._store_due = None
        # What another instance could not do tells nothing about the store while
        # the table went on being confirmed here.
        if was_lost or is_restored:
            self.outages.adopt_recovery(state.recovered_for)
        self._record_provenance(state.provenance)
        if is_restored:
            self._begin_era(state)
        if _count_bytes(state) >= _LARGE_BYTES:
            # The queries that are open bring these changes once more.
            self._queries.hurry()
        self._adopt_or_reread(state)
        self.confirmed_at = max(self.confirmed_at, sent_at - state.age)
        self.on_confirmed()
        return True

    def _adopt_or_reread(self, state: TableState) -> None:
        """Adopt a state; after an error the whole table is read again."""
        try:
            self._adopt(state)
        except Exception:
            self._position.lose_changes()
            raise

    def _begin_era(self, state: TableState) -> None:
        """Count the return of the store from a copy as a recovery.

        An instance that started after it does not know when it was.
        """
        if math.isinf(state.recovered_for):
            self.outages.end()
        self.on_restored(self.outages.recovered_at)

    def _record_recovery(self) -> None:
        self.outages.end()
        record(
            _logger,
            'store_regained',
            table=self._source.name,
            failures=self._failures,
            age=round(self.measure_age(), 3),
        )

    def _record_provenance(self, provenance: Provenance) -> None:
        if provenance is not self.provenance:
            direct = provenance is Provenance.STORE
            record(
                _logger,
                'table_read_directly' if direct else 'table_told_by_peer',
                table=self._source.name,
                provenance=provenance.name.lower(),
            )
            self.provenance = provenance
            if direct:
                self.on_read_directly()

    def _record_failure(self, problem: StoreProblem) -> None:
        """Record a failure, and schedule the next query to the store."""
        if problem.kind is StoreProblemKind.HISTORY_LOST:
            # Changes were missed; only the complete table shows what is valid.
            self._position.lose_changes()
            self._queries.discard()
            record(_logger, 'store_history_lost', table=self._source.name)
            if self._history_losses:
                delay = _choose_delay(self._history_losses)
                self._store_due = monotonic() + delay
            self._history_losses += 1
            return
        self._count_failure(problem)
        bound = self._peers.measure_backoff() or _choose_delay(self._failures)
        pause = self._generator.uniform(_MIN_RETRY_DELAY, bound)
        self._store_due = monotonic() + pause

    def _count_failure(self, problem: StoreProblem) -> None:
        self._failures += 1
        self.outages.begin()
        self._problem = problem.kind
        if self._failures == 1:
            record(
                _logger,
                'store_lost',
                table=self._source.name,
                problem=problem.kind.value,
                message=problem.message,
            )


def _count_bytes(state: TableState) -> int:
    return sum(len(row.encoded or b'') for row in state.rows)


def _choose_delay(failures: int) -> float:
    """Choose the delay in seconds after some failures in a row."""
    doublings = min(failures, _MAX_DOUBLINGS)
    return min(_MIN_RETRY_DELAY * 2**doublings, _MAX_RETRY_DELAY)


def _ignore_restoration(_recovered_at: float) -> None:
    """Do nothing when the store was restored."""


def _ignore_event() -> None:
    """Do nothing when the store, or another instance, has answered."""
