"""Request limits that endpoints state during a run, and what they then get."""

import asyncio
import bisect
import random
import time

import attrs

from testbed.calls import CallError
from testbed.routed import RoutedSite

from .routed_callers import CallRecord
from .routed_faults import RoutedFaults, list_interruptions

__all__ = ['StatedLimit', 'StatedLimits', 'check_limits']

#: Requests per second, and seconds for which a limit is stated.
_RATES = (0.5, 1.0, 3.0, 8.0)
_MIN_SECONDS = 5.0
_MAX_SECONDS = 10.0
_MAX_PAUSE_SECONDS = 2.0
#: Endpoints that state a limit at the same time at most.
_CONCURRENT_LIMITS = 2
#: Seconds until a limit binds, and after a fault of an instance until its
#: requests count again.
_SETTLING_SECONDS = 3.0
#: Seconds in which requests are counted, and what is allowed in them: a
#: multiple of the limit, and requests beyond that.
_WINDOW = 4.0
_ALLOWED_FACTOR = 1.5
_ALLOWED_MORE = 5


@attrs.frozen
class StatedLimit:
    """A limit that an endpoint stated, and monotonic begin and end."""

    endpoint: str
    rate: float
    began: float
    ended: float

    @property
    def allowed(self) -> float:
        """Requests that it allows in a window."""
        return _ALLOWED_FACTOR * self.rate * _WINDOW + _ALLOWED_MORE


class StatedLimits:
    """Lets endpoints state limits, beside any faults."""

    def __init__(self, site: RoutedSite, seed: int) -> None:
        """Choose endpoints, rates and times from a seed."""
        self._site = site
        self._random = random.Random(seed)
        self._limited: set[str] = set()
        self.limits: list[StatedLimit] = []

    async def run(self, seconds: float) -> None:
        """State limits for ``seconds``; none is stated on return."""
        end = time.monotonic() + seconds
        await asyncio.gather(
            *(self._state_repeatedly(end) for _ in range(_CONCURRENT_LIMITS))
        )

    async def _state_repeatedly(self, end: float) -> None:
        while time.monotonic() < end:
            left = end - time.monotonic()
            duration = self._random.uniform(_MIN_SECONDS, _MAX_SECONDS)
            await self._state_one(min(left, duration))
            await asyncio.sleep(self._random.uniform(0, _MAX_PAUSE_SECONDS))

    async def _state_one(self, seconds: float) -> None:
        names = sorted(self._site.endpoints.keys() - self._limited)
        name = self._random.choice(names)
        rate = self._random.choice(_RATES)
        began = time.monotonic()
        self._limited.add(name)
        if await self._set(name, str(rate)):
            await asyncio.sleep(seconds)
            ended = time.monotonic()
            self.limits.append(StatedLimit(name, rate, began, ended))
        while not await self._set(name, ''):
            await asyncio.sleep(1)
        self._limited.discard(name)

    async def _set(self, name: str, limit: str) -> bool:
        """Set or end the limit of an endpoint; false while it is down."""
        try:
            await asyncio.to_thread(self._site.set_request_limit, name, limit)
        except (CallError, OSError):
            return False
        return True


def check_limits(
    site: RoutedSite,
    records: list[CallRecord],
    faults: RoutedFaults,
    limits: list[StatedLimit],
) -> list[str]:
    """Return a line for each limit that was exceeded."""
    callers = {item.request_id: item for item in records}
    broken: list[str] = []
    for limit in limits:
        ended = _find_end(limit, faults)
        arrivals = [
            arrival['at']
            for arrival in site.show_endpoint(limit.endpoint)['arrivals']
            if limit.began + _SETTLING_SECONDS <= arrival['at'] <= ended
            and not _is_excused(
                callers.get(arrival['request']), arrival['at'], faults
            )
        ]
        most = count_most(arrivals)
        if most > limit.allowed:
            broken.append(
                f'{limit.endpoint} got {most} requests in {_WINDOW} s, '
                f'allowed {limit.allowed}: {limit}'
            )
    return broken


def _find_end(limit: StatedLimit, faults: RoutedFaults) -> float:
    """Return when a limit ended: an endpoint killed meanwhile forgets it."""
    kills = [
        span.began
        for span in faults.spans
        if span.name == 'endpoint killed'
        and span.subject == limit.endpoint
        and span.ended > limit.began
    ]
    return min([limit.ended, *kills])


def count_most(arrivals: list[float]) -> int:
    """Count the most arrivals in any window; ``arrivals`` is sorted."""
    return max(
        (
            bisect.bisect_left(arrivals, at + _WINDOW) - index
            for index, at in enumerate(arrivals)
        ),
        default=0,
    )


def _is_excused(
    item: CallRecord | None,
    at: float,
    faults: RoutedFaults,
) -> bool:
    """Return whether its instance was killed, frozen or stopped just before."""
    if item is None:
        return False
    return any(
        began <= at <= ended + _SETTLING_SECONDS
        for began, ended in list_interruptions(faults, item.instance)
    )
