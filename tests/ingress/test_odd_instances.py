"""Instances whose rows, names or reports are odd, beside sound ones."""

import random
import types

import msgspec
import pytest
from returns.result import Success

from kelproad.coordination.ingress.membership import exchange as exchange_module
from kelproad.coordination.ingress.membership.rostering import Roster
from kelproad.coordination.ingress.tables.tablestates import (
    Revision,
    StoredRow,
    TableState,
)
from tests.ingress.test_exchange import Clock, Instance

NOW = 1000


@pytest.fixture
def here(monkeypatch: pytest.MonkeyPatch) -> Instance:
    """Create an instance whose clock stands."""
    monkeypatch.setattr(exchange_module, 'monotonic', lambda: Clock().now)
    return Instance('a', 'zone-a')


def write_row(name: str, host: str) -> StoredRow:
    """Encode the row of an instance."""
    content = {'host': host, 'zone': 'zone-a', 'started_at': 1}
    return StoredRow(name, msgspec.json.encode(content), Revision(0, 1))


@pytest.mark.parametrize('host', ['edge-9', '\x00', '', '10.0.0.999', '::1%x'])
async def test_a_row_without_an_ip_number_names_no_instance(
    here: Instance, host: str
) -> None:
    """Guards against a row that has all instances send to a name."""

    async def read() -> Success[TableState]:
        rows = [write_row('odd', host), write_row('sound', '10.0.0.2')]
        return Success(TableState(Revision(0, 1), rows, whole=True))

    roster = Roster(
        here.exchange._settings,
        types.SimpleNamespace(read=read),
        here.exchange,
        lambda _row: False,
        lambda: None,
        random.Random(1),
    )
    assert await roster._read()
    assert here.exchange.peers.list_hosts() == ['10.0.0.2']
    assert roster._hosts == {'10.0.0.2'}
