"""Observation of endpoints that state that they leave, or pause.

Endpoints state it in any answer, also while the store that lists them is down.
"""

import logging
from collections.abc import Callable

import attrs

from ....state.counters import WithdrawalMetrics
from ....state.endpointtable import EndpointTable
from ....state.records import OnceRecorder, record
from ....state.statements import EndpointStatements
from ....state.withdrawals import Withdrawal
from ....transport.deadlines import monotonic

__all__ = ['WithdrawalObserver', 'describe_withdrawals']

_logger = logging.getLogger(__name__)
#: Digits of the seconds in the log.
_DIGITS = 3


@attrs.define
class WithdrawalObserver:
    """Keeps what endpoints state about leaving and pausing, and logs it.

    ``_announce`` gets the name and incarnation of an endpoint that leaves and
    is not known to do so.
    """

    _table: EndpointTable
    _metrics: WithdrawalMetrics
    _announce: Callable[[str, str], None]
    _recorder: OnceRecorder = attrs.field(factory=lambda: OnceRecorder(_logger))

    def observe(
        self, endpoint: str, incarnation: str, statements: EndpointStatements
    ) -> None:
        """Record the statements of an incarnation to this instance."""
        for field, text in statements.unreadable:
            self._recorder.record(
                (endpoint, field),
                'endpoint_statement_unreadable',
                endpoint=endpoint,
                field=field,
                stated=text,
            )
        if not statements.declines_calls:
            return
        now = monotonic()
        withdrawal = self._table.keep_withdrawal(endpoint, incarnation, now)
        was_known = withdrawal.leaves
        if statements.leaves and withdrawal.state_leaving(now):
            self._record_leaving(endpoint, incarnation)
            if not was_known:
                self._announce(endpoint, incarnation)
        if statements.pause:
            self._pause(endpoint, withdrawal, statements.pause, now)

    def _record_leaving(self, endpoint: str, incarnation: str) -> None:
        self._metrics.withdrawals.inc({'kind': 'leaving'})
        record(
            _logger,
            'endpoint_leaves',
            endpoint=endpoint,
            incarnation=incarnation,
            source='own answer',
        )

    def _pause(
        self, endpoint: str, withdrawal: Withdrawal, seconds: float, now: float
    ) -> None:
        was_paused = withdrawal.is_paused(now)
        is_longer = withdrawal.pause(now + seconds)
        if was_paused or not is_longer:
            return
        self._metrics.withdrawals.inc({'kind': 'pause'})
        record(
            _logger,
            'endpoint_pauses',
            endpoint=endpoint,
            seconds=round(seconds, _DIGITS),
        )


def describe_withdrawals(
    table: EndpointTable, now: float
) -> list[dict[str, object]]:
    """Describe the endpoints that want no more calls, for operators."""
    return [
        {
            'endpoint': endpoint,
            'incarnation': incarnation,
            'leaves': known.leaves,
            'stated_here': known.stated_here_at <= now,
            'paused_for': round(max(0, known.paused_until - now), _DIGITS),
        }
        for (endpoint, incarnation), known in table.withdrawals.all().items()
    ]
