"""Configuration, keys and endpoints from the store, also during outages."""

import signal
import socket
import time
from collections.abc import Iterator

import pytest

from testbed.calls import CallError, call_control
from testbed.routed import KEY, RoutedSite, start_routed_site, wait_for
from tests.ingress.callers import call

BOOKS = ('book-1', 'book-2')
#: Timeout of a route in seconds.
TIMEOUT = 0.5
#: Seconds for which callers' connections may stay idle.
IDLE = 1.2
UNAUTHENTICATED = 401
#: Tolerance of measured times in seconds.
SLACK = 0.2


@pytest.fixture
def site(tmp_path_factory: pytest.TempPathFactory) -> Iterator[RoutedSite]:
    """Run a site of two instances that the test may break."""
    with start_routed_site(tmp_path_factory.mktemp('site'), 2) as running:
        yield running


def test_a_configuration_is_followed(site: RoutedSite) -> None:
    """A route is added and one is removed, both within two seconds."""
    instance = site.instances[0]
    wait_for(lambda: call(instance, '/added/x').status == 404, 'a refusal')
    began = time.monotonic()
    site.put_configuration(
        added={'route_type': 'idempotent', 'service': 'book'},
        lookups=None,
    )
    wait_for(lambda: call(instance, '/added/x').status == 200, 'the new route')
    assert time.monotonic() - began < 2
    assert call(instance, '/lookups/x').status == 404


def test_an_older_configuration_is_never_adopted(site: RoutedSite) -> None:
    """A stale replica of the store returns an old version again.

    Adopting it would undo changes that were accepted since.
    """
    site.put_configuration(added={'service': 'book'})
    instance = site.instances[0]
    wait_for(lambda: call(instance, '/added/x').status == 200, 'the new one')
    site.version = 0
    site.put_configuration()
    wait_for(
        lambda: call_control(site.store, 'GET', '/control/calls') is not None,
        'the store',
    )
    time.sleep(1)
    assert call(instance, '/added/x').status == 200
    assert instance.dump()['version'] == 2


def test_a_revoked_key_stops_working(site: RoutedSite) -> None:
    """A workspace loses its key: calls with it are refused within seconds."""
    site.put_configuration(keys=('another',))
    wait_for(
        lambda: all(
            call(instance, '/lookups/x').status == UNAUTHENTICATED
            for instance in site.instances
        ),
        'the key is refused',
    )


def test_keys_are_not_trusted_without_the_store(site: RoutedSite) -> None:
    """An instance that is cut off from the store can't know of revoked keys.

    After a while it refuses calls with any key as not run, to be retried.
    Calls that need no key are still answered, and the readiness check fails, so
    that the balancer sends calls elsewhere.
    """
    instance = site.instances[0]
    site.set_store_faults(hang=True)
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
    site.set_store_faults()
    wait_for(
        lambda: call(instance, '/lookups/x').status == 200,
        'keys are trusted again',
    )


def test_an_unknown_path_is_not_final_without_the_store(
    site: RoutedSite,
) -> None:
    """A route is added while the instance is cut off from the store.

    A 404 would be final for the caller; a 503 lets it retry.
    """
    instance = site.instances[0]
    site.set_store_faults(status=503)
    time.sleep(2.5)
    assert call(instance, '/added/x').status == 503


def test_lost_history_loses_no_change(site: RoutedSite) -> None:
    """The store loses its change history right after a change.

    The instance is notified of the loss and reads the full tables.
    """
    site.set_store_faults(status=503)
    site.put_configuration(added={'service': 'book', 'anonymous': True})
    call_control(site.store, 'POST', '/control/forget')
    site.set_store_faults()
    wait_for(
        lambda: call(site.instances[0], '/added/x').status == 200,
        'the change',
    )


def test_a_draining_endpoint_gets_no_calls(site: RoutedSite) -> None:
    """An endpoint reports its drain; two seconds later no call reaches it."""
    site.put_endpoint_row('book-1', 'book', state='draining')
    time.sleep(2)
    before = len(site.show_endpoint('book-1')['runs'])
    for _ in range(10):
        assert call(site.instances[0], '/lookups/x').status == 200
    assert len(site.show_endpoint('book-1')['runs']) == before


def test_invalid_entries_are_ignored(site: RoutedSite) -> None:
    """Another writer stores invalid entries; the valid ones stay in force."""
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


def test_entries_that_lapse_in_an_outage_are_kept(
    site: RoutedSite,
) -> None:
    """The entries of all endpoints lapse during an outage of the store.

    The endpoints are alive and register again a second after the store's
    return; calls in between must not be refused for lack of endpoints.
    """
    instance = site.instances[0]
    site.set_store_faults(status=503)
    time.sleep(0.5)
    for name in BOOKS:
        site.delete_endpoint_row(name)
    site.set_store_faults()
    wait_for(lambda: instance.dump()['endpoint_age'] < 1, 'the store is back')
    assert call(instance, '/open/x').status == 200
    site.put_endpoint_row('book-1', 'book')
    time.sleep(2.5)
    assert call(instance, '/open/x').status == 200
    # The other one did not register again, so it is removed.
    wait_for(
        lambda: 'book-2' not in instance.dump()['endpoints'],
        'the lapsed entry is removed',
    )


def test_a_route_bounds_how_long_callers_wait(site: RoutedSite) -> None:
    """All endpoints hang, and the route has a timeout of half a second."""
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
        site.set_endpoint_faults(name, hang=True)
    answer = call(instance, '/quick/x', 'POST', b'x')
    assert answer.status == 504
    assert TIMEOUT - SLACK < answer.seconds < TIMEOUT + SLACK


def test_the_operators_time_for_idle_connections_is_obeyed(
    site: RoutedSite,
) -> None:
    """Connections would be kept as long as the code says, not the operators."""
    instance = site.instances[0]
    site.limits['idle_timeout_ms'] = int(IDLE * 1000)
    version = site.put_configuration()
    wait_for(lambda: instance.dump()['version'] == version, 'the limit')
    host, port = instance.caller.split(':')
    with socket.create_connection((host, int(port)), timeout=5) as kept:
        kept.sendall(b'GET /lookups/x HTTP/1.1\r\nHost: x\r\n\r\n')
        assert b'HTTP/1.1 ' in kept.recv(4096)
        answered = time.monotonic()
        while kept.recv(4096):
            answered = time.monotonic()
        assert IDLE - SLACK < time.monotonic() - answered < IDLE + SLACK


# Processes


def test_a_reload_signal_interrupts_nothing(site: RoutedSite) -> None:
    """SIGHUP reloads the changed settings, and calls are still answered."""
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


def test_a_stop_begins_beside_settings_that_cannot_be_read(
    site: RoutedSite,
) -> None:
    """Guards against a SIGTERM that an odd settings file makes ineffective."""
    instance = site.instances[0]
    text = instance.settings.read_text()
    odd = text.replace('7340,7355', f'{"9" * 5000},7355')
    instance.settings.write_text(odd)
    instance.process.send_signal(signal.SIGTERM)
    wait_for(lambda: not instance.process.running, 'the instance has stopped')
    assert instance.process.wait(0) == 0


def test_an_instance_that_was_killed_serves_again(site: RoutedSite) -> None:
    """After a kill and a restart an instance needs only the store."""
    instance = site.instances[0]
    instance.process.kill()
    site.restart_instance(instance)
    assert call(instance, '/lookups/x', X_Api_Key=KEY).status == 200


def test_instances_discover_each_other(site: RoutedSite) -> None:
    """Two instances find each other through the store."""
    wait_for(
        lambda: all(
            instance.dump()['live_instances'] == 2
            for instance in site.instances
        ),
        'the other instance is live',
    )
