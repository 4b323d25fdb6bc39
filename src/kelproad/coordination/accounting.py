"""Accounting of requests: in progress, limits, decision log, counters."""

import attrs
from aiohttp import web
from returns.result import Result, Success

from ..protocol import callers
from ..state.counters import Counters
from ..state.refusals import Refusal, Step
from ..state.requests import Decision, DecisionLog, Request, RequestTable
from .limits import WorkspaceLimits

__all__ = ['RequestAccounting']


@attrs.frozen
class RequestAccounting:
    """Records every request once when it begins and once when it ends."""

    _requests: RequestTable
    _decisions: DecisionLog
    _limits: WorkspaceLimits
    _counters: Counters

    def begin(self, request: Request) -> Decision:
        """Record a request whose work is about to begin."""
        decision = Decision.from_request(request)
        self._decisions.open(decision)
        self._requests.add(request)
        self._limits.begin(request)
        self._counters.in_progress.set({}, len(self._requests))
        return decision

    def end(
        self,
        request: Request,
        decision: Decision,
        outcome: Result[object, Refusal],
    ) -> None:
        """Remove a request, and record its outcome in log and counters."""
        self._requests.remove(request)
        self._limits.end(request)
        self._counters.in_progress.set({}, len(self._requests))
        answered = isinstance(outcome, Success)
        label = 'answered' if answered else str(outcome.failure().code)
        decision.note('ended', outcome=label)
        self._counters.requests.inc(
            {'service': request.service.name, 'outcome': label},
        )

    def record_unstarted(
        self,
        request: Request,
        outcome: Result[object, Refusal],
    ) -> None:
        """Record a request that ended at its claim, before any work."""
        self.end(request, self.begin(request), outcome)

    def refuse(self, refusal: Refusal, request_id: str) -> web.Response:
        """Count a refusal and build its response."""
        self.count_refusal(refusal)
        if refusal.step is Step.ADMIT:
            # There is no request yet, but operators query its decision too.
            decision = Decision(request_id, workspace='', service='')
            decision.note('refused', refusal=attrs.asdict(refusal))
            self._decisions.open(decision)
        return callers.build_refusal_response(refusal, request_id)

    def count_refusal(self, refusal: Refusal) -> Refusal:
        """Count a refusal and return it."""
        self._counters.refusals.inc(
            {
                'step': str(refusal.step),
                'code': str(refusal.code),
                'ran': str(refusal.ran),
            },
        )
        return refusal
