"""Simulation of membership with a virtual clock and a lossy network.

Membership itself is the real code: records, messages and decisions.  The test
advances the clock, and the network may lose, duplicate or delay any message.
All random choices come from one seed, so that a run of a minute takes seconds
and is reproducible.
"""

import heapq
import itertools
import random
from typing import Self

import attrs
from returns.result import Result, Success

from kelproad.coordination.configuration import ConfigurationFollower
from kelproad.coordination.gossip import PERIOD
from kelproad.coordination.membership import Membership
from kelproad.protocol.messages import PeerMessage, encode_message
from kelproad.protocol.platform import PlatformClient
from kelproad.protocol.settings import Settings
from kelproad.protocol.store import Listing
from kelproad.state.configuration import SnapshotHolder
from kelproad.state.counters import Counters
from kelproad.state.endpointtable import EndpointTable
from kelproad.state.identity import Identity
from kelproad.state.members import MemberTable

__all__ = ['Conditions', 'MemberSite', 'SimulatedMember']

_KEY = 'a-shared-key-of-the-simulation'
_FIRST_INCARNATION = 1_000_000


@attrs.frozen
class Conditions:
    """Faults that the network applies to messages.

    Attributes
    ----------
    loss, doubling
        Share of messages lost, and share that arrives twice.
    delay, jitter
        Minimum latency, and the maximum random addition to it, in seconds.
        Jitter reorders messages.
    """

    loss: float = 0
    duplication: float = 0
    delay: float = 0.002
    jitter: float = 0.001


class _SilentPlatform(PlatformClient):
    """Platform client whose list of instances is empty."""

    def __init__(self) -> None:
        """Create the client without any connection."""

    async def list_instances(self, timeout: float) -> Result[Listing, object]:
        """Return an empty list without a call."""
        return Success(Listing([]))


class _OfflineMembership(Membership):
    """Membership that sends over the simulated network."""

    site: 'MemberSite'
    address: str

    def send(self, address: str, message: PeerMessage) -> int:
        """Encode and transmit a message; return its length in bytes."""
        encoded = encode_message(message, self._key)
        self.site.transmit(self.address, address, encoded)
        return len(encoded)


@attrs.define(eq=False)
class SimulatedMember:
    """One simulated instance: its membership and its faults.

    Attributes
    ----------
    muted
        All messages that it sends are lost.
    silent
        It sends no announcements, only replies.
    inbox
        Messages that arrived while it was frozen.
    """

    name: str
    zone: str
    address: str
    members: MemberTable
    membership: _OfflineMembership
    running: bool = True
    muted: bool = False
    silent: bool = False
    sent_bytes: int = 0
    sent_messages: int = 0
    inbox: list[bytes] = attrs.field(factory=list)


@attrs.define
class MemberSite:
    """Simulated members in zones, their clock and their network."""

    generator: random.Random
    conditions: Conditions
    now: float = 0
    members: dict[str, SimulatedMember] = attrs.field(factory=dict)
    cut_zones: set[str] = attrs.field(factory=set)
    _events: list[tuple[float, int, str, bytes | None]] = attrs.field(
        factory=list,
    )
    _order: itertools.count = attrs.field(factory=itertools.count)

    @classmethod
    def from_seed(
        cls,
        seed: int,
        size: int,
        zones: int = 3,
        conditions: Conditions | None = None,
    ) -> Self:
        """Start ``size`` members, spread evenly over the zones."""
        site = cls(random.Random(seed), conditions or Conditions())
        for number in range(size):
            zone = f'zone-{number % zones}'
            site.start(f'{zone}-{number}', zone, f'127.0.0.1:{number + 1}')
        return site

    def start(
        self,
        name: str,
        zone: str,
        address: str,
        incarnation: int = _FIRST_INCARNATION,
    ) -> SimulatedMember:
        """Start a member, or a new incarnation of one."""
        table = MemberTable(zone)
        membership = self._create(name, zone, address, incarnation, table)
        membership.site = self
        membership.address = address
        member = SimulatedMember(name, zone, address, table, membership)
        self.members[address] = member
        first_announcement = self.now + self.generator.random() * PERIOD
        self._add(first_announcement, address, None)
        return member

    async def run(self, seconds: float) -> None:
        """Advance the clock and process the events due."""
        until = self.now + seconds
        while self._events and self._events[0][0] <= until:
            at, _, address, message = heapq.heappop(self._events)
            self.now = at
            await self._process(self.members[address], message)
        self.now = until

    def transmit(self, origin: str, address: str, message: bytes) -> None:
        """Schedule the delivery of a message, unless it is lost."""
        sender = self.members[origin]
        sender.sent_bytes += len(message)
        sender.sent_messages += 1
        receiver = self.members.get(address)
        if receiver is None or sender.muted or self._is_cut(sender, receiver):
            return
        conditions = self.conditions
        copies = 1 + (self.generator.random() < conditions.duplication)
        for _ in range(copies):
            if self.generator.random() < conditions.loss:
                continue
            late = conditions.delay
            late += self.generator.random() * conditions.jitter
            self._add(self.now + late, address, message)

    async def resume(self, member: SimulatedMember) -> None:
        """Resume a frozen member; it receives its inbox at once."""
        member.running = True
        self._add(self.now, member.address, None)
        pending = member.inbox
        member.inbox = []
        for message in pending:
            await member.membership.receive(message)

    def see(self, member: SimulatedMember) -> set[str]:
        """Return the names of the others that a member considers live."""
        return {other.name for other in member.members.live(self.now)}

    def running(self) -> list[SimulatedMember]:
        """List the members that are not frozen or killed."""
        return [item for item in self.members.values() if item.running]

    def running_names(self) -> set[str]:
        """Return the names of the running members."""
        return {member.name for member in self.running()}

    def count_suspected(self, member: SimulatedMember) -> int:
        """Count the running members that suspect ``member``."""
        return sum(
            member.name
            in {item.name for item in other.members.suspected(self.now)}
            for other in self.running()
        )

    def count_missing(self) -> int:
        """Count pairs of running members, the first lacking the second."""
        names = self.running_names()
        return sum(
            len(names - {member.name} - self.see(member))
            for member in self.running()
        )

    def count_stale(self) -> int:
        """Count pairs of a running member and a dead one it has as live."""
        names = self.running_names()
        return sum(len(self.see(member) - names) for member in self.running())

    async def _process(
        self,
        member: SimulatedMember,
        message: bytes | None,
    ) -> None:
        if message is not None:
            if member.running:
                await member.membership.receive(message)
            else:
                member.inbox.append(message)
        elif member.running:
            if not member.silent:
                member.membership.announce()
            self._add(self.now + PERIOD, member.address, None)

    def _add(self, at: float, address: str, message: bytes | None) -> None:
        event = (at, next(self._order), address, message)
        heapq.heappush(self._events, event)

    def _is_cut(self, one: SimulatedMember, other: SimulatedMember) -> bool:
        zones = {one.zone, other.zone}
        return len(zones) > 1 and bool(zones & self.cut_zones)

    def _create(
        self,
        name: str,
        zone: str,
        address: str,
        incarnation: int,
        table: MemberTable,
    ) -> _OfflineMembership:
        settings = Settings(
            instance=name,
            zone=zone,
            caller_address=address,
            operator_address=address,
            peer_address=address,
            platform_address=address,
            peer_key=_KEY,
            operator_digests={},
            seeds=[f'127.0.0.1:{number}' for number in (1, 2, 3)],
        )
        endpoints = EndpointTable()
        holder = SnapshotHolder()
        counters = Counters()
        platform = _SilentPlatform()
        return _OfflineMembership(
            settings,
            Identity(name, zone, incarnation),
            table,
            endpoints,
            holder,
            ConfigurationFollower(
                settings,
                holder,
                endpoints,
                table,
                platform,
                counters,
            ),
            platform,
            counters,
            random.Random(self.generator.random()),
            clock=lambda: self.now,
        )
