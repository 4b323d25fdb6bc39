"""Evacuated zones at a real site: what arrives there, and who is served."""

import time
import types
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor

import pytest

from testbed.routed import (
    RoutedInstance,
    RoutedSite,
    end_evacuation,
    evacuate_zone,
    start_instances,
    start_routed_site,
    wait_for,
)
from tests.ingress.callers import Answer, call, next_id, stream

#: Seconds after an order from which on nothing may arrive in its zone.
OBEYED_SECONDS = 1.0
LOAD_SECONDS = 4.0
RATE = 30
CALLERS = 24
#: Seconds in which a call that nothing can serve is refused.
REFUSAL_SECONDS = 0.5
#: Zone that is evacuated, and its endpoints.
ZONE = 'zone-b'
EVACUATED = types.MappingProxyType({'engine-2': 'writer', 'book-2': 'book'})
PATHS = ('/lookups/x', '/bookings/x', '/reports/x?events=10&pace=0.02')


@pytest.fixture
def site(tmp_path_factory: pytest.TempPathFactory) -> Iterator[RoutedSite]:
    """Run two instances in each of two zones that have endpoints."""
    with start_routed_site(tmp_path_factory.mktemp('site'), 0) as running:
        for name, service in EVACUATED.items():
            running.put_endpoint_row(name, service, zone=ZONE)
        start_instances(
            running,
            {
                f'edge-{number}': f'zone-{"ab"[number % 2]}'
                for number in range(4)
            },
        )
        yield running


def apply_load(
    site: RoutedSite,
    seconds: float,
    instances: list[RoutedInstance] | None = None,
) -> list[Answer]:
    """Send calls of all kinds to instances in turn, to all by default."""
    called = instances or site.instances
    began = time.monotonic()

    def send_one(number: int) -> Answer:
        path = PATHS[number % len(PATHS)]
        send = stream if path.startswith('/reports') else call
        instance = called[number % len(called)]
        return send(instance, path, request_id=next_id())

    with ThreadPoolExecutor(CALLERS) as pool:
        waiting = []
        for number in range(int(seconds * RATE)):
            time.sleep(max(0, began + number / RATE - time.monotonic()))
            waiting.append(pool.submit(send_one, number))
        return [item.result() for item in waiting]


def count_arrivals(site: RoutedSite, since: float) -> int:
    """Count what arrived at the evacuated endpoints since a time."""
    return sum(
        arrival['at'] > since
        for name in EVACUATED
        for arrival in site.show_endpoint(name)['arrivals']
    )


def check_answers(answers: list[Answer]) -> None:
    """Check that all calls were answered completely."""
    assert {(one.status, one.broken) for one in answers} == {(200, False)}


def test_an_evacuated_zone_gets_nothing_and_all_are_served(
    site: RoutedSite,
) -> None:
    """Guards against calls to an evacuated zone, also while the store fails."""
    check_answers(apply_load(site, 1.0))
    assert count_arrivals(site, 0)
    evacuate_zone(site, ZONE)
    ordered_at = time.monotonic()
    check_answers(apply_load(site, LOAD_SECONDS))
    assert not count_arrivals(site, ordered_at + OBEYED_SECONDS)
    site.set_store_faults(status=503)
    check_answers(apply_load(site, 2.0))
    assert not count_arrivals(site, ordered_at + OBEYED_SECONDS)
    site.set_store_faults()
    end_evacuation(site, ZONE)
    ended_at = time.monotonic()
    check_answers(apply_load(site, LOAD_SECONDS))
    assert count_arrivals(site, ended_at)
    wait_for(
        lambda: (
            not any(
                instance.dump()['evacuations'] for instance in site.instances
            )
        ),
        'the end of the evacuation',
    )
    for instance in site.instances:
        events = [line['event'] for line in instance.log_lines]
        assert events.count('zone_evacuation_begun') == 1
        assert events.count('zone_evacuation_ended') == 1


def test_an_instance_that_starts_obeys_at_once(site: RoutedSite) -> None:
    """Guards against an instance that serves before it knows the order."""
    evacuate_zone(site, ZONE)
    ordered_at = time.monotonic()
    instance = site.instances[1]
    instance.process.kill()
    site.restart_instance(instance)
    check_answers(apply_load(site, 2.0, [instance]))
    assert not count_arrivals(site, ordered_at + OBEYED_SECONDS)


def test_all_zones_evacuated_refuses_at_once(site: RoutedSite) -> None:
    """Guards against calls that wait for an order to end."""
    evacuate_zone(site, 'zone-a')
    evacuate_zone(site, ZONE)
    wait_for(
        lambda: all(
            len(instance.dump()['evacuations']) == 2
            for instance in site.instances
        ),
        'both orders',
    )
    for answer in apply_load(site, 1.0):
        assert answer.status == 503
        assert float(answer.headers['Retry-After'])
        assert answer.seconds < REFUSAL_SECONDS
