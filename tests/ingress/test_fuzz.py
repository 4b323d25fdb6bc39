"""Bounded fuzzing of input from callers, peers, endpoints and the store."""

import contextlib

import msgspec
import pytest
from aiohttp.test_utils import make_mocked_request
from hypothesis import given
from hypothesis import strategies as st
from multidict import CIMultiDict
from returns.result import Failure, Success

from kelproad.coordination.ingress.tables.tablestates import Revision, StoredRow
from kelproad.platform.headers import read_call_head
from kelproad.platform.rows import decode_configuration, decode_endpoint
from kelproad.platform.settings import parse_node_settings
from kelproad.protocol.events import SequenceError
from kelproad.protocol.eventstreams import EventSplitter
from tests.ingress.test_exchange import Instance

JSON = st.recursive(
    st.none()
    | st.booleans()
    | st.integers(-(2**63), 2**63)
    | st.floats()
    | st.text(),
    lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
    max_leaves=12,
)
FIELD = st.one_of(
    st.none(),
    st.integers(),
    st.text(max_size=12),
    st.lists(st.integers(), max_size=3),
)
CONFIGURATION = st.fixed_dictionaries(
    {},
    optional={
        name: FIELD
        for name in ('version', 'routes', 'services', 'limits', 'tenants')
    },
)
ENDPOINT = st.fixed_dictionaries(
    {},
    optional={
        name: FIELD
        for name in ('service', 'address', 'zone', 'state', 'sequence', 'born')
    },
)
HEADER_TEXT = st.text(
    st.characters(min_codepoint=32, max_codepoint=126),
    max_size=20,
)


@given(st.text())
def test_settings_are_read_or_refused(text: str) -> None:
    """Arbitrary text is reported as problems, never raises."""
    assert isinstance(parse_node_settings(text, 'file'), Failure)


@given(st.binary() | JSON.map(repr).map(str.encode))
def test_rows_of_any_bytes_are_read_or_refused(encoded: bytes) -> None:
    """Other writers may store arbitrary values."""
    row = StoredRow('config', encoded, Revision(0, 1))
    assert isinstance(decode_configuration(row), Failure)
    assert isinstance(decode_endpoint(row), Failure)


@given(CONFIGURATION, ENDPOINT)
def test_rows_with_invalid_fields_are_read_or_refused(
    configuration: dict[str, object],
    endpoint: dict[str, object],
) -> None:
    """Fields may be missing or of a wrong type."""
    row = StoredRow(
        'config', msgspec.json.encode(configuration), Revision(0, 1)
    )
    assert isinstance(decode_configuration(row), Success | Failure)
    row = StoredRow('i-1', msgspec.json.encode(endpoint), Revision(0, 1))
    assert isinstance(decode_endpoint(row), Success | Failure)


@given(st.lists(st.binary() | JSON.map(msgspec.msgpack.encode), max_size=4))
def test_datagrams_of_any_bytes_are_ignored(datagrams: list[bytes]) -> None:
    """The port of the instances accepts datagrams from any sender."""
    here = Instance('a', 'zone-a')
    for datagram in datagrams:
        here.hear(datagram)
    assert here.exchange.peers.count_live(0) == 1


@given(
    st.lists(
        st.sampled_from(
            (
                'X-Kelproad-Request-Id',
                'X-Kelproad-Deadline-Ms',
                'X-Kelproad-Token-Count',
                'X-Kelproad-Length-Hint',
                'X-Kelproad-Prompt-Prefix',
                'Last-Event-Id',
                'X-Api-Key',
                'Host',
            ),
        ).flatmap(
            lambda name: st.tuples(st.just(name), HEADER_TEXT),
        ),
        max_size=8,
    ),
)
def test_heads_are_read_or_refused(headers: list[tuple[str, str]]) -> None:
    """Callers may send any text in the headers that are parsed."""
    call = make_mocked_request('GET', '/x/', headers=CIMultiDict(headers))
    read = read_call_head(call)
    assert isinstance(read, Success | Failure)
    if isinstance(read, Success):
        assert read.unwrap().prompt_tokens >= 0


@given(st.integers(0, 9), st.lists(st.integers(1, 40), max_size=12))
def test_events_don_t_depend_on_how_bytes_arrive(
    events: int,
    cuts: list[int],
) -> None:
    """Complete events result from any division of the bytes into chunks."""
    stream = b''.join(
        b'id: %d\ndata: piece %d\n\n' % (number, number)
        for number in range(1, events + 1)
    )
    cutter = EventSplitter()
    seen = []
    rest = stream
    for cut in (*cuts, len(stream)):
        seen += cutter.feed(rest[:cut])
        rest = rest[cut:]
    assert b''.join(event.encoded for event in seen) == stream
    assert not cutter.has_partial_event


@given(st.lists(st.binary(max_size=30), max_size=10))
def test_streams_of_any_bytes_are_cut_or_refused(
    chunks: list[bytes],
) -> None:
    """A corrupt stream raises ``SequenceError`` only: an endpoint's fault."""
    cutter = EventSplitter(3)
    with contextlib.suppress(SequenceError):
        for chunk in chunks:
            cutter.feed(chunk)


@pytest.mark.parametrize('after', [None, 2])
def test_gaps_and_repetitions(after: int | None) -> None:
    """A missing event is an error; a repeated one is dropped."""
    cutter = EventSplitter(after)
    assert len(cutter.feed(b'id: 3\ndata: x\n\nid: 3\ndata: x\n\n')) == 1
    assert cutter.repeated == 1
    with pytest.raises(SequenceError):
        cutter.feed(b'id: 5\ndata: y\n\n')
