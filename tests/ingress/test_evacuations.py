"""Evacuated zones: which orders hold, and what is chosen, without processes."""

import pytest

from kelproad.coordination.ingress.placing.placement import NoPlacementError
from kelproad.coordination.ingress.streams.progress import Progress
from kelproad.coordination.ingress.tables import evacuations as module
from kelproad.coordination.ingress.tables.evacuations import ZoneEvacuations
from kelproad.coordination.ingress.tables.merging import RowMerger
from kelproad.coordination.ingress.tables.roworders import (
    OPERATOR_ORDER,
    OperatorRow,
)
from kelproad.coordination.ingress.tables.tablestates import (
    DecodedState,
    Revision,
    StoredRow,
    TableState,
)
from kelproad.platform.rows import decode_evacuation
from kelproad.state.counters import Counters, EvacuationMetrics
from kelproad.state.declarations import (
    EndpointDeclaration,
    EndpointGroup,
    EndpointKind,
)
from kelproad.state.endpointtable import EndpointTable
from tests.ingress.test_attempts import build_call
from tests.ingress.test_limited_placement import Site

LOST_SECONDS = 10
ZONES = ('a', 'b', 'c')


class Orders:
    """The operators' table as an instance reads it, on a clock of its own."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        """Start without orders, with an endpoint in each zone."""
        self.now = 100.0
        monkeypatch.setattr(module, 'monotonic', lambda: self.now)
        self.table = EndpointTable()
        endpoints = [
            EndpointDeclaration(f'i-{zone}', zone, '') for zone in ZONES
        ]
        group = EndpointGroup('book', EndpointKind.PLAIN, endpoints)
        self.table.replace_groups([group])
        self.evacuations = ZoneEvacuations(
            self.table,
            EvacuationMetrics(Counters().registry),
            lambda _names: 0,
        )
        self._merger = RowMerger('op', OPERATOR_ORDER)

    @property
    def zones(self) -> str:
        """Zones whose endpoints get nothing, as one text."""
        return ''.join(
            endpoint.declaration.zone
            for endpoint in self.table.all().values()
            if endpoint.evacuated
        )

    def read(
        self,
        *rows: tuple[str, int, bytes | None],
        version: int = 99,
        era: int = 1,
        whole: bool = False,
    ) -> str:
        """Read rows by zone, version and content; return the zones after."""
        stored = [
            StoredRow(f'evacuate/{zone}', encoded, Revision(era, written))
            for zone, written, encoded in rows
        ]
        state = TableState(Revision(era, version), stored, whole)
        decoded = DecodedState.from_state(state, decode_row)
        self.evacuations.adopt(self._merger.merge(decoded))
        return self.zones


def decode_row(row: StoredRow) -> OperatorRow:
    """Decode a row that is no configuration."""
    return OperatorRow(
        row.encoded, row.revision, evacuation=decode_evacuation(row)
    )


@pytest.fixture
def orders(monkeypatch: pytest.MonkeyPatch) -> Orders:
    """Build the reading of an instance."""
    return Orders(monkeypatch)


def test_an_order_holds_until_it_is_taken_back(orders: Orders) -> None:
    """Guards against calls to a zone that operators have evacuated."""
    assert orders.read(('a', 1, b'{}'), whole=True) == 'a'
    assert orders.read(('c', 2, b'{}')) == 'ac'
    assert orders.read(('a', 3, None)) == 'c'
    assert orders.read(('a', 4, b'{}'), ('a', 5, None), ('a', 6, b'{}')) == 'ac'
    assert orders.read(whole=True) == ''


def test_endpoints_that_come_later_are_evacuated(orders: Orders) -> None:
    """Guards against calls to an endpoint that starts in an evacuated zone."""
    orders.read(('b', 1, b'{}'))
    endpoint = EndpointDeclaration('i-new', 'b', '')
    group = EndpointGroup('book', EndpointKind.PLAIN, [endpoint])
    orders.table.replace_groups([group])
    assert orders.zones == 'b'


@pytest.mark.parametrize('text', [b'', b'no', b'[]', b'{', b'\xff', b'1' * 999])
def test_an_unreadable_row_evacuates_nothing(
    orders: Orders, text: bytes
) -> None:
    """Guards against a stray row that takes a zone out."""
    assert orders.read(('a', 1, text), ('b', 2, b'{}')) == 'b'
    assert orders.read(('b', 3, text)) == ''
    assert orders.read(('', 4, b'{}'), ('nowhere', 5, b'{}')) == ''
    assert 'nowhere' in orders.evacuations.describe()


def test_an_order_given_anew_is_no_old_one(orders: Orders) -> None:
    """Guards against a whole table whose new order is taken for the old."""
    orders.read(('a', 1, b'{}'), whole=True)
    orders.read(('a', 2, None))
    assert orders.read(('a', 1, b'{}'), whole=True) == ''
    assert orders.read(('a', 3, b'{}'), whole=True) == 'a'


def test_an_order_that_a_restored_store_lacks(orders: Orders) -> None:
    """Guards against an order that is lost at once, or held for good."""
    orders.read(('a', 5, b'{}'), ('b', 6, b'{}'), whole=True)
    assert orders.read(version=4, era=2, whole=True) == 'ab'
    assert orders.read(('a', 5, b'{}'), era=2) == 'ab'
    orders.now += LOST_SECONDS + 1
    orders.evacuations.expire()
    assert orders.zones == 'a'


def test_an_order_that_only_the_copy_has(orders: Orders) -> None:
    """Guards against a copy that evacuates a zone that was taken back."""
    orders.read(('a', 5, b'{}'), ('b', 6, b'{}'), whole=True)
    orders.read(('a', 7, None), ('b', 8, None))
    rows = (('a', 5, b'{}'), ('b', 7, b'{}'))
    assert orders.read(*rows, version=9, era=2, whole=True) == 'b'


def place_zones() -> Site:
    """Build a chooser over one engine in each zone."""
    site = Site()
    names = dict(zip(ZONES, site.table.all(), strict=True))
    declarations = [
        EndpointDeclaration(name, zone, '10.0.0.1:80', slots=8)
        for zone, name in names.items()
    ]
    group = EndpointGroup('book', EndpointKind.ENGINE, declarations)
    site.table.replace_groups([group])
    return site


async def test_nothing_is_sent_to_an_evacuated_zone() -> None:
    """Guards against helpers, retries and first attempts that go there."""
    site = place_zones()
    chosen = await site.place(150_000)
    assert 'a' in {one.declaration.zone for one in chosen.endpoints}
    site.table.evacuate(frozenset('a'))
    assert site.chooser.find_unusable(chosen).declaration.zone == 'a'
    for tokens in (500, 150_000):
        for _ in range(20):
            placement = await site.place(tokens)
            zones = {one.declaration.zone for one in placement.endpoints}
            assert 'a' not in zones
    site.table.evacuate(frozenset())
    assert site.chooser.find_unusable(chosen) is None


async def test_evacuated_endpoints_are_no_last_resort() -> None:
    """Guards against calls for which no other endpoint is left."""
    site = place_zones()
    site.table.evacuate(frozenset('ab'))
    left = site.table.in_zone('book', 'c')[0]
    progress = Progress()
    progress.tried.add(left.name)
    with pytest.raises(NoPlacementError):
        await site.chooser.choose(build_call(), progress)


async def test_with_all_zones_evacuated_calls_are_refused_at_once() -> None:
    """Guards against calls that are held until their deadline."""
    site = place_zones()
    site.table.evacuate(frozenset(ZONES))
    with pytest.raises(NoPlacementError) as refusal:
        await site.place()
    assert not refusal.value.worth_waiting
    assert refusal.value.retry_after > 0
    for endpoint in site.table.all().values():
        endpoint.withdrawal.pause(float('inf'))
    with pytest.raises(NoPlacementError) as refusal:
        await site.place()
    assert not refusal.value.worth_waiting


def test_no_tunnel_leads_into_an_evacuated_zone(orders: Orders) -> None:
    """Guards against helping an instance that has not read the order."""
    address = '10.0.0.1:80'
    endpoint = EndpointDeclaration('i-1', 'b', address)
    group = EndpointGroup('book', EndpointKind.PLAIN, [endpoint])
    orders.table.replace_groups([group])
    assert orders.table.serves_at(address, 0)
    orders.read(('b', 1, b'{}'))
    assert not orders.table.serves_at(address, 0)
