"""Execution of one attempt, with its work counted and its end evaluated."""

import attrs
from aiohttp import web
from multidict import CIMultiDict
from returns.result import Failure, Result

from ....state.calls import Call
from ....state.work import WorkLedger
from ..limiting.gate import StartGate
from ..quarantine.guard import PromptGuard
from ..streams.accounting import AttemptAccount
from ..streams.answers import AttemptFailure
from ..streams.delivery import StreamDelivery
from ..streams.progress import Attempt
from ..streams.sending import Sender
from .events import record_placement
from .verdicts import AttemptEvaluator

__all__ = ['AttemptRunner']


@attrs.frozen
class AttemptRunner:
    """Executes attempts and evaluates what they show of their endpoints."""

    _sender: Sender
    _evaluator: AttemptEvaluator
    _ledger: WorkLedger
    _gate: StartGate
    _guard: PromptGuard

    async def run(
        self,
        attempt: Attempt,
        delivery: StreamDelivery,
        received: CIMultiDict[str],
    ) -> Result[web.StreamResponse, AttemptFailure]:
        """Send a call to one endpoint and forward its answer."""
        call, placement = attempt.call, attempt.placement
        record_placement(attempt, self._gate.find_rate(placement.primary))
        placement.primary.own_requests += 1
        try:
            with AttemptAccount(self._ledger, call, placement) as account:
                outcome = await self._sender.send(
                    attempt, delivery, received, account
                )
        finally:
            placement.primary.own_requests -= 1
        failure = outcome.failure() if isinstance(outcome, Failure) else None
        self._evaluator.note(attempt, failure)
        if failure is None:
            self._guard.release(call)
        else:
            await self._guard.record_failure(attempt, failure)
        return outcome

    def finish(self, call: Call) -> None:
        """End the trial of a call that has ended, or is not sent after all."""
        self._guard.release(call)
