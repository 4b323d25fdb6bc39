"""Calls through a real instance: answered whole, or refused truthfully."""

import pathlib
import time
from collections.abc import Iterator
from http import client
from urllib import request

import pytest

from testbed.routed import RoutedSite, start_routed_site, wait_for
from tests.ingress.callers import (
    call,
    count_events,
    make_headers,
    next_id,
    send_raw,
    stream,
)

ENGINES = ('engine-1', 'engine-2', 'engine-3')
BOOKS = ('book-1', 'book-2')
#: Share of failures below which an endpoint is trusted again.
WELL = 0.5
#: Seconds that a caller allows, and by which its answer may be late here.
DEADLINE = 0.6
SLACK = 0.1
SOON = 0.5
#: Objective of the routes whose endpoints may not be silent for long.
BRISK = 0.25


@pytest.fixture(scope='module')
def running(tmp_path_factory: pytest.TempPathFactory) -> Iterator[RoutedSite]:
    """Run one site for the tests of this file."""
    with start_routed_site(tmp_path_factory.mktemp('site')) as site:
        yield site


@pytest.fixture
def site(running: RoutedSite) -> Iterator[RoutedSite]:
    """Leave the site well for the next test."""
    yield running
    for name in running.endpoints:
        running.break_endpoint(name)
    # Endpoints that failed get work again only after some seconds.
    wait_for(
        lambda: all(
            endpoint['failing'] < WELL and not endpoint['ejected_for']
            for endpoint in running.instances[0].dump()['endpoints'].values()
        ),
        'endpoints are trusted again',
    )


def test_an_answer_is_handed_on_unchanged(site: RoutedSite) -> None:
    """Status, body and stamp are the endpoint's; the key stays here."""
    answer = call(site.instances[0], '/lookups/a%2Fb?c=d')
    assert answer.status == 200
    assert answer.body.startswith(b'answer of book-')
    assert answer.stamped
    assert answer.headers['X-Kelproad-Request-Id'] == answer.request_id
    runs = [
        run
        for name in BOOKS
        for run in site.show_endpoint(name)['runs']
        if run['X-Kelproad-Request-Id'] == answer.request_id
    ]
    assert [run['target'] for run in runs] == ['/lookups/a%2Fb?c=d']
    assert runs[0]['X-Kelproad-Tenant'] == 'crews'
    assert runs[0]['Host'] == 'reports.example'
    assert 'X-Api-Key' not in runs[0]
    assert int(runs[0]['X-Kelproad-Deadline-Ms']) < 4000


def test_a_body_goes_on_as_it_came(site: RoutedSite) -> None:
    """A chunked body of encoded bytes arrives as the same bytes."""
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
        for name in BOOKS
        for run in site.show_endpoint(name)['runs']
        if run['X-Kelproad-Request-Id'] == request_id
    ]
    assert runs[0]['body'] == 'abcde'


def test_what_is_not_configured_is_refused(site: RoutedSite) -> None:
    """Unknown paths and hosts, a wrong key and none: nothing runs."""
    instance = site.instances[0]
    assert call(instance, '/nowhere/x').status == 404
    assert call(instance, '/lookups/x', Host='other.example').status == 404
    assert call(instance, '/lookups/x', X_Api_Key='wrong').status == 401
    assert call(instance, '/lookups/x', X_Api_Key='').status == 401
    assert call(instance, '/open/x', X_Api_Key='').status == 200


def test_an_idempotent_call_is_repeated_after_an_error(
    site: RoutedSite,
) -> None:
    """One of two books answers every lookup with an error of its own.

    A crew that asks again must get its readings: the other book has them.
    """
    site.break_endpoint('book-1', error=True)
    answers = [call(site.instances[0], '/lookups/x') for _ in range(6)]
    assert {answer.status for answer in answers} == {200}


def test_an_error_is_handed_on_when_nothing_is_better(
    site: RoutedSite,
) -> None:
    """Both books fail: the caller gets an endpoint's error, stamp and all."""
    for name in BOOKS:
        site.break_endpoint(name, error=True)
    answer = call(site.instances[0], '/lookups/x')
    assert answer.status == 500
    assert answer.stamped
    assert answer.body == b'failed here'


def test_a_booking_whose_answer_is_lost_is_not_repeated(
    site: RoutedSite,
) -> None:
    """A book runs a booking, and the connection breaks before its answer.

    Sending it to the other book would bill the member twice; saying that it
    has not run would have the caller do so.
    """
    for name in BOOKS:
        site.break_endpoint(name, lose=True)
    answer = call(site.instances[0], '/bookings/x', 'POST', b'run 7')
    assert answer.status == 502
    assert not answer.stamped
    assert site.count_runs(answer.request_id) == 1


def test_a_booking_goes_on_where_nothing_ran(site: RoutedSite) -> None:
    """A full book says that it did not run a booking; the other one does."""
    site.break_endpoint('book-1', shed=True)
    for _ in range(4):
        answer = call(site.instances[0], '/bookings/x', 'POST', b'run 8')
        assert answer.status == 200
        assert site.count_runs(answer.request_id) == 1


def test_a_refusal_says_when_to_come_back(site: RoutedSite) -> None:
    """Every book is full: 503, not run, at once, with a time to return."""
    for name in BOOKS:
        site.break_endpoint(name, shed=True)
    answer = call(site.instances[0], '/bookings/x', 'POST', b'run 9')
    assert answer.status == 503
    assert float(answer.headers['Retry-After']) > 0
    assert answer.seconds < 1
    assert site.count_runs(answer.request_id) == 0


def test_a_late_booking_gets_its_answer_in_time(site: RoutedSite) -> None:
    """A book hangs: at its deadline the caller hears that it may have run."""
    for name in BOOKS:
        site.break_endpoint(name, hang=True)
    answer = call(
        site.instances[0],
        '/bookings/x',
        'POST',
        b'run 10',
        X_Kelproad_Deadline_Ms=str(int(DEADLINE * 1000)),
    )
    assert answer.status == 504
    assert answer.seconds < DEADLINE + SLACK


def test_a_lookup_whose_endpoint_falls_silent_goes_on(
    site: RoutedSite,
) -> None:
    """A book runs a lookup and its answer is lost, without any reset.

    The caller waited for its whole second and got nothing.  A lookup may run
    twice, so another book answers it while there is time.
    """
    site.break_endpoint(BOOKS[0], hang=True)
    answers = [
        call(
            site.instances[0],
            '/brisk/x',
            X_Kelproad_Deadline_Ms='1000',
        )
        for _ in range(6)
    ]
    assert all(answer.status == 200 for answer in answers)
    # Three silences in a row, and the book is left alone for a while.
    assert sum(answer.seconds > BRISK for answer in answers) <= 3


def test_late_lookups_are_waited_for_once_retries_are_spent(
    site: RoutedSite,
) -> None:
    """Every book is later than it should be, as under a burst.

    Leaving each for another one soon spends the retries that are permitted,
    and lookups were then given up though their answers were on the way.
    """
    for name in BOOKS:
        site.break_endpoint(name, pace=0.45)
    answers = [
        call(site.instances[0], '/brisk/x', X_Kelproad_Deadline_Ms='1500')
        for _ in range(30)
    ]
    assert {answer.status for answer in answers} == {200}


def test_bookings_leave_an_endpoint_that_falls_silent(site: RoutedSite) -> None:
    """A book hangs, and each booking sent there is lost for its caller.

    It may have run, so it is not sent again; but silence for that long is the
    book's failure, and the bookings after it go to the other one.
    """
    site.break_endpoint(BOOKS[0], hang=True)
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


def test_an_answer_to_somebody_else_is_not_handed_on(
    site: RoutedSite,
) -> None:
    """A book mixes answers up; the caller hears of a failure instead."""
    for name in BOOKS:
        site.break_endpoint(name, crossed=True)
    answer = call(site.instances[0], '/bookings/x', 'POST', b'run 11')
    assert answer.status == 502
    assert not answer.stamped


# Streams


def test_a_stream_is_handed_on_event_by_event(site: RoutedSite) -> None:
    """All events, once and in order, and a clean end."""
    answer = stream(site.instances[0])
    assert answer.status == 200
    assert count_events(answer) == [1, 2, 3, 4, 5]
    assert not answer.broken
    assert answer.stamped


def test_a_broken_stream_is_resumed_at_another_engine(
    site: RoutedSite,
) -> None:
    """An engine breaks off in the midst of the third event.

    The reader must see five whole events: the half one is not handed on, and
    another engine goes on behind the second.
    """
    for name in ENGINES:
        site.break_endpoint(name, break_after=2, events=4)
    answer = stream(site.instances[0])
    assert count_events(answer) == [1, 2, 3, 4]
    assert b'bro' not in answer.body
    assert not answer.broken


def test_a_broken_stream_never_looks_complete(site: RoutedSite) -> None:
    """A stream that may not be resumed breaks: no clean end, one run."""
    for name in ENGINES:
        site.break_endpoint(name, break_after=2)
    answer = stream(site.instances[0], '/fragile/x')
    assert answer.broken
    assert count_events(answer) == [1, 2]
    assert site.count_runs(answer.request_id) == 1


def test_a_caller_resumes_a_stream(site: RoutedSite) -> None:
    """A caller whose connection broke comes back with its last event."""
    answer = stream(site.instances[0], Last_Event_Id='3')
    assert count_events(answer) == [4, 5]


def test_an_engine_stops_when_its_caller_leaves(site: RoutedSite) -> None:
    """A caller closes its connection; its engine must not write on."""
    for name in ENGINES:
        site.break_endpoint(name, pace=0.2, events=50)
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
    began = time.monotonic()
    wait_for(
        lambda: any(
            request_id in site.show_endpoint(name)['left'] for name in ENGINES
        ),
        'the engine noticed',
    )
    assert time.monotonic() - began < SOON


def test_a_prompt_larger_than_an_engine_is_spread(site: RoutedSite) -> None:
    """A season review needs more memory than any engine has.

    Memory is reserved at helpers, the review is answered, and nothing stays
    reserved.
    """
    answer = stream(site.instances[0], tokens='400000,50')
    assert answer.status == 200
    assert count_events(answer) == [1, 2, 3, 4, 5]
    shown = [site.show_endpoint(name) for name in ENGINES]
    assert sum(item['orders'].get('reserve', 0) for item in shown) >= 1
    wait_for(
        lambda: (
            not any(site.show_endpoint(name)['tickets'] for name in ENGINES)
        ),
        'memory is free again',
    )


def test_a_hopeless_prompt_is_refused_at_once(site: RoutedSite) -> None:
    """No set of engines holds three million tokens; waiting can't help."""
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
def test_odd_headers_are_a_bad_request(
    site: RoutedSite,
    headers: dict[str, str],
) -> None:
    """What can't be read is said to be so, and nothing is sent on."""
    assert call(site.instances[0], '/lookups/x', **headers).status == 400


def test_an_absurd_deadline_is_bounded_by_the_route(site: RoutedSite) -> None:
    """A deadline of ages neither overflows nor outlasts the route."""
    answer = call(
        site.instances[0],
        '/lookups/x',
        X_Kelproad_Deadline_Ms='999999999999999',
    )
    assert answer.status == 200


@pytest.mark.parametrize('count', ['', 'many', '1,2,3', '-1,5', '5', ',,'])
def test_odd_token_counts_do_no_harm(site: RoutedSite, count: str) -> None:
    """Counts that can't be read count as nothing."""
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
    """Two readings of where a request ends would let one hide another."""
    request_id = next_id()
    head = ''.join(
        f'{name}: {text}\r\n' for name, text in make_headers(request_id).items()
    )
    raw = f'POST /lookups/x HTTP/1.1\r\n{head}{framing}\r\n0\r\n\r\nhello'
    received = send_raw(site.instances[0], raw.encode())
    assert b' 400 ' in received.split(b'\r\n')[0]
    assert site.count_runs(request_id) == 0


def test_headers_that_only_the_system_sets_are_replaced(
    site: RoutedSite,
) -> None:
    """A caller names another workspace, helpers and an endpoint of its own."""
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
        for name in BOOKS
        for run in site.show_endpoint(name)['runs']
        if run['X-Kelproad-Request-Id'] == answer.request_id
    ]
    assert runs[0]['X-Kelproad-Tenant'] == 'crews'
    assert 'X-Kelproad-Helpers' not in runs[0]


def test_each_decision_is_logged_with_its_request(site: RoutedSite) -> None:
    """From a request's id alone its way can be found in the log."""
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


def test_the_log_of_the_site_is_kept(site: RoutedSite) -> None:
    """Instances say when they start."""
    path = pathlib.Path(site.instances[0].process.log)
    assert '"instance_started"' in path.read_text()


def test_headers_over_the_limit_are_refused(site: RoutedSite) -> None:
    """16 KiB are permitted; more is refused before anything is sent on."""
    request_id = next_id()
    head = ''.join(
        f'{name}: {text}\r\n'
        for name, text in make_headers(request_id, X_Long='x' * 20_000).items()
    )
    raw = f'GET /open/x HTTP/1.1\r\n{head}Connection: close\r\n\r\n'
    received = send_raw(site.instances[0], raw.encode())
    assert b' 400 ' in received.split(b'\r\n')[0]
    assert site.count_runs(request_id) == 0


def test_a_caller_that_waits_to_send_its_body_is_told_to(
    site: RoutedSite,
) -> None:
    """``Expect: 100-continue`` gets its interim answer, then the answer."""
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


def test_an_upgrade_is_passed_by(site: RoutedSite) -> None:
    """A wish for another protocol concerns one connection; it stays here."""
    answer = call(
        site.instances[0],
        '/open/x',
        Upgrade='websocket',
        Connection='Upgrade',
    )
    assert answer.status == 200


def test_metrics_count_and_time_calls(site: RoutedSite) -> None:
    """The metrics address has counters and latency histograms as text."""
    stream(site.instances[0])
    with request.urlopen(
        f'http://{site.instances[0].metrics}/metrics',
    ) as metrics:
        text = metrics.read().decode()
    assert 'kelproad_requests_total{' in text
    assert 'kelproad_first_event_seconds_bucket{' in text
    assert 'kelproad_answer_seconds_count{' in text
