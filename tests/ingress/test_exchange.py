"""Reports between instances, and the effects of silent peers and zones."""

import asyncio
import types

import pytest

from kelproad.coordination.ingress.membership import exchange as exchange_module
from kelproad.coordination.ingress.membership import peers as peers_module
from kelproad.coordination.ingress.membership.exchange import (
    TableGauges,
    WorkExchange,
)
from kelproad.coordination.ingress.membership.peers import MAX_FULL_MESH_PEERS
from kelproad.coordination.ingress.membership.periods import (
    SEND_PERIOD,
    LastReport,
    choose_remote_periods,
)
from kelproad.coordination.ingress.membership.reachability import (
    SILENT_SECONDS,
    ZoneReachability,
)
from kelproad.coordination.ingress.membership.updates import (
    PeerUpdate,
    decode_update,
    pack_work,
)
from kelproad.coordination.ingress.settings import NodeSettings
from kelproad.coordination.ingress.tables.confirming import (
    ConfirmedElsewhere,
)
from kelproad.coordination.ingress.tables.tablestates import Provenance
from kelproad.state.directpaths import DirectPaths
from kelproad.state.observations import EngineObservations
from kelproad.state.requestlimits import LimitNotice
from kelproad.state.work import FORGET_AFTER, EndpointWork, WorkLedger
from kelproad.transport.addresses import Address
from tests.ingress.limits import build_observer


class Clock:
    """A clock set by tests."""

    def __init__(self) -> None:
        """Start at 1000 s."""
        self.now = 1000


class RecordingSocket:
    """A fake socket that records datagrams."""

    def __init__(self) -> None:
        """Start with nothing sent."""
        self.datagrams: list[bytes] = []

    def send(self, datagram: bytes, _address: Address) -> None:
        """Record a datagram."""
        self.datagrams.append(datagram)


@pytest.fixture
def clock(monkeypatch: pytest.MonkeyPatch) -> Clock:
    """Replace the clocks of the exchange."""
    fake = Clock()
    monkeypatch.setattr(exchange_module, 'monotonic', lambda: fake.now)
    monkeypatch.setattr(peers_module, 'read_boottime', lambda: fake.now)
    return fake


class Instance:
    """The parts of an instance that exchange work."""

    def __init__(self, name: str, zone: str, age: float = 0) -> None:
        """Create one in a zone, with the age of its tables in seconds."""
        self.ledger = WorkLedger()
        self.reachability = ZoneReachability()
        self.observations = EngineObservations()
        self.observer = build_observer()
        self.age = age
        self.provenance: Provenance | None = None
        self.zones: dict[str, str] = {}
        number = len(name)
        settings = NodeSettings(
            instance=name,
            zone=zone,
            ip=f'10.0.0.{number}',
            caller_address=Address('10.0.0.1', 1),
            ready_address=Address('10.0.0.1', 2),
            peer_port=7340,
            store_address=Address('10.0.0.9', 3),
        )
        self.exchange = WorkExchange(
            settings,
            1,
            self.ledger,
            self.reachability,
            self.observations,
            self.observer,
            TableGauges(
                lambda: self.age, lambda: self.provenance, lambda: None
            ),
            lambda endpoint: self.zones.get(endpoint, ''),
            DirectPaths(),
        )
        self.socket = RecordingSocket()
        self.exchange._socket = self.socket

    def hear(self, datagram: bytes, waited: float = 0) -> None:
        """Receive a datagram from the address that it names."""
        update = decode_update(datagram)
        host = update.map(lambda decoded: decoded.host).value_or('10.0.0.9')
        self.exchange.receive(datagram, host, waited)

    def build_report(self) -> bytes:
        """Return the next datagram that it would send."""
        self.exchange.peers.add('somebody', '10.9.9.9')
        works = pack_work(self.ledger.local)
        reader = self.exchange._find_zone_reader(exchange_module.monotonic())
        self.exchange._send(self.exchange.peers._peers.values(), works, reader)
        return self.socket.datagrams[-1]


@pytest.fixture
def here(clock: Clock) -> Instance:
    """Create an instance in zone a."""
    return Instance('a', 'zone-a')


@pytest.fixture
def there(clock: Clock) -> Instance:
    """Create an instance in zone b with a call at an engine."""
    made = Instance('bb', 'zone-b')
    made.ledger.begin('i-1', EndpointWork(1, 5000, 0.25, 1))
    return made


def test_work_of_a_peer_counts(here: Instance, there: Instance) -> None:
    """Work that a peer sent to an engine is counted until it ends."""
    here.hear(there.build_report())
    assert here.ledger.sum_at('i-1', 1000).context_tokens == 5000
    there.ledger.end('i-1', EndpointWork(1, 5000, 0.25, 1))
    here.hear(there.build_report())
    assert here.ledger.sum_at('i-1', 1000).idle


def test_limits_are_reported_with_their_age(
    clock: Clock,
    here: Instance,
    there: Instance,
) -> None:
    """A report on the way for long must not undo a newer answer."""
    there.observer.accept('i-1', LimitNotice(2, '1', 999))
    late = there.build_report()
    here.hear(late)
    assert here.observer.limits.find('i-1', '1').rate == 2
    assert here.observer.limits.find('i-1', '1').source == 'bb'
    assert not here.observer.limits.list_reported(1000)
    clock.now = 1001
    there.observer.accept('i-1', LimitNotice(None, '1', 1001))
    here.hear(there.build_report())
    here.hear(late)
    assert here.observer.limits.find('i-1', '1') is None


def test_a_report_that_waited_undoes_no_newer_one(
    clock: Clock,
    here: Instance,
    there: Instance,
) -> None:
    """A process that wakes up would take up a limit that has ended again."""
    there.observer.accept('i-1', LimitNotice(2, '1', 999))
    waiting = there.build_report()
    clock.now = 1003
    here.observer.accept('i-1', LimitNotice(2, '1', 999))
    here.observer.accept('i-1', LimitNotice(None, '1', 1001))
    here.hear(waiting, waited=3)
    assert here.observer.limits.find('i-1', '1') is None
    assert here.exchange.peers.count_live(clock.now) == 2


def test_reordered_datagrams_are_ignored(
    here: Instance,
    there: Instance,
) -> None:
    """A datagram arrives late; the work that it reports has ended."""
    older = there.build_report()
    there.ledger.end('i-1', EndpointWork(1, 5000, 0.25, 1))
    here.hear(there.build_report())
    here.hear(older)
    assert here.ledger.sum_at('i-1', 1000).idle


def test_work_of_a_dead_peer_is_forgotten(
    here: Instance,
    there: Instance,
) -> None:
    """A peer exits; its calls end with it and must not occupy engines."""
    here.hear(there.build_report())
    assert here.ledger.sum_at('i-1', 1000 + FORGET_AFTER).idle


def test_a_refusal_to_help_is_reported_to_peers(
    here: Instance,
    there: Instance,
    clock: Clock,
) -> None:
    """A draining engine must not have to refuse each instance in turn."""
    there.observations.record_refusal('i-1', clock.now)
    here.hear(there.build_report())
    assert here.observations.refuses_help('i-1', clock.now)
    assert not here.observations.refuses_help('i-2', clock.now)
    assert not here.observations.refuses_help('i-1', clock.now + 2)


def test_invalid_datagrams_are_ignored(here: Instance) -> None:
    """The port accepts datagrams from any sender."""
    for datagram in (b'', b'\xc1', b'\x93\x01\x02\x03', b'x' * 2000):
        here.hear(datagram)
    assert here.exchange.peers.count_live(1000) == 1


def test_a_silent_zone_is_suspect_until_it_answers(
    here: Instance,
    there: Instance,
) -> None:
    """All instances of a zone fall silent at once.

    If the zone is partitioned, calls sent there would wait for a connection
    that is never made.  If only its instances have exited, its endpoints answer
    and are used again.  A failed connection makes the zone suspect again.
    """
    here.hear(there.build_report())
    assert not here.reachability.is_suspect('zone-b', 1000)
    later = 1000 + SILENT_SECONDS
    assert here.reachability.is_suspect('zone-b', later)
    assert not here.reachability.is_suspect('zone-c', later)
    here.reachability.record_answer('zone-b', later + 1)
    assert not here.reachability.is_suspect('zone-b', later + 2)
    here.reachability.record_connect_failure('zone-b', later + 3)
    assert here.reachability.is_suspect('zone-b', later + 4)


def test_one_call_a_second_probes_a_suspect_zone(here: Instance) -> None:
    """Without a probe its recovery would never be detected."""
    assert here.reachability.take_probe('zone-b', 1000)
    assert not here.reachability.take_probe('zone-b', 1000.5)
    assert here.reachability.take_probe('zone-b', 1001)


def test_callers_are_sent_to_instances_with_current_tables(
    here: Instance,
    there: Instance,
    clock: Clock,
) -> None:
    """One instance lost the store; a peer may still reach it."""
    judge = here.exchange.peers.judge_confirmed
    assert judge(clock.now) is ConfirmedElsewhere.NOWHERE
    here.hear(there.build_report())
    assert judge(clock.now) is ConfirmedElsewhere.WIDELY
    there.age = 5
    clock.now += 1
    here.hear(there.build_report())
    assert judge(clock.now) is ConfirmedElsewhere.NOWHERE
    # No peer is received any more: this instance is the one cut off.
    assert judge(clock.now + 10) is ConfirmedElsewhere.PRESUMABLY


def test_a_partitioned_zone_sends_callers_to_other_zones(
    here: Instance,
    there: Instance,
    clock: Clock,
) -> None:
    """An instance receives only its own zone, whose tables are stale.

    Its callers would otherwise wait and miss their deadlines.
    """
    neighbour = Instance('aaa', 'zone-a')
    here.hear(neighbour.build_report())
    here.hear(there.build_report())
    clock.now += SILENT_SECONDS
    neighbour.age = 5
    here.hear(neighbour.build_report())
    judge = here.exchange.peers.judge_confirmed
    # The other zone reported to be confirmed, and then, too long ago.
    assert judge(clock.now) is ConfirmedElsewhere.WIDELY
    clock.now += 1.5
    assert judge(clock.now) is ConfirmedElsewhere.PRESUMABLY
    there.age = 5
    here.hear(there.build_report())
    assert judge(clock.now) is ConfirmedElsewhere.NOWHERE


def test_reports_are_accepted_after_a_clock_is_set_back(
    here: Instance,
    there: Instance,
    clock: Clock,
) -> None:
    """A peer restarts after its time of day was set back.

    Its datagrams look older than those of its previous incarnation; they must
    still be accepted, or its work would never be counted again.
    """
    there.exchange._started_at = 500
    here.hear(there.build_report())
    there.exchange._started_at = 400
    there.exchange._sequence = 0
    clock.now += 5
    here.hear(there.build_report())
    assert not here.ledger.sum_at('i-1', clock.now).idle


def test_many_remote_peers_get_reports_at_longer_periods() -> None:
    """Each of 64 instances reports each change to 42 in other zones.

    That was 130 MB between zones in half a minute, mostly reports that were
    superseded before they were used.  A few peers get reports at once.
    """
    few, _ = choose_remote_periods(5)
    assert few < SEND_PERIOD
    many, repeat = choose_remote_periods(42)
    assert many == pytest.approx(0.105)
    assert repeat <= FORGET_AFTER / 3
    most, _ = choose_remote_periods(300)
    assert most <= FORGET_AFTER / 3


def test_an_unchanged_report_is_repeated_later() -> None:
    """A report is repeated as datagrams may be lost, but not at once."""
    last_report = LastReport()
    assert last_report.mark_if_due(1, 100, 0.1, 0.5)
    assert not last_report.mark_if_due(1, 100.2, 0.1, 0.5)
    assert not last_report.mark_if_due(2, 100.05, 0.1, 0.5)
    assert last_report.mark_if_due(2, 100.2, 0.1, 0.5)
    assert last_report.mark_if_due(2, 100.7, 0.1, 0.5)


async def test_new_work_is_reported_at_once(clock: Clock) -> None:
    """Two long prompts arrive 20 ms apart at instances of two zones.

    If the second instance has not yet received a report of the first prompt, it
    has the same engines prefill both: each stream there stalled for 0.34 s.
    """
    instance = Instance('a', 'zone-a')
    instance.exchange.peers.add('bb', '10.0.0.2')
    reporting = asyncio.create_task(
        WorkExchange._report_changes.fun(instance.exchange)
    )
    await asyncio.sleep(0.1)
    before = len(instance.socket.datagrams)
    instance.ledger.begin('engine', EndpointWork(calls=1))
    await asyncio.sleep(0.005)
    reporting.cancel()
    assert len(instance.socket.datagrams) == before + 1


async def test_a_change_right_after_a_report_is_not_forgotten() -> None:
    """The end of a short call was reported 0.2 s late, with the next repeat."""
    instance = Instance('a', 'zone-a')
    instance.exchange.peers.add('bb', '10.0.0.2')
    reporting = asyncio.create_task(
        WorkExchange._report_changes.fun(instance.exchange)
    )
    await asyncio.sleep(0.1)
    work = EndpointWork(calls=1)
    instance.ledger.begin('engine', work)
    await asyncio.sleep(0.005)
    instance.ledger.end('engine', work)
    await asyncio.sleep(0.1)
    reporting.cancel()
    assert not decode_update(instance.socket.datagrams[-1]).unwrap().work


# Large fleets


class UpdatesByHost:
    """A fake socket that records updates by their destination host."""

    def __init__(self) -> None:
        """Start with nothing sent."""
        self.sent: dict[str, list[PeerUpdate]] = {}

    def send(self, datagram: bytes, address: Address) -> None:
        """Decode and record a datagram."""
        update = decode_update(datagram).unwrap()
        self.sent.setdefault(address.host, []).append(update)


ZONES = 5
PEERS_PER_ZONE = 39


@pytest.fixture
def large(here: Instance, clock: Clock) -> Instance:
    """Create an instance in a large fleet, all of whose peers are live."""
    for zone in range(ZONES):
        for number in range(PEERS_PER_ZONE):
            here.exchange.peers.add(
                f'edge-{zone}-{number:02}',
                f'10.{zone}.1.{number}',
                'zone-a' if zone == 0 else f'zone-{zone}',
            )
    for peer in here.exchange.peers._peers.values():
        peer.received_at = clock.now
    here.exchange._socket = UpdatesByHost()
    return here


def send_reports_for(
    instance: Instance, clock: Clock, seconds: float
) -> UpdatesByHost:
    """Send the reports that are due within some seconds, all peers live."""
    hosts = UpdatesByHost()
    instance.exchange._socket = hosts
    until = clock.now + seconds
    while clock.now < until:
        for peer in instance.exchange.peers._peers.values():
            peer.received_at = clock.now
        instance.exchange._send_due_reports(instance.ledger.changes, clock.now)
        clock.now += SEND_PERIOD
    return hosts


def test_an_idle_instance_of_a_large_fleet_reports_rarely(
    large: Instance,
    clock: Clock,
) -> None:
    """195 idle instances sent 86,000 datagrams a second without changes."""
    large.exchange._send_due_reports(0, clock.now)
    seconds = 10
    hosts = send_reports_for(large, clock, seconds)
    sent = sum(map(len, hosts.sent.values()))
    assert sent / seconds < 70


def test_remote_zones_get_reports_of_their_local_work_only(
    large: Instance,
    clock: Clock,
) -> None:
    """Reporting all work to all zones was 340 MB between them in 41 s."""
    large.zones = {'i-near': 'zone-a', 'i-far': 'zone-1'}
    large.ledger.begin('i-near', EndpointWork(1, 5000, 0.1, 1))
    large.ledger.begin('i-far', EndpointWork(1, 7000, 0.1, 1))
    hosts = send_reports_for(large, clock, 0.1)
    for host, updates in hosts.sent.items():
        reported = {work.endpoint for work in updates[-1].work}
        zone_number = host.split('.')[1]
        expected = {'0': {'i-near', 'i-far'}, '1': {'i-far'}}
        assert reported == expected.get(zone_number, set())
    notified = [host for host in hosts.sent if host.startswith('10.1.')]
    assert len(notified) == PEERS_PER_ZONE
    large.ledger.end('i-far', EndpointWork(1, 7000, 0.1, 1))
    ended = send_reports_for(large, clock, 0.1)
    assert (
        sum(host.startswith('10.1.') for host in ended.sent) == PEERS_PER_ZONE
    )


@pytest.mark.parametrize('others', [20, 39, 51])
def test_each_instance_receives_reports_of_each_zone(
    others: int,
    here: Instance,
    clock: Clock,
) -> None:
    """A zone silent for 0.7 s is suspect, so no peer may be left without.

    Nor may one receive more than its share of the reports.
    """
    received_counts: dict[str, int] = {}
    for rank in range(PEERS_PER_ZONE):
        instance = Instance(f'edge-a-{rank:02}', 'zone-a')
        for number in range(PEERS_PER_ZONE):
            name = f'edge-a-{number:02}'
            instance.exchange.peers.add(name, f'10.0.2.{number}', 'zone-a')
        for number in range(others):
            instance.exchange.peers.add(
                f'edge-b-{number:02}',
                f'10.1.1.{number}',
                'zone-b',
            )
        for number in range(MAX_FULL_MESH_PEERS):
            instance.exchange.peers.add(
                f'edge-c-{number:02}',
                f'10.2.1.{number}',
                'zone-c',
            )
        for peer in instance.exchange.peers._peers.values():
            peer.received_at = clock.now
        instance.exchange._socket = UpdatesByHost()
        instance.exchange._send_due_reports(0, clock.now)
        for host in instance.exchange._socket.sent:
            received_counts[host] = received_counts.get(host, 0) + 1
    receivers = [host for host in received_counts if host.startswith('10.1.')]
    assert len(receivers) == others
    max_received = max(received_counts[host] for host in receivers)
    assert max_received <= -(-PEERS_PER_ZONE // others)


def test_the_relay_of_a_zone_is_known_in_other_zones(
    large: Instance,
    clock: Clock,
) -> None:
    """The instance that reads the store for its zone must be found by others.

    Only one instance of another zone sends here, and mostly another one.
    """
    there = Instance('edge-1-07', 'zone-1')
    for number in range(MAX_FULL_MESH_PEERS + 1):
        there.exchange.peers.add(
            f'edge-a-{number}',
            f'10.0.1.{number}',
            'zone-a',
        )
    there.exchange.peers.add('edge-1-00', '10.1.1.0', 'zone-1')
    reader = there.exchange.peers._peers['edge-1-00']
    reader.received_at = clock.now
    reader.provenance = Provenance.STORE
    clock.now += 5
    reader.received_at = clock.now
    large.hear(there.build_report())
    known = {
        reader.instance: reader.provenance
        for reader in large.exchange.peers.list_live(clock.now)
    }
    assert known == {'edge-1-00': Provenance.STORE, 'edge-1-07': None}


def test_instances_of_reachable_zones_count_as_live(
    large: Instance,
    clock: Clock,
) -> None:
    """The retry budget is divided among the live instances.

    Only few instances of a remote zone report to this one, so all of the zone
    must count.
    """
    local_zone = 1 + PEERS_PER_ZONE
    assert large.exchange.peers.count_live(clock.now) == local_zone
    large.reachability.record_peer('zone-1', clock.now)
    assert (
        large.exchange.peers.count_live(clock.now)
        == local_zone + PEERS_PER_ZONE
    )


def test_nobody_reports_for_another_instance(
    here: Instance, there: Instance
) -> None:
    """Anybody could say that an instance leaves or that engines are slow."""
    here.exchange.receive(there.build_report(), '10.0.0.9')
    assert here.exchange.peers.count_live(1000) == 1
    assert here.ledger.sum_at('i-1', 1000).idle


async def test_regained_tables_are_reported_at_once() -> None:
    """Guards against callers refused where peers could be told of the store."""
    instance = Instance('a', 'zone-a', age=9)
    sent = UpdatesByHost().sent
    instance.exchange._socket = types.SimpleNamespace(
        send=lambda datagram, address: sent.setdefault(address.host, []).append(
            decode_update(datagram).unwrap()
        )
    )
    instance.exchange.peers.add('bb', '10.0.0.2', 'zone-a')
    instance.exchange.peers.add('ccc', '10.0.0.3', 'zone-b')
    reporting = asyncio.create_task(
        WorkExchange._report_changes.fun(instance.exchange)
    )
    await asyncio.sleep(0.1)
    # One of two tables is known again, then the other one.
    instance.age = 0.4
    instance.exchange.report_tables()
    await asyncio.sleep(0.03)
    instance.provenance = Provenance.STORE
    instance.exchange.report_tables()
    await asyncio.sleep(0.03)
    reporting.cancel()
    told = {
        host: [
            (update.unconfirmed_for, update.provenance) for update in updates
        ]
        for host, updates in sent.items()
    }
    reports = [(9, None), (0.4, None), (0.4, Provenance.STORE)]
    assert told == {'10.0.0.2': reports, '10.0.0.3': reports}


def test_all_of_a_large_fleet_hear_once_who_reads_the_store_again(
    large: Instance, clock: Clock
) -> None:
    """Guards against zones that hear it from one sender after another."""
    send_reports_for(large, clock, SEND_PERIOD)
    large.provenance = Provenance.STORE
    large.exchange.report_tables()
    told = send_reports_for(large, clock, SEND_PERIOD / 2).sent
    remote = [host for host in told if not host.startswith('10.0.')]
    assert len(remote) == (ZONES - 1) * PEERS_PER_ZONE
    for host in remote:
        readers = [update.zone_reader.provenance for update in told[host]]
        assert readers == [Provenance.STORE]
    again = send_reports_for(large, clock, SEND_PERIOD / 2).sent
    assert not set(remote) & set(again)
