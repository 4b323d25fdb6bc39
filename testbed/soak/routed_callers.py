"""Callers of the routed interface that remember every answer."""

import asyncio
import itertools
import random
import time

import aiohttp
import attrs

from testbed.routed import HOST, RoutedSite

__all__ = ['DEADLINE', 'RoutedCallers', 'RoutedTold']

#: Seconds that each caller waits, and over which an answer is late.
DEADLINE = 4.0
_CALLERS = 12
_PAUSE = 0.1
_EVENTS = 5
_OK = 200
#: Prompt tokens: short, long, and beyond what an engine holds.
_PROMPTS = (500, 60_000, 300_000)
#: Kinds of calls with their paths, each so often.
_KINDS = (
    ('lookups', 3),
    ('bookings', 3),
    ('reports', 4),
    ('fragile', 2),
)


@attrs.define
class RoutedTold:
    """One call and what its caller was told.

    Attributes
    ----------
    sent_at, ended_at
        Monotonic times.
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

    def find_fault(self) -> str:
        """Say what is wrong with an answer that looks complete."""
        if not self.answered:
            return ''
        if not self.stamp.endswith(f'.{self.request_id}'):
            return f'answer of another call: {self.stamp}'
        if self.kind not in {'reports', 'fragile'}:
            return '' if self.body.startswith('answer of') else self.body
        numbers = [
            int(line[3:])
            for line in self.body.splitlines()
            if line.startswith('id:')
        ]
        expected = list(range(1, _EVENTS + 1))
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
        async with aiohttp.ClientSession(
            timeout=aiohttp.ClientTimeout(total=2 * DEADLINE),
        ) as session:
            await asyncio.gather(
                *(self._call_until(end, session) for _ in range(_CALLERS)),
            )

    async def call_once(self) -> list[RoutedTold]:
        """Make one call of each kind at each instance."""
        async with aiohttp.ClientSession() as session:
            return [
                await self._call(session, kind, instance.name, instance.caller)
                for instance in self._site.instances
                for kind, _ in _KINDS
            ]

    async def _call_until(
        self,
        end: float,
        session: aiohttp.ClientSession,
    ) -> None:
        kinds = [kind for kind, _ in _KINDS]
        weights = [weight for _, weight in _KINDS]
        while time.monotonic() < end:
            instance = self._random.choice(self._site.instances)
            kind = self._random.choices(kinds, weights)[0]
            await self._call(session, kind, instance.name, instance.caller)
            await asyncio.sleep(self._random.uniform(0, 2 * _PAUSE))

    async def _call(
        self,
        session: aiohttp.ClientSession,
        kind: str,
        instance: str,
        address: str,
    ) -> RoutedTold:
        told = RoutedTold(
            f'{next(self._ids):016x}',
            kind,
            self.key,
            instance,
            time.monotonic(),
        )
        self.told.append(told)
        headers = {
            'Host': HOST,
            'X-Kelproad-Request-Id': told.request_id,
            'X-Kelproad-Deadline-Ms': str(int(DEADLINE * 1000)),
            'X-Api-Key': told.key,
        }
        if kind in {'reports', 'fragile'}:
            prompt = self._random.choice(_PROMPTS)
            headers['X-Kelproad-Token-Count'] = f'{prompt},100'
        try:
            async with session.post(
                f'http://{address}/{kind}/x',
                data=b'prompt',
                headers=headers,
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
