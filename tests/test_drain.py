"""A planned stop cuts nothing, with real processes."""

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
#: Seconds for which a stop of the site with brief stops waits behind the grace.
BRIEF_LIMIT = 1.5
#: Seconds within which a stop ends when nothing keeps it.
ENDED = 15.0


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
    """Give the site, with all instances running again after each test."""
    yield shared
    for address in (shared.platform_address, *list_books(shared)):
        shared.set_faults(address)
    for instance in shared.instances:
        if not instance.process.running:
            shared.start_instance(instance)
    shared.wait_ready()


@pytest.fixture
def brief(tmp_path_factory: pytest.TempPathFactory) -> Iterator[Site]:
    """Run a site whose stops end before the longest deadlines of calls."""
    plan = SitePlan(
        example=ROADGRIP,
        endpoints_per_group=1,
        instance_settings={'drain_grace': GRACE, 'drain_limit': BRIEF_LIMIT},
    )
    with start_site(plan, tmp_path_factory.mktemp('brief')) as site:
        yield site


@pytest.fixture
def pool() -> Iterator[ThreadPoolExecutor]:
    """Make calls at the same time."""
    with ThreadPoolExecutor(8) as executor:
        yield executor


def list_books(site: Site) -> list[str]:
    """List the addresses of the services that book runs."""
    return [
        address
        for name, address in site.addresses.items()
        if name.startswith('run-book')
    ]


def begin_stop(instance: InstanceProcess) -> None:
    """Send the signal of a planned stop."""
    instance.process.send_signal(signal.SIGTERM)


def is_closing(instance: InstanceProcess) -> bool:
    """Tell whether callers are asked to leave their kept connections."""
    kept = client.HTTPConnection(instance.caller, timeout=ENDED)
    with contextlib.closing(kept):
        kept.request('GET', '/healthz')
        answer = kept.getresponse()
        answer.read()
        return answer.getheader('Connection') == 'close'


def slow_books(site: Site, delay: float) -> None:
    """Let the services answer late, after the effect."""
    for address in list_books(site):
        site.set_faults(address, delay=delay)


def test_stream_goes_on_and_late_calls_are_served(
    site: Site,
    pool: ThreadPoolExecutor,
) -> None:
    """An instance is stopped while it streams; the balancer does not know yet.

    It says that it is not ready, serves what still comes during its grace,
    refuses as not run after it, and ends the stream whole.  Being told to
    stop a second time does not hurry it.
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
    # A service's own path is work, though it ends as one of the instance's.
    assert call(instance.caller, '/services/test-runs/metrics').status == 503
    answer = streaming.result()
    assert answer.body.endswith(b'data: [DONE]\n\n')
    assert answer.body.count(b'data: ') == 1201
    assert instance.process.wait(ENDED) == 0


def test_body_on_its_way_is_not_cut(site: Site) -> None:
    """A call's headers came before the stop, its body after the grace."""
    instance = site.instances[1]
    body = json.dumps({'reference': 'on-its-way'}).encode()
    head = (
        'POST /services/test-runs/entries HTTP/1.1\r\nHost: x\r\n'
        f'Authorization: Bearer {KEY}\r\nContent-Length: {len(body)}\r\n\r\n'
    )
    host, _, port = instance.caller.rpartition(':')
    with socket.create_connection((host, int(port)), timeout=ENDED) as raw:
        raw.sendall(head.encode())
        time.sleep(0.2)
        begin_stop(instance)
        time.sleep(GRACE + 0.5)
        raw.sendall(body)
        assert raw.recv(65536).startswith(b'HTTP/1.1 200')
    assert instance.process.wait(ENDED) == 0


def test_claimed_work_without_its_caller_is_recorded(site: Site) -> None:
    """The caller of a claimed call goes away, then the instance is stopped.

    The work was dispatched; its outcome is awaited and recorded, so that the
    key does not stay unknown.
    """
    instance = site.instances[2]
    slow_books(site, 2.0)
    with contextlib.suppress(TimeoutError):
        book(instance.caller, 'left', 'left', timeout=0.5)
    begin_stop(instance)
    assert instance.process.wait(ENDED) == 0
    slow_books(site, 0)
    again = book(site.callers[0], 'left', 'left')
    assert again.status == 200
    assert again.headers['Idempotency-Replayed'] == 'true'


def test_stop_during_an_outage_ends(
    site: Site,
    pool: ThreadPoolExecutor,
) -> None:
    """The platform hangs; an instance with a claimed call is stopped.

    The caller gets its answer; the outcome cannot be recorded, and the
    instance ends all the same.  Later callers hear that it is unknown.
    """
    instance = site.instances[1]
    slow_books(site, 1.0)
    booking = pool.submit(book, instance.caller, 'outage', 'outage')
    time.sleep(0.5)
    site.set_faults(site.platform_address, hang=True)
    begin_stop(instance)
    answer: Answer = booking.result()
    assert answer.status == 200
    assert instance.process.wait(ENDED) == 0
    site.set_faults(site.platform_address)
    again = book(site.callers[0], 'outage', 'outage')
    assert (again.status, again.refusal()['ran']) == (409, 'unknown')


def test_calls_that_the_limit_would_cut_are_refused(
    brief: Site,
    pool: ThreadPoolExecutor,
) -> None:
    """A balancer sends a booking and a stream right after SIGTERM.

    Their deadlines lie behind the end of the stop.  The instance took both, and
    the process was gone before they ended: the booking without an answer, the
    stream in its midst.  Cause: the time left was not weighed.
    """
    instance = brief.instances[0]
    slow_books(brief, 6.0)
    # Keeps the stop at work until its end.
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
    slow_books(brief, 0)
    # What ends before the stop does, whatever happens, is still taken.
    assert book(instance.caller, 'in-time', deadline=1).status == 200
    listed = call(brief.callers[1], '/services/test-runs/entries')
    assert listed.fields() == {'in-time': 1}
    with pytest.raises(client.IncompleteRead):
        begun.result()
    assert instance.process.wait(ENDED) == 1


def test_what_the_limit_cuts_is_answered(
    brief: Site,
    pool: ThreadPoolExecutor,
) -> None:
    """A caller waits for the first byte of an answer when a stop ends.

    A booking and one with a key hang at their service, a stream's engine has
    not begun, a body is on its way.  Their connections ended without an
    answer, and none of the callers knew whether anything had run.  Cause: the
    limit left what was in hand to the closing of the server, which cancels it.
    """
    instance = brief.instances[0]
    slow_books(brief, 20.0)
    for name, address in brief.addresses.items():
        if name.startswith(('report', 'crew')):
            brief.set_faults(address, delay_head=20.0)
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
    with socket.create_connection((host, int(port)), timeout=ENDED) as raw:
        raw.sendall(head.encode())
        time.sleep(0.5)
        begin_stop(instance)
        unsent = raw.recv(65536)
    answers = [waiting.result() for waiting in sent]
    # What was sent on may have run; what had not come whole has not.
    assert [answer.status for answer in answers] == [502, 502, 502]
    assert {answer.refusal()['ran'] for answer in answers} == {'unknown'}
    assert unsent.startswith(b'HTTP/1.1 503')
    assert b'"ran":"no"' in unsent
    assert instance.process.wait(ENDED) == 1
    again = book(brief.callers[1], 'claimed', 'claimed')
    assert (again.status, again.refusal()['ran']) == (409, 'unknown')
