"""Planned stops of an instance, at moments that the soak has found."""

import asyncio
import signal
import time
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor
from http import client

import pytest

from kelproad.coordination import drain as drains
from kelproad.coordination.drain import Drain, StopTimes
from kelproad.coordination.ingress.stopping import plan_stop
from testbed.routed import RoutedInstance, RoutedSite, start_routed_site
from tests.ingress.callers import call, stream

GRACE = 8.0
#: Seconds after SIGTERM up to which what callers send may be cut at the end.
NOTICED_WITHIN = 3.0
#: Seconds between two signals; a process has 50 ms from the end of its loop.
INSISTING_PERIOD = 0.02
#: Seconds of one step of a closing that waits in vain.
HANGING = 0.4
#: Streams that end 6.9 s and 7.1 s after they begin, and 20 to 50 ms: before
#: and when a stop gives up what is in hand.
JUST_IN_TIME = (
    '/long-reports/x?events=23&pace=0.3',
    '/long-reports/x?events=71&pace=0.1',
)
#: Status of a call that may have run.
FAILED = 502


@pytest.fixture
def site(tmp_path_factory: pytest.TempPathFactory) -> Iterator[RoutedSite]:
    """Run a site of one instance that is to be stopped."""
    with start_routed_site(tmp_path_factory.mktemp('site')) as running:
        yield running


@pytest.mark.parametrize('name', ['SIGTERM', 'SIGHUP'])
def test_a_stop_bears_further_signals(site: RoutedSite, name: str) -> None:
    """A stop that cut nothing is reported as a crash, exit code -15 or -1.

    A platform repeats SIGTERM, or an operator reloads all instances, while one
    is stopping.  When its event loop is closed its signal handlers are gone,
    so what comes in the 50 ms until the process ends kills it.
    """
    process = site.instances[0].process
    process.send_signal(signal.SIGTERM)
    limit = time.monotonic() + GRACE
    while process.running and time.monotonic() < limit:
        time.sleep(INSISTING_PERIOD)
        process.send_signal(signal.Signals[name])
    assert process.wait(0) == 0


@pytest.mark.parametrize('path', JUST_IN_TIME)
def test_a_stream_that_ends_just_in_time_was_not_cut(
    site: RoutedSite,
    path: str,
) -> None:
    """Exit code 1 tells operators of a cut, and every caller had its answer.

    A stream was in hand when the stop gave up what was unfinished; that was
    counted, and the stream ended in the 0.1 s in which its server was closing.
    """
    instance = site.instances[0]
    instance.process.send_signal(signal.SIGTERM)
    answer = stream(
        instance,
        path,
        X_Kelproad_Deadline_Ms='10000',
    )
    assert instance.process.wait(GRACE) == int(answer.broken)


async def test_a_stream_is_late_by_the_clock() -> None:
    """A stream is taken late in a stop, and cut at its end.

    The event loop was busy when the stop's grace passed, so the stop still
    seemed to be in its first phase when the call was read.
    """
    drain = Drain(lambda: 1, lambda: StopTimes(grace=0.1, limit=1))
    drain.start()
    finishing = asyncio.create_task(drain.finish())
    await asyncio.sleep(0)
    time.sleep(0.2)
    assert drain.has_grace_ended
    finishing.cancel()


def test_a_stream_is_late_before_a_cut_counts() -> None:
    """A stream sent 3.0 s after SIGTERM is taken by a guess, and cut.

    What is sent later than 3 s after SIGTERM may not be cut, and the instance
    counts from when it hears of the stop.
    """
    assert plan_stop(GRACE).grace < NOTICED_WITHIN


@pytest.mark.parametrize('kill_after', [2, 4, 8, 30])
def test_a_planned_stop_adds_up_to_the_kill(kill_after: float) -> None:
    """Guards against phases of a stop that reach beyond the kill."""
    times = plan_stop(kill_after)
    planned = times.grace + times.limit + times.closing
    assert planned == pytest.approx(kill_after)


def test_closing_keeps_its_time_before_the_kill(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a kill while releases that hang are waited for."""
    now = [1000]
    monkeypatch.setattr(drains, 'monotonic', lambda: now[0])
    times = StopTimes(grace=0, limit=0, closing=1)
    drain = Drain(lambda: 1, lambda: times)
    drain.start()
    for _ in range(4):
        now[0] += drain.bound_shutdown_step(HANGING)
    assert 0 < drain.seconds_until_kill() < HANGING
    assert drain.bound_shutdown_step(HANGING) < drain.seconds_until_kill()


async def test_a_stop_that_has_ended_leaves_no_time() -> None:
    """A call on a kept connection gets no answer at a stop.

    The instance had nothing in hand 5.3 s after SIGTERM and ended its stop
    before its time was over.  The call came then, while it was closing, was
    taken as there seemed to be 1.5 s left, and was cut 0.2 s later.
    """
    drain = Drain(int, lambda: StopTimes(grace=0, limit=GRACE))
    drain.start()
    assert not await drain.finish()
    assert drain.seconds_until_end() <= 0


def test_a_late_call_is_answered_when_its_endpoint_is_silent(
    site: RoutedSite,
) -> None:
    """A booking that came 4.5 s after SIGTERM ends without any answer.

    It would have been done in time, but its endpoint got silent.  At its own
    end the instance closed the connection, though nothing was sent on it yet:
    the caller could have been told that the booking may have run.
    """
    for name in ('book-1', 'book-2'):
        site.break_endpoint(name, hang=True)
    instance = site.instances[0]
    instance.process.send_signal(signal.SIGTERM)
    with ThreadPoolExecutor() as callers:
        time.sleep(2.5)
        holding = callers.submit(book, instance)
        time.sleep(2)
        late = callers.submit(book, instance)
    assert late.result() == FAILED, holding.result()


def book(instance: RoutedInstance) -> int:
    """Make a booking; return its status, 0 when there was no answer."""
    try:
        answer = call(
            instance,
            '/brisk-bookings/x',
            'POST',
            X_Kelproad_Deadline_Ms='10000',
        )
    except client.RemoteDisconnected:
        return 0
    return answer.status
