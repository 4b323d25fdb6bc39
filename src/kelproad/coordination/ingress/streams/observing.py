"""Where what endpoints state about themselves becomes state.

Each reader of a statement has a line here, for answers to calls and for replies
to reports and orders.
"""

import logging

import attrs

from ....state.calls import AnswerHead, Outcome
from ....state.endpoints import Endpoint
from ....state.endpointtable import EndpointTable
from ....state.records import OnceRecorder, record
from ....state.statements import EndpointStatements
from ....transport.deadlines import monotonic
from ..limiting.observing import LimitObserver
from ..withdrawing.observing import WithdrawalObserver

__all__ = ['AnswerObserver', 'UnknownFields']

_logger = logging.getLogger(__name__)


@attrs.define
class UnknownFields:
    """Log of the fields in answers that this system does not know.

    They go on to callers unread.  One that is meant for this system is obeyed
    by nobody until it is known here, so each name is logged, once.
    """

    _recorder: OnceRecorder = attrs.field(factory=lambda: OnceRecorder(_logger))

    def record(self, endpoint: Endpoint, head: AnswerHead) -> None:
        """Log the unknown fields of an answer that were not logged before."""
        for name in sorted(head.unknown_fields):
            self._recorder.record(
                name,
                'endpoint_field_unknown',
                endpoint=endpoint.name,
                field=name,
            )


@attrs.frozen
class AnswerObserver:
    """Hands what answers and replies state to what keeps it."""

    _table: EndpointTable
    _limits: LimitObserver
    _withdrawals: WithdrawalObserver
    _unknown_fields: UnknownFields = attrs.field(factory=UnknownFields)

    def observe_answer(self, endpoint: Endpoint, head: AnswerHead) -> None:
        """Record the statements of an endpoint's answer to a call."""
        self._limits.observe_answer(endpoint, head)
        self._unknown_fields.record(endpoint, head)
        # Another endpoint answered, which must not speak for this one.
        if head.outcome is not Outcome.MISDIRECTED:
            self._withdrawals.observe(
                endpoint.name,
                endpoint.declaration.incarnation,
                head.statements,
            )
            self._observe_warm_up(endpoint, head.statements)

    def observe_reply(
        self, address: str, statements: EndpointStatements
    ) -> None:
        """Record the statements of a reply to a report or an order."""
        if not statements.any_stated:
            return
        endpoint = self._table.find_at(address)
        if endpoint is None:
            _logger.debug('statements of an unlisted endpoint at %s', address)
            return
        self._limits.observe_reply(endpoint, statements)
        self._withdrawals.observe(
            endpoint.name, endpoint.declaration.incarnation, statements
        )
        self._observe_warm_up(endpoint, statements)

    def _observe_warm_up(
        self, endpoint: Endpoint, statements: EndpointStatements
    ) -> None:
        if statements.warm_up is None:
            return
        name, incarnation = endpoint.name, endpoint.declaration.incarnation
        seconds = statements.warm_up
        if self._table.warm_ups.state(name, incarnation, seconds, monotonic()):
            record(
                _logger,
                'engine_warms_up',
                endpoint=name,
                seconds=seconds,
                source='own answer',
            )
