"""Rows whose adoption fails by an error of this program, beside others."""

import random
import types
from collections.abc import Mapping

import msgspec
import pytest
from returns.result import Result, Success

from kelproad.coordination.ingress.membership.rostering import Roster
from kelproad.coordination.ingress.tables import endpoints as endpoints_module
from kelproad.coordination.ingress.tables.endpoints import EndpointRegistry
from kelproad.coordination.ingress.tables.evacuations import ZoneEvacuations
from kelproad.coordination.ingress.tables.followed import FollowedTables
from kelproad.coordination.ingress.tables.holder import ConfigurationHolder
from kelproad.coordination.ingress.tables.roworders import ListedEndpoint
from kelproad.coordination.ingress.tables.tablestates import (
    Revision,
    StoredRow,
    TableState,
)
from kelproad.platform.rows import decode_endpoint
from kelproad.state.declarations import EndpointDeclaration
from kelproad.state.records import EVENT_FIELDS
from tests.ingress.test_following import Script
from tests.ingress.test_odd_instances import write_row
from tests.ingress.test_tables import create_tables

ODD = 'odd'
REVISION = Revision(0, 9)


def fail_for(odd: object) -> None:
    """Fail as an error of this program would, for what is odd."""
    if odd == ODD:
        raise RuntimeError(odd)


def decode(row: StoredRow) -> Result[ListedEndpoint, str]:
    """Decode the entry of an endpoint."""
    fail_for(row.key)
    return decode_endpoint(row)


def write_entry(name: str, service: str = 'book') -> StoredRow:
    """Encode the entry of an endpoint."""
    entry = {
        'service': service,
        'address': '10.0.0.1:80',
        'zone': 'a',
        'state': 'ready',
        'sequence': 1,
    }
    return StoredRow(name, msgspec.json.encode(entry), REVISION)


def write_configuration() -> StoredRow:
    """Encode a configuration with one service."""
    services = [{'name': name} for name in ('book', ODD)]
    document = {'version': 5, 'routes': [], 'services': services}
    return StoredRow('config', msgspec.json.encode(document), REVISION)


def adopt(tables: FollowedTables, rows: Mapping[str, list[StoredRow]]) -> None:
    """Have the followers accept what they have read."""
    for name, written in rows.items():
        follower = tables._followed[name].follower
        assert follower._accept(TableState(REVISION, written, True), 0)
        assert follower.confirmed_at == 0
        assert follower._position.base == REVISION


@pytest.fixture
def tables() -> FollowedTables:
    """Return the tables of an instance."""
    return create_tables(Script(), ConfigurationHolder(), decode)


def list_failed(caplog: pytest.LogCaptureFixture) -> list[object]:
    """List the rows of which a line with a traceback tells."""
    return [
        getattr(line, EVENT_FIELDS)['row']
        for line in caplog.records
        if line.getMessage() == 'row_failed' and line.exc_info
    ]


def check_sound(tables: FollowedTables) -> None:
    """Check that the sound rows hold."""
    assert tables._holder.version == 5
    assert 'i-1' in tables.registry._table.all()


ROWS = types.MappingProxyType(
    {
        'op': [
            StoredRow(f'evacuate/{ODD}', b'{}', REVISION),
            StoredRow('evacuate/zone-b', b'{}', REVISION),
            write_configuration(),
        ],
        'servers': [write_entry(ODD), write_entry('i-1')],
    }
)


def test_an_entry_that_is_not_decoded_holds_up_no_other(
    tables: FollowedTables, caplog: pytest.LogCaptureFixture
) -> None:
    """Guards against a table that is read again and again for one row."""
    adopt(tables, ROWS)
    check_sound(tables)
    assert list_failed(caplog) == [ODD]


def test_an_entry_that_is_not_adopted_holds_up_no_other(
    tables: FollowedTables,
    monkeypatch: pytest.MonkeyPatch,
    caplog: pytest.LogCaptureFixture,
) -> None:
    """Guards against an endpoint that keeps all others from being listed."""
    monkeypatch.setattr(
        EndpointRegistry,
        '_record_warm_up',
        lambda _self, _known, entry: fail_for(entry.service),
    )
    rows = [write_entry('i-0', ODD), write_entry('i-1')]
    adopt(tables, ROWS | {'servers': rows})
    check_sound(tables)
    assert list_failed(caplog) == ['i-0']


def test_an_endpoint_that_is_not_declared_holds_up_no_configuration(
    tables: FollowedTables,
    monkeypatch: pytest.MonkeyPatch,
    caplog: pytest.LogCaptureFixture,
) -> None:
    """Guards against keys that are refused for one endpoint."""
    declare = endpoints_module._declare

    def declare_or_fail(entry: ListedEndpoint) -> EndpointDeclaration:
        fail_for(entry.service)
        return declare(entry)

    monkeypatch.setattr(endpoints_module, '_declare', declare_or_fail)
    rows = [write_entry('i-0', ODD), write_entry('i-1')]
    adopt(tables, {'servers': rows} | ROWS | {'servers': rows})
    check_sound(tables)
    assert set(list_failed(caplog)) == {'i-0'}


def test_endpoints_that_are_not_published_hold_up_no_configuration(
    tables: FollowedTables,
    monkeypatch: pytest.MonkeyPatch,
    caplog: pytest.LogCaptureFixture,
) -> None:
    """Guards against keys that are refused for what they do not concern."""
    monkeypatch.setattr(
        EndpointRegistry,
        'adopt_configuration',
        lambda _self, _configuration: fail_for(ODD),
    )
    adopt(tables, {'op': ROWS['op']})
    assert tables._holder.version == 5
    assert list_failed(caplog) == ['config']


def test_an_order_that_is_not_adopted_holds_up_nothing(
    tables: FollowedTables,
    monkeypatch: pytest.MonkeyPatch,
    caplog: pytest.LogCaptureFixture,
) -> None:
    """Guards against keys that are refused for an order to evacuate."""
    begin = ZoneEvacuations._record_begin

    def begin_or_fail(
        evacuations: ZoneEvacuations, zone: str, revision: Revision
    ) -> None:
        fail_for(zone)
        begin(evacuations, zone, revision)

    monkeypatch.setattr(ZoneEvacuations, '_record_begin', begin_or_fail)
    adopt(tables, {'op': ROWS['op']})
    assert tables._holder.version == 5
    assert 'zone-b' in tables.registry._table.evacuated_zones
    assert list_failed(caplog) == [f'evacuate/{ODD}']


async def test_an_instance_that_is_not_adopted_holds_up_no_other(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """Guards against instances that know no other, for the row of one."""
    listed: list[str] = []

    def add_listed(name: str, *_described: object) -> None:
        fail_for(name)
        listed.append(name)

    async def read() -> Success[TableState]:
        names = (ODD, 'sound', 'quarantine odd')
        rows = [write_row(name, '10.0.0.2') for name in names]
        return Success(TableState(REVISION, rows, whole=True))

    def adopt_other(row: StoredRow) -> bool:
        fail_for(row.key.removeprefix('quarantine '))
        return False

    peers = types.SimpleNamespace(
        add_listed=add_listed, drop_unlisted=lambda _names, _now: None
    )
    roster = Roster(
        types.SimpleNamespace(instance='here'),
        types.SimpleNamespace(read=read),
        types.SimpleNamespace(peers=peers),
        adopt_other,
        lambda: None,
        random.Random(1),
    )
    assert await roster._read()
    assert listed == ['sound']
    assert not roster.is_starting
    assert set(list_failed(caplog)) == {ODD, 'quarantine odd'}
