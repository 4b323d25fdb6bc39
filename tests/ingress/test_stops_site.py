"""Planned stops of an instance, as callers see them until it exits."""

import contextlib
import signal
import socket
import sys
import threading
import time
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor

import pytest

from testbed.calls import CallError, call_control
from testbed.processes import Process, wait_until_answering
from testbed.routed import (
    RoutedInstance,
    RoutedSite,
    start_routed_site,
    wait_for,
)
from tests.ingress.callers import (
    Answer,
    call,
    list_event_ids,
    make_headers,
    next_id,
    run_in_thread,
    stream,
)

ENGINES = ('engine-1', 'engine-2', 'engine-3')
BOOKS = ('book-1', 'book-2')
#: Seconds within which a refusal must arrive.
SLACK = 0.2
#: Size in bytes of a small receive buffer.
PAGE = 4096
#: Bytes that do not fit into the buffers of a connection.
LONG_ANSWER = 6_000_000


@pytest.fixture
def site(tmp_path_factory: pytest.TempPathFactory) -> Iterator[RoutedSite]:
    """Run a site of two instances that the test may break."""
    with start_routed_site(tmp_path_factory.mktemp('site'), 2) as running:
        yield running


def find_line(
    instance: RoutedInstance,
    event: str,
    request_id: str,
) -> dict[str, object]:
    """Wait for the first line of a log with this event of a call."""
    found: list[dict[str, object]] = []

    def search() -> bool:
        found.extend(
            line
            for line in instance.log_lines
            if line['event'] == event and line.get('request') == request_id
        )
        return bool(found)

    wait_for(search, f'{event} of {request_id}')
    return found[0]


def begin_stop(
    site: RoutedSite,
    instance: RoutedInstance,
    results: list[Answer],
) -> threading.Thread:
    """Stop an instance while it forwards a stream of 4.5 s."""
    for name in ENGINES:
        site.set_endpoint_faults(name, pace=0.9, events=5)
    thread = run_in_thread(
        lambda: stream(instance, X_Kelproad_Deadline_Ms='9000'),
        results,
    )
    time.sleep(0.3)
    instance.process.send_signal(signal.SIGTERM)
    return thread


def test_a_planned_stop_cuts_nothing(site: RoutedSite) -> None:
    """An instance receives SIGTERM while it forwards a stream.

    The stream is complete, responses close kept-alive connections, and the
    readiness check fails at once so that the balancer sends no more calls.
    """
    instance = site.instances[0]
    for name in ENGINES:
        site.set_endpoint_faults(name, pace=0.4, events=6)
    results: list[Answer] = []
    thread = run_in_thread(lambda: stream(instance), results)
    time.sleep(0.5)
    instance.process.send_signal(signal.SIGTERM)
    time.sleep(0.2)
    with pytest.raises(CallError):
        call_control(instance.ready, 'GET', '/-/readyz')
    late = call(instance, '/open/x')
    assert late.status == 200
    assert late.headers['Connection'] == 'close'
    thread.join()
    assert list_event_ids(results[0]) == [1, 2, 3, 4, 5, 6]
    assert not results[0].broken
    assert instance.process.wait(8) == 0


def test_a_stop_refuses_what_it_would_cut(site: RoutedSite) -> None:
    """A balancer keeps sending calls to an instance that is stopping.

    No other instance of the zone is in rotation, so a long stream arrives five
    seconds after SIGTERM; it was accepted, and truncated by the kill. It must
    be refused at once as not run, so that the caller can try another instance.
    """
    instance = site.instances[0]
    results: list[Answer] = []
    thread = begin_stop(site, instance, results)
    time.sleep(3.5)
    late = stream(instance, tokens='100,3000')
    assert late.status == 503
    assert late.seconds < SLACK
    assert float(late.headers['Retry-After']) < SLACK
    assert site.count_runs(late.request_id) == 0
    assert call(instance, '/open/x').status == 200
    thread.join()
    assert list_event_ids(results[0]) == [1, 2, 3, 4, 5]
    assert instance.process.wait(8) == 0


def test_a_stop_accepts_no_stream_that_it_may_cut(site: RoutedSite) -> None:
    """A stream that was sent seconds after SIGTERM is truncated.

    A balancer keeps sending to an instance that is stopping when a zone has few
    others.  The instance accepted the stream and exited before its end: first
    without comparing its duration with the time left, later by an estimate
    from usual passes, which a slow engine exceeds.  Here the stream takes 4.5 s
    where 1.1 s are expected.
    """
    instance = site.instances[0]
    results: list[Answer] = []
    thread = begin_stop(site, instance, results)
    time.sleep(3.3)
    late = stream(instance, X_Kelproad_Deadline_Ms='9000')
    assert not late.broken
    assert late.status == 503
    assert late.seconds < SLACK
    assert float(late.headers['Retry-After']) < SLACK
    assert site.count_runs(late.request_id) == 0
    # A call whose deadline is before the end of the stop is still accepted.
    brief = stream(instance, X_Kelproad_Deadline_Ms='2500')
    assert brief.status == 200
    thread.join()
    assert list_event_ids(results[0]) == [1, 2, 3, 4, 5]
    assert instance.process.wait(8) == 0


def test_a_stop_accepts_no_late_call_that_takes_longer_here(
    site: RoutedSite,
) -> None:
    """Guards against bookings that a stop cuts after they may have run."""
    instance = site.instances[0]
    for name in BOOKS:
        site.set_endpoint_faults(name, pace=3.5)
    paths = {'/bookings/x': 'POST', '/lookups/x': 'GET'}
    with ThreadPoolExecutor() as callers:

        def call_all() -> list[Answer]:
            sent = [
                callers.submit(
                    call, instance, path, method, X_Kelproad_Deadline_Ms='9000'
                )
                for path, method in paths.items()
            ]
            return [one.result() for one in sent]

        assert [answer.status for answer in call_all()] == [200, 200]
        results: list[Answer] = []
        thread = begin_stop(site, instance, results)
        time.sleep(3.9)
        late = call_all()
    assert [answer.status for answer in late] == [503, 503]
    assert all(answer.seconds < SLACK for answer in late)
    assert not any(site.count_runs(answer.request_id) for answer in late)
    thread.join()
    assert instance.process.wait(8) == 0


def test_a_stop_does_not_give_up_a_slow_call_that_it_can_finish(
    site: RoutedSite,
) -> None:
    """Guards against lookups that are broken off as their route is slow."""
    site.put_configuration(slow={'service': 'book', 'timeout_ms': 20_000})
    instance = site.instances[0]
    wait_for(lambda: call(instance, '/slow/x').status == 200, 'the route')
    for name in BOOKS:
        site.set_endpoint_faults(name, pace=3.5)
    deadline = {'X_Kelproad_Deadline_Ms': '15000'}
    assert call(instance, '/slow/x', **deadline).status == 200
    instance.process.send_signal(signal.SIGTERM)
    time.sleep(1.5)
    assert call(instance, '/slow/x', **deadline).status == 200
    assert instance.process.wait(8) == 0


def test_a_stop_answers_calls_that_it_cannot_finish(site: RoutedSite) -> None:
    """Calls without a first byte of their answer are in flight at a stop's end.

    A booking hangs at its endpoint, an engine sends nothing, and a request body
    is incomplete.  The end of a stop cancelled these calls and closed their
    connections without an answer, so callers could not know whether anything
    had run.
    """
    long = {'timeout_ms': 20_000, 'route_type': 'non_idempotent'}
    site.put_configuration(
        entries={**long, 'service': 'book'},
        prose={**long, 'route_type': 'streaming'},
    )
    instance = site.instances[0]
    wait_for(lambda: call(instance, '/entries/x').status == 200, 'the route')
    for name in site.endpoints:
        site.set_endpoint_faults(name, hang=True)
    deadline = {'X_Kelproad_Deadline_Ms': '15000'}
    sent: list[Answer] = []
    threads = (
        run_in_thread(lambda: call(instance, '/entries/x', **deadline), sent),
        run_in_thread(lambda: stream(instance, '/prose/x', **deadline), sent),
    )
    head = ''.join(
        f'{name}: {text}\r\n'
        for name, text in make_headers(next_id(), **deadline).items()
    )
    host, port = instance.caller.split(':')
    with socket.create_connection((host, int(port)), timeout=10) as slow:
        slow.sendall(
            f'POST /entries/x HTTP/1.1\r\n{head}Content-Length: 9\r\n\r\n'
            'half'.encode(),
        )
        time.sleep(0.3)
        instance.process.send_signal(signal.SIGTERM)
        incomplete = slow.recv(4096)
    for thread in threads:
        thread.join()
    # Forwarded calls may have run, the one with an incomplete body has not.
    assert [answer.status for answer in sent] == [502, 502]
    assert all('Retry-After' not in answer.headers for answer in sent)
    assert incomplete.startswith(b'HTTP/1.1 503')
    assert instance.process.wait(8) == 1


def test_a_stop_retries_no_stream_that_it_may_cut(site: RoutedSite) -> None:
    """A stream that was accepted soon after SIGTERM is truncated.

    Its first engine did not respond, so it was sent to another one five seconds
    after SIGTERM, began there, and was cut by the end of the stop.  The time
    left was checked only when the call arrived, not before each attempt.
    """
    instance = site.instances[0]
    for name in ENGINES:
        site.set_endpoint_faults(name, hang=True)
    results: list[Answer] = []
    instance.process.send_signal(signal.SIGTERM)
    time.sleep(2.2)
    thread = run_in_thread(
        lambda: stream(instance, X_Kelproad_Deadline_Ms='9000'),
        results,
    )
    time.sleep(0.6)
    for name in ENGINES:
        site.set_endpoint_faults(name, pace=0.9, events=5)
    thread.join()
    answer = results[0]
    assert not answer.broken
    # The silent engine may have run it, so it is not answered as not run.
    assert answer.status == 502
    assert answer.seconds < 3
    assert site.count_runs(answer.request_id) == 1
    assert instance.process.wait(8) == 0


@pytest.mark.parametrize('announced', [True, False])
def test_a_stop_ends_within_the_grace_in_force(
    site: RoutedSite,
    announced: bool,
) -> None:
    """Operators shorten the time between SIGTERM and the kill, then stop.

    The instance used the time of its first settings, so it was killed with
    calls in flight, which got no answer.  The time of a stop was read only at
    the start of the process, and later only by SIGHUP or a poll once a second,
    which need not happen between the change and SIGTERM.
    """
    instance = site.instances[0]
    long = {'timeout_ms': 20_000, 'route_type': 'non_idempotent'}
    site.put_configuration(entries={**long, 'service': 'book'})
    wait_for(lambda: call(instance, '/entries/x').status == 200, 'the route')
    for name in site.endpoints:
        site.set_endpoint_faults(name, hang=True)
    results: list[Answer] = []
    thread = run_in_thread(
        lambda: call(instance, '/entries/x', X_Kelproad_Deadline_Ms='15000'),
        results,
    )
    time.sleep(0.2)
    text = instance.settings.read_text()
    instance.settings.write_text(text.replace('grace_s=8', 'grace_s=4'))
    if announced:
        instance.process.send_signal(signal.SIGHUP)
        wait_for(
            lambda: 'settings_reloaded' in instance.process.log.read_text(),
            'the settings are read',
        )
    began = time.monotonic()
    instance.process.send_signal(signal.SIGTERM)
    assert instance.process.wait(8) == 1
    assert time.monotonic() - began < 4
    thread.join()
    assert results[0].status == 502


def test_a_stop_ends_with_the_last_line_of_its_log(site: RoutedSite) -> None:
    """Guards against a kill while the interpreter finalizes."""
    instance = site.instances[0]
    instance.process.kill()
    slow_end = 'import atexit, time; atexit.register(time.sleep, 30)'
    program = f'{slow_end}; from kelproad.cli.main import app; app()'
    instance.process = Process(
        'slow-end',
        ['serve', '--platform', '--settings', str(instance.settings)],
        site.directory,
        program=[sys.executable, '-c', program],
    )
    wait_until_answering(f'http://{instance.ready}/-/readyz')
    instance.process.send_signal(signal.SIGTERM)
    assert instance.process.wait(8) == 0
    assert instance.log_lines[-1]['event'] == 'instance_closed'
    assert instance.log_lines[-1]['until_kill'] > 0


def test_a_stop_waits_for_slow_readers(site: RoutedSite) -> None:
    """A caller that reads a long answer slowly gets only part of it.

    Its instance was stopping and counted the answer as sent once it was
    buffered, so no call seemed in flight; the process exited with the rest.
    """
    instance = site.instances[0]
    host, port = instance.caller.split(':')
    head = ''.join(
        f'{name}: {text}\r\n' for name, text in make_headers(next_id()).items()
    )
    with socket.socket() as caller:
        caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, PAGE)
        caller.connect((host, int(port)))
        instance.process.send_signal(signal.SIGTERM)
        path = f'/open/x?bytes={LONG_ANSWER}'
        caller.sendall(f'GET {path} HTTP/1.1\r\n{head}\r\n'.encode())
        time.sleep(3.5)
        received = b''
        while chunk := caller.recv(LONG_ANSWER):
            received += chunk
    _, _, body = received.partition(b'\r\n\r\n')
    assert len(body) == LONG_ANSWER
    assert instance.process.wait(8) == 0


def test_a_log_names_the_calls_that_a_stop_cut(site: RoutedSite) -> None:
    """A stream is truncated by a stop, and the log must explain it.

    The stop ended with the stream in flight, but the log reported that the
    caller had disconnected.  It must name the cut under the call's id, and the
    times compared when calls were accepted or refused during the stop.
    """
    site.put_configuration(
        long={
            'route_type': 'streaming',
            'stream_resume': True,
            'timeout_ms': 20_000,
        },
    )
    instance = site.instances[0]
    wait_for(lambda: stream(instance, '/long/x').status == 200, 'the route')
    for name in ENGINES:
        site.set_endpoint_faults(name, pace=0.9, events=12)
    results: list[Answer] = []
    thread = run_in_thread(
        lambda: stream(instance, '/long/x', X_Kelproad_Deadline_Ms='15000'),
        results,
    )
    time.sleep(0.3)
    instance.process.send_signal(signal.SIGTERM)
    time.sleep(0.2)
    late = call(instance, '/open/x')
    thread.join()
    assert results[0].broken
    ended = find_line(instance, 'ended', results[0].request_id)
    assert ended['outcome'] == 'cut by the stop'
    decision = find_line(instance, 'weighed_while_stopping', late.request_id)
    assert decision['taken']
    assert decision['needed'] < decision['left'] < 7


def test_a_stop_accepts_calls_of_new_connections(site: RoutedSite) -> None:
    """A connection is opened before a stop, and its first request follows.

    The instance closed all connections without a call in flight, including
    those that had not had a call yet: callers saw them end without an answer,
    some only seconds later, when the process exited.
    """
    instance = site.instances[0]
    host, port = instance.caller.split(':')
    with contextlib.ExitStack() as opened:
        connections = [
            opened.enter_context(socket.create_connection((host, int(port))))
            for _ in range(20)
        ]
        instance.process.send_signal(signal.SIGTERM)
        for connection in connections:
            time.sleep(0.05)
            head = ''.join(
                f'{name}: {text}\r\n'
                for name, text in make_headers(next_id()).items()
            )
            connection.sendall(f'GET /open/x HTTP/1.1\r\n{head}\r\n'.encode())
        heads = [connection.recv(4096) for connection in connections]
    assert all(head.startswith(b'HTTP/1.1 200') for head in heads)
    assert all(b'Connection: close' in head for head in heads)
    assert instance.process.wait(8) == 0


def test_a_stop_closes_kept_alive_connections(site: RoutedSite) -> None:
    """A connection is idle when its instance begins to stop.

    The HTTP library marked it as closed but left it open: the caller's next
    call on it was ignored, and the caller waited until the process exited.
    """
    instance = site.instances[0]
    host, port = instance.caller.split(':')
    head = ''.join(
        f'{name}: {text}\r\n' for name, text in make_headers(next_id()).items()
    )
    with socket.create_connection((host, int(port)), timeout=2) as connection:
        connection.sendall(f'GET /open/x HTTP/1.1\r\n{head}\r\n'.encode())
        assert connection.recv(4096).startswith(b'HTTP/1.1 200')
        instance.process.send_signal(signal.SIGTERM)
        assert not connection.recv(4096)
