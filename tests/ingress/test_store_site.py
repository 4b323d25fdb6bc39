"""Configuration, keys and endpoints as the store says, also when it doesn't."""

import contextlib
import signal
import socket
import threading
import time
from collections.abc import Iterator

import pytest

from testbed.calls import CallError, call_control
from testbed.routed import KEY, RoutedSite, start_routed_site, wait_for
from tests.ingress.callers import (
    Answer,
    call,
    count_events,
    make_headers,
    next_id,
    stream,
)

BOOKS = ('book-1', 'book-2')
TIMEOUT = 0.5
UNAUTHENTICATED = 401
SLACK = 0.2


@pytest.fixture
def site(tmp_path_factory: pytest.TempPathFactory) -> Iterator[RoutedSite]:
    """Run a site of two instances that the test may break."""
    with start_routed_site(tmp_path_factory.mktemp('site'), 2) as running:
        yield running


def run_aside(target: object, results: list[Answer]) -> threading.Thread:
    """Run a call in a thread; its answer goes to a list."""
    thread = threading.Thread(target=lambda: results.append(target()))
    thread.start()
    return thread


def test_a_configuration_is_followed(site: RoutedSite) -> None:
    """A route is added and one is dropped: both hold within two seconds."""
    instance = site.instances[0]
    assert call(instance, '/added/x').status == 404
    began = time.monotonic()
    site.put_configuration(
        added={'route_type': 'idempotent', 'service': 'book'},
        lookups=None,
    )
    wait_for(lambda: call(instance, '/added/x').status == 200, 'the new route')
    assert time.monotonic() - began < 2
    assert call(instance, '/lookups/x').status == 404


def test_an_older_configuration_is_never_taken(site: RoutedSite) -> None:
    """A stale reader of the store hands out an old version again.

    Going back would undo what operators have accepted since.
    """
    site.put_configuration(added={'service': 'book'})
    instance = site.instances[0]
    wait_for(lambda: call(instance, '/added/x').status != 404, 'the new one')
    site.version = 0
    site.put_configuration()
    wait_for(
        lambda: call_control(site.store, 'GET', '/control/calls') is not None,
        'the store',
    )
    time.sleep(1)
    assert call(instance, '/added/x').status != 404
    assert instance.dump()['version'] == 2


def test_a_revoked_key_stops_working(site: RoutedSite) -> None:
    """A workspace loses its key: within seconds nothing runs with it."""
    site.put_configuration(keys=('another',))
    wait_for(
        lambda: all(
            call(instance, '/lookups/x').status == UNAUTHENTICATED
            for instance in site.instances
        ),
        'the key is refused',
    )


def test_keys_are_not_trusted_without_the_store(site: RoutedSite) -> None:
    """An instance is cut off from the store while a key is taken away.

    It can't know, so after a while it refuses all keys: not run, come back.
    Calls that need no key go on being answered, and the balancer is told to
    send callers elsewhere.
    """
    instance = site.instances[0]
    site.break_store(hang=True)
    began = time.monotonic()
    wait_for(
        lambda: call(instance, '/lookups/x').status == 503,
        'keys are refused',
    )
    assert time.monotonic() - began < 5
    assert call(instance, '/open/x', X_Api_Key='').status == 200
    with pytest.raises(CallError) as unready:
        call_control(instance.ready, 'GET', '/-/readyz')
    assert unready.value.status == 503
    site.break_store()
    wait_for(
        lambda: call(instance, '/lookups/x').status == 200,
        'keys are trusted again',
    )


def test_an_unknown_path_is_not_final_without_the_store(
    site: RoutedSite,
) -> None:
    """A route was just added, and this instance can't have heard of it.

    A 404 would be final for the caller; it is told to come back instead.
    """
    instance = site.instances[0]
    site.break_store(status=503)
    time.sleep(2.5)
    assert call(instance, '/added/x').status == 503


def test_lost_history_loses_no_change(site: RoutedSite) -> None:
    """The store forgets its history right after a change.

    The instance hears that the history is gone and reads everything.
    """
    site.break_store(status=503)
    site.put_configuration(added={'service': 'book', 'anonymous': True})
    call_control(site.store, 'POST', '/control/forget')
    site.break_store()
    wait_for(
        lambda: call(site.instances[0], '/added/x').status == 200,
        'the change',
    )


def test_an_endpoint_that_leaves_gets_nothing(site: RoutedSite) -> None:
    """A book says that it drains; two seconds later no call reaches it."""
    site.list_endpoint('book-1', 'book', state='draining')
    time.sleep(2)
    before = len(site.show_endpoint('book-1')['runs'])
    for _ in range(10):
        assert call(site.instances[0], '/lookups/x').status == 200
    assert len(site.show_endpoint('book-1')['runs']) == before


def test_unreadable_entries_name_no_endpoint(site: RoutedSite) -> None:
    """Another writer leaves entries that make no sense; the others hold."""
    for number, entry in enumerate(
        (
            'text',
            {},
            {'service': 'book', 'address': 'x', 'zone': 'z', 'state': 'ready'},
            {'service': 5, 'address': [], 'state': None},
        ),
    ):
        site.put_row('servers', f'odd-{number}', entry)
    time.sleep(1.5)
    assert call(site.instances[0], '/lookups/x').status == 200
    assert 'odd-2' not in site.instances[0].dump()['endpoints']


def test_entries_that_lapse_with_the_store_come_back(
    site: RoutedSite,
) -> None:
    """The store is away, and the entries of all books lapse meanwhile.

    The books live and are back in the list a second after its return; calls
    in between must not be refused for want of endpoints.
    """
    instance = site.instances[0]
    site.break_store(status=503)
    time.sleep(0.5)
    for name in BOOKS:
        site.drop_endpoint(name)
    site.break_store()
    wait_for(lambda: instance.dump()['endpoint_age'] < 1, 'the store is back')
    assert call(instance, '/open/x').status == 200
    site.list_endpoint('book-1', 'book')
    time.sleep(2.5)
    assert call(instance, '/open/x').status == 200
    # The other one did not come back: it is gone.
    wait_for(
        lambda: 'book-2' not in instance.dump()['endpoints'],
        'the lapsed entry goes',
    )


def test_a_route_bounds_how_long_callers_wait(site: RoutedSite) -> None:
    """A book hangs, and the operator allows half a second."""
    site.put_configuration(
        quick={
            'route_type': 'non_idempotent',
            'service': 'book',
            'timeout_ms': int(TIMEOUT * 1000),
        },
    )
    instance = site.instances[0]
    wait_for(lambda: call(instance, '/quick/x').status == 200, 'the route')
    for name in BOOKS:
        site.break_endpoint(name, hang=True)
    answer = call(instance, '/quick/x', 'POST', b'x')
    assert answer.status == 504
    assert TIMEOUT - SLACK < answer.seconds < TIMEOUT + SLACK


# Stops


def test_a_planned_stop_cuts_nothing(site: RoutedSite) -> None:
    """An instance is told to stop while it hands on a stream.

    The stream comes whole, callers on kept connections are told to leave, and
    the balancer hears at once that no more should come.
    """
    instance = site.instances[0]
    for name in ('engine-1', 'engine-2', 'engine-3'):
        site.break_endpoint(name, pace=0.4, events=6)
    results: list[Answer] = []
    thread = run_aside(lambda: stream(instance), results)
    time.sleep(0.5)
    instance.process.send_signal(signal.SIGTERM)
    time.sleep(0.2)
    with pytest.raises(CallError):
        call_control(instance.ready, 'GET', '/-/readyz')
    late = call(instance, '/open/x')
    assert late.status == 200
    assert late.headers['Connection'] == 'close'
    thread.join()
    assert count_events(results[0]) == [1, 2, 3, 4, 5, 6]
    assert not results[0].broken
    assert instance.process.wait(8) == 0


def test_a_stop_refuses_what_it_would_cut(site: RoutedSite) -> None:
    """A balancer goes on sending to an instance that stops.

    No other instance of the zone is in rotation, so a long stream comes five
    seconds after SIGTERM; it was taken, and cut in its midst at the kill.  Now
    the caller hears at once that it has not run, and goes to another one.
    """
    instance = site.instances[0]
    for name in ('engine-1', 'engine-2', 'engine-3'):
        site.break_endpoint(name, pace=0.9, events=5)
    results: list[Answer] = []
    thread = run_aside(
        lambda: stream(instance, X_Kelproad_Deadline_Ms='9000'),
        results,
    )
    time.sleep(0.3)
    instance.process.send_signal(signal.SIGTERM)
    time.sleep(3.5)
    late = stream(instance, tokens='100,3000')
    assert late.status == 503
    assert late.seconds < SLACK
    assert float(late.headers['Retry-After']) < SLACK
    assert site.count_runs(late.request_id) == 0
    assert call(instance, '/open/x').status == 200
    thread.join()
    assert count_events(results[0]) == [1, 2, 3, 4, 5]
    assert instance.process.wait(8) == 0


def test_a_reload_signal_ends_nothing(site: RoutedSite) -> None:
    """The settings change and SIGHUP says so; calls go on."""
    instance = site.instances[0]
    text = instance.settings.read_text()
    instance.settings.write_text(text.replace('grace_s=8', 'grace_s=5'))
    instance.process.send_signal(signal.SIGHUP)
    wait_for(
        lambda: any(
            line['event'] == 'settings_reloaded' for line in instance.log_lines
        ),
        'the settings are read',
    )
    assert call(instance, '/lookups/x').status == 200


def test_an_instance_that_was_killed_serves_again(site: RoutedSite) -> None:
    """Power is lost; after its start it needs nothing but the store."""
    instance = site.instances[0]
    instance.process.kill()
    site.restart_instance(instance)
    assert call(instance, '/lookups/x', X_Api_Key=KEY).status == 200


def test_instances_hear_each_other(site: RoutedSite) -> None:
    """Two instances find each other by the store and exchange their work."""
    wait_for(
        lambda: all(
            instance.dump()['live_instances'] == 2
            for instance in site.instances
        ),
        'the other one is heard',
    )


def test_a_stop_takes_what_new_connections_bring(site: RoutedSite) -> None:
    """A caller's new connection is there before its request, during a stop.

    The instance closed whatever had no call just then, also connections that
    had not brought one yet: callers saw them end without an answer, some only
    seconds later, when the process was gone.
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


def test_a_stop_closes_kept_connections(site: RoutedSite) -> None:
    """A caller keeps a connection open while its instance begins to stop.

    The HTTP library marked it as closed and left it open: the caller's next
    call on it was ignored, and it waited until the process was gone.
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
