"""Which records go to which peer: bounded fan-out and bounded bytes.

Inside a zone the instances stand on a ring in the order of their names' hashes
and send over strides of 1, 2, 4 and so on.  Over a stride go the records of
the stride's length of predecessors, so that after all strides have had their
turn every record has reached everybody, and reached them once.  What goes
beyond that is sent seldom, and makes up for messages and instances lost.
Between zones and regions only a few pairs exchange records, chosen by
rendezvous hash.
"""

import functools
import hashlib
import random
from collections.abc import Iterable

import attrs

from ..state.members import Member, MemberTable
from ..state.placement import choose_owners

__all__ = ['PERIOD', 'Place', 'Gossiper']

#: Seconds between two rounds of messages.
PERIOD = 0.5
#: Strides used in one round.
_FANOUT = 2
#: Instances of a zone that send to another zone, and of a region to another.
_BRIDGES = 2
#: Bytes a second that an instance sends to peers; as much arrives.
BYTES_PER_SECOND = 5_500.0
_BURST_SECONDS = 1.0
#: Bytes that parts of a record take in a compressed message, about.
_HEARTBEAT_BYTES = 48
_REPORT_BYTES = 24
_DISPATCHED_BYTES = 14
_DEMAND_BYTES = 32
#: Choices and hashes remembered, which change only as members come and go.
_CHOICES_KEPT = 1024

#: Versions of which one is sent beyond a stride's own records.
_SPARE_INTERVAL = 3
#: Rounds of which one goes to other zones.
_BRIDGE_TURN = 2
#: Rounds of which one carries loads of other zones first.
_FAR_TURN = 4
#: Share of a message that heartbeats may take; loads take the rest.
_HEARTBEAT_SHARE = 0.5

_Order = tuple[int, int, int]
_NEVER: _Order = (-1, -1, -1)


@attrs.frozen
class Place:
    """Where an instance stands."""

    name: str
    zone: str
    region: str
    address: str


@attrs.define
class _Seen:
    """What a peer is known to hold of one member."""

    order: _Order = _NEVER
    load_order: _Order = _NEVER


class Gossiper:
    """Chooses the peers of a round, and the records for each."""

    def __init__(
        self,
        place: Place,
        members: MemberTable,
        generator: random.Random,
    ) -> None:
        """Spread the records of a table from a place."""
        self._place = place
        self._members = members
        self._generator = generator
        self._round = 0
        self._behind: dict[str, int] = {}
        self._strides: dict[str, int] = {}
        self._seen: dict[str, dict[str, _Seen]] = {}
        self._allowance = BYTES_PER_SECOND * _BURST_SECONDS
        self._refilled_at: float | None = None

    def needs_version(self, now: float) -> bool:
        """Tell whether this round brings a new version of the own record.

        One version for each turn of all strides: a newer one would displace
        it on the way and cost bytes without arriving sooner.
        """
        strides = len(_list_strides(len(self._ring(now))))
        rounds = max(1, strides // _FANOUT)
        return self._round % rounds == 0

    def choose_targets(self, now: float, listed: dict[str, str]) -> list[str]:
        """Choose the peer addresses of this round.

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
        own: Member,
        now: float,
        room: float,
    ) -> list[Member]:
        """Pack what a peer has not seen, the own record first.

        Heartbeats go before loads and the own zone before others, so that a
        message without room for all delays loads and never liveness.
        """
        seen = self._seen.setdefault(address, {})
        # The own record always goes whole: it is this instance's heartbeat.
        packed = {own.name: own}
        room -= _weigh_load(own) + _HEARTBEAT_BYTES
        most = int(room * _HEARTBEAT_SHARE / _HEARTBEAT_BYTES)
        for member in self._list_news(address, seen, now)[: max(0, most)]:
            heartbeat = self._members.age_record(member, now)
            packed[member.name] = heartbeat.without_load()
            room -= _HEARTBEAT_BYTES
        for member in self._list_loads(address, seen, now):
            cost = _weigh_load(member)
            if member.name not in packed:
                cost += _HEARTBEAT_BYTES
            if cost <= room:
                packed[member.name] = self._age_load(member, now)
                room -= cost
        self._note(address, packed.values())
        return self._accuse(address, list(packed.values()), now)

    def note_received(self, members: list[Member]) -> None:
        """Remember that a sender holds the records that it sent."""
        if members:
            self._note(members[0].peer_address, members)

    def refill(self, now: float) -> float:
        """Return the bytes that may be sent now."""
        if self._refilled_at is not None:
            gained = (now - self._refilled_at) * BYTES_PER_SECOND
            most = BYTES_PER_SECOND * _BURST_SECONDS
            self._allowance = min(most, self._allowance + gained)
        self._refilled_at = now
        return self._allowance

    def spend(self, sent_bytes: int) -> None:
        """Take sent bytes from the allowance, below zero if need be."""
        self._allowance -= sent_bytes

    def keep_peers(self, addresses: Iterable[str]) -> None:
        """Forget what peers held whose addresses are gone."""
        kept = set(addresses)
        self._seen = {
            address: seen
            for address, seen in self._seen.items()
            if address in kept
        }

    # Peers

    def _ring(self, now: float) -> list[tuple[str, str]]:
        """List name and address of the own zone's live instances in order."""
        place = self._place
        names = {
            member.name: member.peer_address
            for member in self._members.live(now)
            if member.zone == place.zone
        }
        names[place.name] = place.address
        return sorted(names.items(), key=_hash_name)

    def _choose_in_zone(self, now: float) -> list[str]:
        ring = self._ring(now)
        strides = _list_strides(len(ring))
        if not strides:
            return []
        at = [name for name, _ in ring].index(self._place.name)
        self._behind = {
            name: (at - position) % len(ring)
            for position, (name, _) in enumerate(ring)
        }
        self._strides = {
            ring[(at + stride) % len(ring)][1]: stride for stride in strides
        }
        first = self._round * _FANOUT
        turn = {
            strides[(first + step) % len(strides)] for step in range(_FANOUT)
        }
        return [ring[(at + stride) % len(ring)][1] for stride in turn]

    def _choose_bridges(self, now: float) -> list[str]:
        """Choose a peer in each zone and region this instance bridges to."""
        if self._round % _BRIDGE_TURN:
            return []
        place = self._place
        live = self._members.live(now)
        by_zone: dict[str, list[Member]] = {}
        for member in live:
            far_region = member.region != place.region
            side = f'region {member.region}' if far_region else member.zone
            if side != place.zone:
                by_zone.setdefault(side, []).append(member)
        own_zone = frozenset((place.name,)) | {
            member.name for member in live if member.zone == place.zone
        }
        own_region = frozenset((place.name,)) | {
            member.name for member in live if member.region == place.region
        }
        chosen = []
        for side, there in by_zone.items():
            here = own_region if side.startswith('region ') else own_zone
            if place.name in _choose_bridges(side, here):
                chosen.append(self._choose_across(place.name, there))
        return chosen

    def _choose_across(self, name: str, there: list[Member]) -> str:
        addresses = {member.name: member.peer_address for member in there}
        owners = _choose_bridges(name, frozenset(addresses))
        return addresses[self._generator.choice(owners)]

    def _choose_probes(self, now: float, listed: dict[str, str]) -> list[str]:
        """Choose one address from which nothing is heard.

        It is how a new instance finds the others, a suspected one hears of
        its suspicion, and zones meet again after a cut.
        """
        suspected = [
            member.peer_address for member in self._members.suspected(now)
        ]
        heard = {member.peer_address for member in self._members.live(now)}
        lost = {
            member.peer_address
            for member in self._members.known()
            if not member.left
        }
        silent = sorted((set(listed) | lost) - heard - {self._place.address})
        probes = [self._generator.choice(silent)] if silent else []
        if suspected:
            probes.append(self._generator.choice(suspected))
        return probes

    # Records

    def _list_news(
        self,
        address: str,
        seen: dict[str, _Seen],
        now: float,
    ) -> list[Member]:
        """List the members whose heartbeat is news, the own zone first."""
        near: list[Member] = []
        far: list[Member] = []
        present = self._members.departed(now) + self._members.live(now)
        for member in present:
            known = seen.get(member.name, _Seen()).order
            if not self._is_due(address, member, member.order, known):
                continue
            is_near = member.zone == self._place.zone
            group = near if is_near or member.left else far
            group.append(member)
        self._generator.shuffle(near)
        self._generator.shuffle(far)
        return near + far

    def _list_loads(
        self,
        address: str,
        seen: dict[str, _Seen],
        now: float,
    ) -> list[Member]:
        """List the members whose load is news, most overdue first.

        In most rounds the own zone comes first, in some the others, so that
        neither is left without when not all have room.
        """
        is_far_turn = self._round % _FAR_TURN == 0
        overdue: list[tuple[bool, int, Member]] = []
        for member in self._members.live(now):
            known = seen.get(member.name, _Seen()).load_order
            order = member.load_order
            if member.has_load and self._is_due(
                address,
                member,
                order,
                known,
            ):
                is_far = member.zone != self._place.zone
                # Of a life that the peer knows nothing of, it lacks most.
                since = known[-1] if order[:2] == known[:2] else 0
                lag = order[-1] - since
                overdue.append((is_far != is_far_turn, -lag, member))
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
        """Tell whether enough is new of a member to be sent to an address."""
        if order <= known or member.peer_address == address:
            return False
        if order[:2] != known[:2] or member.left:
            return True
        return order[-1] - known[-1] >= self._choose_interval(address, member)

    def _choose_interval(self, address: str, member: Member) -> int:
        """Choose of how many versions one is sent to an address."""
        if member.zone != self._place.zone:
            return self._members.far_interval
        stride = self._strides.get(address, 0)
        behind = self._behind.get(member.name, stride)
        return 1 if behind < stride else _SPARE_INTERVAL

    def _age_load(self, member: Member, now: float) -> Member:
        waited = now - self._members.load_heard_at(member.name)
        aged = self._members.age_record(member, now)
        return attrs.evolve(aged, held=round(member.held + waited, 2))

    def _accuse(
        self,
        address: str,
        packed: list[Member],
        now: float,
    ) -> list[Member]:
        """Add a suspected receiver's own record, so that it can refute it."""
        return packed + [
            member.without_load()
            for member in self._members.suspected(now)
            if member.peer_address == address
        ]

    def _note(self, address: str, members: Iterable[Member]) -> None:
        seen = self._seen.setdefault(address, {})
        for member in members:
            known = seen.setdefault(member.name, _Seen())
            known.order = max(known.order, member.order)
            if member.has_load:
                known.load_order = max(known.load_order, member.load_order)


@functools.lru_cache(maxsize=_CHOICES_KEPT)
def _choose_bridges(side: str, names: frozenset[str]) -> list[str]:
    return choose_owners(side, names, _BRIDGES)


@functools.lru_cache(maxsize=_CHOICES_KEPT)
def _hash_name(item: tuple[str, str]) -> bytes:
    return hashlib.blake2b(item[0].encode(), digest_size=8).digest()


def _list_strides(size: int) -> list[int]:
    return [1 << power for power in range((size - 1).bit_length())]


def _weigh_load(member: Member) -> int:
    return (
        len(member.reports) * _REPORT_BYTES
        + len(member.dispatched) * _DISPATCHED_BYTES
        + len(member.dispatched_by_class) * _DISPATCHED_BYTES
        + len(member.demand) * _DEMAND_BYTES
    )
