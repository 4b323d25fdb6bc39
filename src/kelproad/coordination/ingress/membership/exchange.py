"""Exchange of work in flight between instances, by datagram.

An engine's own report is hundreds of milliseconds old; a call takes that
long.  Each instance sends its work in flight to all others of its zone, when
it has changed and at most fifty times a second.

Where other zones have few instances, those receive the same reports, at
intervals that grow with their number.  Where they have many, reporting
everything to each of them would dominate an instance's load and the traffic
between zones: they receive only the work at their own engines, so each zone
knows its engines exactly, and queries another zone (``spillover.py``) when it
needs that one's.
"""

import asyncio
import contextlib
import itertools
import logging
import math
from collections.abc import Callable, Iterable

import attrs
from returns.result import Failure

from ....state.directpaths import DirectPaths
from ....state.observations import EngineObservations
from ....state.records import OnceRecorder, record
from ....state.work import WorkLedger
from ....transport.addresses import Address
from ....transport.datagrams import DatagramSocket
from ....transport.deadlines import monotonic
from ....transport.services import BackgroundService, restarted_task
from ..limiting.observing import LimitObserver
from ..settings import NodeSettings
from ..tables.readers import Reader
from ..tables.tablestates import Provenance
from .peers import Peer, PeerRegister
from .periods import (
    MIN_REPEAT_PERIOD,
    SEND_PERIOD,
    LastReport,
    choose_local_repeat,
    choose_remote_periods,
)
from .reachability import ZoneReachability
from .updates import (
    PeerUpdate,
    ReportedWork,
    ZoneReader,
    add_age,
    decode_update,
    encode_update,
    pack_limits,
    pack_work,
    unpack_limits,
    unpack_work,
)

__all__ = ['TableGauges', 'WorkExchange']

_logger = logging.getLogger(__name__)


@attrs.frozen
class TableGauges:
    """How the state of the tables here is read, to be reported.

    Attributes
    ----------
    measure_age
        Returns how many seconds ago the configuration was confirmed.
    read_provenance
        Returns the source of the tables.
    read_configuration
        Returns the version of the configuration in force.
    """

    measure_age: Callable[[], float]
    read_provenance: Callable[[], Provenance | None]
    read_configuration: Callable[[], int | None]


class WorkExchange(BackgroundService):
    """Reports local work to peers, and receives theirs."""

    abstract = False

    def __init__(
        self,
        settings: NodeSettings,
        started_at: int,
        ledger: WorkLedger,
        reachability: ZoneReachability,
        observations: EngineObservations,
        limit_observer: LimitObserver,
        tables: TableGauges,
        find_zone: Callable[[str], str],
        paths: DirectPaths,
    ) -> None:
        """Report a ledger's local work; record the reports of peers.

        ``find_zone`` returns the zone in which an endpoint is located;
        ``paths`` knows which endpoints this instance can't connect to.
        """
        super().__init__()
        self._settings = settings
        self._started_at = started_at
        self._ledger = ledger
        self._reachability = reachability
        self._observations = observations
        self._limit_observer = limit_observer
        self._tables = tables
        self._find_zone = find_zone
        self._paths = paths
        self._recorder = OnceRecorder(_logger)
        self._socket = DatagramSocket(
            self.receive, self.receive, self.count_datagram_failure
        )
        self.peers = PeerRegister(settings, reachability)
        self.peers.on_heard.append(self._greet)
        self._sequence = 0
        self._local_report = LastReport()
        self._remote_report = LastReport()
        self._zone_reports: dict[str, LastReport] = {}
        #: Whether a table has become known here since the last report.
        self._is_news = False
        self._changed = asyncio.Event()
        ledger.on_change = self._changed.set
        self.leaving = False

    async def on_start(self) -> None:
        """Open the socket and add the seeds as peers."""
        address = Address(self._settings.ip, self._settings.peer_port)
        await self._socket.open(address)
        for host in self._settings.seed_hosts:
            self.peers.add(host, host)

    async def on_stop(self) -> None:
        """Send the departure message: nothing is in flight here any more."""
        self.leaving = True
        local, remote = self.peers.part()
        self._send(itertools.chain(local, *remote.values()), [])
        self._socket.close()

    def describe_self(self) -> Reader:
        """Describe this instance as its peers know it."""
        return Reader(
            self._settings.instance,
            self._settings.ip,
            self._settings.zone,
            self._tables.read_provenance(),
        )

    def receive(self, datagram: bytes, host: str, waited: float = 0) -> None:
        """Record a peer's report, unless it is unreadable or replaced.

        It must come from the IP number that it names, as nobody reports for
        another instance, nor from the own one.  What it says is up to
        ``waited`` seconds older than it states.
        """
        decoded = decode_update(datagram)
        if isinstance(decoded, Failure):
            record(_logger, 'peer_update_unreadable', reason=decoded.failure())
            return
        update = decoded.unwrap()
        if update.instance == self._settings.instance:
            return
        if update.host != host or host == self._settings.ip:
            self._recorder.record(
                host, 'peer_update_refused', host=host, named=update.host
            )
            return
        add_age(update, waited)
        now = monotonic()
        if not self.peers.accept(update, now):
            return
        self._reachability.record_peer(update.zone, now)
        if update.leaving:
            self._ledger.forget_peer(update.instance)
            return
        self._ledger.accept_peer(update.instance, unpack_work(update.work), now)
        seen_at = now - waited
        self._observations.accept_refusing(update.refusing, seen_at)
        self._observations.accept_slow(update.slow, update.instance, seen_at)
        self._limit_observer.accept_all(
            unpack_limits(update.limits, update.instance, now)
        )

    def report_soon(self) -> None:
        """Report to all peers at once."""
        self._local_report = LastReport()
        self._remote_report = LastReport()
        # What they were told last is kept, so that its end is told as well.
        for last in self._zone_reports.values():
            last.at = float('-inf')
        self._changed.set()

    def report_tables(self) -> None:
        """Report to all peers at once, as a table is known here again."""
        self._is_news = True
        self.report_soon()

    def _greet(self, host: str) -> None:
        """Report to a peer that is heard for the first time."""
        works = pack_work(self._ledger.local)
        self._send([Peer(Address(host, self._settings.peer_port))], works)

    @restarted_task
    async def _report_changes(self) -> None:
        while not self.should_stop:
            # Before the changes are read, so that none after that is missed.
            self._changed.clear()
            changes = (
                self._ledger.changes,
                self._tables.read_provenance(),
                bool(self._paths.count_lost(monotonic())),
            )
            all_sent = self._send_due_reports(changes, monotonic())
            await asyncio.sleep(SEND_PERIOD)
            if all_sent:
                await self._await_change()

    def _send_due_reports(self, changes: object, now: float) -> bool:
        """Send the reports that are due now.

        Returns
        -------
        bool
            Whether the changes have been sent to all peers.
        """
        local, remote = self.peers.part()
        works = pack_work(self._ledger.local)
        repeat = choose_local_repeat(len(local), idle=not works)
        if self._local_report.mark_if_due(changes, now, 0, repeat):
            self._send(local, works)
        if not self.peers.is_full_mesh:
            self._report_to_zones(remote, works, now)
            return True
        others = list(itertools.chain(*remote.values()))
        periods = choose_remote_periods(len(others))
        if self._remote_report.mark_if_due(changes, now, *periods):
            self._send(others, works)
        return self._remote_report.changes == changes

    def _report_to_zones(
        self,
        remote: dict[str, list[Peer]],
        works: list[ReportedWork],
        now: float,
    ) -> None:
        """Report to each zone the work at its engines, or a keep-alive."""
        reader = self._find_zone_reader(now)
        # Other zones are served by readers of the store only.
        source = self._tables.read_provenance()
        is_news = self._is_news and source is Provenance.STORE
        self._is_news = False
        for zone, members in remote.items():
            reported = [
                work for work in works if self._find_zone(work.endpoint) == zone
            ]
            last = self._zone_reports.setdefault(zone, LastReport([]))
            # The end of all work is reported to each of them as well, and that
            # the store is read here again.
            concerned = is_news or bool(reported or last.changes)
            if not last.mark_if_due(reported, now, 0, MIN_REPEAT_PERIOD):
                continue
            if not concerned:
                # The live instances here divide those of the other zone among
                # themselves, so that each receives from one sender.
                rank, count = self.peers.rank_self(now)
                members = members[rank::count]
            self._send(members, reported, reader)

    async def _await_change(self) -> None:
        """Wait until the local work changes, or a repetition is due."""
        with contextlib.suppress(asyncio.TimeoutError):
            async with asyncio.timeout(MIN_REPEAT_PERIOD - SEND_PERIOD):
                await self._changed.wait()

    def _send(
        self,
        peers: Iterable[Peer],
        works: list[ReportedWork],
        reader: ZoneReader | None = None,
    ) -> None:
        self._sequence += 1
        datagram = encode_update(self._build_update(works, reader))
        for peer in peers:
            self._socket.send(datagram, peer.address)

    def _build_update(
        self,
        works: list[ReportedWork],
        reader: ZoneReader | None = None,
    ) -> PeerUpdate:
        now = monotonic()
        age = self._tables.measure_age()
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
            self._tables.read_provenance(),
            reader,
            pack_limits(self._limit_observer.limits.list_reported(now), now),
            self._paths.count_lost(now),
            self._tables.read_configuration(),
        )

    def _find_zone_reader(self, now: float) -> ZoneReader | None:
        """Find the instance that serves tables here, to name it to other zones.

        Peers of the zone need no such name: each of them hears all others.
        """
        others = self.peers.list_zone_peers(now)
        serving = [
            reader
            for reader in (self.describe_self(), *others)
            if reader.serves_zone
        ]
        first = min(serving, key=lambda reader: reader.rank, default=None)
        if first is None:
            return None
        return ZoneReader(first.instance, first.host, first.provenance)
