"""Evaluation of attempts: endpoint failures, and permission to retry."""

import logging
import math
from collections.abc import Callable

import attrs

from ....state.calls import Call
from ....state.counters import Counters
from ....state.directpaths import DirectPaths
from ....state.endpoints import Endpoint, EndpointTable
from ....state.observations import EngineObservations
from ....state.records import record
from ....state.refusals import Ran, Refusal, RefusalCode, Step
from ....transport.deadlines import monotonic
from ...ejection import record_outcome
from ..membership.reachability import ZoneReachability
from ..placing.placement import Placement
from ..streams.attempts import AttemptFailure
from ..streams.progress import Progress
from .retries import RetryBudgets

__all__ = ['AttemptEvaluator', 'find_faulty_endpoint']

_logger = logging.getLogger(__name__)
#: Seconds before its deadline from which on a call is not retried: less than a
#: connection and the shortest answer take.
ANSWER_MARGIN = 0.03
#: Seconds for which an endpoint gets no calls after another one answered at its
#: address.  Endpoints report every second or so: by then the entry of one that
#: has exited is removed, and one that is still listed has probably reported
#: since.  The time decides, since peers are not sent reports that hold nothing
#: new, and a report that was under way with the answer proves nothing.
_MISDIRECTED_SECONDS = 5.0


def _count_none(_endpoint: Endpoint) -> int:
    return 0


@attrs.frozen
class AttemptEvaluator:
    """Evaluates attempts that have ended.

    ``_count_peer_calls`` counts the calls that peers have at an endpoint.
    """

    _table: EndpointTable
    _retry_budgets: RetryBudgets
    _reachability: ZoneReachability
    _observations: EngineObservations
    _counters: Counters
    _paths: DirectPaths = attrs.field(factory=DirectPaths)
    _count_peer_calls: Callable[[Endpoint], int] = _count_none

    def note(
        self,
        call: Call,
        placement: Placement,
        failure: AttemptFailure | None,
    ) -> None:
        """Record the outcome of an attempt: endpoint state, metrics and log."""
        now = monotonic()
        endpoint = placement.primary
        self._counters.attempts.inc(
            {
                'group': call.service,
                'outcome': 'failed' if failure else 'answered',
            },
        )
        zone = endpoint.declaration.zone
        self._record_connection(endpoint, failure, now)
        if failure is None or failure.arrived:
            self._reachability.record_answer(zone, now)
        if failure is None:
            record_outcome(self._table, endpoint, None, now, self._counters)
            return
        self._log_failure(call, endpoint, failure, now)
        if not (failure.arrived or failure.blameless):
            self._reachability.record_connect_failure(zone, now)
        if not failure.blameless:
            self._record_fault(placement, failure, now)

    def check_retry(
        self,
        call: Call,
        progress: Progress,
    ) -> Refusal | None:
        """Return the refusal for a call that must not be retried, or ``None``.

        ``None`` permits a retry; if an endpoint was reached, it is spent from
        the retry budget.
        """
        failure = progress.last
        if call.remaining(monotonic()) < ANSWER_MARGIN:
            return _refuse(RefusalCode.DEADLINE_EXCEEDED, failure.reason)
        if failure.ran is not Ran.NO and not call.kind.repeatable:
            return _refuse(RefusalCode.ENDPOINT_FAILED, failure.reason)
        if progress.is_exhausted(call.route.max_endpoints):
            return _refuse(RefusalCode.NO_CAPACITY, failure.reason)
        # No endpoint has seen a call that did not arrive: sending it again adds
        # no load and needs no retry from the budget.
        if failure.arrived and not self._retry_budgets.spend(call.service):
            self._counters.retries.inc({'outcome': 'budget spent'})
            return _refuse(RefusalCode.NO_CAPACITY, 'retry budget spent')
        self._counters.retries.inc({'outcome': 'permitted'})
        return None

    def _record_connection(
        self,
        endpoint: Endpoint,
        failure: AttemptFailure | None,
        now: float,
    ) -> None:
        """Record whether a connection was made; log outages of all of them."""
        address = endpoint.declaration.address
        unconnected_for = now - self._paths.connected_at
        if failure is None or failure.arrived:
            if self._paths.record_connected(address, now):
                record(_logger, 'endpoints_connected', endpoint=endpoint.name)
        elif not failure.blameless:
            if self._paths.record_failed(address, now):
                record(
                    _logger,
                    'endpoints_unconnected',
                    failing=len(self._paths.failed),
                    connected_age=_round_age(unconnected_for),
                    peer_calls=self._count_peer_calls(endpoint),
                )

    def _record_fault(
        self,
        placement: Placement,
        failure: AttemptFailure,
        now: float,
    ) -> None:
        endpoint = find_faulty_endpoint(placement, failure)
        if endpoint is not placement.primary:
            self._observations.record_refusal(endpoint.name, now)
        if failure.misdirected:
            # Another endpoint answered: no evidence on the health of this one.
            endpoint.misdirected_until = now + _MISDIRECTED_SECONDS
            return
        record_outcome(
            self._table,
            endpoint,
            _refuse(RefusalCode.ENDPOINT_FAILED, failure.reason),
            now,
            self._counters,
        )

    def _log_failure(
        self,
        call: Call,
        endpoint: Endpoint,
        failure: AttemptFailure,
        now: float,
    ) -> None:
        record(
            _logger,
            'attempt_failed',
            request=call.request_id,
            endpoint=endpoint.name,
            reason=failure.reason,
            ran=failure.ran.value,
            arrived=failure.arrived,
            blameless=failure.blameless,
            fault=failure.fault,
            elapsed=round(now - call.arrived, 4),
        )


def find_faulty_endpoint(
    placement: Placement, failure: AttemptFailure
) -> Endpoint:
    """Return the helper that the answering engine named, or that engine."""
    for helper in placement.helpers:
        if failure.fault == helper.declaration.address:
            return helper
    return placement.primary


def _round_age(seconds: float) -> float | None:
    return round(seconds, 3) if math.isfinite(seconds) else None


def _refuse(code: RefusalCode, message: str) -> Refusal:
    return Refusal(code, message, Step.ROUTE)
