"""Request limits that endpoints state: reading, keeping and reporting them."""

import types

import pytest
from multidict import CIMultiDict

from kelproad.coordination.ingress.streams.observing import UnknownFields
from kelproad.platform.headers import read_answer_head
from kelproad.state.calls import AnswerHead, Outcome
from kelproad.state.declarations import (
    EndpointDeclaration,
    EndpointGroup,
    EndpointKind,
)
from kelproad.state.endpoints import Endpoint
from kelproad.state.requestlimits import (
    LimitChange,
    LimitNotice,
    RequestLimits,
)
from kelproad.state.statements import EndpointStatements
from tests.ingress.limits import build_observer

NOW = 1000.0


def read_limit(*stated: str) -> tuple[float | None, str]:
    """Decode an answer with these limits; return the limit and the errors."""
    response = types.SimpleNamespace(
        status=200,
        headers=CIMultiDict(
            [
                ('X-Kelproad-Request-Id', 'r'),
                *(('Server-Limit', text) for text in stated),
            ],
        ),
        content_length=0,
    )
    head = read_answer_head(response, 'r')
    assert [
        text for name, text in head.headers if name == 'Server-Limit'
    ] == list(stated)
    return head.statements.request_limit, head.statements.unreadable_limit


@pytest.mark.parametrize(
    ('stated', 'limit'),
    [
        ((), None),
        (('1.5',), 1.5),
        ((' 3 ',), 3),
        (('0',), 0),
        (('.5',), 0.5),
        (('999999999999999',), 999999999999999),
        (('4', '2.5'), 2.5),
        (('4, 2.5',), 2.5),
    ],
)
def test_a_decimal_limit_is_read(
    stated: tuple[str, ...],
    limit: float | None,
) -> None:
    """Of several limits the lowest one satisfies all."""
    assert read_limit(*stated) == (limit, '')


@pytest.mark.parametrize(
    'stated', ['-1', '1e3', 'inf', 'nan', '', 'ten', '1' * 5000, '1.2.3', '٣']
)
def test_an_unreadable_limit_is_reported(stated: str) -> None:
    """A limit that is no decimal number must not raise, nor count as one."""
    limit, unreadable = read_limit(stated)
    assert limit is None
    assert unreadable


def build_endpoint() -> Endpoint:
    """Build a plain endpoint."""
    declaration = EndpointDeclaration('i', 'a', '10.0.0.1:80', incarnation='1')
    group = EndpointGroup('book', EndpointKind.PLAIN, [declaration])
    return Endpoint(declaration, group)


def notice(rate: float | None, age: float = 0, **more: str) -> LimitNotice:
    """Build a notice that was observed ``age`` seconds ago."""
    return LimitNotice(rate, more.pop('incarnation', '1'), NOW - age, **more)


def test_a_limit_holds_until_an_answer_comes_without_it() -> None:
    """An endpoint that gets nothing says nothing, which must end no limit."""
    limits = RequestLimits()
    assert limits.accept('i', notice(2, age=600)) is LimitChange.BEGUN
    assert limits.find('i', '1').rate == 2
    assert limits.accept('i', notice(2, age=3)) is None
    assert limits.accept('i', notice(3, age=2)) is LimitChange.CHANGED
    assert limits.accept('i', notice(None)) is LimitChange.ENDED
    assert limits.find('i', '1') is None


def test_an_older_report_changes_nothing() -> None:
    """A late report must not revive a limit that has ended since."""
    limits = RequestLimits()
    limits.accept('i', notice(2, age=2))
    limits.accept('i', notice(None, age=1))
    assert limits.accept('i', notice(2, age=1.5, source='peer')) is None
    assert limits.find('i', '1') is None


def test_a_report_that_comes_back_is_not_newer() -> None:
    """It would revive a limit, or hide an own observation from peers."""
    limits = RequestLimits()
    limits.accept('i', notice(2, age=1))
    limits.accept('i', notice(2, age=0.98, source='peer'))
    assert 'i' in limits.list_reported(NOW)
    limits.accept('i', notice(None, age=0.97))
    assert limits.accept('i', notice(2, age=0.96, source='peer')) is None


def test_an_own_answer_without_a_limit_refutes_an_older_report() -> None:
    """A peer that had not been there for long revived a limit everywhere."""
    limits = RequestLimits()
    limits.accept('i', notice(None, age=1))
    assert limits.accept('i', notice(2, age=12, source='peer')) is None
    assert limits.find('i', '1') is None
    assert limits.get('i').rate is None
    assert not limits.list_reported(NOW)
    assert limits.accept('i', notice(2, age=0.5, source='peer'))
    assert limits.find('i', '1').rate == 2


def test_a_limit_ends_with_its_incarnation() -> None:
    """An endpoint that was started again holds nothing of before."""
    limits = RequestLimits()
    limits.accept('i', notice(2, age=1))
    assert limits.find('i', '2') is None
    begun = limits.accept('i', notice(2, incarnation='2'))
    assert begun is LimitChange.BEGUN


def test_only_own_fresh_observations_are_reported() -> None:
    """Reports of reports would grow younger with each hop."""
    limits = RequestLimits()
    limits.accept('own', notice(2, age=1))
    limits.accept('old', notice(2, age=11))
    limits.accept('heard', notice(2, age=1, source='peer'))
    for number in range(100):
        limits.accept(f'i-{number}', notice(1, age=2))
    reported = limits.list_reported(NOW)
    assert 'own' in reported
    assert not reported.keys() & {'old', 'heard'}
    assert len(reported) == 32


def test_an_unlisted_endpoint_is_forgotten_late() -> None:
    """An entry that a store outage removed is back a little later."""
    limits = RequestLimits()
    limits.accept('i', notice(2, age=29))
    assert not limits.forget_unlisted(frozenset(), NOW)
    assert limits.forget_unlisted(frozenset(('i',)), NOW + 5) == []
    assert limits.forget_unlisted(frozenset(), NOW + 5) == ['i']


@pytest.mark.parametrize(
    ('outcome', 'ended'),
    [
        (Outcome.ANSWERED, True),
        (Outcome.ERROR, False),
        (Outcome.NOT_RUN, False),
        (Outcome.MISDIRECTED, False),
        (Outcome.MISMATCHED, False),
    ],
)
def test_only_an_answer_without_a_limit_ends_it(
    outcome: Outcome,
    ended: bool,
) -> None:
    """A refusal, an error or another endpoint's answer may say less."""
    observer = build_observer()
    endpoint = build_endpoint()
    stating = AnswerHead(
        Outcome.NOT_RUN, 503, (), statements=EndpointStatements(request_limit=2)
    )
    observer.observe_answer(endpoint, stating)
    assert observer.limits.find('i', '1').rate == 2
    unreadable = AnswerHead(
        Outcome.ANSWERED,
        200,
        (),
        statements=EndpointStatements(unreadable_limit='x'),
    )
    observer.observe_answer(endpoint, unreadable)
    assert observer.limits.find('i', '1')
    observer.observe_answer(endpoint, AnswerHead(outcome, 200, ()))
    assert (observer.limits.find('i', '1') is None) is ended


def test_an_unknown_field_is_logged_once(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """A limit was handed on to callers for weeks, and nobody knew."""
    caplog.set_level('INFO')
    response = types.SimpleNamespace(
        status=200,
        headers=CIMultiDict(
            {'Content-Type': 'a', 'Server-Limit': '1', 'X-New': 'b'}
        ),
        content_length=0,
    )
    head = read_answer_head(response, 'r')
    assert head.unknown_fields == {'x-new'}
    fields = UnknownFields()
    endpoint = build_endpoint()
    fields.record(endpoint, head)
    fields.record(endpoint, head)
    many = AnswerHead(
        Outcome.ANSWERED,
        200,
        (),
        unknown_fields=frozenset(f'x-{number}' for number in range(1000)),
    )
    fields.record(endpoint, many)
    fields.record(endpoint, many)
    logged = [line.event_fields['field'] for line in caplog.records]
    assert logged[0] == 'x-new'
    assert len(logged) == 100
