"""The store returns from a copy: what it acknowledged since is gone."""

import signal
import time
import types
from collections.abc import Iterator

import pytest

from testbed.calls import call_control
from testbed.routed import (
    KEY,
    RoutedInstance,
    RoutedSite,
    list_rows,
    start_instances,
    start_routed_site,
    wait_for,
)
from tests.ingress.callers import call

#: Seconds within which news must be in force, and a leaving endpoint get no
#: more calls.
NEWS_SECONDS = 2.0
#: Seconds for which the store is away.
AWAY_SECONDS = 0.7
ZONES = types.MappingProxyType(
    {'edge-1': 'zone-a', 'edge-2': 'zone-a', 'edge-3': 'zone-b'}
)
READY = ('engine-1', 'engine-2', 'engine-3', 'book-1', 'book-2')
#: Number of rows that are written again, and of those that are news.
REWRITTEN = len(READY) + 1
NEWS = 2
ADDED = types.MappingProxyType({'service': 'book', 'anonymous': True})


@pytest.fixture
def site(tmp_path_factory: pytest.TempPathFactory) -> Iterator[RoutedSite]:
    """Run a site of three instances in two zones."""
    with start_routed_site(tmp_path_factory.mktemp('site'), 0) as running:
        start_instances(running, ZONES)
        wait_for(
            lambda: all(
                instance.dump()['live_instances'] == len(ZONES)
                for instance in running.instances
            ),
            'the instances know each other',
        )
        yield running


def write_again(site: RoutedSite) -> None:
    """Write again what operators and endpoints wrote."""
    site.write_configuration_again()
    for name in READY:
        site.report_endpoint(name)


def lose_writes(site: RoutedSite) -> int:
    """Let the store return from a copy; return how far its versions go back."""
    site.copy_store()
    for _ in range(10):
        for name in READY:
            site.report_endpoint(name)
    site.put_configuration()
    wait_for(
        lambda: all(
            instance.dump()['version'] == site.version
            for instance in site.instances
        ),
        'the configuration that is lost',
    )
    site.set_store_faults(status=503)
    restored = site.restore_store()
    return restored['lost'] - restored['version']


def write_others(site: RoutedSite, count: int) -> None:
    """Write rows that no instance reads."""
    for _ in range(count):
        site.put_row('others', 'row', {})


def return_store(site: RoutedSite) -> None:
    """Let the store answer again."""
    time.sleep(AWAY_SECONDS)
    site.set_store_faults()


def lists_leaving(instance: RoutedInstance, name: str) -> bool:
    """Return whether an instance knows that an endpoint leaves."""
    return instance.dump()['endpoints'][name]['leaving']


def write_news(site: RoutedSite) -> None:
    """Add a route, and let an endpoint leave."""
    site.put_configuration(added=ADDED)
    site.put_endpoint_row('book-1', 'book', state='draining')


def wait_for_news(site: RoutedSite) -> None:
    """Wait until all instances have the news in force."""
    began = time.monotonic()
    wait_for(
        lambda: all(
            instance.dump()['version'] == site.version
            and lists_leaving(instance, 'book-1')
            and call(instance, '/added/x').status == 200
            for instance in site.instances
        ),
        'the news is in force',
    )
    assert time.monotonic() - began < NEWS_SECONDS


def wait_until_serving(site: RoutedSite) -> None:
    """Wait until all instances are ready and answer calls with a key."""
    wait_for(
        lambda: all(
            not instance.dump()['unready']
            and call(instance, '/lookups/x', X_Api_Key=KEY).status == 200
            for instance in site.instances
        ),
        'the instances serve',
    )


@pytest.mark.parametrize('behind', [None, 7, 2])
def test_news_is_in_force_while_versions_are_behind(
    site: RoutedSite, behind: int | None
) -> None:
    """Guards against dropping news, as its version is below one of before."""
    lost = lose_writes(site)
    write_again(site)
    if behind is not None:
        write_others(site, lost - REWRITTEN - behind)
    return_store(site)
    wait_until_serving(site)
    write_news(site)
    wait_for_news(site)


@pytest.mark.parametrize('ahead', [0, 3])
def test_news_is_in_force_once_versions_are_ahead(
    site: RoutedSite, ahead: int
) -> None:
    """Guards against asking for changes since a version of before."""
    lost = lose_writes(site)
    write_again(site)
    write_news(site)
    write_others(site, lost - REWRITTEN - NEWS + ahead)
    return_store(site)
    wait_for_news(site)
    wait_until_serving(site)


def refuses_key(instance: RoutedInstance) -> bool:
    """Return whether an instance refuses the key as unknown or unconfirmed."""
    return call(instance, '/lookups/x', X_Api_Key=KEY).status in {401, 503}


def test_a_new_instance_knows_what_the_copy_lacks(site: RoutedSite) -> None:
    """Guards against a revoked key that works at an instance that starts."""
    site.copy_store()
    site.put_configuration(keys=('another',), added=ADDED)
    wait_for(
        lambda: all(map(refuses_key, site.instances)), 'the key is revoked'
    )
    site.set_store_faults(status=503)
    site.restore_store()
    return_store(site)
    site.start_instance('edge-4')
    started = site.instances[-1]
    assert started.dump()['version'] == site.version
    limit = time.monotonic() + 1
    while time.monotonic() < limit:
        assert all(map(refuses_key, site.instances))
    assert call(started, '/added/x').status == 200


def test_a_new_instance_refuses_nothing_for_good_that_the_copy_lacks(
    site: RoutedSite,
) -> None:
    """Guards against a final 401 for a key that was accepted and is lost."""
    site.copy_store()
    site.set_store_faults(status=503)
    site.put_configuration(keys=(KEY, 'fresh'))
    site.restore_store()
    return_store(site)
    site.start_instance('edge-4')
    started = site.instances[-1]

    def call_with_key() -> int:
        return call(started, '/lookups/x', X_Api_Key='fresh').status

    assert call_with_key() == 503
    site.write_configuration_again()
    wait_for(lambda: call_with_key() == 200, 'the key is in force')
    assert call(started, '/lookups/x', X_Api_Key='wrong').status == 401


def test_rows_of_instances_are_written_again(site: RoutedSite) -> None:
    """Guards against instances that the restored store does not list."""
    site.copy_store()
    site.start_instance('edge-4')
    site.restore_store()
    wait_for(
        lambda: (
            {instance.name for instance in site.instances}
            <= set(list_rows(site, 'kelproad_instances'))
        ),
        'all instances are listed',
    )


def test_an_outage_without_failed_calls_keeps_endpoints(
    site: RoutedSite,
) -> None:
    """Guards against dropping an endpoint that joined since the copy."""
    site.copy_store()
    site.start_endpoint('book-3', 'book')
    wait_for(
        lambda: all(
            'book-3' in instance.dump()['endpoints']
            for instance in site.instances
        ),
        'the endpoint is known',
    )
    site.restore_store()
    limit = time.monotonic() + 1.5
    while time.monotonic() < limit:
        assert 'book-3' in site.instances[0].dump()['endpoints']
    site.report_endpoint('book-3')
    time.sleep(2)
    assert all(
        'book-3' in instance.dump()['endpoints'] for instance in site.instances
    )


@pytest.mark.parametrize('drills', [1, 2])
def test_sound_calls_are_served_through_a_restoration(
    site: RoutedSite, drills: int
) -> None:
    """Guards against keys that are not confirmed although nothing is lost."""
    for _ in range(drills):
        lose_writes(site)
        return_store(site)
        limit = time.monotonic() + 2
        while time.monotonic() < limit:
            for instance in site.instances:
                assert call(instance, '/lookups/x').status == 200
    write_again(site)
    write_news(site)
    wait_for_news(site)


def test_the_reader_stops_while_the_store_is_away(site: RoutedSite) -> None:
    """Guards against waiting for the instance that had read for all."""
    lose_writes(site)
    site.instances[0].process.send_signal(signal.SIGTERM)
    write_again(site)
    return_store(site)
    site.instances[0].process.kill()
    stopped = site.instances.pop(0)
    wait_until_serving(site)
    write_news(site)
    wait_for_news(site)
    site.restart_instance(stopped)
    site.instances.append(stopped)
    wait_for_news(site)


def test_all_start_again_while_the_store_is_away(site: RoutedSite) -> None:
    """Guards against a site that does not start on the copy alone."""
    lose_writes(site)
    for instance in site.instances:
        instance.process.kill()
    site.set_store_faults()
    for instance in site.instances:
        site.restart_instance(instance)
    wait_until_serving(site)
    write_again(site)
    write_news(site)
    wait_for_news(site)


@pytest.mark.parametrize('stated', ['', 'x', '-1'])
def test_a_store_that_states_no_era_is_followed(
    site: RoutedSite, stated: str
) -> None:
    """Guards against a field without sense that keeps instances behind."""
    call_control(site.store, 'PUT', '/control/era', {'stated': stated})
    write_news(site)
    wait_for_news(site)
    lose_writes(site)
    write_again(site)
    return_store(site)
    site.put_configuration(added=ADDED, more=ADDED)
    wait_for(
        lambda: all(
            instance.dump()['version'] == site.version
            for instance in site.instances
        ),
        'the news although versions went back',
    )
