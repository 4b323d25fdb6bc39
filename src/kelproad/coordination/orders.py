"""Orders: the holder of a zone keeps its engines at what the files declare.

Every pass reads what the engines report, compares, and orders the difference.
An order that was lost, or a stale one that was given by an earlier holder, is
therefore corrected by the next pass.
"""

import asyncio

import attrs
from mode import Service
from returns.result import Failure

from ..protocol.orders import ORDER_TIMEOUT, OrderClient, OrderOutcome
from ..protocol.platform import PlatformClient
from ..state.configuration import SnapshotHolder
from ..state.counters import Counters
from ..state.declarations import Fencing
from ..state.endpoints import EndpointTable
from ..state.identity import Identity
from ..state.members import MemberTable
from ..state.orders import (
    DesiredState,
    EngineState,
    ModelState,
    Order,
    OrderKind,
    derive_desired,
)
from ..state.placement import choose_owners
from ..transport.addresses import Address
from ..transport.deadlines import monotonic
from ..transport.services import BackgroundService
from .configuration import ConfigurationFollower
from .failures import LoadFailures
from .leases import Lease
from .rollout import Situation, plan_orders

__all__ = ['OrderKeeper']

#: Instances of a zone that contend for its lease.
CANDIDATES = 2
_PERIOD = 1.0
_READ_TIMEOUT = 1.0
#: Looks at the lease between two renewals; one is late by a look at most.
_LOOKS = 10
#: Seconds added wherever the end of a lease or of an order is waited for.
_MARGIN = 0.25


class OrderKeeper(BackgroundService):
    """Gives the orders of the instance's zone while it holds the lease."""

    abstract = False

    def __init__(
        self,
        identity: Identity,
        holder: SnapshotHolder,
        table: EndpointTable,
        members: MemberTable,
        follower: ConfigurationFollower,
        platform: PlatformClient,
        client: OrderClient,
        counters: Counters,
        lease_seconds: float,
    ) -> None:
        """Contend for the lease of the identity's zone."""
        super().__init__()
        self._identity = identity
        self._holder = holder
        self._table = table
        self._members = members
        self._follower = follower
        self._client = client
        self._counters = counters
        self._name = f'orders/{identity.zone}'
        self._lease = Lease(
            self._name,
            identity.owner,
            platform,
            lease_seconds,
        )
        self._counted_writes = 0
        self._token_caught_up = 0
        self._withheld: dict[str, float] = {}
        self._failures = LoadFailures()
        self._notes: dict[str, str] = {}
        #: Endpoints last withheld, and the snapshot whose endpoints they were.
        self._spread: frozenset[str] = frozenset()
        self._spread_in = holder.current

    async def on_stop(self) -> None:
        """Let another instance begin at once."""
        await self._lease.give_back()

    async def reconcile(self) -> None:
        """Compare the engines with what is wanted, and order the difference."""
        if not self._lease.is_held:
            # While it was not, requests may have gone to engines withheld.
            self._withheld = {}
        desired: dict[str, DesiredState] = {}
        if self._is_candidate():
            desired = derive_desired(self._holder.current, self._identity.zone)
        else:
            await self._lease.give_back()
        if desired and await self._become_holder():
            await self._reconcile(desired)
        else:
            self._withheld = {}
            self._notes = {}
        self._spread_withheld()

    def describe(self) -> dict[str, object]:
        """Describe the orders of the zone, for people."""
        return {
            'holder': self._lease.body.holder,
            'token': self._lease.body.token,
            'held_here_for': self._lease.remaining
            if self._lease.is_held
            else None,
            'engines': dict(self._notes),
            'stopped': [attrs.asdict(item) for item in self._failures.stopped],
        }

    @Service.task
    async def _reconcile_periodically(self) -> None:
        while not self.should_stop:
            await self.reconcile()
            await self.sleep(_PERIOD)

    @Service.task
    async def _renew_periodically(self) -> None:
        """Renew beside the passes.

        A pass may take longer than a lease: at a takeover each engine that
        checks tokens is told the new one in turn, and those that are slow take
        a second each.  Renewed by passes alone, the lease would be lost in the
        midst of each of them, and the telling begun anew with another token.
        """
        while not self.should_stop:
            await self._lease.renew()
            self._count_writes()
            await self.sleep(self._lease.share / _LOOKS)

    def _count_writes(self) -> None:
        added = self._lease.writes - self._counted_writes
        self._counted_writes = self._lease.writes
        self._counters.lease_writes.add({}, added)

    async def _become_holder(self) -> bool:
        is_held = await self._lease.keep()
        self._count_writes()
        token = self._lease.body.token
        if is_held and token != self._token_caught_up:
            # The earlier holder may have acted on a later revision than the
            # one in force here; ordering by an older one would undo its work.
            caught_up = await self._follower.catch_up()
            if isinstance(caught_up, Failure):
                return False
            self._token_caught_up = token
            self._failures.restore(self._lease.note)
            self.log.info('holder of %s with token %d', self._name, token)
        return is_held

    def _is_candidate(self) -> bool:
        names = {self._identity.instance} | {
            member.name
            for member in self._members.live(monotonic())
            if member.zone == self._identity.zone and not member.draining
        }
        owners = choose_owners(self._name, names, CANDIDATES)
        return self._identity.instance in owners

    async def _reconcile(self, desired: dict[str, DesiredState]) -> None:
        self._failures.forget(desired)
        observed = await self._observe(desired)
        for endpoint, state in observed.items():
            for item in state.models:
                self._note_failure(desired[endpoint], state, item)
        await self._raise_tokens(desired, observed)
        plan = plan_orders(
            Situation(
                desired,
                observed,
                self._withheld,
                self._failures.stopped,
                self._failures.not_before,
                self._lease.body.token,
                monotonic(),
            ),
        )
        self._withheld = plan.withheld
        self._notes = plan.notes
        for endpoint, order in plan.orders:
            await self._give(desired[endpoint], order)

    def _note_failure(
        self,
        desired: DesiredState,
        state: EngineState,
        held: ModelState,
    ) -> None:
        if self._failures.note(desired, state, held, monotonic()):
            self._lease.note = self._failures.encode()
            self.log.error(
                'rollout of %s %s stopped, it fails: %s',
                held.model,
                held.version,
                held.reason,
            )

    async def _observe(
        self,
        desired: dict[str, DesiredState],
    ) -> dict[str, EngineState]:
        states = await asyncio.gather(
            *(
                self._client.read_state(_build_url(item), _READ_TIMEOUT)
                for item in desired.values()
            ),
        )
        return {
            endpoint: state
            for endpoint, state in zip(desired, states, strict=True)
            if state is not None
        }

    async def _give(self, desired: DesiredState, order: Order) -> None:
        if not self._may_order(desired.group.fencing):
            return
        outcome = await self._client.give(_build_url(desired), order)
        self._counters.orders.inc({'kind': order.kind, 'outcome': outcome})
        self.log.info(
            'ordered %s: %s %s %s for revision %d: %s',
            desired.endpoint,
            order.kind,
            order.model,
            order.version,
            order.generation,
            outcome,
        )
        if outcome is OrderOutcome.FENCED:
            self._lease.drop()

    async def _raise_tokens(
        self,
        desired: dict[str, DesiredState],
        observed: dict[str, EngineState],
    ) -> None:
        """Make engines that check tokens know this holder's.

        An engine that is right gets no order, so it would not hear of a new
        holder, and would take a stale order of the last one.  An order to have
        the role that it has changes nothing but that.
        """
        for endpoint, state in observed.items():
            item = desired[endpoint]
            is_enforced = item.group.fencing is Fencing.ENFORCED
            token = self._lease.body.token
            if is_enforced and state.token < token:
                order = Order(
                    OrderKind.ROLE,
                    token,
                    item.generation,
                    role=state.role,
                )
                await self._give(item, order)

    def _may_order(self, fencing: Fencing) -> bool:
        """Check the lease right before an order.

        The order must have ended before the lease does.  An engine that
        ignores the token would also take an order of the earlier holder that
        is still under way, so there the new one waits until that has ended.
        A process that is paused between this check and the sending is not
        stopped by it; the next holder's passes undo what it did.
        """
        limit = ORDER_TIMEOUT + _MARGIN
        if self._lease.remaining < limit:
            return False
        if fencing is Fencing.ENFORCED:
            return True
        return monotonic() - self._lease.taken_at >= limit

    def _spread_withheld(self) -> None:
        """Withhold what any holder withholds, from the requests of here."""
        self._table.withheld_here = frozenset(self._withheld)
        names = self._table.withheld_here.union(
            *(member.withheld for member in self._members.live(monotonic())),
        )
        snapshot = self._holder.current
        if names != self._spread or snapshot is not self._spread_in:
            self._spread = names
            self._spread_in = snapshot
            self._table.withhold(names)


def _build_url(desired: DesiredState) -> str:
    return Address.from_text(desired.address).url
