"""Decoding of rows, datagrams and replies that others wrote."""

import pathlib
import re
import types
from collections.abc import Callable

import msgspec
import pytest
from returns.result import Failure

import kelproad
from kelproad.coordination.ingress.membership.messages import decode_message
from kelproad.coordination.ingress.membership.updates import decode_update
from kelproad.coordination.ingress.tables.relaying import read_after
from kelproad.coordination.ingress.tables.tablestates import (
    Revision,
    StoredRow,
)
from kelproad.platform import rows
from kelproad.platform.store import _decode_page
from kelproad.protocol.callers import CompletionBody
from kelproad.protocol.tunnels import decode_request
from kelproad.state.problems import UNREADABLE_ERRORS
from kelproad.transport.addresses import Address, AddressError

SOURCE = pathlib.Path(kelproad.__file__).parent
DEPTH = 100_000
NESTED_JSON = b''.join((b'[' * DEPTH, b']' * DEPTH))
NESTED_MSGPACK = b'%b\xc0' % (b'\x91' * DEPTH)


def decode_row(
    decode: Callable[[StoredRow], object],
) -> Callable[[bytes], object]:
    """Decode content as that of a row."""
    return lambda content: decode(StoredRow('key', content, Revision(0, 1)))


@pytest.mark.parametrize(
    ('decode', 'nested'),
    [
        (decode_row(rows.decode_endpoint), NESTED_JSON),
        (decode_row(rows.decode_configuration), NESTED_JSON),
        (lambda content: _decode_page(content, 0), NESTED_JSON),
        (lambda body: CompletionBody.from_bytes(body, 'prompt'), NESTED_JSON),
        (decode_message, NESTED_MSGPACK),
        (decode_update, NESTED_MSGPACK),
        (lambda content: decode_request(b'0000%b' % content), NESTED_MSGPACK),
    ],
)
def test_what_is_nested_deeply_is_unreadable(
    decode: Callable[[bytes], object], nested: bytes
) -> None:
    """Guards against content whose nesting ends the task that decodes it."""
    for content in (nested, b'{"x":%b}' % nested, b'\x81\xa1x%b' % nested):
        assert isinstance(decode(content), Failure)


def test_numbers_of_any_length_are_unreadable() -> None:
    """Guards against numbers for which decoders raise other errors."""
    for text in (b'9' * 5000, b'1e999', b'-%b' % (b'9' * 30)):
        with pytest.raises(UNREADABLE_ERRORS):
            msgspec.json.decode(
                b'{"service":"","address":"","zone":"","state":"",'
                b'"sequence":%b}' % text,
                type=rows._Server,
            )


@pytest.mark.parametrize(
    'text',
    [
        f'10.0.0.1:{"9" * 5000}',
        '10.0.0.1:\u00b2',
        '10.0.0.1:-1',
        '[fe80::1%a]:8',
    ],
)
def test_addresses_of_any_text_are_valid_or_not(text: str) -> None:
    """Guards against addresses that raise other errors than their own."""
    with pytest.raises(AddressError):
        Address.from_text(text)


def test_a_peer_that_states_no_revision_gets_all_rows() -> None:
    """Guards against a query whose revision can't be computed with."""
    for text in ('9' * 5000, '\u00b2', '-1', ''):
        query = {'after': text, 'era': '0'}
        assert read_after(types.SimpleNamespace(query=query)) is None


def test_every_decoder_expects_all_that_input_can_raise() -> None:
    """Guards against decoders that expect only the errors of their library."""
    caught = re.compile(r'^ *except[^:]*msgspec\.', re.MULTILINE)
    found = [
        str(path.relative_to(SOURCE))
        for path in sorted(SOURCE.rglob('*.py'))
        if caught.search(path.read_text())
    ]
    assert not found
