"""The accounts of requests: in progress, decided, counted, limited."""

import attrs
from aiohttp import web
from returns.result import Result, Success

from ..protocol import callers
from ..state.counters import Counters
from ..state.refusals import Refusal, Step
from ..state.requests import Decision, DecisionLog, Request, RequestTable
from .limits import WorkspaceLimits

__all__ = ['Accounts']


@attrs.frozen
class Accounts:
    """Every request is entered once and taken out once, on every path."""

    _requests: RequestTable
    _decisions: DecisionLog
    _limits: WorkspaceLimits
    _counters: Counters

    def begin(self, request: Request) -> Decision:
        """Enter a request that is about to be worked on."""
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
        """Take a request out, and note and count how it ended."""
        self._requests.remove(request)
        self._limits.end(request)
        self._counters.in_progress.set({}, len(self._requests))
        answered = isinstance(outcome, Success)
        label = 'answered' if answered else str(outcome.failure().code)
        decision.note('ended', outcome=label)
        self._counters.requests.inc(
            {'service': request.service.name, 'outcome': label},
        )

    def note_unworked(
        self,
        request: Request,
        outcome: Result[object, Refusal],
    ) -> None:
        """Note a request whose claim ended it before any work."""
        self.end(request, self.begin(request), outcome)

    def refuse(self, refusal: Refusal, request_id: str) -> web.Response:
        """Count a refusal and build its answer."""
        self.count_refusal(refusal)
        if refusal.step is Step.ADMIT:
            # Refused before there was a request; people ask why all the same.
            decision = Decision(request_id, workspace='', service='')
            decision.note('refused', refusal=attrs.asdict(refusal))
            self._decisions.open(decision)
        return callers.answer_refusal(refusal, request_id)

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
