"""Leases on a simulated clock, in a store that may not answer."""

from collections.abc import Callable

import attrs
import pytest
from returns.result import Failure, Result, Success

from kelproad.coordination.leases import Lease
from kelproad.protocol.store import Row, StoreError, StoreErrorKind, Write

#: Seconds between two checks of a lease.
CHECK_SECONDS = 0.05
#: Renewals per length of a lease, and how many of them may fail in a row.
RENEWALS_PER_LEASE = 4
MAX_FAILED_RENEWALS = 2


def _do_nothing() -> None:
    """Leave the row as it is, by default."""


@attrs.define
class Store:
    """A store of one row, and the clock, which calls that time out advance.

    Attributes
    ----------
    silent_until
        Time until which calls are neither executed nor answered.
    lost_calls
        Number of coming calls that are neither executed nor answered.
    unanswered_writes
        Number of coming writes that take effect, although neither they nor
        the reads that check them are answered.
    meanwhile
        Called while a write is under way.
    """

    now: float = 100.0
    row: Row | None = None
    silent_until: float = 0
    lost_calls: int = 0
    unanswered_writes: int = 0
    meanwhile: Callable[[], None] = _do_nothing

    def drops_call(self) -> bool:
        self.lost_calls -= 1
        return self.lost_calls >= 0 or self.now < self.silent_until

    async def read_row(
        self,
        _table: str,
        _key: str,
        timeout: float,
    ) -> Result[Row | None, StoreError]:
        if self.drops_call():
            return self.time_out(timeout, StoreErrorKind.UNAVAILABLE)
        return Success(self.row)

    async def transact(
        self,
        writes: list[Write],
        timeout: float,
    ) -> Result[None, StoreError]:
        if self.drops_call():
            return self.time_out(timeout, StoreErrorKind.UNKNOWN)
        version = self.row.version if self.row else 0
        write = writes[0]
        if write.expect != version:
            return _fail(StoreErrorKind.CONFLICT)
        self.row = Row(write.key, version + 1, write.body)
        self.meanwhile()
        self.unanswered_writes -= 1
        if self.unanswered_writes < 0:
            return Success(None)
        self.lost_calls = 1
        return self.time_out(timeout, StoreErrorKind.UNKNOWN)

    def time_out(
        self,
        timeout: float,
        kind: StoreErrorKind,
    ) -> Result[None, StoreError]:
        self.now += timeout
        return _fail(kind)

    def create_lease(self, holder: str, seconds: float) -> Lease:
        return Lease('orders/a', holder, self, seconds, lambda: self.now)

    async def acquire(self, holder: str, seconds: float) -> Lease:
        lease = self.create_lease(holder, seconds)
        assert await lease.acquire_or_renew()
        return lease


def _fail(kind: StoreErrorKind) -> Result[None, StoreError]:
    return Failure(StoreError(kind, 'call', 'store', 'injected by the test'))


@pytest.fixture
def store() -> Store:
    return Store()


@pytest.mark.parametrize('seconds', [3.0, 10.0])
async def test_one_lost_renewal(store: Store, seconds: float) -> None:
    """One unanswered renewal leaves a good part of the lease.

    A holder that waits for the answer for longer than the interval between
    renewals would nearly let a short lease expire, and the zone would lose
    its holder.
    """
    lease = await store.acquire('a:1', seconds)
    store.lost_calls = 1
    lowest = seconds
    end = store.now + 2 * seconds
    while store.now < end:
        await lease.acquire_or_renew()
        lowest = min(lowest, lease.remaining)
        store.now += CHECK_SECONDS
    assert lowest >= seconds / RENEWALS_PER_LEASE
    assert lease.body.token == 1


@pytest.mark.parametrize('seconds', [3.0, 10.0])
@pytest.mark.parametrize('share_begun', [0, 0.3, 0.6, 0.9])
async def test_silence_of_two_renewals(
    store: Store,
    seconds: float,
    share_begun: float,
) -> None:
    """A lease outlasts a silence of the store of two renewals."""
    share = seconds / RENEWALS_PER_LEASE
    lease = await store.acquire('a:1', seconds)
    store.now += share_begun * share
    store.silent_until = store.now + MAX_FAILED_RENEWALS * share
    end = store.now + 2 * seconds
    while store.now < end:
        assert await lease.acquire_or_renew()
        store.now += CHECK_SECONDS
    assert lease.body.token == 1


@pytest.mark.parametrize('lapsed_for', [0.1, 5, 600])
async def test_late_renewal_of_an_untaken_lease(
    store: Store,
    lapsed_for: float,
) -> None:
    """A holder paused for longer than its lease renews it if it is still free.

    If it waited for the length of a lease like a contender and took a new
    token, the zone would get no orders meanwhile, and every engine would have
    to learn the token.
    """
    lease = await store.acquire('a:1', 3)
    taken_at = lease.acquired_at
    store.now += 3 + lapsed_for
    assert not lease.is_held
    assert await lease.acquire_or_renew()
    assert (lease.body.token, lease.acquired_at) == (1, taken_at)
    assert lease.remaining == 3


async def test_late_renewal_of_a_taken_lease(store: Store) -> None:
    """A late renewal must not undo another holder's takeover."""
    old = await store.acquire('a:1', 3)
    new = store.create_lease('b:1', 3)
    await new.acquire_or_renew()
    store.now += 4
    assert await new.acquire_or_renew()
    for _ in range(3):
        assert not await old.acquire_or_renew()
        store.now += 1
        assert await new.acquire_or_renew()
    assert old.body.holder == 'b:1'
    assert new.body.token == 2


async def test_acquisition_whose_answer_was_lost(store: Store) -> None:
    """A lease whose acquisition got no answer counts from its renewal.

    The contender finds the row as its own and renews it late.  Without a time
    of acquisition its first order would not wait for orders of the last holder
    still under way; an engine that ignores tokens would obey both holders.
    """
    await store.acquire('b:1', 10)
    lease = store.create_lease('a:1', 10)
    await lease.acquire_or_renew()
    store.now += 11
    store.unanswered_writes = 1
    assert not await lease.acquire_or_renew()
    retried_at = store.now
    while not await lease.acquire_or_renew():
        store.now += CHECK_SECONDS
    assert lease.acquired_at >= retried_at


async def test_late_renewal_after_a_newer_holder_was_met(
    store: Store,
) -> None:
    """A holder that was refused for its token takes a new one.

    An engine knows a newer token than the row.  After a late renewal
    with the old token, all its orders would be refused.
    """
    lease = await store.acquire('a:1', 3)
    lease.give_up()
    await lease.renew()
    assert not await lease.acquire_or_renew()
    store.now += 4
    assert await lease.acquire_or_renew()
    assert lease.body.token == 2


async def test_newer_holder_met_during_a_renewal(store: Store) -> None:
    """A renewal that succeeds must not restore a lease that was given up.

    An order is refused for its token while the renewal is under way.
    """
    lease = await store.acquire('a:1', 3)
    store.now += 1
    store.meanwhile = lease.give_up
    await lease.renew()
    assert not lease.is_held


@pytest.mark.parametrize('given_up', [False, True])
async def test_late_renewal_of_a_lost_row(store: Store, given_up: bool) -> None:
    """A lease whose row was deleted is acquired anew, not renewed for ever.

    It has the first token again, which must not pass for the one held before.
    """
    lease = await store.acquire('a:1', 3)
    if given_up:
        lease.give_up()
    store.now += 4
    store.row = None
    await lease.acquire_or_renew()
    assert await lease.acquire_or_renew()
    assert (lease.body.token, lease.acquired_at) == (1, store.now)


async def test_late_renewal_after_release(store: Store) -> None:
    """A holder that stops does not re-acquire its lapsed lease."""
    lease = await store.acquire('a:1', 3)
    store.now += 3
    await lease.release()
    assert not await lease.acquire_or_renew()


async def test_renewal_after_release(store: Store) -> None:
    """A stopping holder's renewal does not re-acquire a released lease."""
    lease = await store.acquire('a:1', 3)
    await lease.release()
    store.now += 1
    await lease.renew()
    assert not lease.is_held
    assert await store.create_lease('b:1', 3).acquire_or_renew()
