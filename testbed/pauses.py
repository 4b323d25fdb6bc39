"""A routed site whose endpoints and instances pause, under a steady load."""

import asyncio
import collections
import contextlib
import itertools
import pathlib
import time
import types
from collections.abc import Callable, Iterator, Mapping
from concurrent.futures import ThreadPoolExecutor

import aiohttp
import attrs

from .calls import call_control
from .marks import MARKED_QUERY, MarkedEvent, find_misjoined
from .routed import (
    HOST,
    KEY,
    RoutedSite,
    name_instances,
    start_endpoints,
    start_instances,
    start_routed_site,
)

__all__ = [
    'DEADLINE',
    'EVENTS',
    'Load',
    'PausableSite',
    'PausedCall',
    'Silence',
    'pause_endpoint',
    'start_pausable_site',
]

#: Seconds after which an answer is late, for callers and for routes.
DEADLINE = 10.0
#: Events of a stream, and seconds between two of them.
EVENTS = 30
PACE = 0.05
_ENGINES = 8
_BOOKS = 5
_OK = 200
_ERROR = 500
_MILLISECONDS = 1000
_BOUNDS: types.MappingProxyType[str, object] = types.MappingProxyType(
    {'timeout_ms': int(DEADLINE * _MILLISECONDS), 'target_latency_ms': 300}
)
_BOOKED: types.MappingProxyType[str, object] = types.MappingProxyType(
    {**_BOUNDS, 'service': 'book'}
)
_ROUTES: types.MappingProxyType[str, dict[str, object]] = (
    types.MappingProxyType(
        {
            'steady': {
                **_BOUNDS,
                'route_type': 'streaming',
                'stream_resume': True,
            },
            'checks': {**_BOOKED, 'route_type': 'idempotent'},
            'orders': {**_BOOKED, 'route_type': 'non_idempotent'},
        }
    )
)
_KINDS = ('steady', 'checks', 'steady', 'orders')


@attrs.frozen
class Silence:
    """How an endpoint pauses, as its control path takes it."""

    seconds: float = 0
    positions: tuple[int, ...] = ()
    replies: bool = False
    calls: int = -1


def pause_endpoint(site: RoutedSite, name: str, silence: Silence) -> None:
    """Replace the silence of an endpoint; one of 0 seconds ends it."""
    call_control(
        site.endpoints[name], 'PUT', '/control/silence', attrs.asdict(silence)
    )


@attrs.define
class PausedCall:
    """A call, and what came of it.

    Attributes
    ----------
    at, ended_at
        Seconds from the begin of the load.
    arrivals
        Monotonic times of the events.
    """

    request_id: str
    kind: str
    instance: str
    at: float
    status: int = 0
    whole: bool = False
    reason: str = ''
    ended_at: float = 0
    arrivals: list[float] = attrs.field(factory=list)
    events: list[MarkedEvent] = attrs.field(factory=list)

    @property
    def is_stream(self) -> bool:
        """Whether a stream was asked for."""
        return self.kind == 'steady'

    @property
    def query(self) -> str:
        """Query that sets what an engine sends."""
        if not self.is_stream:
            return ''
        return f'?events={EVENTS}&pace={PACE}&{MARKED_QUERY}'

    def find_defect(self) -> str:
        """Return what is wrong with a whole stream; empty if nothing."""
        numbers = [event.number for event in self.events]
        if numbers != list(range(1, EVENTS + 1)):
            return f'events {numbers}'
        return find_misjoined(self.events)

    def is_resumed_from(self, engine: str) -> bool:
        """Return whether an engine began it and another went on."""
        began, ended = self.events[0].endpoint, self.events[-1].endpoint
        return began == engine and ended != engine

    def find_longest_gap(self) -> float:
        """Return the seconds of the longest gap between two events."""
        pairs = itertools.pairwise(self.arrivals)
        return max((later - sooner for sooner, later in pairs), default=0)


@attrs.frozen
class Load:
    """The calls of a load, and how often each ran."""

    calls: list[PausedCall]
    runs: Mapping[str, int]
    #: Requests that callers or instances left, at endpoints that sent them.
    left: Mapping[str, int]

    @property
    def broken(self) -> list[PausedCall]:
        """Calls whose connections ended within or without an answer."""
        return [sent for sent in self.calls if not sent.whole]

    @property
    def failed(self) -> list[PausedCall]:
        """Calls with an error of an instance after an endpoint had begun."""
        return [
            sent
            for sent in self.calls
            if sent.status >= _ERROR and self.runs[sent.request_id]
        ]

    @property
    def refused(self) -> list[PausedCall]:
        """Calls that no endpoint had begun."""
        return [
            sent
            for sent in self.calls
            if sent.whole
            and sent.status != _OK
            and not self.runs[sent.request_id]
        ]

    @property
    def streams(self) -> list[PausedCall]:
        """Streams with a successful head and a regular end."""
        return [
            sent
            for sent in self.calls
            if sent.is_stream and sent.whole and sent.status == _OK
        ]

    def __str__(self) -> str:
        """Count what came of the calls."""
        counts = {
            'streams whole': len(self.streams),
            'broken': len(self.broken),
            'errors': len(self.failed),
            'refused': len(self.refused),
            'cut at endpoints': sum(self.left.values()),
        }
        told = ', '.join(f'{name} {count}' for name, count in counts.items())
        return f'{told}; {(self.broken + self.failed)[:2]}'


class PausableSite:
    """The site, with its load and what its operators do."""

    def __init__(self, site: RoutedSite) -> None:
        """Use a site that runs."""
        self.site = site
        self._ids = itertools.count(1)
        self.configure()

    @property
    def engines(self) -> list[str]:
        """Names of the engines."""
        return [name for name in self.site.endpoints if 'engine' in name]

    def configure(self, **routes: dict[str, object]) -> None:
        """Write a configuration with more routes than before."""
        self.site.put_configuration((KEY,), **_ROUTES, **routes)

    def pause(self, silence: Silence, *names: str) -> None:
        """Pause endpoints in the same moment, all if none is named."""
        chosen = names or tuple(self.site.endpoints)
        with ThreadPoolExecutor(len(chosen)) as pool:
            for name in chosen:
                pool.submit(pause_endpoint, self.site, name, silence)

    def find_busiest_engine(self) -> str:
        """Find the engine to which most calls came in the last second."""
        since = time.monotonic() - 1

        def count(name: str) -> int:
            arrivals = self.site.show_endpoint(name)['arrivals']
            return sum(arrival['at'] > since for arrival in arrivals)

        return max(self.engines, key=count)

    async def apply_load(
        self,
        seconds: float,
        rate: float,
        actions: Mapping[float, Callable[[], None]] | None = None,
    ) -> Load:
        """Call all instances in turn, and act at seconds from the begin."""
        before = _list_left(self.site)
        began = time.monotonic()
        acting = [
            asyncio.ensure_future(_act_at(began + at, action))
            for at, action in (actions or {}).items()
        ]
        async with aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0, force_close=True),
        ) as session:
            waiting = [
                asyncio.ensure_future(
                    self._call(session, began, number, number / rate)
                )
                for number in range(int(seconds * rate))
            ]
            calls = await asyncio.gather(*waiting)
        await asyncio.gather(*acting)
        left = _list_left(self.site)
        left.subtract(before)
        return Load(list(calls), _count_runs(self.site), left)

    async def _call(
        self,
        session: aiohttp.ClientSession,
        began: float,
        number: int,
        at: float,
    ) -> PausedCall:
        """Make the call of a number at its time."""
        turn, position = divmod(number, len(self.site.instances))
        instance = self.site.instances[position]
        kind = _KINDS[turn % len(_KINDS)]
        request_id = f'd{next(self._ids):015x}'
        sent = PausedCall(request_id, kind, instance.name, at)
        await asyncio.sleep(max(0, began + at - time.monotonic()))
        try:
            async with session.post(
                f'http://{instance.caller}/{kind}/x{sent.query}',
                data=b'prompt',
                headers=_build_headers(sent),
                timeout=aiohttp.ClientTimeout(total=DEADLINE),
            ) as response:
                sent.status = response.status
                async for line in response.content:
                    _read_line(sent, line.decode().strip())
            sent.whole = True
        except (aiohttp.ClientError, OSError, asyncio.TimeoutError) as error:
            sent.reason = repr(error)
        sent.ended_at = time.monotonic() - began
        return sent


def _build_headers(sent: PausedCall) -> dict[str, str]:
    headers = {
        'Host': HOST,
        'X-Kelproad-Request-Id': sent.request_id,
        'X-Kelproad-Deadline-Ms': str(int(DEADLINE * _MILLISECONDS)),
        'X-Api-Key': KEY,
    }
    if sent.is_stream:
        headers['X-Kelproad-Token-Count'] = '100,50'
    return headers


def _read_line(sent: PausedCall, line: str) -> None:
    event = MarkedEvent.from_line(line)
    if event:
        sent.events.append(event)
        sent.arrivals.append(time.monotonic())


async def _act_at(moment: float, action: Callable[[], None]) -> None:
    await asyncio.sleep(max(0, moment - time.monotonic()))
    await asyncio.to_thread(action)


def _list_left(site: RoutedSite) -> collections.Counter[str]:
    return collections.Counter(
        itertools.chain.from_iterable(
            site.show_endpoint(name)['left'] for name in site.endpoints
        )
    )


def _count_runs(site: RoutedSite) -> collections.Counter[str]:
    return collections.Counter(
        run.get('X-Kelproad-Request-Id', '')
        for name in site.endpoints
        for run in site.show_endpoint(name)['runs']
    )


@contextlib.contextmanager
def start_pausable_site(
    directory: pathlib.Path, zones: str
) -> Iterator[PausableSite]:
    """Run a site with an instance for each letter, which names its zone."""
    with start_routed_site(directory, 0) as site:
        engines = [f'engine-{number}' for number in range(4, _ENGINES + 1)]
        books = [f'book-{number}' for number in range(3, _BOOKS + 1)]
        start_endpoints(
            site,
            dict.fromkeys(engines, 'writer') | dict.fromkeys(books, 'book'),
        )
        pausable = PausableSite(site)
        start_instances(site, name_instances(zones))
        yield pausable
