"""Callers that record every answer they receive."""

import asyncio
import enum
import json
import random
import time

import aiohttp
import attrs

from kelproad.transport.http import create_session
from testbed.site import Site

__all__ = ['Callers', 'Outcome', 'WorkRecord']

_KEY = 'example-key-crews-colombo'
_MODEL = 'roadgrip-report'
_TOKENS = 8
_OK = 200
_MAX_ATTEMPTS = 4
_RETRY_PAUSE = 1.0
#: Seconds past its deadline from which an answer counts as late.
MARGIN = 2.0
_DEADLINE = 8.0
_MAX_SHOWN = 80


class Outcome(enum.StrEnum):
    """Outcome of one attempt, as its caller observed it."""

    ANSWERED = 'answered'
    NOT_RUN = 'not run'
    MAY_HAVE_RUN = 'may have run'
    UNREACHABLE = 'unreachable'
    BROKEN = 'broken'


@attrs.define
class WorkRecord:
    """A piece of work and the outcome of each attempt at it.

    Attributes
    ----------
    longest
        Seconds of the longest attempt.
    wrong
        Defect of an answer that was complete, or of a refusal; empty if none.
    """

    reference: str
    kind: str
    outcomes: list[Outcome] = attrs.field(factory=list)
    longest: float = 0
    wrong: str = ''


class Callers:
    """Sends work to randomly chosen instances of a site."""

    def __init__(self, site: Site, seed: int, rate: float) -> None:
        """Prepare to send ``rate`` pieces of work a second on average."""
        self._site = site
        self._random = random.Random(seed)
        self._rate = rate
        self.records: list[WorkRecord] = []

    async def run(self, seconds: float) -> None:
        """Send for ``seconds``, then wait for every answer."""
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
        record = WorkRecord(f'work-{len(self.records)}', kind)
        self.records.append(record)
        attempts = _MAX_ATTEMPTS if kind == 'keyed booking' else 1
        for _ in range(attempts):
            outcome = await self._attempt(session, record)
            record.outcomes.append(outcome)
            if outcome is Outcome.ANSWERED:
                return
            await asyncio.sleep(_RETRY_PAUSE)

    async def _attempt(
        self,
        session: aiohttp.ClientSession,
        record: WorkRecord,
    ) -> Outcome:
        server = self._random.choice(self._site.callers)
        started = time.monotonic()
        try:
            async with asyncio.timeout(_DEADLINE + 4 * MARGIN):
                if record.kind == 'completion':
                    outcome = await self._request_completion(
                        session, server, record
                    )
                else:
                    outcome = await self._book(session, server, record)
        except aiohttp.ClientConnectorError:
            outcome = Outcome.UNREACHABLE
        except (aiohttp.ClientError, OSError):
            # The instance died, or the caller waited far beyond the deadline.
            outcome = Outcome.BROKEN
        record.longest = max(record.longest, time.monotonic() - started)
        return outcome

    async def _book(
        self,
        session: aiohttp.ClientSession,
        server: str,
        record: WorkRecord,
    ) -> Outcome:
        headers = _headers()
        if record.kind == 'keyed booking':
            headers['Idempotency-Key'] = record.reference
        async with session.post(
            f'http://{server}/services/test-runs/entries',
            json={'reference': record.reference},
            headers=headers,
        ) as response:
            body = await response.read()
        if response.status != _OK:
            return _classify_refusal(record, response.status, body)
        fields = json.loads(body)
        if fields.get('reference') != record.reference:
            record.wrong = f'the answer to another booking: {fields}'
        return Outcome.ANSWERED

    async def _request_completion(
        self,
        session: aiohttp.ClientSession,
        server: str,
        record: WorkRecord,
    ) -> Outcome:
        stream = self._random.choice((True, False))
        prompt = record.reference + 'x' * self._random.choice((400, 20_000))
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
            return _classify_refusal(record, response.status, body)
        if stream and not body.endswith(b'data: [DONE]\n\n'):
            return Outcome.BROKEN
        tokens = body.decode().count('#')
        if tokens != _TOKENS:
            record.wrong = f'{tokens} tokens instead of {_TOKENS}'
        return Outcome.ANSWERED


def _headers() -> dict[str, str]:
    return {
        'Authorization': f'Bearer {_KEY}',
        'X-Deadline-Seconds': str(_DEADLINE),
    }


def _classify_refusal(record: WorkRecord, status: int, body: bytes) -> Outcome:
    try:
        ran = json.loads(body)['error']['ran']
    except (ValueError, KeyError, TypeError):
        record.wrong = f'malformed refusal: {status} {body[:_MAX_SHOWN]!r}'
        return Outcome.MAY_HAVE_RUN
    return Outcome.NOT_RUN if ran == 'no' else Outcome.MAY_HAVE_RUN


def exceeds_deadline(record: WorkRecord) -> bool:
    """Return whether an attempt exceeded its deadline by ``MARGIN``."""
    return record.longest > _DEADLINE + MARGIN
