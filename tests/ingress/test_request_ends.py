"""Ends of engines by what calls ask for, without a network."""

import types

import attrs
import pytest

from kelproad.coordination.ingress.membership.messages import PromptNotice
from kelproad.coordination.ingress.quarantine.notices import (
    PromptNotices,
    pack_end,
)
from kelproad.state.calls import Call, CallHead
from kelproad.state.quarantine import PartQuarantine
from kelproad.state.requestends import RequestState
from kelproad.state.suspicions import EndedCall, PartState
from kelproad.transport.deadlines import monotonic

#: Seconds after the first end at which the request is judged.
LATER = 1.0


def end(
    number: int,
    request: str = 'lethal',
    *,
    confirmed: bool = True,
    **fields: object,
) -> EndedCall:
    """Build the end of an engine under a request, each after the one before."""
    at = number / 10
    return EndedCall(
        'writer',
        f'i-{number} born',
        frozenset(('part',)),
        frozenset(('crews',)),
        at,
        fields.pop('ended_at', at + 0.05),
        confirmed,
        request,
        **fields,
    )


def build(*ends: EndedCall) -> PartQuarantine:
    """Build what is known after some ends."""
    quarantine = PartQuarantine(lambda _service: 30)
    for ended in ends:
        quarantine.record_end(ended, ended.ended_at)
    return quarantine


def judge(quarantine: PartQuarantine, at: float = LATER) -> RequestState:
    """Judge the lethal request."""
    return quarantine.requests.judge('lethal', at).state


def judge_part(quarantine: PartQuarantine, request: str) -> PartState:
    """Judge the part for a request."""
    return quarantine.judge(
        'writer', ['part'], 'crews', LATER, lambda: request
    ).state


@pytest.mark.parametrize(
    ('ends', 'state'),
    [
        (0, RequestState.FREE),
        (1, RequestState.FREE),
        (2, RequestState.ALONE),
        (3, RequestState.BARRED),
        (4, RequestState.BARRED),
    ],
)
def test_three_ends_bar_a_request(ends: int, state: RequestState) -> None:
    """Guards against a fourth end, and against a sound request held for one."""
    assert judge(build(*map(end, range(ends)))) is state


def test_ends_count_in_whatever_order_they_are_told() -> None:
    """Guards against a fourth end, as a notice of the first came late."""
    assert judge(build(end(1), end(0), end(2))) is RequestState.BARRED


def test_ends_count_at_whatever_service_they_come() -> None:
    """Guards against three more ends as a route is split, or moved."""
    elsewhere = attrs.evolve(end(1), service='book')
    assert judge(build(end(0), elsewhere, end(2))) is RequestState.BARRED
    call = Call(
        CallHead('a1', 'POST', 'h.example', '/r/x', 'key'),
        None,
        'writer',
        None,
        b'',
        0,
        1,
    )
    moved = attrs.evolve(call, service='book')
    assert moved.fingerprint == call.fingerprint


def test_a_request_waits_for_ends_that_are_checked() -> None:
    """Guards against a repetition that comes before its third end is known."""
    quarantine = build(end(0), end(1), end(2, confirmed=False))
    assert judge(quarantine) is RequestState.CHECKED
    quarantine.withdraw('writer', 'i-2 born')
    assert judge(quarantine) is RequestState.ALONE


def test_a_request_waits_as_long_as_a_check_takes_on_a_busy_machine() -> None:
    """Guards against a fourth end, as a check of 2.4 s outlasts its end."""
    quarantine = build(end(0), end(1), end(2, confirmed=False))
    assert judge(quarantine, 3.0) is RequestState.CHECKED
    assert judge(quarantine, 5.0) is RequestState.ALONE


def test_an_end_found_under_one_request_counts_for_others() -> None:
    """Guards against an end that no check under the request itself confirms."""
    quarantine = build(end(0), end(1), end(2, confirmed=False), end(2, 'sound'))
    assert judge(quarantine) is RequestState.BARRED
    assert quarantine.requests.judge('sound', LATER).state is RequestState.FREE


def test_an_end_that_was_not_confirmed_holds_up_no_later_one() -> None:
    """Guards against a fourth end, as a lost connection was taken for one."""
    lost = end(0, confirmed=False, ended_at=3.0)
    quarantine = build(lost, end(29, ended_at=6.0), end(61), end(62))
    assert judge(quarantine, 7.0) is RequestState.BARRED
    # It was an end after all, at which another call was under way.
    quarantine.record_end(end(0, 'sound', ended_at=3.0), 7.0)
    assert quarantine.requests.count('lethal', 7.0) == 3


def test_a_report_that_was_delayed_is_put_right_by_the_next() -> None:
    """Guards against a fourth end, as times that come late seem to overlap."""
    first = end(0, ended_at=0.1)
    delayed = attrs.evolve(first, sent_at=0.08, ended_at=0.18)
    quarantine = build(delayed, end(1), first, end(1), end(2))
    assert judge(quarantine) is RequestState.BARRED


def test_an_end_stays_while_only_its_report_is_put_right() -> None:
    """Guards against a fourth end, as reports of one delay come in turn."""
    first, second = end(0, ended_at=0.1), end(1, ended_at=0.2)
    delayed = [
        attrs.evolve(
            one, sent_at=one.sent_at + 0.08, ended_at=one.ended_at + 0.08
        )
        for one in (first, second)
    ]
    quarantine = build(*delayed, second)
    assert judge(quarantine) is RequestState.ALONE


def test_an_engine_that_had_paused_is_no_end() -> None:
    """Guards against requests barred for engines that answer again."""
    quarantine = build(*map(end, range(3)))
    quarantine.revive('writer', 'i-1 born', LATER)
    assert judge(quarantine) is RequestState.ALONE


def test_a_request_that_was_answered_is_forgotten() -> None:
    """Guards against sound requests that met engines which fail alone."""
    quarantine = build(*map(end, range(3)))
    quarantine.record_answered('writer', 'lethal', LATER)
    assert judge(quarantine) is RequestState.FREE
    quarantine.record_end(end(4), LATER)
    assert not quarantine.requests.count('lethal', LATER)


def test_an_answer_just_before_the_ends_shows_a_request_to_be_sound() -> None:
    """Guards against a request of many callers, barred as engines are lost."""
    quarantine = build(*map(end, range(3)))
    quarantine.record_answered('writer', 'lethal', -1.0)
    assert judge(quarantine) is RequestState.FREE


def test_an_answer_told_late_clears_the_ends_before_it() -> None:
    """Guards against a sound request barred by ends that an answer explains."""
    quarantine = build(end(0), end(1), end(100))
    quarantine.record_answered('writer', 'lethal', 1.0)
    assert quarantine.requests.count('lethal', 11.0) == 1


def test_an_end_after_an_answer_elsewhere_is_withdrawn() -> None:
    """Guards against ends that the instance of the answer knows better."""
    replies: list[PromptNotice] = []
    now = monotonic()
    knowing = PartQuarantine(lambda _service: 30)
    knowing.record_answered('writer', 'lethal', now)
    notices = PromptNotices(
        knowing,
        types.SimpleNamespace(
            announce=lambda notice, _host: replies.append(notice(0, '', ''))
        ),
        None,
    )
    told = attrs.evolve(end(0), sent_at=now, ended_at=now)
    notices.accept(PromptNotice(0, 'h', 'a', ends=[pack_end(told, now)]))
    assert not knowing.requests.count('lethal', now)
    harmless = [known[:2] for reply in replies for known in reply.harmless]
    assert ('writer', 'lethal') in harmless


def test_engines_that_end_at_once_bar_no_request() -> None:
    """Guards against a request of many callers, barred as its zone fails."""
    ends = [end(number, ended_at=LATER) for number in range(3)]
    assert judge(build(*ends), 2 * LATER) is RequestState.FREE


def test_a_barred_request_is_tried_again_later() -> None:
    """Guards against a request that is refused for good."""
    quarantine = build(*map(end, range(3)))
    assert judge(quarantine, 29.0) is RequestState.BARRED
    assert judge(quarantine, 31.0) is RequestState.ALONE
    quarantine.record_end(end(310), 31.0)
    assert judge(quarantine, 62.0) is RequestState.BARRED


def test_one_request_quarantines_no_part_for_others() -> None:
    """Guards against a shared part refused for what one request asks for."""
    quarantine = build(*map(end, range(3)))
    assert judge_part(quarantine, 'sound') is PartState.SUSPECT
    assert judge_part(quarantine, 'lethal') is PartState.QUARANTINED
    quarantine.record_end(end(3, 'another'), LATER)
    assert judge_part(quarantine, 'sound') is PartState.QUARANTINED


def test_requests_that_explain_its_ends_quarantine_no_part() -> None:
    """Guards against a sound part refused, as it met two lethal requests."""
    # The part is that of one; a call with it was beside the other one once.
    quarantine = build(*map(end, (0, 1, 3)))
    met = attrs.evolve(end(2), fingerprint='met')
    quarantine.record_end(met, met.ended_at)
    states = []
    for number in (2, 4, 5):
        ended = attrs.evolve(end(number, 'other'), parts=frozenset())
        quarantine.record_end(ended, ended.ended_at)
        states.append(judge_part(quarantine, 'sound'))
    refused, tried = PartState.QUARANTINED, PartState.SUSPECT
    assert states == [refused, refused, tried]
    assert judge_part(quarantine, 'lethal') is refused


def test_a_request_with_the_part_explains_no_end_of_it() -> None:
    """Guards against a lethal part that is tried for each of its requests."""
    requests = ('a', 'a', 'a', 'b', 'b', 'b')
    quarantine = build(*(end(*asked) for asked in enumerate(requests)))
    assert judge_part(quarantine, 'c') is PartState.QUARANTINED


def test_a_lethal_part_stays_quarantined_where_its_ends_are_told() -> None:
    """Guards against a lethal part that each instance which starts tries."""
    requests = ('a', 'a', 'a', 'b', 'b', 'b')
    known = build(*(end(*asked) for asked in enumerate(requests)))
    told = build(*known.list_ends(), *known.requests.list_repeated())
    assert judge_part(told, 'c') is PartState.QUARANTINED


def test_requests_are_remembered_within_bounds() -> None:
    """Guards against memory that a flood of such requests takes."""
    quarantine = build(*map(end, range(3)))
    for number in range(5000):
        quarantine.record_end(end(4, f'request-{number}'), LATER)
    assert len(quarantine.requests._records) <= 4096
    assert judge(quarantine) is RequestState.BARRED
