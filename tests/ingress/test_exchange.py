"""What instances tell each other, and what follows from silence."""

import asyncio

import pytest

from kelproad.coordination.ingress import exchange as exchange_module
from kelproad.coordination.ingress.exchange import WorkExchange
from kelproad.coordination.ingress.peers import MAX_FULL_MESH_PEERS
from kelproad.coordination.ingress.reachability import (
    SILENT_SECONDS,
    ZoneReachability,
)
from kelproad.coordination.ingress.settings import NodeSettings
from kelproad.coordination.ingress.tablestates import Provenance
from kelproad.coordination.ingress.updates import (
    PeerUpdate,
    decode_update,
    pack_work,
)
from kelproad.state.observations import EngineObservations
from kelproad.state.work import FORGET_AFTER, EndpointWork, WorkLedger
from kelproad.transport.addresses import Address


class Clock:
    """A clock that tests set."""

    def __init__(self) -> None:
        """Start at a thousand seconds."""
        self.now = 1000


class Wire:
    """Keeps what one exchange would send."""

    def __init__(self) -> None:
        """Start with nothing sent."""
        self.datagrams: list[bytes] = []

    def send(self, datagram: bytes, _address: Address) -> None:
        """Keep a datagram."""
        self.datagrams.append(datagram)


@pytest.fixture
def clock(monkeypatch: pytest.MonkeyPatch) -> Clock:
    """Put a clock of the test's own in the place of the real one."""
    own = Clock()
    monkeypatch.setattr(exchange_module, 'monotonic', lambda: own.now)
    return own


class Instance:
    """The parts of an instance that exchange work."""

    def __init__(self, name: str, zone: str, age: float = 0) -> None:
        """Stand in a zone, with a configuration of an age."""
        self.ledger = WorkLedger()
        self.reach = ZoneReachability()
        self.observations = EngineObservations()
        self.age = age
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
            self.reach,
            self.observations,
            lambda: self.age,
            lambda: None,
            lambda endpoint: self.zones.get(endpoint, ''),
        )
        self.wire = Wire()
        self.exchange._socket = self.wire

    def tell(self) -> bytes:
        """Build the next datagram."""
        self.exchange.peers.add('somebody', '10.9.9.9')
        works = pack_work(self.ledger.local)
        self.exchange._send(self.exchange.peers._peers.values(), works)
        return self.wire.datagrams[-1]


@pytest.fixture
def here(clock: Clock) -> Instance:
    """Stand in zone a."""
    return Instance('a', 'zone-a')


@pytest.fixture
def there(clock: Clock) -> Instance:
    """Stand in zone b, with a call at an engine."""
    made = Instance('bb', 'zone-b')
    made.ledger.begin('i-1', EndpointWork(1, 5000, 0.25, 1))
    return made


def test_work_of_a_peer_counts(here: Instance, there: Instance) -> None:
    """What a peer sent to an engine is seen here, and goes with its end."""
    here.exchange.receive(there.tell())
    assert here.ledger.sum_at('i-1', 1000).context_tokens == 5000
    there.ledger.end('i-1', EndpointWork(1, 5000, 0.25, 1))
    here.exchange.receive(there.tell())
    assert here.ledger.sum_at('i-1', 1000).idle


def test_datagrams_that_overtake_are_left_aside(
    here: Instance,
    there: Instance,
) -> None:
    """An older datagram arrives last; its work has ended since."""
    older = there.tell()
    there.ledger.end('i-1', EndpointWork(1, 5000, 0.25, 1))
    here.exchange.receive(there.tell())
    here.exchange.receive(older)
    assert here.ledger.sum_at('i-1', 1000).idle


def test_work_of_a_dead_peer_is_forgotten(
    here: Instance,
    there: Instance,
) -> None:
    """A peer dies; its calls die with it and must not block engines."""
    here.exchange.receive(there.tell())
    assert here.ledger.sum_at('i-1', 1000 + FORGET_AFTER).idle


def test_a_refusal_to_help_is_told_to_peers(
    here: Instance,
    there: Instance,
    clock: Clock,
) -> None:
    """An engine drains unseen: each instance had to be refused by itself."""
    there.observations.record_refusal('i-1', clock.now)
    here.exchange.receive(there.tell())
    assert here.observations.refuses_help('i-1', clock.now)
    assert not here.observations.refuses_help('i-2', clock.now)
    assert not here.observations.refuses_help('i-1', clock.now + 2)


def test_bytes_that_are_no_news_change_nothing(here: Instance) -> None:
    """Anybody may send to the port."""
    for datagram in (b'', b'\xc1', b'\x93\x01\x02\x03', b'x' * 2000):
        here.exchange.receive(datagram)
    assert here.exchange.peers.count_live(1000) == 1


def test_a_silent_zone_is_doubted_until_it_answers(
    here: Instance,
    there: Instance,
) -> None:
    """All instances of a zone fall silent at once.

    The zone is cut off: calls sent there would wait for a connection that
    never comes.  When only the instances are gone, its endpoints answer and
    are used again; a failed connection renews the doubt.
    """
    here.exchange.receive(there.tell())
    assert not here.reach.is_suspect('zone-b', 1000)
    later = 1000 + SILENT_SECONDS
    assert here.reach.is_suspect('zone-b', later)
    assert not here.reach.is_suspect('zone-c', later)
    here.reach.record_answer('zone-b', later + 1)
    assert not here.reach.is_suspect('zone-b', later + 2)
    here.reach.record_connect_failure('zone-b', later + 3)
    assert here.reach.is_suspect('zone-b', later + 4)


def test_one_call_a_second_tries_a_doubtful_zone(here: Instance) -> None:
    """Otherwise nothing would ever tell that it can be reached."""
    assert here.reach.take_probe('zone-b', 1000)
    assert not here.reach.take_probe('zone-b', 1000.5)
    assert here.reach.take_probe('zone-b', 1001)


def test_callers_are_sent_to_who_knows_better(
    here: Instance,
    there: Instance,
    clock: Clock,
) -> None:
    """One instance lost the store; another still reaches it, or does not."""
    assert not here.exchange.peers.is_confirmed_elsewhere(clock.now)
    here.exchange.receive(there.tell())
    assert here.exchange.peers.is_confirmed_elsewhere(clock.now)
    there.age = 5
    clock.now += 1
    here.exchange.receive(there.tell())
    assert not here.exchange.peers.is_confirmed_elsewhere(clock.now)
    # Nobody is heard any more: it is this one that is cut off.
    assert here.exchange.peers.is_confirmed_elsewhere(clock.now + 10)


def test_a_zone_that_is_cut_off_sends_callers_to_others(
    here: Instance,
    there: Instance,
    clock: Clock,
) -> None:
    """A zone hears only itself: its callers waited a second and were late."""
    beside = Instance('aaa', 'zone-a')
    here.exchange.receive(beside.tell())
    here.exchange.receive(there.tell())
    clock.now += SILENT_SECONDS
    beside.age = 5
    here.exchange.receive(beside.tell())
    assert here.exchange.peers.is_confirmed_elsewhere(clock.now)
    there.age = 5
    here.exchange.receive(there.tell())
    assert not here.exchange.peers.is_confirmed_elsewhere(clock.now)


def test_a_clock_set_back_silences_nobody(
    here: Instance,
    there: Instance,
    clock: Clock,
) -> None:
    """A peer restarts after its time of day was set back.

    Its datagrams look older than those of its former life; they must be taken
    all the same, or its work would never be seen again.
    """
    there.exchange._started_at = 500
    here.exchange.receive(there.tell())
    there.exchange._started_at = 400
    there.exchange._sequence = 0
    clock.now += 5
    here.exchange.receive(there.tell())
    assert not here.ledger.sum_at('i-1', clock.now).idle


def test_other_zones_are_told_more_rarely_the_more_there_are() -> None:
    """Each of 64 instances tells 42 in other zones of each change.

    That was 130 MB between zones in half a minute, mostly news that another
    datagram replaced before anybody used them.  A few peers are told at once.
    """
    few, _ = exchange_module._choose_remote_periods(5)
    assert few < exchange_module._SEND_PERIOD
    many, repeat = exchange_module._choose_remote_periods(42)
    assert many == pytest.approx(0.105)
    assert repeat <= FORGET_AFTER / 3
    most, _ = exchange_module._choose_remote_periods(300)
    assert most <= FORGET_AFTER / 3


def test_what_did_not_change_is_told_again_later() -> None:
    """A datagram may be lost, so the same is told again, but not at once."""
    told = exchange_module._LastReport()
    assert told.mark_if_due(1, 100, 0.1, 0.5)
    assert not told.mark_if_due(1, 100.2, 0.1, 0.5)
    assert not told.mark_if_due(2, 100.05, 0.1, 0.5)
    assert told.mark_if_due(2, 100.2, 0.1, 0.5)
    assert told.mark_if_due(2, 100.7, 0.1, 0.5)


async def test_new_work_is_told_at_once(clock: Clock) -> None:
    """Two long prompts come 20 ms apart, at instances of two zones.

    The second instance had not heard of the first prompt yet and had the same
    engines read both: each stream there paused for 0.34 s.
    """
    instance = Instance('a', 'zone-a')
    instance.exchange.peers.add('bb', '10.0.0.2')
    telling = asyncio.create_task(
        WorkExchange._report_changes.fun(instance.exchange)
    )
    await asyncio.sleep(0.1)
    before = len(instance.wire.datagrams)
    instance.ledger.begin('engine', EndpointWork(calls=1))
    await asyncio.sleep(0.005)
    telling.cancel()
    assert len(instance.wire.datagrams) == before + 1


# Large fleets


class Hosts:
    """Keeps to whom one exchange sent what."""

    def __init__(self) -> None:
        """Start with nothing sent."""
        self.sent: dict[str, list[PeerUpdate]] = {}

    def send(self, datagram: bytes, address: Address) -> None:
        """Keep a datagram by its host."""
        update = decode_update(datagram).unwrap()
        self.sent.setdefault(address.host, []).append(update)


ZONES = 5
MATES = 39


@pytest.fixture
def large(here: Instance, clock: Clock) -> Instance:
    """Stand in the first zone of a large fleet, of which all are heard."""
    for zone in range(ZONES):
        for number in range(MATES):
            here.exchange.peers.add(
                f'edge-{zone}-{number:02}',
                f'10.{zone}.1.{number}',
                'zone-a' if zone == 0 else f'zone-{zone}',
            )
    for peer in here.exchange.peers._peers.values():
        peer.received_at = clock.now
    here.exchange._socket = Hosts()
    return here


def tell_for(instance: Instance, clock: Clock, seconds: float) -> Hosts:
    """Have an exchange tell what is due for some seconds."""
    hosts = Hosts()
    instance.exchange._socket = hosts
    until = clock.now + seconds
    while clock.now < until:
        for peer in instance.exchange.peers._peers.values():
            peer.received_at = clock.now
        instance.exchange._send_due_reports(instance.ledger.changes, clock.now)
        clock.now += exchange_module._SEND_PERIOD
    return hosts


def test_an_idle_instance_of_a_large_fleet_says_little(
    large: Instance,
    clock: Clock,
) -> None:
    """195 instances sent 86,000 datagrams a second that said nothing new."""
    large.exchange._send_due_reports(0, clock.now)
    seconds = 10
    hosts = tell_for(large, clock, seconds)
    sent = sum(map(len, hosts.sent.values()))
    assert sent / seconds < 70


def test_another_zone_is_told_of_work_at_its_own_engines_only(
    large: Instance,
    clock: Clock,
) -> None:
    """Everything told to everybody was 340 MB between zones in 41 s."""
    large.zones = {'i-near': 'zone-a', 'i-far': 'zone-1'}
    large.ledger.begin('i-near', EndpointWork(1, 5000, 0.1, 1))
    large.ledger.begin('i-far', EndpointWork(1, 7000, 0.1, 1))
    hosts = tell_for(large, clock, 0.1)
    for host, updates in hosts.sent.items():
        told = {work.endpoint for work in updates[-1].work}
        in_zone = host.split('.')[1]
        expected = {'0': {'i-near', 'i-far'}, '1': {'i-far'}}
        assert told == expected.get(in_zone, set())
    concerned = [host for host in hosts.sent if host.startswith('10.1.')]
    assert len(concerned) == MATES
    large.ledger.end('i-far', EndpointWork(1, 7000, 0.1, 1))
    ended = tell_for(large, clock, 0.1)
    assert sum(host.startswith('10.1.') for host in ended.sent) == MATES


@pytest.mark.parametrize('others', [20, 39, 51])
def test_each_instance_hears_of_each_zone_often(
    others: int,
    here: Instance,
    clock: Clock,
) -> None:
    """A zone that is silent for 0.7 s is doubted, so none may be by chance."""
    heard: dict[str, int] = {}
    for rank in range(MATES):
        instance = Instance(f'edge-a-{rank:02}', 'zone-a')
        for number in range(MATES):
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
        instance.exchange._socket = Hosts()
        instance.exchange._send_due_reports(0, clock.now)
        for host in instance.exchange._socket.sent:
            heard[host] = heard.get(host, 0) + 1
    hearing = [host for host in heard if host.startswith('10.1.')]
    assert len(hearing) == others
    most = max(heard[host] for host in hearing)
    assert most <= -(-MATES // others)


def test_who_tells_a_zone_its_tables_is_known_in_other_zones(
    large: Instance,
    clock: Clock,
) -> None:
    """A zone's readers must find the one that reads the store for all.

    Only one instance of another zone sends here, and mostly not that one.
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
    large.exchange.receive(there.tell())
    known = {
        reader.instance: reader.provenance
        for reader in large.exchange.peers.list_live(clock.now)
    }
    assert known == {'edge-1-00': Provenance.STORE, 'edge-1-07': None}


def test_instances_of_zones_that_are_heard_count_as_live(
    large: Instance,
    clock: Clock,
) -> None:
    """Each takes its part of the retries permitted to all: few hear few."""
    own_zone = 1 + MATES
    assert large.exchange.peers.count_live(clock.now) == own_zone
    large.reach.record_peer('zone-1', clock.now)
    assert large.exchange.peers.count_live(clock.now) == own_zone + MATES
