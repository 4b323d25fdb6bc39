"""A planned stop: nothing in progress is cut.

First the instance says that it is leaving and goes on taking what a lagging
balancer still sends; then it refuses; then it waits for what is in progress,
each request bounded by its own deadline.
"""

import asyncio
import contextlib
import enum
import math
from collections.abc import AsyncIterator, Callable, Iterator

import attrs

from ..transport.deadlines import monotonic

__all__ = ['Drain', 'DrainPhase', 'StopEndedError', 'StopTimes']

_CHECK_PERIOD = 0.05
#: Seconds kept before the kill for closing servers and sessions, and for the
#: last lines of the log.
_CLOSING_SECONDS = 0.15


class StopEndedError(Exception):
    """The time of a planned stop ran out with a call in hand."""


class DrainPhase(enum.StrEnum):
    """How far a planned stop has come."""

    SERVING = 'serving'
    LEAVING = 'leaving'
    REFUSING = 'refusing'


@attrs.frozen
class StopTimes:
    """How long the phases of a planned stop last, in seconds.

    Attributes
    ----------
    grace
        For so long it takes what a lagging balancer still sends.
    limit
        For so long after that it waits for what is in progress.
    closing
        For so long after that it may answer, release and close before the
        kill.
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
        """Wait for the calls that are counted.

        ``read_times`` tells how long, once the stop begins: settings may have
        changed since the process started, and a stop that goes on for longer
        than the platform now allows ends by the kill.
        """
        self._count_unfinished = count_unfinished
        self._read_times = read_times
        self._grace = float(0)
        self.phase = DrainPhase.SERVING
        self.started = asyncio.Event()
        self._ends_at = math.inf
        self._late_at = math.inf
        self._kill_at = math.inf
        self._has_ended = False
        #: Timeouts of the calls in hand; all expire when the stop ends.
        self._timeouts: set[asyncio.Timeout] = set()

    def measure_left(self) -> float:
        """Return the seconds until the stop gives up what is unfinished.

        Infinite while no stop was asked for.
        """
        return self._ends_at - monotonic()

    def measure_until_kill(self) -> float:
        """Return the seconds until the kill, infinite if none is known."""
        return self._kill_at - monotonic()

    def bound_closing(self, seconds: float) -> float:
        """Bound a step after the end, so that the closing still has its time.

        Fixed times for all steps add up to more than is left before the kill
        when each of them is used to the full on a busy machine.
        """
        left = self.measure_until_kill() - _CLOSING_SECONDS
        return max(0, min(seconds, left))

    @property
    def is_late(self) -> bool:
        """Whether lagging balancers have had the time to notice.

        By the clock: the phase changes later when the event loop is busy.
        """
        return monotonic() >= self._late_at

    def start(self) -> None:
        """Begin the stop; beginning it again changes nothing."""
        if self.phase is DrainPhase.SERVING:
            self.phase = DrainPhase.LEAVING
            times = self._read_times()
            self._grace = times.grace
            self._late_at = monotonic() + times.grace
            self._ends_at = self._late_at + times.limit
            self._kill_at = self._ends_at + times.closing
            self.started.set()

    async def finish(self) -> int:
        """Go through the stop; return how many requests were left."""
        await asyncio.sleep(self._grace)
        self.phase = DrainPhase.REFUSING
        await self.settle(self.measure_left())
        # A stop that has nothing in hand ends before its time.  What comes
        # while the process closes would be taken by the time that seems left,
        # and be cut a tenth of a second later.
        self._ends_at = min(self._ends_at, monotonic())
        return self._count_unfinished()

    async def settle(self, seconds: float) -> None:
        """Wait until no call is unfinished, so many seconds at the most."""
        limit = monotonic() + seconds
        while self._count_unfinished() and monotonic() < limit:
            left = limit - monotonic()
            await asyncio.sleep(min(_CHECK_PERIOD, left))

    @contextlib.asynccontextmanager
    async def until_end(self) -> AsyncIterator[None]:
        """Go on with a call until it is done, or the stop has ended.

        Raises
        ------
        StopEndedError
            When the stop has ended, also before the call went on at all.
        """
        if self._has_ended:
            raise StopEndedError
        try:
            async with asyncio.timeout(None) as timeout:
                with self._keep(timeout):
                    yield
        except asyncio.TimeoutError:
            if timeout.expired():
                raise StopEndedError from None
            raise

    def end(self) -> int:
        """End what is in hand, so that each call can still be answered.

        Otherwise the end of the process closes connections on which callers
        wait for the first byte of an answer.

        Returns
        -------
        int
            Calls that are interrupted.  One whose whole answer is only being
            written is not: counted, it would tell operators of a cut that no
            caller has seen.
        """
        self._has_ended = True
        now = asyncio.get_running_loop().time()
        for timeout in self._timeouts:
            timeout.reschedule(now)
        return len(self._timeouts)

    @contextlib.contextmanager
    def _keep(self, timeout: asyncio.Timeout) -> Iterator[None]:
        self._timeouts.add(timeout)
        try:
            yield
        finally:
            self._timeouts.discard(timeout)
