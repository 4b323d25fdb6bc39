"""Entries of endpoints that change, lapse and return."""

import operator

import msgspec
import pytest

from kelproad.coordination.ingress.tables import endpoints as registry_module
from kelproad.coordination.ingress.tables import positions as positions_module
from kelproad.coordination.ingress.tables.caching import TableCache
from kelproad.coordination.ingress.tables.endpoints import (
    MASS_LAPSE_SECONDS,
    RECOVERY_GRACE_SECONDS,
    EndpointRegistry,
)
from kelproad.coordination.ingress.tables.merging import RowMerger
from kelproad.coordination.ingress.tables.positions import StoreOutages
from kelproad.coordination.ingress.tables.roworders import ENDPOINT_ORDER
from kelproad.coordination.ingress.tables.tablestates import (
    DecodedState,
    Revision,
    StoredRow,
    TableState,
)
from kelproad.platform.rows import decode_endpoint
from kelproad.state.endpointtable import EndpointTable
from kelproad.state.routes import (
    IngressLimits,
    RoutedService,
    RoutingConfiguration,
)

#: Changes of one row, and whether routing has to learn of each.
CHANGES = (
    ({'sequence': 2}, False),
    ({'sequence': 3, 'warmup_left_ms': 5}, False),
    ({'sequence': 4, 'slots': 3}, True),
    ({'sequence': 5, 'slots': 3, 'state': 'draining'}, True),
    ({'sequence': 6, 'slots': 3, 'state': 'draining'}, False),
    ({'sequence': 1, 'born': 6}, True),
)


class Clock:
    """A clock set by tests, with the outages of the store."""

    def __init__(self) -> None:
        """Start at 1000 s; the store has not failed."""
        self.now = float(1000)
        self.outages = StoreOutages()


@pytest.fixture
def clock(monkeypatch: pytest.MonkeyPatch) -> Clock:
    """Replace the clock of the registry."""
    fake = Clock()
    monkeypatch.setattr(registry_module, 'monotonic', lambda: fake.now)
    monkeypatch.setattr(positions_module, 'monotonic', lambda: fake.now)
    return fake


@pytest.fixture
def table() -> EndpointTable:
    """Create the table that routing reads."""
    return EndpointTable()


@pytest.fixture
def registry(
    clock: Clock, table: EndpointTable, monkeypatch: pytest.MonkeyPatch
) -> EndpointRegistry:
    """Create a registry whose configuration has one service.

    It gets its entries as an instance does, merged with what is known.
    """
    made = EndpointRegistry(table, lambda: clock.outages, 2)
    merger = RowMerger('servers', ENDPOINT_ORDER)
    adopt = made.adopt
    monkeypatch.setattr(made, 'adopt', lambda state: adopt(merger.merge(state)))
    made.adopt_configuration(
        RoutingConfiguration.from_declarations(
            1,
            [],
            [RoutedService('book')],
            {},
            IngressLimits(),
            {},
        ),
    )
    return made


def write(name: str, **fields: object) -> StoredRow:
    """Build the row of an endpoint."""
    entry = {
        'service': 'book',
        'address': '10.0.0.1:80',
        'zone': 'a',
        'state': 'ready',
        'sequence': 1,
        'born': 5,
        **fields,
    }
    return StoredRow(name, msgspec.json.encode(entry), Revision(0, 1))


def decode(state: TableState) -> DecodedState:
    """Decode a state of the table with the decoder of an instance."""
    return DecodedState.from_state(state, decode_endpoint)


def change(*rows: StoredRow) -> DecodedState:
    """Build a partial update of the table."""
    return decode(TableState(Revision(0, 1), list(rows), whole=False))


def drop(name: str) -> StoredRow:
    """Build the removal of a row."""
    return StoredRow(name, None, Revision(0, 2))


def test_a_removed_endpoint_gets_no_calls(
    registry: EndpointRegistry,
    table: EndpointTable,
) -> None:
    """A removal takes effect at once while the store is healthy."""
    registry.adopt(change(write('i-1'), write('i-2'), write('i-3')))
    registry.adopt(change(drop('i-1')))
    assert set(table.all()) == {'i-2', 'i-3'}


def test_lapsed_entries_are_kept_for_a_grace_period(
    registry: EndpointRegistry,
    table: EndpointTable,
    clock: Clock,
) -> None:
    """The store failed, and all entries lapsed meanwhile.

    Endpoints renew them within two seconds of its recovery; one whose entry is
    still missing then has departed.
    """
    registry.adopt(change(write('i-1'), write('i-2')))
    clock.outages.end()
    registry.adopt(decode(TableState(Revision(0, 9), [], whole=True)))
    assert set(table.all()) == {'i-1', 'i-2'}
    clock.now += 1
    registry.adopt(change(write('i-1', sequence=2)))
    clock.now += RECOVERY_GRACE_SECONDS
    registry.publish_expired()
    assert set(table.all()) == {'i-1'}


def test_failures_one_after_another_keep_no_departed_endpoint(
    registry: EndpointRegistry,
    table: EndpointTable,
    clock: Clock,
) -> None:
    """Guards against a grace period that each failure begins anew."""
    registry.adopt(change(write('i-1'), write('i-2')))
    clock.outages.end()
    registry.adopt(change(drop('i-1')))
    answered = float(0)
    while answered < RECOVERY_GRACE_SECONDS:
        assert 'i-1' in table.all()
        clock.outages.begin()
        clock.now += 0.5
        clock.outages.end()
        clock.now += 1
        answered += 1
        registry.publish_expired()
        registry.publish_expired()
    assert set(table.all()) == {'i-2'}


def test_an_outage_amid_the_grace_period_does_not_count(
    registry: EndpointRegistry,
    table: EndpointTable,
    clock: Clock,
) -> None:
    """Guards against dropping live endpoints after two outages in a row."""
    registry.adopt(change(write('i-1'), write('i-2')))
    clock.outages.end()
    registry.adopt(change(drop('i-1')))
    clock.now += 1
    clock.outages.begin()
    clock.now += RECOVERY_GRACE_SECONDS
    clock.outages.end()
    clock.now += RECOVERY_GRACE_SECONDS - 1.1
    registry.publish_expired()
    registry.publish_expired()
    assert 'i-1' in table.all()


def test_removal_of_all_entries_counts_as_a_lapse(
    registry: EndpointRegistry,
    table: EndpointTable,
    clock: Clock,
) -> None:
    """A poll spans a short outage and shows only that all entries are missing.

    Removing them at once would leave no endpoint for the second that they take
    to return.  If they have really departed, they get no calls after two
    seconds.
    """
    registry.adopt(change(write('i-1'), write('i-2')))
    registry.adopt(change(drop('i-1'), drop('i-2')))
    assert set(table.all()) == {'i-1', 'i-2'}
    clock.now += MASS_LAPSE_SECONDS
    registry.publish_expired()
    assert not table.all()


def test_a_standstill_of_the_process_drops_no_entry_unread(
    registry: EndpointRegistry,
    table: EndpointTable,
    clock: Clock,
) -> None:
    """The entries were back in what the process had not read yet."""
    registry.adopt(change(write('i-1'), write('i-2')))
    registry.publish_expired()
    registry.adopt(change(drop('i-1'), drop('i-2')))
    clock.now += MASS_LAPSE_SECONDS + 1
    registry.publish_expired()
    assert set(table.all()) == {'i-1', 'i-2'}
    clock.now += 1
    registry.publish_expired()
    assert not table.all()


def test_an_outdated_report_is_ignored(
    registry: EndpointRegistry,
    table: EndpointTable,
) -> None:
    """A report from before an endpoint began to drain arrives late."""
    registry.adopt(change(write('i-1', state='draining', sequence=7)))
    registry.adopt(change(write('i-1', sequence=6)))
    assert table.get('i-1').leaving


def test_a_new_incarnation_resets_the_state(
    registry: EndpointRegistry,
    table: EndpointTable,
) -> None:
    """An endpoint restarts under its id and counts its reports from one.

    Failures of the previous incarnation no longer count, and the new reports
    are newer although their sequence is lower.
    """
    registry.adopt(change(write('i-1', sequence=90)))
    table.get('i-1').consecutive_failures = 2
    registry.adopt(change(write('i-1', born=6, sequence=1)))
    assert table.get('i-1').consecutive_failures == 0


@pytest.mark.parametrize(
    'fields',
    [
        {'address': 'nowhere'},
        {'address': 7},
        {'state': 'lost'},
        {'service': None},
        {'sequence': 'x'},
    ],
)
def test_invalid_entries_are_excluded(
    registry: EndpointRegistry,
    table: EndpointTable,
    fields: dict[str, object],
) -> None:
    """Another writer corrupts an entry; the other entries stay valid."""
    registry.adopt(change(write('i-1'), write('i-2')))
    registry.adopt(change(write('i-1', **{'sequence': 2, **fields})))
    assert set(table.all()) == {'i-2'}
    registry.adopt(change(StoredRow('i-9', b'\xff\x00', Revision(0, 3))))
    assert set(table.all()) == {'i-2'}


@pytest.mark.parametrize('whole', [True, False])
def test_a_corrupt_entry_is_excluded_however_it_is_received(
    registry: EndpointRegistry,
    table: EndpointTable,
    clock: Clock,
    whole: bool,
) -> None:
    """An entry is corrupted just after the store recovered.

    One instance reads the change from the store and relays the complete table
    to another.  A removed entry would be kept for the grace period; a corrupt
    one exists, so both must exclude its endpoint at once.
    """
    clock.outages.end()
    first = change(write('i-1'), write('i-2'))
    registry.adopt(first)
    cache = TableCache(operator.eq)
    cache.update(first)
    corrupt = TableState(
        Revision(0, 2),
        [StoredRow('i-1', b'', Revision(0, 2))],
        whole=False,
    )
    cache.update(decode(corrupt))
    registry.adopt(
        decode(cache.list_changes(None if whole else Revision(0, 1)))
    )
    assert set(table.all()) == {'i-2'}


def test_unconfigured_services_get_no_calls(
    registry: EndpointRegistry,
    table: EndpointTable,
) -> None:
    """An entry names a service that is not in the configuration."""
    registry.adopt(change(write('i-1', service='other')))
    assert not table.all()


def test_reports_without_news_rebuild_no_endpoint(
    registry: EndpointRegistry,
    table: EndpointTable,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against load that grows with the reports of thousands."""
    registry.adopt(change(write('i-1')))
    published = []
    replace = table.replace_groups
    monkeypatch.setattr(
        table,
        'replace_groups',
        lambda groups: (published.append(1), replace(groups)),
    )
    for fields, is_news in CHANGES:
        published.clear()
        registry.adopt(change(write('i-1', **fields)))
        assert bool(published) is is_news, fields
    endpoint = table.get('i-1')
    assert endpoint.declaration.slots == 0
    assert endpoint.declaration.incarnation == '6'


def test_an_endpoint_that_came_and_went_within_one_answer_is_gone(
    registry: EndpointRegistry, table: EndpointTable, clock: Clock
) -> None:
    """Guards against calls to an endpoint whose removal was read too early."""
    registry.adopt(change(write('i-1')))
    registry.adopt(change(write('i-2'), drop('i-2')))
    registry.publish_expired()
    assert list(table.all()) == ['i-1']
    registry.adopt(change(drop('i-1'), write('i-1', sequence=2)))
    clock.now += MASS_LAPSE_SECONDS
    registry.publish_expired()
    assert list(table.all()) == ['i-1']


def test_endpoints_whose_publication_failed_are_published_again(
    registry: EndpointRegistry,
    table: EndpointTable,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a new service without endpoints after one error."""
    with monkeypatch.context() as failing:
        failing.setattr(table, 'replace_groups', lambda _groups: [].pop())
        with pytest.raises(IndexError):
            registry.adopt(change(write('a')))
    registry.adopt(decode(TableState(Revision(0, 1), [write('a')], whole=True)))
    assert set(table.all()) == {'a'}
