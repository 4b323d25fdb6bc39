"""Tables of the store, as followed for routing and for peers."""

import asyncio
import collections
import random
from collections.abc import Callable

import attrs
import msgspec
import pytest
from returns.result import Result, Success

from kelproad.coordination.ingress.settings import Bounds
from kelproad.coordination.ingress.tables.evacuations import ZoneEvacuations
from kelproad.coordination.ingress.tables.followed import FollowedTables
from kelproad.coordination.ingress.tables.following import TableFollower
from kelproad.coordination.ingress.tables.holder import ConfigurationHolder
from kelproad.coordination.ingress.tables.positions import StoreEras
from kelproad.coordination.ingress.tables.roworders import ListedEndpoint
from kelproad.coordination.ingress.tables.store import NodeStore
from kelproad.coordination.ingress.tables.tablestates import (
    PeerTable,
    Revision,
    StoredRow,
    TableSource,
    TableState,
)
from kelproad.platform.rows import (
    decode_configuration,
    decode_endpoint,
    decode_evacuation,
)
from kelproad.state.counters import Counters, EvacuationMetrics
from kelproad.state.endpointtable import EndpointTable
from kelproad.transport import services
from tests.ingress.test_following import Script

ENDPOINTS = 'servers'


async def query_no_peer(_after: Revision | None) -> None:
    """Return no reply, as there are no peers."""


def never_back_off() -> float:
    """Return no delay, as no peer reads the store instead."""
    return 0


def report(version: int, state: str = 'ready') -> StoredRow:
    """Build the report of an endpoint at a version of the store."""
    entry = {
        'service': 'book',
        'address': '10.0.0.1:80',
        'zone': 'a',
        'state': state,
        'sequence': version,
    }
    return StoredRow('i-1', msgspec.json.encode(entry), Revision(0, version))


def create_tables(
    script: Script,
    holder: ConfigurationHolder,
    decode: Callable[[StoredRow], Result[ListedEndpoint, str]],
) -> FollowedTables:
    """Create the tables of an instance whose store is a script."""
    store = NodeStore(
        StoreEras(),
        TableSource('op', script.read, script.await_changes),
        'config',
        decode_configuration,
        decode_evacuation,
        TableSource(ENDPOINTS, script.read, script.await_changes),
        decode,
        roster=None,
    )
    table = EndpointTable()
    return FollowedTables(
        Bounds(),
        store,
        holder,
        table,
        ZoneEvacuations(
            table, EvacuationMetrics(Counters().registry), lambda _names: 0
        ),
        lambda _table: PeerTable(query_no_peer, never_back_off),
        random.Random(1),
    )


async def test_a_report_is_decoded_once() -> None:
    """An endpoint repeats its report, and then reports that it is draining.

    The comparison with the previous report, for peers, and the local endpoint
    table each decoded it again, which was most of the cost of following the
    store.
    """
    decoded = collections.Counter()

    def decode(row: StoredRow) -> Result[ListedEndpoint, str]:
        decoded[row.revision.version] += 1
        return decode_endpoint(row)

    rows = [report(1), report(2), report(3, 'draining')]
    script = Script(
        Success(TableState(rows[0].revision, rows[:1], whole=True)),
        *(Success(TableState(row.revision, [row], False)) for row in rows[1:]),
    )
    tables = create_tables(script, ConfigurationHolder(), decode)
    script.follower = tables.endpoints
    await TableFollower._follow.fun(tables.endpoints)
    assert decoded == {1: 1, 2: 1, 3: 1}
    assert (
        tables.list_changes_for_peer(
            ENDPOINTS, Revision(0, 1), within_zone=True
        ).rows
        == rows[2:]
    )
    assert (
        tables.list_changes_for_peer(ENDPOINTS, None, within_zone=True).rows
        == rows[2:]
    )


@pytest.mark.parametrize('told', ['configuration', 'endpoints'])
async def test_a_follower_that_hangs_counts_as_failing(
    told: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a store, or a peer, that is awaited without an end."""
    now = 100.0
    monkeypatch.setattr(services, 'monotonic', lambda: now)
    script = Script(Success(TableState(Revision(0, 1), [], whole=True)), None)

    async def hang(*_asked: object) -> None:
        await asyncio.Event().wait()

    script.await_changes = hang
    tables = create_tables(script, ConfigurationHolder(), decode_endpoint)
    follower = getattr(tables, told)
    following = asyncio.create_task(TableFollower._follow.fun(follower))
    await asyncio.sleep(0.8)
    now += 9
    assert follower.list_failing_tasks() == []
    now += 2
    assert not following.done()
    following.cancel()
    assert follower.list_failing_tasks() == ['TableFollower._follow']


def configure(version: int) -> StoredRow:
    """Build the row of a configuration."""
    document = {'version': version, 'routes': [], 'services': []}
    encoded = msgspec.json.encode(document)
    return StoredRow('config', encoded, Revision(0, version))


async def test_the_last_of_several_changes_is_in_force() -> None:
    """Guards against an answer whose first change hides the newest one."""
    rows = [configure(version) for version in (5, 6, 9)]
    script = Script(
        Success(TableState(Revision(0, 4), [configure(4)], whole=True)),
        Success(TableState(Revision(0, 9), rows, whole=False)),
    )
    holder = ConfigurationHolder()
    tables = create_tables(script, holder, decode_endpoint)
    script.follower = tables.configuration
    await TableFollower._follow.fun(tables.configuration)
    assert holder.version == 9


async def test_a_regained_table_has_the_others_read_and_peers_told() -> None:
    """Guards against a store that is heard by one table's follower alone."""
    rows = [configure(4)]
    script = Script(Success(TableState(Revision(0, 4), rows, whole=True)))
    tables = create_tables(script, ConfigurationHolder(), decode_endpoint)
    told: list[None] = []
    tables.on_regained = lambda: told.append(None)
    script.follower = tables.configuration
    await TableFollower._follow.fun(tables.configuration)
    assert len(told) == 1
    assert tables.endpoints._queries._woken.is_set()
    script.answers = [Success(TableState(Revision(0, 4), [], whole=False))]
    tables.configuration._stopped.clear()
    await TableFollower._follow.fun(tables.configuration)
    assert len(told) == 1


async def test_a_table_that_stays_too_old_is_no_news() -> None:
    """Guards against a slow store whose every answer brings on more queries."""
    late = TableState(Revision(0, 4), [configure(4)], whole=True, age=4)
    script = Script(Success(late), Success(attrs.evolve(late, whole=False)))
    tables = create_tables(script, ConfigurationHolder(), decode_endpoint)
    told: list[None] = []
    tables.on_regained = lambda: told.append(None)
    script.follower = tables.configuration
    await TableFollower._follow.fun(tables.configuration)
    assert told == []
