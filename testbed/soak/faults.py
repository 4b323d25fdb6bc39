"""Failures drawn from a seed: each is brought about, lasts, and is mended."""

import asyncio
import random
from collections.abc import Awaitable, Callable

import attrs

from testbed.site import InstanceProcess, Site

__all__ = ['FaultDraw', 'Faults']

_SHORTEST = 1.0
_LONGEST = 5.0
_CALM_SECONDS = 1.0
#: Seconds by which the platform is late while it is slow.
_SLOWNESS = 1.5


@attrs.frozen
class FaultDraw:
    """One failure as it was brought about."""

    name: str
    subject: str
    seconds: float


class Faults:
    """Brings failures about, one or two at a time, until told to stop."""

    def __init__(self, site: Site, seed: int) -> None:
        """Draw failures of a site from a seed."""
        self._site = site
        self._random = random.Random(seed)
        self._kinds: dict[str, Callable[[float], Awaitable[str]]] = {
            'instance killed': self._kill_instance,
            'instance frozen': self._freeze_instance,
            'zone cut off': self._cut_zone,
            'platform down': self._take_platform_down,
            'platform slow': self._slow_platform,
            'platform loses answers': self._lose_platform_answers,
            'engine restarted': self._restart_engine,
            'engine frozen': self._freeze_engine,
            'engine cuts streams': self._cut_streams,
            'engine mixes events': self._mix_events,
            'service loses answers': self._lose_service_answers,
        }
        self.drawn: list[FaultDraw] = []

    async def run(self, seconds: float) -> None:
        """Bring failures about for a time; all are mended at the end."""
        loop = asyncio.get_running_loop()
        end = loop.time() + seconds
        await asyncio.gather(self._chain(end), self._chain(end))

    async def _chain(self, end: float) -> None:
        loop = asyncio.get_running_loop()
        while loop.time() < end:
            name = self._random.choice(list(self._kinds))
            lasts = self._random.uniform(_SHORTEST, _LONGEST)
            subject = await self._kinds[name](lasts)
            self.drawn.append(FaultDraw(name, subject, lasts))
            await asyncio.sleep(_CALM_SECONDS)

    # Instances

    async def _kill_instance(self, lasts: float) -> str:
        instance = self._draw_instance()
        if instance is None:
            return ''
        instance.process.kill()
        await asyncio.sleep(lasts)
        self._site.start_instance(instance)
        return instance.name

    async def _freeze_instance(self, lasts: float) -> str:
        instance = self._draw_instance()
        if instance is None:
            return ''
        instance.process.freeze()
        await asyncio.sleep(lasts)
        instance.process.wake()
        return instance.name

    def _draw_instance(self) -> InstanceProcess | None:
        """Draw an instance that another failure has not ended."""
        running = [
            instance
            for instance in self._site.instances
            if instance.process.running
        ]
        if len(running) < len(self._site.instances):
            return None
        return self._random.choice(running)

    # Network and platform

    async def _cut_zone(self, lasts: float) -> str:
        zone = self._random.choice(self._site.zones)
        mode = self._random.choice(('hold', 'break'))
        await asyncio.to_thread(self._site.network.isolate, zone, mode)
        await asyncio.sleep(lasts)
        await asyncio.to_thread(self._site.network.heal)
        return f'{zone} ({mode})'

    async def _take_platform_down(self, lasts: float) -> str:
        return await self._fault_platform(lasts, down=True)

    async def _slow_platform(self, lasts: float) -> str:
        return await self._fault_platform(lasts, delay=_SLOWNESS)

    async def _lose_platform_answers(self, lasts: float) -> str:
        return await self._fault_platform(lasts, lose_answers=5)

    async def _fault_platform(self, lasts: float, **faults: object) -> str:
        address = self._site.platform_address
        return await self._fault(address, 'platform', lasts, faults)

    # Endpoints

    async def _restart_engine(self, lasts: float) -> str:
        name = self._draw_endpoint('report')
        self._site.endpoints[name].kill()
        await asyncio.sleep(lasts)
        self._site.start_endpoint_again(name)
        return name

    async def _freeze_engine(self, lasts: float) -> str:
        name = self._draw_endpoint('report')
        process = self._site.endpoints[name]
        process.freeze()
        await asyncio.sleep(lasts)
        process.wake()
        return name

    async def _cut_streams(self, lasts: float) -> str:
        clean = self._random.choice((True, False))
        return await self._fault_engine(lasts, cut_after=3, clean_cut=clean)

    async def _mix_events(self, lasts: float) -> str:
        return await self._fault_engine(lasts, crossed=3, doubled=4)

    async def _fault_engine(self, lasts: float, **faults: object) -> str:
        name = self._draw_endpoint('report')
        address = self._site.addresses[name]
        return await self._fault(address, name, lasts, faults)

    async def _lose_service_answers(self, lasts: float) -> str:
        name = self._draw_endpoint('run-book')
        address = self._site.addresses[name]
        return await self._fault(address, name, lasts, {'lose_answers': 3})

    async def _fault(
        self,
        address: str,
        name: str,
        lasts: float,
        faults: dict[str, object],
    ) -> str:
        """Set a stand-in's faults for a time; it may be down just then."""
        try:
            await asyncio.to_thread(self._set, address, faults)
            await asyncio.sleep(lasts)
            await asyncio.to_thread(self._set, address, {})
        except OSError:
            return f'{name} (unreachable)'
        return name

    def _set(self, address: str, faults: dict[str, object]) -> None:
        self._site.set_faults(address, **faults)

    def _draw_endpoint(self, prefix: str) -> str:
        names = sorted(
            name for name in self._site.endpoints if name.startswith(prefix)
        )
        return self._random.choice(names)
