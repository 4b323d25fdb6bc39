"""Tables relayed between the instances of a zone in place of the store."""

import asyncio
import contextlib
import itertools
import math
import operator
import signal
import time
import types
from collections.abc import Iterator

import attrs
import msgspec
import pytest
from aiohttp import test_utils, web
from returns.result import Success

from kelproad.coordination.ingress.tables import following as following_module
from kelproad.coordination.ingress.tables import relaying as relaying_module
from kelproad.coordination.ingress.tables.caching import (
    RelayedTable,
    TableCache,
)
from kelproad.coordination.ingress.tables.positions import StoreEras
from kelproad.coordination.ingress.tables.probing import Freshness
from kelproad.coordination.ingress.tables.readers import Reader, ReaderSelector
from kelproad.coordination.ingress.tables.relaying import (
    TableRelay,
    build_answer,
)
from kelproad.coordination.ingress.tables.tablestates import (
    DecodedState,
    Provenance,
    Revision,
    StoredRow,
    TableFreshness,
    TableState,
)
from kelproad.state.counters import Counters
from kelproad.transport.deadlines import read_boottime
from kelproad.transport.http import create_single_use_session
from testbed.calls import call_control
from testbed.routed import KEY, RoutedSite, start_routed_site, wait_for
from tests.ingress.callers import call
from tests.ingress.test_following import Script, follow, state

#: Seconds within which a change must be in force.
APPLY_SECONDS = 2.0
#: Age in seconds up to which an instance's tables count as fresh.
FRESH_SECONDS = 1.5
#: Seconds for which the link of a reader is busy with a large change.
BUSY_SECONDS = 0.45


def row(key: str, version: int, text: bytes | None = b'as ever') -> StoredRow:
    """Build a row; None as its text stands for a dropped one."""
    return StoredRow(key, text, Revision(0, version))


def build_cache(*rows: StoredRow, version: int) -> TableCache:
    """Build a cache that holds these rows."""
    built = TableCache(operator.eq)
    built.update(read(TableState(Revision(0, version), list(rows), whole=True)))
    return built


def read(state: TableState) -> DecodedState:
    """Read a state, with the rows' texts as their decoded form."""
    return DecodedState.from_state(state, lambda held: held.encoded)


def list_keys(changes: TableState) -> list[str]:
    """List the keys of the reported rows."""
    return [stored.key for stored in changes.rows]


# Which rows are reported


def test_unchanged_rows_are_not_reported() -> None:
    """Each endpoint rewrites its row about every second.

    Forwarding unchanged rows would be most of the traffic between instances.
    """
    table_cache = build_cache(row('i-1', 1), row('i-2', 2), version=5)
    changed = [row('i-1', 7), row('i-2', 8, b'leaves')]
    table_cache.update(read(TableState(Revision(0, 8), changed, whole=False)))
    changes = table_cache.list_changes(Revision(0, 5))
    assert list_keys(changes) == ['i-2']
    assert changes.revision.version == 8
    assert not changes.whole


def test_a_dropped_row_is_reported() -> None:
    """An endpoint is removed: instances that query later must learn of it."""
    table_cache = build_cache(row('i-1', 1), version=5)
    table_cache.update(
        read(TableState(Revision(0, 6), [row('i-1', 6, None)], whole=False))
    )
    assert table_cache.list_changes(Revision(0, 5)).rows == [
        row('i-1', 6, None)
    ]
    assert not table_cache.list_changes(None).rows


def test_an_unreadable_row_is_reported_like_any_other() -> None:
    """The entry of an endpoint is corrupt; an instance queries the full table.

    Left out of the full table, the row passed for a dropped one, and dropped
    endpoints are kept for seconds after the store's return: the instance went
    on sending to the endpoint, and its reader did not.
    """
    table_cache = build_cache(row('i-1', 1), version=5)
    corrupt = row('i-1', 6, b'')
    table_cache.update(read(TableState(Revision(0, 6), [corrupt], whole=False)))
    assert table_cache.list_changes(Revision(0, 5)).rows == [corrupt]
    assert table_cache.list_changes(None).rows == [corrupt]


def test_an_instance_far_behind_gets_the_full_table() -> None:
    """The cache knows no changes from before it was filled."""
    table_cache = build_cache(row('i-1', 1), version=5)
    changes = table_cache.list_changes(Revision(0, 4))
    assert changes.whole
    assert list_keys(changes) == ['i-1']


def test_a_restored_row_is_reported() -> None:
    """An entry lapses and comes back with the same text."""
    table_cache = build_cache(row('i-1', 1), version=5)
    table_cache.update(
        read(TableState(Revision(0, 6), [row('i-1', 6, None)], whole=False))
    )
    table_cache.update(
        read(TableState(Revision(0, 7), [row('i-1', 7)], whole=False))
    )
    assert table_cache.list_changes(Revision(0, 6)).rows == [row('i-1', 7)]


# Which instance is queried


class Fleet:
    """Instances of several zones that choose their readers in turns."""

    def __init__(self, zones: int, zone_size: int) -> None:
        """Start all of them together, each with a table from the store."""
        self.now = 1000
        self.cut_off: set[str] = set()
        self.instances: dict[str, Reader] = {}
        self.choices: dict[str, ReaderSelector] = {}
        for zone, mate in itertools.product(range(zones), range(zone_size)):
            self.start(f'zone-{zone}', f'edge-{zone}-{mate:02}')

    def start(self, zone: str, name: str) -> None:
        """Start an instance that has just read the store."""
        self.instances[name] = Reader(name, 'host', zone, Provenance.STORE)
        self.choices[name] = ReaderSelector(
            lambda: self.instances[name],
            lambda _now: [
                reader
                for reader in self.instances.values()
                if reader.instance != name
            ],
        )

    def run_queries(self, rounds: int = 10) -> None:
        """Have each instance query its chosen reader, ``rounds`` times."""
        for name in list(self.instances) * rounds:
            self.now += 0.001
            self._query(name)

    def list_by_provenance(self, provenance: Provenance) -> list[str]:
        """List the instances whose tables have this provenance."""
        return [
            name
            for name, reader in self.instances.items()
            if reader.provenance is provenance
        ]

    def _query(self, name: str) -> None:
        current = self.instances[name]
        reader = self.choices[name].choose(self.now)
        if reader is None:
            reached = name not in self.cut_off
            provenance = Provenance.STORE if reached else None
        elif reader.zone == current.zone:
            provenance = Provenance.SAME_ZONE
        else:
            provenance = Provenance.OTHER_ZONE
        self.instances[name] = attrs.evolve(current, provenance=provenance)


@pytest.mark.parametrize(
    ('zones', 'zone_size'),
    [(1, 1), (3, 3), (3, 27), (5, 39), (8, 51)],
)
def test_one_instance_reads_the_store_for_all(
    zones: int, zone_size: int
) -> None:
    """Calls to the store must not grow with instances or zones."""
    fleet = Fleet(zones, zone_size)
    fleet.run_queries()
    assert fleet.list_by_provenance(Provenance.STORE) == ['edge-0-00']
    assert len(fleet.list_by_provenance(Provenance.OTHER_ZONE)) == zones - 1
    assert len(fleet.list_by_provenance(Provenance.SAME_ZONE)) == zones * (
        zone_size - 1
    )


def test_the_loss_of_the_reader_brings_one_other_to_the_store() -> None:
    """The only reader dies: one other instance replaces it, not all of them."""
    fleet = Fleet(5, 39)
    fleet.run_queries()
    lost = fleet.instances.pop('edge-0-00')
    fleet.choices.pop('edge-0-00')
    for selector in fleet.choices.values():
        selector.avoid(lost, fleet.now)
    fleet.run_queries()
    assert len(fleet.list_by_provenance(Provenance.STORE)) == 1
    assert not any(
        reader.provenance is None for reader in fleet.instances.values()
    )


def test_an_instance_that_the_store_refuses_queries_others() -> None:
    """The store refuses the first two zones and serves the third."""
    fleet = Fleet(3, 9)
    fleet.run_queries()
    fleet.cut_off = {
        name
        for name, reader in fleet.instances.items()
        if reader.zone != 'zone-2'
    }
    for name in fleet.cut_off:
        stale = attrs.evolve(fleet.instances[name], provenance=None)
        fleet.instances[name] = stale
    fleet.run_queries()
    assert fleet.list_by_provenance(Provenance.STORE) == ['edge-2-00']
    assert not any(
        reader.provenance is None for reader in fleet.instances.values()
    )


def test_the_reader_of_a_zone_retries_the_store_at_once() -> None:
    """The others take turns, or 38 instances would query the store at once."""
    fleet = Fleet(1, 39)
    fleet.run_queries()
    turns = [
        selector.measure_backoff(fleet.now)
        for selector in fleet.choices.values()
    ]
    assert not turns[0]
    assert min(turns[1:]) >= 38 * 0.25
    assert not Fleet(1, 1).choices['edge-0-00'].measure_backoff(1000)


def test_an_instance_that_failed_is_avoided() -> None:
    """The only reader of the zone has died: it is not waited for again."""
    fleet = Fleet(1, 2)
    fleet.run_queries()
    selector = fleet.choices['edge-0-01']
    reader = selector.choose(fleet.now)
    selector.avoid(reader, fleet.now)
    assert selector.choose(fleet.now + 1) is None
    assert selector.choose(fleet.now + 4) == reader


# Which tables are relayed


def build_followed(provenance: Provenance | None, age: float) -> RelayedTable:
    """Build a table of some age that is 0.8 s old at most while all is well."""
    follower = types.SimpleNamespace(
        provenance=provenance, healthy_age=0.8, measure_age=lambda: age
    )
    return RelayedTable(follower, cache=None, merger=None, slack=0.4)


def test_tables_from_the_zone_are_not_relayed() -> None:
    """Two instances that query each other would take old tables for fresh."""
    may_relay = {
        provenance: [
            build_followed(provenance, 0).may_relay(within_zone)
            for within_zone in (True, False)
        ]
        for provenance in (*Provenance, None)
    }
    assert may_relay == {
        Provenance.STORE: [True, True],
        Provenance.OTHER_ZONE: [True, False],
        Provenance.SAME_ZONE: [False, False],
        None: [False, False],
    }


@pytest.mark.parametrize(
    ('provenance', 'longest'),
    [(Provenance.STORE, 1.2), (Provenance.OTHER_ZONE, 1.6)],
)
def test_a_reader_that_lost_the_store_relays_nothing(
    provenance: Provenance, longest: float
) -> None:
    """Guards against a zone that learns of no change from its reader."""
    assert build_followed(provenance, longest - 0.01).may_relay(True)
    assert not build_followed(provenance, longest + 0.01).may_relay(True)
    assert build_followed(provenance, longest + 0.01).source is None


# How old the tables are


async def test_age_counts_from_before_the_query(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The reply of a peer that read the store 2 s ago is at least 2 s old."""
    monkeypatch.setattr(following_module, 'read_boottime', lambda: 100)
    script = Script(state(9, whole=True))
    script.told = [
        TableState(
            Revision(0, 5), [], True, age=2, provenance=Provenance.SAME_ZONE
        ),
    ]
    follower = await follow(script)
    assert script.asked == [(5, 0)]
    assert follower.confirmed_at == 100
    assert script.adopted[0].revision.version == 5


@pytest.mark.parametrize('pieces', [1, 3])
async def test_a_table_is_fetched_from_a_reader_whose_link_is_busy(
    pieces: int,
) -> None:
    """Guards against a large change that each instance gives up fetching."""
    held = TableState(Revision(0, 7), [row('config', 7)], whole=False)

    async def serve(http_request: web.BaseRequest) -> web.StreamResponse:
        body = build_answer(held).body
        response = web.StreamResponse()
        response.content_length = len(body)
        await asyncio.sleep(BUSY_SECONDS)
        await response.prepare(http_request)
        size = math.ceil(len(body) / pieces)
        for begin in range(0, len(body), size):
            await response.write(body[begin : begin + size])
            await asyncio.sleep(BUSY_SECONDS if pieces > 1 else 0)
        return response

    server = test_utils.RawTestServer(serve)
    await server.start_server()
    reader = Reader('edge-1', server.host, 'zone-a', Provenance.STORE)

    async def probe(_reader: Reader) -> Freshness:
        tables = {'op': TableFreshness(7, 7, 0, None)}
        return Freshness(tables, read_boottime())

    session = create_single_use_session()
    relay = TableRelay(
        'op',
        'zone-a',
        types.SimpleNamespace(choose=lambda _now: reader),
        probe,
        session,
        server.port,
        Counters(),
        StoreEras(),
    )
    assert (await relay.query(Revision(0, 5))).rows == held.rows
    await session.close()
    await server.close()


async def test_a_peer_that_is_behind_undoes_nothing() -> None:
    """The peer queried second has an older version than the first."""
    script = Script(state(9))
    script.told = [
        TableState(Revision(0, 7), [row('a', 7)], whole=True),
        TableState(Revision(0, 6), [row('a', 4)], whole=True),
    ]
    await follow(script)
    assert [adopted.revision.version for adopted in script.adopted] == [7, 9]


@pytest.mark.parametrize(
    'received',
    [
        b'',
        b'\xc1 no message',
        msgspec.msgpack.encode([1, 0, None, True, b'not packed']),
    ],
)
def test_an_unreadable_answer_is_no_answer(received: bytes) -> None:
    """Replies that no instance would send are failures."""
    assert not isinstance(relaying_module._decode_reply(received), Success)


def test_tables_of_a_stale_reader_are_discarded() -> None:
    """The store refuses only the reader, and serves all others."""
    old = relaying_module._decode_reply(
        build_answer(TableState(Revision(0, 1), [], whole=True, age=2.1)).body,
    )
    assert relaying_module._discard_stale(old.unwrap()) is None
    fresh = relaying_module._decode_reply(
        build_answer(
            TableState(Revision(0, 1), [row('a', 1)], whole=True, age=1.9)
        ).body,
    )
    kept = relaying_module._discard_stale(fresh.unwrap())
    assert kept.rows == [row('a', 1)]


# With processes


@pytest.fixture
def site(tmp_path_factory: pytest.TempPathFactory) -> Iterator[RoutedSite]:
    """Run three instances in one zone, two with tables from the third."""
    with start_routed_site(tmp_path_factory.mktemp('site'), 3) as running:
        wait_for(
            lambda: all(map(_is_relayed, running.instances[1:])),
            'the others receive the table',
        )
        yield running


def _is_relayed(instance: object) -> bool:
    return any(
        line['event'] == 'table_told_by_peer' and line['table'] == 'op'
        for line in instance.log_lines
    )


def count_store_calls(site: RoutedSite) -> int:
    """Count all calls that the store has received."""
    calls = call_control(site.store, 'GET', '/control/calls')
    return sum(calls.values())


def test_the_store_is_read_once_for_a_zone(site: RoutedSite) -> None:
    """Store traffic does not grow with the instances of a zone.

    One instance that follows both tables makes some four calls a second.
    """
    before = count_store_calls(site)
    time.sleep(3)
    assert (count_store_calls(site) - before) / 3 < 6
    ages = [instance.dump()['age'] for instance in site.instances]
    assert max(ages) < FRESH_SECONDS


@pytest.mark.parametrize('sign', [signal.SIGSTOP, signal.SIGKILL])
def test_a_change_arrives_although_the_reader_fails(
    site: RoutedSite,
    sign: signal.Signals,
) -> None:
    """The reader is frozen or killed just before a key is revoked.

    The others must not rely on the tables that it reported: they get the new
    version from the store within the time allowed for a change.
    """
    reader, *others = site.instances
    reader.process.send_signal(sign)
    site.put_configuration(keys=('another',))
    began = time.monotonic()
    with contextlib.ExitStack() as cleanup:
        cleanup.callback(reader.process.send_signal, signal.SIGCONT)
        wait_for(
            lambda: all(
                call(instance, '/lookups/x').status == 401
                for instance in others
            ),
            'the key is refused',
        )
    assert time.monotonic() - began < APPLY_SECONDS


def test_a_resumed_reader_reports_nothing_old(site: RoutedSite) -> None:
    """The reader is suspended for seconds, and a key is issued meanwhile.

    Once it is resumed the others query it, but keep the newer version that they
    have from the store, until the reader has caught up.
    """
    reader, *others = site.instances
    reader.process.send_signal(signal.SIGSTOP)
    site.put_configuration(keys=(KEY, 'another'))
    wait_for(
        lambda: all(
            instance.dump()['version'] == site.version for instance in others
        ),
        'the new version',
    )
    reader.process.send_signal(signal.SIGCONT)
    limit = time.monotonic() + 4
    while time.monotonic() < limit:
        for instance in others:
            answer = call(instance, '/lookups/x', X_Api_Key='another')
            assert answer.status == 200
    assert reader.dump()['version'] == site.version
