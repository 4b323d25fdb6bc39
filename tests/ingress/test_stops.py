"""Planned stops of an instance: timing faults that the soak has found."""

import asyncio
import signal
import time
import types
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor
from http import client

import pytest

from kelproad.coordination import drain as drain_module
from kelproad.coordination.drain import Drain, StopEndedError, StopTimes
from kelproad.coordination.ingress.admission.stopping import (
    StopGuard,
    plan_stop,
)
from kelproad.coordination.ingress.streams.delivery import StreamDelivery
from testbed.routed import RoutedInstance, RoutedSite, start_routed_site
from tests.ingress.callers import call, stream
from tests.ingress.test_hedging import build_call

#: Seconds from SIGTERM to the kill.
GRACE = 8.0
#: Seconds after SIGTERM; calls sent later may not be cut at the end.
MAY_CUT_WITHIN = 3.0
#: Seconds between two signals; the process exits 50 ms after its event loop.
SIGNAL_PERIOD = 0.02
#: Seconds of a shutdown step that hangs.
HANGING_STEP = 0.4
#: Streams that end 20 to 50 ms after 6.9 s and 7.1 s: before and while a stop
#: aborts the calls in flight.
JUST_IN_TIME = (
    '/long-reports/x?events=23&pace=0.3',
    '/long-reports/x?events=71&pace=0.1',
)
#: Status of a call that may have run.
FAILED = 502


@pytest.fixture
def site(tmp_path_factory: pytest.TempPathFactory) -> Iterator[RoutedSite]:
    """Run a site of one instance that the test stops."""
    with start_routed_site(tmp_path_factory.mktemp('site')) as running:
        yield running


@pytest.mark.parametrize('name', ['SIGTERM', 'SIGHUP'])
def test_a_stop_tolerates_further_signals(site: RoutedSite, name: str) -> None:
    """A stop that cut nothing looked like a crash, with exit code -15 or -1.

    The platform repeats SIGTERM, or an operator sends SIGHUP to all instances,
    while one is stopping.  Closing the event loop removes its signal handlers,
    so a signal in the 50 ms until the process exits killed it.
    """
    process = site.instances[0].process
    process.send_signal(signal.SIGTERM)
    limit = time.monotonic() + GRACE
    while process.running and time.monotonic() < limit:
        time.sleep(SIGNAL_PERIOD)
        process.send_signal(signal.Signals[name])
    assert process.wait(0) == 0


@pytest.mark.parametrize('path', JUST_IN_TIME)
def test_a_stream_that_ends_just_in_time_was_not_cut(
    site: RoutedSite,
    path: str,
) -> None:
    """Exit code 1 reported a cut, though every answer was complete.

    A stream that was in flight when the stop aborted unfinished calls was
    counted as cut, but it ended in the 0.1 s in which its server was closing.
    """
    instance = site.instances[0]
    instance.process.send_signal(signal.SIGTERM)
    answer = stream(
        instance,
        path,
        X_Kelproad_Deadline_Ms='10000',
    )
    assert instance.process.wait(GRACE) == int(answer.broken)


async def test_a_stream_whose_end_is_being_written_was_not_cut() -> None:
    """Guards against an exit code that reports a cut which no caller has seen.

    Its last event and its end are on their way when the stop ends.
    """
    drain = Drain(lambda: 1, lambda: StopTimes(grace=0, limit=1))
    transport = types.SimpleNamespace(set_write_buffer_limits=lambda **_: None)
    written = asyncio.Event()
    delivery = StreamDelivery(
        types.SimpleNamespace(transport=transport), build_call()
    )
    delivery._response = types.SimpleNamespace(write_eof=written.wait)

    async def finish() -> object:
        async with drain.until_end() as complete:
            delivery.on_complete = complete
            return await delivery.finish(None)

    finishing = asyncio.create_task(finish())
    await asyncio.sleep(0)
    assert not drain.interrupt_calls()
    written.set()
    assert await finishing is delivery._response
    with pytest.raises(StopEndedError):
        delivery.on_complete()


async def test_the_grace_ends_by_the_clock() -> None:
    """A stream is accepted late in a stop, and cut at its end.

    The event loop was busy when the stop's grace passed, so the stop was still
    in its first phase when the call was read.
    """
    drain = Drain(lambda: 1, lambda: StopTimes(grace=0.1, limit=1))
    drain.start()
    finishing = asyncio.create_task(drain.finish())
    await asyncio.sleep(0)
    time.sleep(0.2)
    assert drain.has_grace_ended
    finishing.cancel()


@pytest.mark.parametrize(
    ('took', 'may_begin'), [(0, True), (0.5, True), (0.8, False)]
)
def test_a_call_that_waited_is_not_sent_where_answers_take_longer(
    took: float, may_begin: bool
) -> None:
    """Guards against calls that wait until they can only be cut."""
    drain = Drain(lambda: 1, lambda: StopTimes(grace=0, limit=1))
    guard = StopGuard(drain)
    call_that_waits = build_call()
    if took:
        guard.observe_answer(call_that_waits.route, took)
    assert guard.may_begin_answer(call_that_waits)
    drain.start()
    assert guard.may_begin_answer(call_that_waits) is may_begin


def test_the_grace_ends_before_cuts_are_forbidden() -> None:
    """A stream sent 3.0 s after SIGTERM is accepted by an estimate, and cut.

    Calls sent later than 3 s after SIGTERM may not be cut, and the instance
    counts from when it handles the signal, which is later than its sending.
    """
    assert plan_stop(GRACE).grace < MAY_CUT_WITHIN


@pytest.mark.parametrize('kill_after', [2, 4, 8, 30])
def test_a_planned_stop_adds_up_to_the_kill(kill_after: float) -> None:
    """Guards against phases of a stop that last beyond the kill."""
    times = plan_stop(kill_after)
    planned = times.grace + times.limit + times.closing
    assert planned == pytest.approx(kill_after)


def test_hanging_steps_leave_time_to_close(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a kill while the stop waits for releases that hang."""
    now = [1000]
    monkeypatch.setattr(drain_module, 'monotonic', lambda: now[0])
    times = StopTimes(grace=0, limit=0, closing=1)
    drain = Drain(lambda: 1, lambda: times)
    drain.start()
    for _ in range(4):
        now[0] += drain.bound_shutdown_step(HANGING_STEP)
    assert 0 < drain.seconds_until_kill() < HANGING_STEP
    assert drain.bound_shutdown_step(HANGING_STEP) < drain.seconds_until_kill()


async def test_a_stop_that_has_ended_leaves_no_time() -> None:
    """A call on a kept-alive connection gets no answer during a stop.

    The instance had no calls in flight 5.3 s after SIGTERM and ended its stop
    early.  A call that arrived while it was closing was accepted, as 1.5 s
    seemed to be left, and was cut 0.2 s later.
    """
    drain = Drain(int, lambda: StopTimes(grace=0, limit=GRACE))
    drain.start()
    assert not await drain.finish()
    assert drain.seconds_until_end() <= 0


def test_a_late_call_is_answered_when_its_endpoint_is_silent(
    site: RoutedSite,
) -> None:
    """A booking that arrived 4.5 s after SIGTERM ends without any answer.

    It would have ended in time, but its endpoint did not respond.  On exit the
    instance closed the connection without a response, where it could have
    reported that the booking may have run.
    """
    for name in ('book-1', 'book-2'):
        site.set_endpoint_faults(name, hang=True)
    instance = site.instances[0]
    instance.process.send_signal(signal.SIGTERM)
    with ThreadPoolExecutor() as callers:
        time.sleep(2.5)
        holding = callers.submit(book, instance)
        time.sleep(2)
        late = callers.submit(book, instance)
    assert late.result() == FAILED, holding.result()


def book(instance: RoutedInstance) -> int:
    """Make a booking; return its status, 0 without an answer."""
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
