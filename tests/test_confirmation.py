"""Answers to callers while an instance may lack accepted configuration."""

import asyncio
import itertools

import pytest
from aiohttp.test_utils import make_mocked_request
from returns.result import Failure, Result

from kelproad.coordination import admission
from kelproad.coordination import confirmation as confirmations
from kelproad.coordination.admitting import Admitter
from kelproad.coordination.confirmation import Confirmation
from kelproad.coordination.drain import Drain, StopTimes
from kelproad.coordination.limits import WorkspaceLimits
from kelproad.coordination.reception import Call
from kelproad.protocol.callers import digest_key
from kelproad.state.counters import Counters
from kelproad.state.declarations import Workspace
from kelproad.state.endpointtable import EndpointTable
from kelproad.state.members import MemberTable
from kelproad.state.refusals import Refusal, RefusalCode
from kelproad.transport.deadlines import monotonic
from tests.fakes import ConfigurationSite, Peer

KEY = 'key-of-a-late-workspace'
DEADLINE = 10.0
#: Seconds after which a call that waits for the store must still wait.
BRIEF = 0.2
#: Least seconds between two reads of the store, less a clock tolerance.
MIN_READ_INTERVAL = 0.49


async def apply(peer: Peer, name: str, digest: str) -> None:
    text = (
        f'name: {name}\nworkspaces:\n'
        f'  - {{name: {name}, key_digests: [{digest}], services: []}}\n'
    )
    accepted = await peer.apply(text, 0, name)
    assert not isinstance(accepted, Failure)


async def resolve_workspace(
    confirmation: Confirmation,
    peer: Peer,
    key: str,
) -> Result[Workspace, Refusal]:
    return await confirmation.resolve(
        lambda snapshot: admission.authenticate_workspace(snapshot, key),
        peer.holder.current,
        monotonic(),
        monotonic() + DEADLINE,
    )


@pytest.fixture
async def lagging(bench: ConfigurationSite) -> Peer:
    """Return an instance that has only the first of two accepted files."""
    writer, reader = bench.create_peer('writer'), bench.create_peer('reader')
    await apply(writer, 'first', digest_key('another'))
    await reader.follower.catch_up()
    await apply(writer, 'second', digest_key(KEY))
    return reader


async def test_key_accepted_elsewhere(lagging: Peer) -> None:
    """Guards against 401 for a key whose file is not in force here yet."""
    confirmation = Confirmation(lagging.holder, lagging.follower)
    found = await resolve_workspace(confirmation, lagging, KEY)
    assert found.unwrap().name == 'second'


async def test_unknown_key_is_refused_for_good(lagging: Peer) -> None:
    """Guards against making callers with a wrong key retry for ever."""
    confirmation = Confirmation(lagging.holder, lagging.follower)
    found = await resolve_workspace(confirmation, lagging, 'nobody')
    assert found.failure().code is RefusalCode.UNAUTHENTICATED
    assert found.failure().retry_after is None


async def test_unreachable_store(
    bench: ConfigurationSite,
    lagging: Peer,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a final 401 that the store could not confirm."""
    monkeypatch.setattr(confirmations, '_WAIT_LIMIT', DEADLINE)
    confirmation = Confirmation(lagging.holder, lagging.follower)
    await bench.server.close()
    started = monotonic()
    found = await resolve_workspace(confirmation, lagging, KEY)
    assert found.failure().code is RefusalCode.NOT_READY
    assert found.failure().retry_after > 0
    # Refused at once, not only when the deadline is near.
    assert monotonic() - started < DEADLINE / 2


async def test_stop_ends_the_wait_for_the_store(
    bench: ConfigurationSite,
    lagging: Peer,
) -> None:
    """Guards against a stop that drops calls that wait for the store."""
    drain = Drain(lambda: 1, lambda: StopTimes(grace=0, limit=DEADLINE))
    table = EndpointTable()
    limits = WorkspaceLimits(MemberTable(), table, Counters())
    admitter = Admitter(lagging.holder, lagging.follower, limits, drain)
    head = make_mocked_request('GET', '/v1/models')
    call = Call(head, 'r1', monotonic(), monotonic() + DEADLINE)
    bench.standin.faults.hang = True
    listing = asyncio.create_task(admitter.list_models(call))
    await asyncio.sleep(BRIEF)
    assert not listing.done()
    drain.start()
    drain.interrupt_calls()
    listed = await listing
    assert listed.failure().code is RefusalCode.NOT_READY
    assert listed.failure().retry_after == 0


async def test_wrong_keys_share_reads(
    lagging: Peer,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a read of the store for each wrong key."""
    confirmation = Confirmation(lagging.holder, lagging.follower)
    reads = []
    catch_up = lagging.follower.catch_up

    async def count_read() -> object:
        reads.append(monotonic())
        return await catch_up()

    monkeypatch.setattr(lagging.follower, 'catch_up', count_read)
    calls = []
    for _ in range(200):
        calls.append(
            asyncio.create_task(
                resolve_workspace(confirmation, lagging, 'nobody')
            )
        )
        await asyncio.sleep(0.002)
    answers = await asyncio.gather(*calls)
    codes = {answer.failure().code for answer in answers}
    assert codes == {RefusalCode.UNAUTHENTICATED}
    gaps = [later - earlier for earlier, later in itertools.pairwise(reads)]
    assert min(gaps) > MIN_READ_INTERVAL
    assert len(reads) < len(calls) / 10
