"""State of one call over its attempts."""

import attrs

from ....state.calls import Call
from ....state.refusals import NOT_RUN_STATUSES, Ran, Refusal, RefusalCode
from .answers import AttemptFailure, CompleteAnswer

__all__ = ['Progress']

#: Seconds after which a refused caller should retry if nothing better is known:
#: about as long as an engine takes for a few short streams.
RETRY_AFTER = 0.5


@attrs.define
class Progress:
    """State of one call over its attempts so far.

    Attributes
    ----------
    ran
        Whether any attempt was executed, or may have been.
    tried
        Endpoints that are excluded from further attempts.
    reached
        Endpoints to which a connection was made.
    fallback
        Error answer of an endpoint, for the caller if no attempt succeeds.
    last
        The latest attempt that failed.
    in_flight
        Whether an attempt is in progress, so that the call may be running.
    """

    ran: Ran = Ran.NO
    tried: set[str] = attrs.field(factory=set)
    reached: set[str] = attrs.field(factory=set)
    fallback: CompleteAnswer | None = None
    last: AttemptFailure | None = None
    in_flight: bool = False

    def begin(self) -> None:
        """Record that an attempt starts."""
        self.in_flight = True

    def note(
        self, failure: AttemptFailure, primary: str, at_fault: str
    ) -> None:
        """Record an attempt that failed.

        Parameters
        ----------
        failure
            The failure.
        primary
            Endpoint that it was sent to.
        at_fault
            Endpoint at fault: ``primary`` or one of its helpers.  With that
            helper excluded, the call may be sent to ``primary`` again; empty if
            none is at fault.
        """
        self.last = failure
        self.in_flight = False
        excluded = failure.exclude or at_fault
        if excluded:
            self.tried.add(excluded)
        if failure.arrived:
            self.reached.add(primary)
        if failure.ran is not Ran.NO and self.ran is not Ran.YES:
            self.ran = failure.ran
        if failure.answer is not None:
            self.fallback = failure.answer

    def may_answer(self, endpoint: str, max_endpoints: int) -> bool:
        """Return whether the next attempt may be sent to an endpoint."""
        return endpoint in self.reached or len(self.reached) < max_endpoints

    def is_exhausted(self, max_endpoints: int) -> bool:
        """Return whether the call may be sent to no endpoint any more."""
        return len(self.reached) >= max_endpoints and self.reached <= self.tried

    def is_last_chance(self, endpoint: str, max_endpoints: int) -> bool:
        """Return whether a first failure there leaves no other endpoint."""
        if endpoint in self.reached:
            return False
        return len(self.reached) + 1 >= max_endpoints

    def may_forward_error(self, call: Call) -> bool:
        """Return whether an endpoint's error may be forwarded unchanged.

        Some statuses promise that the call has not run.  A call that may run
        only once must not get that promise from an endpoint that may have run
        it.
        """
        if self.fallback is None:
            return False
        return (
            call.kind.repeatable
            or self.fallback.head.status not in NOT_RUN_STATUSES
        )

    def complete(self, refusal: Refusal) -> Refusal:
        """Adapt a refusal to the outcome of all attempts, not only the last."""
        ran = self.ran
        if self.in_flight and ran is Ran.NO:
            ran = Ran.UNKNOWN
        if ran is Ran.NO:
            return _promise_not_run(refusal)
        code = refusal.code
        if code.status in NOT_RUN_STATUSES:
            code = RefusalCode.ENDPOINT_FAILED
        return attrs.evolve(refusal, code=code, ran=ran, retry_after=None)


def _promise_not_run(refusal: Refusal) -> Refusal:
    """Make a refusal promise that the call has not run, with a retry time."""
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
