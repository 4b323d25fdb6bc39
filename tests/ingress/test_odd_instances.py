"""Instances whose rows, names or reports are odd, beside sound ones."""

import asyncio
import json
import random
import sys
import types

import msgspec
import pytest
from returns.result import Success

from kelproad.coordination.ingress.membership import exchange as exchange_module
from kelproad.coordination.ingress.membership.exchange import TableGauges
from kelproad.coordination.ingress.membership.rostering import Roster
from kelproad.coordination.ingress.membership.updates import (
    PeerUpdate,
    decode_update,
    encode_update,
)
from kelproad.coordination.ingress.tables.tablestates import (
    Revision,
    StoredRow,
    TableState,
)
from kelproad.platform.rows import decode_configuration
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


def report(name: str, host: str, sequence: int) -> bytes:
    """Encode the report of an instance."""
    return encode_update(
        PeerUpdate(name, host, 'zone-a', 1, sequence, False, 0.1, [])
    )


def test_an_instance_may_be_named_by_its_ip_number(here: Instance) -> None:
    """Guards against sites whose instances hear none of each other."""
    here.exchange.peers.add('10.0.0.2', '10.0.0.2')
    for sequence in (1, 2):
        here.hear(report('10.0.0.2', '10.0.0.2', sequence))
    here.hear(report('edge-3', '10.0.0.3', 1))
    assert here.exchange.peers.count_live(NOW) == 3


def test_another_instance_at_the_own_ip_number_is_no_peer(
    here: Instance,
) -> None:
    """Guards against an error for each report of a second one beside this."""
    own = here.exchange._settings.ip
    here.hear(report('second', own, 1))
    assert here.exchange.peers.count_live(NOW) == 1


# Configurations


LARGEST = sys.maxsize


@pytest.mark.parametrize(
    ('version', 'held'),
    [
        (LARGEST, LARGEST),
        (-LARGEST, -LARGEST),
        (LARGEST + 1, None),
        (2**70, None),
    ],
)
def test_a_version_that_no_report_can_hold_is_unreadable(
    here: Instance, version: int, held: int | None
) -> None:
    """Guards against instances that all fall silent about a version."""
    document = {'version': version, 'routes': [], 'services': []}
    row = StoredRow('config', json.dumps(document).encode(), Revision(0, 1))
    decoded = decode_configuration(row)
    read = decoded.map(lambda configuration: configuration.version)
    found = read.value_or(None)
    here.exchange._tables = TableGauges(float, lambda: None, lambda: found)
    sent = decode_update(here.build_report())
    assert sent.unwrap().configuration == held


async def test_a_read_that_ends_late_replaces_no_newer_one(
    here: Instance,
) -> None:
    """Guards against an instance that is forgotten as the store is slow."""
    answers = [asyncio.get_running_loop().create_future() for _ in range(2)]
    waiting = iter(answers)
    roster = Roster(
        here.exchange._settings,
        types.SimpleNamespace(read=lambda: next(waiting)),
        here.exchange,
        lambda _row: False,
        lambda: None,
        random.Random(1),
    )
    reads = [asyncio.create_task(roster._read()) for _ in answers]
    await asyncio.sleep(0)
    old, new = write_row('old', '10.0.0.2'), write_row('new', '10.0.0.3')
    for answer, rows in zip(
        reversed(answers), ([old, new], [old]), strict=True
    ):
        answer.set_result(Success(TableState(Revision(0, 1), rows, whole=True)))
        await asyncio.sleep(0.01)
    await asyncio.gather(*reads)
    assert roster._hosts == {'10.0.0.2', '10.0.0.3'}
