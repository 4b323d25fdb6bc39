"""Fault injection into a routed site: overlapping random faults."""

import asyncio
import contextlib
import enum
import math
import random
import secrets
import signal
import time
from collections.abc import Awaitable, Callable

import attrs

from testbed.processes import wait_until_answering
from testbed.routed import RoutedInstance, RoutedSite

from .links import Link, LinkFault
from .routed_callers import RoutedCallers
from .routed_stops import PlannedStop, PlannedStops

__all__ = ['Base', 'RoutedFaults', 'Span', 'list_interruptions']

_MIN_SECONDS = 0.5
_MAX_SECONDS = 4.0
_MAX_PAUSE_SECONDS = 0.5
_CONCURRENT_FAULTS = 3
#: Concurrent series of stops if these are the only faults: the second one also
#: stops instances that have just been restarted.
_CONCURRENT_SERIES = 2
_SERIES = 'instances stopped in series'
#: Seconds between two stops of a series: at once, or as in a rolling restart.
_SERIES_PERIODS = (0, 1.0, 1.5, 2.0)
_MAX_DELAY = 0.4
#: Faults of a link; those of open connections alone are injected elsewhere.
_LINK_FAULTS = tuple(
    fault for fault in LinkFault if fault is not LinkFault.OPEN_SILENT
)
_CALM_KINDS = ('instance frozen', 'keys replaced', 'configuration changed')
#: Faults of an instance after which it knows little of what was before.
_INTERRUPTIONS = frozenset(('instance killed', 'instance frozen'))


@attrs.frozen
class Span:
    """One fault: its kind, its target, and monotonic begin and end."""

    name: str
    subject: str
    began: float
    ended: float


class Base(enum.Enum):
    """Kinds of faults that are injected beside those of other modules."""

    ALL = enum.auto()
    STOPS = enum.auto()
    #: Suspended instances, and what operators change.
    CALM = enum.auto()


class RoutedFaults:
    """Injects several faults at a time and ends each."""

    def __init__(
        self,
        site: RoutedSite,
        links: dict[str, Link],
        callers: RoutedCallers,
        seed: int,
        base: Base = Base.ALL,
    ) -> None:
        """Choose faults from a seed; links lead to endpoints and store."""
        self._site = site
        self._links = links
        self._callers = callers
        self._random = random.Random(seed)
        self._stops = PlannedStops(site, self._random)
        self._kinds: dict[str, Callable[[float], Awaitable[str]]] = {
            _SERIES: self._stop_series,
            'instance killed': self._kill,
            'instance frozen': self._freeze,
            'instance stopped': self._stop,
            'instance reloaded': self._reload,
            'endpoint killed': self._kill_endpoint,
            'endpoint fails': self._disturb_endpoint,
            'store fails': self._disturb_store,
            'link harmed': self._disturb_link,
            'keys replaced': self._replace_key,
            'configuration changed': self._change_configuration,
        }
        self._concurrency = _CONCURRENT_FAULTS
        if base is Base.STOPS:
            self._kinds = {_SERIES: self._stop_series}
            self._concurrency = _CONCURRENT_SERIES
        elif base is Base.CALM:
            self._kinds = {name: self._kinds[name] for name in _CALM_KINDS}
            self._concurrency = 1
        self._busy: set[str] = set()
        self.spans: list[Span] = []
        #: Run records that endpoints lost when they were killed, by name.
        self.lost_runs: dict[str, list[dict[str, str]]] = {}
        #: Monotonic times at which a key was issued and revoked, by key.
        self.issued_at: dict[str, float] = {}
        self.revoked_at: dict[str, float] = {}

    @property
    def stops(self) -> list[PlannedStop]:
        """Planned stops that have ended, in this order."""
        return self._stops.done

    async def run(self, seconds: float) -> None:
        """Inject faults for ``seconds``; all have ended on return."""
        end = time.monotonic() + seconds
        await asyncio.gather(
            *(self._inject_repeatedly(end) for _ in range(self._concurrency))
        )

    @contextlib.contextmanager
    def reserve(self, names: list[str]) -> object:
        """Reserve a random name that no other fault uses; empty if none."""
        free = sorted(set(names) - self._busy)
        name = self._random.choice(free) if free else ''
        self._busy.add(name)
        try:
            yield name
        finally:
            self._busy.discard(name)

    async def write_other_key(self, **routes: dict[str, object]) -> str:
        """Write a configuration with another key; return the revoked one.

        The operator must be reserved.
        """
        old = self._callers.key
        self._callers.key = secrets.token_hex(8)
        keys = (self._callers.key,)
        await asyncio.to_thread(self._site.put_configuration, keys, **routes)
        self.revoked_at[old] = time.monotonic()
        self.issued_at[self._callers.key] = time.monotonic()
        return old

    async def _inject_repeatedly(self, end: float) -> None:
        while time.monotonic() < end:
            name = self._random.choice(list(self._kinds))
            began = time.monotonic()
            duration = self._random.uniform(_MIN_SECONDS, _MAX_SECONDS)
            subject = await self._kinds[name](duration)
            self.spans.append(Span(name, subject, began, time.monotonic()))
            await asyncio.sleep(self._random.uniform(0, _MAX_PAUSE_SECONDS))

    # Instances

    async def _kill(self, duration: float) -> str:
        with self._reserve_instance() as instance:
            if instance is None:
                return ''
            instance.process.kill()
            await asyncio.sleep(duration / 2)
            await asyncio.to_thread(self._site.restart_instance, instance)
            return instance.name

    async def _freeze(self, duration: float) -> str:
        with self._reserve_instance() as instance:
            if instance is None:
                return ''
            instance.process.freeze()
            await asyncio.sleep(duration)
            instance.process.resume()
            return instance.name

    async def _stop(self, _duration: float) -> str:
        """Stop an instance; one time in four it is killed meanwhile."""
        with self._reserve_instance() as instance:
            if instance is None:
                return ''
            kill_after = math.inf if self._random.randrange(4) else _MIN_SECONDS
            stop = await self._stops.stop(instance, kill_after)
            return f'{instance.name}, exit code {stop.code}'

    async def _stop_series(self, _duration: float) -> str:
        """Stop one instance after another, without waiting for exits."""
        period = self._random.choice(_SERIES_PERIODS)
        stopped = await asyncio.gather(
            *(
                self._stop_later(period * position)
                for position in range(len(self._site.instances))
            ),
        )
        return f'every {period} s: {", ".join(filter(None, stopped))}'

    async def _stop_later(self, seconds: float) -> str:
        await asyncio.sleep(seconds)
        with self._reserve_instance() as instance:
            if instance is None:
                return ''
            stop = await self._stops.stop(instance)
            return f'{instance.name} exit code {stop.code}'

    async def _reload(self, _duration: float) -> str:
        with self._reserve_instance() as instance:
            if instance is None:
                return ''
            instance.process.send_signal(signal.SIGHUP)
            return instance.name

    @contextlib.contextmanager
    def _reserve_instance(self) -> object:
        names = [instance.name for instance in self._site.instances]
        with self.reserve(names) as name:
            yield self._find_instance(name)

    def _find_instance(self, name: str) -> RoutedInstance | None:
        for instance in self._site.instances:
            if instance.name == name:
                return instance
        return None

    # Endpoints, store, links

    async def _kill_endpoint(self, duration: float) -> str:
        with self.reserve(list(self._site.endpoints)) as name:
            if not name:
                return ''
            try:
                state = await asyncio.to_thread(self._site.show_endpoint, name)
            except OSError:
                # It has crashed meanwhile, and is restarted.
                return ''
            self.lost_runs.setdefault(name, []).extend(state['runs'])
            self._site.endpoint_processes[name].kill()
            await asyncio.sleep(duration)
            await asyncio.to_thread(self._site.restart_endpoint, name)
            return name

    async def _disturb_endpoint(self, duration: float) -> str:
        fault = self._random.choice(
            (
                {'shed': True},
                {'error': True},
                {'lose': True},
                {'hang': True},
                {'break_after': 2},
                {'crossed': True},
                {'pace': _MAX_DELAY},
            ),
        )
        with self.reserve(list(self._site.endpoints)) as name:
            if not name:
                return ''
            with contextlib.suppress(OSError):
                # One that has crashed meanwhile is restarted without faults.
                await asyncio.to_thread(
                    self._site.set_endpoint_faults, name, **fault
                )
                await asyncio.sleep(duration)
                await asyncio.to_thread(self._site.set_endpoint_faults, name)
            return f'{name}: {fault}'

    async def _disturb_store(self, duration: float) -> str:
        fault = self._random.choice(
            (
                {'status': 503},
                {'status': 429},
                {'hang': True},
                {'delay': _MAX_DELAY},
                {'lose_answers': 3},
            ),
        )
        with self.reserve(['store']) as name:
            if not name:
                return ''
            await asyncio.to_thread(self._site.set_store_faults, **fault)
            await asyncio.sleep(duration)
            await asyncio.to_thread(self._site.set_store_faults)
            return str(fault)

    async def _disturb_link(self, duration: float) -> str:
        harm = self._random.choice(_LINK_FAULTS)
        with self.reserve(list(self._links)) as name:
            if not name:
                return ''
            self._links[name].harm(harm, self._random.uniform(0, _MAX_DELAY))
            await asyncio.sleep(duration)
            self._links[name].heal()
            return f'{name}: {harm.value}'

    # The operator

    async def _replace_key(self, _duration: float) -> str:
        """Revoke the key that callers use, and issue another one."""
        with self.reserve(['operator']) as name:
            if not name:
                return ''
            return await self.write_other_key()

    async def _change_configuration(self, _duration: float) -> str:
        with self.reserve(['operator']) as name:
            if not name:
                return ''
            number = self._random.randrange(100)
            added = {f'added-{number}': {'service': 'book'}}
            keys = (self._callers.key,)
            await asyncio.to_thread(
                self._site.put_configuration,
                keys,
                **added,
            )
            return str(number)


def list_interruptions(
    faults: RoutedFaults, instance: str
) -> list[tuple[float, float]]:
    """List when an instance was killed, frozen or stopped."""
    spans = [
        (span.began, span.ended)
        for span in faults.spans
        if span.subject == instance and span.name in _INTERRUPTIONS
    ]
    spans += [
        (stop.terminated_at, stop.ready_again_at)
        for stop in faults.stops
        if stop.instance == instance
    ]
    return spans


def wait_for_all(site: RoutedSite) -> None:
    """Wait until every instance and endpoint answers."""
    for instance in site.instances:
        wait_until_answering(f'http://{instance.ready}/-/readyz')
    for address in site.endpoints.values():
        wait_until_answering(f'http://{address}/control/runs')
