"""Open-loop load: requests leave at planned times, whatever answers do."""

import asyncio
import itertools
import json
import math
import random
from collections.abc import Callable, Iterator

import aiohttp
import attrs

from ..transport.deadlines import monotonic
from ..transport.http import create_session
from .loadreport import Report

__all__ = ['Arrival', 'Plan', 'draw_arrivals', 'run_load']

_BYTES_PER_TOKEN = 4
_PROGRESS_PERIOD = 5.0
_DONE = b'data: [DONE]'
#: Shares of prompts by decade of length: one in fifty is over 100,000 tokens.
_DECADES = ((1_000, 10_000, 0.85), (10_000, 100_000, 0.13))
_LONG = 100_000
_OUTPUT_TOKENS = 24
#: Prefixes that repeated prompts share, and the share of a prompt they are.
_FAMILIES = 40
_SHARED_PART = 0.75
_OK = 200


@attrs.frozen
class Plan:
    """What to send.

    Attributes
    ----------
    longest
        Longest prompt, in tokens; longer draws are cut to it.
    more_keys
        API keys of further workspaces; the first ones ask more often.
    shorter_than
        Prompts of this length or more are left out, the others come at the
        same times as with them.
    repeated
        Share of the prompts that begin like others of their family.
    """

    servers: list[str]
    key: str
    model: str
    seconds: float
    rate: float
    seed: int
    longest: int
    deadline: float
    more_keys: list[str] = attrs.field(factory=list)
    shorter_than: float = math.inf
    repeated: float = 0

    @property
    def keys(self) -> list[str]:
        """API keys of all workspaces."""
        return [self.key, *self.more_keys]


@attrs.frozen
class Arrival:
    """A request to be sent.

    Attributes
    ----------
    workspace
        Index of the workspace's key.
    family
        Number of the prefix that it shares with others, 0 for none.
    """

    offset: float
    server: str
    prompt_tokens: int
    workspace: int = 0
    family: int = 0


async def run_load(
    plan: Plan,
    show: Callable[[str], None] | None,
) -> Report:
    """Send a plan's requests and gather what became of them."""
    report = Report()
    started = monotonic()
    async with create_session() as session:
        progress = asyncio.create_task(_show_progress(report, show))
        calls = []
        for arrival in draw_arrivals(plan):
            await asyncio.sleep(started + arrival.offset - monotonic())
            report.sent += 1
            calls.append(
                asyncio.create_task(_ask(session, plan, arrival, report)),
            )
        await asyncio.gather(*calls)
        progress.cancel()
    return report


def draw_arrivals(plan: Plan) -> Iterator[Arrival]:
    """Draw arrivals of a Poisson process with log-uniform lengths."""
    generator = random.Random(plan.seed)  # noqa: S311  no secret
    servers = itertools.cycle(plan.servers)
    offset = generator.expovariate(plan.rate)
    while offset < plan.seconds:
        arrival = Arrival(
            offset,
            next(servers),
            _draw_length(generator, plan),
            _draw_workspace(generator, len(plan.keys)),
            _draw_family(generator, plan),
        )
        if arrival.prompt_tokens < plan.shorter_than:
            yield arrival
        offset += generator.expovariate(plan.rate)


def _draw_workspace(generator: random.Random, count: int) -> int:
    """Draw a workspace; the first ones are a few times as busy."""
    weights = [1 / (rank + 1) for rank in range(count)]
    return generator.choices(range(count), weights)[0]


def _draw_family(generator: random.Random, plan: Plan) -> int:
    family = generator.randint(1, _FAMILIES)
    return family if generator.random() < plan.repeated else 0


def _draw_length(generator: random.Random, plan: Plan) -> int:
    drawn = generator.random()
    low, high = _LONG, max(plan.longest, _LONG + 1)
    for lower, upper, share in _DECADES:
        if drawn < share:
            low, high = lower, upper
            break
        drawn -= share
    exponent = generator.uniform(math.log(low), math.log(high))
    return min(round(math.exp(exponent)), plan.longest)


async def _ask(
    session: aiohttp.ClientSession,
    plan: Plan,
    arrival: Arrival,
    report: Report,
) -> None:
    try:
        outcome = await _ask_and_read(session, plan, arrival, report)
    except (aiohttp.ClientError, OSError) as error:
        outcome = type(error).__name__
    if outcome == 'answered':
        report.answered_tokens += arrival.prompt_tokens
    report.outcomes[outcome] += 1
    report.outcomes_by_workspace[arrival.workspace][outcome] += 1


async def _ask_and_read(
    session: aiohttp.ClientSession,
    plan: Plan,
    arrival: Arrival,
    report: Report,
) -> str:
    body = json.dumps(
        {
            'model': plan.model,
            'prompt': _write_prompt(arrival),
            'max_tokens': _OUTPUT_TOKENS,
            'stream': True,
        },
    ).encode()
    sent_at = monotonic()
    async with session.post(
        f'http://{arrival.server}/v1/completions',
        data=body,
        headers={
            'Authorization': f'Bearer {plan.keys[arrival.workspace]}',
            'X-Deadline-Seconds': str(plan.deadline),
        },
    ) as response:
        if response.status != _OK:
            refusal = json.loads(await response.read())
            return str(refusal['error']['code'])
        return await _read_answer(response, arrival, sent_at, report)


async def _read_answer(
    response: aiohttp.ClientResponse,
    arrival: Arrival,
    sent_at: float,
    report: Report,
) -> str:
    previous = None
    outcome = 'cut short'
    async for line in response.content:
        if line.startswith(_DONE):
            outcome = 'answered'
        if not line.startswith(b'data: {'):
            continue
        now = monotonic()
        if previous is None:
            report.note_first_token(
                arrival.prompt_tokens,
                now - sent_at,
                arrival.workspace,
            )
        else:
            report.note_between_tokens(now - previous)
        previous = now
    return outcome


def _write_prompt(arrival: Arrival) -> str:
    """Write a prompt that begins like its family's, or like no other."""
    length = arrival.prompt_tokens * _BYTES_PER_TOKEN
    head = f'{arrival.offset:.9f} '
    if not arrival.family:
        return head + 'x' * (length - len(head))
    shared = f'family {arrival.family} '.ljust(round(length * _SHARED_PART))
    return (shared + head).ljust(length, 'x')


async def _show_progress(
    report: Report,
    show: Callable[[str], None] | None,
) -> None:
    while show is not None:
        await asyncio.sleep(_PROGRESS_PERIOD)
        ended = report.outcomes.total()
        show(f'sent {report.sent}, ended {ended}')
