"""Release of items that engines hold for owners that no longer exist.

An instance that crashes leaves its streams, exports and pins in the engines'
memory.  The watchers of an engine list the items that it holds and release
those without an owner.  Aborting a live stream is worse than holding memory a
little longer, so an unclear case waits for the deadline.
"""

import asyncio
import enum

import attrs

from ..protocol.engines import EngineClient
from ..state.configuration import SnapshotHolder
from ..state.counters import Counters
from ..state.endpoints import Endpoint
from ..state.endpointtable import EndpointTable
from ..state.holdings import STREAM, HeldItem, HoldingTable
from ..state.identity import Identity
from ..state.members import MemberTable
from ..state.problems import parse_digits
from ..transport.addresses import Address
from ..transport.deadlines import monotonic
from ..transport.services import BackgroundService, restarted_task
from .watch import list_watched

__all__ = ['Evidence', 'OrphanWatch', 'OwnershipState', 'find_orphan_evidence']

#: Seconds between two checks of the items that an engine holds.
_PERIOD = 3.0
#: Seconds for one call to an engine.
_TIMEOUT = 1.0
#: Seconds past the deadline that the owner has to cancel by itself.
DEADLINE_MARGIN = 5.0
#: Seconds after which the platform's list is too old to be evidence.
_LISTING_VALID = 10.0


class Evidence(enum.StrEnum):
    """Why an item held by an engine has no owner any more."""

    PAST_DEADLINE = 'past deadline'
    REPLACED = 'owner replaced'
    UNRECORDED = 'not recorded by its owner'
    FORGOTTEN = 'owner forgotten'


@attrs.frozen
class OwnershipState:
    """The state of the owners of items at one moment.

    Attributes
    ----------
    local_owner
        This process as an owner: instance and incarnation.
    recorded
        Items that this process has on record.
    incarnations
        Highest known incarnation of each instance.
    silent_seconds
        Seconds since a record of an instance was last received.
    watched_for
        Seconds since the watch began; used for instances not in
        ``silent_seconds``.
    listed
        Instances on the platform's list; ``None`` if no recent list is known.
    all_zones_live
        Whether every availability zone has a live instance.
    forgotten_after
        Seconds of silence after which an unlisted instance counts as departed.
    """

    local_owner: str
    recorded: HoldingTable
    incarnations: dict[str, int]
    silent_seconds: dict[str, float]
    watched_for: float
    listed: frozenset[str] | None
    all_zones_live: bool
    forgotten_after: float

    def is_forgotten(self, instance: str) -> bool:
        """Return whether neither the platform nor peers know an instance.

        The platform also removes an instance from its list when its zone is
        cut off.  Then no instance of that zone is live here, so silence is
        evidence only while every zone has a live instance.
        """
        if self.listed is None or not self.all_zones_live:
            return False
        silent = self.silent_seconds.get(instance, self.watched_for)
        return instance not in self.listed and silent > self.forgotten_after


class OrphanWatch(BackgroundService):
    """Releases orphaned items in the engines that this instance watches."""

    abstract = False

    def __init__(
        self,
        identity: Identity,
        holder: SnapshotHolder,
        table: EndpointTable,
        members: MemberTable,
        engines: EngineClient,
        recorded: HoldingTable,
        counters: Counters,
        forgotten_after: float,
    ) -> None:
        """Share the engines of a table among the live members of the zone."""
        super().__init__()
        self._identity = identity
        self._holder = holder
        self._table = table
        self._members = members
        self._engines = engines
        self._recorded = recorded
        self._counters = counters
        self._forgotten_after = forgotten_after
        self._started_at = monotonic()

    @restarted_task
    async def _check_periodically(self) -> None:
        while not self.should_stop:
            await self.sleep(_PERIOD)
            watched = list_watched(
                self._identity,
                self._table,
                self._members,
                monotonic(),
            )
            await asyncio.gather(*map(self._check_engine, watched))

    async def _check_engine(self, endpoint: Endpoint) -> None:
        url = Address.from_text(endpoint.declaration.address).url
        held = await self._engines.list_held(url, _TIMEOUT)
        ownership = self._gather_ownership()
        for item in held or []:
            evidence = find_orphan_evidence(item, ownership)
            if evidence is None:
                continue
            if not await self._release(url, item, evidence):
                # The engine did not answer; the next check continues.
                return

    async def _release(
        self,
        url: str,
        item: HeldItem,
        evidence: Evidence,
    ) -> bool:
        released = await self._engines.release(
            url,
            item.kind,
            item.item_id,
            _TIMEOUT,
        )
        self._counters.orphans.inc(
            {
                'kind': item.kind,
                'evidence': str(evidence),
                'outcome': 'released' if released else 'unconfirmed',
            },
        )
        return released

    def _gather_ownership(self) -> OwnershipState:
        now = monotonic()
        members = self._members
        identity = self._identity
        live_zones = {member.zone for member in members.live(now)}
        deployment = self._holder.current.deployment
        zones = set(deployment.zones) if deployment else {''}
        recent = now - members.listed_at <= _LISTING_VALID
        known = {member.name: member.incarnation for member in members.known()}
        return OwnershipState(
            local_owner=identity.owner,
            recorded=self._recorded,
            incarnations={**known, identity.instance: identity.incarnation},
            silent_seconds={
                name: now - members.received_at(name) for name in known
            },
            watched_for=now - self._started_at,
            listed=members.listed if recent else None,
            all_zones_live=zones <= live_zones | {identity.zone},
            forgotten_after=self._forgotten_after,
        )


def find_orphan_evidence(
    item: HeldItem,
    ownership: OwnershipState,
) -> Evidence | None:
    """Return why an item has no owner any more, or ``None`` if it may.

    Past its deadline nobody waits for it: its caller has been refused by then.
    A higher incarnation of the owner means that the process which held
    the item has exited, unless a connection still reads it: then the old
    process is being replaced and finishes its calls.  An item of this process
    that it has not on record is abandoned, since the record is made before the
    dispatch.  An owner that neither the platform nor peers know is taken as
    departed only if the engine reports that no connection reads the stream;
    otherwise it may just be cut off.
    """
    instance, _, text = item.owner.rpartition(':')
    incarnation = parse_digits(text)
    if not instance or incarnation is None:
        # The owner is not an instance: another client uses the engine too.
        return None
    if item.remaining < -DEADLINE_MARGIN:
        return Evidence.PAST_DEADLINE
    replaced = incarnation < ownership.incarnations.get(instance, 0)
    if replaced and not item.attached:
        return Evidence.REPLACED
    if item.owner == ownership.local_owner:
        return _check_record(item, ownership.recorded)
    if ownership.is_forgotten(instance) and item.attached is False:
        return Evidence.FORGOTTEN
    return None


def _check_record(item: HeldItem, recorded: HoldingTable) -> Evidence | None:
    known = recorded.get(item.item_id) is not None
    return None if known or item.kind != STREAM else Evidence.UNRECORDED
