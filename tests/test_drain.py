"""Planned stops of real instances truncate no answers."""

import contextlib
import json
import signal
import socket
import time
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor
from http import client

import pytest

from testbed.site import InstanceProcess, Site, SitePlan, start_site
from tests.clients import KEY, Answer, book, call, complete
from tests.conftest import ROADGRIP

GRACE = 1.0
#: Seconds after the grace at which the short-limit site ends its stops.
SHORT_LIMIT = 1.5
#: Seconds within which an instance must exit once its calls have ended;
#: also the timeout of connections to it.
EXIT_TIMEOUT = 15.0


@pytest.fixture(scope='module')
def shared(tmp_path_factory: pytest.TempPathFactory) -> Iterator[Site]:
    """Run a site whose instances are stopped one after another."""
    plan = SitePlan(
        example=ROADGRIP,
        endpoints_per_group=1,
        instance_settings={'drain_grace': GRACE},
    )
    with start_site(plan, tmp_path_factory.mktemp('drain')) as site:
        yield site


@pytest.fixture
def site(shared: Site) -> Iterator[Site]:
    """Yield the site; afterwards clear its faults and restart its instances."""
    yield shared
    for address in (shared.platform_address, *list_run_books(shared)):
        shared.set_faults(address)
    for instance in shared.instances:
        if not instance.process.running:
            shared.start_instance(instance)
    shared.wait_ready()


@pytest.fixture
def short_limit_site(
    tmp_path_factory: pytest.TempPathFactory,
) -> Iterator[Site]:
    """Run a site whose drain limit is shorter than the deadlines of calls."""
    plan = SitePlan(
        example=ROADGRIP,
        endpoints_per_group=1,
        instance_settings={'drain_grace': GRACE, 'drain_limit': SHORT_LIMIT},
    )
    with start_site(plan, tmp_path_factory.mktemp('brief')) as site:
        yield site


@pytest.fixture
def pool() -> Iterator[ThreadPoolExecutor]:
    """Yield an executor for concurrent calls."""
    with ThreadPoolExecutor(8) as executor:
        yield executor


def list_run_books(site: Site) -> list[str]:
    """List the addresses of the services that book runs."""
    return [
        address
        for name, address in site.addresses.items()
        if name.startswith('run-book')
    ]


def begin_stop(instance: InstanceProcess) -> None:
    """Send SIGTERM, without waiting for the instance to exit."""
    instance.process.send_signal(signal.SIGTERM)


def is_closing(instance: InstanceProcess) -> bool:
    """Return whether an instance closes its keep-alive connections."""
    kept = client.HTTPConnection(instance.caller, timeout=EXIT_TIMEOUT)
    with contextlib.closing(kept):
        kept.request('GET', '/healthz')
        answer = kept.getresponse()
        answer.read()
        return answer.getheader('Connection') == 'close'


def delay_run_books(site: Site, delay: float) -> None:
    """Delay the services' answers in seconds; effects happen at once."""
    for address in list_run_books(site):
        site.set_faults(address, delay=delay)


def test_stream_continues_and_calls_during_grace_are_served(
    site: Site,
    pool: ThreadPoolExecutor,
) -> None:
    """An instance is stopped while it streams and still gets calls.

    It reports that it is not ready, serves calls during its grace period,
    refuses them afterwards as not run, and completes the stream.  A second
    SIGTERM does not speed up the stop.
    """
    instance = site.instances[0]
    streaming = pool.submit(
        complete,
        instance.caller,
        stream=True,
        max_tokens=1200,
    )
    time.sleep(0.5)
    assert not is_closing(instance)
    begin_stop(instance)
    time.sleep(0.2)
    assert call(instance.caller, '/readyz').status == 503
    assert is_closing(instance)
    assert complete(instance.caller).status == 200
    begin_stop(instance)
    time.sleep(GRACE)
    refused = complete(instance.caller)
    assert (refused.status, refused.refusal()['ran']) == (503, 'no')
    # A service's path is refused too, even if it ends like the instance's own.
    assert call(instance.caller, '/services/test-runs/metrics').status == 503
    answer = streaming.result()
    assert answer.body.endswith(b'data: [DONE]\n\n')
    assert answer.body.count(b'data: ') == 1201
    assert instance.process.wait(EXIT_TIMEOUT) == 0


def test_body_that_arrives_during_a_stop_is_served(site: Site) -> None:
    """A call's headers arrive before the stop, its body after the grace."""
    instance = site.instances[1]
    body = json.dumps({'reference': 'on-its-way'}).encode()
    head = (
        'POST /services/test-runs/entries HTTP/1.1\r\nHost: x\r\n'
        f'Authorization: Bearer {KEY}\r\nContent-Length: {len(body)}\r\n\r\n'
    )
    host, _, port = instance.caller.rpartition(':')
    with socket.create_connection(
        (host, int(port)), timeout=EXIT_TIMEOUT
    ) as raw:
        raw.sendall(head.encode())
        time.sleep(0.2)
        begin_stop(instance)
        time.sleep(GRACE + 0.5)
        raw.sendall(body)
        assert raw.recv(65536).startswith(b'HTTP/1.1 200')
    assert instance.process.wait(EXIT_TIMEOUT) == 0


def test_claimed_work_without_its_caller_is_recorded(site: Site) -> None:
    """The caller of a claimed call disconnects, then the instance is stopped.

    The work was dispatched, so its outcome is awaited and recorded; otherwise
    the key would stay unknown.
    """
    instance = site.instances[2]
    delay_run_books(site, 2.0)
    with contextlib.suppress(TimeoutError):
        book(instance.caller, 'left', 'left', timeout=0.5)
    begin_stop(instance)
    assert instance.process.wait(EXIT_TIMEOUT) == 0
    delay_run_books(site, 0)
    again = book(site.callers[0], 'left', 'left')
    assert again.status == 200
    assert again.headers['Idempotency-Replayed'] == 'true'


def test_stop_during_an_outage_ends(
    site: Site,
    pool: ThreadPoolExecutor,
) -> None:
    """The platform hangs; an instance with a claimed call is stopped.

    The caller gets its answer.  The outcome cannot be recorded, but the
    instance still exits, and later callers are told that it is unknown.
    """
    instance = site.instances[1]
    delay_run_books(site, 1.0)
    booking = pool.submit(book, instance.caller, 'outage', 'outage')
    time.sleep(0.5)
    site.set_faults(site.platform_address, hang=True)
    begin_stop(instance)
    answer: Answer = booking.result()
    assert answer.status == 200
    assert instance.process.wait(EXIT_TIMEOUT) == 0
    site.set_faults(site.platform_address)
    again = book(site.callers[0], 'outage', 'outage')
    assert (again.status, again.refusal()['ran']) == (409, 'unknown')


def test_calls_that_the_limit_would_abort_are_refused(
    short_limit_site: Site,
    pool: ThreadPoolExecutor,
) -> None:
    """A balancer sends a booking and a stream right after SIGTERM.

    Their deadlines lie beyond the drain limit.  An instance that accepts them
    without regard to the time left exits before they end, which leaves the
    booking without an answer and truncates the stream.
    """
    instance = short_limit_site.instances[0]
    delay_run_books(short_limit_site, 6.0)
    # Keeps the stop from ending before its limit.
    begun = pool.submit(
        complete,
        instance.caller,
        stream=True,
        max_tokens=12_000,
    )
    time.sleep(0.5)
    begin_stop(instance)
    time.sleep(0.2)
    for refused in (
        book(instance.caller, 'late', deadline=20),
        complete(instance.caller, stream=True, max_tokens=1200),
    ):
        assert (refused.status, refused.refusal()['ran']) == (503, 'no')
        assert refused.headers['Retry-After'] == '0'
    delay_run_books(short_limit_site, 0)
    # A call whose deadline lies before the end of the stop is still accepted.
    assert book(instance.caller, 'in-time', deadline=1).status == 200
    listed = call(short_limit_site.callers[1], '/services/test-runs/entries')
    assert listed.fields() == {'in-time': 1}
    with pytest.raises(client.IncompleteRead):
        begun.result()
    assert instance.process.wait(EXIT_TIMEOUT) == 1


def test_calls_aborted_by_the_limit_are_answered(
    short_limit_site: Site,
    pool: ThreadPoolExecutor,
) -> None:
    """Callers wait for the first byte of an answer when a stop ends.

    A booking and one with a key hang at their service, a stream's engine has
    not started, and a body is incomplete.  If the drain limit leaves such calls
    to the closing of the server, which cancels them, their connections end
    without an answer, and callers cannot know whether anything has run.
    """
    instance = short_limit_site.instances[0]
    delay_run_books(short_limit_site, 20.0)
    for name, address in short_limit_site.addresses.items():
        if name.startswith(('report', 'crew')):
            short_limit_site.set_faults(address, delay_head=20.0)
    sent = [
        pool.submit(book, instance.caller, 'hangs', deadline=20),
        pool.submit(book, instance.caller, 'claimed', 'claimed', deadline=20),
        pool.submit(complete, instance.caller, stream=True),
    ]
    head = (
        'POST /services/test-runs/entries HTTP/1.1\r\nHost: x\r\n'
        f'Authorization: Bearer {KEY}\r\nContent-Length: 9\r\n\r\nhalf'
    )
    host, _, port = instance.caller.rpartition(':')
    with socket.create_connection(
        (host, int(port)), timeout=EXIT_TIMEOUT
    ) as raw:
        raw.sendall(head.encode())
        time.sleep(0.5)
        begin_stop(instance)
        unsent = raw.recv(65536)
    answers = [waiting.result() for waiting in sent]
    # Forwarded calls may have run; the incomplete one has not.
    assert [answer.status for answer in answers] == [502, 502, 502]
    assert {answer.refusal()['ran'] for answer in answers} == {'unknown'}
    assert unsent.startswith(b'HTTP/1.1 503')
    assert b'"ran":"no"' in unsent
    assert instance.process.wait(EXIT_TIMEOUT) == 1
    again = book(short_limit_site.callers[1], 'claimed', 'claimed')
    assert (again.status, again.refusal()['ran']) == (409, 'unknown')
