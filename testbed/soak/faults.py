"""Fault injection: random faults from a seed, each ended after a while."""

import asyncio
import random
from collections.abc import Awaitable, Callable

import attrs

from testbed.site import InstanceProcess, Site

__all__ = ['FaultRecord', 'Faults']

_MIN_SECONDS = 1.0
_MAX_SECONDS = 5.0
_PAUSE_SECONDS = 1.0
#: Seconds by which the platform delays its answers while it is slow.
_PLATFORM_DELAY = 1.5


@attrs.frozen
class FaultRecord:
    """One injected fault: its kind, target and duration."""

    name: str
    subject: str
    seconds: float


class Faults:
    """Injects up to two faults at a time into a site."""

    def __init__(self, site: Site, seed: int) -> None:
        """Choose kinds, targets and durations at random from a seed."""
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
        self.drawn: list[FaultRecord] = []

    async def run(self, seconds: float) -> None:
        """Inject faults for ``seconds``; all have ended on return."""
        loop = asyncio.get_running_loop()
        end = loop.time() + seconds
        await asyncio.gather(
            self._inject_repeatedly(end), self._inject_repeatedly(end)
        )

    async def _inject_repeatedly(self, end: float) -> None:
        loop = asyncio.get_running_loop()
        while loop.time() < end:
            name = self._random.choice(list(self._kinds))
            duration = self._random.uniform(_MIN_SECONDS, _MAX_SECONDS)
            subject = await self._kinds[name](duration)
            self.drawn.append(FaultRecord(name, subject, duration))
            await asyncio.sleep(_PAUSE_SECONDS)

    # Instances

    async def _kill_instance(self, duration: float) -> str:
        instance = self._choose_instance()
        if instance is None:
            return ''
        instance.process.kill()
        await asyncio.sleep(duration)
        self._site.start_instance(instance)
        return instance.name

    async def _freeze_instance(self, duration: float) -> str:
        instance = self._choose_instance()
        if instance is None:
            return ''
        instance.process.freeze()
        await asyncio.sleep(duration)
        instance.process.resume()
        return instance.name

    def _choose_instance(self) -> InstanceProcess | None:
        """Choose an instance; ``None`` while another fault has one killed."""
        running = [
            instance
            for instance in self._site.instances
            if instance.process.running
        ]
        if len(running) < len(self._site.instances):
            return None
        return self._random.choice(running)

    # Network and platform

    async def _cut_zone(self, duration: float) -> str:
        zone = self._random.choice(self._site.zones)
        mode = self._random.choice(('hold', 'break'))
        await asyncio.to_thread(self._site.network.isolate, zone, mode)
        await asyncio.sleep(duration)
        await asyncio.to_thread(self._site.network.heal)
        return f'{zone} ({mode})'

    async def _take_platform_down(self, duration: float) -> str:
        return await self._apply_platform_faults(duration, down=True)

    async def _slow_platform(self, duration: float) -> str:
        return await self._apply_platform_faults(
            duration, delay=_PLATFORM_DELAY
        )

    async def _lose_platform_answers(self, duration: float) -> str:
        return await self._apply_platform_faults(duration, lose_answers=5)

    async def _apply_platform_faults(
        self, duration: float, **faults: object
    ) -> str:
        address = self._site.platform_address
        return await self._apply_faults(address, 'platform', duration, faults)

    # Endpoints

    async def _restart_engine(self, duration: float) -> str:
        name = self._choose_endpoint('report')
        self._site.endpoints[name].kill()
        await asyncio.sleep(duration)
        self._site.start_endpoint_again(name)
        return name

    async def _freeze_engine(self, duration: float) -> str:
        name = self._choose_endpoint('report')
        process = self._site.endpoints[name]
        process.freeze()
        await asyncio.sleep(duration)
        process.resume()
        return name

    async def _cut_streams(self, duration: float) -> str:
        clean = self._random.choice((True, False))
        return await self._apply_engine_faults(
            duration, cut_after=3, clean_cut=clean
        )

    async def _mix_events(self, duration: float) -> str:
        return await self._apply_engine_faults(duration, crossed=3, doubled=4)

    async def _apply_engine_faults(
        self, duration: float, **faults: object
    ) -> str:
        name = self._choose_endpoint('report')
        address = self._site.addresses[name]
        return await self._apply_faults(address, name, duration, faults)

    async def _lose_service_answers(self, duration: float) -> str:
        name = self._choose_endpoint('run-book')
        address = self._site.addresses[name]
        return await self._apply_faults(
            address, name, duration, {'lose_answers': 3}
        )

    async def _apply_faults(
        self,
        address: str,
        name: str,
        duration: float,
        faults: dict[str, object],
    ) -> str:
        """Set a stand-in's faults for a time; it may be unreachable."""
        try:
            await asyncio.to_thread(self._set, address, faults)
            await asyncio.sleep(duration)
            await asyncio.to_thread(self._set, address, {})
        except OSError:
            return f'{name} (unreachable)'
        return name

    def _set(self, address: str, faults: dict[str, object]) -> None:
        self._site.set_faults(address, **faults)

    def _choose_endpoint(self, prefix: str) -> str:
        names = sorted(
            name for name in self._site.endpoints if name.startswith(prefix)
        )
        return self._random.choice(names)
