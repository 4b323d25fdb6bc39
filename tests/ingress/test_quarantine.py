"""Which parts of prompts are suspect, cleared or quarantined, decided alone."""

import pytest

from kelproad.state.quarantine import PartQuarantine
from kelproad.state.suspicions import EndedCall, PartState

SERVICE = 'writer'
WORKSPACE = 'crews'
ENGINES = 24


class Evidence:
    """A quarantine, and a clock that advances with each event."""

    def __init__(self) -> None:
        """Start without evidence, long after the start of the clock."""
        self.now = 1000.0
        self.parts = PartQuarantine(lambda _service: ENGINES)
        self._engines = 0

    def end(
        self,
        *calls: tuple[str, ...],
        engine: str = '',
        workspace: str = WORKSPACE,
        confirmed: bool = True,
        sent_at: float | None = None,
    ) -> list[str]:
        """End an engine under calls with some parts; return the quarantined."""
        self._engines += 1
        self.now += 1
        quarantined: list[str] = []
        for parts in calls:
            ended = EndedCall(
                SERVICE,
                engine or f'engine-{self._engines}',
                self.parts.select_unproven(SERVICE, parts, self.now),
                frozenset((workspace,)),
                self.now - 1 / 2 if sent_at is None else sent_at,
                self.now,
                confirmed,
            )
            quarantined += self.parts.record_end(ended, self.now)
        return quarantined

    def answer(self, *parts: str) -> None:
        """Answer a call with some parts."""
        self.now += 1
        self.parts.record_harmless(SERVICE, parts, self.now)

    def judge(self, *parts: str, workspace: str = WORKSPACE) -> PartState:
        """Judge a call with some parts."""
        return self.parts.judge(SERVICE, parts, workspace, self.now).state


@pytest.fixture
def evidence() -> Evidence:
    """Create a quarantine without evidence."""
    return Evidence()


def test_calls_to_an_engine_that_has_ended_accuse_nothing(
    evidence: Evidence,
) -> None:
    """Guards against sound parts in quarantine while engines are down."""
    for number in range(3):
        evidence.end(('poison',), engine=f'engine-{number}')
        evidence.end(('sound',), engine=f'engine-{number}')
    assert evidence.judge('poison') is PartState.QUARANTINED
    assert evidence.judge('sound') is PartState.HARMLESS


def test_calls_that_an_engine_ended_under_all_accuse(
    evidence: Evidence,
) -> None:
    """Guards against a crash that only the first of its calls accuses."""
    for number in range(3):
        evidence.end(('other', f'seen-{number}'), ('poison',))
    assert len(evidence.parts.get(SERVICE, 'poison').ends) == 3
    assert len(evidence.parts.get(SERVICE, 'other').ends) == 3


def test_three_ends_in_a_row_quarantine_a_part(evidence: Evidence) -> None:
    """Engine after engine ended under one part."""
    assert not evidence.end(('poison', 'seen-1'))
    assert evidence.judge('poison') is PartState.SUSPECT
    assert not evidence.end(('poison', 'seen-2'))
    assert evidence.end(('poison', 'seen-3')) == ['poison']
    assert evidence.judge('seen-4', 'poison') is PartState.QUARANTINED
    assert evidence.judge('seen-4') is PartState.HARMLESS


def test_one_end_counts_once_for_all_calls_and_reports(
    evidence: Evidence,
) -> None:
    """All streams of an engine end with it, and all instances say so."""
    for _ in range(8):
        evidence.end(('shared', 'a'), ('shared', 'b'), engine='engine-x')
    assert evidence.judge('shared') is PartState.SUSPECT
    assert evidence.parts.get(SERVICE, 'shared').trials == 1


def test_ends_at_the_same_time_count_once(evidence: Evidence) -> None:
    """A whole domain of engines ends under a part that is on each of them."""
    sent_at = evidence.now
    for _ in range(8):
        evidence.end(('shared',), sent_at=sent_at)
    assert evidence.judge('shared') is PartState.SUSPECT


def test_parts_answered_lately_are_not_accused(evidence: Evidence) -> None:
    """Engines that end by themselves bring parts of most requests to ruin."""
    for _ in range(8):
        evidence.answer('shared')
        evidence.end(('shared',))
        assert evidence.judge('shared') is PartState.HARMLESS


def test_an_answer_clears_a_quarantined_part(evidence: Evidence) -> None:
    """A part that was quarantined wrongly is refused for good."""
    for _ in range(3):
        evidence.end(('shared',))
    assert evidence.judge('shared') is PartState.QUARANTINED
    evidence.answer('shared')
    assert evidence.judge('shared') is PartState.HARMLESS


@pytest.mark.parametrize('calls', [1, 2], ids=['one-call', 'two-calls'])
def test_a_companion_is_tried_without_the_part_that_crashes(
    evidence: Evidence, calls: int
) -> None:
    """Sound requests are refused for a part that they share with others."""
    crashing = ('poison', 'shared')
    for _ in range(3):
        if calls == 1:
            evidence.end(crashing)
        else:
            evidence.end(('poison',), ('shared',))
    assert evidence.judge(*crashing) is PartState.QUARANTINED
    assert evidence.judge('shared') is PartState.SUSPECT
    evidence.answer('shared')
    assert evidence.judge('shared') is PartState.HARMLESS
    assert evidence.judge('poison') is PartState.QUARANTINED


def test_a_part_beside_two_that_crash_is_tried_first(
    evidence: Evidence,
) -> None:
    """A part that meets several others in quarantine seems to be the cause."""
    for poison in ('poison-1', 'poison-2'):
        for _ in range(3):
            evidence.end((poison, 'shared'))
    assert evidence.judge('shared') is PartState.SUSPECT
    evidence.end(('shared',))
    assert evidence.judge('shared') is PartState.QUARANTINED


def test_one_workspace_gets_no_part_refused_for_others(
    evidence: Evidence,
) -> None:
    """A workspace crashes engines under a part that others use as well."""
    for _ in range(3):
        evidence.end(('shared',), workspace='attacker')
    assert evidence.judge('shared', workspace='attacker') is (
        PartState.QUARANTINED
    )
    assert evidence.judge('shared') is PartState.SUSPECT
    evidence.end(('shared',))
    assert evidence.judge('shared') is PartState.QUARANTINED


def test_more_ends_are_needed_while_engines_end_without_the_part(
    evidence: Evidence,
) -> None:
    """Engines that all end at once leave no trial of a sound part whole."""
    for _ in range(3):
        for _ in range(12):
            evidence.now -= 1
            evidence.end(('other',), confirmed=False)
        quarantined = evidence.end(('rare',))
    assert not quarantined
    assert evidence.judge('rare') is PartState.SUSPECT


def test_what_is_not_confirmed_lapses(evidence: Evidence) -> None:
    """A connection that was lost keeps a part suspect."""
    evidence.end(('rare',), confirmed=False)
    assert evidence.judge('rare') is PartState.SUSPECT
    evidence.now += 3
    assert evidence.judge('rare') is PartState.HARMLESS


def test_an_engine_that_is_alive_accuses_nothing(evidence: Evidence) -> None:
    """An engine breaks off one answer, and its parts stay suspect."""
    evidence.end(('rare',), engine='engine-x', confirmed=False)
    evidence.parts.withdraw(SERVICE, 'engine-x')
    assert evidence.judge('rare') is PartState.HARMLESS


def test_a_quarantined_part_is_tried_three_times_at_most(
    evidence: Evidence,
) -> None:
    """A refusal never ends, or more engines end for it every minute."""
    for _ in range(3):
        evidence.end(('poison',))
    trials = 0
    for _ in range(10_000):
        evidence.now += 10
        if evidence.judge('poison') is PartState.SUSPECT:
            trials += 1
            evidence.end(('poison',))
    assert trials == 3


def test_memory_is_bounded(evidence: Evidence) -> None:
    """A caller sends new parts with each request, and engines end."""
    for _ in range(3):
        evidence.end(('poison',))
    for number in range(3000):
        evidence.end((f'new-{number}',), engine='engine-x')
        evidence.answer(*(f'harmless-{number}-{item}' for item in range(5)))
    assert len(evidence.parts.list_suspicions()) <= 1024
    assert len(evidence.parts._harmless) <= 4096
    assert evidence.parts.get(SERVICE, 'poison').quarantined_after


def test_an_end_confirmed_for_more_parts_than_are_remembered(
    evidence: Evidence,
) -> None:
    """Guards against an end that is lost as memory runs out under it."""
    sent_at = evidence.now
    for number in range(1024):
        evidence.end(
            (f'seen-{number}',),
            engine='engine-x',
            confirmed=False,
            sent_at=sent_at,
        )
    evidence.now = sent_at
    evidence.end(('poison',), engine='engine-x', sent_at=sent_at)
    assert evidence.parts.get(SERVICE, 'poison').trials == 1


def test_an_end_that_is_told_late_counts_in_its_turn(
    evidence: Evidence,
) -> None:
    """No engine was left to confirm it when it happened."""
    sent_at = evidence.now
    evidence.end(('poison',), engine='engine-x', confirmed=False)
    evidence.now += 1
    evidence.end(('poison',))
    evidence.now = sent_at
    evidence.end(('poison',), engine='engine-x', sent_at=sent_at)
    assert evidence.parts.get(SERVICE, 'poison').trials == 2
    # Another one that was under way with it does not.
    evidence.now = sent_at
    evidence.end(('poison',), engine='engine-y', sent_at=sent_at)
    assert evidence.parts.get(SERVICE, 'poison').trials == 2


def test_an_end_found_under_one_part_counts_for_others(
    evidence: Evidence,
) -> None:
    """Guards against more ends, as an instance stopped before its check."""
    for number in range(3):
        sent_at = evidence.now
        engine = f'engine-x-{number}'
        evidence.end(('poison',), engine=engine, confirmed=False)
        evidence.end((f'seen-{number}',), engine=engine, sent_at=sent_at)
    assert evidence.judge('poison') is PartState.QUARANTINED
    assert evidence.judge('seen-0', 'seen-1') is PartState.SUSPECT


def test_an_end_reported_without_a_check_counts_if_it_is_known(
    evidence: Evidence,
) -> None:
    """Guards against more ends, as the report of a call comes after a check."""
    for number in range(3):
        sent_at = evidence.now
        engine = f'engine-x-{number}'
        evidence.end((f'seen-{number}',), engine=engine)
        evidence.end(
            ('poison',), engine=engine, confirmed=False, sent_at=sent_at
        )
    assert evidence.judge('poison') is PartState.QUARANTINED


def test_an_engine_that_answers_again_has_not_ended(
    evidence: Evidence,
) -> None:
    """Pauses of engines brought sound parts into quarantine for 30 s."""
    for _ in range(2):
        evidence.end(('shared',))
    assert evidence.end(('shared',), engine='engine-x') == ['shared']
    released = evidence.parts.revive(SERVICE, 'engine-x', evidence.now + 1)
    assert released == ['shared']
    assert evidence.judge('shared') is PartState.SUSPECT
    assert evidence.parts.get(SERVICE, 'shared').trials == 2
    # Other instances repeat what they knew before.
    evidence.now -= 1
    assert not evidence.end(('shared',), engine='engine-x')
    assert evidence.parts.get(SERVICE, 'shared').trials == 2


def test_an_engine_that_ends_after_an_answer_has_ended(
    evidence: Evidence,
) -> None:
    """The report of an answer comes later than that of the end."""
    answered_at = evidence.now
    evidence.end(('shared',), engine='engine-x')
    evidence.parts.revive(SERVICE, 'engine-x', answered_at)
    assert evidence.parts.get(SERVICE, 'shared').trials == 1


def test_a_failed_trial_of_a_quarantined_part_may_be_withdrawn(
    evidence: Evidence,
) -> None:
    """A pause during the retrial doubled the time until the next one."""
    for _ in range(3):
        evidence.end(('poison',))
    before = evidence.parts.get(SERVICE, 'poison').retrial_at
    evidence.end(('poison',), engine='engine-x')
    released = evidence.parts.revive(SERVICE, 'engine-x', evidence.now + 1)
    assert not released
    assert evidence.judge('poison') is PartState.QUARANTINED
    assert evidence.parts.get(SERVICE, 'poison').retrial_at == before


def test_an_answer_told_late_explains_the_ends_before_it(
    evidence: Evidence,
) -> None:
    """Guards against a sound part refused where an answer is told last."""
    for _ in range(3):
        evidence.end(('part',))
    answered_at = evidence.now
    evidence.now += 10
    evidence.end(('part',))
    assert evidence.judge('part') is PartState.QUARANTINED
    evidence.parts.record_harmless(SERVICE, ['part'], answered_at)
    assert evidence.judge('part') is PartState.SUSPECT
    assert evidence.parts.get(SERVICE, 'part').trials == 1
