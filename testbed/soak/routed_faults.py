"""Failures of a routed site, drawn from a seed: in series and overlapping."""

import asyncio
import contextlib
import math
import random
import secrets
import signal
import time
from collections.abc import Awaitable, Callable

import attrs

from testbed.processes import wait_until_answering
from testbed.routed import RoutedInstance, RoutedSite

from .links import Harm, Link
from .routed_callers import RoutedCallers
from .routed_stops import PlannedStop, PlannedStops

__all__ = ['RoutedFaults', 'Span']

_SHORTEST = 0.5
_LONGEST = 4.0
_CALM_SECONDS = 0.5
_CHAINS = 3
#: Series of stops at a time where these are the only failures: a second one
#: takes instances that have just come back.
_STOP_CHAINS = 2
_SERIES = 'instances stopped in series'
#: Seconds between two stops of a series: at once, or as replacing goes on.
_SERIES_PERIODS = (0, 1.0, 1.5, 2.0)
_DELAY = 0.4


@attrs.frozen
class Span:
    """One failure: what, where, from when to when."""

    name: str
    subject: str
    began: float
    ended: float


class RoutedFaults:
    """Brings failures about, several at a time, and mends each."""

    def __init__(
        self,
        site: RoutedSite,
        links: dict[str, Link],
        callers: RoutedCallers,
        seed: int,
        only_stops: bool = False,
    ) -> None:
        """Draw failures from a seed; links stand before endpoints and store.

        With ``only_stops`` nothing but planned stops is brought about.
        """
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
            'endpoint fails': self._break_endpoint,
            'store fails': self._break_store,
            'link harmed': self._harm_link,
            'keys replaced': self._replace_key,
            'configuration changed': self._change_configuration,
        }
        self._chains = _CHAINS
        if only_stops:
            self._kinds = {_SERIES: self._stop_series}
            self._chains = _STOP_CHAINS
        self._busy: set[str] = set()
        self.spans: list[Span] = []
        #: What endpoints had run when they were killed, by name.
        self.forgotten_runs: dict[str, list[dict[str, str]]] = {}
        #: Times at which a key was given out, and taken away, by key.
        self.given_at: dict[str, float] = {}
        self.revoked_at: dict[str, float] = {}

    @property
    def stops(self) -> list[PlannedStop]:
        """Planned stops that are over."""
        return self._stops.done

    async def run(self, seconds: float) -> None:
        """Bring failures about for a time; all are mended at the end."""
        end = time.monotonic() + seconds
        await asyncio.gather(*(self._chain(end) for _ in range(self._chains)))

    async def _chain(self, end: float) -> None:
        while time.monotonic() < end:
            name = self._random.choice(list(self._kinds))
            began = time.monotonic()
            lasts = self._random.uniform(_SHORTEST, _LONGEST)
            subject = await self._kinds[name](lasts)
            self.spans.append(Span(name, subject, began, time.monotonic()))
            await asyncio.sleep(self._random.uniform(0, _CALM_SECONDS))

    @contextlib.contextmanager
    def _take(self, names: list[str]) -> object:
        """Take one that no other failure has at present; empty for none."""
        free = sorted(set(names) - self._busy)
        name = self._random.choice(free) if free else ''
        self._busy.add(name)
        try:
            yield name
        finally:
            self._busy.discard(name)

    # Instances

    async def _kill(self, lasts: float) -> str:
        with self._take_instance() as instance:
            if instance is None:
                return ''
            instance.process.kill()
            await asyncio.sleep(lasts / 2)
            await asyncio.to_thread(self._site.restart_instance, instance)
            return instance.name

    async def _freeze(self, lasts: float) -> str:
        with self._take_instance() as instance:
            if instance is None:
                return ''
            instance.process.freeze()
            await asyncio.sleep(lasts)
            instance.process.wake()
            return instance.name

    async def _stop(self, _lasts: float) -> str:
        """Stop an instance, which is killed meanwhile one time in four."""
        with self._take_instance() as instance:
            if instance is None:
                return ''
            kill_after = math.inf if self._random.randrange(4) else _SHORTEST
            stop = await self._stops.stop(instance, kill_after)
            return f'{instance.name}, exit code {stop.code}'

    async def _stop_series(self, _lasts: float) -> str:
        """Stop one instance after another, the next before the last is gone."""
        period = self._random.choice(_SERIES_PERIODS)
        stopped = await asyncio.gather(
            *(
                self._stop_later(period * place)
                for place in range(len(self._site.instances))
            ),
        )
        return f'every {period} s: {", ".join(filter(None, stopped))}'

    async def _stop_later(self, seconds: float) -> str:
        await asyncio.sleep(seconds)
        with self._take_instance() as instance:
            if instance is None:
                return ''
            stop = await self._stops.stop(instance)
            return f'{instance.name} exit code {stop.code}'

    async def _reload(self, _lasts: float) -> str:
        with self._take_instance() as instance:
            if instance is None:
                return ''
            instance.process.send_signal(signal.SIGHUP)
            return instance.name

    @contextlib.contextmanager
    def _take_instance(self) -> object:
        names = [instance.name for instance in self._site.instances]
        with self._take(names) as name:
            yield self._find_instance(name)

    def _find_instance(self, name: str) -> RoutedInstance | None:
        for instance in self._site.instances:
            if instance.name == name:
                return instance
        return None

    # Endpoints, store, links

    async def _kill_endpoint(self, lasts: float) -> str:
        with self._take(list(self._site.endpoints)) as name:
            if not name:
                return ''
            shown = await asyncio.to_thread(self._site.show_endpoint, name)
            self.forgotten_runs.setdefault(name, []).extend(shown['runs'])
            self._site.endpoint_processes[name].kill()
            await asyncio.sleep(lasts)
            await asyncio.to_thread(self._site.restart_endpoint, name)
            return name

    async def _break_endpoint(self, lasts: float) -> str:
        fault = self._random.choice(
            (
                {'shed': True},
                {'error': True},
                {'lose': True},
                {'hang': True},
                {'break_after': 2},
                {'crossed': True},
                {'pace': _DELAY},
            ),
        )
        with self._take(list(self._site.endpoints)) as name:
            if not name:
                return ''
            await asyncio.to_thread(self._site.break_endpoint, name, **fault)
            await asyncio.sleep(lasts)
            await asyncio.to_thread(self._site.break_endpoint, name)
            return f'{name}: {fault}'

    async def _break_store(self, lasts: float) -> str:
        fault = self._random.choice(
            (
                {'status': 503},
                {'status': 429},
                {'hang': True},
                {'delay': _DELAY},
                {'lose_answers': 3},
            ),
        )
        with self._take(['store']) as name:
            if not name:
                return ''
            await asyncio.to_thread(self._site.break_store, **fault)
            await asyncio.sleep(lasts)
            await asyncio.to_thread(self._site.break_store)
            return str(fault)

    async def _harm_link(self, lasts: float) -> str:
        harm = self._random.choice(list(Harm))
        with self._take(list(self._links)) as name:
            if not name:
                return ''
            self._links[name].harm(harm, self._random.uniform(0, _DELAY))
            await asyncio.sleep(lasts)
            self._links[name].heal()
            return f'{name}: {harm.value}'

    # The operator

    async def _replace_key(self, _lasts: float) -> str:
        """Take the key away that callers use, and give out another one."""
        with self._take(['operator']) as name:
            if not name:
                return ''
            old = self._callers.key
            self._callers.key = secrets.token_hex(8)
            keys = (self._callers.key,)
            await asyncio.to_thread(self._site.put_configuration, keys)
            self.revoked_at[old] = time.monotonic()
            self.given_at[self._callers.key] = time.monotonic()
            return old

    async def _change_configuration(self, _lasts: float) -> str:
        with self._take(['operator']) as name:
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


def wait_for_all(site: RoutedSite) -> None:
    """Wait until every instance and endpoint answers."""
    for instance in site.instances:
        wait_until_answering(f'http://{instance.ready}/-/readyz')
    for address in site.endpoints.values():
        wait_until_answering(f'http://{address}/control/runs')
