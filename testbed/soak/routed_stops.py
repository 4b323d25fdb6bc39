"""Planned stops of instances, as a platform performs them.

A stop begins with SIGTERM; the process is killed after a grace period.
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

#: Seconds from SIGTERM to the kill, as in the settings of the instances.
GRACE = 8.0
_POLL_PERIOD = 0.02
#: Second signal while an instance stops, if any: platforms repeat SIGTERM, and
#: operators reload all instances at once.
_SECOND_SIGNALS = (None, signal.SIGTERM, signal.SIGHUP)


@attrs.frozen
class PlannedStop:
    """One planned stop of an instance and its result.

    Attributes
    ----------
    terminated_at, ended_at, ready_again_at
        Monotonic times of SIGTERM, of the exit or kill, and of readiness after
        the restart.
    code
        Exit code.
    killed_at
        Time of a kill within the grace period; infinite without one.
    overdue
        Whether it was still running at the end of the grace period.
    """

    instance: str
    terminated_at: float
    ended_at: float
    ready_again_at: float
    code: int
    killed_at: float = math.inf
    overdue: bool = False

    def covers(self, moment: float) -> bool:
        """Return whether the instance was stopping at a monotonic time."""
        return self.terminated_at <= moment <= self.ended_at


class PlannedStops:
    """Stops instances, restarts them and records the stops."""

    def __init__(self, site: RoutedSite, generator: random.Random) -> None:
        """Use ``generator`` for the second signals and their times."""
        self._site = site
        self._random = generator
        self.done: list[PlannedStop] = []

    async def stop(
        self,
        instance: RoutedInstance,
        kill_after: float = math.inf,
    ) -> PlannedStop:
        """Stop and restart an instance; ``kill_after`` shortens its grace."""
        process = instance.process
        second_signal = self._random.choice(_SECOND_SIGNALS)
        second_after = self._random.uniform(0, GRACE)
        terminated_at = time.monotonic()
        process.send_signal(signal.SIGTERM)
        kill_at = terminated_at + min(GRACE, kill_after)
        if second_signal and await _is_running_until(
            process,
            min(terminated_at + second_after, kill_at),
        ):
            process.send_signal(second_signal)
        alive = await _is_running_until(process, kill_at)
        ended_at = time.monotonic()
        if alive:
            process.kill()
        code = await asyncio.to_thread(process.wait, GRACE)
        await asyncio.to_thread(self._site.restart_instance, instance)
        stop = PlannedStop(
            instance.name,
            terminated_at,
            ended_at,
            time.monotonic(),
            code,
            killed_at=ended_at if alive and kill_after < GRACE else math.inf,
            overdue=alive and kill_after >= GRACE,
        )
        self.done.append(stop)
        return stop


async def _is_running_until(process: Process, until: float) -> bool:
    """Wait for an exit until a time; return whether the process runs."""
    while process.running and time.monotonic() < until:
        await asyncio.sleep(_POLL_PERIOD)
    return process.running
