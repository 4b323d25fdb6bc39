"""Following a table of the store, through outages and lost history.

A follower reads the table once, then waits for changes.  Each valid answer
also shows how fresh the table is here, on which it depends whether an API key
may be trusted, or an endpoint removed for good.  Another instance may be
queried in place of the store; when none can answer, the store is.
"""

import asyncio
import logging
import random
from collections.abc import Awaitable, Callable

import attrs
from mode import Service
from returns.result import Failure, Result, Success

from ....state.records import record
from ....transport.deadlines import monotonic, read_boottime
from ....transport.services import BackgroundService
from .tablestates import (
    Provenance,
    StoreProblem,
    StoreProblemKind,
    TableState,
)

__all__ = [
    'PeerTable',
    'TableFollower',
    'TableSource',
]

_logger = logging.getLogger(__name__)
#: Bounds of the delay after a failed call, in seconds.  Short, as everything
#: in force ages meanwhile; chosen at random, so that the instances don't
#: retry together.
_MIN_RETRY_DELAY = 0.05
_MAX_RETRY_DELAY = 0.5
#: Seconds between two queries to another instance: short, as they don't load
#: the store, and tables relayed to this instance are older by this interval.
_PEER_QUERY_PERIOD = 0.2
#: Seconds between two looks for another instance that has the table, while the
#: store sends all of it.
_FIRST_QUERY_PERIOD = 0.02


@attrs.frozen
class TableSource:
    """How to read a table and to wait for its changes."""

    name: str
    read: Callable[[], Awaitable[Result[TableState, StoreProblem]]]
    await_changes: Callable[
        [int, float],
        Awaitable[Result[TableState, StoreProblem]],
    ]


@attrs.frozen
class PeerTable:
    """A table as relayed by other instances.

    Attributes
    ----------
    query
        Queries what changed since a version, or all rows; ``None`` when no
        instance can answer.
    measure_backoff
        Returns the maximum seconds to wait for another instance to find the
        store first: 0 if others are served by this one, or there are none.
    """

    query: Callable[[int | None], Awaitable[TableState | None]]
    measure_backoff: Callable[[], float]


class TableFollower(BackgroundService):
    """Keeps a local copy of one table current while the store is reachable.

    Attributes
    ----------
    confirmed_at
        Boot time at which the call was sent that last got a valid answer:
        all changes up to then are known here.  The monotonic clock won't do, as
        it stands still while a machine is suspended, and old data would then
        pass for fresh.
    recovered_at
        Monotonic time of the first valid answer after a failure.
    provenance
        Source of the last valid answer, ``None`` before the first.
    """

    abstract = False

    def __init__(
        self,
        source: TableSource,
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
        self._version: int | None = None
        self._failures = 0
        #: Answers in a row that were discarded, as they are outdated.
        self._outdated_answers = 0
        self.provenance: Provenance | None = None
        self.confirmed_at = float('-inf')
        self.recovered_at = float('-inf')

    def measure_age(self) -> float:
        """Return how many seconds old the table may be."""
        return read_boottime() - self.confirmed_at

    def measure_since_recovery(self) -> float:
        """Return the seconds since the store recovered; infinite if never."""
        return monotonic() - self.recovered_at

    @property
    def failing(self) -> bool:
        """Whether the store has failed since the last valid answer."""
        return bool(self._failures)

    def describe(self) -> dict[str, object]:
        """Describe the state of the table for operators."""
        return {
            'version': self._version,
            'provenance': self.provenance and self.provenance.name.lower(),
            'age': self.measure_age(),
            'failures': self._failures,
            'outdated_answers': self._outdated_answers,
        }

    @Service.task
    async def _follow(self) -> None:
        while not self.should_stop:
            sent_at = read_boottime()
            relayed = await self._peers.query(self._version)
            if relayed is not None:
                self._accept(relayed, sent_at)
                await asyncio.sleep(_PEER_QUERY_PERIOD)
                continue
            until_due = self._schedule_store() - monotonic()
            if until_due > 0:
                await asyncio.sleep(min(until_due, _PEER_QUERY_PERIOD))
                continue
            answered = await self._query_store()
            if isinstance(answered, Failure):
                self._record_failure(answered.failure())
                continue
            self._accept(answered.unwrap(), sent_at)
            await asyncio.sleep(self._pause)

    def _schedule_store(self) -> float:
        """Choose when to query the store, if that is not chosen yet.

        An instance without any state queries it at once.  Of those that were
        served by another instance until now, the first to find the store
        serves the others, so that they don't all query it together.
        """
        if self._store_due is None:
            known = self._version is not None
            longest = self._peers.measure_backoff() if known else 0
            self._store_due = monotonic() + self._generator.uniform(0, longest)
        return self._store_due

    async def _query_store(self) -> Result[TableState, StoreProblem]:
        if self._version is None:
            return await self._read_whole()
        # After a failure the answer is needed at once, not at the next change,
        # to know whether the store is back; likewise when another instance has
        # just failed to answer.
        direct = self.provenance is Provenance.STORE
        waits = direct and not self._failures
        wait_seconds = self._wait_seconds if waits else 0
        return await self._source.await_changes(self._version, wait_seconds)

    async def _read_whole(self) -> Result[TableState, StoreProblem]:
        """Read the table from the store, or from whoever has it sooner.

        The store sends it uncompressed.  A large one may take half a second, in
        which an instance that has just started can serve nobody.
        """
        reading = asyncio.create_task(self._source.read())
        try:
            while not reading.done():
                await asyncio.wait((reading,), timeout=_FIRST_QUERY_PERIOD)
                relayed = (
                    None if reading.done() else await self._peers.query(None)
                )
                if relayed is not None:
                    return Success(relayed)
            return reading.result()
        finally:
            reading.cancel()

    def _accept(self, state: TableState, sent_at: float) -> None:
        if self._failures:
            self.recovered_at = monotonic()
            record(
                _logger,
                'store_regained',
                table=self._source.name,
                failures=self._failures,
                age=round(self.measure_age(), 3),
            )
        self._failures = 0
        self._store_due = None
        self.recovered_at = max(
            self.recovered_at, monotonic() - state.recovered_for
        )
        self._record_provenance(state.provenance)
        # The store's counter never decreases; a lower version comes from a
        # stale reader, and adopting it would lose no change but repeat old
        # ones over newer ones.
        if self._version is not None and state.version < self._version:
            self._record_outdated(state)
            return
        self._outdated_answers = 0
        if state.whole:
            self._record_read(state)
        self._version = state.version
        self._adopt(state)
        self.confirmed_at = max(self.confirmed_at, sent_at - state.age)

    def _record_outdated(self, state: TableState) -> None:
        """Log the first of several answers in a row that are discarded."""
        self._outdated_answers += 1
        if self._outdated_answers == 1:
            record(
                _logger,
                'table_answer_outdated',
                table=self._source.name,
                provenance=state.provenance.name.lower(),
                version=state.version,
                known=self._version,
            )

    def _record_read(self, state: TableState) -> None:
        record(
            _logger,
            'table_read_whole',
            table=self._source.name,
            provenance=state.provenance.name.lower(),
            version=state.version,
            known=self._version,
            rows=len(state.rows),
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

    def _record_failure(self, problem: StoreProblem) -> None:
        """Record a failure, and schedule the next query to the store."""
        if problem.kind is StoreProblemKind.HISTORY_LOST:
            # Changes were missed; only the complete table shows what is valid.
            self._version = None
            record(_logger, 'store_history_lost', table=self._source.name)
            return
        self._failures += 1
        if self._failures == 1:
            record(
                _logger,
                'store_lost',
                table=self._source.name,
                problem=problem.kind.value,
                message=problem.message,
            )
        bound = self._peers.measure_backoff() or min(
            _MIN_RETRY_DELAY * 2**self._failures,
            _MAX_RETRY_DELAY,
        )
        pause = self._generator.uniform(_MIN_RETRY_DELAY, bound)
        self._store_due = monotonic() + pause
