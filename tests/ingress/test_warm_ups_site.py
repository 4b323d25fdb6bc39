"""A service whose endpoints are cold, at a real site under too much load."""

import time
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor

import pytest

from testbed.routed import (
    RoutedSite,
    start_instances,
    start_routed_site,
    wait_for,
)
from tests.ingress.callers import Answer, call, next_id
from tests.ingress.test_limit_sharing import count_most

#: Requests per second that a cold endpoint bears, and the most in any second
#: that operators allow.
RATE = 6
MOST = 1.5 * RATE + 5
COLD_SECONDS = 30
LOAD_RATE = 60
LOAD_SECONDS = 4.0
CALLERS = 32
ANSWER_SECONDS = 1.5
BOOKS = ('book-1', 'book-2')


@pytest.fixture
def site(tmp_path_factory: pytest.TempPathFactory) -> Iterator[RoutedSite]:
    """Run four instances in two zones."""
    with start_routed_site(tmp_path_factory.mktemp('site'), 0) as running:
        start_instances(
            running,
            {
                f'edge-{number}': f'zone-{"ab"[number % 2]}'
                for number in range(4)
            },
        )
        yield running


def cool_down(site: RoutedSite) -> None:
    """Let all endpoints of a service say that they are cold."""
    for service in site.configuration['services']:
        if service['name'] == 'book':
            service |= {'warmup_s': COLD_SECONDS, 'warmup_per_s': RATE}
    site.configuration['version'] += 1
    site.write_configuration_again()
    for name in BOOKS:
        entry = {
            'service': 'book',
            'address': site.endpoints[name],
            'zone': 'zone-a',
            'state': 'ready',
            'slots': 8,
            'warmup_left_ms': COLD_SECONDS * 1000,
            'sequence': 100,
            'born': 1,
        }
        site.put_row('servers', name, entry)


def test_cold_endpoints_get_what_they_bear(site: RoutedSite) -> None:
    """Guards against instances that together overload a cold endpoint."""
    cool_down(site)
    wait_for(
        lambda: all(
            set(instance.dump()['warm_ups']) == set(BOOKS)
            for instance in site.instances
        ),
        'the entries of cold endpoints',
    )
    began = time.monotonic()

    def send_one(number: int) -> Answer:
        instance = site.instances[number % len(site.instances)]
        time.sleep(max(0, began + number / LOAD_RATE - time.monotonic()))
        return call(instance, '/lookups/x', request_id=next_id())

    with ThreadPoolExecutor(CALLERS) as pool:
        answers = list(pool.map(send_one, range(int(LOAD_RATE * LOAD_SECONDS))))
    for name in BOOKS:
        arrivals = site.show_endpoint(name)['arrivals']
        assert 1 <= count_most([one['at'] for one in arrivals], 1.0) <= MOST
    assert {answer.status for answer in answers} == {200, 503}
    answered = sum(answer.status == 200 for answer in answers)
    assert answered >= len(BOOKS) * RATE * LOAD_SECONDS / 2
    for answer in answers:
        assert answer.seconds < ANSWER_SECONDS
        if answer.status != 200:
            assert b'warm up' in answer.body
            assert 'Retry-After' in answer.headers
