"""Drain: a planned stop that interrupts no call in progress.

First the instance reports that it is leaving, but still accepts the calls of
lagging balancers; then it refuses new calls; then it waits for the calls in
progress, each bounded by its own deadline.
"""

import asyncio
import contextlib
import enum
import functools
import math
from collections.abc import AsyncIterator, Callable, Iterator

import attrs

from ..transport.deadlines import monotonic

__all__ = ['Drain', 'DrainPhase', 'StopEndedError', 'StopTimes']

#: Seconds between two checks for unfinished calls.
_CHECK_PERIOD = 0.05
#: Seconds reserved before the kill for closing servers and sessions, and for
#: the last lines of the log.
_CLOSING_SECONDS = 0.15


class StopEndedError(Exception):
    """The time of a planned stop ran out before a call was done."""


class DrainPhase(enum.StrEnum):
    """The phases of a planned stop, in order."""

    SERVING = 'serving'
    LEAVING = 'leaving'
    REFUSING = 'refusing'


@attrs.frozen
class StopTimes:
    """The durations of a planned stop, in seconds.

    Attributes
    ----------
    grace
        Time in which calls of lagging balancers are still accepted.
    limit
        Time after that to wait for the calls in progress.
    closing
        Time after that to answer interrupted calls, release engines and close
        connections, until the kill.
    """

    grace: float
    limit: float
    closing: float = math.inf


class Drain:
    """The planned stop of this process."""

    def __init__(
        self,
        count_unfinished: Callable[[], int],
        read_times: Callable[[], StopTimes],
    ) -> None:
        """Wait for the calls that ``count_unfinished`` counts.

        ``read_times`` is called when the stop begins: settings may have changed
        since the process started, and a stop that takes longer than the
        platform now allows is killed.
        """
        self._count_unfinished = count_unfinished
        self._read_times = read_times
        self._grace = float(0)
        self.phase = DrainPhase.SERVING
        self.started = asyncio.Event()
        self._ends_at = math.inf
        self._grace_ends_at = math.inf
        self._kill_at = math.inf
        self._has_ended = False
        #: Timeouts of the calls in progress; all expire when the stop ends.
        self._timeouts: set[asyncio.Timeout] = set()

    def seconds_until_end(self) -> float:
        """Return the seconds until unfinished calls are interrupted.

        Infinite while no stop has been requested.
        """
        return self._ends_at - monotonic()

    def seconds_until_kill(self) -> float:
        """Return the seconds until the kill, infinite if none is known."""
        return self._kill_at - monotonic()

    def bound_shutdown_step(self, seconds: float) -> float:
        """Bound the time of a step after the end, to leave time for closing.

        On a busy machine, where each step takes all of its fixed time, these
        times add up to more than is left before the kill.
        """
        left = self.seconds_until_kill() - _CLOSING_SECONDS
        return max(0, min(seconds, left))

    @property
    def has_ended(self) -> bool:
        """Whether the calls in progress have been interrupted."""
        return self._has_ended

    @property
    def has_grace_ended(self) -> bool:
        """Whether the grace for lagging balancers has passed.

        By the clock: the phase changes later when the event loop is busy.
        """
        return monotonic() >= self._grace_ends_at

    def start(self) -> None:
        """Begin the stop; further calls have no effect."""
        if self.phase is DrainPhase.SERVING:
            self.phase = DrainPhase.LEAVING
            times = self._read_times()
            self._grace = times.grace
            self._grace_ends_at = monotonic() + times.grace
            self._ends_at = self._grace_ends_at + times.limit
            self._kill_at = self._ends_at + times.closing
            self.started.set()

    async def finish(self) -> int:
        """Run the stop to its end; return the number of unfinished requests."""
        await asyncio.sleep(self._grace)
        self.phase = DrainPhase.REFUSING
        await self.wait_until_idle(self.seconds_until_end())
        # Without calls in progress a stop ends early.  With the old end, calls
        # that arrive while the process closes would seem to have time left,
        # be accepted, and be interrupted a tenth of a second later.
        self._ends_at = min(self._ends_at, monotonic())
        return self._count_unfinished()

    async def wait_until_idle(self, seconds: float) -> None:
        """Wait until no call is unfinished, at most some seconds."""
        limit = monotonic() + seconds
        while self._count_unfinished() and monotonic() < limit:
            left = limit - monotonic()
            await asyncio.sleep(min(_CHECK_PERIOD, left))

    @contextlib.asynccontextmanager
    async def until_end(self) -> AsyncIterator[Callable[[], None]]:
        """Run a call until it is done or the stop has ended.

        Yields a function to be called once nothing but the end of its answer
        is left to write, which is no longer interrupted then.

        Raises
        ------
        StopEndedError
            When the stop has ended, even before the call could begin.
        """
        if self._has_ended:
            raise StopEndedError
        try:
            async with asyncio.timeout(None) as timeout:
                with self._register(timeout):
                    yield functools.partial(self._complete, timeout)
        except asyncio.TimeoutError:
            if timeout.expired():
                raise StopEndedError from None
            raise

    def interrupt_calls(self) -> int:
        """Interrupt the calls in progress, so that each can still be answered.

        Otherwise the exit of the process closes connections on which callers
        wait for the first byte of an answer.

        Returns
        -------
        int
            Interrupted calls.  A call whose complete answer is just being
            written is not counted: it would be reported to operators as an
            interruption that no caller has seen.
        """
        self._has_ended = True
        now = asyncio.get_running_loop().time()
        for timeout in self._timeouts:
            timeout.reschedule(now)
        return len(self._timeouts)

    def _complete(self, timeout: asyncio.Timeout) -> None:
        """Exempt a call whose complete answer is about to be written.

        Raises
        ------
        StopEndedError
            When the stop has ended, so that it counts as interrupted.
        """
        if self._has_ended:
            raise StopEndedError
        self._timeouts.discard(timeout)

    @contextlib.contextmanager
    def _register(self, timeout: asyncio.Timeout) -> Iterator[None]:
        self._timeouts.add(timeout)
        try:
            yield
        finally:
            self._timeouts.discard(timeout)
