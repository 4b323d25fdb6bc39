"""Telling the other instances of work in flight, and hearing of theirs.

An engine's own report is hundreds of milliseconds old; a call takes that
long.  Each instance sends what it has in flight to all others by datagram,
when it has changed and at most fifty times a second.  Instances of other zones
are told more rarely the more there are, as bytes between zones cost: the same
update goes to each of them.
"""

import asyncio
import contextlib
import logging
import math
from collections.abc import Callable, Iterable

import attrs
from mode import Service
from returns.result import Failure

from ...state.observations import EngineObservations
from ...state.records import record
from ...state.work import WorkLedger
from ...transport.addresses import Address
from ...transport.datagrams import DatagramSocket
from ...transport.deadlines import monotonic
from ...transport.services import BackgroundService
from .following import Provenance
from .reach import ZoneReach
from .readers import OLDEST_TOLD, Reader
from .settings import NodeSettings
from .updates import (
    PeerUpdate,
    decode_update,
    encode_update,
    read_work,
    tell_work,
)

__all__ = ['WorkExchange']

_logger = logging.getLogger(__name__)
#: Seconds between two datagrams to the same peers at the least; the first
#: change after a pause is told at once.
_SEND_PERIOD = 0.02
#: Seconds after which unchanged work is told again, as a datagram may be lost.
_REPEAT_PERIOD = 0.25
#: The same for instances of other zones, for each of them that there is, and
#: at the most: work is forgotten after 1.5 s, so one datagram may be lost.
_FAR_SEND_PERIOD = 0.0025
_LONGEST_FAR_SEND = 0.25
_FAR_REPEAT_PERIOD = 0.012
_LONGEST_FAR_REPEAT = 0.5
#: Seconds without a datagram after which a peer no longer counts as live.
_LIVE_SECONDS = 3.0
#: Seconds since its confirmation for which the configuration of an instance
#: counts as known: as long as it may be told on.
CONFIRMED_SECONDS = OLDEST_TOLD
#: Seconds after which a silent peer that the store doesn't list is dropped.
_DROP_SECONDS = 30.0


@attrs.define
class _Peer:
    """An instance that datagrams go to.

    ``order`` is that of the last datagram taken, as they may overtake;
    ``confirmed_at`` is when its configuration was last confirmed.  ``zone`` is
    empty until it was heard.
    """

    address: Address
    heard_at: float
    zone: str = ''
    order: tuple[int, int] = (0, 0)
    confirmed_at: float = float('-inf')
    provenance: Provenance | None = None


@attrs.define
class _LastTold:
    """What some peers were last told, and when."""

    changes: object = None
    at: float = float('-inf')

    def take_due(
        self,
        changes: object,
        now: float,
        period: float,
        repeat: float,
    ) -> bool:
        """Tell whether they are to be told again now, and note that."""
        pause = repeat if changes == self.changes else period
        if now - self.at < pause:
            return False
        self.changes = changes
        self.at = now
        return True


class WorkExchange(BackgroundService):
    """Sends own work, and takes in that of peers."""

    abstract = False

    def __init__(
        self,
        settings: NodeSettings,
        started_at: int,
        ledger: WorkLedger,
        reach: ZoneReach,
        observations: EngineObservations,
        measure_age: Callable[[], float],
        read_provenance: Callable[[], Provenance | None],
    ) -> None:
        """Tell of a ledger's own work; enter that of peers and their signs.

        ``measure_age`` tells how many seconds ago the configuration here was
        confirmed, ``read_provenance`` where the tables come from.
        """
        super().__init__()
        self._settings = settings
        self._started_at = started_at
        self._ledger = ledger
        self._reach = reach
        self._observations = observations
        self._measure_age = measure_age
        self._read_provenance = read_provenance
        self._socket = DatagramSocket(self.receive)
        self._peers: dict[str, _Peer] = {}
        self._sequence = 0
        self._changed = asyncio.Event()
        ledger.on_change = self._changed.set
        self.leaving = False

    async def on_start(self) -> None:
        """Open the socket and greet the seeds."""
        own = Address(self._settings.ip, self._settings.peer_port)
        await self._socket.open(own)
        for host in self._settings.seed_hosts:
            self.introduce(host, host)

    async def on_stop(self) -> None:
        """Tell peers that nothing is in flight here any more."""
        self.leaving = True
        self._send(self._peers.values())
        self._socket.close()

    def count_live(self, now: float) -> int:
        """Count the instances that were heard lately, this one included."""
        return 1 + sum(
            now - peer.heard_at < _LIVE_SECONDS for peer in self._peers.values()
        )

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
        live = [peer for peer in heard if now - peer.heard_at < _LIVE_SECONDS]
        if not live:
            return bool(heard)
        newest = max(peer.confirmed_at for peer in live)
        if now - newest < CONFIRMED_SECONDS:
            return True
        return self._is_zone_parted(heard, now)

    def list_heard(self, now: float) -> list[Reader]:
        """List the other instances that were heard lately."""
        return [
            Reader(name, peer.address.host, peer.zone, peer.provenance)
            for name, peer in self._peers.items()
            if now - peer.heard_at < _LIVE_SECONDS
        ]

    def describe_own(self) -> Reader:
        """Describe this instance as peers hear of it."""
        return Reader(
            self._settings.instance,
            self._settings.ip,
            self._settings.zone,
            self._read_provenance(),
        )

    def introduce(self, instance: str, host: str) -> None:
        """Send to an instance from now on."""
        if host == self._settings.ip or instance == self._settings.instance:
            return
        known = self._peers.get(instance)
        if known is None or known.address.host != host:
            address = Address(host, self._settings.peer_port)
            self._peers[instance] = _Peer(address, heard_at=float('-inf'))

    def keep_listed(self, instances: set[str], now: float) -> None:
        """Drop silent peers that the store doesn't list."""
        for name in self._peers.keys() - instances:
            if now - self._peers[name].heard_at > _DROP_SECONDS:
                self._peers.pop(name)

    def receive(self, datagram: bytes) -> None:
        """Take in what a peer tells."""
        decoded = decode_update(datagram)
        if isinstance(decoded, Failure):
            record(_logger, 'peer_update_unreadable', reason=decoded.failure())
            return
        update = decoded.unwrap()
        if update.instance == self._settings.instance:
            return
        now = monotonic()
        self.introduce(update.instance, update.host)
        # A seed is known by its host until it says its name.
        self._peers.pop(update.host, None)
        peer = self._peers[update.instance]
        order = (update.started_at, update.sequence)
        # A clock that was set back over a restart must not silence the new
        # life; after such a pause no datagram of the old one is under way.
        silent = now - peer.heard_at > _LIVE_SECONDS
        if order <= peer.order and not silent:
            return
        peer.order = order
        if silent:
            record(
                _logger, 'peer_heard', peer=update.instance, zone=update.zone
            )
        peer.heard_at = now
        peer.zone = update.zone
        peer.provenance = update.provenance
        if update.unconfirmed_for is not None:
            peer.confirmed_at = now - update.unconfirmed_for
        self._reach.note_peer(update.zone, now)
        if update.leaving:
            self._ledger.forget_peer(update.instance)
            peer.heard_at = float('-inf')
            return
        self._ledger.accept_peer(update.instance, read_work(update), now)
        self._observations.accept_refusing(update.refusing, now)
        self._observations.accept_slow(update.slow, update.instance, now)

    @Service.task
    async def _tell(self) -> None:
        near_told, far_told = _LastTold(), _LastTold()
        while not self.should_stop:
            now = monotonic()
            changes = (self._ledger.changes, self._read_provenance())
            near, far = self._part_peers()
            if near_told.take_due(changes, now, 0, _REPEAT_PERIOD):
                self._send(near)
            if far_told.take_due(changes, now, *_choose_far_periods(len(far))):
                self._send(far)
            await asyncio.sleep(_SEND_PERIOD)
            if far_told.changes == changes:
                await self._await_change()

    async def _await_change(self) -> None:
        """Wait until the own work changes, or is to be told again."""
        self._changed.clear()
        with contextlib.suppress(asyncio.TimeoutError):
            async with asyncio.timeout(_REPEAT_PERIOD - _SEND_PERIOD):
                await self._changed.wait()

    def _is_zone_parted(self, heard: Iterable[_Peer], now: float) -> bool:
        """Tell whether nothing is heard of any other zone any more."""
        others = {peer.zone for peer in heard} - {'', self._settings.zone}
        return bool(others) and all(
            self._reach.is_doubtful(zone, now) for zone in others
        )

    def _part_peers(self) -> tuple[list[_Peer], list[_Peer]]:
        """Part peers into those of this zone or not heard yet, and others."""
        near: list[_Peer] = []
        far: list[_Peer] = []
        for peer in self._peers.values():
            is_near = peer.zone in {'', self._settings.zone}
            (near if is_near else far).append(peer)
        return near, far

    def _send(self, peers: Iterable[_Peer]) -> None:
        self._sequence += 1
        datagram = encode_update(self._build_update())
        for peer in peers:
            self._socket.send(datagram, peer.address)

    def _build_update(self) -> PeerUpdate:
        now = monotonic()
        age = self._measure_age()
        return PeerUpdate(
            self._settings.instance,
            self._settings.ip,
            self._settings.zone,
            self._started_at,
            self._sequence,
            self.leaving,
            round(age, 3) if math.isfinite(age) else None,
            tell_work(self._ledger.own),
            self._observations.list_refusing(now),
            self._observations.list_slow(now),
            self._read_provenance(),
        )


def _choose_far_periods(peers: int) -> tuple[float, float]:
    """Choose the seconds between changes, and until the same is told again."""
    return (
        min(_LONGEST_FAR_SEND, peers * _FAR_SEND_PERIOD),
        max(
            _REPEAT_PERIOD,
            min(_LONGEST_FAR_REPEAT, peers * _FAR_REPEAT_PERIOD),
        ),
    )
