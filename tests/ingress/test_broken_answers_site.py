"""Endpoints whose answers are broken, before a real instance."""

import contextlib
import socket
import struct
import threading
import time
import types
from collections.abc import Iterator
from http.client import HTTPException

import pytest

from testbed.processes import find_free_address
from testbed.routed import RoutedSite, start_routed_site
from tests.ingress.callers import Answer, call, next_id
from tests.ingress.test_endless_site import list_only

#: Seconds between two parts of an answer, so that each is received by itself.
PAUSE = 0.05
#: Bytes of a refusal that tells a caller nothing of requests to endpoints.
SHORT = 200
BODY = b'id: 1\ndata: x\n\n'
CHUNKS = b'%x\r\n%s\r\n0\r\n\r\n' % (len(BODY), BODY)
OK = b'HTTP/1.1 200 OK\r\n'
LENGTH = b'Content-Length: %d\r\n\r\n' % len(BODY)
EVENTS = b''.join(b'id: %d\ndata: x\n\n' % number for number in range(2, 2000))
#: Answers an upload at once, and resets its connection amid the upload.
RESET = 'reset'
#: More than all buffers on its way hold.
UPLOAD = bytes(16_000_000)
KINDS = types.MappingProxyType(
    {
        'status': (b'HTTP/1.1 000 Odd\r\n%s' % LENGTH, BODY),
        'name of a length': (b'%sContent-Length : 5\r\n\r\n' % OK, BODY),
        'name of a coding': (
            b'%sTransfer-Encoding : chunked\r\n\r\n' % OK,
            CHUNKS,
        ),
        'name of a connection': (
            b'%sConnection : close\r\n%s' % (OK, LENGTH),
            BODY,
        ),
        'blank before a name': (b'%s X-A: b\r\n%s' % (OK, LENGTH), BODY),
        'fold': (b'%sX-A: b\r\n X-B: c\r\n%s' % (OK, LENGTH), BODY),
        'control byte': (b'%sX\x01A: b\r\n%s' % (OK, LENGTH), BODY),
        'control byte in a value': (b'%sX-A: a\x01\r\n%s' % (OK, LENGTH), BODY),
        'length': (b'%sContent-Length: 5x\r\n\r\n' % OK, BODY),
        'not run': (
            b'HTTP/1.1 000 Odd\r\nX-Kelproad-Not-Executed: 1\r\n%s' % LENGTH,
            BODY,
        ),
        RESET: (b'%s\r\n' % OK, BODY, EVENTS),
    }
)

SOUND = types.MappingProxyType(
    {
        'no reason': (b'HTTP/1.1 200\r\n%s' % LENGTH, BODY),
        'empty reason': (b'HTTP/1.1 200 \r\n%s' % LENGTH, BODY),
        'other status': (b'HTTP/1.1 299 Odd\r\n%s' % LENGTH, BODY),
        'interim': (
            b'HTTP/1.1 103 Early\r\nX-A: b\r\n\r\n',
            b'%s%s' % (OK, LENGTH),
            BODY,
        ),
        'values': (
            b'%sX-A: a\tb\r\nX-B:\r\nX-C: \xc3\xa9\xff\r\n%s' % (OK, LENGTH),
            BODY,
        ),
        'name': (b"%s!#$%%&'*+-.^_`|~09Az: b\r\n%s" % (OK, LENGTH), BODY),
        'extension': (
            b'%sTransfer-Encoding: chunked\r\n\r\n' % OK,
            b'000%x;a=b\r\n%s\r\n0\r\n\r\n' % (len(BODY), BODY),
        ),
        'to the end': (b'%s\r\n' % OK, BODY),
    }
)
SOUND_STATUS = types.MappingProxyType({'other status': 299})


class BrokenEndpoint:
    """An endpoint that echoes the id of a call, sends parts and ends."""

    kinds = KINDS

    def __init__(self, kind: str) -> None:
        """Send what ``kinds`` has, on a free address."""
        self.address = find_free_address()
        self.calls = 0
        self._parts = self.kinds[kind]
        self._ending = struct.pack('ii', int(kind == RESET), 0)
        host, port = self.address.split(':')
        self._listener = socket.create_server((host, int(port)))
        threading.Thread(target=self._accept, daemon=True).start()

    def close(self) -> None:
        """Accept no more calls."""
        self._listener.close()

    def _accept(self) -> None:
        with contextlib.suppress(OSError):
            for accepted, _ in iter(self._listener.accept, None):
                threading.Thread(
                    target=self._answer, args=(accepted,), daemon=True
                ).start()

    def _answer(self, accepted: socket.socket) -> None:
        with contextlib.suppress(OSError), accepted:
            head = accepted.recv(4096).decode('latin-1').lower()
            _, name, rest = head.partition('x-kelproad-request-id:')
            self.calls += bool(name)
            request_id, _, _ = rest.strip().partition('\r\n')
            field = f'\r\nX-Kelproad-Request-Id: {request_id}\r\n\r\n'.encode()
            for part in self._parts:
                if part.startswith(b'HTTP/'):
                    part = part.replace(b'\r\n\r\n', field, 1)
                accepted.sendall(part)
                time.sleep(PAUSE)
            accepted.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, self._ending
            )


@pytest.fixture(scope='module')
def site(tmp_path_factory: pytest.TempPathFactory) -> Iterator[RoutedSite]:
    """Run one instance."""
    with start_routed_site(tmp_path_factory.mktemp('site')) as running:
        running.limits = {'max_body_bytes': len(UPLOAD)}
        running.put_configuration()
        yield running


def ask(site: RoutedSite, route: str, body: bytes) -> Answer | None:
    """Send a call on a route; return ``None`` for what is no HTTP."""
    request_id = next_id()
    tokens = {'X_Kelproad_Token_Count': '100,50'} if route == 'fragile' else {}
    try:
        return call(
            site.instances[0],
            # The same request would be suspected after a while.
            f'/{route}/{request_id}',
            'POST',
            body,
            request_id,
            **tokens,
        )
    except HTTPException:
        return None


@pytest.mark.parametrize('route', ['lookups', 'bookings', 'fragile'])
@pytest.mark.parametrize('kind', list(KINDS))
def test_broken_answers_reach_no_caller(
    site: RoutedSite, kind: str, route: str
) -> None:
    """Guards against a broken answer that a caller gets as a sound one."""
    service = 'writer' if route == 'fragile' else 'book'
    endpoints = [BrokenEndpoint(kind) for _ in range(2)]
    with list_only(site, service, endpoints):
        answer = ask(site, route, UPLOAD if kind == RESET else b'x')
    for endpoint in endpoints:
        endpoint.close()
    assert any(one.calls for one in endpoints)
    assert answer is not None
    # A call that may run once is sent on only if it has not run.
    assert route == 'lookups' or sum(one.calls for one in endpoints) == 1
    assert answer.broken or answer.status == 502
    assert answer.broken or BODY not in answer.body
    assert answer.broken or len(answer.body) < SHORT


class SoundEndpoint(BrokenEndpoint):
    """An endpoint whose answers look odd and are sound."""

    kinds = SOUND


@pytest.mark.parametrize('route', ['bookings', 'fragile'])
@pytest.mark.parametrize('kind', list(SOUND))
def test_odd_sound_answers_are_served_by_one_run(
    site: RoutedSite, kind: str, route: str
) -> None:
    """Guards against sound answers that are refused, or run again."""
    service = 'writer' if route == 'fragile' else 'book'
    endpoints = [SoundEndpoint(kind) for _ in range(2)]
    with list_only(site, service, endpoints):
        answer = ask(site, route, b'x')
    for endpoint in endpoints:
        endpoint.close()
    assert (answer.status, answer.body) == (SOUND_STATUS.get(kind, 200), BODY)
    assert sum(one.calls for one in endpoints) == 1
