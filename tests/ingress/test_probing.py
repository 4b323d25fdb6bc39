"""Asking by datagram whether tables have changed."""

import asyncio

import pytest

from kelproad.coordination.ingress import probing as probing_module
from kelproad.coordination.ingress import relaying as relaying_module
from kelproad.coordination.ingress.probing import TableProbe
from kelproad.coordination.ingress.queries import PeerQueries, TablesReply
from kelproad.coordination.ingress.readers import Reader, ReaderSelector
from kelproad.coordination.ingress.relaying import TableRelay
from kelproad.coordination.ingress.settings import NodeSettings
from kelproad.coordination.ingress.tables import TableFreshness
from kelproad.coordination.ingress.tablestates import Provenance
from kelproad.state.counters import Counters
from kelproad.transport.addresses import Address
from kelproad.transport.deadlines import monotonic

TABLE = 'op'
FRESH = TableFreshness(9, 5, 0.4, None)


class Network:
    """Hands datagrams on by host, and loses some."""

    def __init__(self) -> None:
        """Start with nobody on it."""
        self.queries: dict[str, PeerQueries] = {}
        self.sent = 0
        self.lost: set[int] = set()

    def join(self, host: str, zone: str) -> TableProbe:
        """Add an instance."""
        settings = NodeSettings(
            instance=host,
            zone=zone,
            ip=host,
            caller_address=Address(host, 1),
            ready_address=Address(host, 2),
            peer_port=7340,
            store_address=Address(host, 3),
        )
        queries = PeerQueries(
            settings,
            lambda query: TablesReply(
                query.token,
                {TABLE: FRESH} if query.zone == zone else {},
            ),
        )
        queries._socket = self
        self.queries[host] = queries
        return TableProbe(queries)

    def send(self, datagram: bytes, address: Address) -> None:
        """Hand a datagram on, unless it gets lost."""
        self.sent += 1
        queries = self.queries.get(address.host)
        if queries is not None and self.sent not in self.lost:
            asyncio.get_running_loop().call_soon(queries.receive, datagram)


def describe(host: str, zone: str) -> Reader:
    """Describe an instance that reads the store."""
    return Reader(host, host, zone, Provenance.STORE)


READER = describe('10.0.0.1', 'zone-a')


def open_relay(probe: TableProbe, choose: ReaderSelector) -> TableRelay:
    """Open the way to ask for the table; fetching it would fail."""
    return TableRelay(
        TABLE,
        'zone-a',
        choose,
        probe.query,
        session=None,
        port=7340,
        counters=Counters(),
    )


def choose_reader() -> ReaderSelector:
    """Choose the reader until it is avoided."""
    own = Reader('10.0.0.2', '10.0.0.2', 'zone-a')
    return ReaderSelector(lambda: own, lambda _now: [READER])


async def test_what_did_not_change_is_not_fetched() -> None:
    """38 instances asked their reader 210 times a second by HTTP, at rest."""
    network = Network()
    network.join('10.0.0.1', 'zone-a')
    relay = open_relay(network.join('10.0.0.2', 'zone-a'), choose_reader())
    told = await relay.query(7)
    assert (told.version, told.rows, told.whole) == (9, [], False)
    assert told.provenance is Provenance.SAME_ZONE
    assert told.age >= FRESH.age
    assert network.sent == 2


async def test_one_answer_serves_all_tables_and_ages(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A second follower asks while the first one's answer is still fresh."""
    clock = [100.0]

    def read_clock() -> float:  # noqa: WPS430  closure
        return clock[0]

    monkeypatch.setattr(probing_module, 'read_boottime', read_clock)
    monkeypatch.setattr(relaying_module, 'read_boottime', read_clock)
    network = Network()
    network.join('10.0.0.1', 'zone-a')
    relay = open_relay(network.join('10.0.0.2', 'zone-a'), choose_reader())
    await relay.query(7)
    clock[0] += 0.05
    told = await relay.query(7)
    assert network.sent == 2
    assert told.age == pytest.approx(FRESH.age + 0.05)


async def test_a_lost_datagram_is_sent_again() -> None:
    """One datagram in 40 is lost; its reader must not pass for dead."""
    network = Network()
    network.lost = {2}
    network.join('10.0.0.1', 'zone-a')
    asking = network.join('10.0.0.2', 'zone-a')
    assert (await asking.query(READER)).tables == {TABLE: FRESH}


async def test_an_instance_that_does_not_answer_is_avoided() -> None:
    """The reader is frozen: the store must be asked soon in its place."""
    network = Network()
    choice = choose_reader()
    relay = open_relay(network.join('10.0.0.2', 'zone-a'), choice)
    assert await relay.query(7) is None
    assert choice.choose(monotonic()) is None


async def test_other_zones_are_not_told_what_was_told_here() -> None:
    """An instance that was told by a zone would tell it back."""
    network = Network()
    network.join('10.0.0.1', 'zone-a')
    asking = network.join('10.0.0.3', 'zone-b')
    assert not (await asking.query(READER)).tables


@pytest.mark.parametrize('datagram', [b'', b'\xc1', b'\x93\x01\x05\x80', b'x'])
async def test_bytes_that_are_no_message_change_nothing(
    datagram: bytes,
) -> None:
    """Anybody may send to the port."""
    network = Network()
    network.join('10.0.0.1', 'zone-a')
    network.queries['10.0.0.1'].receive(datagram)
    assert not network.sent
