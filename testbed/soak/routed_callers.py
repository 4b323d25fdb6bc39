"""Callers of the routed interface that record every answer."""

import asyncio
import itertools
import math
import random
import time

import aiohttp
import attrs

from testbed.marks import MARKED_QUERY, MarkedEvent, find_misjoined
from testbed.routed import HOST, RoutedInstance, RoutedSite

__all__ = ['RoutedCallers', 'CallRecord']

_CALLERS = 12
#: Callers of long streams; together these fill half of the engines' slots, so
#: that the other callers are still served.
_LONG_CALLERS = 12
_PAUSE = 0.1
#: Share of calls that are sent on a new connection.
_NEW_CONNECTION_SHARE = 0.3
_OK = 200
#: Prompt tokens: short, long, and more than the memory of an engine holds.
_PROMPTS = (500, 60_000, 300_000)
#: Events of a short stream, and seconds between them: the endpoints' defaults.
_EVENTS = 5
_PACE = 0.01
#: Fewest and most events of long streams.  At one event per usual pass of an
#: engine these last 0.5 to 7 s, the longest nearly as long as a planned stop.
_LONG_EVENTS = (10, 140)
_PASS_SECONDS = 0.05
#: Tokens that an engine decodes in a pass, as in the configuration.
_STRIDE = 43
#: Standard deviation of the logarithm of answer length to estimate: 5 in 100
#: answers exceed 2.3 times the estimate; the maximum permitted is 3 times it.
_HINT_SPREAD = 0.5
_MAX_HINTS = 3
#: Parts of which each prompt has one beside its own.
_SHARED_PARTS = 3


@attrs.frozen
class _Kind:
    """A kind of calls: its route, relative frequency and deadline."""

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
class CallRecord:
    """One call and its result, as its caller observed it.

    Attributes
    ----------
    sent_at, heard_at, ended_at
        Monotonic times; ``heard_at`` is that of the last bytes of the answer, 0
        without any.
    deadline
        Seconds from ``sent_at`` after which an answer is late.
    events
        Events of the requested stream, 0 for a plain call.
    fresh
        Whether it was sent on a new connection.
    status
        Status of the answer; 0 if there was none.
    whole
        Whether the answer is complete.
    refused
        Whether the connection was refused, so that no instance has accepted
        the call.
    told_leaving_at
        Monotonic time of an answer's head which states that its endpoint
        leaves; 0 without one.
    """

    request_id: str
    kind: str
    key: str
    instance: str
    sent_at: float
    deadline: float = 4.0
    events: int = 0
    fresh: bool = False
    heard_at: float = 0
    ended_at: float = 0
    status: int = 0
    stamp: str = ''
    body: str = ''
    whole: bool = False
    refused: bool = False
    reason: str = ''
    told_leaving_at: float = 0

    @property
    def answered(self) -> bool:
        """Whether the answer is complete and successful."""
        return self.whole and self.status == _OK

    @property
    def marked_events(self) -> list[MarkedEvent]:
        """Events that have come, with the runs that sent them."""
        return MarkedEvent.list_from_body(self.body)

    @property
    def connection(self) -> str:
        """Kind of connection that it was sent on, for reports."""
        return 'new connection' if self.fresh else 'kept connection'

    def find_defect(self) -> str:
        """Return the defect of a complete answer; empty if none."""
        if not self.answered:
            return ''
        if not self.stamp.endswith(f'.{self.request_id}'):
            return f'answer to another call: {self.stamp}'
        if not self.events:
            return '' if self.body.startswith('answer of') else self.body
        numbers = [
            int(line[3:])
            for line in self.body.splitlines()
            if line.startswith('id:')
        ]
        if numbers != list(range(1, self.events + 1)):
            return f'events {numbers}'
        return find_misjoined(self.marked_events)


class RoutedCallers:
    """Calls the instances of a site, mostly over reused connections."""

    def __init__(self, site: RoutedSite, seed: int) -> None:
        """Choose calls at random from a seed."""
        self._site = site
        self._random = random.Random(seed)
        self._ids = itertools.count(1)
        #: API key of new calls; replaced by key rotations during the run.
        self.key = ''
        self.records: list[CallRecord] = []

    async def run(self, seconds: float) -> None:
        """Call for ``seconds``, then wait for the calls in flight."""
        end = time.monotonic() + seconds
        kinds = (
            *itertools.repeat(_KINDS, _CALLERS),
            *itertools.repeat(_LONG_KINDS, _LONG_CALLERS),
        )
        async with aiohttp.ClientSession() as shared:
            await asyncio.gather(
                *(self._call_until(end, shared, chosen) for chosen in kinds),
            )

    async def call_once(self) -> list[CallRecord]:
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
        shared: aiohttp.ClientSession,
        kinds: tuple[_Kind, ...],
    ) -> None:
        """Call random instances, including stopping and stopped ones."""
        weights = [kind.weight for kind in kinds]
        while time.monotonic() < end:
            instance = self._random.choice(self._site.instances)
            kind = self._random.choices(kinds, weights)[0]
            if self._random.random() < _NEW_CONNECTION_SHARE:
                async with aiohttp.ClientSession() as new:
                    await self._call(new, kind, instance, fresh=True)
            else:
                await self._call(shared, kind, instance)
            await asyncio.sleep(self._random.uniform(0, 2 * _PAUSE))

    async def _call(
        self,
        session: aiohttp.ClientSession,
        kind: _Kind,
        instance: RoutedInstance,
        fresh: bool = False,
    ) -> CallRecord:
        record = CallRecord(
            f'{next(self._ids):016x}',
            kind.name,
            self.key,
            instance.name,
            time.monotonic(),
            kind.deadline,
            self._choose_events(kind),
            fresh,
        )
        self.records.append(record)
        try:
            async with session.post(
                self._build_url(kind, instance, record),
                data=b'prompt',
                headers=self._build_headers(kind, record),
                timeout=aiohttp.ClientTimeout(total=2 * kind.deadline),
            ) as response:
                record.status = response.status
                if response.headers.get('Server-Leaving') == '1':
                    record.told_leaving_at = time.monotonic()
                record.stamp = response.headers.get(
                    'X-Kelproad-Server-Stamp', ''
                )
                async for chunk in response.content.iter_any():
                    record.body += chunk.decode()
                    record.heard_at = time.monotonic()
            record.whole = True
        except (aiohttp.ClientError, OSError, asyncio.TimeoutError) as error:
            record.reason = repr(error)
            record.refused = isinstance(error, aiohttp.ClientConnectorError)
        record.ended_at = time.monotonic()
        return record

    def _choose_events(self, kind: _Kind) -> int:
        if not kind.streams:
            return 0
        return self._random.randint(*_LONG_EVENTS) if kind.long else _EVENTS

    def _build_url(
        self,
        kind: _Kind,
        instance: RoutedInstance,
        told: CallRecord,
    ) -> str:
        url = f'http://{instance.caller}/{kind.name}/x'
        if not kind.streams:
            return url
        pace = _PASS_SECONDS if kind.long else _PACE
        return f'{url}?events={told.events}&pace={pace}&{MARKED_QUERY}'

    def _build_headers(self, kind: _Kind, record: CallRecord) -> dict[str, str]:
        headers = {
            'Host': HOST,
            'X-Kelproad-Request-Id': record.request_id,
            'X-Kelproad-Deadline-Ms': str(int(record.deadline * 1000)),
            'X-Api-Key': record.key,
        }
        if kind.streams:
            # Most requests share parts of their prompts.
            part = len(self.records) % _SHARED_PARTS
            headers['X-Kelproad-Prompt-Prefix'] = (
                f'system-{part}:20,{record.request_id}:10'
            )
        if kind.long:
            return headers | self._build_estimate_headers(
                record.events * _STRIDE
            )
        if kind.streams:
            prompt = self._random.choice(_PROMPTS)
            headers['X-Kelproad-Token-Count'] = f'{prompt},100'
        return headers

    def _build_estimate_headers(self, tokens: int) -> dict[str, str]:
        """Return headers with the caller's estimate of the answer length."""
        ratio = self._random.lognormvariate(0, _HINT_SPREAD)
        hint = math.ceil(tokens / min(ratio, _MAX_HINTS))
        permitted = hint * _MAX_HINTS
        return {
            'X-Kelproad-Token-Count': f'{_PROMPTS[0]},{permitted}',
            'X-Kelproad-Length-Hint': str(hint),
        }
