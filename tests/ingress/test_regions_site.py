"""Permitted regions at a real site, while operators change them."""

import types
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor

import pytest

from testbed.routed import RoutedSite, start_routed_site, wait_for
from tests.ingress.callers import call, next_id
from tests.ingress.test_evacuations_site import apply_load, check_answers

ZONES = types.MappingProxyType({'zone-a': 'east', 'zone-b': 'west'})
ENDPOINTS = types.MappingProxyType(
    {
        'zone-a': ('book-1', 'engine-1', 'engine-3'),
        'zone-b': ('book-2', 'engine-2'),
    }
)
LOAD_SECONDS = 1.5
CHANGES = 6
#: Seconds in which a call that no permitted region can serve is refused.
REFUSAL_SECONDS = 0.5


@pytest.fixture(scope='module')
def site(tmp_path_factory: pytest.TempPathFactory) -> Iterator[RoutedSite]:
    """Run an instance in each of two regions, both with endpoints."""
    with start_routed_site(tmp_path_factory.mktemp('site'), 0) as running:
        for name in ENDPOINTS['zone-b']:
            service = 'book' if name.startswith('book') else 'writer'
            running.put_endpoint_row(name, service, zone='zone-b')
        for zone, region in ZONES.items():
            running.start_instance(f'edge-{zone}', zone)
            instance = running.instances[-1]
            rows = [f'\nregion={region}']
            rows += [f'zones.{name}={other}' for name, other in ZONES.items()]
            with instance.settings.open('a') as settings:
                settings.write('\n'.join(rows))
            instance.process.kill()
            running.restart_instance(instance)
        yield running


def permit(site: RoutedSite, region: str) -> None:
    """Permit one region to all routes, and wait until that is in force."""
    for route in site.configuration['routes']:
        route['allowed_regions'] = [region]
    site.version += 1
    site.configuration['version'] = site.version
    site.write_configuration_again()
    wait_for(
        lambda: all(
            instance.dump()['version'] == site.version
            for instance in site.instances
        ),
        'the change',
    )


def list_runs(site: RoutedSite, zone: str) -> set[str]:
    """List the ids of the requests that arrived in a zone."""
    return {
        run['X-Kelproad-Request-Id']
        for name in ENDPOINTS[zone]
        for run in site.show_endpoint(name)['runs']
    }


def test_calls_stay_in_the_region_that_is_permitted_now(
    site: RoutedSite,
) -> None:
    """Guards against calls that leave their region as it changes."""
    check_answers(apply_load(site, LOAD_SECONDS))
    assert list_runs(site, 'zone-a') and list_runs(site, 'zone-b')
    for number in range(CHANGES):
        zone, region = list(ZONES.items())[number % 2]
        with ThreadPoolExecutor(1) as pool:
            beside = pool.submit(apply_load, site, LOAD_SECONDS)
            permit(site, region)
            answers = apply_load(site, LOAD_SECONDS)
            check_answers(beside.result())
        check_answers(answers)
        runs = list_runs(site, zone)
        assert all(answer.request_id in runs for answer in answers)


def test_a_region_without_endpoints_is_refused_at_once(
    site: RoutedSite,
) -> None:
    """Guards against a call that waits, or is sent abroad."""
    permit(site, 'south')
    before = list_runs(site, 'zone-a') | list_runs(site, 'zone-b')
    for instance in site.instances:
        answer = call(instance, '/lookups/x', request_id=next_id())
        assert answer.status == 503
        assert float(answer.headers['Retry-After'])
        assert answer.seconds < REFUSAL_SECONDS
    assert before == list_runs(site, 'zone-a') | list_runs(site, 'zone-b')
