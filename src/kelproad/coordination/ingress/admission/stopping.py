"""Admission of calls while an instance stops.

Callers keep using open connections until the process has exited, and when too
few other instances remain in a zone, a balancer sends everything to stopping
ones.  A call that the kill would cut off is better refused at once: it has not
run, and another instance answers it within its objective.
"""

import contextlib
import logging
import math
from collections.abc import Callable

from ....state.calls import Call, CallHead
from ....state.engines import EngineProfile
from ....state.records import record
from ....state.refusals import Refusal, RefusalCode, Step
from ....state.routes import Route
from ....transport.deadlines import monotonic
from ...drain import Drain, StopTimes

__all__ = [
    'ELSEWHERE_RETRY',
    'StopGuard',
    'plan_stop',
    'predict_seconds',
    'refuse_stopping',
]

_logger = logging.getLogger(__name__)
#: Seconds for which a stopping instance accepts what a balancer still sends,
#: and the largest share of the time until the kill for that.  The balancer
#: checks once a second and needs two failed checks.  Calls sent up to 3 s after
#: SIGTERM may be cut at the end; 0.2 s of them are for noticing SIGTERM here
#: and the network delay of a call.
_BALANCER_LAG_SECONDS = 2.8
_BALANCER_LAG_SHARE = 0.4
#: Seconds before the kill at which a stopping instance aborts the calls in
#: progress, for answering them, releasing memory and closing.
_STOP_MARGIN = 0.9
#: Largest share of the time until the kill for that: less than the last sixth,
#: before which calls in progress must not be cut.
_STOP_MARGIN_SHARE = 0.14
#: Seconds of one pass (iteration of an engine's batch), a high estimate.
_PASS_SECONDS = 0.07
#: Factor by which an answer may exceed the caller's estimate of its length; few
#: are longer.
_HINT_ERROR_FACTOR = 2.3
#: Factor on the objective for the duration of a call to a plain service: the
#: slowest in a hundred takes five times the mean, which is a sixth of the
#: objective.
_PLAIN_OBJECTIVE_FACTOR = 2.0
#: Factor by which an answer may take longer than the slowest of its route.
_SLOWEST_FACTOR = 1.5
#: Seconds of a span; answers of the present and the last one count.
_SPAN_SECONDS = 30.0
#: Seconds after which a caller should retry at another instance: at once, but
#: not before this answer has reached it.
ELSEWHERE_RETRY = 0.02


class SlowestAnswers:
    """The longest time that an answer on each route took lately."""

    def __init__(self) -> None:
        """Start without any answer."""
        #: Longest seconds by route, in the present span and the one before.
        self._present: dict[str, float] = {}
        self._last: dict[str, float] = {}
        self._ends_at = monotonic() + _SPAN_SECONDS

    def observe(self, route: str, seconds: float) -> None:
        """Record how many seconds an answer took."""
        self._move_on()
        self._present[route] = max(seconds, self._present.get(route, 0))

    def find(self, route: str) -> float:
        """Return the longest seconds of a route, 0 if none is known."""
        self._move_on()
        return max(self._present.get(route, 0), self._last.get(route, 0))

    def _move_on(self) -> None:
        now = monotonic()
        if now < self._ends_at:
            return
        is_recent = now < self._ends_at + _SPAN_SECONDS
        self._last = self._present if is_recent else {}
        self._present = {}
        self._ends_at = now + _SPAN_SECONDS


class StopGuard:
    """Decides which calls to accept in the time that a stop leaves.

    Calls that arrive while a balancer can't know of the stop yet are evaluated
    by their probable duration: nearly all of them finish, while evaluating them
    by the longest answer permitted made two in a hundred callers retry
    elsewhere on days with stops.

    Streams that arrive later are evaluated by their deadline.  A stream that
    has begun can't be refused any more, and its duration depends on its engine:
    one that was expected to take 1.1 s took 4.5 s on a slow engine, and was cut
    3.8 s after it arrived.  By its deadline every stream has ended, so none
    that is accepted can be cut.  Answers that are not streamed are evaluated by
    their probable duration, as most are short, however long callers would wait;
    but by no less than what the slowest ones took lately.
    """

    def __init__(self, drain: Drain) -> None:
        """Evaluate calls by the phases and times of one planned stop."""
        self._drain = drain
        self._slowest = SlowestAnswers()

    def observe_answer(self, route: Route, seconds: float) -> None:
        """Record how long a call to a route took from its dispatch on.

        The time before that is its caller's, whose body may arrive slowly.
        """
        if not route.kind.streams:
            self._slowest.observe(route.name, seconds)

    def permits(
        self,
        head: CallHead,
        route: Route,
        profile: EngineProfile | None,
        deadline: float,
    ) -> bool:
        """Return whether a call that has just arrived may be accepted.

        Parameters
        ----------
        head
            The call, with the longest answer that it permits.
        route
            Its route.
        profile
            Speeds of the engines that answer it, ``None`` for a plain service.
        deadline
            Monotonic time at which its answer must have ended, in seconds.
        """
        left = self._drain.seconds_until_end()
        if math.isinf(left):
            return True
        has_grace_ended = self._drain.has_grace_ended
        needed = predict_seconds(head, route, profile)
        if has_grace_ended:
            needed = self._bound_late(route, needed, deadline - monotonic())
        record(
            _logger,
            'weighed_while_stopping',
            request=head.request_id,
            route=route.name,
            late=has_grace_ended,
            needed=round(needed, 3),
            left=round(left, 3),
            taken=needed <= left,
        )
        return needed <= left

    def may_begin_answer(self, call: Call) -> bool:
        """Return whether the answer to an accepted call may still begin.

        A call that was accepted early in a stop may be sent late in it: it
        waited for an engine, its body arrived slowly, or an endpoint did not
        respond.  It would be cut like a late call.
        """
        if not self._drain.has_grace_ended:
            return True
        needed = self._bound_late(call.route, 0, call.remaining(monotonic()))
        return needed <= self._drain.seconds_until_end()

    def until_end(
        self,
    ) -> contextlib.AbstractAsyncContextManager[Callable[[], None]]:
        """Run a call until it is done, or the stop has ended.

        Yields a function to be called before the end of its answer is written.

        Raises
        ------
        StopEndedError
            When the stop has ended.
        """
        return self._drain.until_end()

    def _bound_late(self, route: Route, predicted: float, left: float) -> float:
        """Return the seconds that a late call may take to its end.

        ``predicted`` are those that it probably takes, ``left`` those until its
        deadline.
        """
        if route.kind.streams:
            return left
        slowest = self._slowest.find(route.name) * _SLOWEST_FACTOR
        return max(predicted, min(slowest, left))


def plan_stop(kill_after: float) -> StopTimes:
    """Plan the phases of a stop, given the seconds until the kill."""
    grace = min(_BALANCER_LAG_SECONDS, kill_after * _BALANCER_LAG_SHARE)
    margin = min(_STOP_MARGIN, kill_after * _STOP_MARGIN_SHARE)
    return StopTimes(grace, kill_after - grace - margin, margin)


def refuse_stopping() -> Refusal:
    """Build the refusal of a call that the end of a stop would cut."""
    return Refusal(
        RefusalCode.NOT_READY,
        'the instance stops before the answer would be complete',
        Step.RECEIVE,
        retry_after=ELSEWHERE_RETRY,
    )


def predict_seconds(
    head: CallHead,
    route: Route,
    profile: EngineProfile | None,
) -> float:
    """Predict how many seconds a call takes to its end, a high estimate.

    Parameters
    ----------
    head
        The call, with the longest answer that it permits.
    route
        Its route.
    profile
        Speeds of the engines that answer it, ``None`` for a plain service.
    """
    if profile is None:
        return route.objective * _PLAIN_OBJECTIVE_FACTOR
    tokens = head.answer_tokens
    if head.answer_hint:
        tokens = min(tokens, head.answer_hint * _HINT_ERROR_FACTOR)
    return route.objective + tokens / profile.stride * _PASS_SECONDS
