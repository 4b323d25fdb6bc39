"""Attempts: endpoints for them, a permit to send there, their execution."""

import asyncio

import attrs
from aiohttp import web
from multidict import CIMultiDict
from returns.result import Failure, Result, Success

from ....state.calls import Call
from ....state.refusals import Ran, Refusal, Step
from ....state.work import WorkLedger
from ....transport.deadlines import monotonic
from ..admission.stopping import StopGuard, refuse_stopping
from ..limiting.gate import StartGate
from ..placing.choosing import Chooser
from ..placing.eligibility import choose_longest_wait
from ..placing.placement import AttemptAccount, NoPlacementError, Placement
from ..quarantine.guard import PromptGuard
from ..streams.answers import AttemptFailure
from ..streams.delivery import StreamDelivery
from ..streams.progress import Attempt, Progress
from ..streams.sending import Sender
from ..streams.silence import SilenceMonitor
from .events import record_limits, record_placement
from .verdicts import ANSWER_MARGIN, AttemptEvaluator

__all__ = ['AttemptRunner', 'AttemptStarter']

#: Seconds between two placement attempts of a call that waits for engines: a
#: fifth of the shortest pass.
_PLACEMENT_PERIOD = 0.01


@attrs.frozen
class AttemptStarter:
    """Finds endpoints for the next attempt of a call."""

    _chooser: Chooser
    _stop_guard: StopGuard
    _gate: StartGate
    _guard: PromptGuard

    def may_begin(self, call: Call, delivery: StreamDelivery) -> bool:
        """Return whether an answer may begin, or has begun, despite a stop."""
        return delivery.begun or self._stop_guard.may_begin_answer(call)

    async def prepare(
        self, call: Call, progress: Progress, delivery: StreamDelivery
    ) -> Result[Attempt, Refusal]:
        """Prepare an attempt, waiting for endpoints while there is time."""
        while self._may_send(call, progress, delivery):
            try:
                return Success(
                    await self.prepare_now(
                        call,
                        progress,
                        delivery,
                        choose_longest_wait(call, monotonic()),
                    )
                )
            except NoPlacementError as error:
                late = call.remaining(monotonic()) < ANSWER_MARGIN
                if late or not error.worth_waiting:
                    record_limits(call, error)
                    return Failure(_refuse_unplaced(error))
            await asyncio.sleep(_PLACEMENT_PERIOD)
        return Failure(refuse_stopping())

    async def prepare_now(
        self,
        call: Call,
        progress: Progress,
        delivery: StreamDelivery,
        longest_wait: float,
    ) -> Attempt:
        """Prepare an attempt, or fail if it can't begin now.

        ``longest_wait`` is the time in seconds for which it waits for the
        request limits of the chosen endpoints.

        Raises
        ------
        NoPlacementError
            When it can't be sent now.
        """
        self._guard.check(call)
        placement = await self._chooser.choose(call, progress)
        await self._guard.admit(call, placement.primary)
        try:
            await self._await_start(call, placement, delivery, longest_wait)
            self._guard.check(call)
        except BaseException:
            self._guard.release(call)
            raise
        return Attempt(call, placement, trial=call.trial)

    async def _await_start(
        self,
        call: Call,
        placement: Placement,
        delivery: StreamDelivery,
        longest_wait: float,
    ) -> None:
        """Wait until the limits of the chosen endpoints permit the call.

        Raises
        ------
        NoPlacementError
            When they don't in time, or when meanwhile an endpoint has become
            unusable or a stop has begun.
        """
        started_at = monotonic()
        if not await self._gate.admit(placement.endpoints, longest_wait):
            raise NoPlacementError(
                'the request limit of an endpoint is reached',
                worth_waiting=True,
            )
        may_begin = (
            monotonic() - started_at < _PLACEMENT_PERIOD
            or self.may_begin(call, delivery)
        )
        if not (may_begin and self._chooser.is_usable(placement)):
            raise NoPlacementError(
                'an endpoint was lost before the start', worth_waiting=True
            )

    def _may_send(
        self, call: Call, progress: Progress, delivery: StreamDelivery
    ) -> bool:
        """Return whether a call may be sent despite a stop.

        A plain call that may have run can't be refused as not run any more, so
        that it can only gain by another attempt.
        """
        if not call.kind.streams and progress.ran is not Ran.NO:
            return True
        return self.may_begin(call, delivery)


@attrs.frozen
class AttemptRunner:
    """Executes attempts and evaluates what they show of their endpoints."""

    _sender: Sender
    _evaluator: AttemptEvaluator
    _ledger: WorkLedger
    _gate: StartGate
    _guard: PromptGuard
    _silence_monitor: SilenceMonitor

    async def run(
        self,
        attempt: Attempt,
        delivery: StreamDelivery,
        received: CIMultiDict[str],
    ) -> Result[web.StreamResponse, AttemptFailure]:
        """Send a call to one endpoint and forward its answer."""
        call, placement = attempt.call, attempt.placement
        record_placement(attempt, self._gate.find_rate(placement.primary))
        resumed = delivery.last_number is not None
        placement.primary.own_requests += 1
        try:
            with AttemptAccount(self._ledger, call, placement) as account:
                outcome = await self._sender.send(
                    attempt, delivery, received, account
                )
        except asyncio.CancelledError:
            if self._silence_monitor.is_unheard(attempt):
                self._guard.record_unheard(attempt)
            raise
        finally:
            placement.primary.own_requests -= 1
        failure = outcome.failure() if isinstance(outcome, Failure) else None
        self._evaluator.note(attempt, failure)
        if failure is None:
            self._guard.record_answered(call, resumed)
            return outcome
        is_unheard = self._silence_monitor.is_unheard(attempt)
        if failure.is_inconclusive and is_unheard:
            self._guard.record_unheard(attempt)
        await self._guard.record_failure(attempt, failure)
        return outcome

    def finish(self, call: Call) -> None:
        """End the trial of a call that has ended, or is not sent after all."""
        self._guard.release(call)


def _refuse_unplaced(error: NoPlacementError) -> Refusal:
    return Refusal(
        error.code,
        error.reason,
        Step.ROUTE,
        retry_after=error.retry_after,
    )
