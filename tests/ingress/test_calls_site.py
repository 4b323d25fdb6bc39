"""Calls through a real instance: complete answers or correct refusals."""

import pathlib
import time
from collections.abc import Iterator
from http import client
from urllib import request

import pytest

from testbed.routed import RoutedSite, start_routed_site, wait_for
from tests.ingress.callers import (
    call,
    list_event_ids,
    make_headers,
    next_id,
    send_raw,
    stream,
)

ENGINES = ('engine-1', 'engine-2', 'engine-3')
BOOK_ENDPOINTS = ('book-1', 'book-2')
#: Share of failed calls below which an endpoint counts as healthy again.
HEALTHY_SHARE = 0.5
#: Deadline of a caller, and the tolerance for measuring it, in seconds.
DEADLINE = 0.6
TOLERANCE = 0.1
#: Seconds within which an immediate reaction must be seen.
SOON = 0.5
#: Objective of the ``brisk`` routes in seconds, after which a silent endpoint
#: is given up.
BRISK_OBJECTIVE = 0.25


@pytest.fixture(scope='module')
def running(tmp_path_factory: pytest.TempPathFactory) -> Iterator[RoutedSite]:
    """Start one site for the tests of this module."""
    with start_routed_site(tmp_path_factory.mktemp('site')) as site:
        yield site


@pytest.fixture
def site(running: RoutedSite) -> Iterator[RoutedSite]:
    """Yield the site; then clear all faults and await healthy endpoints."""
    yield running
    for name in running.endpoints:
        running.set_endpoint_faults(name)
    # Ejected endpoints get calls again only after some seconds.
    wait_for(
        lambda: all(
            endpoint['failing'] < HEALTHY_SHARE and not endpoint['ejected_for']
            for endpoint in running.instances[0].dump()['endpoints'].values()
        ),
        'endpoints are healthy again',
    )


def test_an_answer_is_forwarded_unchanged(site: RoutedSite) -> None:
    """Status, body and stamp are the endpoint's; it doesn't get the key."""
    answer = call(site.instances[0], '/lookups/a%2Fb?c=d')
    assert answer.status == 200
    assert answer.body.startswith(b'answer of book-')
    assert answer.has_stamp
    assert answer.headers['X-Kelproad-Request-Id'] == answer.request_id
    runs = [
        run
        for name in BOOK_ENDPOINTS
        for run in site.show_endpoint(name)['runs']
        if run['X-Kelproad-Request-Id'] == answer.request_id
    ]
    assert [run['target'] for run in runs] == ['/lookups/a%2Fb?c=d']
    assert runs[0]['X-Kelproad-Tenant'] == 'crews'
    assert runs[0]['Host'] == 'reports.example'
    assert 'X-Api-Key' not in runs[0]
    assert int(runs[0]['X-Kelproad-Deadline-Ms']) < 4000


def test_a_body_is_forwarded_unchanged(site: RoutedSite) -> None:
    """A chunked body with a content encoding is not decoded."""
    request_id = next_id()
    head = ''.join(
        f'{name}: {text}\r\n'
        for name, text in make_headers(
            request_id,
            Content_Encoding='gzip',
        ).items()
    )
    raw = (
        f'POST /lookups/x HTTP/1.1\r\n{head}Transfer-Encoding: chunked\r\n'
        'Connection: close\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n'
    )
    assert b' 200 ' in send_raw(site.instances[0], raw.encode())
    runs = [
        run
        for name in BOOK_ENDPOINTS
        for run in site.show_endpoint(name)['runs']
        if run['X-Kelproad-Request-Id'] == request_id
    ]
    assert runs[0]['body'] == 'abcde'


def test_unconfigured_calls_are_refused(site: RoutedSite) -> None:
    """Unknown paths and hosts, and wrong or missing keys, are refused."""
    instance = site.instances[0]
    # Nothing is refused for good in an instance's first seconds.
    wait_for(lambda: call(instance, '/nowhere/x').status != 503, 'the end')
    assert call(instance, '/nowhere/x').status == 404
    assert call(instance, '/lookups/x', Host='other.example').status == 404
    assert call(instance, '/lookups/x', X_Api_Key='wrong').status == 401
    assert call(instance, '/lookups/x', X_Api_Key='').status == 401
    assert call(instance, '/open/x', X_Api_Key='').status == 200


def test_an_idempotent_call_is_repeated_after_an_error(
    site: RoutedSite,
) -> None:
    """One of two endpoints answers every lookup with an error.

    The call must be retried at the other one, so the caller sees no error.
    """
    site.set_endpoint_faults('book-1', error=True)
    answers = [call(site.instances[0], '/lookups/x') for _ in range(6)]
    assert {answer.status for answer in answers} == {200}


def test_an_error_is_forwarded_when_all_endpoints_fail(
    site: RoutedSite,
) -> None:
    """The caller gets an endpoint's own error answer with its stamp."""
    for name in BOOK_ENDPOINTS:
        site.set_endpoint_faults(name, error=True)
    answer = call(site.instances[0], '/lookups/x')
    assert answer.status == 500
    assert answer.has_stamp
    assert answer.body == b'failed here'


def test_a_booking_whose_answer_is_lost_is_not_repeated(
    site: RoutedSite,
) -> None:
    """An endpoint runs a booking, and the connection breaks before its answer.

    Sending it to the other endpoint would run it twice; so would a refusal
    that states that it has not run, since the caller would then repeat it.
    """
    for name in BOOK_ENDPOINTS:
        site.set_endpoint_faults(name, lose=True)
    answer = call(site.instances[0], '/bookings/x', 'POST', b'run 7')
    assert answer.status == 502
    assert not answer.has_stamp
    assert site.count_runs(answer.request_id) == 1


def test_a_booking_is_retried_where_nothing_ran(site: RoutedSite) -> None:
    """A full endpoint reports that it did not run it; the other one does."""
    site.set_endpoint_faults('book-1', shed=True)
    for _ in range(4):
        answer = call(site.instances[0], '/bookings/x', 'POST', b'run 8')
        assert answer.status == 200
        assert site.count_runs(answer.request_id) == 1


def test_a_refusal_states_when_to_retry(site: RoutedSite) -> None:
    """All endpoints are full: 503 at once with ``Retry-After``, not run."""
    for name in BOOK_ENDPOINTS:
        site.set_endpoint_faults(name, shed=True)
    answer = call(site.instances[0], '/bookings/x', 'POST', b'run 9')
    assert answer.status == 503
    assert float(answer.headers['Retry-After']) > 0
    assert answer.seconds < 1
    assert site.count_runs(answer.request_id) == 0


def test_a_hanging_booking_is_answered_at_its_deadline(
    site: RoutedSite,
) -> None:
    """All endpoints hang: the caller gets a 504, as it may have run."""
    for name in BOOK_ENDPOINTS:
        site.set_endpoint_faults(name, hang=True)
    answer = call(
        site.instances[0],
        '/bookings/x',
        'POST',
        b'run 10',
        X_Kelproad_Deadline_Ms=str(int(DEADLINE * 1000)),
    )
    assert answer.status == 504
    assert answer.seconds < DEADLINE + TOLERANCE


def test_a_lookup_at_a_silent_endpoint_is_retried(
    site: RoutedSite,
) -> None:
    """An endpoint runs a lookup and its answer is lost without a reset.

    Waiting for it would use up the deadline.  A lookup may run twice, so
    another endpoint must answer it before that.
    """
    site.set_endpoint_faults(BOOK_ENDPOINTS[0], hang=True)
    answers = [
        call(
            site.instances[0],
            '/brisk/x',
            X_Kelproad_Deadline_Ms='1000',
        )
        for _ in range(6)
    ]
    assert all(answer.status == 200 for answer in answers)
    # Three consecutive silence timeouts eject the endpoint.
    assert sum(answer.seconds > BRISK_OBJECTIVE for answer in answers) <= 3


def test_late_lookups_are_awaited_once_retries_are_exhausted(
    site: RoutedSite,
) -> None:
    """All endpoints miss the objective, as under a burst.

    Retrying each late lookup soon exhausts the retry budget.  After that a
    lookup must not be abandoned while its answer may still arrive.
    """
    for name in BOOK_ENDPOINTS:
        site.set_endpoint_faults(name, pace=0.45)
    answers = [
        call(site.instances[0], '/brisk/x', X_Kelproad_Deadline_Ms='1500')
        for _ in range(30)
    ]
    assert {answer.status for answer in answers} == {200}


def test_bookings_leave_an_endpoint_that_falls_silent(site: RoutedSite) -> None:
    """An endpoint hangs, and each booking sent there gets no answer.

    It may have run, so it is not sent again; but the silence counts as a
    failure of the endpoint, and later bookings go to the other one.
    """
    site.set_endpoint_faults(BOOK_ENDPOINTS[0], hang=True)
    answers = [
        call(
            site.instances[0],
            '/brisk-bookings/x',
            'POST',
            b'run',
            X_Kelproad_Deadline_Ms='700',
        )
        for _ in range(16)
    ]
    statuses = [answer.status for answer in answers]
    assert statuses.count(504) <= 3
    assert set(statuses) <= {200, 504}
    assert all(site.count_runs(answer.request_id) <= 1 for answer in answers)


def test_an_answer_to_another_call_is_not_forwarded(
    site: RoutedSite,
) -> None:
    """An endpoint confuses answers; the caller gets a 502 instead."""
    for name in BOOK_ENDPOINTS:
        site.set_endpoint_faults(name, crossed=True)
    answer = call(site.instances[0], '/bookings/x', 'POST', b'run 11')
    assert answer.status == 502
    assert not answer.has_stamp


# Streams


def test_a_stream_is_forwarded_event_by_event(site: RoutedSite) -> None:
    """All events arrive once and in order, followed by a regular end."""
    answer = stream(site.instances[0])
    assert answer.status == 200
    assert list_event_ids(answer) == [1, 2, 3, 4, 5]
    assert not answer.broken
    assert answer.has_stamp


def test_a_broken_stream_is_resumed_at_another_engine(
    site: RoutedSite,
) -> None:
    """An engine aborts its stream within the third event.

    The caller must get each event complete and once: the truncated one is not
    forwarded, and another engine continues after the second.
    """
    for name in ENGINES:
        site.set_endpoint_faults(name, break_after=2, events=4)
    answer = stream(site.instances[0])
    assert list_event_ids(answer) == [1, 2, 3, 4]
    assert b'bro' not in answer.body
    assert not answer.broken


def test_a_broken_stream_never_looks_complete(site: RoutedSite) -> None:
    """A stream that may not be resumed is aborted without a regular end."""
    for name in ENGINES:
        site.set_endpoint_faults(name, break_after=2)
    answer = stream(site.instances[0], '/fragile/x')
    assert answer.broken
    assert list_event_ids(answer) == [1, 2]
    assert site.count_runs(answer.request_id) == 1


def test_a_caller_resumes_a_stream(site: RoutedSite) -> None:
    """A caller that names its last event gets only those after it."""
    answer = stream(site.instances[0], Last_Event_Id='3')
    assert list_event_ids(answer) == [4, 5]


def test_an_engine_stops_when_its_caller_leaves(site: RoutedSite) -> None:
    """A caller closes its connection; its engine must stop decoding."""
    for name in ENGINES:
        site.set_endpoint_faults(name, pace=0.2, events=50)
    request_id = next_id()
    connection = client.HTTPConnection(site.instances[0].caller)
    connection.request(
        'POST',
        '/reports/x',
        b'prompt',
        make_headers(request_id, X_Kelproad_Token_Count='100,50'),
    )
    response = connection.getresponse()
    response.read(10)
    response.close()
    connection.close()
    closed_at = time.monotonic()
    wait_for(
        lambda: any(
            request_id in site.show_endpoint(name)['left'] for name in ENGINES
        ),
        'the engine noticed',
    )
    assert time.monotonic() - closed_at < SOON


def test_a_prompt_larger_than_an_engine_is_split(site: RoutedSite) -> None:
    """A prompt needs more memory than any engine has.

    Memory is reserved at helper engines, the prompt is answered, and all
    reservations are released.
    """
    answer = stream(site.instances[0], tokens='400000,50')
    assert answer.status == 200
    assert list_event_ids(answer) == [1, 2, 3, 4, 5]
    shown = [site.show_endpoint(name) for name in ENGINES]
    assert sum(item['orders'].get('reserve', 0) for item in shown) >= 1
    wait_for(
        lambda: (
            not any(site.show_endpoint(name)['tickets'] for name in ENGINES)
        ),
        'memory is free again',
    )


def test_a_prompt_larger_than_all_engines_is_refused_at_once(
    site: RoutedSite,
) -> None:
    """No set of engines holds three million tokens; waiting is useless."""
    answer = stream(site.instances[0], tokens='3000000,50')
    assert answer.status == 503
    assert answer.seconds < SOON


# Bad input


@pytest.mark.parametrize(
    'headers',
    [
        {'X_Kelproad_Deadline_Ms': 'soon'},
        {'X_Kelproad_Deadline_Ms': '-5'},
        {'X_Kelproad_Request_Id': ''},
    ],
)
def test_invalid_headers_are_a_bad_request(
    site: RoutedSite,
    headers: dict[str, str],
) -> None:
    """A header that can't be parsed is answered with 400."""
    assert call(site.instances[0], '/lookups/x', **headers).status == 400


def test_a_huge_deadline_is_bounded_by_the_route(site: RoutedSite) -> None:
    """A deadline of 15 digits neither overflows nor is refused."""
    answer = call(
        site.instances[0],
        '/lookups/x',
        X_Kelproad_Deadline_Ms='999999999999999',
    )
    assert answer.status == 200


@pytest.mark.parametrize('count', ['', 'many', '1,2,3', '-1,5', '5', ',,'])
def test_invalid_token_counts_are_ignored(site: RoutedSite, count: str) -> None:
    """Counts that can't be parsed count as zero."""
    answer = stream(site.instances[0], tokens=count or '0,0')
    assert answer.status == 200


def test_a_body_over_the_limit_is_refused(site: RoutedSite) -> None:
    """The configuration permits 64 KiB."""
    body = b'x' * 70_000
    answer = call(site.instances[0], '/lookups/x', 'POST', body)
    assert answer.status == 413
    assert site.count_runs(answer.request_id) == 0


@pytest.mark.parametrize(
    'framing',
    [
        'Content-Length: 5\r\nTransfer-Encoding: chunked\r\n',
        'Content-Length: 5\r\nContent-Length: 6\r\n',
        'Content-Length: +5\r\n',
        'Transfer-Encoding: chunked, identity\r\n',
    ],
)
def test_ambiguous_framing_is_refused(site: RoutedSite, framing: str) -> None:
    """Two interpretations of a request's end permit request smuggling."""
    request_id = next_id()
    head = ''.join(
        f'{name}: {text}\r\n' for name, text in make_headers(request_id).items()
    )
    raw = f'POST /lookups/x HTTP/1.1\r\n{head}{framing}\r\n0\r\n\r\nhello'
    received = send_raw(site.instances[0], raw.encode())
    assert b' 400 ' in received.split(b'\r\n')[0]
    assert site.count_runs(request_id) == 0


def test_internal_headers_of_a_caller_are_replaced(
    site: RoutedSite,
) -> None:
    """A caller sets a workspace, helpers and an expected endpoint."""
    answer = call(
        site.instances[0],
        '/lookups/x',
        X_Kelproad_Tenant='others',
        X_Kelproad_Helpers='1.2.3.4:5',
        X_Kelproad_Expect_Instance='nobody',
    )
    assert answer.status == 200
    runs = [
        run
        for name in BOOK_ENDPOINTS
        for run in site.show_endpoint(name)['runs']
        if run['X-Kelproad-Request-Id'] == answer.request_id
    ]
    assert runs[0]['X-Kelproad-Tenant'] == 'crews'
    assert 'X-Kelproad-Helpers' not in runs[0]


def test_each_decision_is_logged_with_its_request(site: RoutedSite) -> None:
    """A request id finds all decisions on its request in the log."""
    answer = stream(site.instances[0])
    wait_for(
        lambda: any(
            line.get('request') == answer.request_id
            and line['event'] == 'ended'
            for line in site.instances[0].log_lines
        ),
        'the end is logged',
    )
    events = [
        line['event']
        for line in site.instances[0].log_lines
        if line.get('request') == answer.request_id
    ]
    assert events == ['placed', 'streamed', 'ended']


def test_the_start_of_an_instance_is_logged(site: RoutedSite) -> None:
    """The log file of the process has the event."""
    path = pathlib.Path(site.instances[0].process.log)
    assert '"instance_started"' in path.read_text()


def test_headers_over_the_limit_are_refused(site: RoutedSite) -> None:
    """16 KiB are permitted; more is refused before anything is forwarded."""
    request_id = next_id()
    head = ''.join(
        f'{name}: {text}\r\n'
        for name, text in make_headers(request_id, X_Long='x' * 20_000).items()
    )
    raw = f'GET /open/x HTTP/1.1\r\n{head}Connection: close\r\n\r\n'
    received = send_raw(site.instances[0], raw.encode())
    assert b' 400 ' in received.split(b'\r\n')[0]
    assert site.count_runs(request_id) == 0


def test_an_expected_interim_answer_is_sent(
    site: RoutedSite,
) -> None:
    """A caller with ``Expect: 100-continue`` gets both answers in turn."""
    request_id = next_id()
    head = ''.join(
        f'{name}: {text}\r\n' for name, text in make_headers(request_id).items()
    )
    raw = (
        f'POST /open/x HTTP/1.1\r\n{head}Expect: 100-continue\r\n'
        'Connection: close\r\nContent-Length: 2\r\n\r\nok'
    )
    received = send_raw(site.instances[0], raw.encode())
    assert received.startswith(b'HTTP/1.1 100 Continue')
    assert b'HTTP/1.1 200 OK' in received


def test_an_upgrade_is_ignored(site: RoutedSite) -> None:
    """An upgrade is hop-by-hop and not forwarded; the call is answered."""
    answer = call(
        site.instances[0],
        '/open/x',
        Upgrade='websocket',
        Connection='Upgrade',
    )
    assert answer.status == 200


def test_metrics_count_and_time_calls(site: RoutedSite) -> None:
    """Counters and latency histograms are served as text."""
    stream(site.instances[0])
    with request.urlopen(
        f'http://{site.instances[0].metrics}/metrics',
    ) as metrics:
        text = metrics.read().decode()
    assert 'kelproad_requests_total{' in text
    assert 'kelproad_first_event_seconds_bucket{' in text
    assert 'kelproad_answer_seconds_count{' in text
