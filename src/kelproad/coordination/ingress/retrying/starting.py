"""Preparation of attempts: endpoints, and a permit to send there."""

import asyncio

import attrs
from returns.result import Failure, Result, Success

from ....state.calls import Call
from ....state.refusals import Refusal, Step
from ....transport.deadlines import monotonic
from ..admission.stopping import StopGuard, refuse_stopping
from ..limiting.gate import StartGate
from ..limiting.waits import choose_longest_wait
from ..placing.choosing import Chooser
from ..placing.placement import NoPlacementError, Placement
from ..quarantine.guard import PromptGuard
from ..streams.delivery import StreamDelivery
from ..streams.progress import Attempt, Progress
from .events import record_limits
from .verdicts import ANSWER_MARGIN

__all__ = ['AttemptStarter']

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
        while self.may_begin(call, delivery):
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


def _refuse_unplaced(error: NoPlacementError) -> Refusal:
    return Refusal(
        error.code,
        error.reason,
        Step.ROUTE,
        retry_after=error.retry_after,
    )
