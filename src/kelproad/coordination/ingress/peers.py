"""The other instances as this one knows them: addresses, and what they said."""

import collections
import logging
import math
from collections.abc import Iterable

import attrs

from ...state.records import record
from ...transport.addresses import Address
from .reach import ZoneReach
from .readers import OLDEST_TOLD, Reader
from .settings import NodeSettings
from .tablestates import Provenance
from .updates import PeerUpdate

__all__ = ['CONFIRMED_SECONDS', 'MOST_TOLD_ALL', 'Peer', 'PeerRegister']

_logger = logging.getLogger(__name__)
#: Instances of other zones up to which each of them is told everything.
MOST_TOLD_ALL = 60
#: Seconds without a datagram after which a peer no longer counts as live.
_LIVE_SECONDS = 3.0
#: Seconds since its confirmation for which the configuration of an instance
#: counts as known: as long as it may be told on.
CONFIRMED_SECONDS = OLDEST_TOLD
#: Seconds after which a silent peer that the store doesn't list is dropped.
_DROP_SECONDS = 30.0


@attrs.define
class Peer:
    """An instance that datagrams go to.

    ``order`` is that of the last datagram taken, as they may overtake;
    ``confirmed_at`` is when its configuration was last confirmed.  ``zone`` is
    empty until somebody says it.
    """

    address: Address
    heard_at: float = float('-inf')
    zone: str = ''
    order: tuple[int, int] = (0, 0)
    confirmed_at: float = float('-inf')
    provenance: Provenance | None = None

    def is_live(self, now: float) -> bool:
        """Tell whether it was heard lately."""
        return now - self.heard_at < _LIVE_SECONDS

    def describe(self, name: str) -> Reader:
        """Describe it as one that may tell what the store holds."""
        return Reader(name, self.address.host, self.zone, self.provenance)


class PeerRegister:
    """The other instances, by name."""

    def __init__(self, settings: NodeSettings, reach: ZoneReach) -> None:
        """Register the peers of an instance."""
        self._settings = settings
        self._reach = reach
        self._peers: dict[str, Peer] = {}
        #: Peers by zone, until one comes, goes or moves.
        self._parted: dict[str, list[Peer]] | None = None
        #: Who reads the store for another zone, as an instance there said.
        self._zone_readers: dict[str, tuple[Reader, float]] = {}

    def introduce(self, instance: str, host: str, zone: str = '') -> None:
        """Send to an instance from now on."""
        if host == self._settings.ip or instance == self._settings.instance:
            return
        known = self._peers.get(instance)
        if known is None or known.address.host != host:
            address = Address(host, self._settings.peer_port)
            self._peers[instance] = Peer(address, zone=zone)
            self._parted = None

    def keep_listed(self, instances: set[str], now: float) -> None:
        """Drop silent peers that the store doesn't list."""
        for name in self._peers.keys() - instances:
            if now - self._peers[name].heard_at > _DROP_SECONDS:
                self._peers.pop(name)
                self._parted = None

    def accept(self, update: PeerUpdate, now: float) -> bool:
        """Take in what a peer says of itself, unless that is outdated.

        Returns
        -------
        bool
            Whether it was taken in.
        """
        self.introduce(update.instance, update.host)
        # A seed is known by its host until it says its name.
        if self._peers.pop(update.host, None):
            self._parted = None
        peer = self._peers[update.instance]
        order = (update.started_at, update.sequence)
        # A clock that was set back over a restart must not silence the new
        # life; after such a pause no datagram of the old one is under way.
        silent = not peer.is_live(now)
        if order <= peer.order and not silent:
            return False
        peer.order = order
        if silent:
            record(
                _logger, 'peer_heard', peer=update.instance, zone=update.zone
            )
        peer.heard_at = float('-inf') if update.leaving else now
        if peer.zone != update.zone:
            peer.zone = update.zone
            self._parted = None
        peer.provenance = update.provenance
        if update.unconfirmed_for is not None:
            peer.confirmed_at = now - update.unconfirmed_for
        if update.zone_reader is not None:
            reader = Reader(
                update.zone_reader.instance,
                update.zone_reader.host,
                update.zone,
                update.zone_reader.provenance,
            )
            self._zone_readers[update.zone] = (reader, now)
        return True

    def part(self) -> tuple[list[Peer], dict[str, list[Peer]]]:
        """Part peers into those of this zone or an unknown one, and others.

        Returns
        -------
        tuple[list[Peer], dict[str, list[Peer]]]
            Near ones, and the others by their zone, in the order of names.
        """
        if self._parted is None:
            self._parted = collections.defaultdict(list)
            for _, peer in sorted(self._peers.items()):
                self._parted[peer.zone].append(peer)
        far = dict(self._parted)
        near = [*far.pop('', ()), *far.pop(self._settings.zone, ())]
        return near, far

    def rank_own(self, now: float) -> tuple[int, int]:
        """Rank this instance by name among the live ones of its zone.

        Returns
        -------
        tuple[int, int]
            How many go before it, and how many there are.
        """
        others = self.list_zone_peers(now)
        before = sum(
            other.instance < self._settings.instance for other in others
        )
        return before, len(others) + 1

    @property
    def all_told(self) -> bool:
        """Whether there are so few that each of them is told everything."""
        _, far = self.part()
        return sum(map(len, far.values())) <= MOST_TOLD_ALL

    def list_far_hosts(self) -> dict[str, list[str]]:
        """List the IP numbers of the instances of other zones, by zone."""
        _, far = self.part()
        return {
            zone: [peer.address.host for peer in members]
            for zone, members in far.items()
        }

    def list_zone_peers(self, now: float) -> list[Reader]:
        """List the other instances of this zone that were heard lately."""
        return [
            peer.describe(name)
            for name, peer in self._peers.items()
            if peer.zone == self._settings.zone and peer.is_live(now)
        ]

    def list_in_zone(self, zone: str) -> list[str]:
        """List the names of the instances of a zone."""
        return [name for name, peer in self._peers.items() if peer.zone == zone]

    def count_live(self, now: float) -> int:
        """Count the instances that are probably live, this one included.

        Where not each of a zone sends here, those count that the store lists,
        as long as the zone is heard.
        """
        if self.all_told:
            return 1 + sum(peer.is_live(now) for peer in self._peers.values())
        near, far = self.part()
        live = sum(peer.is_live(now) for peer in near)
        heard = sum(
            len(members)
            for zone, members in far.items()
            if self._reach.is_heard(zone, now)
        )
        return 1 + live + heard

    def is_confirmed_elsewhere(self, now: float) -> bool:
        """Tell whether another instance probably knows what holds.

        Either one says so, or none of any other zone is heard any more, so that
        it is this one, or its zone, that is cut off.
        """
        heard = [
            peer
            for peer in self._peers.values()
            if math.isfinite(peer.heard_at)
        ]
        live = [peer for peer in heard if peer.is_live(now)]
        if not live:
            return bool(heard)
        newest = max(peer.confirmed_at for peer in live)
        if now - newest < CONFIRMED_SECONDS:
            return True
        return self._is_zone_parted(heard, now)

    def list_heard(self, now: float) -> list[Reader]:
        """List the other instances that were heard, or heard of, lately."""
        told_of = {
            reader.instance: reader
            for reader, said_at in self._zone_readers.values()
            if now - said_at < _LIVE_SECONDS
        }
        heard = {
            name: peer.describe(name)
            for name, peer in self._peers.items()
            if peer.is_live(now)
        }
        return list((told_of | heard).values())

    def _is_zone_parted(self, heard: Iterable[Peer], now: float) -> bool:
        """Tell whether nothing is heard of any other zone any more."""
        others = {peer.zone for peer in heard} - {'', self._settings.zone}
        return bool(others) and all(
            self._reach.is_doubtful(zone, now) for zone in others
        )
