"""A store that returns from copies of itself while a site runs."""

import asyncio
import random
import time

from testbed.routed import RoutedSite, list_rows

from .routed_callers import RoutedCallers
from .routed_faults import RoutedFaults, Span

__all__ = ['StoreRestorations', 'check_restorations']

#: Bounds of the seconds by which a copy is old, for which the store is away,
#: until what was lost is written again, and between two restorations.
_MIN_COPY_SECONDS = 0.3
_COPY_SECONDS = (_MIN_COPY_SECONDS, 3.0)
_AWAY_SECONDS = (0, 1.5)
_REWRITE_SECONDS = (0, 1.0)
_GAP_SECONDS = (0.5, 4.0)
#: How far versions are past the lost ones once all is written again; ``None``
#: for as far as they get.
_AHEAD = (None, None, -1, 0, 5)
#: Most reports of each endpoint that are lost.
_MAX_LOST_REPORTS = 3
#: Seconds within which a configuration must be in force.
_NEWS_SECONDS = 2.0
_AWAY = 503


class StoreRestorations:
    """Restores the store, beside any other faults."""

    def __init__(
        self,
        site: RoutedSite,
        faults: RoutedFaults,
        callers: RoutedCallers,
        seed: int,
    ) -> None:
        """Choose times and versions from a seed."""
        self._site = site
        self._callers = callers
        self._faults = faults
        self._random = random.Random(seed)
        self.count = 0

    async def run(self, seconds: float) -> None:
        """Restore for ``seconds``; all is written again on return."""
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            await asyncio.to_thread(self._site.copy_store)
            reports = self._random.randint(0, _MAX_LOST_REPORTS)
            await asyncio.to_thread(self._report_all, reports)
            await asyncio.sleep(self._random.uniform(*_COPY_SECONDS))
            with (
                self._faults.reserve(['store']) as store,
                self._faults.reserve(['operator']) as operator,
            ):
                if store and operator:
                    await self._restore(self._random.choice((False, True)))
            await asyncio.sleep(self._random.uniform(*_GAP_SECONDS))

    async def finish(self) -> None:
        """Restore once more after all faults, and wait for news."""
        await asyncio.to_thread(self._site.copy_store)
        await asyncio.to_thread(self._report_all, _MAX_LOST_REPORTS)
        await asyncio.sleep(_MIN_COPY_SECONDS)
        await self._restore(with_news=True)
        await asyncio.sleep(_NEWS_SECONDS)

    async def _restore(self, with_news: bool) -> None:
        began = time.monotonic()
        await asyncio.to_thread(self._site.set_store_faults, status=_AWAY)
        restored = await asyncio.to_thread(self._site.restore_store)
        self.count += 1
        await asyncio.sleep(self._random.uniform(*_AWAY_SECONDS))
        if self._random.choice((False, True)):
            await asyncio.to_thread(self._site.set_store_faults)
            await asyncio.sleep(self._random.uniform(*_REWRITE_SECONDS))
        await asyncio.to_thread(self._write_again, restored, with_news)
        await asyncio.to_thread(self._site.set_store_faults)
        self._faults.spans.append(
            Span('store restored', str(restored), began, time.monotonic())
        )

    def _report_all(self, reports: int) -> None:
        for _ in range(reports):
            for name in self._site.endpoints:
                self._site.report_endpoint(name)

    def _write_again(self, restored: dict[str, int], with_news: bool) -> None:
        """Write what is lost again, or news in place of the configuration."""
        if with_news:
            self._site.put_configuration((self._callers.key,))
        else:
            self._site.write_configuration_again()
        for name in self._site.endpoints:
            self._site.report_endpoint(name)
        ahead = self._random.choice(_AHEAD)
        if ahead is None:
            return
        written = restored['version'] + 1 + len(self._site.endpoints)
        for _ in range(restored['lost'] + ahead - written):
            self._site.put_row('others', 'row', {})


def check_restorations(
    site: RoutedSite, restorations: StoreRestorations
) -> list[str]:
    """Return a line for each instance that stays behind the restored store."""
    era = 1 + restorations.count
    listed = list_rows(site, 'kelproad_instances')
    broken: list[str] = []
    for instance in site.instances:
        state = instance.dump()
        if state['version'] != site.version:
            broken.append(f'{instance.name} has version {state["version"]}')
        for table in ('op', 'servers'):
            revision = state['tables'][table]['revision']
            if revision['era'] != era:
                broken.append(f'{instance.name}: {table} at {revision}')
        if instance.name not in listed:
            broken.append(f'{instance.name} is not listed')
    return broken
