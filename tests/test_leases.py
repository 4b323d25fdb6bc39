"""Leases on a clock of the test's own, in a store that may be silent."""

from collections.abc import Callable

import attrs
import pytest
from returns.result import Failure, Result, Success

from kelproad.coordination.leases import Lease
from kelproad.protocol.store import Row, StoreError, StoreErrorKind, Write

#: Seconds between two looks at a lease.
LOOK = 0.05
#: Shares of a lease after which it is renewed; so many renewals may fail.
RENEWALS = 4
MAY_FAIL = 2


def _do_nothing() -> None:
    """Go on."""


@attrs.define
class Store:
    """One row, and a clock that goes on only by waiting.

    Attributes
    ----------
    silent_until
        Time until which calls are neither carried out nor answered.
    lost
        Number of calls still to come that are not either.
    landing
        Number of writes still to come that take effect, though neither they
        nor the reading back are answered.
    meanwhile
        Done while a write is under way.
    """

    now: float = 100.0
    row: Row | None = None
    silent_until: float = 0
    lost: int = 0
    landing: int = 0
    meanwhile: Callable[[], None] = _do_nothing

    def is_silent(self) -> bool:
        self.lost -= 1
        return self.lost >= 0 or self.now < self.silent_until

    async def read_row(
        self,
        _table: str,
        _key: str,
        timeout: float,
    ) -> Result[Row | None, StoreError]:
        if self.is_silent():
            return self.wait_in_vain(timeout, StoreErrorKind.UNAVAILABLE)
        return Success(self.row)

    async def transact(
        self,
        writes: list[Write],
        timeout: float,
    ) -> Result[None, StoreError]:
        if self.is_silent():
            return self.wait_in_vain(timeout, StoreErrorKind.UNKNOWN)
        version = self.row.version if self.row else 0
        write = writes[0]
        if write.expect != version:
            return _fail(StoreErrorKind.CONFLICT)
        self.row = Row(write.key, version + 1, write.body)
        self.meanwhile()
        self.landing -= 1
        if self.landing < 0:
            return Success(None)
        self.lost = 1
        return self.wait_in_vain(timeout, StoreErrorKind.UNKNOWN)

    def wait_in_vain(
        self,
        timeout: float,
        kind: StoreErrorKind,
    ) -> Result[None, StoreError]:
        self.now += timeout
        return _fail(kind)

    def create_lease(self, holder: str, seconds: float) -> Lease:
        return Lease('orders/a', holder, self, seconds, lambda: self.now)

    async def take(self, holder: str, seconds: float) -> Lease:
        lease = self.create_lease(holder, seconds)
        assert await lease.acquire_or_renew()
        return lease


def _fail(kind: StoreErrorKind) -> Result[None, StoreError]:
    return Failure(StoreError(kind, 'call', 'store', 'as the test has it'))


@pytest.fixture
def store() -> Store:
    return Store()


@pytest.mark.parametrize('seconds', [3.0, 10.0])
async def test_one_lost_renewal(store: Store, seconds: float) -> None:
    """A zone loses its holder when the store leaves one call unanswered.

    The holder waits for the answer longer than there is between two renewals.
    With the answer given up, a short lease has all but run out.
    """
    lease = await store.take('a:1', seconds)
    store.lost = 1
    lowest = seconds
    ends = store.now + 2 * seconds
    while store.now < ends:
        await lease.acquire_or_renew()
        lowest = min(lowest, lease.remaining)
        store.now += LOOK
    assert lowest >= seconds / RENEWALS
    assert lease.body.token == 1


@pytest.mark.parametrize('seconds', [3.0, 10.0])
@pytest.mark.parametrize('share_begun', [0, 0.3, 0.6, 0.9])
async def test_silence_of_two_renewals(
    store: Store,
    seconds: float,
    share_begun: float,
) -> None:
    """The store is silent for as long as two renewals may fail."""
    share = seconds / RENEWALS
    lease = await store.take('a:1', seconds)
    store.now += share_begun * share
    store.silent_until = store.now + MAY_FAIL * share
    ends = store.now + 2 * seconds
    while store.now < ends:
        assert await lease.acquire_or_renew()
        store.now += LOOK
    assert lease.body.token == 1


@pytest.mark.parametrize('lapsed_for', [0.1, 5, 600])
async def test_late_renewal_of_an_untaken_lease(
    store: Store,
    lapsed_for: float,
) -> None:
    """A holder stands still for longer than its lease; nobody takes over.

    Awake, it saw its own row unchanged, waited like any contender for that to
    last for a lease, and took it with a new token that every engine had to
    hear of.  Meanwhile the zone got no orders, though it had one holder only.
    """
    lease = await store.take('a:1', 3)
    taken_at = lease.acquired_at
    store.now += 3 + lapsed_for
    assert not lease.is_held
    assert await lease.acquire_or_renew()
    assert (lease.body.token, lease.acquired_at) == (1, taken_at)
    assert lease.remaining == 3


async def test_late_renewal_of_a_taken_lease(store: Store) -> None:
    """Another one took over meanwhile: renewing late must not undo that."""
    old = await store.take('a:1', 3)
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


async def test_taking_whose_answer_was_lost(store: Store) -> None:
    """An engine that ignores tokens is given orders by two holders.

    A contender's taking lands without an answer.  It meets the row as its own
    and renews it late; counted from no time at all, its first order would not
    wait for those of the last holder that are still under way.
    """
    await store.take('b:1', 10)
    lease = store.create_lease('a:1', 10)
    await lease.acquire_or_renew()
    store.now += 11
    store.landing = 1
    assert not await lease.acquire_or_renew()
    begins = store.now
    while not await lease.acquire_or_renew():
        store.now += LOOK
    assert lease.acquired_at >= begins


async def test_late_renewal_after_a_newer_holder_was_met(
    store: Store,
) -> None:
    """An engine knows a newer token, though the row does not.

    Renewed late, the old token would be refused for ever.
    """
    lease = await store.take('a:1', 3)
    lease.give_up()
    await lease.renew()
    assert not await lease.acquire_or_renew()
    store.now += 4
    assert await lease.acquire_or_renew()
    assert lease.body.token == 2


async def test_newer_holder_met_during_a_renewal(store: Store) -> None:
    """An order is refused for its token while the lease is being renewed.

    The renewal's success must not make it the holder again.
    """
    lease = await store.take('a:1', 3)
    store.now += 1
    store.meanwhile = lease.give_up
    await lease.renew()
    assert not lease.is_held


@pytest.mark.parametrize('given_up', [False, True])
async def test_late_renewal_of_a_lost_row(store: Store, given_up: bool) -> None:
    """The row is gone: the lease is taken anew, not renewed for ever.

    It has the first token again, which must not pass for the one held before.
    """
    lease = await store.take('a:1', 3)
    if given_up:
        lease.give_up()
    store.now += 4
    store.row = None
    await lease.acquire_or_renew()
    assert await lease.acquire_or_renew()
    assert (lease.body.token, lease.acquired_at) == (1, store.now)


async def test_renewing_late_after_giving_back(store: Store) -> None:
    """One that stops with its lease lapsed does not take it up again."""
    lease = await store.take('a:1', 3)
    store.now += 3
    await lease.release()
    assert not await lease.acquire_or_renew()


async def test_renewing_after_giving_back(store: Store) -> None:
    """A stopping holder's renewal does not take back what it gave."""
    lease = await store.take('a:1', 3)
    await lease.release()
    store.now += 1
    await lease.renew()
    assert not lease.is_held
    assert await store.create_lease('b:1', 3).acquire_or_renew()
