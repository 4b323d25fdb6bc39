"""Endpoints that send without end, before a real instance under load."""

import contextlib
import pathlib
import socket
import threading
import time
import types
from collections.abc import Callable, Iterator
from concurrent.futures import ThreadPoolExecutor

import attrs
import pytest

from testbed.processes import find_free_address
from testbed.routed import RoutedSite, start_routed_site, wait_for
from tests.ingress.callers import Answer, call, make_headers, next_id, stream
from tests.ingress.test_endless import CHUNKED, FRAMING, OK

CALLS = 8
DEADLINE_SECONDS = 3.0
#: Seconds for the way to the caller, on a busy machine.
MARGIN_SECONDS = 0.4
#: Seconds that a sound call to another service may take longer meanwhile, and
#: for which such calls are timed before.
SOUND_SECONDS = 0.3
USUAL_SECONDS = 0.3
#: Seconds in which connections are closed after the last answer.
CLOSE_SECONDS = 0.5
MOST_MEMORY = 30_000_000
#: Calls of many callers at once, and the memory of the machine that has them.
MANY_CALLS = 80
MACHINE_MEMORY = 300_000_000
SEND_SECONDS = 15.0
BODIES = types.MappingProxyType(
    {
        'chunked body': (CHUNKED, b'400\r\n%s\r\n' % (b'x' * 1024)),
        'body to the end': (b'%s\r\n' % OK, b'x' * 1024),
        'body of a failure': (
            b'HTTP/1.1 500 No\r\n\r\n',
            b'x' * 1024,
        ),
        'blank lines of events': (b'%s\r\n' % OK, b'\n'),
        'comments': (b'%s\r\n' % OK, b': ping\n\n'),
        'one event': (b'%s\r\n' % OK, b'id: 1\ndata: x\n\n'),
    }
)
KINDS = types.MappingProxyType({**FRAMING, **BODIES})


@attrs.define(eq=False)
class OpenConnection:
    """A connection to an endpoint, and whether a call came by it."""

    began_at: float
    is_call: bool = False

    def has_lasted(self, since: float) -> bool:
        """Return whether it should have been closed when calls were answered.

        Queries for the endpoint's report come at any time, and end soon.
        """
        return self.is_call or self.began_at < since


@attrs.frozen
class EndlessOutcome:
    """What came of calls to endless endpoints.

    Attributes
    ----------
    answers
        What their callers got.
    sound_delay
        Seconds by which calls to a sound service took longer than before.
    peak, growth
        Most memory of the instance, and how much more that is than before.
    lasting
        Connections to the endpoints that were left open.
    """

    answers: list[Answer]
    sound_delay: float
    peak: int
    growth: int
    lasting: int

    @property
    def has_only_failures(self) -> bool:
        """Whether no answer looks like a whole and sound one."""
        return all(
            answer.broken or answer.status >= 500 for answer in self.answers
        )


class EndlessEndpoint:
    """An endpoint that echoes the id of a call and sends without end."""

    def __init__(self, kind: str) -> None:
        """Send what ``KINDS`` has, on a free address."""
        self.address = find_free_address()
        beginning, pieces = KINDS[kind]
        self._beginning = beginning
        self._pieces = pieces * (65_536 // len(pieces))
        self._listener = socket.create_server(
            (self.address.split(':')[0], int(self.address.split(':')[1]))
        )
        self.calls = 0
        self._open: list[OpenConnection] = []
        threading.Thread(target=self._accept, daemon=True).start()

    def close(self) -> None:
        """Accept no more calls."""
        self._listener.close()

    def count_lasting(self, since: float) -> int:
        """Count open connections of calls, and those open since a time."""
        return sum(one.has_lasted(since) for one in list(self._open))

    def _accept(self) -> None:
        with contextlib.suppress(OSError):
            for accepted, _ in iter(self._listener.accept, None):
                threading.Thread(
                    target=self._send, args=(accepted,), daemon=True
                ).start()

    def _send(self, accepted: socket.socket) -> None:
        connection = OpenConnection(time.monotonic())
        self._open.append(connection)
        until = time.monotonic() + SEND_SECONDS
        with contextlib.suppress(OSError), accepted:
            head = accepted.recv(65_536).decode('latin-1').lower()
            _, name, rest = head.partition('x-kelproad-request-id:')
            connection.is_call = bool(name)
            self.calls += connection.is_call
            request_id, _, _ = rest.strip().partition('\r\n')
            field = f'\r\nX-Kelproad-Request-Id: {request_id}\r\n'.encode()
            accepted.sendall(self._beginning.replace(b'\r\n', field, 1))
            while time.monotonic() < until:
                accepted.sendall(self._pieces)
        self._open.remove(connection)


@pytest.fixture(scope='module')
def site(tmp_path_factory: pytest.TempPathFactory) -> Iterator[RoutedSite]:
    """Run one instance; a second sound service has its own route."""
    with start_routed_site(tmp_path_factory.mktemp('site')) as running:
        running.put_configuration(
            sound={'service': 'other', 'anonymous': True},
        )
        running.configuration['services'].append({'name': 'other'})
        running.configuration['version'] += 1
        running.write_configuration_again()
        running.start_endpoint('sound-1', 'other')
        instance = running.instances[0]
        wait_for(
            lambda: 'sound-1' in instance.dump()['endpoints'], 'all endpoints'
        )
        yield running


@contextlib.contextmanager
def list_only(
    site: RoutedSite, service: str, endpoints: list[EndlessEndpoint]
) -> Iterator[None]:
    """Let these be the only endpoints of a service for a while."""
    prefix = 'engine' if service == 'writer' else 'book'
    usual = [name for name in site.endpoints if name.startswith(prefix)]
    for name in usual:
        site.delete_endpoint_row(name)
    addresses = {endpoint.address: endpoint.address for endpoint in endpoints}
    site.endpoints |= addresses
    for name in addresses:
        site.put_endpoint_row(name, service)
    wait_for(lambda: list_endpoints(site, service) == set(addresses), 'them')
    yield
    for name in addresses:
        site.delete_endpoint_row(name)
        site.endpoints.pop(name)
    for name in usual:
        site.put_endpoint_row(name, service)


def list_endpoints(site: RoutedSite, service: str) -> set[str]:
    """List the endpoints of a service that the instance knows."""
    listed = site.instances[0].dump()['endpoints']
    return {name for name, one in listed.items() if one['service'] == service}


def read_memory(site: RoutedSite, field: str) -> int:
    """Read a figure of an instance's memory, in bytes."""
    status = pathlib.Path(
        f'/proc/{site.instances[0].process.pid}/status'
    ).read_text()
    _, _, rest = status.partition(f'{field}:')
    return int(rest.split()[0]) * 1024


def reset_peak(site: RoutedSite) -> int:
    """Let the peak of an instance's memory begin anew; return the present."""
    proc = pathlib.Path(f'/proc/{site.instances[0].process.pid}')
    (proc / 'clear_refs').write_text('5')
    return read_memory(site, 'VmRSS')


def call_sound(site: RoutedSite, until: Callable[[], bool]) -> float:
    """Call the sound service until something; return the longest seconds."""
    longest = float(0)
    while not until():
        answer = call(site.instances[0], '/sound/x', request_id=next_id())
        assert answer.status == 200
        longest = max(longest, answer.seconds)
        time.sleep(0.02)
    return longest


def call_endless(site: RoutedSite, service: str) -> Answer:
    """Call the endless endpoints of a service."""
    deadline = str(int(DEADLINE_SECONDS * 1000))
    if service == 'writer':
        return stream(
            site.instances[0],
            request_id=next_id(),
            X_Kelproad_Deadline_Ms=deadline,
        )
    return call(
        site.instances[0],
        '/lookups/x',
        request_id=next_id(),
        X_Kelproad_Deadline_Ms=deadline,
    )


def apply_endless_load(
    site: RoutedSite, kind: str, service: str, count: int
) -> EndlessOutcome:
    """Call endless endpoints at once, and a sound service meanwhile."""
    endpoints = [EndlessEndpoint(kind) for _ in range(2)]
    with (
        list_only(site, service, endpoints),
        ThreadPoolExecutor(count + 1) as pool,
    ):
        # What the machine's other work costs a sound call.
        ends_at = time.monotonic() + USUAL_SECONDS
        usual = call_sound(site, lambda: time.monotonic() > ends_at)
        before = reset_peak(site)
        calls = [pool.submit(call_endless, site, service) for _ in range(count)]
        sound = pool.submit(
            call_sound, site, lambda: all(one.done() for one in calls)
        )
        answers = [one.result() for one in calls]
        answered_at = time.monotonic()
        longest = sound.result()
        peak = read_memory(site, 'VmHWM')
        time.sleep(CLOSE_SECONDS)
        lasting = sum(one.count_lasting(answered_at) for one in endpoints)
    for endpoint in endpoints:
        endpoint.close()
    assert any(endpoint.calls for endpoint in endpoints)
    return EndlessOutcome(
        answers, longest - usual, peak, peak - before, lasting
    )


@pytest.mark.parametrize('service', ['writer', 'book'])
@pytest.mark.parametrize('kind', list(KINDS))
def test_endless_answers_disturb_nobody(
    site: RoutedSite, kind: str, service: str
) -> None:
    """Guards against an endpoint whose bytes end calls, or the instance."""
    outcome = apply_endless_load(site, kind, service, CALLS)
    assert outcome.has_only_failures
    slowest = max(answer.seconds for answer in outcome.answers)
    assert slowest <= DEADLINE_SECONDS + MARGIN_SECONDS
    assert outcome.sound_delay <= SOUND_SECONDS
    assert outcome.growth <= MOST_MEMORY
    assert not outcome.lasting


@pytest.mark.parametrize('service', ['writer', 'book'])
@pytest.mark.parametrize(
    'kind', ['one header', 'trailers', 'chunked body', 'body of a failure']
)
def test_many_endless_answers_at_once_end_no_instance(
    site: RoutedSite, kind: str, service: str
) -> None:
    """Guards against answers without end that fill an instance's memory."""
    outcome = apply_endless_load(site, kind, service, MANY_CALLS)
    assert outcome.has_only_failures
    assert outcome.peak <= MACHINE_MEMORY
    assert not outcome.lasting


@pytest.mark.parametrize('beginning', [b'', b'1;', b'1\r\nx\r\n0\r\nX-A: '])
def test_endless_framing_of_callers_is_given_up(
    site: RoutedSite, beginning: bytes
) -> None:
    """Guards against a caller that keeps an instance busy past its deadline."""
    host, port = site.instances[0].caller.split(':')
    fields = make_headers(next_id(), Transfer_Encoding='chunked')
    lines = [f'{name}: {text}' for name, text in fields.items()]
    head = '\r\n'.join(['POST /sound/x HTTP/1.1', *lines, '', ''])
    began = time.monotonic()
    with (
        socket.create_connection((host, int(port)), SEND_SECONDS) as opened,
        pytest.raises(ConnectionError),
    ):
        opened.sendall(head.encode() + beginning)
        while time.monotonic() - began < CLOSE_SECONDS:
            opened.sendall(b'0' * 65_536)
    assert time.monotonic() - began < CLOSE_SECONDS
    assert call(site.instances[0], '/sound/x').status == 200
