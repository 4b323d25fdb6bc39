"""Clocks, and bounds on waits by deadlines on the monotonic clock.

A process that is stopped, or whose event loop is held, finds all its timers
expired afterwards, before it has read what has arrived meanwhile.  By the
running clock no time has passed then, so that the silence of others isn't
overestimated.
"""

import asyncio
import contextlib
import time
from collections.abc import AsyncIterator, Callable

__all__ = [
    'RunningClock',
    'monotonic',
    'read_boottime',
    'within',
    'within_running',
]

#: Seconds between two beats of the event loop.
_BEAT_SECONDS = 0.1
#: Seconds by which a beat may be late before the loop counts as having stood
#: still: garbage collection and large configurations take less.
_TOLERANCE_SECONDS = 0.1
#: Seconds of a long standstill, in which much may have changed elsewhere.
_LONG_SECONDS = 1.0
#: Seconds before a time-out in which a standstill also puts it off: enough to
#: read what has arrived.
_READING_SECONDS = 0.1
#: The clock of all deadlines; unaffected by changes of the wall clock.
monotonic = time.monotonic


def read_boottime() -> float:
    """Read the clock that also counts while the machine is suspended.

    It is for ages of data that others may have changed meanwhile: after a
    suspension of minutes, such data would be fresh by the monotonic clock.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def within(deadline: float) -> asyncio.Timeout:
    """Bound the waits of an ``async with`` block.

    Parameters
    ----------
    deadline
        Monotonic time, in seconds, at which the block is interrupted with
        ``TimeoutError``.
    """
    loop = asyncio.get_running_loop()
    return asyncio.timeout_at(loop.time() + max(0, deadline - monotonic()))


@contextlib.asynccontextmanager
async def within_running(
    seconds: float, longest: float | None = None
) -> AsyncIterator[Callable[[], None]]:
    """Bound the waits for the answer of another process.

    A standstill of this process shortly before the time-out, or beyond it, puts
    it off by as much, and by ``seconds`` in all at most.  The answer may lie in
    the socket: ``asyncio.timeout`` would cancel its reader, which the event
    loop runs only after all timers that are due.

    Parameters
    ----------
    seconds
        Seconds after which the block is interrupted with ``TimeoutError``.
    longest
        Seconds for which progress puts that off; none without it.

    Yields
    ------
    Callable[[], None]
        Records progress, from which the seconds are counted anew.
    """
    async with asyncio.timeout(None) as bound:
        timer = _RunningTimer(seconds, seconds if longest is None else longest)
        timer.start(bound)
        try:
            yield timer.record_progress
        finally:
            timer.cancel()


class _RunningTimer:
    """Makes a time-out due; a late call shows that the event loop was held."""

    def __init__(self, seconds: float, longest: float) -> None:
        self._loop = asyncio.get_running_loop()
        self._seconds = seconds
        #: Loop time up to which progress puts the time-out off.
        self._latest = self._loop.time() + longest
        self._is_extended = longest > seconds
        self._put_off = float(0)

    def start(self, bound: asyncio.Timeout) -> None:
        """Begin to count for a block."""
        self._bound = bound
        self._count(self._seconds)

    def record_progress(self) -> None:
        """Count the seconds anew, within the longest time."""
        if self._is_extended:
            self.cancel()
            left = self._latest - self._loop.time()
            self._count(min(self._seconds, max(0, left)))

    def cancel(self) -> None:
        """Let the block go on without a bound."""
        self._timer.cancel()

    def _count(self, seconds: float) -> None:
        reading = min(seconds, _READING_SECONDS)
        self._arm(seconds - reading, lambda: self._arm(reading, self._end))

    def _arm(self, seconds: float, proceed: Callable[[], None]) -> None:
        due = self._loop.time() + seconds
        self._timer = self._loop.call_at(due, self._check, due, proceed)

    def _check(self, due: float, proceed: Callable[[], None]) -> None:
        """Proceed, or first wait again for as long as the loop was held."""
        late = self._loop.time() - due
        longest = self._seconds - self._put_off
        if late < _TOLERANCE_SECONDS or longest <= 0:
            proceed()
            return
        longer = min(late, longest)
        self._put_off += longer
        self._arm(longer, proceed)

    def _end(self) -> None:
        self._bound.reschedule(self._loop.time())


def _ignore(_seconds: float) -> None:
    """Ignore by how much a beat was late."""


class RunningClock:
    """Monotonic seconds in which the event loop of this process ran.

    Attributes
    ----------
    stood_still
        Seconds in which it did not.
    """

    def __init__(
        self,
        record_delay: Callable[[float], None] = _ignore,
        read_time: Callable[[], float] = monotonic,
    ) -> None:
        """Start the clock; ``record_delay`` gets the delay of each beat."""
        self.stood_still = float(0)
        self._record_delay = record_delay
        self._read_time = read_time
        self._read_at: float | None = None
        #: Boot times of the last reading, and of the first one after the last
        #: long standstill.
        self._boot_read_at = float('inf')
        self._resumed_at = float('-inf')

    def measure_since_standstill(self) -> float:
        """Return the seconds since this process, or its machine, went on.

        Only long standstills count, of a second and more.
        """
        self.read()
        return read_boottime() - self._resumed_at

    def read(self) -> float:
        """Read the clock, in seconds.

        While nobody keeps it beating it is the monotonic clock.
        """
        now = self._read_time()
        if self._read_at is not None:
            late = now - self._read_at - _BEAT_SECONDS
            if late > _TOLERANCE_SECONDS:
                self.stood_still += late
            self._read_at = now
            self._note_resumption()
        return now - self.stood_still

    async def keep_beating(self) -> None:
        """Read the clock regularly, so that each standstill shows."""
        self._read_at = self._read_time()
        try:
            while True:
                due = self._read_time() + _BEAT_SECONDS
                await asyncio.sleep(_BEAT_SECONDS)
                self._record_delay(max(0, self._read_time() - due))
                self.read()
        finally:
            self._read_at = None
            self._boot_read_at = float('inf')

    def _note_resumption(self) -> None:
        """Record that the process goes on after a long standstill."""
        boot_now = read_boottime()
        if boot_now - self._boot_read_at >= _LONG_SECONDS:
            self._resumed_at = boot_now
        self._boot_read_at = boot_now
