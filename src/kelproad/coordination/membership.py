"""Membership: who else is there, what they see and what they have in force.

Once a period an instance sends its own record, and the newest records it has
heard, to a few peers of its zone and one of every other zone.  The platform's
lagging list only says whom to try.
"""

import random

import attrs
from mode import Service
from returns.result import Failure

from ..protocol.messages import (
    Changes,
    ChangesWanted,
    Gossip,
    PeerMessage,
    decode_message,
    encode_message,
)
from ..protocol.platform import PlatformClient
from ..protocol.settings import Settings
from ..state.configuration import SnapshotHolder
from ..state.counters import Counters
from ..state.endpoints import EndpointTable
from ..state.identity import Identity
from ..state.lengths import LengthClass
from ..state.members import EndpointReport, Member, MemberTable
from ..transport.addresses import Address
from ..transport.deadlines import monotonic
from ..transport.peers import PeerLink, PeerListener
from ..transport.services import BackgroundService
from .configuration import ConfigurationFollower, list_changes
from .leaving import list_own_words, mark_leaving
from .limits import WorkspaceLimits
from .watch import list_watched

__all__ = ['Membership']

_PERIOD = 0.5
_LISTING_PERIOD = 1.0
_STORE_TIMEOUT = 2.0
_ZONE_FANOUT = 3


class Membership(BackgroundService):
    """Exchanges records with the other instances."""

    abstract = False

    def __init__(
        self,
        settings: Settings,
        identity: Identity,
        members: MemberTable,
        table: EndpointTable,
        holder: SnapshotHolder,
        follower: ConfigurationFollower,
        platform: PlatformClient,
        counters: Counters,
        generator: random.Random,
    ) -> None:
        """Exchange records by the instance's settings."""
        super().__init__()
        self._settings = settings
        self._key = settings.peer_key.encode()
        self._identity = identity
        self._members = members
        self._table = table
        self._holder = holder
        self._follower = follower
        self._platform = platform
        self._counters = counters
        self._generator = generator
        self._version = 0
        self._zones: dict[str, str] = {}
        self._links: dict[str, PeerLink] = {}
        self.draining = False
        self.limits = WorkspaceLimits(members, table, counters)
        follower.ask_peer = self.send
        self._listener = self.add_dependency(
            PeerListener(
                Address.from_text(settings.peer_address),
                self.receive,
            ),
        )

    async def on_stop(self) -> None:
        """Close the links to all peers."""
        for link in self._links.values():
            link.close()

    def send(self, address: str, message: PeerMessage) -> None:
        """Send a message to the instance at a peer address."""
        encoded = encode_message(message, self._key)
        if address not in self._links:
            self._links[address] = PeerLink(
                Address.from_text(address),
                Address.from_text(self._settings.peer_address),
            )
        self._links[address].send(encoded)
        self._counters.peer_messages.inc({'direction': 'sent'})
        self._counters.peer_bytes.add({'direction': 'sent'}, len(encoded))

    async def receive(self, received: bytes) -> None:
        """Take a message from any peer."""
        self._counters.peer_bytes.add({'direction': 'received'}, len(received))
        decoded = decode_message(received, self._key)
        if isinstance(decoded, Failure):
            self._counters.peer_messages.inc({'direction': 'rejected'})
            return
        self._counters.peer_messages.inc({'direction': 'received'})
        match decoded.unwrap():
            case Gossip(members=members):
                self._merge(members)
            case ChangesWanted() as wanted:
                self._answer_wanted(wanted)
            case Changes() as changes:
                await self._follower.take_changes(changes)

    def announce(self) -> None:
        """Send the current records to this period's peers."""
        gossip = Gossip([self._describe_self(), *self._list_others()])
        for address in self._choose_targets():
            self.send(address, gossip)

    @Service.task
    async def _announce_periodically(self) -> None:
        while not self.should_stop:
            self.announce()
            await self.sleep(_PERIOD)

    @Service.task
    async def _follow_listing(self) -> None:
        while not self.should_stop:
            await self._read_listing()
            await self.sleep(_LISTING_PERIOD)

    async def _read_listing(self) -> None:
        listed = await self._platform.list_instances(_STORE_TIMEOUT)
        if isinstance(listed, Failure):
            return
        listing = listed.unwrap()
        self._zones = {
            instance.peer_address: instance.zone
            for instance in listing.instances
        }
        self._members.note_listing(
            frozenset(instance.name for instance in listing.instances),
            frozenset(listing.leaving_endpoints),
            monotonic(),
        )
        mark_leaving(self._table, self._members, monotonic())

    def _describe_self(self) -> Member:
        self._version += 1
        now = monotonic()
        return Member(
            name=self._identity.instance,
            zone=self._identity.zone,
            peer_address=self._settings.reachable_peer_address,
            incarnation=self._identity.incarnation,
            version=self._version,
            revision=self._holder.current.revision,
            draining=self.draining,
            configuration_age=self._follower.finite_age,
            configuration_fault=self._follower.fault,
            pending_files=list(self._holder.current.pending),
            withheld=sorted(self._table.withheld_here),
            dispatched={
                name: endpoint.own_tokens
                for name, endpoint in self._table.all().items()
                if endpoint.own_tokens
            },
            reports=[
                attrs.evolve(
                    endpoint.report,
                    age=now - endpoint.reported_at,
                )
                for endpoint in list_watched(
                    self._identity,
                    self._table,
                    self._members,
                    now,
                )
                if endpoint.report is not None
            ],
            demand=self.limits.describe_demand(),
            dispatched_by_class={
                name: endpoint.own_by_class.copy()
                for name, endpoint in self._table.all().items()
                if endpoint.own_tokens
            },
            leaving=list_own_words(self._members, now),
        )

    def _list_others(self) -> list[Member]:
        return self._members.live(monotonic())

    def _choose_targets(self) -> list[str]:
        """Choose a few peers of the zone and one of every other zone."""
        by_zone: dict[str, list[str]] = {}
        for address, zone in self._list_addresses().items():
            if address != self._settings.reachable_peer_address:
                by_zone.setdefault(zone, []).append(address)
        chosen = []
        for zone, addresses in by_zone.items():
            wanted = _ZONE_FANOUT if zone == self._identity.zone else 1
            size = min(wanted, len(addresses))
            chosen += self._generator.sample(addresses, size)
        return chosen

    def _list_addresses(self) -> dict[str, str]:
        heard = {
            member.peer_address: member.zone
            for member in self._members.live(monotonic())
        }
        # Seeds have no known zone; they matter only while nothing is heard.
        seeds = {} if heard else dict.fromkeys(self._settings.seeds, '')
        return {**seeds, **self._zones, **heard}

    def _merge(self, members: list[Member]) -> None:
        now = monotonic()
        for member in members:
            if member.name == self._identity.instance:
                continue
            if self._members.merge(member, now):
                self._take_reports(member.reports, now)
                self._follower.hear_member(member)
        self._sum_dispatched()
        mark_leaving(self._table, self._members, now)

    def _take_reports(self, reports: list[EndpointReport], now: float) -> None:
        for report in reports:
            endpoint = self._table.get(report.endpoint)
            if endpoint is not None:
                endpoint.accept_report(report, now - report.age)

    def _sum_dispatched(self) -> None:
        live = self._members.live(monotonic())
        self._table.instances = len(live) + 1
        for name, endpoint in self._table.all().items():
            endpoint.peer_tokens = sum(
                member.dispatched.get(name, 0) for member in live
            )
            by_class = [
                member.dispatched_by_class[name]
                for member in live
                if name in member.dispatched_by_class
            ]
            endpoint.peer_by_class = [
                sum(counts[rank] for counts in by_class) for rank in LengthClass
            ]

    def _answer_wanted(self, wanted: ChangesWanted) -> None:
        changes = list_changes(
            self._holder.current,
            self._settings,
            wanted.after,
        )
        if changes is not None:
            self.send(wanted.reply_to, changes)
