"""Entries of endpoints that change, vanish and come back."""

import operator

import msgspec
import pytest

from kelproad.coordination.ingress import endpoints as registry_module
from kelproad.coordination.ingress.caching import TableCache
from kelproad.coordination.ingress.decoding import DecodedState
from kelproad.coordination.ingress.endpoints import (
    MASS_LAPSE_SECONDS,
    RECOVERY_GRACE_SECONDS,
    EndpointRegistry,
)
from kelproad.coordination.ingress.tablestates import StoredRow, TableState
from kelproad.platform.rows import decode_endpoint
from kelproad.state.endpoints import EndpointTable
from kelproad.state.routes import (
    IngressLimits,
    RoutedService,
    RoutingConfiguration,
)

LONG_AGO = float('-inf')


class Clock:
    """A clock that tests set."""

    def __init__(self) -> None:
        """Start at a thousand seconds; the store was never away."""
        self.now = 1000
        self.back_at = LONG_AGO


@pytest.fixture
def clock(monkeypatch: pytest.MonkeyPatch) -> Clock:
    """Put a clock of the test's own in the place of the real one."""
    own = Clock()
    monkeypatch.setattr(registry_module, 'monotonic', lambda: own.now)
    return own


@pytest.fixture
def table() -> EndpointTable:
    """Give the table that routing reads."""
    return EndpointTable()


@pytest.fixture
def registry(clock: Clock, table: EndpointTable) -> EndpointRegistry:
    """Register for one service."""
    made = EndpointRegistry(table, lambda: clock.back_at, 2)
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
    return StoredRow(name, msgspec.json.encode(entry), 1)


def decode(state: TableState) -> DecodedState:
    """Decode a state of the table as an instance does."""
    return DecodedState.from_state(state, decode_endpoint)


def change(*rows: StoredRow) -> DecodedState:
    """Build a change of the table."""
    return decode(TableState(1, list(rows), whole=False))


def drop(name: str) -> StoredRow:
    """Build the dropping of a row."""
    return StoredRow(name, None, 2)


def test_one_that_is_gone_gets_nothing(
    registry: EndpointRegistry,
    table: EndpointTable,
) -> None:
    """An entry is taken out while the store is well: it counts at once."""
    registry.adopt(change(write('i-1'), write('i-2'), write('i-3')))
    registry.adopt(change(drop('i-1')))
    assert set(table.all()) == {'i-2', 'i-3'}


def test_lapsed_entries_are_kept_until_they_had_time(
    registry: EndpointRegistry,
    table: EndpointTable,
    clock: Clock,
) -> None:
    """The store was away, and all entries lapsed with it.

    They are back within two seconds of its return; who is missing after that
    is gone.
    """
    registry.adopt(change(write('i-1'), write('i-2')))
    clock.back_at = clock.now
    registry.adopt(decode(TableState(9, [], whole=True)))
    assert set(table.all()) == {'i-1', 'i-2'}
    clock.now += 1
    registry.adopt(change(write('i-1', sequence=2)))
    clock.now += RECOVERY_GRACE_SECONDS
    registry.publish_expired()
    assert set(table.all()) == {'i-1'}


def test_all_at_once_is_taken_for_a_lapse(
    registry: EndpointRegistry,
    table: EndpointTable,
    clock: Clock,
) -> None:
    """A poll spans a short outage and shows only that all entries are gone.

    Taking that for true would leave no endpoint for the second that they take
    to come back.  Nothing may be sent two seconds after a true leaving.
    """
    registry.adopt(change(write('i-1'), write('i-2')))
    registry.adopt(change(drop('i-1'), drop('i-2')))
    assert set(table.all()) == {'i-1', 'i-2'}
    clock.now += MASS_LAPSE_SECONDS
    registry.publish_expired()
    assert not table.all()


def test_an_outdated_report_undoes_nothing(
    registry: EndpointRegistry,
    table: EndpointTable,
) -> None:
    """A report from before an endpoint began to leave arrives after it."""
    registry.adopt(change(write('i-1', state='draining', sequence=7)))
    registry.adopt(change(write('i-1', sequence=6)))
    assert table.get('i-1').leaving


def test_a_new_life_starts_anew(
    registry: EndpointRegistry,
    table: EndpointTable,
) -> None:
    """An endpoint restarts under its id; its counts begin again.

    What was held against its former life does not hold any more, and its
    reports are newer although their sequence is lower.
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
def test_entries_that_make_no_sense_name_no_endpoint(
    registry: EndpointRegistry,
    table: EndpointTable,
    fields: dict[str, object],
) -> None:
    """Another writer spoils an entry; the others hold."""
    registry.adopt(change(write('i-1'), write('i-2')))
    registry.adopt(change(write('i-1', **{'sequence': 2, **fields})))
    assert set(table.all()) == {'i-2'}
    registry.adopt(change(StoredRow('i-9', b'\xff\x00', 3)))
    assert set(table.all()) == {'i-2'}


@pytest.mark.parametrize('whole', [True, False])
def test_a_spoilt_entry_is_left_however_it_is_told(
    registry: EndpointRegistry,
    table: EndpointTable,
    clock: Clock,
    whole: bool,
) -> None:
    """An entry is spoilt just after the store came back.

    One instance reads the change from the store, another is told the whole
    table by it.  A dropped entry would be kept until it had time to come back;
    this one is there, and names no endpoint, for either of them.
    """
    clock.back_at = clock.now
    first = change(write('i-1'), write('i-2'))
    registry.adopt(first)
    cache = TableCache(operator.eq)
    cache.update(first)
    spoilt = TableState(2, [StoredRow('i-1', b'', 2)], whole=False)
    cache.update(decode(spoilt))
    registry.adopt(decode(cache.list_changes(None if whole else 1)))
    assert set(table.all()) == {'i-2'}


def test_services_that_are_not_configured_get_no_calls(
    registry: EndpointRegistry,
    table: EndpointTable,
) -> None:
    """An entry names a service that no configuration has."""
    registry.adopt(change(write('i-1', service='other')))
    assert not table.all()
