"""What attempts say of endpoints, and whether a call may be sent again."""

import logging

import attrs

from ...state.calls import Call
from ...state.counters import Counters
from ...state.endpoints import Endpoint, EndpointTable
from ...state.records import record
from ...state.refusals import PROMISING, Ran, Refusal, RefusalCode, Step
from ...transport.deadlines import monotonic
from ..ejection import note_outcome
from .attempts import AttemptFailure, WholeAnswer
from .placement import Placement
from .reach import ZoneReach
from .sharing import SharedRetries

__all__ = ['Progress', 'Verdicts']

_logger = logging.getLogger(__name__)
#: Seconds before its deadline at which a call is no longer tried: less than a
#: connection and the shortest answer take.
ANSWER_MARGIN = 0.03
#: Seconds after which a refused caller should come back when nothing better
#: is known: about as long as an engine takes for a few short streams.
RETRY_AFTER = 0.5
#: Seconds for which an endpoint is left alone when another one answered at its
#: address.  Who is gone has no entry by then, as endpoints report every second
#: or so; who is still listed has probably reported since.  That is told by the
#: time, since peers don't hear of reports that say nothing new, and one that
#: was under way with the answer proves nothing.
_DISOWNED_SECONDS = 5.0


@attrs.define
class Progress:
    """What became of a call so far.

    Attributes
    ----------
    ran
        Whether any attempt ran, or may have.
    tried
        Endpoints that it was sent to.
    fallback
        Error of an endpoint, for want of anything better.
    arrivals
        Attempts that reached an endpoint.
    last
        The last attempt that ended.
    in_flight
        Whether an attempt is under way, so that the call may be running.
    """

    ran: Ran = Ran.NO
    tried: set[str] = attrs.field(factory=set)
    fallback: WholeAnswer | None = None
    arrivals: int = 0
    last: AttemptFailure | None = None
    in_flight: bool = False

    def begin(self, endpoint: str) -> None:
        """Enter an attempt that begins."""
        self.tried.add(endpoint)
        self.in_flight = True

    def note(self, failure: AttemptFailure) -> None:
        """Take in an attempt that failed."""
        self.last = failure
        self.in_flight = False
        self.arrivals += failure.arrived
        if failure.ran is not Ran.NO and self.ran is not Ran.YES:
            self.ran = failure.ran
        if failure.avoid:
            self.tried.add(failure.avoid)
        if failure.answer is not None:
            self.fallback = failure.answer

    def may_hand_on_error(self, call: Call) -> bool:
        """Tell whether an endpoint's error may go to the caller as it is.

        Some statuses promise that the call has not run; of work that may run
        once only, that would be untrue.
        """
        if self.fallback is None:
            return False
        return (
            call.kind.repeatable or self.fallback.head.status not in PROMISING
        )

    def complete(self, refusal: Refusal) -> Refusal:
        """Let a refusal speak for all attempts, not only for the last."""
        ran = self.ran
        if self.in_flight and ran is Ran.NO:
            ran = Ran.UNKNOWN
        if ran is Ran.NO:
            return _promise_not_run(refusal)
        code = refusal.code
        if code.status in PROMISING:
            code = RefusalCode.ENDPOINT_FAILED
        return attrs.evolve(refusal, code=code, ran=ran, retry_after=None)


@attrs.frozen
class Verdicts:
    """Judges attempts that have ended."""

    _table: EndpointTable
    _retries: SharedRetries
    _reach: ZoneReach
    _counters: Counters

    def note(
        self,
        call: Call,
        placement: Placement,
        failure: AttemptFailure | None,
    ) -> None:
        """Enter how an attempt ended, for its endpoint and the log."""
        now = monotonic()
        endpoint = placement.first
        self._counters.attempts.inc(
            {
                'group': call.service,
                'outcome': 'failed' if failure else 'answered',
            },
        )
        zone = endpoint.declaration.zone
        if failure is None or failure.arrived:
            self._reach.note_answer(zone, now)
        if failure is None:
            note_outcome(self._table, endpoint, None, now, self._counters)
            return
        self._record(call, endpoint, failure, now)
        if not (failure.arrived or failure.blameless):
            self._reach.note_unreached(zone, now)
        if not failure.blameless:
            self._blame(_find_blamed(placement, failure), failure, now)

    def explain_stop(
        self,
        call: Call,
        progress: Progress,
    ) -> Refusal | None:
        """Say why a call is not tried again; ``None`` when it may be.

        A retry is taken out of the budget by this.
        """
        failure = progress.last
        if call.remaining(monotonic()) < ANSWER_MARGIN:
            return _refuse(RefusalCode.DEADLINE_EXCEEDED, failure.reason)
        if failure.ran is not Ran.NO and not call.kind.repeatable:
            return _refuse(RefusalCode.ENDPOINT_FAILED, failure.reason)
        if progress.arrivals >= call.route.most_endpoints:
            return _refuse(RefusalCode.NO_CAPACITY, failure.reason)
        # A call that reached no endpoint is no retry for anyone.
        if failure.arrived and not self._retries.spend(call.service):
            self._counters.retries.inc({'outcome': 'budget spent'})
            return _refuse(RefusalCode.NO_CAPACITY, 'retry budget spent')
        self._counters.retries.inc({'outcome': 'permitted'})
        return None

    def _blame(
        self,
        endpoint: Endpoint,
        failure: AttemptFailure,
        now: float,
    ) -> None:
        if failure.misdirected:
            # Somebody else answered, which says nothing of how it does.
            endpoint.disowned_until = now + _DISOWNED_SECONDS
            return
        note_outcome(
            self._table,
            endpoint,
            _refuse(RefusalCode.ENDPOINT_FAILED, failure.reason),
            now,
            self._counters,
        )

    def _record(
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


def _promise_not_run(refusal: Refusal) -> Refusal:
    """Let a refusal say that the call has not run, and when to come back."""
    code = refusal.code
    if code is RefusalCode.DEADLINE_EXCEEDED:
        code = RefusalCode.NO_CAPACITY
    retry_after = refusal.retry_after
    if retry_after is None:
        retry_after = RETRY_AFTER
    return attrs.evolve(
        refusal,
        code=code,
        ran=Ran.NO,
        retry_after=retry_after,
    )


def _find_blamed(placement: Placement, failure: AttemptFailure) -> Endpoint:
    """Find the helper that the answering engine blames, or take itself."""
    for helper in placement.helpers:
        if failure.fault == helper.declaration.address:
            return helper
    return placement.first


def _refuse(code: RefusalCode, message: str) -> Refusal:
    return Refusal(code, message, Step.ROUTE)
