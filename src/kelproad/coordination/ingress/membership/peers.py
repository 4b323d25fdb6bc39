"""The other instances as this one knows them, from their own reports."""

import collections
import logging
import math
from collections.abc import Callable, Iterable, Iterator

import attrs

from ....state.records import record
from ....transport.addresses import Address
from ....transport.deadlines import read_boottime
from ..settings import NodeSettings
from ..tables.confirming import ConfirmedElsewhere, judge_confirmed
from ..tables.readers import Reader
from ..tables.tablestates import Provenance
from .reachability import ZoneReachability
from .updates import PeerUpdate

__all__ = ['MAX_FULL_MESH_PEERS', 'Peer', 'PeerRegister']

_logger = logging.getLogger(__name__)
#: Number of instances of other zones up to which each of them is sent
#: everything.
MAX_FULL_MESH_PEERS = 20
#: Seconds without a datagram after which a peer no longer counts as live.
_LIVE_SECONDS = 3.0
#: Seconds after which a silent peer that the store doesn't list is dropped.
_DROP_SECONDS = 30.0


@attrs.define
class Peer:
    """An instance that datagrams are sent to.

    ``order`` is that of the last datagram accepted, as datagrams may overtake
    each other; ``confirmed_at`` is the boot time at which its configuration was
    last confirmed, as it ages while all machines are suspended, too.
    ``zone`` is empty until the instance, or its row in the store, states it.
    ``lost_paths`` is the number of endpoints that it can't connect to,
    ``configuration`` the version that it has in force.
    """

    address: Address
    received_at: float = float('-inf')
    zone: str = ''
    order: tuple[int, int] = (0, 0)
    confirmed_at: float = float('-inf')
    provenance: Provenance | None = None
    lost_paths: int = 0
    configuration: int | None = None

    def is_live(self, now: float) -> bool:
        """Return whether a datagram from it was received lately."""
        return now - self.received_at < _LIVE_SECONDS

    def is_able(self, now: float) -> bool:
        """Return whether it is live and may serve tables to others."""
        return self.is_live(now) and self.describe('').serves_zone

    def describe(self, name: str) -> Reader:
        """Describe it as an instance that tables may be queried from."""
        return Reader(name, self.address.host, self.zone, self.provenance)


class PeerRegister:
    """The other instances, by name."""

    def __init__(
        self, settings: NodeSettings, reachability: ZoneReachability
    ) -> None:
        """Register the peers of an instance."""
        self._settings = settings
        self._reachability = reachability
        self._peers: dict[str, Peer] = {}
        #: Peers by zone; ``None`` after one was added, dropped or changed zone.
        self._by_zone: dict[str, list[Peer]] | None = None
        #: The reader of each other zone and the monotonic time of the report
        #: of an instance there that named it.
        self._zone_readers: dict[str, tuple[Reader, float]] = {}
        #: Each is called when an instance can serve tables that could not, or
        #: was not known to.
        self.on_able: list[Callable[[], None]] = []
        #: Each gets the IP number of a peer that is heard for the first time,
        #: or again after a silence or a restart.
        self.on_heard: list[Callable[[str], None]] = []

    def add(self, instance: str, host: str, zone: str = '') -> None:
        """Add an instance to those that datagrams are sent to."""
        if host == self._settings.ip or instance == self._settings.instance:
            return
        known = self._peers.get(instance)
        if known is None or known.address.host != host:
            address = Address(host, self._settings.peer_port)
            self._peers[instance] = Peer(address, zone=zone)
            self._by_zone = None

    def add_listed(
        self, instance: str, host: str, zone: str, started_at: int, now: float
    ) -> None:
        """Add an instance that the store lists.

        One that is live and started later than the listed incarnation is left
        as it is: the row is back with a copy of the store.
        """
        known = self._peers.get(instance)
        if (
            known is not None
            and known.is_live(now)
            and known.order[0] > started_at
        ):
            return
        self.add(instance, host, zone)

    def drop_unlisted(self, instances: set[str], now: float) -> None:
        """Drop silent peers that the store doesn't list."""
        for name in self._peers.keys() - instances:
            if now - self._peers[name].received_at > _DROP_SECONDS:
                self._peers.pop(name)
                self._by_zone = None

    def accept(self, update: PeerUpdate, now: float) -> bool:
        """Record a peer's report, unless it is outdated.

        Returns
        -------
        bool
            Whether it was recorded.
        """
        self.add(update.instance, update.host)
        # A seed is known by its host until its first report names it.
        is_renamed = update.host != update.instance
        if is_renamed and update.host in self._peers:
            self._peers.pop(update.host)
            self._by_zone = None
        peer = self._peers[update.instance]
        order = (update.started_at, update.sequence)
        # A clock that was set back over a restart must not silence the new
        # incarnation; after so long a silence no datagram of the old one is
        # under way.
        silent = not peer.is_live(now)
        if order <= peer.order and not silent:
            return False
        # One that has started anew knows nothing, however soon it is back.
        heard_anew = silent or update.started_at > peer.order[0]
        peer.order = order
        if heard_anew:
            self._greet(update)
        was_able = peer.is_able(now)
        peer.received_at = float('-inf') if update.leaving else now
        if peer.zone != update.zone:
            peer.zone = update.zone
            self._by_zone = None
        _copy_state(update, peer)
        is_named_anew = self._accept_reader(update, now)
        if is_named_anew or (peer.is_able(now) and not was_able):
            for act in self.on_able:
                act()
        return True

    def part(self) -> tuple[list[Peer], dict[str, list[Peer]]]:
        """Split peers into those of this zone and those of other zones.

        Returns
        -------
        tuple[list[Peer], dict[str, list[Peer]]]
            Those of this zone or an unknown one, and the others by their zone,
            sorted by name.
        """
        if self._by_zone is None:
            self._by_zone = collections.defaultdict(list)
            for _, peer in sorted(self._peers.items()):
                self._by_zone[peer.zone].append(peer)
        remote = dict(self._by_zone)
        local = [*remote.pop('', ()), *remote.pop(self._settings.zone, ())]
        return local, remote

    def rank_self(self, now: float) -> tuple[int, int]:
        """Rank this instance by name among the live ones of its zone.

        Returns
        -------
        tuple[int, int]
            Number of instances before it, and of all of them.
        """
        others = self.list_zone_peers(now)
        before = sum(
            other.instance < self._settings.instance for other in others
        )
        return before, len(others) + 1

    @property
    def is_full_mesh(self) -> bool:
        """Whether peers are few enough for a full mesh of reports."""
        _, remote = self.part()
        return sum(map(len, remote.values())) <= MAX_FULL_MESH_PEERS

    def list_ahead(self, version: int, now: float) -> list[Peer]:
        """List the live peers that have a newer configuration in force."""
        return [
            peer
            for _, peer in self.iterate_live(now)
            if peer.configuration is not None and peer.configuration > version
        ]

    def includes_live_host(self, host: str, now: float) -> bool:
        """Return whether an IP number is that of a live peer."""
        return any(
            peer.address.host == host for _, peer in self.iterate_live(now)
        )

    def includes_host(self, host: str) -> bool:
        """Return whether an IP number is that of a peer, live or not."""
        return any(peer.address.host == host for peer in self._peers.values())

    def list_hosts(self) -> list[str]:
        """List the IP numbers of all peers, live or not."""
        return [peer.address.host for peer in self._peers.values()]

    def list_remote_hosts(self) -> dict[str, list[str]]:
        """List the IP numbers of the instances of other zones, by zone."""
        _, remote = self.part()
        return {
            zone: [peer.address.host for peer in members]
            for zone, members in remote.items()
        }

    def list_zone_peers(self, now: float) -> list[Reader]:
        """List the other live instances of this zone."""
        return [
            peer.describe(name)
            for name, peer in self._peers.items()
            if peer.zone == self._settings.zone and peer.is_live(now)
        ]

    def iterate_live(self, now: float) -> Iterator[tuple[str, Peer]]:
        """Iterate over the live peers and their names."""
        for name, peer in self._peers.items():
            if peer.is_live(now):
                yield name, peer

    def list_in_zone(self, zone: str) -> list[str]:
        """List the names of the instances of a zone."""
        return [name for name, peer in self._peers.items() if peer.zone == zone]

    def count_live(self, now: float) -> int:
        """Count the instances that are probably live, this one included.

        Where not every instance of another zone reports to this one, all
        listed instances of the zone count while any of them is received from.
        """
        if self.is_full_mesh:
            return 1 + sum(peer.is_live(now) for peer in self._peers.values())
        local, remote = self.part()
        live = sum(peer.is_live(now) for peer in local)
        reachable = sum(
            len(members)
            for zone, members in remote.items()
            if self._reachability.has_live_instance(zone, now)
        )
        return 1 + live + reachable

    def judge_confirmed(self, now: float) -> ConfirmedElsewhere:
        """Judge whether other instances have a fresh configuration.

        If no other zone, or no peer at all, is received from any more, it is
        probably this instance, or its zone, that is cut off.
        """
        received = [
            peer
            for peer in self._peers.values()
            if math.isfinite(peer.received_at)
        ]
        live = [peer for peer in received if peer.is_live(now)]
        is_alone = bool(received) and not live
        boot_now = read_boottime()
        return judge_confirmed(
            [boot_now - peer.confirmed_at for peer in live],
            is_alone or self._is_zone_isolated(received, now),
        )

    def list_live(self, now: float) -> list[Reader]:
        """List the live instances, and the readers of zones named lately."""
        named = {
            reader.instance: reader
            for reader, named_at in self._zone_readers.values()
            if now - named_at < _LIVE_SECONDS
        }
        live = {
            name: peer.describe(name)
            for name, peer in self._peers.items()
            if peer.is_live(now)
        }
        return list((named | live).values())

    def _greet(self, update: PeerUpdate) -> None:
        """Have a peer told that is heard for the first time, or again."""
        reports_regularly = (
            update.zone == self._settings.zone or self.is_full_mesh
        )
        if reports_regularly:
            record(
                _logger, 'peer_heard', peer=update.instance, zone=update.zone
            )
        for greet in self.on_heard:
            greet(update.host)

    def _accept_reader(self, update: PeerUpdate, now: float) -> bool:
        """Record the reader that a report names; return whether it is news."""
        if update.zone_reader is None:
            return False
        reader = Reader(
            update.zone_reader.instance,
            update.zone_reader.host,
            update.zone,
            update.zone_reader.provenance,
        )
        known, known_at = self._zone_readers.get(
            update.zone, (None, float('-inf'))
        )
        self._zone_readers[update.zone] = (reader, now)
        return reader != known or now - known_at >= _LIVE_SECONDS

    def _is_zone_isolated(self, received: Iterable[Peer], now: float) -> bool:
        """Return whether all other zones have fallen silent."""
        others = {peer.zone for peer in received} - {'', self._settings.zone}
        return bool(others) and all(
            self._reachability.is_suspect(zone, now) for zone in others
        )


def _copy_state(update: PeerUpdate, peer: Peer) -> None:
    peer.provenance = update.provenance
    peer.lost_paths = update.lost_paths
    peer.configuration = update.configuration
    peer.confirmed_at = _find_confirmed_at(update)


def _find_confirmed_at(update: PeerUpdate) -> float:
    """Find the boot time at which a peer's configuration was confirmed."""
    if update.unconfirmed_for is None:
        return float('-inf')
    return read_boottime() - update.unconfirmed_for
