"""Orders: a zone's lease holder keeps its engines in the declared state.

Every reconciliation reads the state of the engines, compares it with the
declared one and orders the differences.  An order that was lost, or a stale
one of an earlier holder, is therefore corrected by the next reconciliation.
"""

import asyncio

import attrs
from returns.result import Failure

from ..protocol.orders import ORDER_TIMEOUT, OrderClient, OrderOutcome
from ..protocol.platform import PlatformClient
from ..state.configuration import SnapshotHolder
from ..state.counters import Counters
from ..state.declarations import Fencing
from ..state.endpointtable import EndpointTable
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
from ..transport.services import BackgroundService, restarted_task
from .configuration import ConfigurationFollower
from .failures import LoadFailures
from .leases import Lease
from .rollout import RolloutState, plan_orders

__all__ = ['OrderController']

#: Instances of a zone that contend for its lease.
CANDIDATES = 2
#: Seconds between two reconciliations.
_PERIOD = 1.0
#: Seconds for reading the state of an engine.
_READ_TIMEOUT = 1.0
#: Checks of the lease per renewal interval; a renewal is delayed by one check
#: at most.
_RENEWAL_CHECKS = 10
#: Seconds added to every wait for the end of a lease or of an order.
_MARGIN = 0.25


class OrderController(BackgroundService):
    """Sends orders to the engines of the zone while it holds the lease."""

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
        self._caught_up_token = 0
        self._withheld: dict[str, float] = {}
        self._failures = LoadFailures()
        self._notes: dict[str, str] = {}
        #: Endpoints last withheld from routing, and the snapshot they are of.
        self._applied_withheld: frozenset[str] = frozenset()
        self._applied_snapshot = holder.current

    async def on_stop(self) -> None:
        """Release the lease, so that another instance need not wait."""
        await self._lease.release()

    async def reconcile(self) -> None:
        """Compare the engines with the desired state, order differences."""
        if not self._lease.is_held:
            # Meanwhile requests may have gone to withheld engines.
            self._withheld = {}
        desired: dict[str, DesiredState] = {}
        if self._is_candidate():
            desired = derive_desired(self._holder.current, self._identity.zone)
        else:
            await self._lease.release()
        if desired and await self._become_holder():
            await self._reconcile(desired)
        else:
            self._withheld = {}
            self._notes = {}
        self._apply_withheld()

    def describe(self) -> dict[str, object]:
        """Describe the orders of the zone, for operators."""
        return {
            'holder': self._lease.body.holder,
            'token': self._lease.body.token,
            'held_here_for': self._lease.remaining
            if self._lease.is_held
            else None,
            'engines': dict(self._notes),
            'stopped': [attrs.asdict(item) for item in self._failures.stopped],
        }

    @restarted_task
    async def _reconcile_periodically(self) -> None:
        while not self.should_stop:
            await self.reconcile()
            await self.sleep(_PERIOD)

    @restarted_task
    async def _renew_periodically(self) -> None:
        """Renew the lease independently of reconciliations.

        A reconciliation may take longer than a lease: after a takeover the new
        token is sent to one engine after the other, and a slow engine takes a
        second.  Renewed only by reconciliations, the lease would expire during
        each of them, and all engines would need yet another token.
        """
        while not self.should_stop:
            await self._lease.renew()
            self._count_writes()
            await self.sleep(self._lease.share / _RENEWAL_CHECKS)

    def _count_writes(self) -> None:
        added = self._lease.writes - self._counted_writes
        self._counted_writes = self._lease.writes
        self._counters.lease_writes.add({}, added)

    async def _become_holder(self) -> bool:
        is_held = await self._lease.acquire_or_renew()
        self._count_writes()
        token = self._lease.body.token
        if is_held and token != self._caught_up_token:
            # The earlier holder may have acted on a later revision than the
            # one in force here; ordering by an older one would undo its work.
            caught_up = await self._follower.catch_up()
            if isinstance(caught_up, Failure):
                return False
            self._caught_up_token = token
            self._failures.restore(self._lease.note)
            self.log.info('acquired lease %s with token %d', self._name, token)
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
                self._record_failure(desired[endpoint], state, item)
        await self._raise_tokens(desired, observed)
        plan = plan_orders(
            RolloutState(
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
            await self._send_order(desired[endpoint], order)

    def _record_failure(
        self,
        desired: DesiredState,
        state: EngineState,
        held: ModelState,
    ) -> None:
        if self._failures.note(desired, state, held, monotonic()):
            self._lease.note = self._failures.encode()
            self.log.error(
                'rollout of %s %s stopped, loading failed: %s',
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

    async def _send_order(self, desired: DesiredState, order: Order) -> None:
        if not self._may_order(desired.group.fencing):
            return
        outcome = await self._client.send(_build_url(desired), order)
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
            self._lease.give_up()

    async def _raise_tokens(
        self,
        desired: dict[str, DesiredState],
        observed: dict[str, EngineState],
    ) -> None:
        """Send this holder's token to the engines that check tokens.

        An engine in the desired state gets no order, so it would not learn the
        new token and would accept a stale order of the previous holder.  An
        order for the role that it already has changes nothing else.
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
                await self._send_order(item, order)

    def _may_order(self, fencing: Fencing) -> bool:
        """Check the lease right before an order.

        The order must have ended before the lease does.  An engine that
        ignores the token would also accept an order of the previous holder
        that is still in flight, so there the new holder waits until that has
        ended.  This does not stop a process that is paused between the check
        and the send; the next holder's reconciliations undo such an order.
        """
        limit = ORDER_TIMEOUT + _MARGIN
        if self._lease.remaining < limit:
            return False
        if fencing is Fencing.ENFORCED:
            return True
        return monotonic() - self._lease.acquired_at >= limit

    def _apply_withheld(self) -> None:
        """Exclude the engines that any holder withholds from local routing."""
        self._table.withheld_locally = frozenset(self._withheld)
        names = self._table.withheld_locally.union(
            *(member.withheld for member in self._members.live(monotonic())),
        )
        snapshot = self._holder.current
        if (
            names != self._applied_withheld
            or snapshot is not self._applied_snapshot
        ):
            self._applied_withheld = names
            self._applied_snapshot = snapshot
            self._table.withhold(names)


def _build_url(desired: DesiredState) -> str:
    return Address.from_text(desired.address).url
