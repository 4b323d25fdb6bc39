"""Queries to the store, of which a later one doesn't wait for an earlier one.

A query without an answer may be lost on a connection that has fallen silent, or
the store may be slow.  Another one is sent beside it after a moment, and the
answer that comes first counts: so a store that takes seconds for each answer
still confirms its tables every second.
"""

import asyncio
import contextlib
import math
from collections.abc import Callable

import attrs
from returns.result import Result, Success

from ....transport.deadlines import monotonic, within_running
from .causes import QueryProgress
from .tablestates import (
    StoreProblem,
    StoreProblemKind,
    TableQuery,
    TableState,
)

__all__ = ['Answered', 'OpenQueries']

#: Seconds without a byte after which another query is sent.  The store takes
#: some 4 ms, and up to 60 times as long when it is slow.
_PATIENCE = 1.0
#: Queries of one table that are open at most.
_MAX_OPEN = 4
#: Seconds after which one of so many is given up for another: longer than any
#: answer may take.
_MAX_OPEN_SECONDS = 30.0
#: Share of the last answer's time within which the next one is expected.
_EXPECTED_SHARE = 1.5

QueryResult = Result[TableState, StoreProblem]


@attrs.frozen
class Answered:
    """The answer to a query, and the boot time at which that was sent."""

    sent_at: float
    outcome: QueryResult


@attrs.frozen(eq=False)
class _OpenQuery:
    """A query that was sent.

    ``expected_at`` is the monotonic time at which a store that is not slow
    answers at the latest.
    """

    sent_at: float
    expected_at: float
    task: asyncio.Task[QueryResult]


class OpenQueries:
    """The queries of one table that are not answered yet."""

    def __init__(self, read_received_at: Callable[[], float]) -> None:
        """Send nothing yet.

        ``read_received_at`` returns the monotonic time at which bytes of an
        answer arrived last.
        """
        self._read_received_at = read_received_at
        #: In the order of their sending.
        self._open: list[_OpenQuery] = []
        #: Seconds by which the last answer came later than expected of a store
        #: that answers at once.
        self._usual_delay = float(0)
        #: Monotonic time at which the last answer was complete.
        self._taken_at = -math.inf
        #: Whether the next query need not wait for those that are open.
        self._is_hurried = False
        self._woken = asyncio.Event()

    def __len__(self) -> int:
        """Return the number of queries that are not answered."""
        return len(self._open)

    @property
    def is_prompt(self) -> bool:
        """Whether the store answered the last query at once."""
        return not (self._open or self.is_slow)

    @property
    def is_slow(self) -> bool:
        """Whether the last answer came too late to be relayed to others."""
        return self._usual_delay >= _PATIENCE / 2

    @property
    def is_overdue(self) -> bool:
        """Whether an answer is later than the store lets expect."""
        if not self._open:
            return False
        expected = self._usual_delay * _EXPECTED_SHARE
        return self._measure_silence() >= max(_PATIENCE, expected)

    def measure_until_next(self) -> float:
        """Return the seconds until another query may be sent."""
        if not self._open:
            return 0
        if self._is_hurried and len(self._open) < _MAX_OPEN:
            return 0
        if len(self._open) >= _MAX_OPEN:
            given_up_at = self._open[0].expected_at + _MAX_OPEN_SECONDS
            return max(0, given_up_at - monotonic())
        latest = max(self._open[-1].expected_at, self._read_arriving_at())
        return max(0, latest + _PATIENCE - monotonic())

    def send(
        self,
        query: TableQuery,
        sent_at: float,
        wait_seconds: float,
    ) -> None:
        """Send a query at a boot time.

        The store waits ``wait_seconds`` for a change before it answers.
        """
        if len(self._open) >= _MAX_OPEN:
            self._open.pop(0).task.cancel()
        self._is_hurried = False
        expected_at = monotonic() + wait_seconds
        task = asyncio.create_task(query)
        self._open.append(_OpenQuery(sent_at, expected_at, task))

    def describe_progress(
        self, failures: int, problem: StoreProblemKind | None
    ) -> QueryProgress:
        """Describe for operators how the queries fare.

        ``failures`` is the number of those that failed since the last valid
        answer, ``problem`` the last of them.
        """
        now = monotonic()
        unanswered_for = float(0)
        if self._open:
            unanswered_for = max(0, now - self._open[0].expected_at)
        return QueryProgress(
            failures,
            problem,
            unanswered_for,
            now - self._read_arriving_at() < _PATIENCE,
            now - self._taken_at,
            self._usual_delay,
        )

    async def take(self, seconds: float) -> Answered | None:
        """Wait for an answer, and end the queries sent before its own.

        A failure ends none of them, as they may be answered yet.

        Returns
        -------
        Answered | None
            Nothing if none came, or ``wake`` was called meanwhile.
        """
        await self._wait(seconds)
        done = [query for query in self._open if query.task.done()]
        for query in reversed(done):
            is_error = query.task.exception() is not None
            if not is_error and isinstance(query.task.result(), Success):
                return self._accept(query)
        for failed in done:
            self._open.remove(failed)
            return Answered(failed.sent_at, failed.task.result())
        return None

    async def rest(self, seconds: float) -> None:
        """Wait until an answer comes or ``wake`` is called."""
        await self._wait(seconds)

    def hurry(self) -> None:
        """Let the next query be sent at once beside those that are open.

        They may be lost, or bring once more what has come already.
        """
        self._is_hurried = True

    def wake(self) -> None:
        """End the wait for an answer, as another instance may have it."""
        self._woken.set()

    def discard(self) -> None:
        """End all queries, as their answers are not needed.

        Whoever has told the table instead has it from a store that is not slow.
        """
        for query in self._open:
            query.task.cancel()
        self._open = []
        self._usual_delay = 0

    def _accept(self, query: _OpenQuery) -> Answered:
        index = self._open.index(query)
        for earlier in self._open[:index]:
            earlier.task.cancel()
        self._open = self._open[index + 1 :]
        self._taken_at = monotonic()
        self._usual_delay = max(0, self._taken_at - query.expected_at)
        return Answered(query.sent_at, query.task.result())

    async def _wait(self, seconds: float) -> None:
        """Wait for an answer or ``wake``; a standstill counts as no time."""
        waking = asyncio.create_task(self._woken.wait())
        tasks = (waking, *(query.task for query in self._open))
        try:
            with contextlib.suppress(asyncio.TimeoutError):
                async with within_running(seconds):
                    await asyncio.wait(
                        tasks, return_when=asyncio.FIRST_COMPLETED
                    )
        finally:
            waking.cancel()
            self._woken.clear()

    def _measure_silence(self) -> float:
        """Return the seconds since an answer was expected, or bytes came."""
        expected_at = self._open[0].expected_at
        return monotonic() - max(expected_at, self._read_arriving_at())

    def _read_arriving_at(self) -> float:
        """Return when bytes of an answer that is not complete arrived last."""
        received_at = self._read_received_at()
        return received_at if received_at > self._taken_at else -math.inf
