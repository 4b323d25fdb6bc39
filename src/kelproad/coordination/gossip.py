"""Selection of gossip peers and records, with bounded fan-out and bytes.

The instances of a zone form a ring, ordered by the hashes of their names, and
send over strides of 1, 2, 4 and so on.  A message over a stride of N carries
the records of the N nearest predecessors, so that after one turn of all
strides every record has reached every instance exactly once.  Other records
are sent at a lower rate, to make up for lost messages and instances.  Between
zones and regions only a few pairs exchange records, chosen by rendezvous hash.
"""

import functools
import hashlib
import random
from collections.abc import Iterable

import attrs

from ..state.members import Member, MemberTable
from ..state.placement import choose_owners

__all__ = ['PERIOD', 'Location', 'Gossiper']

#: Seconds between two rounds of messages.
PERIOD = 0.5
#: Strides used in one round.
_FANOUT = 2
#: Instances of a zone that send to each other zone, and of a region to each
#: other region.
_BRIDGES = 2
#: Bytes per second that an instance sends to peers; it receives as many.
BYTES_PER_SECOND = 5_500.0
#: Seconds of unused allowance that may be sent at once.
_BURST_SECONDS = 1.0
#: Approximate bytes of the parts of a record in a compressed message.
_HEARTBEAT_BYTES = 48
_REPORT_BYTES = 24
_DISPATCHED_BYTES = 14
_DEMAND_BYTES = 32
#: Cached choices and hashes; they change only as members come and go.
_CACHED_CHOICES = 1024

#: Of records that a stride doesn't carry, one version in this many is sent.
_REDUNDANT_INTERVAL = 3
#: One round in this many sends to other zones.
_BRIDGE_INTERVAL = 2
#: One round in this many packs the loads of other zones first.
_REMOTE_FIRST_INTERVAL = 4
#: Share of a message that heartbeats may take; loads get the rest.
_HEARTBEAT_SHARE = 0.5

#: Epoch, incarnation and version of a record.
_Order = tuple[int, int, int]
#: Sorts before the position of any record.
_NEVER: _Order = (-1, -1, -1)


@attrs.frozen
class Location:
    """Where an instance runs and receives messages."""

    name: str
    zone: str
    region: str
    address: str


@attrs.define
class _HeldVersions:
    """The newest versions of one member's record that a peer holds."""

    order: _Order = _NEVER
    load_order: _Order = _NEVER


class Gossiper:
    """Chooses the peers of each round and the records to send to them."""

    def __init__(
        self,
        location: Location,
        members: MemberTable,
        generator: random.Random,
    ) -> None:
        """Send a table's records; ``generator`` makes the random choices."""
        self._location = location
        self._members = members
        self._generator = generator
        self._round = 0
        self._ring_distances: dict[str, int] = {}
        self._strides: dict[str, int] = {}
        self._held_by_peer: dict[str, dict[str, _HeldVersions]] = {}
        self._allowance = BYTES_PER_SECOND * _BURST_SECONDS
        self._refilled_at: float | None = None

    def needs_version(self, now: float) -> bool:
        """Return whether this round needs a new version of the local record.

        There is one version per turn of all strides: a newer one would replace
        it on the way and cost bytes without arriving sooner.
        """
        strides = len(_list_strides(len(self._list_ring(now))))
        rounds = max(1, strides // _FANOUT)
        return self._round % rounds == 0

    def choose_targets(self, now: float, listed: dict[str, str]) -> list[str]:
        """Advance to the next round and choose its peer addresses.

        Parameters
        ----------
        now
            Monotonic time, in seconds.
        listed
            Zones by peer address from the platform's list and the settings.
        """
        self._round += 1
        chosen = [
            *self._choose_in_zone(now),
            *self._choose_bridges(now),
            *self._choose_probes(now, listed),
        ]
        return list(dict.fromkeys(chosen))

    def pack(
        self,
        address: str,
        local_record: Member,
        now: float,
        budget: float,
    ) -> list[Member]:
        """Pack the records that a peer lacks, the local one first.

        Heartbeats come before loads and the local zone before others, so that
        a small ``budget`` of bytes delays loads but never liveness.
        """
        held = self._held_by_peer.setdefault(address, {})
        # The local record is always complete: it is this instance's heartbeat.
        packed = {local_record.name: local_record}
        budget -= _estimate_load_bytes(local_record) + _HEARTBEAT_BYTES
        most = int(budget * _HEARTBEAT_SHARE / _HEARTBEAT_BYTES)
        for member in self._list_heartbeats(address, held, now)[: max(0, most)]:
            heartbeat = self._members.age_record(member, now)
            packed[member.name] = heartbeat.without_load()
            budget -= _HEARTBEAT_BYTES
        for member in self._list_loads(address, held, now):
            cost = _estimate_load_bytes(member)
            if member.name not in packed:
                cost += _HEARTBEAT_BYTES
            if cost <= budget:
                packed[member.name] = self._age_load(member, now)
                budget -= cost
        self._record_held(address, packed.values())
        return self._add_suspicion(address, list(packed.values()), now)

    def record_received(self, members: list[Member]) -> None:
        """Record that a sender holds the records that it sent."""
        if members:
            self._record_held(members[0].peer_address, members)

    def refill(self, now: float) -> float:
        """Refill the allowance and return the bytes that may be sent now."""
        if self._refilled_at is not None:
            gained = (now - self._refilled_at) * BYTES_PER_SECOND
            most = BYTES_PER_SECOND * _BURST_SECONDS
            self._allowance = min(most, self._allowance + gained)
        self._refilled_at = now
        return self._allowance

    def spend(self, sent_bytes: int) -> None:
        """Deduct sent bytes from the allowance, which may become negative."""
        self._allowance -= sent_bytes

    def retain_peers(self, addresses: Iterable[str]) -> None:
        """Forget which records the peers at all other addresses hold."""
        kept = set(addresses)
        self._held_by_peer = {
            address: held
            for address, held in self._held_by_peer.items()
            if address in kept
        }

    # Peers

    def _list_ring(self, now: float) -> list[tuple[str, str]]:
        """List the zone's live instances, as (name, address) in ring order."""
        location = self._location
        names = {
            member.name: member.peer_address
            for member in self._members.live(now)
            if member.zone == location.zone
        }
        names[location.name] = location.address
        return sorted(names.items(), key=_hash_name)

    def _choose_in_zone(self, now: float) -> list[str]:
        ring = self._list_ring(now)
        strides = _list_strides(len(ring))
        if not strides:
            return []
        at = [name for name, _ in ring].index(self._location.name)
        self._ring_distances = {
            name: (at - position) % len(ring)
            for position, (name, _) in enumerate(ring)
        }
        self._strides = {
            ring[(at + stride) % len(ring)][1]: stride for stride in strides
        }
        first = self._round * _FANOUT
        due = {
            strides[(first + step) % len(strides)] for step in range(_FANOUT)
        }
        return [ring[(at + stride) % len(ring)][1] for stride in due]

    def _choose_bridges(self, now: float) -> list[str]:
        """Choose a peer in each zone and region this instance bridges to."""
        if self._round % _BRIDGE_INTERVAL:
            return []
        location = self._location
        live = self._members.live(now)
        by_side: dict[str, list[Member]] = {}
        for member in live:
            is_other_region = member.region != location.region
            side = f'region {member.region}' if is_other_region else member.zone
            if side != location.zone:
                by_side.setdefault(side, []).append(member)
        local_zone = frozenset((location.name,)) | {
            member.name for member in live if member.zone == location.zone
        }
        local_region = frozenset((location.name,)) | {
            member.name for member in live if member.region == location.region
        }
        chosen = []
        for side, remote in by_side.items():
            here = local_region if side.startswith('region ') else local_zone
            if location.name in _rank_bridges(side, here):
                chosen.append(self._choose_remote_peer(location.name, remote))
        return chosen

    def _choose_remote_peer(self, name: str, remote: list[Member]) -> str:
        addresses = {member.name: member.peer_address for member in remote}
        owners = _rank_bridges(name, frozenset(addresses))
        return addresses[self._generator.choice(owners)]

    def _choose_probes(self, now: float, listed: dict[str, str]) -> list[str]:
        """Choose one address without a live member, and a suspected member.

        This is how a new instance finds the others, how a suspected one
        learns that it is suspected, and how zones reconnect after a partition.
        """
        suspected = [
            member.peer_address for member in self._members.suspected(now)
        ]
        live = {member.peer_address for member in self._members.live(now)}
        lost = {
            member.peer_address
            for member in self._members.known()
            if not member.left
        }
        silent = sorted((set(listed) | lost) - live - {self._location.address})
        probes = [self._generator.choice(silent)] if silent else []
        if suspected:
            probes.append(self._generator.choice(suspected))
        return probes

    # Records

    def _list_heartbeats(
        self,
        address: str,
        held: dict[str, _HeldVersions],
        now: float,
    ) -> list[Member]:
        """List members whose heartbeat the peer lacks.

        Departed members and those of the local zone come first.
        """
        preferred: list[Member] = []
        others: list[Member] = []
        present = self._members.departed(now) + self._members.live(now)
        for member in present:
            known = held.get(member.name, _HeldVersions()).order
            if not self._is_due(address, member, member.order, known):
                continue
            is_local = member.zone == self._location.zone
            group = preferred if is_local or member.left else others
            group.append(member)
        self._generator.shuffle(preferred)
        self._generator.shuffle(others)
        return preferred + others

    def _list_loads(
        self,
        address: str,
        held: dict[str, _HeldVersions],
        now: float,
    ) -> list[Member]:
        """List members whose load the peer lacks, most overdue first.

        Most rounds put the local zone first and some put the others first, so
        that neither starves when there is no room for both.
        """
        is_remote_first = self._round % _REMOTE_FIRST_INTERVAL == 0
        overdue: list[tuple[bool, int, Member]] = []
        for member in self._members.live(now):
            known = held.get(member.name, _HeldVersions()).load_order
            order = member.load_order
            if member.has_load and self._is_due(
                address,
                member,
                order,
                known,
            ):
                is_remote = member.zone != self._location.zone
                # A peer lacks every version of an incarnation new to it.
                since = known[-1] if order[:2] == known[:2] else 0
                lag = order[-1] - since
                overdue.append((is_remote != is_remote_first, -lag, member))
        self._generator.shuffle(overdue)
        overdue.sort(key=lambda entry: entry[:2])
        return [member for _, _, member in overdue]

    def _is_due(
        self,
        address: str,
        member: Member,
        order: _Order,
        known: _Order,
    ) -> bool:
        """Return whether the peer's version is outdated enough to send."""
        if order <= known or member.peer_address == address:
            return False
        if order[:2] != known[:2] or member.left:
            return True
        return order[-1] - known[-1] >= self._choose_interval(address, member)

    def _choose_interval(self, address: str, member: Member) -> int:
        """Return how many versions a peer may lag before it gets one."""
        if member.zone != self._location.zone:
            return self._members.cross_zone_interval
        stride = self._strides.get(address, 0)
        behind = self._ring_distances.get(member.name, stride)
        return 1 if behind < stride else _REDUNDANT_INTERVAL

    def _age_load(self, member: Member, now: float) -> Member:
        waited = now - self._members.load_received_at(member.name)
        aged = self._members.age_record(member, now)
        return attrs.evolve(aged, held=round(member.held + waited, 2))

    def _add_suspicion(
        self,
        address: str,
        packed: list[Member],
        now: float,
    ) -> list[Member]:
        """Append a suspected receiver's record, so that it can refute it."""
        return packed + [
            member.without_load()
            for member in self._members.suspected(now)
            if member.peer_address == address
        ]

    def _record_held(self, address: str, members: Iterable[Member]) -> None:
        held = self._held_by_peer.setdefault(address, {})
        for member in members:
            known = held.setdefault(member.name, _HeldVersions())
            known.order = max(known.order, member.order)
            if member.has_load:
                known.load_order = max(known.load_order, member.load_order)


@functools.lru_cache(maxsize=_CACHED_CHOICES)
def _rank_bridges(side: str, names: frozenset[str]) -> list[str]:
    return choose_owners(side, names, _BRIDGES)


@functools.lru_cache(maxsize=_CACHED_CHOICES)
def _hash_name(item: tuple[str, str]) -> bytes:
    return hashlib.blake2b(item[0].encode(), digest_size=8).digest()


def _list_strides(size: int) -> list[int]:
    return [1 << power for power in range((size - 1).bit_length())]


def _estimate_load_bytes(member: Member) -> int:
    return (
        len(member.reports) * _REPORT_BYTES
        + len(member.dispatched) * _DISPATCHED_BYTES
        + len(member.dispatched_by_class) * _DISPATCHED_BYTES
        + len(member.demand) * _DEMAND_BYTES
    )
