"""Endpoints that leave or pause, at a real site: what they get after that."""

import itertools
import time
from collections.abc import Callable, Iterator
from concurrent.futures import ThreadPoolExecutor

import attrs
import pytest

from testbed.routed import (
    RoutedSite,
    start_instances,
    start_routed_site,
    wait_for,
)
from tests.ingress.callers import Answer, call, next_id, stream

INSTANCES = 4
#: Calls per second of all callers together, callers at a time, and seconds of
#: a load.
RATE = 40
CALLERS = 48
LOAD_SECONDS = 5.0
#: Seconds after a load begins at which endpoints state something.
STATED_AFTER = 1.0
#: Seconds after an instance was told from which on nothing may arrive from it,
#: and after the first was told from which on nothing may arrive at all.
TOLD_SECONDS = 0.2
SPREAD_SECONDS = 1.0
#: Seconds in which a call that cannot be served is refused.
REFUSAL_SECONDS = 0.1
#: Seconds in which an endpoint that is back is in use.
RETURN_SECONDS = 1.0
ENGINES = ('engine-1', 'engine-2', 'engine-3')
BOOKS = ('book-1', 'book-2')
LOOKUPS = '/lookups/x'
OPEN = '/open/x'
BOOKINGS = '/bookings/x'
REPORTS = '/reports/x?events=10&pace=0.02'


@attrs.frozen
class Sent:
    """A call, its instance and answer; times are monotonic."""

    instance: str
    sent_at: float
    answered_at: float
    answer: Answer


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


_incarnations = itertools.count(2)


@pytest.fixture
def site(running: RoutedSite) -> Iterator[RoutedSite]:
    """Yield the site; then let all endpoints begin a new incarnation."""
    yield running
    running.set_store_faults()
    born = next(_incarnations)
    for name in running.endpoints:
        running.set_statements(name)
        running.renew_endpoint(name, born)
    wait_for(lambda: is_listed(running, born), 'the new incarnations')


def is_listed(site: RoutedSite, born: int) -> bool:
    """Return whether all instances know the latest incarnations."""
    return all(
        sum(
            line['event'] == 'endpoint_listed' and line['born'] == born
            for line in instance.log_lines
        )
        == len(site.endpoints)
        for instance in site.instances
    )


def apply_load(
    site: RoutedSite,
    path: str,
    statements: dict[str, dict[str, object]] | Callable[[float], None],
    seconds: float = LOAD_SECONDS,
) -> tuple[float, list[Sent]]:
    """Send calls to all instances in turn; return when statements began.

    These are set by endpoint, or by a function that gets the load's begin.
    """
    began = time.monotonic()
    send = stream if path.startswith('/reports') else call
    stated_at = float(0)

    def send_one(number: int) -> Sent:
        instance = site.instances[number % INSTANCES]
        sent_at = time.monotonic()
        answer = send(instance, path, request_id=next_id())
        return Sent(instance.name, sent_at, time.monotonic(), answer)

    with ThreadPoolExecutor(CALLERS) as pool:
        waiting = []
        for number in range(int(seconds * RATE)):
            due = number / RATE
            time.sleep(max(0, began + due - time.monotonic()))
            if due >= STATED_AFTER and not stated_at:
                set_all(site, statements, began)
                stated_at = time.monotonic()
            waiting.append(pool.submit(send_one, number))
        return stated_at, [item.result() for item in waiting]


def set_all(
    site: RoutedSite,
    statements: dict[str, dict[str, object]] | Callable[[float], None],
    began: float,
) -> None:
    """Set what endpoints state, by name or by a function."""
    if callable(statements):
        statements(began)
        return
    for name, stated in statements.items():
        site.set_statements(name, **stated)


def find_busiest(site: RoutedSite, names: tuple[str, ...], since: float) -> str:
    """Find the endpoint that got most calls, as streams are packed on few."""
    arrivals = {
        name: [
            arrival['at']
            for arrival in site.show_endpoint(name)['arrivals']
            if arrival['at'] > since
        ]
        for name in names
    }
    return max(names, key=lambda name: len(arrivals[name]))


def list_arrivals(
    site: RoutedSite, name: str, sent: list[Sent]
) -> list[tuple[float, str]]:
    """List the arrivals of calls at an endpoint, with their instances."""
    instances = {item.answer.request_id: item.instance for item in sent}
    return [
        (arrival['at'], instances[arrival['request']])
        for arrival in site.show_endpoint(name)['arrivals']
        if arrival['request'] in instances
    ]


def find_told(site: RoutedSite, name: str, since: float) -> dict[str, float]:
    """Find when each instance was told by an endpoint that it leaves."""
    offset = time.time() - time.monotonic()
    return {
        instance.name: line['time'] - offset
        for instance in site.instances
        for line in instance.log_lines
        if line['event'] == 'endpoint_leaves'
        and line['endpoint'] == name
        and line['source'] == 'own answer'
        and line['time'] - offset > since
    }


def check_left_alone(site: RoutedSite, name: str, sent: list[Sent]) -> None:
    """Check that nothing arrived once the instances were told."""
    told = find_told(site, name, sent[0].sent_at)
    assert told
    first = min(told.values())
    late = [
        (round(at - first, 3), instance)
        for at, instance in list_arrivals(site, name, sent)
        if at > first + SPREAD_SECONDS
        or at > told.get(instance, at) + TOLD_SECONDS
    ]
    assert not late


def check_served(sent: list[Sent]) -> None:
    """Check that all calls were answered."""
    statuses = {item.answer.status for item in sent}
    assert statuses == {200}
    assert not any(item.answer.broken for item in sent)


@pytest.mark.parametrize(
    ('path', 'names', 'every'),
    [(REPORTS, ENGINES, 1), (LOOKUPS, BOOKS, 1), (LOOKUPS, BOOKS, 5)],
    ids=('streams', 'plain', 'every-fifth-answer'),
)
def test_an_endpoint_that_stated_that_it_leaves_gets_no_more_calls(
    site: RoutedSite, path: str, names: tuple[str, ...], every: int
) -> None:
    """Only the store was believed: calls went on until its row changed."""
    stated = {'leaving': '1', 'leaving_every': every}
    busiest: list[str] = []

    def state_at_busiest(began: float) -> None:
        busiest.append(find_busiest(site, names, began))
        site.set_statements(busiest[0], **stated)

    _, sent = apply_load(site, path, state_at_busiest)
    check_served(sent)
    check_left_alone(site, busiest[0], sent)


def test_a_statement_holds_while_the_store_is_down_and_when_it_is_back(
    site: RoutedSite,
) -> None:
    """The row that the store still has says that the endpoint is ready."""
    site.set_store_faults(status=503)
    _, before = apply_load(site, OPEN, {'book-1': {'leaving': '1'}}, 3)
    site.set_store_faults()
    site.put_endpoint_row('book-1', 'book', born=site.born.get('book-1', 1))
    _, after = apply_load(site, OPEN, {}, 3)
    check_served(before + after)
    check_left_alone(site, 'book-1', before + after)


@pytest.mark.parametrize(
    ('path', 'names'),
    [(REPORTS, ENGINES), (BOOKINGS, BOOKS)],
    ids=('streams', 'plain'),
)
def test_calls_are_refused_at_once_when_all_endpoints_leave(
    site: RoutedSite, path: str, names: tuple[str, ...]
) -> None:
    """They went on to endpoints that may exit while they work."""
    leaving = {name: {'leaving': '1'} for name in names}
    stated_at, sent = apply_load(site, path, leaving)
    for name in names:
        first = min(find_told(site, name, stated_at).values())
        arrivals = list_arrivals(site, name, sent)
        assert not any(at > first + SPREAD_SECONDS for at, _ in arrivals)
    after = [
        item
        for item in sent
        if item.sent_at > stated_at + SPREAD_SECONDS + TOLD_SECONDS
    ]
    check_refused(site, after)


def test_a_pausing_endpoint_gets_no_calls_until_its_pause_ends(
    site: RoutedSite,
) -> None:
    """It was ejected as if it had failed, or called again at once."""
    pausing = {'pause': '2', 'turn_away_every': 1}
    stated_at, sent = apply_load(site, LOOKUPS, {'book-1': pausing})
    check_served(sent)
    check_pauses(site, 'book-1', 2, stated_at, sent)
    site.set_statements('book-1')
    time.sleep(2)
    began, after = apply_load(site, LOOKUPS, {'book-2': {}}, 3)
    check_served(after)
    arrivals = list_arrivals(site, 'book-1', after)
    assert {
        instance for at, instance in arrivals if at < began + RETURN_SECONDS
    } == {instance.name for instance in site.instances}


def test_calls_are_refused_at_once_while_all_endpoints_pause(
    site: RoutedSite,
) -> None:
    """All came back at the same time, and went on to pausing endpoints."""
    pausing = {'pause': '30', 'turn_away_every': 1}
    stated_at, sent = apply_load(site, LOOKUPS, dict.fromkeys(BOOKS, pausing))
    for name in BOOKS:
        check_pauses(site, name, 30, stated_at, sent)
    check_refused(site, [item for item in sent if item.sent_at > stated_at + 1])


def check_refused(site: RoutedSite, sent: list[Sent]) -> None:
    """Check that calls were refused at once as not run, with various times."""
    assert {item.answer.status for item in sent} == {503}
    assert not any(
        item.answered_at - item.sent_at > REFUSAL_SECONDS for item in sent
    )
    returns = {float(item.answer.headers['Retry-After']) for item in sent}
    assert len(returns) > len(sent) / 2
    assert not any(site.count_runs(item.answer.request_id) for item in sent)


def check_pauses(
    site: RoutedSite,
    name: str,
    seconds: float,
    stated_at: float,
    sent: list[Sent],
) -> None:
    """Check that each instance left an endpoint alone that turned it away."""
    turned_away: dict[str, float] = {}
    early: list[tuple[float, str]] = []
    arrivals = [
        (at, instance)
        for at, instance in list_arrivals(site, name, sent)
        if at > stated_at
    ]
    assert arrivals
    for at, instance in arrivals:
        since = at - turned_away.setdefault(instance, at)
        if TOLD_SECONDS < since < seconds:
            early.append((round(since, 3), instance))
        if since >= seconds:
            turned_away[instance] = at
    assert not early
