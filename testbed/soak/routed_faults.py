"""Failures of a routed site, drawn from a seed: in series and overlapping."""

import asyncio
import contextlib
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

__all__ = ['RoutedFaults', 'Span']

_SHORTEST = 0.5
_LONGEST = 4.0
_CALM_SECONDS = 0.5
_CHAINS = 3
#: Seconds after which a process must be gone that was asked to stop.
_STOP_SECONDS = 10.0
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
    ) -> None:
        """Draw failures from a seed; links stand before endpoints and store."""
        self._site = site
        self._links = links
        self._callers = callers
        self._random = random.Random(seed)
        self._kinds: dict[str, Callable[[float], Awaitable[str]]] = {
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
        self._busy: set[str] = set()
        self.spans: list[Span] = []
        #: Times at which a key was given out, and taken away, by key.
        self.given_at: dict[str, float] = {}
        self.revoked_at: dict[str, float] = {}

    async def run(self, seconds: float) -> None:
        """Bring failures about for a time; all are mended at the end."""
        end = time.monotonic() + seconds
        await asyncio.gather(*(self._chain(end) for _ in range(_CHAINS)))

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
            instance.process.send_signal(signal.SIGTERM)
            if not self._random.randrange(4):
                await asyncio.sleep(_SHORTEST)
                instance.process.kill()
            code = await asyncio.to_thread(instance.process.wait, _STOP_SECONDS)
            await asyncio.to_thread(self._site.restart_instance, instance)
            return f'{instance.name}, exit code {code}'

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
