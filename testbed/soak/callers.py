"""Callers that remember every answer they were given."""

import asyncio
import enum
import json
import random
import time

import aiohttp
import attrs

from kelproad.transport.http import create_session
from testbed.site import Site

__all__ = ['Callers', 'Outcome', 'Told']

_KEY = 'example-key-crews-colombo'
_MODEL = 'roadgrip-report'
_TOKENS = 8
_OK = 200
_TRIES = 4
_PAUSE = 1.0
#: Seconds over its deadline after which an answer counts as late.
MARGIN = 2.0
_DEADLINE = 8.0
_MOST_SHOWN = 80


class Outcome(enum.StrEnum):
    """What a caller was told of one try."""

    ANSWERED = 'answered'
    NOT_RUN = 'not run'
    MAY_HAVE_RUN = 'may have run'
    UNREACHABLE = 'unreachable'
    BROKEN = 'broken'


@attrs.define
class Told:
    """A piece of work and what its caller was told of each try.

    Attributes
    ----------
    longest
        Seconds of the longest try.
    wrong
        What was wrong with an answer that was said to be whole.
    """

    reference: str
    kind: str
    outcomes: list[Outcome] = attrs.field(factory=list)
    longest: float = 0
    wrong: str = ''


class Callers:
    """Sends work to the instances of a site until told to stop."""

    def __init__(self, site: Site, seed: int, rate: float) -> None:
        """Send ``rate`` pieces of work a second, drawn from a seed."""
        self._site = site
        self._random = random.Random(seed)
        self._rate = rate
        self.told: list[Told] = []

    async def run(self, seconds: float) -> None:
        """Send for a time, then wait for every answer."""
        end = time.monotonic() + seconds
        tasks = []
        async with create_session() as session:
            while time.monotonic() < end:
                tasks.append(asyncio.create_task(self._work(session)))
                await asyncio.sleep(self._random.expovariate(self._rate))
            await asyncio.gather(*tasks)

    async def _work(self, session: aiohttp.ClientSession) -> None:
        kinds = ('completion', 'keyed booking', 'booking')
        kind = self._random.choices(kinds, (3, 2, 1))[0]
        told = Told(f'work-{len(self.told)}', kind)
        self.told.append(told)
        tries = _TRIES if kind == 'keyed booking' else 1
        for _ in range(tries):
            outcome = await self._try(session, told)
            told.outcomes.append(outcome)
            if outcome is Outcome.ANSWERED:
                return
            await asyncio.sleep(_PAUSE)

    async def _try(
        self,
        session: aiohttp.ClientSession,
        told: Told,
    ) -> Outcome:
        server = self._random.choice(self._site.callers)
        started = time.monotonic()
        try:
            async with asyncio.timeout(_DEADLINE + 4 * MARGIN):
                if told.kind == 'completion':
                    outcome = await self._complete(session, server, told)
                else:
                    outcome = await self._book(session, server, told)
        except aiohttp.ClientConnectorError:
            outcome = Outcome.UNREACHABLE
        except (aiohttp.ClientError, OSError):
            # The instance died, or the caller waited far over the deadline.
            outcome = Outcome.BROKEN
        told.longest = max(told.longest, time.monotonic() - started)
        return outcome

    async def _book(
        self,
        session: aiohttp.ClientSession,
        server: str,
        told: Told,
    ) -> Outcome:
        headers = _headers()
        if told.kind == 'keyed booking':
            headers['Idempotency-Key'] = told.reference
        async with session.post(
            f'http://{server}/services/test-runs/entries',
            json={'reference': told.reference},
            headers=headers,
        ) as response:
            body = await response.read()
        if response.status != _OK:
            return _judge_refusal(told, response.status, body)
        fields = json.loads(body)
        if fields.get('reference') != told.reference:
            told.wrong = f'the answer of another: {fields}'
        return Outcome.ANSWERED

    async def _complete(
        self,
        session: aiohttp.ClientSession,
        server: str,
        told: Told,
    ) -> Outcome:
        stream = self._random.choice((True, False))
        prompt = told.reference + 'x' * self._random.choice((400, 20_000))
        async with session.post(
            f'http://{server}/v1/completions',
            json={
                'model': _MODEL,
                'prompt': prompt,
                'max_tokens': _TOKENS,
                'stream': stream,
            },
            headers=_headers(),
        ) as response:
            body = await response.read()
        if response.status != _OK:
            return _judge_refusal(told, response.status, body)
        if stream and not body.endswith(b'data: [DONE]\n\n'):
            return Outcome.BROKEN
        pieces = body.decode().count('#')
        if pieces != _TOKENS:
            told.wrong = f'{pieces} tokens in place of {_TOKENS}'
        return Outcome.ANSWERED


def _headers() -> dict[str, str]:
    return {
        'Authorization': f'Bearer {_KEY}',
        'X-Deadline-Seconds': str(_DEADLINE),
    }


def _judge_refusal(told: Told, status: int, body: bytes) -> Outcome:
    try:
        ran = json.loads(body)['error']['ran']
    except (ValueError, KeyError, TypeError):
        told.wrong = (
            f'a refusal of another shape: {status} {body[:_MOST_SHOWN]!r}'
        )
        return Outcome.MAY_HAVE_RUN
    return Outcome.NOT_RUN if ran == 'no' else Outcome.MAY_HAVE_RUN


def is_late(told: Told) -> bool:
    """Tell whether a try lasted longer than its deadline allows."""
    return told.longest > _DEADLINE + MARGIN
