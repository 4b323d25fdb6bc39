"""Observation of the request limits that endpoints state in their answers."""

import logging
from collections.abc import Mapping

import attrs

from ....state.calls import AnswerHead, Outcome
from ....state.counters import LimitMetrics
from ....state.endpoints import Endpoint
from ....state.endpointtable import EndpointTable
from ....state.records import record
from ....state.requestlimits import LimitChange, LimitNotice, RequestLimits
from ....state.statements import EndpointStatements
from ....transport.deadlines import monotonic

__all__ = ['LimitObserver']

_logger = logging.getLogger(__name__)
#: Outcomes whose answer is another endpoint's, or belongs to another call.
_FOREIGN = frozenset((Outcome.MISDIRECTED, Outcome.MISMATCHED))
#: Digits of the seconds in the log.
_DIGITS = 3


@attrs.frozen
class LimitObserver:
    """Keeps the stated limits, logs their changes and publishes them."""

    limits: RequestLimits
    metrics: LimitMetrics
    _table: EndpointTable

    def observe_answer(self, endpoint: Endpoint, head: AnswerHead) -> None:
        """Record what an answer of an endpoint states about its limit."""
        if head.outcome in _FOREIGN:
            return
        if head.statements.unreadable_limit:
            record(
                _logger,
                'request_limit_unreadable',
                endpoint=endpoint.name,
                stated=head.statements.unreadable_limit,
            )
        if head.statements.request_limit is None and not _ends_limit(head):
            return
        self._accept_stated(endpoint, head.statements.request_limit)

    def observe_reply(
        self, endpoint: Endpoint, statements: EndpointStatements
    ) -> None:
        """Record the limit that a reply to a report or an order states.

        One without a limit may say less than an answer, and ends none.
        """
        if statements.request_limit is not None:
            self._accept_stated(endpoint, statements.request_limit)

    def accept_all(self, notices: Mapping[str, LimitNotice]) -> None:
        """Record the notices that a peer reported, by endpoint."""
        for endpoint, notice in notices.items():
            self.accept(endpoint, notice)

    def accept(self, endpoint: str, notice: LimitNotice) -> None:
        """Record a notice, unless a newer one is known."""
        before = self.limits.get(endpoint)
        change = self.limits.accept(endpoint, notice)
        if change is None:
            return
        record(
            _logger,
            change.value,
            endpoint=endpoint,
            rate=notice.rate,
            before=before.rate if before else None,
            source=notice.source or 'own answer',
            age=round(monotonic() - notice.observed_at, _DIGITS),
        )
        self._publish(endpoint, notice.rate)

    def forget_unlisted(self) -> frozenset[str]:
        """Forget endpoints that have long been gone.

        Returns
        -------
        frozenset of str
            The endpoints that are listed, or whose limit is still kept.
        """
        listed = frozenset(self._table.all())
        forgotten = self.limits.forget_unlisted(listed, monotonic())
        for name in forgotten:
            record(
                _logger,
                LimitChange.ENDED.value,
                endpoint=name,
                source='no longer listed',
            )
            self._publish(name, None)
        return listed | self.limits.list_limited().keys()

    def describe(self) -> dict[str, dict[str, object]]:
        """Describe the limits for operators, by endpoint."""
        now = monotonic()
        return {
            name: {
                'rate': notice.rate,
                'source': notice.source or 'own answer',
                'age': round(now - notice.observed_at, _DIGITS),
            }
            for name, notice in self.limits.list_limited().items()
        }

    def _accept_stated(self, endpoint: Endpoint, limit: float | None) -> None:
        """Record what an endpoint stated to this instance now."""
        incarnation = endpoint.declaration.incarnation
        notice = LimitNotice(limit, incarnation, monotonic())
        self.accept(endpoint.name, notice)

    def _publish(self, endpoint: str, rate: float | None) -> None:
        stated = -1 if rate is None else rate
        self.metrics.limits.set({'endpoint': endpoint}, stated)


def _ends_limit(head: AnswerHead) -> bool:
    """Return whether an answer that states no limit ends an earlier one.

    A refusal or an error may say less than an answer.
    """
    return (
        head.outcome is Outcome.ANSWERED
        and not head.statements.unreadable_limit
    )
