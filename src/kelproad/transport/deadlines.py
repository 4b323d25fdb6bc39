"""Bounds on waits by deadlines on the monotonic clock."""

import asyncio
import time

__all__ = ['monotonic', 'read_boottime', 'within']

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
