"""State of one call over its attempts, and of one attempt."""

import math
from collections.abc import Callable

import attrs

from ....protocol.connections import ConnectionProgress
from ....state.calls import Call
from ....state.refusals import NOT_RUN_STATUSES, Ran, Refusal, RefusalCode
from ....transport.deadlines import monotonic
from ..placing.placement import Placement
from .answers import AttemptFailure, CompleteAnswer

__all__ = ['Attempt', 'Progress']

#: Seconds after which a refused caller should retry if nothing better is known:
#: about as long as an engine takes for a few short streams.
RETRY_AFTER = 0.5
#: Seconds for which an endpoint that lacks memory is left out: a stream ends
#: there meanwhile, or the work that takes it is known.
_FULL_SECONDS = 0.2
#: Endpoints that lack memory at a time after which no other one is asked: a
#: call that finds no room would ask all of them again and again.
_MAX_FULL = 3


def _ignore(_attempt: 'Attempt') -> None:
    """Ignore that an attempt goes on."""


@attrs.define(eq=False)
class Attempt:
    """A call that is sent to one endpoint, while that is in progress.

    Attributes
    ----------
    number
        Its number among the attempts of the call, from 1.
    trial
        Suspect parts of the prompt that it alone may try.
    sent_at
        Monotonic time of its begin.
    connection
        Progress of its connection, ``None`` before it opens one.
    answered
        Whether the head of its answer has come.
    waits_since
        Time of the running clock from which on it waits for its endpoint;
        ``None`` while it does not, as it forwards what has come.
    is_helpless
        Whether its engine answers no query, which helpers' memory depends on.
    is_silent, accuses_endpoint
        Whether its silence has been recorded, and lasts, and whether it is that
        of the endpoint and not of the path.
    is_blamed
        Whether its endpoint has been found at fault for it.
    searched_at
        Monotonic time at which another one to begin beside it was last looked
        for.
    via
        Instance through which it was sent; empty if directly.
    take_lead
        Called before it brings more to the caller: another attempt that is
        open beside it ends then.
    """

    call: Call
    placement: Placement
    number: int = 1
    trial: tuple[str, ...] = ()
    sent_at: float = attrs.field(factory=monotonic)
    connection: ConnectionProgress | None = None
    answered: bool = False
    waits_since: float | None = None
    is_helpless: bool = False
    is_silent: bool = False
    accuses_endpoint: bool = False
    is_blamed: bool = False
    searched_at: float = -math.inf
    via: str = ''
    take_lead: Callable[['Attempt'], None] = _ignore

    @property
    def endpoint(self) -> str:
        """Name of the endpoint that it was sent to."""
        return self.placement.primary.name

    @property
    def arrived(self) -> bool:
        """Whether a connection was made, so that the endpoint may have it."""
        return self.connection is not None and self.connection.connected

    def record_responding(self, responds: bool) -> None:
        """Record whether its engine answers queries."""
        self.is_helpless = not responds

    def record_via(self, instance: str) -> None:
        """Record the instance through which it is sent."""
        self.via = instance
        self.call.via = instance


@attrs.define
class Progress:
    """State of one call over its attempts so far.

    Attributes
    ----------
    ran
        Whether any attempt was executed, or may have been.
    tried
        Endpoints that are excluded from further attempts.
    silent
        Endpoints that are excluded from the next attempt only, as others are
        silent there.
    reached
        Endpoints to which a connection was made.
    fallback
        Error answer of an endpoint, for the caller if no attempt succeeds.
    last
        The latest attempt that failed.
    open_attempts
        Number of attempts in progress: the call may be running.
    """

    ran: Ran = Ran.NO
    tried: set[str] = attrs.field(factory=set)
    silent: frozenset[str] = frozenset()
    reached: set[str] = attrs.field(factory=set)
    fallback: CompleteAnswer | None = None
    last: AttemptFailure | None = None
    open_attempts: int = 0
    #: Monotonic times until which endpoints lack memory, by name.
    _full_until: dict[str, float] = attrs.field(factory=dict)

    def begin(self) -> None:
        """Record that an attempt starts."""
        self.open_attempts += 1

    def suspect(self, attempt: Attempt) -> None:
        """Exclude the endpoint of an open attempt that is silent."""
        if not self.spares(attempt):
            self.tried.add(attempt.endpoint)
        if attempt.arrived:
            self.reached.add(attempt.endpoint)

    def trust(self, attempt: Attempt) -> None:
        """Record that an attempt that was silent goes on."""
        self.tried.discard(attempt.endpoint)

    def drop(self, attempt: Attempt) -> None:
        """Record an attempt that was closed, as another one went on."""
        self.open_attempts -= 1
        if attempt.arrived:
            self.reached.add(attempt.endpoint)
            self.ran = Ran.YES if self.ran is Ran.YES else Ran.UNKNOWN

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
        self.open_attempts = max(0, self.open_attempts - 1)
        excluded = failure.exclude or at_fault
        if failure.is_full:
            self._full_until[primary] = monotonic() + _FULL_SECONDS
        elif excluded:
            self.tried.add(excluded)
        if failure.arrived:
            self.reached.add(primary)
        if failure.ran is not Ran.NO and self.ran is not Ran.YES:
            self.ran = failure.ran
        if failure.answer is not None:
            self.fallback = failure.answer

    @property
    def lacks_memory(self) -> bool:
        """Whether an endpoint that it was to go to lacked memory just now."""
        return bool(self._list_full())

    def excludes(self, endpoint: str) -> bool:
        """Return whether the next attempt may not go to an endpoint."""
        return endpoint in self.tried or endpoint in self.silent

    def may_answer(self, endpoint: str, max_endpoints: int) -> bool:
        """Return whether the next attempt may be sent to an endpoint."""
        full = self._list_full()
        if endpoint in full or len(full) >= _MAX_FULL:
            return False
        return endpoint in self.reached or len(self.reached) < max_endpoints

    def is_exhausted(self, max_endpoints: int) -> bool:
        """Return whether the call may be sent to no endpoint any more."""
        return len(self.reached) >= max_endpoints and self.reached <= self.tried

    def spares(self, attempt: Attempt) -> bool:
        """Return whether the endpoint of a failed attempt may be tried again.

        It was sent through a peer, which may be at fault, and there would be no
        other endpoint.
        """
        max_endpoints = attempt.call.route.max_endpoints
        return bool(attempt.via) and self.is_last_chance(
            attempt.endpoint, max_endpoints
        )

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
        if self.open_attempts and ran is Ran.NO:
            ran = Ran.UNKNOWN
        if ran is Ran.NO:
            return _promise_not_run(refusal)
        code = refusal.code
        if code.status in NOT_RUN_STATUSES:
            code = RefusalCode.ENDPOINT_FAILED
        return attrs.evolve(refusal, code=code, ran=ran, retry_after=None)

    def _list_full(self) -> list[str]:
        """List the endpoints that lack memory at present."""
        now = monotonic()
        return [name for name, until in self._full_until.items() if until > now]


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
