"""Memberships on a simulated clock and a lossy network, all from one seed.

Only membership is real here: its records, messages and decisions.  Time
passes as the test says, and every message may be lost, doubled or late, so
that a run of a minute takes seconds and repeats exactly.
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
from kelproad.state.endpoints import EndpointTable
from kelproad.state.identity import Identity
from kelproad.state.members import MemberTable

__all__ = ['Conditions', 'MemberSite', 'SimulatedMember']

_KEY = 'a-shared-key-of-the-simulation'
_FIRST_INCARNATION = 1_000_000


@attrs.frozen
class Conditions:
    """What the network does to messages.

    Attributes
    ----------
    loss, doubling
        Share of messages lost, and of those that arrive twice.
    delay, jitter
        Least seconds on the way, and the most that come on top.  Jitter
        reorders messages.
    """

    loss: float = 0
    doubling: float = 0
    delay: float = 0.002
    jitter: float = 0.001


class _SilentPlatform(PlatformClient):
    """A platform whose list of instances is empty."""

    def __init__(self) -> None:
        """Hold nothing."""

    async def list_instances(self, timeout: float) -> Result[Listing, object]:
        """Return the empty list."""
        return Success(Listing([]))


class _OfflineMembership(Membership):
    """Membership whose messages go into the simulated network."""

    site: 'MemberSite'
    address: str

    def send(self, address: str, message: PeerMessage) -> int:
        """Hand an encoded message to the network."""
        encoded = encode_message(message, self._key)
        self.site.carry(self.address, address, encoded)
        return len(encoded)


@attrs.define(eq=False)
class SimulatedMember:
    """One instance: its membership and what the test does to it.

    Attributes
    ----------
    muted
        Everything it sends is lost.
    silent
        It sends nothing by itself, only answers.
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
    """Members in zones, a clock, and the network between them."""

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
        """Start a number of members, spread over zones."""
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
        """Start a member, or another life of one."""
        table = MemberTable(zone)
        membership = self._create(name, zone, address, incarnation, table)
        membership.site = self
        membership.address = address
        member = SimulatedMember(name, zone, address, table, membership)
        self.members[address] = member
        first = self.now + self.generator.random() * PERIOD
        self._add(first, address, None)
        return member

    async def run(self, seconds: float) -> None:
        """Let time pass."""
        until = self.now + seconds
        while self._events and self._events[0][0] <= until:
            at, _, address, message = heapq.heappop(self._events)
            self.now = at
            await self._happen(self.members[address], message)
        self.now = until

    def carry(self, origin: str, address: str, message: bytes) -> None:
        """Take a message on its way, if it is not lost."""
        sender = self.members[origin]
        sender.sent_bytes += len(message)
        sender.sent_messages += 1
        receiver = self.members.get(address)
        if receiver is None or sender.muted or self._is_cut(sender, receiver):
            return
        conditions = self.conditions
        copies = 1 + (self.generator.random() < conditions.doubling)
        for _ in range(copies):
            if self.generator.random() < conditions.loss:
                continue
            late = conditions.delay
            late += self.generator.random() * conditions.jitter
            self._add(self.now + late, address, message)

    async def wake(self, member: SimulatedMember) -> None:
        """Let a frozen member run on; what waited for it arrives at once."""
        member.running = True
        self._add(self.now, member.address, None)
        waiting = member.inbox
        member.inbox = []
        for message in waiting:
            await member.membership.receive(message)

    def see(self, member: SimulatedMember) -> set[str]:
        """Name the others that a member counts as live."""
        return {other.name for other in member.members.live(self.now)}

    def running(self) -> list[SimulatedMember]:
        """List the members that run."""
        return [item for item in self.members.values() if item.running]

    def running_names(self) -> set[str]:
        """Name the members that run."""
        return {member.name for member in self.running()}

    def count_suspected(self, member: SimulatedMember) -> int:
        """Count the running members that suspect one."""
        return sum(
            member.name
            in {item.name for item in other.members.suspected(self.now)}
            for other in self.running()
        )

    def count_missing(self) -> int:
        """Count pairs of running members of which one misses the other."""
        names = self.running_names()
        return sum(
            len(names - {member.name} - self.see(member))
            for member in self.running()
        )

    def count_ghosts(self) -> int:
        """Count pairs of a running member and a dead one it counts as live."""
        names = self.running_names()
        return sum(len(self.see(member) - names) for member in self.running())

    async def _happen(
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
        crossing = {one.zone, other.zone}
        return len(crossing) > 1 and bool(crossing & self.cut_zones)

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
