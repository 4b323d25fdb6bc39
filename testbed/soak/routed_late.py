"""A store that answers late, slowly or not at all, and large configurations."""

import asyncio
import random
import time

from testbed.routed import RoutedSite

from .routed_callers import RoutedCallers
from .routed_faults import RoutedFaults, Span
from .routed_watch import StoreWatch

__all__ = ['STORE_LATE', 'StoreLateness']

STORE_LATE = 'store late'
#: Bounds of the seconds by which answers are late, of the bytes a second, of
#: the seconds of one fault, and of those for which the store is away.
_DELAYS = (0.5, 3.0)
_RATES = (200_000, 1_000_000)
_LATE_SECONDS = (2.0, 9.0)
_AWAY_SECONDS = (0.3, 6.0)
#: Seconds between two faults: most follow at once.
_GAPS = (0, 0, 0.2, 2.0)
_AWAY_STATUSES = (429, 503)
#: Bounds of the routes that a configuration has more, of the small changes in a
#: row, and of the seconds between two of these and between two groups.
_MANY_ROUTES = (200, 3000)
_CHANGES = (2, 12)
_CHANGE_SECONDS = (0, 0.3)
_GAP_SECONDS = (0.5, 4.0)


class StoreLateness:
    """Makes the store late and configurations large, beside other faults."""

    def __init__(
        self,
        site: RoutedSite,
        faults: RoutedFaults,
        callers: RoutedCallers,
        seed: int,
    ) -> None:
        """Choose faults and changes from a seed, each by itself."""
        self._site = site
        self._faults = faults
        self._callers = callers
        self.watch = StoreWatch(site)
        self._random = random.Random(seed)
        self._changes = random.Random(-seed)
        self._kinds = (
            self._choose_delay,
            self._choose_delay,
            self._choose_rate,
            self._choose_rate,
            self._choose_both,
            self._choose_away,
        )

    async def run(self, seconds: float) -> None:
        """Disturb and write for ``seconds``; the store is sound on return."""
        end = time.monotonic() + seconds
        await asyncio.gather(
            self._disturb_until(end),
            self._write_until(end),
            self.watch.run(seconds),
        )

    async def _disturb_until(self, end: float) -> None:
        while time.monotonic() < end:
            chosen = self._random.choice(self._kinds)()
            is_away = 'hang' in chosen or 'status' in chosen
            bounds = _AWAY_SECONDS if is_away else _LATE_SECONDS
            duration = self._random.uniform(*bounds)
            await self._disturb(chosen, min(duration, end - time.monotonic()))
            await asyncio.sleep(self._random.choice(_GAPS))

    async def _disturb(self, chosen: dict[str, float], seconds: float) -> None:
        with self._faults.reserve(['store']) as store:
            if not store:
                return
            began = time.monotonic()
            await asyncio.to_thread(self._site.set_store_faults, **chosen)
            await asyncio.sleep(seconds)
            await asyncio.to_thread(self._site.set_store_faults)
            self._faults.spans.append(
                Span(STORE_LATE, str(chosen), began, time.monotonic())
            )

    def _choose_delay(self) -> dict[str, float]:
        return {'delay': self._random.uniform(*_DELAYS)}

    def _choose_rate(self) -> dict[str, float]:
        return {'bytes_per_second': self._random.uniform(*_RATES)}

    def _choose_both(self) -> dict[str, float]:
        return self._choose_delay() | self._choose_rate()

    def _choose_away(self) -> dict[str, float]:
        status = self._random.choice((None, *_AWAY_STATUSES))
        return {'hang': True} if status is None else {'status': status}

    # The operator

    async def _write_until(self, end: float) -> None:
        writers = (self._write_many_routes, self._write_changes)
        while time.monotonic() < end:
            with self._faults.reserve(['operator']) as operator:
                if operator:
                    await self._changes.choice(writers)()
            await asyncio.sleep(self._changes.uniform(*_GAP_SECONDS))

    async def _write_many_routes(self) -> None:
        """Write a large configuration, with another key one time in two."""
        count = self._changes.randint(*_MANY_ROUTES)
        if self._changes.choice((False, True)):
            await self._faults.write_other_key(**_name_routes(count))
        else:
            await self._write(count)

    async def _write_changes(self) -> None:
        """Write many small configurations."""
        for count in range(self._changes.randint(*_CHANGES)):
            await self._write(count)
            await asyncio.sleep(self._changes.uniform(*_CHANGE_SECONDS))

    async def _write(self, count: int) -> None:
        await asyncio.to_thread(
            self._site.put_configuration,
            (self._callers.key,),
            **_name_routes(count),
        )


def _name_routes(count: int) -> dict[str, dict[str, object]]:
    return {f'many-{number}': {'service': 'book'} for number in range(count)}
