"""Why no configuration is confirmed: causes, lines and metrics."""

import logging
import types
from collections.abc import Callable

import attrs
import msgspec
import pytest
from hypothesis import given, strategies

from kelproad.cli import structured
from kelproad.coordination.drain import Drain
from kelproad.coordination.ingress.admission import unconfirmed
from kelproad.coordination.ingress.admission.entrance import (
    CallHandler,
    _Handling,
)
from kelproad.coordination.ingress.admission.stopping import plan_stop
from kelproad.coordination.ingress.admission.unconfirmed import (
    ConfirmationObserver,
    ConfirmationWatch,
)
from kelproad.coordination.ingress.settings import Bounds
from kelproad.coordination.ingress.tables.causes import (
    ConfirmationState,
    QueryProgress,
    UnconfirmedCause,
    judge_cause,
)
from kelproad.coordination.ingress.tables.confirming import Confirmation
from kelproad.coordination.ingress.tables.holder import ConfigurationHolder
from kelproad.coordination.ingress.tables.tablestates import (
    Provenance,
    StoreProblemKind,
)
from kelproad.state.budgets import HeldBytes
from kelproad.state.counters import ConfirmationMetrics, Counters
from kelproad.state.records import EVENT_FIELDS, current_request
from kelproad.state.refusals import Refusal, RefusalCode, Step
from kelproad.transport.deadlines import RunningClock

LONGEST_AGE = 2
REQUEST_ID = '7d1b2c6e-0f5a-4b7e-9a53-2f6d1c8e4a90'
#: Characters of a line that the users' record keeps.
KEPT = 200
SOUND = ConfirmationState(0.4, 0.4, LONGEST_AGE, version=7, live_peers=3)
OLD = attrs.evolve(SOUND, age=4.6, answer_age=4.6)
READER = attrs.evolve(OLD, provenance=Provenance.STORE)
RELAYED = attrs.evolve(OLD, provenance=Provenance.SAME_ZONE)
NEW = attrs.evolve(
    SOUND, age=float('inf'), answer_age=float('inf'), version=None
)
FRESH_ANSWERS = attrs.evolve(SOUND, age=float('inf'), answer_age=0.2)
UNREACHABLE = StoreProblemKind.UNREACHABLE


def fail(state: ConfirmationState, **progress: object) -> ConfirmationState:
    """Return a state in which a query of the store failed."""
    failed = QueryProgress(**{'failures': 3, 'problem': UNREACHABLE} | progress)
    return attrs.evolve(state, progress=failed)


@pytest.mark.parametrize(
    ('state', 'cause'),
    [
        (SOUND, None),
        (attrs.evolve(SOUND, failing_tasks=('F._follow',)), None),
        (NEW, UnconfirmedCause.STARTING),
        (
            attrs.evolve(NEW, progress=QueryProgress(unanswered_for=0.3)),
            UnconfirmedCause.STARTING,
        ),
        (
            attrs.evolve(NEW, progress=QueryProgress(is_arriving=True)),
            UnconfirmedCause.TABLE_ARRIVING,
        ),
        (fail(NEW), UnconfirmedCause.STORE_SILENT),
        (
            attrs.evolve(FRESH_ANSWERS, is_compared=False),
            UnconfirmedCause.NOT_COMPARED,
        ),
        (
            attrs.evolve(FRESH_ANSWERS, is_settled=False, is_restored=True),
            UnconfirmedCause.RESTORED,
        ),
        (
            attrs.evolve(SOUND, is_complete=False, is_restored=True),
            UnconfirmedCause.RESTORED,
        ),
        (
            attrs.evolve(SOUND, is_complete=False),
            UnconfirmedCause.STARTING,
        ),
        (
            attrs.evolve(fail(OLD), failing_tasks=('F._follow',)),
            UnconfirmedCause.FOLLOWER_FAILING,
        ),
        (attrs.evolve(fail(OLD), stood_still=4), UnconfirmedCause.STOOD_STILL),
        (
            attrs.evolve(OLD, stood_still=4, failing_tasks=('F._follow',)),
            UnconfirmedCause.STOOD_STILL,
        ),
        (attrs.evolve(fail(OLD), stood_still=1), UnconfirmedCause.STORE_SILENT),
        (fail(READER), UnconfirmedCause.STORE_SILENT),
        (
            fail(READER, answered_for=0.7, late_by=2),
            UnconfirmedCause.STORE_SLOW,
        ),
        (fail(READER, answered_for=0.7), UnconfirmedCause.STORE_SILENT),
        (
            fail(READER, answered_for=9, late_by=2),
            UnconfirmedCause.STORE_SILENT,
        ),
        (
            attrs.evolve(RELAYED, progress=QueryProgress(unanswered_for=0.4)),
            UnconfirmedCause.PEERS_OUTDATED,
        ),
        (
            attrs.evolve(READER, progress=QueryProgress(unanswered_for=4)),
            UnconfirmedCause.STORE_SILENT,
        ),
        (fail(READER, is_arriving=True), UnconfirmedCause.TABLE_ARRIVING),
        (
            fail(
                READER,
                failures=0,
                problem=StoreProblemKind.REFUSED,
                is_arriving=True,
            ),
            UnconfirmedCause.TABLE_ARRIVING,
        ),
        (
            fail(READER, problem=StoreProblemKind.TOO_MANY_CALLS),
            UnconfirmedCause.STORE_REFUSES,
        ),
        (
            fail(READER, problem=StoreProblemKind.REFUSED),
            UnconfirmedCause.STORE_REFUSES,
        ),
        (READER, UnconfirmedCause.STORE_SILENT),
        (RELAYED, UnconfirmedCause.PEERS_OUTDATED),
        (attrs.evolve(RELAYED, live_peers=0), UnconfirmedCause.PEERS_SILENT),
        (
            attrs.evolve(fail(RELAYED), live_peers=0),
            UnconfirmedCause.STORE_SILENT,
        ),
    ],
)
def test_causes_are_told_apart(
    state: ConfirmationState, cause: UnconfirmedCause | None
) -> None:
    """Guards against refusals that only tell that nothing is confirmed."""
    assert judge_cause(state) is cause


SECONDS = strategies.floats(min_value=0) | strategies.just(float('inf'))
STATES = strategies.builds(
    ConfirmationState,
    SECONDS,
    SECONDS,
    strategies.just(LONGEST_AGE),
    strategies.floats(0, 1e6),
    strategies.none() | strategies.integers(),
    strategies.booleans(),
    strategies.booleans(),
    strategies.booleans(),
    strategies.booleans(),
    strategies.sampled_from([(), ('F._follow',)]),
    strategies.none() | strategies.sampled_from(Provenance),
    strategies.integers(0, 9),
    strategies.integers(0, 9),
    strategies.builds(
        QueryProgress,
        strategies.integers(0, 9),
        strategies.none() | strategies.sampled_from(StoreProblemKind),
        SECONDS,
        strategies.booleans(),
        SECONDS,
        SECONDS,
    ),
)


@given(STATES)
def test_each_state_without_a_confirmation_has_a_cause(
    state: ConfirmationState,
) -> None:
    """Guards against lines without a cause, and causes without a reason."""
    has_reason = not (state.is_confirmed and state.is_complete)
    assert (judge_cause(state) is not None) is has_reason


# Lines


@attrs.define
class Watched:
    """A watch whose state and clock the test sets."""

    state: ConfirmationState = SOUND
    now: float = 100.0
    counters: Counters = attrs.field(factory=Counters)
    watch: ConfirmationWatch = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Watch the state."""
        self.watch = ConfirmationWatch(
            lambda: self.state, ConfirmationMetrics(self.counters.registry)
        )

    def look(self, state: ConfirmationState, after: float = 1) -> None:
        """Look after some seconds, in which the state has changed."""
        self.now += after
        self.state = state
        self.watch.look()


@pytest.fixture
def watched(monkeypatch: pytest.MonkeyPatch) -> Watched:
    """Return a watch of a sound state."""
    set_up = Watched()
    monkeypatch.setattr(unconfirmed, 'monotonic', lambda: set_up.now)
    return set_up


@pytest.fixture
def lines(caplog: pytest.LogCaptureFixture) -> Callable[[], list[tuple]]:
    """Return a function that lists events, each with its fields."""
    caplog.set_level(logging.INFO)
    return lambda: [
        (line.getMessage(), getattr(line, EVENT_FIELDS))
        for line in caplog.records
        if hasattr(line, EVENT_FIELDS)
    ]


def test_each_change_of_the_cause_is_a_line(
    watched: Watched, lines: Callable[[], list[tuple]]
) -> None:
    """Guards against a time without a confirmation that no line shows."""
    for state in (SOUND, RELAYED, RELAYED, fail(READER), fail(READER), SOUND):
        watched.look(state)
    watched.look(SOUND)
    told = [(event, fields['cause']) for event, fields in lines()]
    assert told == [
        ('configuration_unconfirmed', 'peers_outdated'),
        ('configuration_unconfirmed', 'store_silent'),
        ('configuration_confirmed', 'store_silent'),
    ]
    assert lines()[1][1]['failures'] == 3
    assert lines()[-1][1]['seconds'] == 4


def test_alternating_causes_make_few_lines(
    watched: Watched, lines: Callable[[], list[tuple]]
) -> None:
    """Guards against a log full of causes that alternate."""
    for _ in range(50):
        watched.look(RELAYED, after=0.01)
        watched.look(fail(READER), after=0.01)
    assert len(lines()) == 2


def test_an_age_about_its_bound_makes_few_lines(
    watched: Watched, lines: Callable[[], list[tuple]]
) -> None:
    """Guards against a log full of a store that is a little slow."""
    for _ in range(20):
        watched.look(fail(READER), after=0.5)
        watched.look(SOUND, after=0.5)
    assert len(lines()) == 1
    watched.look(SOUND)
    assert lines()[-1][1]['seconds'] == pytest.approx(19.5)


def test_refusals_are_counted_by_cause(
    watched: Watched, lines: Callable[[], list[tuple]]
) -> None:
    """Guards against refusals that no metric and no line counts."""
    watched.look(fail(READER))
    for _ in range(2):
        assert watched.watch.explain_refusal() == ('store_silent', 4.6)
    watched.look(SOUND)
    watched.look(SOUND)
    assert lines()[-1][1]['refusals'] == 2
    counted = watched.counters.registry.get(
        'kelproad_unconfirmed_refusals_total'
    )
    assert counted.get({'cause': 'store_silent'}) == 2
    age = watched.counters.registry.get('kelproad_configuration_age_seconds')
    assert age.get({}) == pytest.approx(SOUND.age)


def refuse(watched: Watched, code: RefusalCode, step: Step) -> None:
    """Refuse a call."""
    handler = CallHandler(
        types.SimpleNamespace(build_refusal=lambda *_: None),
        ConfigurationHolder(),
        watched.watch,
        None,
        None,
        watched.counters,
        Drain(int, lambda: plan_stop(8)),
        HeldBytes.from_memory(0),
    )
    handling = _Handling(None, REQUEST_ID, 0, HeldBytes.from_memory(0).begin())
    current_request.set(REQUEST_ID)
    handler._refuse(handling, Refusal(code, 'keys are not confirmed', step))


def test_a_refusal_tells_its_cause_before_it_is_cut(
    watched: Watched, caplog: pytest.LogCaptureFixture
) -> None:
    """Guards against lines of which a record keeps all but the cause."""
    caplog.set_level(logging.INFO)
    watched.look(fail(READER))
    refuse(watched, RefusalCode.NOT_READY, Step.CONFIGURE)
    formatter = structured._EventFormatter('edge-fortaleza-14')
    line = formatter.format(caplog.records[-1])
    for told in ('"cause":"store_silent"', '"age":4.6', '"version":null'):
        assert told in line[:KEPT]
    fields = msgspec.json.decode(line)
    assert fields['request'] == REQUEST_ID
    assert list(fields).index('request') < list(fields).index('message')


def test_other_refusals_have_no_cause(
    watched: Watched, lines: Callable[[], list[tuple]]
) -> None:
    """Guards against refusals that are blamed on the confirmation."""
    watched.look(fail(READER))
    refuse(watched, RefusalCode.NO_CAPACITY, Step.DISPATCH)
    assert 'cause' not in lines()[-1][1]


# What is observed


@attrs.define
class Observed:
    """An instance of which an observer reads the state."""

    now: float = 0
    age: float = 0.2
    clock: RunningClock = attrs.field(init=False)
    observer: ConfirmationObserver = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Observe it."""
        confirmation = Confirmation(lambda: self.age, 0.5, 5)
        confirmation.mark_compared()
        follower = types.SimpleNamespace(
            measure_age=lambda: self.age,
            provenance=Provenance.STORE,
            list_failing_tasks=list,
            query_progress=QueryProgress(),
        )
        self.clock = RunningClock(read_time=lambda: self.now)
        self.observer = ConfirmationObserver(
            types.SimpleNamespace(
                configuration=follower,
                confirmation=confirmation,
                describe_queries=QueryProgress,
            ),
            types.SimpleNamespace(version=1),
            types.SimpleNamespace(iterate_live=lambda _now: []),
            self.clock,
            lambda: Bounds(apply_configuration=LONGEST_AGE),
        )


def test_an_instance_that_stood_still_says_so() -> None:
    """Guards against a store that is blamed for a standstill of this one."""
    observed = Observed()
    observed.clock._read_at = observed.now
    assert judge_cause(observed.observer.observe()) is None
    observed.now += 7
    observed.clock.read()
    observed.age += 7
    cause = judge_cause(observed.observer.observe())
    assert cause is UnconfirmedCause.STOOD_STILL


def test_an_earlier_standstill_explains_nothing() -> None:
    """Guards against a standstill that explains all ages after it."""
    observed = Observed()
    observed.clock._read_at = observed.now
    observed.now += 7
    observed.clock.read()
    assert judge_cause(observed.observer.observe()) is None
    for _ in range(70):
        observed.now += 0.1
        observed.clock.read()
        observed.age += 0.1
        state = observed.observer.observe()
    assert judge_cause(state) is UnconfirmedCause.STORE_SILENT
