"""Evaluation of attempts: endpoint failures, and permission to retry."""

import logging
from collections.abc import Callable

import attrs

from ....state.calls import Call
from ....state.counters import Counters
from ....state.directpaths import DirectPaths
from ....state.endpoints import Endpoint
from ....state.endpointtable import EndpointTable
from ....state.observations import EngineObservations
from ....state.records import record
from ....state.refusals import Ran, Refusal, RefusalCode, Step
from ....transport.deadlines import monotonic
from ...ejection import record_outcome
from ..membership.reachability import ZoneReachability
from ..placing.placement import Placement
from ..streams.answers import AttemptFailure
from ..streams.progress import Attempt, Progress
from ..streams.silence import record_path_answered, record_path_unanswered
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


@attrs.frozen
class AttemptEvaluator:
    """Evaluates attempts that have ended.

    ``_record_peer_failure`` gets the name of an instance through which a call
    was sent and brought no answer.
    """

    _table: EndpointTable
    _retry_budgets: RetryBudgets
    _reachability: ZoneReachability
    _observations: EngineObservations
    _counters: Counters
    _paths: DirectPaths
    _record_peer_failure: Callable[[str, float], None]

    def note(self, attempt: Attempt, failure: AttemptFailure | None) -> None:
        """Record the outcome of an attempt: endpoint state, metrics and log."""
        now = monotonic()
        call, endpoint = attempt.call, attempt.placement.primary
        self._counters.attempts.inc(
            {
                'group': call.service,
                'outcome': 'failed' if failure else 'answered',
            },
        )
        if failure is None or failure.arrived:
            self._reachability.record_answer(endpoint.declaration.zone, now)
        if failure is None:
            self._record_path(attempt, None, now)
            record_outcome(self._table, endpoint, None, now, self._counters)
            return
        _log_failure(attempt, failure, now)
        self._blame(attempt, failure, now)

    def note_silence(self, attempt: Attempt, failure: AttemptFailure) -> None:
        """Record what the silence of an attempt that stays open shows."""
        self._blame(attempt, failure, monotonic())

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

    def _blame(
        self, attempt: Attempt, failure: AttemptFailure, now: float
    ) -> None:
        """Record whose fault it is that an attempt failed, or is silent."""
        self._record_path(attempt, failure, now)
        if failure.blameless or attempt.is_blamed:
            return
        if self._is_explained(attempt, failure):
            return
        attempt.is_blamed = True
        if not failure.arrived:
            zone = attempt.placement.primary.declaration.zone
            self._reachability.record_connect_failure(zone, now)
        self._record_fault(attempt.placement, failure, now)

    def _record_path(
        self, attempt: Attempt, failure: AttemptFailure | None, now: float
    ) -> None:
        """Record whether a connection that was made brought an answer."""
        if failure is None or failure.answered:
            if not attempt.via:
                record_path_answered(self._paths)
        elif failure.arrived:
            self._record_unanswered(attempt, failure, now)

    def _record_unanswered(
        self, attempt: Attempt, failure: AttemptFailure, now: float
    ) -> None:
        """Record a connection that brought no answer, or no end of it."""
        if attempt.via:
            if not failure.blameless:
                self._record_peer_failure(attempt.via, now)
            return
        attempt.call.avoids_direct = not self._paths.answered_lately(now)
        if failure.ran is Ran.UNKNOWN and not failure.blameless:
            address = attempt.placement.primary.declaration.address
            record_path_unanswered(self._paths, address)

    def _is_explained(self, attempt: Attempt, failure: AttemptFailure) -> bool:
        """Return whether the path, not the endpoint, explains a failure.

        Endpoints must not be ejected because an instance is cut off from them,
        or because the instance that helps it stops.
        """
        if failure.answered:
            return False
        now = monotonic()
        address = attempt.placement.primary.declaration.address
        in_doubt = self._paths.is_doubtful(address, now)
        return bool(attempt.via) or in_doubt or self._paths.is_mute(now)

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
        if endpoint.leaving:
            return
        record_outcome(
            self._table,
            endpoint,
            _refuse(RefusalCode.ENDPOINT_FAILED, failure.reason),
            now,
            self._counters,
        )


def find_faulty_endpoint(
    placement: Placement, failure: AttemptFailure
) -> Endpoint:
    """Return the helper that the answering engine named, or that engine."""
    for helper in placement.helpers:
        if failure.fault == helper.declaration.address:
            return helper
    return placement.primary


def _refuse(code: RefusalCode, message: str) -> Refusal:
    return Refusal(code, message, Step.ROUTE)


def _log_failure(attempt: Attempt, failure: AttemptFailure, now: float) -> None:
    call, endpoint = attempt.call, attempt.placement.primary
    record(
        _logger,
        'attempt_failed',
        request=call.request_id,
        endpoint=endpoint.name,
        incarnation=endpoint.declaration.incarnation,
        attempt=attempt.number,
        parts=call.head.shared_parts,
        fingerprint=call.fingerprint if failure.arrived else '',
        reason=failure.reason,
        ran=failure.ran.value,
        arrived=failure.arrived,
        via=attempt.via,
        blameless=failure.blameless,
        fault=failure.fault,
        elapsed=round(now - call.arrived, 4),
    )
