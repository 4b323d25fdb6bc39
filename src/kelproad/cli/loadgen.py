"""Open-loop load generator: requests are sent at precomputed times.

The times do not depend on when earlier requests are answered.
"""

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

__all__ = ['Arrival', 'LoadPlan', 'generate_arrivals', 'run_load']

_BYTES_PER_TOKEN = 4
#: Seconds between two progress lines.
_PROGRESS_PERIOD = 5.0
_DONE = b'data: [DONE]'
#: Lower bound, upper bound (tokens) and share of the prompts of each length
#: range; the remaining one in fifty has at least ``_LONG`` tokens.
_LENGTH_RANGES = ((1_000, 10_000, 0.85), (10_000, 100_000, 0.13))
_LONG = 100_000
_OUTPUT_TOKENS = 24
#: Number of distinct prefixes that prompts share.
_PREFIXES = 40
#: Share of a prompt that its shared prefix makes up.
_PREFIX_SHARE = 0.75
_OK = 200


@attrs.frozen
class LoadPlan:
    """Parameters of a load run.

    Attributes
    ----------
    seconds
        Duration of sending.
    rate
        Mean number of requests per second.
    longest
        Longest prompt, in tokens; longer sampled lengths are reduced to it.
    deadline
        Seconds that each request may take.
    other_keys
        API keys of further workspaces; earlier keys send more requests.
    shorter_than
        Prompts of this many tokens or more are skipped; the others are sent
        at the same times as without this limit.
    repeated
        Share of the prompts that begin with one of the shared prefixes.
    """

    servers: list[str]
    key: str
    model: str
    seconds: float
    rate: float
    seed: int
    longest: int
    deadline: float
    other_keys: list[str] = attrs.field(factory=list)
    shorter_than: float = math.inf
    repeated: float = 0

    @property
    def keys(self) -> list[str]:
        """API keys of all workspaces, the busiest first."""
        return [self.key, *self.other_keys]


@attrs.frozen
class Arrival:
    """A request to be sent.

    Attributes
    ----------
    offset
        Seconds after the start of the run.
    workspace
        Index of the workspace's key.
    prefix
        Number of the shared prefix that the prompt begins with, 0 for none.
    """

    offset: float
    server: str
    prompt_tokens: int
    workspace: int = 0
    prefix: int = 0


async def run_load(
    plan: LoadPlan,
    show: Callable[[str], None] | None,
) -> Report:
    """Send a plan's requests, wait for all answers and report on them."""
    report = Report()
    started = monotonic()
    async with create_session() as session:
        progress = asyncio.create_task(_show_progress(report, show))
        calls = []
        for arrival in generate_arrivals(plan):
            await asyncio.sleep(started + arrival.offset - monotonic())
            report.sent += 1
            calls.append(
                asyncio.create_task(
                    _send_and_record(session, plan, arrival, report)
                ),
            )
        await asyncio.gather(*calls)
        progress.cancel()
    return report


def generate_arrivals(plan: LoadPlan) -> Iterator[Arrival]:
    """Generate arrivals of a Poisson process with log-uniform lengths."""
    generator = random.Random(plan.seed)  # noqa: S311  no secret
    servers = itertools.cycle(plan.servers)
    offset = generator.expovariate(plan.rate)
    while offset < plan.seconds:
        arrival = Arrival(
            offset,
            next(servers),
            _sample_length(generator, plan),
            _sample_workspace(generator, len(plan.keys)),
            _sample_prefix(generator, plan),
        )
        if arrival.prompt_tokens < plan.shorter_than:
            yield arrival
        offset += generator.expovariate(plan.rate)


def _sample_workspace(generator: random.Random, count: int) -> int:
    """Choose a workspace at random, the n-th with a weight of 1/n."""
    weights = [1 / (rank + 1) for rank in range(count)]
    return generator.choices(range(count), weights)[0]


def _sample_prefix(generator: random.Random, plan: LoadPlan) -> int:
    prefix = generator.randint(1, _PREFIXES)
    return prefix if generator.random() < plan.repeated else 0


def _sample_length(generator: random.Random, plan: LoadPlan) -> int:
    sampled = generator.random()
    low, high = _LONG, max(plan.longest, _LONG + 1)
    for lower, upper, share in _LENGTH_RANGES:
        if sampled < share:
            low, high = lower, upper
            break
        sampled -= share
    exponent = generator.uniform(math.log(low), math.log(high))
    return min(round(math.exp(exponent)), plan.longest)


async def _send_and_record(
    session: aiohttp.ClientSession,
    plan: LoadPlan,
    arrival: Arrival,
    report: Report,
) -> None:
    try:
        outcome = await _send_request(session, plan, arrival, report)
    except (aiohttp.ClientError, OSError) as error:
        outcome = type(error).__name__
    if outcome == 'answered':
        report.answered_tokens += arrival.prompt_tokens
    report.outcomes[outcome] += 1
    report.outcomes_by_workspace[arrival.workspace][outcome] += 1


async def _send_request(
    session: aiohttp.ClientSession,
    plan: LoadPlan,
    arrival: Arrival,
    report: Report,
) -> str:
    body = json.dumps(
        {
            'model': plan.model,
            'prompt': _build_prompt(arrival),
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
            report.record_first_token(
                arrival.prompt_tokens,
                now - sent_at,
                arrival.workspace,
            )
        else:
            report.record_token_gap(now - previous)
        previous = now
    return outcome


def _build_prompt(arrival: Arrival) -> str:
    """Build a prompt that begins with its shared prefix, if any."""
    length = arrival.prompt_tokens * _BYTES_PER_TOKEN
    head = f'{arrival.offset:.9f} '
    if not arrival.prefix:
        return head + 'x' * (length - len(head))
    shared = f'family {arrival.prefix} '.ljust(round(length * _PREFIX_SHARE))
    return (shared + head).ljust(length, 'x')


async def _show_progress(
    report: Report,
    show: Callable[[str], None] | None,
) -> None:
    while show is not None:
        await asyncio.sleep(_PROGRESS_PERIOD)
        ended = report.outcomes.total()
        show(f'sent {report.sent}, ended {ended}')
