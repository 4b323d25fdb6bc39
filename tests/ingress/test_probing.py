"""Queries by datagram whether tables have changed."""

import asyncio
import functools
import time
import types

import pytest

from kelproad.coordination.ingress.membership.messages import (
    StartQuery,
    TablesQuery,
    TablesReply,
    encode_message,
)
from kelproad.coordination.ingress.membership.queries import PeerQueries
from kelproad.coordination.ingress.membership.updates import ReportedLimit
from kelproad.coordination.ingress.settings import NodeSettings
from kelproad.coordination.ingress.tables import probing as probing_module
from kelproad.coordination.ingress.tables import relaying as relaying_module
from kelproad.coordination.ingress.tables.positions import StoreEras
from kelproad.coordination.ingress.tables.probing import TableProbe
from kelproad.coordination.ingress.tables.readers import Reader, ReaderSelector
from kelproad.coordination.ingress.tables.relaying import TableRelay
from kelproad.coordination.ingress.tables.tablestates import (
    Provenance,
    Revision,
    TableFreshness,
)
from kelproad.state.counters import Counters
from kelproad.transport.addresses import Address
from kelproad.transport.deadlines import monotonic

TABLE = 'op'
FRESH = TableFreshness(9, 5, 0.4, None)


class Network:
    """Network that delivers datagrams by host and loses some."""

    def __init__(self) -> None:
        """Start without any instance."""
        self.queries: dict[str, PeerQueries] = {}
        self.sent = 0
        self.lost: set[int] = set()

    def join(self, host: str, zone: str) -> TableProbe:
        """Add an instance that reports ``FRESH`` to its own zone only."""
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
            self.queries.__contains__,
        )
        queries._socket = types.SimpleNamespace(
            send=functools.partial(self.send, host)
        )
        self.queries[host] = queries
        return TableProbe(queries)

    def send(self, sender: str, datagram: bytes, address: Address) -> None:
        """Deliver a datagram, unless its number is in ``lost``."""
        self.sent += 1
        queries = self.queries.get(address.host)
        if queries is not None and self.sent not in self.lost:
            asyncio.get_running_loop().call_soon(
                queries.receive, datagram, sender
            )


def describe(host: str, zone: str) -> Reader:
    """Describe an instance that reads the store."""
    return Reader(host, host, zone, Provenance.STORE)


READER = describe('10.0.0.1', 'zone-a')


def build_relay(probe: TableProbe, selector: ReaderSelector) -> TableRelay:
    """Build a relay of the table; fetching rows by it would fail."""
    return TableRelay(
        TABLE,
        'zone-a',
        selector,
        probe.query,
        session=None,
        port=7340,
        counters=Counters(),
        eras=StoreEras(),
    )


def build_selector() -> ReaderSelector:
    """Choose the reader until it is avoided."""
    local = Reader('10.0.0.2', '10.0.0.2', 'zone-a')
    return ReaderSelector(lambda: local, lambda _now: [READER])


async def test_what_did_not_change_is_not_fetched() -> None:
    """38 idle instances sent their reader 210 HTTP queries a second."""
    network = Network()
    network.join('10.0.0.1', 'zone-a')
    relay = build_relay(network.join('10.0.0.2', 'zone-a'), build_selector())
    state = await relay.query(Revision(0, 7))
    assert (state.revision.version, state.rows, state.whole) == (9, [], False)
    assert state.provenance is Provenance.SAME_ZONE
    assert state.age >= FRESH.age
    assert network.sent == 2


async def test_one_answer_serves_all_tables_and_ages(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A second follower queries while the first one's answer is fresh."""
    clock = [100.0]

    def read_clock() -> float:  # noqa: WPS430  closure
        return clock[0]

    monkeypatch.setattr(probing_module, 'read_boottime', read_clock)
    monkeypatch.setattr(relaying_module, 'read_boottime', read_clock)
    network = Network()
    network.join('10.0.0.1', 'zone-a')
    relay = build_relay(network.join('10.0.0.2', 'zone-a'), build_selector())
    await relay.query(Revision(0, 7))
    clock[0] += 0.05
    state = await relay.query(Revision(0, 7))
    assert network.sent == 2
    assert state.age == pytest.approx(FRESH.age + 0.05)


async def test_a_lost_datagram_is_sent_again() -> None:
    """One datagram in 40 is lost; the reader must not be avoided for it."""
    network = Network()
    network.lost = {2}
    network.join('10.0.0.1', 'zone-a')
    probe = network.join('10.0.0.2', 'zone-a')
    assert (await probe.query(READER)).tables == {TABLE: FRESH}


async def test_an_instance_that_does_not_answer_is_avoided() -> None:
    """The reader is frozen: the store must be read soon instead."""
    network = Network()
    selector = build_selector()
    relay = build_relay(network.join('10.0.0.2', 'zone-a'), selector)
    assert await relay.query(Revision(0, 7)) is None
    assert selector.choose(monotonic()) is None


async def test_relayed_tables_are_not_reported_to_other_zones() -> None:
    """Tables received from a zone would be reported back to it."""
    network = Network()
    network.join('10.0.0.1', 'zone-a')
    probe = network.join('10.0.0.3', 'zone-b')
    assert not (await probe.query(READER)).tables


@pytest.mark.parametrize('datagram', [b'', b'\xc1', b'\x93\x01\x05\x80', b'x'])
async def test_invalid_datagrams_are_ignored(
    datagram: bytes,
) -> None:
    """The port accepts datagrams from any sender."""
    network = Network()
    network.join('10.0.0.1', 'zone-a')
    network.queries['10.0.0.1'].receive(datagram, '10.0.0.9')
    assert not network.sent


async def test_a_reply_goes_only_to_who_asked() -> None:
    """Traffic could be turned on a third party, and starts be used up."""
    network = Network()
    network.join('10.0.0.1', 'zone-a')
    network.join('10.0.0.2', 'zone-a')
    queries = network.queries['10.0.0.1']
    asked = encode_message(TablesQuery(1, '10.0.0.2', 'zone-a'))
    queries.receive(asked, '10.0.0.9')
    assert not network.sent
    limit = ReportedLimit('i-1', '1', 1, 0)
    relayed = StartQuery(1, '10.0.0.3', 'zone-b', limit, 0, relayed=True)
    queries.receive(encode_message(relayed), '10.0.0.9')
    assert not network.sent
    queries.receive(asked, '10.0.0.2')
    queries.receive(encode_message(relayed), '10.0.0.2')
    assert network.sent == 2


async def test_a_reply_that_waits_in_the_socket_is_in_time() -> None:
    """Coordinators and readers seemed silent after a pause of this process."""
    network = Network()
    network.join('10.0.0.1', 'zone-a')
    probe = network.join('10.0.0.2', 'zone-a')
    loop = asyncio.get_running_loop()
    receive = network.queries['10.0.0.2'].receive
    network.queries['10.0.0.2'].receive = functools.partial(
        loop.call_later, 0.05, receive
    )
    loop.call_later(0.02, time.sleep, 0.5)
    assert await probe.query(READER) is not None
    assert network.sent == 2
