"""Claims and their grouped writes, against the stand-in platform."""

import asyncio
import json
from collections.abc import AsyncIterator

import attrs
import pytest
from aiohttp.test_utils import TestServer
from returns.result import Failure, Result, Success

from kelproad.coordination.claims import Claim, Claims
from kelproad.coordination.grouping import (
    GROUP_PERIOD,
    MAX_TRANSACTIONS,
    SILENT_AFTER,
    GroupedWrites,
    Outcome,
)
from kelproad.protocol.platform import PlatformClient
from kelproad.protocol.store import ABSENT, StoreErrorKind, Write
from kelproad.standins.platform import Faults, PlatformStandIn
from kelproad.state.claims import ClaimState, RecordedAnswer
from kelproad.state.counters import Counters
from kelproad.state.identity import Identity
from kelproad.state.refusals import Ran
from kelproad.transport.addresses import Address
from kelproad.transport.deadlines import monotonic
from kelproad.transport.http import create_session

#: Seconds of timeouts that must not expire.
LONG = 30.0
DIGEST = 'the digest of a request'
ANSWER = RecordedAnswer(200, [('Content-Type', 'image/png')], b'\x89PNG\xff')


@attrs.frozen
class Store:
    """The stand-in platform and a client of it."""

    platform: PlatformStandIn
    client: PlatformClient

    def row(self, key: str) -> dict[str, object]:
        """Return the stored claim on a key of workspace ``w``."""
        return json.loads(self.platform._tables['claims'][f'w/{key}'].body)

    @property
    def transactions(self) -> int:
        """Number of transactions received since the start."""
        return self.platform.calls['POST /tables/transact']


@pytest.fixture
async def store() -> AsyncIterator[Store]:
    """Run the stand-in platform in this process, with a client of it."""
    platform = PlatformStandIn()
    server = TestServer(platform.create_application(), host='127.0.0.1')
    await server.start_server()
    session = create_session()
    address = Address('127.0.0.1', server.port)
    try:
        yield Store(platform, PlatformClient(address, session, Counters()))
    finally:
        await session.close()
        await server.close()


def create_claims(store: Store, name: str = 'i-1') -> Claims:
    """Build the ``Claims`` of a new instance with this name."""
    identity = Identity.from_start(name, 'zone')
    return Claims(identity, store.client, Counters())


async def acquire(
    claims: Claims,
    key: str,
    seconds: float = LONG,
) -> Result[Claim | RecordedAnswer, object]:
    """Claim a key of the workspace ``w``."""
    return await claims.acquire('w', key, DIGEST, monotonic() + seconds)


def start_write(writes: GroupedWrites, key: str) -> asyncio.Task[Outcome]:
    """Start to write a new row."""
    write = Write('claims', key, '{}', ABSENT)
    return asyncio.create_task(writes.write(write, monotonic() + LONG))


async def test_same_key_twice_in_one_group(store: Store) -> None:
    """Several callers send one key to one instance at the same time.

    Their claims wait for the same transaction, whose conditions all hold.  If
    it contained more than one of them, more than one caller would dispatch.
    """
    claims = create_claims(store)
    found = await asyncio.gather(*(acquire(claims, 'k') for _ in range(5)))
    assert sum(isinstance(one, Success) for one in found) == 1


async def test_conflict_fails_only_its_own_row(store: Store) -> None:
    """One key of a group is already claimed; the others are claimed anyway."""
    await acquire(create_claims(store, 'i-2'), 'k-3')
    claims = create_claims(store)
    before = store.transactions
    found = await asyncio.gather(
        *(acquire(claims, f'k-{number}') for number in range(6)),
    )
    held = [isinstance(one, Success) for one in found]
    assert held == [True, True, True, False, True, True]
    assert store.transactions - before == 2


async def test_unsent_row_is_never_sent(store: Store) -> None:
    """A row whose writer gave up while it waited must not be written later."""
    writes = GroupedWrites(store.client)
    store.platform.faults = Faults(delay=0.3)
    keys = [f'a-{number}' for number in range(MAX_TRANSACTIONS)]
    first = []
    for key in keys:
        first.append(start_write(writes, key))
        await asyncio.sleep(2 * GROUP_PERIOD)
    last = await writes.write(
        Write('claims', 'b', '{}', ABSENT),
        monotonic() + 0.05,
    )
    assert last.failure().kind is StoreErrorKind.UNAVAILABLE
    for written in first:
        assert isinstance(await written, Success)
    await asyncio.sleep(0.5)
    assert list(store.platform._tables['claims']) == keys


async def test_a_write_waits_for_no_other_transaction(store: Store) -> None:
    """A keyed call would take twice the time of a slow store."""
    writes = GroupedWrites(store.client)
    store.platform.faults = Faults(delay=0.5)
    first = start_write(writes, 'a')
    await asyncio.sleep(0.1)
    started = monotonic()
    assert isinstance(await start_write(writes, 'b'), Success)
    assert monotonic() - started < 0.5 + 0.3
    assert isinstance(await first, Success)


async def test_a_key_is_in_one_transaction_at_a_time(store: Store) -> None:
    """A claim that is given up would be released before it is written."""
    writes = GroupedWrites(store.client)
    store.platform.faults = Faults(delay=0.3)
    first = start_write(writes, 'a')
    await asyncio.sleep(0.1)
    second = await start_write(writes, 'a')
    assert first.done()
    assert second.failure().kind is StoreErrorKind.CONFLICT


async def test_a_store_that_hangs_gets_one_transaction_at_a_time(
    store: Store,
) -> None:
    """Callers would wait in vain, each with a transaction of its own."""
    writes = GroupedWrites(store.client)
    store.platform.faults = Faults(hang=True)
    first = start_write(writes, 'a')
    while writes.silent_seconds <= SILENT_AFTER:
        await asyncio.sleep(0.05)
    for key in ('b', 'c', 'd'):
        refused = await start_write(writes, key)
        assert refused.failure().kind is StoreErrorKind.UNAVAILABLE
    assert store.transactions == 1
    await first


async def test_claim_written_late_is_released(store: Store) -> None:
    """A slow store writes a claim after its caller was refused."""
    claims = create_claims(store)
    store.platform.faults = Faults(delay=0.3)
    refused = await acquire(claims, 'k', 0.1)
    assert refused.failure().ran is Ran.NO
    assert await claims.finish(LONG) == 0
    assert store.row('k')['state'] == ClaimState.FREE
    assert isinstance(await acquire(create_claims(store, 'i-2'), 'k'), Success)


async def test_late_release_leaves_a_newer_claim(store: Store) -> None:
    """A release is retried, and its first transmission arrives very late.

    By then another instance holds the key; freeing it would let a third one
    run the work a second time.
    """
    first = (await acquire(create_claims(store), 'k')).unwrap()
    claims = create_claims(store)
    claims.release(first)
    await claims.finish(LONG)
    second = (await acquire(create_claims(store, 'i-2'), 'k')).unwrap()
    late = Write('claims', 'w/k', '{}', first.version)
    arrived = await store.client.transact([late], 1)
    assert arrived.failure().kind is StoreErrorKind.CONFLICT
    assert store.row('k')['token'] == second.record.token


@pytest.mark.parametrize('fault', ['lose_answers', 'lose_writes'])
async def test_lost_record_is_written_again(store: Store, fault: str) -> None:
    claims = create_claims(store)
    claim = (await acquire(claims, 'k')).unwrap()
    store.platform.faults = Faults(**{fault: 2})
    await claims.record(claim, ANSWER, monotonic() + LONG)
    assert await claims.finish(LONG) == 0
    repeated = await acquire(create_claims(store, 'i-2'), 'k')
    assert repeated.unwrap() == ANSWER


async def test_too_large_answer_is_reported_as_run(store: Store) -> None:
    claims = create_claims(store)
    claim = (await acquire(claims, 'k')).unwrap()
    large = attrs.evolve(ANSWER, body=bytes(100_000))
    await claims.record(claim, large, monotonic() + LONG)
    refused = await acquire(claims, 'k')
    assert refused.failure().ran is Ran.YES


async def test_run_without_an_answer_is_reported_as_run(store: Store) -> None:
    """An answer was too long to forward, but the work is known to have run."""
    claims = create_claims(store)
    claims.record_without_answer((await acquire(claims, 'k')).unwrap())
    assert await claims.finish(LONG) == 0
    refused = await acquire(claims, 'k')
    assert refused.failure().ran is Ran.YES


async def test_expired_answer_is_reported_as_run(
    store: Store,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """After the retention time, work is reported as run and not run again."""
    claims = create_claims(store)
    claim = (await acquire(claims, 'k')).unwrap()
    await claims.record(claim, ANSWER, monotonic() + LONG)
    monkeypatch.setattr('kelproad.coordination.verdicts.ANSWER_RETENTION', -1)
    refused = await acquire(claims, 'k')
    assert refused.failure().ran is Ran.YES


async def test_silent_store_refuses_at_once(store: Store) -> None:
    """While one call probes a hanging store, others do not wait for it."""
    claims = create_claims(store)
    store.platform.faults = Faults(hang=True)
    assert isinstance(await acquire(claims, 'k-0', 1.2), Failure)
    started = monotonic()
    found = await asyncio.gather(
        *(acquire(claims, f'k-{number}') for number in range(1, 50)),
    )
    assert monotonic() - started < 1
    assert {one.failure().ran for one in found} == {Ran.NO}
    store.platform.faults = Faults()
    assert await claims.finish(LONG) == 0
    assert isinstance(await acquire(claims, 'k-1'), Success)
