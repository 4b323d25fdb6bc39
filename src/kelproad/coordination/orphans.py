"""Finding what engines hold for owners that will never release it.

An instance that ends without warning leaves its streams, exports and pins in
the engines' memory.  The watchers of an engine list what it holds and release
what has no owner any more.  Cutting a live stream is worse than holding
memory a little longer, so doubt always ends with waiting for the deadline.
"""

import asyncio
import enum

import attrs
from mode import Service

from ..protocol.engines import EngineClient
from ..state.configuration import SnapshotHolder
from ..state.counters import Counters
from ..state.endpoints import Endpoint, EndpointTable
from ..state.holdings import STREAM, HeldItem, HoldingTable
from ..state.identity import Identity
from ..state.members import MemberTable
from ..transport.addresses import Address
from ..transport.deadlines import monotonic
from ..transport.services import BackgroundService
from .watch import list_watched

__all__ = ['Evidence', 'OrphanWatch', 'Ownership', 'judge_held']

#: Seconds between two looks at an engine's memory.
_PERIOD = 3.0
_TIMEOUT = 1.0
#: Seconds past the deadline for which the owner's own cancel is given time.
DEADLINE_MARGIN = 5.0
#: Seconds after which the platform's list proves nothing any more.
_LISTING_VALID = 10.0


class Evidence(enum.StrEnum):
    """Why something held has no owner any more."""

    PAST_DEADLINE = 'past deadline'
    REPLACED = 'owner replaced'
    UNRECORDED = 'not recorded by its owner'
    FORGOTTEN = 'owner forgotten'


@attrs.frozen
class Ownership:
    """What is known of owners at one moment.

    Attributes
    ----------
    incarnations
        Highest incarnation heard of, by instance.
    silent
        Seconds since an instance was last heard of; for one never heard of,
        since the watch began.
    watched_for
        Seconds since the watch began.
    listed
        Instances on the platform's list; ``None`` if no recent one is held.
    zones_heard
        Whether every availability zone has an instance that is heard now.
    forgotten_after
        Seconds of silence after which an unlisted instance counts as gone.
    """

    own: str
    recorded: HoldingTable
    incarnations: dict[str, int]
    silent: dict[str, float]
    watched_for: float
    listed: frozenset[str] | None
    zones_heard: bool
    forgotten_after: float

    def is_forgotten(self, instance: str) -> bool:
        """Tell whether nobody knows of an instance any more.

        The platform takes an instance off its list also when only its zone
        is cut off.  Then no instance of that zone is heard of here, so that
        silence proves something only while every zone is heard.
        """
        if self.listed is None or not self.zones_heard:
            return False
        silent = self.silent.get(instance, self.watched_for)
        return instance not in self.listed and silent > self.forgotten_after


class OrphanWatch(BackgroundService):
    """Releases what the engines that this instance watches hold in vain."""

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
        """Watch engines of a table, sharing them with the members."""
        super().__init__()
        self._identity = identity
        self._holder = holder
        self._table = table
        self._members = members
        self._engines = engines
        self._recorded = recorded
        self._counters = counters
        self._forgotten_after = forgotten_after
        self._began = monotonic()

    @Service.task
    async def _look_periodically(self) -> None:
        while not self.should_stop:
            await self.sleep(_PERIOD)
            watched = list_watched(
                self._identity,
                self._table,
                self._members,
                monotonic(),
            )
            await asyncio.gather(*map(self._look, watched))

    async def _look(self, endpoint: Endpoint) -> None:
        url = Address.from_text(endpoint.declaration.address).url
        held = await self._engines.list_held(url, _TIMEOUT)
        ownership = self._gather_ownership()
        for item in held or []:
            evidence = judge_held(item, ownership)
            if evidence is None:
                continue
            if not await self._release(url, item, evidence):
                # The engine answers no more; the next look goes on.
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

    def _gather_ownership(self) -> Ownership:
        now = monotonic()
        members = self._members
        identity = self._identity
        heard_zones = {member.zone for member in members.live(now)}
        deployment = self._holder.current.deployment
        zones = set(deployment.zones) if deployment else {''}
        recent = now - members.listed_at <= _LISTING_VALID
        known = {member.name: member.incarnation for member in members.known()}
        return Ownership(
            own=identity.owner,
            recorded=self._recorded,
            incarnations={**known, identity.instance: identity.incarnation},
            silent={name: now - members.heard_at(name) for name in known},
            watched_for=now - self._began,
            listed=members.listed if recent else None,
            zones_heard=zones <= heard_zones | {identity.zone},
            forgotten_after=self._forgotten_after,
        )


def judge_held(item: HeldItem, ownership: Ownership) -> Evidence | None:
    """Say why something held has no owner any more, or ``None``.

    Past its deadline nobody waits for it: the owner has told its caller so.
    A higher incarnation of the owner means that the life which held it is
    over, unless a connection still reads it: then the old process is being
    replaced and finishes what it has.  What this very process does not have on
    record, it has given up, since the record is made before the dispatch.  An
    owner that neither platform nor peers know of is gone if the engine says
    that no connection reads the stream; else it may only be cut off.
    """
    instance, _, text = item.owner.rpartition(':')
    if not instance or not text.isdecimal():
        # Somebody else uses the engine as well; that is not ours to release.
        return None
    if item.remaining < -DEADLINE_MARGIN:
        return Evidence.PAST_DEADLINE
    replaced = int(text) < ownership.incarnations.get(instance, 0)
    if replaced and not item.attached:
        return Evidence.REPLACED
    if item.owner == ownership.own:
        return _judge_own(item, ownership.recorded)
    if ownership.is_forgotten(instance) and item.attached is False:
        return Evidence.FORGOTTEN
    return None


def _judge_own(item: HeldItem, recorded: HoldingTable) -> Evidence | None:
    known = recorded.get(item.item_id) is not None
    return None if known or item.kind != STREAM else Evidence.UNRECORDED
