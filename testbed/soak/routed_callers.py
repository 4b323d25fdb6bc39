"""Callers of the routed interface that remember every answer."""

import asyncio
import itertools
import math
import random
import time

import aiohttp
import attrs

from testbed.routed import HOST, RoutedInstance, RoutedSite

__all__ = ['RoutedCallers', 'RoutedTold']

_CALLERS = 12
#: Callers of streams that last seconds; all of them fill half of the engines'
#: slots, so that the others are still served.
_LONG_CALLERS = 12
_PAUSE = 0.1
#: Share of calls that come on a connection of their own.
_FRESH_SHARE = 0.3
_OK = 200
#: Prompt tokens: short, long, and beyond what an engine holds.
_PROMPTS = (500, 60_000, 300_000)
#: Events and seconds between them of a short stream, as endpoints have them.
_EVENTS = 5
_PACE = 0.01
#: Events of long streams; with the seconds of a usual pass between them these
#: last from half a second to seven, the longest nearly as long as a stop.
_LONG_EVENTS = (10, 140)
_PASS_SECONDS = 0.05
#: Tokens that a pass writes, as the configuration says.
_STRIDE = 43
#: Spread of answers around their callers' estimates: 5 in 100 exceed it 2.3
#: times; the longest answer permitted is three times the estimate.
_HINT_SPREAD = 0.5
_MOST_HINTS = 3


@attrs.frozen
class _Kind:
    """A kind of calls: its route, how often, and how long its callers wait."""

    name: str
    weight: int
    deadline: float = 4.0
    streams: bool = False
    long: bool = False


_KINDS = (
    _Kind('lookups', 3),
    _Kind('bookings', 3),
    _Kind('reports', 4, streams=True),
    _Kind('fragile', 2, streams=True),
)
_LONG_KINDS = (
    _Kind('long-reports', 2, deadline=10, streams=True, long=True),
    _Kind('long-fragile', 1, deadline=10, streams=True, long=True),
)


@attrs.define
class RoutedTold:
    """One call and what its caller was told.

    Attributes
    ----------
    sent_at, ended_at
        Monotonic times.
    deadline
        Seconds that its caller waits, and over which an answer is late.
    events
        Events of the stream that was asked for, 0 for a plain call.
    fresh
        Whether it came on a connection of its own.
    status
        Status of the answer; 0 when there was none.
    whole
        Whether the answer came to its proper end.
    refused
        Whether no connection was made, so that nobody has taken the call.
    """

    request_id: str
    kind: str
    key: str
    instance: str
    sent_at: float
    deadline: float = 4.0
    events: int = 0
    fresh: bool = False
    ended_at: float = 0
    status: int = 0
    stamp: str = ''
    body: str = ''
    whole: bool = False
    refused: bool = False
    reason: str = ''

    @property
    def answered(self) -> bool:
        """Whether the caller has what it asked for."""
        return self.whole and self.status == _OK

    @property
    def connection(self) -> str:
        """What kind of connection it came on."""
        return 'new connection' if self.fresh else 'kept connection'

    def find_fault(self) -> str:
        """Say what is wrong with an answer that looks complete."""
        if not self.answered:
            return ''
        if not self.stamp.endswith(f'.{self.request_id}'):
            return f'answer of another call: {self.stamp}'
        if not self.events:
            return '' if self.body.startswith('answer of') else self.body
        numbers = [
            int(line[3:])
            for line in self.body.splitlines()
            if line.startswith('id:')
        ]
        expected = list(range(1, self.events + 1))
        return '' if numbers == expected else f'events {numbers}'


class RoutedCallers:
    """Calls the instances of a site over kept connections."""

    def __init__(self, site: RoutedSite, seed: int) -> None:
        """Draw calls from a seed."""
        self._site = site
        self._random = random.Random(seed)
        self._ids = itertools.count(1)
        #: Key that calls bear; operators replace it meanwhile.
        self.key = ''
        self.told: list[RoutedTold] = []

    async def run(self, seconds: float) -> None:
        """Call for a time, then wait for what is under way."""
        end = time.monotonic() + seconds
        kinds = (
            *itertools.repeat(_KINDS, _CALLERS),
            *itertools.repeat(_LONG_KINDS, _LONG_CALLERS),
        )
        async with aiohttp.ClientSession() as kept:
            await asyncio.gather(
                *(self._call_until(end, kept, drawn) for drawn in kinds),
            )

    async def call_once(self) -> list[RoutedTold]:
        """Make one call of each short kind at each instance."""
        async with aiohttp.ClientSession() as session:
            return [
                await self._call(session, kind, instance)
                for instance in self._site.instances
                for kind in _KINDS
            ]

    async def _call_until(
        self,
        end: float,
        kept: aiohttp.ClientSession,
        kinds: tuple[_Kind, ...],
    ) -> None:
        """Call any instance, also one that stops, until it is gone."""
        weights = [kind.weight for kind in kinds]
        while time.monotonic() < end:
            instance = self._random.choice(self._site.instances)
            kind = self._random.choices(kinds, weights)[0]
            if self._random.random() < _FRESH_SHARE:
                async with aiohttp.ClientSession() as own:
                    await self._call(own, kind, instance, fresh=True)
            else:
                await self._call(kept, kind, instance)
            await asyncio.sleep(self._random.uniform(0, 2 * _PAUSE))

    async def _call(
        self,
        session: aiohttp.ClientSession,
        kind: _Kind,
        instance: RoutedInstance,
        fresh: bool = False,
    ) -> RoutedTold:
        told = RoutedTold(
            f'{next(self._ids):016x}',
            kind.name,
            self.key,
            instance.name,
            time.monotonic(),
            kind.deadline,
            self._draw_events(kind),
            fresh,
        )
        self.told.append(told)
        try:
            async with session.post(
                self._build_url(kind, instance, told),
                data=b'prompt',
                headers=self._build_headers(kind, told),
                timeout=aiohttp.ClientTimeout(total=2 * kind.deadline),
            ) as response:
                told.status = response.status
                told.stamp = response.headers.get('X-Kelproad-Server-Stamp', '')
                told.body = (await response.read()).decode()
            told.whole = True
        except (aiohttp.ClientError, OSError, asyncio.TimeoutError) as error:
            told.reason = repr(error)
            told.refused = isinstance(error, aiohttp.ClientConnectorError)
        told.ended_at = time.monotonic()
        return told

    def _draw_events(self, kind: _Kind) -> int:
        if not kind.streams:
            return 0
        return self._random.randint(*_LONG_EVENTS) if kind.long else _EVENTS

    def _build_url(
        self,
        kind: _Kind,
        instance: RoutedInstance,
        told: RoutedTold,
    ) -> str:
        url = f'http://{instance.caller}/{kind.name}/x'
        if not kind.streams:
            return url
        pace = _PASS_SECONDS if kind.long else _PACE
        return f'{url}?events={told.events}&pace={pace}'

    def _build_headers(self, kind: _Kind, told: RoutedTold) -> dict[str, str]:
        headers = {
            'Host': HOST,
            'X-Kelproad-Request-Id': told.request_id,
            'X-Kelproad-Deadline-Ms': str(int(told.deadline * 1000)),
            'X-Api-Key': told.key,
        }
        if kind.long:
            return headers | self._estimate(told.events * _STRIDE)
        if kind.streams:
            prompt = self._random.choice(_PROMPTS)
            headers['X-Kelproad-Token-Count'] = f'{prompt},100'
        return headers

    def _estimate(self, tokens: int) -> dict[str, str]:
        """Tell the length of an answer as its caller guesses it."""
        times = self._random.lognormvariate(0, _HINT_SPREAD)
        hint = math.ceil(tokens / min(times, _MOST_HINTS))
        permitted = hint * _MOST_HINTS
        return {
            'X-Kelproad-Token-Count': f'{_PROMPTS[0]},{permitted}',
            'X-Kelproad-Length-Hint': str(hint),
        }
