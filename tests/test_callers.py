"""Generated input for the parsers of callers' requests."""

import json

import msgspec
from hypothesis import example, given
from hypothesis import strategies as st
from multidict import CIMultiDict
from returns.result import Failure, Result, Success

from kelproad.coordination.claims import digest_request
from kelproad.protocol import callers
from kelproad.protocol.callers import CompletionBody
from kelproad.protocol.plain import (
    PlainCall,
    filter_answer_headers,
    filter_request_headers,
)
from kelproad.state.refusals import Ran

FIELDS = st.sampled_from(['model', 'prompt', 'messages', 'stream', 'x'])
VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(),
    lambda inner: st.lists(inner) | st.dictionaries(FIELDS, inner),
    max_leaves=8,
)
BODIES = st.dictionaries(FIELDS, VALUES).map(lambda body: json.dumps(body))


def check_refused(parsed: Result[object, object]) -> None:
    """Check that a refusal states that nothing ran and can be encoded."""
    refusal = parsed.failure()
    assert refusal.ran is Ran.NO
    assert 400 <= refusal.code.status < 500
    assert json.loads(callers.encode_refusal(refusal, 'id'))


@given(st.binary() | BODIES.map(str.encode))
@example(json.dumps({'model': chr(0xD800), 'prompt': ''}).encode())
@example(b'{"model": "m", "model": "n", "prompt": "p"}')
def test_any_body_is_parsed_or_refused(body: bytes) -> None:
    parsed = CompletionBody.from_bytes(body, 'prompt')
    if isinstance(parsed, Failure):
        check_refused(parsed)
        return
    completion = parsed.unwrap()
    assert completion.estimate_tokens(4.0) >= 1
    sent = json.loads(completion.encode_streaming())
    assert sent['stream'] is True
    assert sent['model'] == completion.model
    assert sent['prompt'] == json.loads(bytes(completion.prompt))


@given(BODIES, st.integers(0, 400), st.binary(max_size=3))
def test_damaged_body_is_parsed_or_refused(
    text: str,
    position: int,
    damage: bytes,
) -> None:
    body = text.encode()
    cut = position % (len(body) + 1)
    parsed = CompletionBody.from_bytes(
        b''.join((body[:cut], damage, body[cut + 1 :])),
        'messages',
    )
    if isinstance(parsed, Failure):
        check_refused(parsed)


@given(
    st.text()
    | st.floats().map(str)
    | st.decimals().map(str)
    | st.integers().map(str),
)
@example('1e400')
@example('1_0')
@example('٣')
@example('0.0')
def test_any_deadline_is_bounded(text: str) -> None:
    parsed = callers.parse_deadline(text, 60, 600)
    if isinstance(parsed, Success):
        assert 0 < parsed.unwrap() <= 600
    else:
        check_refused(parsed)


@given(st.text(max_size=400) | st.binary(max_size=300))
def test_any_key_can_be_stored_or_is_refused(raw: str | bytes) -> None:
    """Headers arrive decoded with surrogates for bytes that are not UTF-8."""
    text = raw
    if isinstance(raw, bytes):
        text = raw.decode('utf-8', 'surrogateescape')
    parsed = callers.parse_idempotency_key(text)
    if isinstance(parsed, Success):
        assert msgspec.json.decode(msgspec.json.encode(text)) == text
        assert 1 <= len(text) <= callers.MAX_KEY_LENGTH
    else:
        check_refused(parsed)


@given(st.binary(max_size=20), st.binary(max_size=20), st.binary(max_size=9))
def test_digest_distinguishes_requests(
    path: bytes,
    other: bytes,
    body: bytes,
) -> None:
    paths = [raw.decode('utf-8', 'surrogateescape') for raw in (path, other)]
    digests = {digest_request('POST', text, body) for text in paths}
    assert len(digests) == len(set(paths))


NAMES = st.sampled_from(
    [
        'Authorization',
        'Connection',
        'X-Owner',
        'X-PRIORITY',
        'x-workspace',
        'X-Request-ID',
        'X-Other',
        'Keep-Alive',
    ],
)


@given(st.lists(st.tuples(NAMES, st.sampled_from(['close', 'x-other', '']))))
def test_system_headers_are_not_forwarded(
    headers: list[tuple[str, str]],
) -> None:
    call = PlainCall('GET', '/', CIMultiDict(headers), b'', 0)
    forwarded = filter_request_headers(call.headers)
    assert set(map(str.lower, forwarded)) <= {'x-other'}
    named = ('Connection', 'x-other') in headers
    assert not (named and forwarded)
    assert 'Connection' not in filter_answer_headers(call.headers)
