"""Telling the other instances of work in flight, and hearing of theirs.

An engine's own report is hundreds of milliseconds old; a call takes that
long.  Each instance sends what it has in flight to all others of its zone by
datagram, when it has changed and at most fifty times a second.

Where other zones have few instances, those are told the same, more rarely the
more there are.  Where they have many, telling each of them everything would
make up most of what an instance does, and of the bytes between zones: they
are told only of work at their own engines, so each zone knows its engines
exactly, and asks another zone (``spillover.py``) when it needs that one's.
"""

import asyncio
import contextlib
import itertools
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
from .peers import Peer, PeerRegister
from .reach import ZoneReach
from .readers import Reader
from .settings import NodeSettings
from .tablestates import Provenance
from .updates import (
    PeerUpdate,
    ToldWork,
    ZoneReader,
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
#: Seconds after which unchanged work is told again, as a datagram may be lost:
#: at the least, for each instance that is told, and at the most.  Work is
#: forgotten after 1.5 s, so one datagram may be lost.
_REPEAT_PERIOD = 0.25
_REPEAT_PERIOD_EACH = 0.012
_LONGEST_REPEAT = 0.5
#: Times that for an instance without work, of which nothing is forgotten; it
#: counts as live for 3 s.
_IDLE_FACTOR = 2
#: Seconds between changes told to other zones, for each instance there, and at
#: the most.
_FAR_SEND_PERIOD = 0.0025
_LONGEST_FAR_SEND = 0.25


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
        find_zone: Callable[[str], str],
    ) -> None:
        """Tell of a ledger's own work; enter that of peers and their signs.

        ``measure_age`` tells how many seconds ago the configuration here was
        confirmed, ``read_provenance`` where the tables come from, ``find_zone``
        in which zone an endpoint stands.
        """
        super().__init__()
        self._settings = settings
        self._started_at = started_at
        self._ledger = ledger
        self._reach = reach
        self._observations = observations
        self._measure_age = measure_age
        self._read_provenance = read_provenance
        self._find_zone = find_zone
        self._socket = DatagramSocket(self.receive)
        self.peers = PeerRegister(settings, reach)
        self._sequence = 0
        self._near_told = _LastTold()
        self._far_told = _LastTold()
        self._zones_told: dict[str, _LastTold] = {}
        self._changed = asyncio.Event()
        ledger.on_change = self._changed.set
        self.leaving = False

    async def on_start(self) -> None:
        """Open the socket and greet the seeds."""
        own = Address(self._settings.ip, self._settings.peer_port)
        await self._socket.open(own)
        for host in self._settings.seed_hosts:
            self.peers.introduce(host, host)

    async def on_stop(self) -> None:
        """Tell peers that nothing is in flight here any more."""
        self.leaving = True
        near, far = self.peers.part()
        self._send(itertools.chain(near, *far.values()), [])
        self._socket.close()

    def describe_own(self) -> Reader:
        """Describe this instance as peers hear of it."""
        return Reader(
            self._settings.instance,
            self._settings.ip,
            self._settings.zone,
            self._read_provenance(),
        )

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
        if not self.peers.accept(update, now):
            return
        self._reach.note_peer(update.zone, now)
        if update.leaving:
            self._ledger.forget_peer(update.instance)
            return
        self._ledger.accept_peer(update.instance, read_work(update.work), now)
        self._observations.accept_refusing(update.refusing, now)
        self._observations.accept_slow(update.slow, update.instance, now)

    @Service.task
    async def _tell(self) -> None:
        while not self.should_stop:
            changes = (self._ledger.changes, self._read_provenance())
            all_know = self._tell_due(changes, monotonic())
            await asyncio.sleep(_SEND_PERIOD)
            if all_know:
                await self._await_change()

    def _tell_due(self, changes: object, now: float) -> bool:
        """Tell those who are to be told something now.

        Returns
        -------
        bool
            Whether everybody has been told of the changes.
        """
        near, far = self.peers.part()
        works = tell_work(self._ledger.own)
        repeat = _choose_near_repeat(len(near), idle=not works)
        if self._near_told.take_due(changes, now, 0, repeat):
            self._send(near, works)
        if not self.peers.all_told:
            self._tell_zones(far, works, now)
            return True
        others = list(itertools.chain(*far.values()))
        periods = _choose_far_periods(len(others))
        if self._far_told.take_due(changes, now, *periods):
            self._send(others, works)
        return self._far_told.changes == changes

    def _tell_zones(
        self,
        far: dict[str, list[Peer]],
        works: list[ToldWork],
        now: float,
    ) -> None:
        """Tell each zone of work at its engines, and that this one is alive."""
        for zone, members in far.items():
            told = [
                work for work in works if self._find_zone(work.endpoint) == zone
            ]
            last = self._zones_told.setdefault(zone, _LastTold([]))
            # The end of all work is told to each of them as well.
            concerned = bool(told or last.changes)
            if not last.take_due(told, now, 0, _REPEAT_PERIOD):
                continue
            if not concerned:
                # The instances of this zone share those of the other one out,
                # so that each of them hears from one here.
                rank, count = self.peers.rank_own(now)
                members = members[rank::count]
            self._send(members, told)

    async def _await_change(self) -> None:
        """Wait until the own work changes, or is to be told again."""
        self._changed.clear()
        with contextlib.suppress(asyncio.TimeoutError):
            async with asyncio.timeout(_REPEAT_PERIOD - _SEND_PERIOD):
                await self._changed.wait()

    def _send(self, peers: Iterable[Peer], works: list[ToldWork]) -> None:
        self._sequence += 1
        datagram = encode_update(self._build_update(works))
        for peer in peers:
            self._socket.send(datagram, peer.address)

    def _build_update(self, works: list[ToldWork]) -> PeerUpdate:
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
            works,
            self._observations.list_refusing(now),
            self._observations.list_slow(now),
            self._read_provenance(),
            self._find_zone_reader(now),
        )

    def _find_zone_reader(self, now: float) -> ZoneReader | None:
        """Find who tells this zone its tables, for the other zones.

        Where all instances hear each other, each says that of itself.
        """
        if self.peers.all_told:
            return None
        others = self.peers.list_zone_peers(now)
        telling = [
            reader
            for reader in (self.describe_own(), *others)
            if reader.serves_zone
        ]
        first = min(telling, key=lambda reader: reader.rank, default=None)
        if first is None:
            return None
        return ZoneReader(first.instance, first.host, first.provenance)


def _choose_near_repeat(peers: int, idle: bool) -> float:
    """Choose the seconds until the same is told to the own zone again."""
    factor = _IDLE_FACTOR if idle else 1
    return _choose_repeat(peers * factor, _LONGEST_REPEAT * factor)


def _choose_far_periods(peers: int) -> tuple[float, float]:
    """Choose the seconds between changes, and until the same is told again."""
    return (
        min(_LONGEST_FAR_SEND, peers * _FAR_SEND_PERIOD),
        _choose_repeat(peers, _LONGEST_REPEAT),
    )


def _choose_repeat(peers: int, longest: float) -> float:
    return max(_REPEAT_PERIOD, min(longest, peers * _REPEAT_PERIOD_EACH))
