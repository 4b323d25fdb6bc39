"""Selection of the records that an instance sends, with bounded bytes.

``gossippeers.py`` selects the peers.  A message carries the records that its
stride on the ring is for; other records are sent at a lower rate, to make up
for lost messages and instances.
"""

import random
from collections.abc import Iterable

import attrs

from ..state.members import Member, MemberTable
from .gossippeers import Location, PeerSelector

__all__ = ['PERIOD', 'Gossiper']

#: Seconds between two rounds of messages.
PERIOD = 0.5
#: Bytes per second that an instance sends to peers; it receives as many.
BYTES_PER_SECOND = 5_500.0
#: Seconds of unused allowance that may be sent at once.
_BURST_SECONDS = 1.0
#: Approximate bytes of the parts of a record in a compressed message.
_HEARTBEAT_BYTES = 48
_REPORT_BYTES = 24
_DISPATCHED_BYTES = 14
_DEMAND_BYTES = 32

#: One round in this many packs the loads of other zones first.
_REMOTE_FIRST_INTERVAL = 4
#: Share of a message that heartbeats may take; loads get the rest.
_HEARTBEAT_SHARE = 0.5

#: Epoch, incarnation and version of a record.
_Order = tuple[int, int, int]
#: Sorts before the position of any record.
_NEVER: _Order = (-1, -1, -1)


@attrs.define
class _HeldVersions:
    """The newest versions of one member's record that a peer holds."""

    order: _Order = _NEVER
    load_order: _Order = _NEVER


class Gossiper:
    """Chooses the records to send to the peers of each round.

    Attributes
    ----------
    peers
        Chooses these peers.
    """

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
        self.peers = PeerSelector(location, members, generator)
        self._held_by_peer: dict[str, dict[str, _HeldVersions]] = {}
        self._allowance = BYTES_PER_SECOND * _BURST_SECONDS
        self._refilled_at: float | None = None

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
        is_remote_first = self.peers.round_number % _REMOTE_FIRST_INTERVAL == 0
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
        return order[-1] - known[-1] >= self.peers.choose_interval(
            address, member
        )

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


def _estimate_load_bytes(member: Member) -> int:
    return (
        len(member.reports) * _REPORT_BYTES
        + len(member.dispatched) * _DISPATCHED_BYTES
        + len(member.dispatched_by_class) * _DISPATCHED_BYTES
        + len(member.demand) * _DEMAND_BYTES
    )
