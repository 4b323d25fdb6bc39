"""Planned stops as a platform brings them about, and how each went.

A stop is asked for by SIGTERM and ends with a kill when its time is over.
"""

import asyncio
import math
import random
import signal
import time

import attrs

from testbed.processes import Process
from testbed.routed import RoutedInstance, RoutedSite

__all__ = ['GRACE', 'PlannedStop', 'PlannedStops']

#: Seconds from SIGTERM to the kill, as the settings of the instances say.
GRACE = 8.0
_LOOK_PERIOD = 0.02
#: What an instance is sent once more while it stops, if anything; platforms
#: repeat what they ask for, and operators reload all instances at once.
_SECOND_SIGNALS = (None, signal.SIGTERM, signal.SIGHUP)


@attrs.frozen
class PlannedStop:
    """One stop of an instance.

    Attributes
    ----------
    asked_at, ended_at, back_at
        Monotonic times of SIGTERM, of the end, and of serving again.
    code
        Exit code.
    killed_at
        Time of a kill before the time was over; infinite without one.
    overdue
        Whether it was still alive at the end of its time.
    """

    instance: str
    asked_at: float
    ended_at: float
    back_at: float
    code: int
    killed_at: float = math.inf
    overdue: bool = False

    def covers(self, moment: float) -> bool:
        """Tell whether the instance was stopping at a time."""
        return self.asked_at <= moment <= self.ended_at


class PlannedStops:
    """Stops instances and starts them again."""

    def __init__(self, site: RoutedSite, generator: random.Random) -> None:
        """Draw what else happens during a stop."""
        self._site = site
        self._random = generator
        self.done: list[PlannedStop] = []

    async def stop(
        self,
        instance: RoutedInstance,
        kill_after: float = math.inf,
    ) -> PlannedStop:
        """Stop an instance, which may be killed before its time is over."""
        process = instance.process
        second = self._random.choice(_SECOND_SIGNALS)
        second_after = self._random.uniform(0, GRACE)
        asked_at = time.monotonic()
        process.send_signal(signal.SIGTERM)
        last = asked_at + min(GRACE, kill_after)
        if second and await _outlives(
            process,
            min(asked_at + second_after, last),
        ):
            process.send_signal(second)
        alive = await _outlives(process, last)
        ended_at = time.monotonic()
        if alive:
            process.kill()
        code = await asyncio.to_thread(process.wait, GRACE)
        await asyncio.to_thread(self._site.restart_instance, instance)
        stop = PlannedStop(
            instance.name,
            asked_at,
            ended_at,
            time.monotonic(),
            code,
            killed_at=ended_at if alive and kill_after < GRACE else math.inf,
            overdue=alive and kill_after >= GRACE,
        )
        self.done.append(stop)
        return stop


async def _outlives(process: Process, until: float) -> bool:
    """Wait for the end of a process; tell whether it runs at a time."""
    while process.running and time.monotonic() < until:
        await asyncio.sleep(_LOOK_PERIOD)
    return process.running
