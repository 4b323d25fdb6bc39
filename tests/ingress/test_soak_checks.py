"""Violations that the soak of the routed interface reports."""

import types

import attrs
import pytest

from testbed.pauses import Silence
from testbed.soak.routed_callers import CallRecord
from testbed.soak.routed_checks import check_calls
from testbed.soak.routed_faults import Span
from testbed.soak.routed_limits import StatedLimit, check_limits
from testbed.soak.routed_pauses import Pause, check_pauses
from testbed.soak.routed_stops import PlannedStop

#: Time of SIGTERM.
SIGNALLED = 10.0
STOP = PlannedStop('edge-1', SIGNALLED, SIGNALLED + 7.3, SIGNALLED + 8, code=0)
#: When the call of an incident arrived and was cut, in seconds after SIGTERM.
ARRIVED = 4.093
CUT = 7.154


@attrs.define
class Site:
    """Engines of which at most one, ``ran_at``, ran the call."""

    ran_at: str
    endpoints: tuple[str, ...] = ('engine-1', 'engine-2')

    def show_endpoint(self, name: str) -> dict[str, object]:
        """Return the runs of an endpoint."""
        ran = [{'X-Kelproad-Request-Id': 'a'}]
        return {'runs': ran if name == self.ran_at else []}


@attrs.define
class Faults:
    """Failures that were injected during the call."""

    spans: list[Span] = attrs.field(factory=list)
    stops: list[PlannedStop] = attrs.field(factory=lambda: [STOP])
    issued_at: dict[str, float] = attrs.field(factory=dict)
    revoked_at: dict[str, float] = attrs.field(factory=dict)
    lost_runs: dict[str, list[dict[str, str]]] = attrs.field(
        factory=dict,
    )


def check(
    arrived: float = ARRIVED,
    cut: float = CUT,
    ran_at: str = 'engine-1',
    status: int = 200,
    deadline: float = 10,
    whole: bool = False,
    **meanwhile: object,
) -> list[str]:
    """Check a call, truncated unless ``whole``; times are since SIGTERM."""
    outcome = CallRecord(
        'a',
        'reports',
        'key',
        'edge-1',
        SIGNALLED + arrived,
        deadline,
        events=90,
        ended_at=SIGNALLED + cut,
        status=status,
        stamp='stamp.engine-1.a',
        whole=whole,
    )
    return check_calls(Site(ran_at), [outcome], Faults(**meanwhile))


def find_one(**call: object) -> str:
    """Check a call with exactly one violation and return its text."""
    found = check(**call)
    assert len(found) == 1
    return found[0]


def fail(name: str, subject: str, began: float, ended: float) -> list[Span]:
    """Build the span of one failure, in seconds after SIGTERM."""
    return [Span(name, subject, SIGNALLED + began, SIGNALLED + ended)]


def test_a_stream_accepted_late_and_cut_is_found() -> None:
    """A stream is truncated although nothing failed.

    Its instance accepted the stream 4.1 s after SIGTERM and cut it 3 s later at
    its exit.  The status was 200, and the soak checked only calls without any
    status, so it missed the cut.
    """
    found = find_one()
    assert 'came 4.09 s and was cut 7.15 s after SIGTERM' in found


def test_a_call_accepted_late_and_never_answered_is_found() -> None:
    """It ran, and the connection ended before the first event."""
    found = find_one(status=0, cut=ARRIVED + 0.1)
    assert 'after SIGTERM' in found


def test_a_stream_that_arrived_in_time_may_be_cut_in_the_last_sixth() -> None:
    """It arrived before balancers noticed the stop, and the end is near."""
    assert not check(arrived=2.9)


def test_a_stream_that_arrived_in_time_is_not_cut_earlier() -> None:
    """The instance cuts it with over a sixth of the time to the kill left."""
    found = find_one(arrived=2.9, cut=6.6)
    assert 'cut 6.60 s after SIGTERM' in found


@pytest.mark.parametrize(
    ('arrived', 'cut', 'ran_at'),
    [(-0.5, 7.1, ''), (-0.5, 7.1, 'engine-1'), (-0.5, 6.6, ''), (3.1, 7.1, '')],
)
def test_a_call_without_any_answer_is_found(
    arrived: float,
    cut: float,
    ran_at: str,
) -> None:
    """A stream gets no answer within 7 s, and then its connection ends.

    It was lost on the link to its engine, and its instance received SIGTERM
    meanwhile.  A stop must answer calls whose answer has not begun.
    """
    assert check(arrived=arrived, cut=cut, status=0, ran_at=ran_at)


def test_a_stream_truncated_without_a_failure_is_found() -> None:
    """Neither a stop nor another failure was injected."""
    found = find_one(stops=[])
    assert 'though nothing failed' in found


@pytest.mark.parametrize(
    ('name', 'subject'),
    [
        ('endpoint fails', "engine-1: {'break_after': 2}"),
        ('link harmed', 'engine-1: reset'),
        ('endpoint killed', 'engine-2'),
        ('instance killed', 'edge-1'),
        ('instance frozen', 'edge-1'),
    ],
)
def test_a_failure_on_the_path_of_a_call_explains_its_cut(
    name: str,
    subject: str,
) -> None:
    """A killed endpoint may have run the call and lost the record of it."""
    assert not check(spans=fail(name, subject, ARRIVED + 1, CUT), stops=[])


def test_a_stamp_identifies_the_endpoint_that_lost_a_run() -> None:
    """A stream cut by a reset of its engine's link was reported as unexplained.

    The engine was killed some seconds later and lost its record of runs; only
    the stamp of the answer still relates the stream to that engine and link.
    """
    spans = fail('link harmed', 'engine-1: reset', ARRIVED + 1, CUT)
    assert not check(ran_at='', stops=[], spans=spans)


def test_runs_of_killed_endpoints_count() -> None:
    """A call without an answer ran at an engine that was killed later."""
    forgotten = {'engine-2': [{'X-Kelproad-Request-Id': 'a'}]}
    found = find_one(ran_at='', status=0, lost_runs=forgotten)
    assert 'after SIGTERM' in found


@pytest.mark.parametrize(
    ('name', 'subject'),
    [
        ('endpoint fails', "engine-2: {'break_after': 2}"),
        ('link harmed', 'engine-2: reset'),
        ('link harmed', 'engine-1: none'),
        ('store fails', "{'status': 503}"),
        ('instance killed', 'edge-2'),
        ('instance reloaded', 'edge-1'),
        ('instance stopped', 'edge-1, exit code -15'),
    ],
)
def test_failures_elsewhere_explain_nothing(
    name: str,
    subject: str,
) -> None:
    """The endpoint, link and instance of the call did not fail."""
    assert check(spans=fail(name, subject, ARRIVED + 1, CUT))


def test_a_failure_that_was_over_explains_nothing() -> None:
    """Its engine had recovered before the call was sent."""
    spans = fail('endpoint fails', "engine-1: {'hang': True}", 0, ARRIVED - 0.1)
    assert check(spans=spans)


def test_the_deadline_of_a_call_explains_its_end() -> None:
    """Its caller had stopped waiting for it."""
    assert not check(deadline=CUT - ARRIVED)


def test_a_kill_during_a_stop_explains_only_calls_around_it() -> None:
    """The platform kills the instance before the time of its stop is over."""
    killed = attrs.evolve(STOP, code=-9, killed_at=STOP.ended_at)
    assert not check(stops=[killed])
    assert check(stops=[killed], cut=ARRIVED + 1)


@pytest.mark.parametrize(
    ('code', 'overdue', 'problem'),
    [
        (-15, False, 'exit code -15'),
        (-9, True, 'alive 8.0 s after SIGTERM'),
        (1, False, 'exit code 1'),
    ],
)
def test_an_improper_exit_of_a_process_is_found(
    code: int,
    overdue: bool,
    problem: str,
) -> None:
    """It dies of a second signal, is overdue, or reports a cut not observed."""
    stop = attrs.evolve(STOP, code=code, overdue=overdue)
    found = find_one(arrived=-3, cut=-1, deadline=2, stops=[stop])
    assert found.startswith(f'edge-1: {problem};')


def test_a_call_cut_at_the_end_explains_exit_code_one() -> None:
    """The call arrived in time, and the process reports the cut."""
    assert not check(arrived=2.9, stops=[attrs.evolve(STOP, code=1)])


def test_a_call_failed_at_the_end_explains_exit_code_one() -> None:
    """Its endpoint was silent, and its caller got a 502 at the end of the stop.

    A call that was refused on arrival was never in flight, so it explains none.
    """
    stops = [attrs.evolve(STOP, code=1)]
    assert not check(arrived=2.5, status=502, whole=True, stops=stops)
    assert check(
        arrived=CUT - 0.1, status=503, whole=True, ran_at='', stops=stops
    )
    assert check(arrived=2.5, cut=5, status=502, whole=True, stops=stops)


def repeat(at: float) -> list[float]:
    """Return many arrivals at one time."""
    return [at for _ in range(50)]


def check_arrivals(arrivals: list[float], *spans: Span) -> list[str]:
    """Check arrivals from edge-1, in seconds after a limit of 1 a second."""
    requests = [
        CallRecord(f'{number}', 'reports', 'key', 'edge-1', at)
        for number, at in enumerate(arrivals)
    ]

    site = types.SimpleNamespace(
        show_endpoint=lambda _name: {
            'arrivals': [
                {'at': item.sent_at, 'request': item.request_id}
                for item in requests
            ],
        },
    )
    limit = StatedLimit('engine-1', 1, began=0, ended=20)
    faults = Faults(spans=list(spans), stops=[])
    return check_limits(site, requests, faults, [limit])


def test_an_exceeded_limit_is_reported() -> None:
    """One and a half times the limit and 5 more are allowed in 4 s."""
    evenly = [4 + number * 0.37 for number in range(30)]
    assert not check_arrivals(evenly)
    assert check_arrivals([*evenly, evenly[-1]])


def test_a_limit_binds_after_some_seconds() -> None:
    """What arrives before that, or after its end, is not counted."""
    assert not check_arrivals(repeat(2.9))
    assert not check_arrivals(repeat(20.1))
    assert check_arrivals(repeat(3.1))


def test_a_limit_ends_with_its_endpoint() -> None:
    """A killed endpoint states none when it is back."""
    killed = Span('endpoint killed', 'engine-1', 5, 8)
    assert not check_arrivals(repeat(8), killed)
    assert check_arrivals(repeat(4), killed)
    assert check_arrivals(repeat(8), Span('endpoint killed', 'engine-2', 5, 8))


def test_a_killed_instance_excuses_its_requests() -> None:
    """It knows nothing of limits when it is back."""
    killed = Span('instance killed', 'edge-1', 5, 6)
    assert not check_arrivals(repeat(8), killed)
    assert check_arrivals(repeat(9.1), killed)
    assert check_arrivals(repeat(8), Span('instance killed', 'edge-2', 5, 6))


def check_lost(
    *spans: Span,
    pauses: tuple[Pause, ...] = (),
    stops: tuple[PlannedStop, ...] = (),
    ran_at: str = 'engine-1',
    **outcome: object,
) -> list[str]:
    """Check a stream of 10 events, lost at 3 s of 10 s after event 2."""
    fields = {
        'events': 10,
        'status': 200,
        'stamp': 'stamp.engine-1.a',
        'body': (
            'id: 1\ndata: piece 1 of engine-1/1/0\n\n'
            'id: 2\ndata: piece 2 of engine-1/1/0\n\n'
        ),
        'heard_at': 1.0,
        'ended_at': 3.0,
        'deadline': 10,
        **outcome,
    }
    record = CallRecord('a', 'reports', 'key', 'edge-1', 0, **fields)
    faults = Faults(spans=list(spans), stops=list(stops))
    return check_pauses(Site(ran_at), [record], faults, list(pauses))


def pause(
    seconds: float, began: float = 1, positions: tuple[int, ...] = ()
) -> Pause:
    """Build a pause of the engine that serves the stream, of 2 s at least."""
    silence = Silence(seconds, positions)
    names = frozenset(('engine-1',))
    return Pause(names, silence, began, began + max(2, seconds))


def test_a_stream_lost_in_a_pause_is_found() -> None:
    """A spent retry budget, or a suspended instance, excused the loss."""
    assert check_lost()
    assert check_lost(pauses=(pause(4),))
    assert check_lost(pauses=(pause(1.6, positions=(3, 6)),))
    assert check_lost(Span('instance frozen', 'edge-1', 1, 3))
    assert not check_lost(whole=True)


def test_an_error_after_an_endpoint_had_begun_is_found() -> None:
    """An instance gives up an endpoint that would have answered in time."""
    error = {'status': 502, 'whole': True, 'stamp': '', 'body': ''}
    assert check_lost(**error)
    assert not check_lost(ran_at='', **error)
    assert not check_lost(**{**error, 'stamp': 'stamp.engine-1.a'})


@pytest.mark.parametrize(
    ('name', 'subject'),
    [
        ('endpoint killed', 'engine-1'),
        ('endpoint fails', "engine-1: {'break_after': 2}"),
        ('link harmed', 'engine-1: reset'),
        ('instance killed', 'edge-1'),
        ('instance cut', 'edge-1'),
    ],
)
def test_the_end_of_what_served_a_stream_explains_its_loss(
    name: str, subject: str
) -> None:
    """The same at another engine or instance explains nothing."""
    assert not check_lost(Span(name, subject, 2, 4))
    assert check_lost(Span(name, subject, 3.1, 4))
    elsewhere = subject.replace('-1', '-2', 1)
    assert check_lost(Span(name, elsewhere, 2, 4), ran_at='engine-2')


def test_a_stop_explains_a_loss_only_at_its_instance() -> None:
    """It may abort what comes to no end in its time."""
    stop = attrs.evolve(STOP, terminated_at=1, ended_at=3, ready_again_at=4)
    assert not check_lost(stops=(stop,))
    assert check_lost(stops=(attrs.evolve(stop, instance='edge-2'),))


def test_a_stream_that_no_engine_could_end_in_time_is_not_lost() -> None:
    """The engine that serves it is silent, or slow, until its deadline."""
    assert not check_lost(pauses=(pause(8.5),))
    assert not check_lost(pauses=(pause(3.8, positions=(3, -1, 6)),))
    assert check_lost(pauses=(pause(3.8, positions=(1, 2, 3)),))
    assert not check_lost(events=130)
    slow = Span('endpoint fails', "engine-1: {'pace': 0.4}", 2, 4)
    assert not check_lost(slow, events=16)
    assert check_lost(events=16)
    assert not check_lost(ended_at=9.2)
