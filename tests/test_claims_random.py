"""Random claims by several instances under random faults of the platform."""

import asyncio
import collections
import random

import attrs
import pytest
from returns.result import Failure, Success

from kelproad.coordination.claims import Claim, Claims
from kelproad.standins.platform import Faults
from kelproad.state.claims import ClaimState, RecordedAnswer
from kelproad.state.refusals import Ran
from kelproad.transport.deadlines import monotonic
from tests.test_grouping import LONG, Store, create_claims, store

__all__ = ['store']

KEYS = 40
CALLS = 150
#: Faults of the platform to choose from, including none.
FAULTS = (
    Faults(),
    Faults(delay=0.02),
    Faults(delay=0.15),
    Faults(down=True),
    Faults(lose_answers=2),
    Faults(lose_writes=2),
    Faults(lose_answers=1, delay=0.05),
)


@attrs.define
class Accounts:
    """How often keys ran, and which ``Ran`` refused callers were given."""

    ran: collections.Counter[str] = attrs.field(factory=collections.Counter)
    refused: collections.Counter[str] = attrs.field(factory=collections.Counter)


async def call_once(
    claims: Claims,
    accounts: Accounts,
    generator: random.Random,
) -> None:
    """Claim a key as an instance does, and dispatch with a random outcome."""
    key = f'k-{generator.randrange(KEYS)}'
    deadline = monotonic() + generator.choice((0.05, 0.2, 1.0))
    found = await claims.acquire('w', key, 'digest', deadline)
    if isinstance(found, Failure):
        accounts.refused[found.failure().ran] += 1
        return
    held = found.unwrap()
    if not isinstance(held, Claim):
        # Only work that ran has an answer to repeat.
        assert accounts.ran[key] == 1
        return
    await asyncio.sleep(generator.random() / 50)
    outcome = generator.choice(('released', 'unknown', 'done', 'done'))
    if outcome == 'released':
        claims.release(held)
        return
    accounts.ran[key] += 1
    if outcome == 'unknown':
        claims.record_unknown(held)
    else:
        answer = RecordedAnswer(200, [], key.encode())
        await claims.record(held, answer, deadline)


async def vary_faults(store: Store, generator: random.Random) -> None:
    """Set a random fault of the platform at random intervals, for ever."""
    while True:
        store.platform.faults = attrs.evolve(generator.choice(FAULTS))
        await asyncio.sleep(generator.random() / 5)


@pytest.mark.parametrize('seed', range(5))
async def test_no_key_runs_twice(store: Store, seed: int) -> None:
    """Three instances share a few keys while the platform fails at random.

    No key may be dispatched twice, whichever instance claims it, loses answers
    or gives up; and once the platform has recovered, no key may stay in
    progress.
    """
    generator = random.Random(seed)
    instances = [create_claims(store, f'i-{number}') for number in range(3)]
    accounts = Accounts()
    faults = asyncio.create_task(vary_faults(store, generator))
    calls = []
    for _ in range(CALLS):
        claims = generator.choice(instances)
        calls.append(
            asyncio.create_task(call_once(claims, accounts, generator)),
        )
        await asyncio.sleep(generator.random() / 50)
    await asyncio.gather(*calls)
    faults.cancel()
    store.platform.faults = Faults()
    for claims in instances:
        assert await claims.finish(LONG) == 0
    assert max(accounts.ran.values()) == 1
    # The faults caused refusals, but did not make every claim fail.
    assert accounts.refused[Ran.NO] > 0
    rows = store.platform._tables['claims'].values()
    states = collections.Counter(
        store.row(row.key.removeprefix('w/'))['state'] for row in rows
    )
    assert states[ClaimState.OPEN] == 0
    ran = states[ClaimState.DONE] + states[ClaimState.UNKNOWN]
    assert ran == len(accounts.ran)
    free = [
        key
        for key in map('k-{}'.format, range(KEYS))
        if key not in accounts.ran
    ]
    for key in free:
        found = await instances[0].acquire('w', key, 'd', monotonic() + LONG)
        assert isinstance(found, Success)
