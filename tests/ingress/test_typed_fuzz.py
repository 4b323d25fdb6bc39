"""Bounded fuzzing with values of the right types: rows, reports of peers."""

import json
import types
import typing
from unittest import mock

import msgspec
from hypothesis import given
from hypothesis import strategies as st

from kelproad.coordination.ingress.membership.exchange import TableGauges
from kelproad.coordination.ingress.membership.updates import (
    PeerUpdate,
    encode_update,
)
from kelproad.coordination.ingress.tables.confirming import (
    ConfirmedElsewhere,
)
from kelproad.coordination.ingress.tables.followed import FollowedTables
from kelproad.coordination.ingress.tables.holder import ConfigurationHolder
from kelproad.coordination.ingress.tables.tablestates import (
    Revision,
    StoredRow,
    TableState,
)
from kelproad.platform import rows
from kelproad.state import records
from tests.ingress.test_exchange import Instance
from tests.ingress.test_following import Script
from tests.ingress.test_tables import create_tables

NUMBERS = st.integers(-5, 5) | st.sampled_from(
    (0.5, 1e308, -1e308, 1e-308, 2**53, 2**63, 2**64, 2**70, 10**400)
)
#: Numbers that a datagram can hold.
PACKED = st.integers(-(2**63), 2**64 - 1) | st.integers(0, 3)
NAMES = st.sampled_from(
    ('', 's', 'h', 'H', '\x00', 'x' * 300, 'zone-a', '10.0.0.1', '10.0.0.2')
)


def build(kind: object, packed: bool) -> st.SearchStrategy:
    """Return a strategy for values of a type, whatever they are."""
    origin, inner = typing.get_origin(kind), typing.get_args(kind)
    if origin is typing.Annotated:
        return build(inner[0], packed)
    if origin is list:
        return st.lists(build(inner[0], packed), max_size=2)
    if origin is dict:
        return st.dictionaries(*(build(one, packed) for one in inner))
    if origin in {typing.Union, types.UnionType}:
        return st.one_of(*(build(one, packed) for one in inner))
    if kind is msgspec.Raw:
        return build_struct(rows._Route, packed)
    if isinstance(kind, type) and issubclass(kind, msgspec.Struct):
        return build_struct(kind, packed)
    return build_scalar(kind, packed)


def build_scalar(kind: type, packed: bool) -> st.SearchStrategy:
    """Return a strategy for values of a type that contains no other."""
    if kind is str:
        return NAMES
    if kind is int:
        return PACKED if packed else NUMBERS
    if kind is float:
        return st.floats() if packed else NUMBERS
    if kind is types.NoneType:
        return st.none()
    return st.booleans() if kind is bool else st.sampled_from(list(kind))


def build_struct(kind: type[msgspec.Struct], packed: bool) -> st.SearchStrategy:
    """Return a strategy for structs, or for the documents of their rows."""
    hints = typing.get_type_hints(kind, include_extras=True)
    names = kind.__struct_fields__ if packed else kind.__struct_encode_fields__
    fields = {
        name: build(hints[field], packed)
        for name, field in zip(names, kind.__struct_fields__, strict=True)
    }
    if packed:
        return st.builds(kind, **fields)
    return st.fixed_dictionaries(fields)


ENTRIES = st.tuples(
    build(rows._Server, packed=False),
    st.sampled_from(('10.0.0.1:80', '[::1]:8', 'x')),
    st.sampled_from(('ready', 'draining', 'x')),
)


def adopt(
    tables: FollowedTables, version: int, table: str, row: object
) -> None:
    """Have an instance adopt a row, and tell others of it."""
    revision = Revision(0, version)
    stored = StoredRow(
        'config' if table == 'op' else 'i-1',
        json.dumps(row).encode(),
        revision,
    )
    follower = tables._followed[table].follower
    with mock.patch.object(records, '_logger') as logger:
        follower._accept(TableState(revision, [stored], version == 1), 0)
    logger.exception.assert_not_called()
    assert follower._position.base == revision
    tables.list_changes_for_peer(table, None, within_zone=True)
    tables.describe_freshness(within_zone=True)


@given(
    st.lists(build(rows._Configuration, packed=False), max_size=2),
    st.lists(ENTRIES, max_size=3),
)
def test_rows_of_any_values_are_adopted_or_refused(
    configurations: list[dict[str, object]],
    entries: list[tuple[dict[str, object], str, str]],
) -> None:
    """Guards against a row that fails each time it is adopted, or reported."""
    holder = ConfigurationHolder()
    tables = create_tables(Script(), holder, rows.decode_endpoint)
    for version, configuration in enumerate(configurations, 1):
        adopt(tables, version, 'op', configuration)
    for version, (entry, address, state) in enumerate(entries, 1):
        written = entry | {'address': address, 'state': state}
        adopt(tables, version, 'servers', written)
    tables.registry.publish_expired()
    here = Instance('a', 'zone-a')
    here.exchange._tables = TableGauges(
        float, lambda: None, lambda: holder.version
    )
    assert here.build_report()


@given(
    st.lists(build(PeerUpdate, packed=True), max_size=3),
    st.sampled_from((0, 0.5)),
)
def test_reports_of_any_values_are_received(
    updates: list[PeerUpdate], waited: float
) -> None:
    """Guards against a report after which an instance can't send its own."""
    here = Instance('a', 'zone-a')
    for update in updates:
        here.hear(encode_update(update), waited)
        assert here.build_report()
        peers = here.exchange.peers
        assert peers.judge_confirmed(0) in ConfirmedElsewhere
        assert peers.count_live(0) >= 1
        peers.list_ahead(1, 0)
        peers.rank_self(0)
        peers.list_live(0)
