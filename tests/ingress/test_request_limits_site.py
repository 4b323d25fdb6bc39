"""Request limits at a real site: what endpoints get from all instances."""

import time
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor

import attrs
import pytest

from testbed.routed import RoutedSite, start_instances, start_routed_site
from tests.ingress.callers import Answer, call, stream

INSTANCES = 4
#: Calls per second of all callers together, and callers at a time.
RATE = 18
CALLERS = 48
#: Seconds of a load, and those before the limit binds.
LOAD_SECONDS = 11.0
SETTLING_SECONDS = 3.0
#: Seconds in which arrivals are counted, and what is allowed in them: a
#: multiple of the limit, and calls beyond that.
WINDOW = 4.0
ALLOWED_FACTOR = 1.5
ALLOWED_MORE = 5
#: Share of their limits that a larger load must use.
USED_SHARE = 0.9
ENGINES = ('engine-1', 'engine-2', 'engine-3')
BOOK_ENDPOINTS = ('book-1', 'book-2')
LOOKUPS = '/lookups/x'
#: Streams of 0.6 s, so that more than one engine is needed.
REPORTS = '/reports/x?events=30&pace=0.02'


@pytest.fixture(scope='module')
def running(tmp_path_factory: pytest.TempPathFactory) -> Iterator[RoutedSite]:
    """Start instances in two zones for the tests of this module."""
    with start_routed_site(tmp_path_factory.mktemp('site'), 0) as site:
        start_instances(
            site,
            {
                f'edge-{number}': f'zone-{"ab"[number % 2]}'
                for number in range(INSTANCES)
            },
        )
        yield site


@pytest.fixture
def site(running: RoutedSite) -> Iterator[RoutedSite]:
    """Yield the site; then end the limits with an answer without any."""
    yield running
    for name in running.endpoints:
        running.set_request_limit(name, '')
    apply_load(running, 2, LOOKUPS)
    apply_load(running, 2, REPORTS)


@attrs.frozen
class Load:
    """A load and its answers; ``began`` is a monotonic time."""

    began: float
    answers: list[Answer]

    def list_refused(self) -> list[Answer]:
        """List the refusals."""
        return [answer for answer in self.answers if answer.status != 200]


def apply_load(site: RoutedSite, seconds: float, path: str) -> Load:
    """Send calls to all instances in turn, at a fixed rate."""
    began = time.monotonic()
    send = call if path == LOOKUPS else stream
    with ThreadPoolExecutor(CALLERS) as pool:
        waiting = []
        for number in range(int(seconds * RATE)):
            time.sleep(max(0, began + number / RATE - time.monotonic()))
            instance = site.instances[number % len(site.instances)]
            waiting.append(pool.submit(send, instance, path))
        return Load(began, [item.result() for item in waiting])


def list_sources(site: RoutedSite, event: str, **fields: object) -> list[str]:
    """List the sources of an event with some fields, from all logs."""
    return [
        line['source']
        for instance in site.instances
        for line in instance.log_lines
        if line['event'] == event and fields.items() <= line.items()
    ]


def list_arrivals(site: RoutedSite, name: str, load: Load) -> list[float]:
    """List the arrivals at an endpoint from when its limit binds."""
    return [
        arrival['at']
        for arrival in site.show_endpoint(name)['arrivals']
        if arrival['at'] >= load.began + SETTLING_SECONDS
    ]


def count_most(arrivals: list[float]) -> int:
    """Count the most arrivals in any window."""
    return max(
        (
            sum(at <= other < at + WINDOW for other in arrivals)
            for at in arrivals
        ),
        default=0,
    )


def count_allowed(limit: float) -> float:
    """Count the arrivals that a limit allows in a window."""
    return ALLOWED_FACTOR * limit * WINDOW + ALLOWED_MORE


@pytest.mark.parametrize(
    ('path', 'name'),
    [(REPORTS, 'engine-1'), (LOOKUPS, 'book-1')],
    ids=('streams', 'plain'),
)
def test_one_limited_endpoint_gets_no_more_than_it_takes(
    site: RoutedSite,
    path: str,
    name: str,
) -> None:
    """Its limit was not obeyed: it got what it gets without one."""
    site.set_request_limit(name, '1')
    load = apply_load(site, LOAD_SECONDS, path)
    assert not load.list_refused()
    assert count_most(list_arrivals(site, name, load)) <= count_allowed(1)


@pytest.mark.parametrize(
    ('path', 'names', 'limit'),
    [(REPORTS, ENGINES, 2), (LOOKUPS, BOOK_ENDPOINTS, 3)],
    ids=('streams', 'plain'),
)
def test_limited_endpoints_get_what_they_take(
    site: RoutedSite,
    path: str,
    names: tuple[str, ...],
    limit: int,
) -> None:
    """All are limited: the rest is refused at once as not run, not sent."""
    for name in names:
        site.set_request_limit(name, str(limit))
    load = apply_load(site, LOAD_SECONDS, path)
    for name in names:
        arrivals = list_arrivals(site, name, load)
        assert count_most(arrivals) <= count_allowed(limit)
        bound_seconds = LOAD_SECONDS - SETTLING_SECONDS
        assert len(arrivals) >= USED_SHARE * limit * bound_seconds
    refused = load.list_refused()
    assert refused
    assert {answer.status for answer in refused} == {503}
    delays = {float(answer.headers['Retry-After']) for answer in refused}
    assert len(delays) > len(refused) / 2
    assert all(not site.count_runs(answer.request_id) for answer in refused)


def test_operators_and_callers_see_a_limit(site: RoutedSite) -> None:
    """Without that nobody could tell why an endpoint gets so little."""
    site.set_request_limit('book-2', '2.5')
    answers = apply_load(site, 2, LOOKUPS).answers
    assert '2.5' in {answer.headers.get('Server-Limit') for answer in answers}
    described = [
        instance.dump()['request_limits']['book-2']
        for instance in site.instances
    ]
    assert {limit['rate'] for limit in described} == {2.5}
    assert sum(bool(limit['granted_here']) for limit in described) == 1
    sources = list_sources(
        site, 'request_limit_begun', endpoint='book-2', rate=2.5
    )
    assert len(sources) == INSTANCES
    assert 'own answer' in sources
    assert set(sources) - {'own answer'}
    site.set_request_limit('book-2', '')
    apply_load(site, 2, LOOKUPS)
    assert all(
        'book-2' not in instance.dump()['request_limits']
        for instance in site.instances
    )
    assert list_sources(
        site, 'request_limit_ended', endpoint='book-2', before=2.5
    )
