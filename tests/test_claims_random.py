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
#: What may go wrong, the platform's ordinary state among it.
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
    """What endpoints and callers saw."""

    ran: collections.Counter[str] = attrs.field(factory=collections.Counter)
    told: collections.Counter[str] = attrs.field(factory=collections.Counter)


async def call_once(
    claims: Claims,
    accounts: Accounts,
    generator: random.Random,
) -> None:
    """Use a key as an instance does, with any outcome of the dispatch."""
    key = f'k-{generator.randrange(KEYS)}'
    deadline = monotonic() + generator.choice((0.05, 0.2, 1.0))
    found = await claims.acquire('w', key, 'digest', deadline)
    if isinstance(found, Failure):
        accounts.told[found.failure().ran] += 1
        return
    held = found.unwrap()
    if not isinstance(held, Claim):
        # A repeated answer is only ever that of work that ran.
        assert accounts.ran[key] == 1
        return
    await asyncio.sleep(generator.random() / 50)
    fate = generator.choice(('released', 'unknown', 'done', 'done'))
    if fate == 'released':
        claims.release(held)
        return
    accounts.ran[key] += 1
    if fate == 'unknown':
        claims.record_unknown(held)
    else:
        answer = RecordedAnswer(200, [], key.encode())
        await claims.record(held, answer, deadline)


async def vary_faults(store: Store, generator: random.Random) -> None:
    """Change what goes wrong, over and over."""
    while True:
        store.platform.faults = attrs.evolve(generator.choice(FAULTS))
        await asyncio.sleep(generator.random() / 5)


@pytest.mark.parametrize('seed', range(5))
async def test_no_key_runs_twice(store: Store, seed: int) -> None:
    """Three instances use few keys while the platform fails in many ways.

    No key is dispatched twice, whoever claims, loses answers or gives up; and
    once the platform is whole, no key stays in progress for ever.
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
    # The faults were hard enough to matter, and not so hard that all failed.
    assert accounts.told[Ran.NO] > 0
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
