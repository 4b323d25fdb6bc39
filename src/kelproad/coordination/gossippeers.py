"""Selection of the peers that an instance sends records to in a round.

The instances of a zone form a ring, ordered by the hashes of their names, and
send over strides of 1, 2, 4 and so on.  A message over a stride of N carries
the records of the N nearest predecessors, so that after one turn of all
strides every record has reached every instance exactly once.  Between zones and
regions only a few pairs exchange records, chosen by rendezvous hash.
"""

import functools
import hashlib
import random

import attrs

from ..state.members import Member, MemberTable
from ..state.placement import choose_owners

__all__ = ['Location', 'PeerSelector']

#: Strides used in one round.
_FANOUT = 2
#: Instances of a zone that send to each other zone, and of a region to each
#: other region.
_BRIDGES = 2
#: One round in this many sends to other zones.
_BRIDGE_INTERVAL = 2
#: Of records that a stride doesn't carry, one version in this many is sent.
_REDUNDANT_INTERVAL = 3
#: Cached choices and hashes; they change only as members come and go.
_CACHED_CHOICES = 1024


@attrs.frozen
class Location:
    """Where an instance runs and receives messages."""

    name: str
    zone: str
    region: str
    address: str


class PeerSelector:
    """Chooses the peers of each round.

    Attributes
    ----------
    round_number
        Number of the current round.
    """

    def __init__(
        self,
        location: Location,
        members: MemberTable,
        generator: random.Random,
    ) -> None:
        """Choose for a location; ``generator`` makes the random choices."""
        self._location = location
        self._members = members
        self._generator = generator
        self.round_number = 0
        self._ring_distances: dict[str, int] = {}
        self._strides: dict[str, int] = {}

    def needs_version(self, now: float) -> bool:
        """Return whether this round needs a new version of the local record.

        There is one version per turn of all strides: a newer one would replace
        it on the way and cost bytes without arriving sooner.
        """
        strides = len(_list_strides(len(self._list_ring(now))))
        rounds = max(1, strides // _FANOUT)
        return self.round_number % rounds == 0

    def choose(self, now: float, listed: dict[str, str]) -> list[str]:
        """Advance to the next round and choose its peer addresses.

        Parameters
        ----------
        now
            Monotonic time, in seconds.
        listed
            Zones by peer address from the platform's list and the settings.
        """
        self.round_number += 1
        chosen = [
            *self._choose_in_zone(now),
            *self._choose_bridges(now),
            *self._choose_probes(now, listed),
        ]
        return list(dict.fromkeys(chosen))

    def choose_interval(self, address: str, member: Member) -> int:
        """Return how many versions a peer may lag before it gets one."""
        if member.zone != self._location.zone:
            return self._members.cross_zone_interval
        stride = self._strides.get(address, 0)
        behind = self._ring_distances.get(member.name, stride)
        return 1 if behind < stride else _REDUNDANT_INTERVAL

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
        first = self.round_number * _FANOUT
        due = {
            strides[(first + step) % len(strides)] for step in range(_FANOUT)
        }
        return [ring[(at + stride) % len(ring)][1] for stride in due]

    def _choose_bridges(self, now: float) -> list[str]:
        """Choose a peer in each zone and region this instance bridges to."""
        if self.round_number % _BRIDGE_INTERVAL:
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


@functools.lru_cache(maxsize=_CACHED_CHOICES)
def _rank_bridges(side: str, names: frozenset[str]) -> list[str]:
    return choose_owners(side, names, _BRIDGES)


@functools.lru_cache(maxsize=_CACHED_CHOICES)
def _hash_name(item: tuple[str, str]) -> bytes:
    return hashlib.blake2b(item[0].encode(), digest_size=8).digest()


def _list_strides(size: int) -> list[int]:
    return [1 << power for power in range((size - 1).bit_length())]
