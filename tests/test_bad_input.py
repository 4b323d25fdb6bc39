"""Bad input gets a clear refusal and writes nothing to the log."""

import contextlib
import itertools
import json
import socket
import time

import pytest

from testbed.site import Site
from tests.clients import KEY, MODEL, call, complete

_HEAD = (
    'POST /v1/completions HTTP/1.1\r\nHost: x\r\n'
    f'Authorization: Bearer {KEY}\r\n'
)


def exchange(
    address: str,
    *parts: bytes,
    seconds: float = 20,
) -> bytes:
    """Send raw bytes, part by part, and return what is received.

    Reading ends when the server closes, after an error body, or after
    ``seconds``.
    """
    host, _, port = address.rpartition(':')
    received = b''
    limit = time.monotonic() + seconds
    with socket.create_connection((host, int(port)), timeout=seconds) as raw:
        with contextlib.suppress(ConnectionError):
            for part in parts:
                raw.sendall(part)
            while time.monotonic() < limit:
                chunk = raw.recv(65536)
                received += chunk
                if not chunk or b'"error"' in received:
                    break
    return received


def post(rest: bytes) -> bytes:
    """Prepend the request line and key of a completion call to ``rest``."""
    return b''.join((_HEAD.encode(), rest))


def with_length(head: str, encoding: str = 'utf-8') -> bytes:
    """Build a complete completion call with one extra header line."""
    body = json.dumps({'model': MODEL, 'prompt': 'x'}).encode()
    length = b'Content-Length: %d' % len(body)
    return post(b'\r\n'.join((head.encode(encoding), length, b'', body)))


def status_of(answer: bytes) -> int:
    """Parse the status code of a raw answer."""
    return int(answer.split(b' ', 2)[1])


@pytest.mark.parametrize(
    'body',
    [
        b'',
        b'null',
        b'[]',
        b'{"model": ',
        b'{"model": 3, "prompt": "x"}',
        b'{"model": "roadgrip-report"}',
        b'{"model": "roadgrip-report", "prompt": "\xff\xfe"}',
        b'{"model": "roadgrip-report", "prompt": "x", "stream": "yes"}',
        b'{"model": "roadgrip-report", "prompt": 1, "stream": 7}',
        b'\x00' * 64,
        b'[' * 100_000,
        b'{"a":' * 100_000,
    ],
)
def test_malformed_body(roadgrip: Site, body: bytes) -> None:
    answer = call(roadgrip.callers[0], '/v1/completions', body, 'POST')
    assert answer.status == 400
    assert answer.refusal()['ran'] == 'no'
    assert answer.refusal()['step'] == 'receive'


@pytest.mark.parametrize(
    'deadline',
    ['nan', 'inf', '-inf', '-1', '0', '1e400', '', 'soon', '1_0', '١', '0x1'],
)
def test_absurd_deadline(roadgrip: Site, deadline: str) -> None:
    raw = with_length(f'X-Deadline-Seconds: {deadline}')
    answer = exchange(roadgrip.callers[0], raw)
    assert status_of(answer) == 400
    assert b'"ran":"no"' in answer


@pytest.mark.parametrize('key', ['', ' ', 'k' * 300, 'a\x7fb', 'a\tb', 'é\x85'])
def test_odd_key(roadgrip: Site, key: str) -> None:
    raw = with_length(f'Idempotency-Key: {key}', 'latin-1')
    answer = exchange(roadgrip.callers[0], raw)
    assert status_of(answer) == 400


def test_slash_in_a_key_names_no_other_workspace(roadgrip: Site) -> None:
    """Keys of different workspaces stay separate, whatever their characters."""
    headers = {'Idempotency-Key': '../authority-engineers/k?x=1&y=%2F#'}
    first = complete(roadgrip.callers[0], headers=headers)
    again = complete(roadgrip.callers[1], headers=headers)
    assert first.status == again.status == 200
    assert again.headers['Idempotency-Replayed'] == 'true'
    assert first.body == again.body


@pytest.mark.parametrize(
    'raw',
    [
        b'GARBAGE\r\n\r\n',
        b'POST /v1/completions HTTP/9.9\r\n\r\n',
        b'POST /v1/completions HTTP/1.1\r\nbad header\r\n\r\n',
        b'POST /v1/completions HTTP/1.1\r\nA: \x00\r\n\r\n',
        post(b'Content-Length: -5\r\n\r\n'),
        post(b'Content-Length: 5\r\nContent-Length: 6\r\n\r\n'),
        post(b'Transfer-Encoding: chunked\r\n\r\nZZ\r\n'),
        post(
            b'Transfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\n0\r\n\r\n'
        ),
        post(b'X-Long: %b\r\n\r\n' % bytes(100_000).replace(b'\x00', b'a')),
        post(b'Content-Encoding: gzip\r\nContent-Length: 5\r\n\r\nhello'),
    ],
)
def test_malformed_http(roadgrip: Site, raw: bytes) -> None:
    """Malformed HTTP is refused unlogged, and the instance keeps serving."""
    log = roadgrip.instances[0].process.log
    before = log.stat().st_size
    for _ in range(3):
        assert 400 <= status_of(exchange(roadgrip.callers[0], raw)) < 500
    assert log.stat().st_size == before
    assert complete(roadgrip.callers[0]).status == 200


def test_endless_body_is_refused(roadgrip: Site) -> None:
    """A caller streams an endless body, which must not fill the memory."""
    head = post(b'Transfer-Encoding: chunked\r\n\r\n')
    chunk = b'10000\r\n%b\r\n' % bytes(65_536)
    answer = exchange(roadgrip.callers[0], head, *itertools.repeat(chunk, 300))
    assert status_of(answer) == 413


def test_slow_body_is_refused_by_the_deadline(roadgrip: Site) -> None:
    """A caller sends its body too slowly for the deadline that it set."""
    head = post(b'X-Deadline-Seconds: 1\r\nContent-Length: 100\r\n\r\n{')
    started = time.monotonic()
    answer = exchange(roadgrip.callers[0], head)
    assert status_of(answer) == 400
    taken = time.monotonic() - started
    assert round(taken) == 1


def test_short_body_is_dropped(roadgrip: Site) -> None:
    """A caller closes before it has sent all of the announced body."""
    head = post(b'Content-Length: 100\r\n\r\n{"model":')
    host, _, port = roadgrip.callers[0].rpartition(':')
    log = roadgrip.instances[0].process.log
    before = log.stat().st_size
    for _ in range(3):
        with socket.create_connection((host, int(port))) as raw:
            raw.sendall(head)
    assert complete(roadgrip.callers[0]).status == 200
    assert log.stat().st_size == before


def test_caller_cannot_forge_system_headers(roadgrip: Site) -> None:
    """A caller sets headers by which endpoints identify the request.

    The service must get the values that the system sets, and neither the API
    key nor the headers of the caller's own connection.
    """
    head = (
        'GET /services/test-runs/headers HTTP/1.1\r\nHost: forged\r\n'
        f'Authorization: Bearer {KEY}\r\nX-Deadline-Seconds: 5\r\n'
        'Connection: close, X-Private\r\nX-Private: forged\r\n'
        'X-Kept: kept\r\n'
    )
    forged = ''.join(
        f'X-{name}: forged\r\nx-{name.lower()}: forged\r\n'
        for name in ('Attempt-Id', 'Owner', 'Priority', 'Workspace')
    )
    answer = exchange(
        roadgrip.callers[0],
        f'{head}{forged}X-Request-Id: forged\r\n\r\n'.encode(),
    )
    assert status_of(answer) == 200
    body = answer.partition(b'\r\n\r\n')[2]
    assert b'forged' not in body
    assert KEY.encode() not in body
    seen = {name.lower(): text for name, text in json.loads(body).items()}
    assert seen['x-kept'] == 'kept'
    assert seen['x-workspace'] == 'crews-colombo'
    assert seen['x-request-id'].encode() in answer.partition(b'\r\n\r\n')[0]
    assert 4 < float(seen['x-deadline-seconds']) <= 5
