"""Calls in progress while another configuration comes into force."""

import contextlib
import copy
import socket
import time
import types
from collections.abc import Callable, Iterator

import msgspec
import pytest
from returns.result import Failure, Success

from kelproad.coordination.ingress.retrying.retries import RetryBudgets
from kelproad.coordination.ingress.settings import Bounds
from kelproad.coordination.ingress.tables import holder as holder_module
from kelproad.coordination.ingress.tables.holder import ConfigurationHolder
from kelproad.coordination.ingress.tables.tablestates import (
    Revision,
    StoredRow,
)
from kelproad.platform.rows import decode_configuration
from kelproad.state.engines import EngineProfile
from kelproad.state.routes import (
    IngressLimits,
    RoutedService,
    RoutingConfiguration,
)
from testbed.routed import RoutedSite, start_routed_site, wait_for
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
BOOK_ENDPOINTS = ('book-1', 'book-2')
#: Seconds between two events, and the events of a stream: it lasts 2.4 s.
PACE = 0.06
EVENTS = 40
#: Events after which an engine breaks off a stream, which another one resumes;
#: and those of a stream that must not be resumed, which ends just before.
BREAK_AFTER = 20
FRAGILE_EVENTS = 18
#: Seconds that a plain endpoint takes for an answer.
ANSWER_SECONDS = 0.9
#: Seconds that calls have been in progress when the configuration is written.
HEAD_START = 0.2
JOIN_SECONDS = 20
#: Timeout of a route, and the tolerance for measuring it, in seconds.
SHORT_TIMEOUT = 1
TOLERANCE = 0.5
ADDED_ROUTES = 3_000

Document = dict[str, object]
Change = Callable[[Document], None]


def drop_routes(document: Document) -> None:
    """Leave a route that none of the calls is on."""
    document['routes'] = [
        route for route in document['routes'] if route['name'] == 'open'
    ]


def drop_services(document: Document) -> None:
    """Leave no service, and no route to one."""
    document['routes'] = []
    document['services'] = []


def rename_services(document: Document) -> None:
    """Give each service another name, as it would be replaced."""
    for route in document['routes']:
        route['service'] = f'new-{route["service"]}'
    for service in document['services']:
        service['name'] = f'new-{service["name"]}'


def move_weights(document: Document) -> None:
    """Split each route over its service and another, which gets all."""
    for route in document['routes']:
        route['weighted_services'] = [
            {'service': route.pop('service'), 'weight': 0},
            {'service': 'elsewhere', 'weight': 1},
        ]


def replace_profile(document: Document) -> None:
    """Publish engines that are too small for any call."""
    for service in document['services']:
        if service['name'] == 'writer':
            service['engine'] = {'slots': 1, 'kv_capacity': 1}


def drop_profile(document: Document) -> None:
    """Declare the engines as a plain service."""
    document['services'] = [
        {'name': service['name']} for service in document['services']
    ]


def take_key_away(document: Document) -> None:
    """Give the workspace another key."""
    document['tenants'] = [{'name': 'crews', 'api_keys': ['another']}]


def take_all_keys_away(document: Document) -> None:
    """Leave the workspace without a key."""
    document['tenants'] = [{'name': 'crews', 'api_keys': []}]


def forget_workspaces(document: Document) -> None:
    """Declare no workspace, so that calls need no key."""
    document.pop('tenants')


def drop_workspaces(document: Document) -> None:
    """Leave another workspace only."""
    document['tenants'] = [{'name': 'rest', 'api_keys': ['another']}]


def shorten_limits(document: Document) -> None:
    """Permit callers next to nothing."""
    document['limits'] = {
        'max_header_bytes': 16,
        'max_body_bytes': 1,
        'header_timeout_ms': 50,
        'idle_timeout_ms': 50,
    }


def add_routes(document: Document) -> None:
    """Add many routes to the same service."""
    first = document['routes'][0]
    document['routes'] += [
        {**first, 'name': f'r{number}', 'path_prefix': f'/r{number}/'}
        for number in range(ADDED_ROUTES)
    ]


def set_on_routes(**fields: object) -> Change:
    """Build a change that sets fields of every route."""

    def change(document: Document) -> None:
        for route in document['routes']:
            route.update(fields)

    return change


CHANGES: types.MappingProxyType[str, Change] = types.MappingProxyType(
    {
        'routes dropped': drop_routes,
        'timeouts shortened': set_on_routes(timeout_ms=1),
        'timeouts lengthened': set_on_routes(timeout_ms=60_000),
        'objectives shortened': set_on_routes(
            target_latency_ms=1, target_gap_ms=1
        ),
        'one attempt': set_on_routes(max_attempts=1),
        'kind changed': set_on_routes(
            route_type='non_idempotent', stream_resume=False
        ),
        'key taken away': take_key_away,
        'workspace dropped': drop_workspaces,
        'services dropped': drop_services,
        'services renamed': rename_services,
        'weights moved': move_weights,
        'another profile': replace_profile,
        'profile dropped': drop_profile,
        'limits shortened': shorten_limits,
        'many routes': add_routes,
    }
)


@pytest.fixture(scope='module')
def running(tmp_path_factory: pytest.TempPathFactory) -> Iterator[RoutedSite]:
    """Start one site for the tests of this module."""
    with start_routed_site(tmp_path_factory.mktemp('site')) as site:
        yield site


@pytest.fixture
def site(running: RoutedSite) -> Iterator[RoutedSite]:
    """Yield the site; then return to its first configuration."""
    yield running
    running.limits = {'max_body_bytes': 65_536}
    for name in running.endpoints:
        running.set_endpoint_faults(name)
    running.put_configuration()
    wait_until_in_force(running)


def apply(site: RoutedSite, change: Change) -> None:
    """Write a changed configuration, and wait until it is in force."""
    document = copy.deepcopy(site.configuration)
    change(document)
    site.version += 1
    document['version'] = site.version
    site.put_row('op', 'config', document)
    wait_until_in_force(site)


def wait_until_in_force(site: RoutedSite) -> None:
    """Wait until the instance has the newest version."""
    wait_for(
        lambda: site.instances[0].dump()['version'] == site.version,
        'the newest configuration is in force',
    )


def set_faults(site: RoutedSite, **book_faults: object) -> None:
    """Let engines break off streams; set the faults of plain endpoints."""
    for engine in ENGINES:
        site.set_endpoint_faults(
            engine, pace=PACE, events=EVENTS, break_after=BREAK_AFTER
        )
    for book in BOOK_ENDPOINTS:
        site.set_endpoint_faults(book, pace=ANSWER_SECONDS, **book_faults)


@contextlib.contextmanager
def in_progress(
    *calls: Callable[[], Answer],
) -> Iterator[list[Answer]]:
    """Have calls in progress in a block; at its end they have ended.

    Yields a list that gets their answers, in the order of their ends.
    """
    answers: list[Answer] = []
    threads = [run_in_thread(one, answers) for one in calls]
    time.sleep(HEAD_START)
    yield answers
    for thread in threads:
        thread.join(JOIN_SECONDS)
    assert len(answers) == len(calls)


@pytest.mark.parametrize('change', CHANGES.values(), ids=CHANGES)
def test_streams_in_progress_are_whole(
    site: RoutedSite, change: Change
) -> None:
    """Guards against streams that a configuration ends, or keeps from resuming.

    Engines break off the long one after the change, and it is resumed.
    """
    instance = site.instances[0]
    set_faults(site)
    with in_progress(
        lambda: stream(instance),
        lambda: stream(instance, f'/fragile/x?events={FRAGILE_EVENTS}'),
    ) as answers:
        apply(site, change)
        assert not answers
    assert not any(answer.broken for answer in answers)
    fragile, resumed = answers
    assert list_event_ids(fragile) == list(range(1, FRAGILE_EVENTS + 1))
    assert list_event_ids(resumed) == list(range(1, EVENTS + 1))
    assert site.count_runs(fragile.request_id) == 1
    assert site.count_runs(resumed.request_id) == 2


@pytest.mark.parametrize('change', CHANGES.values(), ids=CHANGES)
def test_plain_calls_in_progress_are_answered(
    site: RoutedSite, change: Change
) -> None:
    """Guards against answers that a configuration loses.

    Endpoints answer the lookup with an error after the change, and it is
    repeated.
    """
    instance = site.instances[0]
    set_faults(site, error=True)
    lookups: list[Answer] = []
    lookup = run_in_thread(lambda: call(instance, '/lookups/x'), lookups)
    time.sleep(HEAD_START)
    set_faults(site)
    with in_progress(
        lambda: call(instance, '/bookings/x', 'POST', b'body'),
    ) as bookings:
        apply(site, change)
        assert not bookings
    lookup.join(JOIN_SECONDS)
    assert [answer.status for answer in lookups + bookings] == [200, 200]
    assert site.count_runs(lookups[0].request_id) == 2
    assert site.count_runs(bookings[0].request_id) == 1


def configure(version: int, *services: RoutedService) -> RoutingConfiguration:
    """Build a configuration without routes."""
    return RoutingConfiguration.from_declarations(
        version, [], services, {}, IngressLimits(), {}
    )


def build_row(version: int, *prefixes: str) -> StoredRow:
    """Build the row of a configuration with a route of each prefix."""
    routes = [
        {
            'name': f'route-{number}',
            'host': 'h.example',
            'path_prefix': prefix,
            'route_type': 'idempotent',
            'timeout_ms': 1000,
            'service': 'book',
        }
        for number, prefix in enumerate(prefixes)
    ]
    document = {'version': version, 'routes': routes, 'services': []}
    return StoredRow(
        'config', msgspec.json.encode(document), Revision(0, version)
    )


def test_only_changed_routes_are_built_anew() -> None:
    """Guards against an event loop that is held by thousands of routes."""
    first = decode_configuration(build_row(1, '/a/', '/b/', '/c/')).unwrap()
    assert isinstance(decode_configuration(build_row(2, '/a/', None)), Failure)
    following = decode_configuration(build_row(3, '/a/', '/d/', '/c/')).unwrap()
    former = {route.prefix: route for route in first.routes['h.example']}
    present = {route.prefix: route for route in following.routes['h.example']}
    assert set(present) == {'/a/', '/c/', '/d/'}
    assert present['/a/'] is former['/a/']
    assert present['/c/'] is former['/c/']
    assert present['/d/'].name == 'route-1'


def test_dropped_services_stay_known(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against calls that lose their service, and against a leak."""
    monkeypatch.setattr(holder_module, '_MAX_DROPPED', 2)
    holder = ConfigurationHolder()
    versions = (
        [RoutedService('a', EngineProfile(slots=3)), RoutedService('b')],
        [RoutedService('b')],
        [RoutedService('c')],
        [RoutedService('d'), RoutedService('b', EngineProfile(slots=4))],
    )
    known = []
    for version, services in enumerate(versions):
        configuration = configure(version, *services)
        assert holder.offer(Success(configuration), b'%d' % version)
        known.append(set(holder.current.services))
        if version == 2:
            assert holder.current.find_profile('a').slots == 3
    assert known == [
        {'a', 'b'},
        {'a', 'b'},
        {'a', 'b', 'c'},
        {'a', 'b', 'c', 'd'},
    ]
    assert holder.current.find_profile('b').slots == 4
    holder.offer(Success(configure(9)), b'9')
    assert set(holder.current.services) == {'b', 'd'}


@pytest.mark.parametrize('ratio', [0, 1])
def test_reloaded_settings_change_the_retry_budget(ratio: float) -> None:
    """Guards against retries by the share that held when a service was new."""
    bounds = [Bounds(retry_ratio=1 - ratio, retry_slack=10)]
    budgets = RetryBudgets(lambda: bounds[-1], lambda: 1)
    budgets.count_call('book', 0)
    while budgets.affords('book'):
        budgets.spend('book')
    bounds.append(Bounds(retry_ratio=ratio, retry_slack=10))
    for _ in range(10):
        budgets.count_call('book', 0)
    assert budgets.affords('book') is bool(ratio)


def test_a_body_that_arrives_is_received_by_the_former_limits(
    site: RoutedSite,
) -> None:
    """Guards against a call that is refused for a limit set after its head."""
    host, port = site.instances[0].caller.split(':')
    head = ''.join(
        f'{name}: {text}\r\n' for name, text in make_headers(next_id()).items()
    )
    begin = f'POST /lookups/x HTTP/1.1\r\n{head}Content-Length: 8\r\n\r\nhalf'
    with socket.create_connection((host, int(port)), timeout=10) as sent:
        sent.sendall(begin.encode())
        time.sleep(HEAD_START)
        apply(site, shorten_limits)
        sent.sendall(b'rest')
        received = sent.recv(65536)
    assert received.startswith(b'HTTP/1.1 200 ')


def test_a_call_gets_no_more_attempts_than_it_began_with(
    site: RoutedSite,
) -> None:
    """Guards against a call sent to more endpoints than its route permitted."""
    instance = site.instances[0]
    apply(site, set_on_routes(max_attempts=1))
    set_faults(site)
    with in_progress(lambda: stream(instance)) as answers:
        apply(site, set_on_routes(max_attempts=3))
    assert answers[0].broken
    assert site.count_runs(answers[0].request_id) == 1


def test_a_call_ends_by_the_timeout_that_it_began_with(
    site: RoutedSite,
) -> None:
    """Guards against callers that are held beyond their route's timeout."""
    instance = site.instances[0]
    apply(site, set_on_routes(timeout_ms=SHORT_TIMEOUT * 1_000))
    for book in BOOK_ENDPOINTS:
        site.set_endpoint_faults(book, hang=True)
    with in_progress(lambda: call(instance, '/bookings/x', 'POST')) as answers:
        apply(site, set_on_routes(timeout_ms=60_000))
    assert answers[0].status == 504
    assert answers[0].seconds < SHORT_TIMEOUT + TOLERANCE


def test_workspaces_without_keys_admit_nobody(site: RoutedSite) -> None:
    """Guards against routes that the last key taken away opens to everybody."""
    instance = site.instances[0]
    apply(site, take_all_keys_away)
    assert call(instance, '/lookups/x').status == 401
    assert call(instance, '/lookups/x', X_Api_Key='').status == 401
    assert call(instance, '/open/x', X_Api_Key='').status == 200
    apply(site, forget_workspaces)
    assert call(instance, '/lookups/x', X_Api_Key='').status == 200


def test_a_route_whose_services_get_nothing_refuses(site: RoutedSite) -> None:
    """Guards against calls that end in an error nobody foresaw."""
    weights = [{'service': 'book', 'weight': 0}]
    apply(site, set_on_routes(weighted_services=weights))
    answer = call(site.instances[0], '/lookups/x')
    assert answer.status == 503
    assert answer.headers['X-Kelproad-Request-Id'] == answer.request_id


def test_a_key_that_was_taken_away_starts_nothing_new(
    site: RoutedSite,
) -> None:
    """Guards against a revoked key that goes on beside a call that it began."""
    instance = site.instances[0]
    set_faults(site)
    with in_progress(lambda: stream(instance)) as answers:
        apply(site, take_key_away)
        assert call(instance, '/lookups/x').status == 401
        assert call(instance, '/lookups/x', X_Api_Key='another').status == 200
    assert not answers[0].broken
