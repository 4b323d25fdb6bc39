"""Member records, choice of watchers, and untrusted peer messages."""

import random

from hypothesis import given, settings
from hypothesis import strategies as st
from returns.result import Failure, Success

from kelproad.coordination.watch import list_due
from kelproad.protocol.messages import (
    ChangesWanted,
    Gossip,
    decode_message,
    encode_message,
)
from kelproad.state.configuration import AppliedFile, Snapshot
from kelproad.state.declarations import (
    EndpointDeclaration,
    EndpointGroup,
    EndpointKind,
    FileContent,
)
from kelproad.state.endpoints import EndpointReport
from kelproad.state.endpointtable import EndpointTable
from kelproad.state.identity import Identity
from kelproad.state.members import Member, MemberTable

KEY = b'a-shared-key-of-the-test'
_small = st.integers(0, 3)


@st.composite
def _draw_record(draw: st.DrawFn) -> Member:
    """Generate a record as an instance could have sent it.

    Two records of the same order must be the same, with or without the load,
    so all other fields are derived from the order.
    """
    epoch, incarnation, version = draw(_small), draw(_small), draw(_small) + 1
    full = Member(
        draw(st.sampled_from(['a', 'b'])),
        'zone',
        '127.0.0.1:1',
        incarnation,
        version=version,
        epoch=epoch,
        load_version=version,
        revision=version,
        dispatched={'engine': epoch * 100 + incarnation * 10 + version},
    )
    return full if draw(st.booleans()) else full.without_load()


@given(st.lists(_draw_record(), max_size=12), st.randoms())
def test_any_order_of_records_converges(
    records: list[Member],
    shuffler: random.Random,
) -> None:
    """Messages arrive in different orders, and some of them twice.

    Two instances that received the same records must hold the same state:
    they choose watchers by it.
    """
    reordered = records + records[::2]
    shuffler.shuffle(reordered)
    tables = (MemberTable(), MemberTable())
    for table, arriving in zip(tables, (records, reordered), strict=True):
        for record in arriving:
            table.merge(record, 0)
    one, other = (
        {member.name: member for member in table.known()} for table in tables
    )
    assert one == other


@given(st.binary(max_size=200))
def test_bytes_without_the_tag_are_refused(received: bytes) -> None:
    """The peer port accepts connections from anybody."""
    assert isinstance(decode_message(received, KEY), Failure)


@settings(max_examples=200)
@given(st.data())
def test_damaged_messages_are_refused(drawn: st.DataObject) -> None:
    """One byte of a message is changed, or the message is cut short."""
    member = Member('a', 'zone', '127.0.0.1:1', 1, version=2)
    whole = encode_message(Gossip([member]), KEY)
    at = drawn.draw(st.integers(0, len(whole) - 1))
    change = drawn.draw(st.integers(1, 255))
    damaged = bytearray(whole)
    damaged[at] ^= change
    assert isinstance(decode_message(bytes(damaged), KEY), Failure)
    assert isinstance(decode_message(whole[:at], KEY), Failure)
    assert isinstance(decode_message(whole, b'x' * 16), Failure)


def test_messages_come_back_as_sent() -> None:
    report = EndpointReport('engine', 'life', 5, 1, 7, models=['model'])
    member = Member('a', 'zone', '127.0.0.1:1', 1, reports=[report])
    for message in (Gossip([member]), ChangesWanted('a', '127.0.0.1:1', 3)):
        decoded = decode_message(encode_message(message, KEY), KEY)
        assert decoded == Success(message)


def _declare_engines(count: int) -> EndpointTable:
    endpoints = [
        EndpointDeclaration(f'engine-{number}', 'zone', '127.0.0.1:1')
        for number in range(count)
    ]
    group = EndpointGroup('engines', EndpointKind.ENGINE, endpoints)
    content = FileContent('file', endpoint_groups=[group])
    applied = AppliedFile('file', 1, 1, 'digest', '', content)
    table = EndpointTable()
    table.replace_groups(
        Snapshot.from_files(1, {'file': applied}).groups.values()
    )
    return table


def _map_pollers(
    names: set[str],
    running: set[str],
    table: EndpointTable,
    now: float,
) -> dict[str, set[str]]:
    """Map each engine to the running instances that poll it now."""
    pollers: dict[str, set[str]] = {name: set() for name in table.all()}
    for name in running:
        members = MemberTable('zone')
        for other in names - {name}:
            members.merge(Member(other, 'zone', '127.0.0.1:1', 1), now)
        identity = Identity(name, 'zone', 1)
        for endpoint in list_due(identity, table, members, now):
            pollers[endpoint.name].add(name)
    return pollers


def test_no_engine_goes_unpolled_when_a_watcher_dies() -> None:
    """A watcher is killed; for four seconds the others count it as live.

    Its engines must be polled by their second watcher as soon as its reports
    stop, and by one watcher only while they arrive.
    """
    names = {f'instance-{number}' for number in range(5)}
    table = _declare_engines(40)
    for endpoint in table.all().values():
        endpoint.accept_report(EndpointReport(endpoint.name, 'life'), 10)
    quiet = _map_pollers(names, names, table, 10.5)
    assert all(len(found) == 1 for found in quiet.values())
    left = names - {'instance-0'}
    unreported = _map_pollers(names, left, table, 12)
    assert all(unreported.values())
