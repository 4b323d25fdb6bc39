"""Following a table of the store, through outages and lost history.

A follower reads the table once, then waits for changes.  Each sound answer
also says how fresh the table is here, which is what permits to trust an API key
or to leave an endpoint for good.  Another instance may be asked in place of the
store; when none can tell, the store is.
"""

import asyncio
import logging
import random
from collections.abc import Awaitable, Callable

import attrs
from mode import Service
from returns.result import Failure, Result

from ...state.records import record
from ...transport.deadlines import monotonic, read_boottime
from ...transport.services import BackgroundService
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
#: Bounds of the pause after a failed call, in seconds.  Short, as everything
#: in force ages meanwhile; drawn at random, so that the instances don't come
#: back together.
_SHORTEST_PAUSE = 0.05
_LONGEST_PAUSE = 0.5
#: Seconds between two questions to another instance: short, as they cost the
#: store nothing, and what is told here grows by them in age.
_ASK_PERIOD = 0.2


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
    """A table as another instance tells it.

    Attributes
    ----------
    ask
        Asks what changed since a version, or for all rows; gives nothing when
        no instance can tell.
    measure_backoff
        Tells for how many seconds at the most this instance leaves it to others
        to find the store: none if others are told by it, or there are none.
    """

    ask: Callable[[int | None], Awaitable[TableState | None]]
    measure_backoff: Callable[[], float]


class TableFollower(BackgroundService):
    """Keeps one table current here, as long as the store can be reached.

    Attributes
    ----------
    sound_at
        Boot time at which the call was sent that last got a sound answer:
        what was true then, or later, is known here.  A machine that was
        suspended must not take for fresh what it knew before, so this is not
        the monotonic clock.
    back_at
        Monotonic time of the first sound answer after a failure.
    provenance
        Where the last sound answer came from, ``None`` before the first.
    """

    abstract = False

    def __init__(
        self,
        source: TableSource,
        adopt: Callable[[TableState], None],
        patience: float,
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
            Takes each state that was read.
        patience
            Seconds that a call waits for a change.
        pause
            Seconds between two calls that brought changes, which lets
            several changes come in one answer.
        generator
            Source of the pauses after failures.
        peers
            The same table as other instances tell it.
        """
        super().__init__()
        self._source = source
        self._adopt = adopt
        self._patience = patience
        self._pause = pause
        self._generator = generator
        self._peers = peers
        #: When the store is to be asked next; ``None`` until that is chosen.
        self._store_due: float | None = None
        self._version: int | None = None
        self._failures = 0
        self.provenance: Provenance | None = None
        self.sound_at = float('-inf')
        self.back_at = float('-inf')

    def measure_age(self) -> float:
        """Return how many seconds old the table may be."""
        return read_boottime() - self.sound_at

    def measure_back(self) -> float:
        """Return the seconds since the store came back; infinite if never."""
        return monotonic() - self.back_at

    @property
    def failing(self) -> bool:
        """Whether the last call failed."""
        return bool(self._failures)

    @Service.task
    async def _follow(self) -> None:
        while not self.should_stop:
            sent_at = read_boottime()
            told = await self._peers.ask(self._version)
            if told is not None:
                self._accept(told, sent_at)
                await asyncio.sleep(_ASK_PERIOD)
                continue
            until_due = self._schedule_store() - monotonic()
            if until_due > 0:
                await asyncio.sleep(min(until_due, _ASK_PERIOD))
                continue
            answered = await self._ask_store()
            if isinstance(answered, Failure):
                self._bear(answered.failure())
                continue
            self._accept(answered.unwrap(), sent_at)
            await asyncio.sleep(self._pause)

    def _schedule_store(self) -> float:
        """Choose when to ask the store, if that is not chosen yet.

        Whoever knows nothing asks at once.  Of those that were told until now
        the first to find the store tells the others, so that not all of them
        come to it together.
        """
        if self._store_due is None:
            known = self._version is not None
            longest = self._peers.measure_backoff() if known else 0
            self._store_due = monotonic() + self._generator.uniform(0, longest)
        return self._store_due

    async def _ask_store(self) -> Result[TableState, StoreProblem]:
        if self._version is None:
            return await self._source.read()
        # After a failure an answer is wanted at once, to know whether the
        # store is back, and not when something changes; so it is when another
        # instance has just failed to tell.
        direct = self.provenance is Provenance.STORE
        waits = direct and not self._failures
        patience = self._patience if waits else 0
        return await self._source.await_changes(self._version, patience)

    def _accept(self, state: TableState, sent_at: float) -> None:
        if self._failures:
            self.back_at = monotonic()
            record(
                _logger,
                'store_regained',
                table=self._source.name,
                failures=self._failures,
                age=round(self.measure_age(), 3),
            )
        self._failures = 0
        self._store_due = None
        self.back_at = max(self.back_at, monotonic() - state.back_for)
        self._note_provenance(state.provenance)
        # The store's counter never goes back; an answer that does is that of
        # a stale reader, and following it would lose no change but repeat old
        # ones over newer ones.
        if self._version is not None and state.version < self._version:
            return
        self._version = state.version
        self._adopt(state)
        self.sound_at = max(self.sound_at, sent_at - state.age)

    def _note_provenance(self, provenance: Provenance) -> None:
        if provenance is not self.provenance:
            direct = provenance is Provenance.STORE
            record(
                _logger,
                'table_read_directly' if direct else 'table_told_by_peer',
                table=self._source.name,
                provenance=provenance.name.lower(),
            )
        self.provenance = provenance

    def _bear(self, problem: StoreProblem) -> None:
        """Note a failure, and when the store is asked again."""
        if problem.kind is StoreProblemKind.HISTORY_LOST:
            # Changes were missed; only the whole table tells what holds.
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
            _SHORTEST_PAUSE * 2**self._failures,
            _LONGEST_PAUSE,
        )
        pause = self._generator.uniform(_SHORTEST_PAUSE, bound)
        self._store_due = monotonic() + pause
