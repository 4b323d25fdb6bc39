"""A planned stop: nothing in progress is cut.

First the instance says that it is leaving and goes on taking what a lagging
balancer still sends; then it refuses; then it waits for what is in progress,
each request bounded by its own deadline.
"""

import asyncio
import enum
import math
from collections.abc import Callable

import attrs

from ..transport.deadlines import monotonic

__all__ = ['Drain', 'DrainPhase', 'StopTimes']

_CHECK_PERIOD = 0.05


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
    """

    grace: float
    limit: float


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

    def measure_left(self) -> float:
        """Return the seconds until the stop gives up what is unfinished.

        Infinite while no stop was asked for.
        """
        return self._ends_at - monotonic()

    def start(self) -> None:
        """Begin the stop; beginning it again changes nothing."""
        if self.phase is DrainPhase.SERVING:
            self.phase = DrainPhase.LEAVING
            times = self._read_times()
            self._grace = times.grace
            self._ends_at = monotonic() + times.grace + times.limit
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
            await asyncio.sleep(_CHECK_PERIOD)
