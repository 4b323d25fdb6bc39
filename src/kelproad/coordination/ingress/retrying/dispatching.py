"""Dispatch of calls: choose endpoints, send, forward the answer, retry.

A call that may run only once is sent once, unless the endpoint states that it
did not run it or no connection was made.  A repeatable call goes to another
endpoint when one fails, within the retry budget; a stream is resumed after the
last event that the caller has received.
"""

import asyncio

import attrs
from aiohttp import web
from multidict import CIMultiDict
from returns.result import Failure, Result, Success

from ....state.calls import Call, CallEnd
from ....state.counters import Counters
from ....state.refusals import Refusal, Step
from ....state.work import WorkLedger
from ....transport.deadlines import monotonic
from ...drain import StopEndedError
from ..admission.stopping import StopGuard, refuse_stopping
from ..limiting.gate import StartGate
from ..limiting.waits import choose_longest_wait
from ..placing.choosing import Chooser
from ..placing.placement import NoPlacementError, Placement
from ..quarantine.guard import PromptGuard
from ..streams.accounting import AttemptAccount
from ..streams.answers import AttemptFailure
from ..streams.delivery import StreamDelivery
from ..streams.progress import Progress
from ..streams.sending import Sender
from .events import (
    record_broken_off,
    record_limits,
    record_placement,
    record_stream,
)
from .retries import RetryBudgets
from .verdicts import ANSWER_MARGIN, AttemptEvaluator, find_faulty_endpoint

__all__ = ['Dispatcher']

#: Seconds between two placement attempts of a call that waits for engines: a
#: fifth of the shortest pass.
_PLACEMENT_PERIOD = 0.01


class Dispatcher:
    """Dispatches calls to endpoints and forwards their answers."""

    def __init__(
        self,
        chooser: Chooser,
        sender: Sender,
        evaluator: AttemptEvaluator,
        retry_budgets: RetryBudgets,
        ledger: WorkLedger,
        stop_guard: StopGuard,
        gate: StartGate,
        guard: PromptGuard,
        counters: Counters,
    ) -> None:
        """Combine the choice, the sending and the evaluation of attempts."""
        self._chooser = chooser
        self._sender = sender
        self._evaluator = evaluator
        self._retry_budgets = retry_budgets
        self._ledger = ledger
        self._stop_guard = stop_guard
        self._gate = gate
        self._guard = guard
        self._counters = counters

    async def answer(
        self,
        call: Call,
        http_request: web.BaseRequest,
    ) -> Result[web.StreamResponse, Refusal]:
        """Dispatch a call, within its deadline and before a stop ends.

        Raises
        ------
        CallerDisconnectedError
            When the caller has disconnected.
        """
        self._retry_budgets.count_call(call.service, monotonic())
        progress = Progress()
        delivery = StreamDelivery(http_request, call)
        try:
            async with self._stop_guard.until_end():
                return await self._send_with_retries(
                    call, progress, delivery, http_request
                )
        except StopEndedError:
            return _give_up(
                call,
                progress,
                delivery,
                refuse_stopping(),
                CallEnd.ABORTED_BY_STOP,
            )

    async def _send_with_retries(
        self,
        call: Call,
        progress: Progress,
        delivery: StreamDelivery,
        http_request: web.BaseRequest,
    ) -> Result[web.StreamResponse, Refusal]:
        """Send a call to one endpoint after another while it may be retried."""
        while True:
            placed = await self._place(call, progress, delivery)
            if isinstance(placed, Failure):
                return self._refuse(call, progress, delivery, placed.failure())
            outcome = await self._attempt(
                call,
                placed.unwrap(),
                progress,
                delivery,
                http_request.headers,
            )
            if not isinstance(outcome, Failure):
                record_stream(call, placed.unwrap(), delivery, self._counters)
                return outcome
            _record_failure(call, progress, placed.unwrap(), outcome.failure())
            stop = self._evaluator.check_retry(call, progress)
            if stop is not None:
                return self._refuse(call, progress, delivery, stop)
            if delivery.begun:
                self._counters.streams_resumed.inc({'way': 'endpoint'})

    def _refuse(
        self,
        call: Call,
        progress: Progress,
        delivery: StreamDelivery,
        refusal: Refusal,
    ) -> Result[web.StreamResponse, Refusal]:
        """End a call without an answer, and say when to come back."""
        retry_after = refusal.retry_after
        if retry_after is None:
            retry_after = self._chooser.choose_return(call)
        refusal = attrs.evolve(refusal, retry_after=retry_after)
        return _give_up(call, progress, delivery, refusal)

    async def _place(
        self,
        call: Call,
        progress: Progress,
        delivery: StreamDelivery,
    ) -> Result[Placement, Refusal]:
        """Choose endpoints, waiting for free ones while there is time."""
        while delivery.begun or self._stop_guard.may_begin_answer(call):
            try:
                return Success(await self._place_now(call, progress, delivery))
            except NoPlacementError as error:
                late = call.remaining(monotonic()) < ANSWER_MARGIN
                if late or not error.worth_waiting:
                    record_limits(call, error)
                    return Failure(_refuse_unplaced(error))
            await asyncio.sleep(_PLACEMENT_PERIOD)
        return Failure(refuse_stopping())

    async def _place_now(
        self,
        call: Call,
        progress: Progress,
        delivery: StreamDelivery,
    ) -> Placement:
        """Choose endpoints, and get what the call needs to be sent there.

        Raises
        ------
        NoPlacementError
            When it can't be sent now.
        """
        self._guard.check(call)
        placement = await self._chooser.choose(call, progress)
        await self._guard.admit(call, placement.primary)
        try:
            await self._await_start(call, placement, delivery)
            self._guard.check(call)
        except BaseException:
            self._guard.release(call)
            raise
        return placement

    async def _await_start(
        self,
        call: Call,
        placement: Placement,
        delivery: StreamDelivery,
    ) -> None:
        """Wait until the limits of the chosen endpoints permit the call.

        Raises
        ------
        NoPlacementError
            When they don't in time, or when meanwhile an endpoint has become
            unusable or a stop has begun.
        """
        started_at = monotonic()
        longest_wait = choose_longest_wait(call, started_at)
        if not await self._gate.admit(placement.endpoints, longest_wait):
            raise NoPlacementError(
                'the request limit of an endpoint is reached',
                worth_waiting=True,
            )
        may_begin = (
            monotonic() - started_at < _PLACEMENT_PERIOD
            or delivery.begun
            or self._stop_guard.may_begin_answer(call)
        )
        if not (may_begin and self._chooser.is_usable(placement)):
            raise NoPlacementError(
                'an endpoint was lost before the start', worth_waiting=True
            )

    async def _attempt(
        self,
        call: Call,
        placement: Placement,
        progress: Progress,
        delivery: StreamDelivery,
        received: CIMultiDict[str],
    ) -> Result[web.StreamResponse, AttemptFailure]:
        """Send a call to one endpoint and forward its answer."""
        endpoint = placement.primary
        progress.begin()
        call.attempts += 1
        record_placement(call, placement, self._gate.find_rate(endpoint))
        endpoint.own_requests += 1
        sent_at = monotonic()
        try:
            with AttemptAccount(self._ledger, call, placement) as account:
                outcome = await self._sender.send(
                    call,
                    placement,
                    delivery,
                    received,
                    account,
                )
        except BaseException:
            self._guard.release(call)
            raise
        finally:
            endpoint.own_requests -= 1
        failure = outcome.failure() if isinstance(outcome, Failure) else None
        self._evaluator.note(call, placement, failure)
        if failure is None:
            self._guard.release(call)
        else:
            await self._guard.record_failure(call, endpoint, failure, sent_at)
        return outcome


def _give_up(
    call: Call,
    progress: Progress,
    delivery: StreamDelivery,
    refusal: Refusal,
    end: CallEnd = CallEnd.TRUNCATED,
) -> Result[web.StreamResponse, Refusal]:
    """End a call that got no complete answer.

    A stream that has begun is aborted, with ``end`` recorded.  Otherwise the
    caller gets an endpoint's error if it may be forwarded, or the refusal.
    """
    if delivery.begun:
        call.end = end
        record_broken_off(call, progress, delivery, refusal.message)
        return Success(delivery.abort())
    if progress.may_forward_error(call):
        return Success(progress.fallback.build_response())
    return Failure(progress.complete(refusal))


def _record_failure(
    call: Call,
    progress: Progress,
    placement: Placement,
    failure: AttemptFailure,
) -> None:
    at_fault = find_faulty_endpoint(placement, failure)
    is_tunnel_broken = call.via and failure.arrived and not failure.answered
    if is_tunnel_broken and progress.is_last_chance(
        placement.primary.name, call.route.max_endpoints
    ):
        # The endpoint behind the tunnel may well be sound.
        progress.note(failure, placement.primary.name, '')
        return
    progress.note(failure, placement.primary.name, at_fault.name)


def _refuse_unplaced(error: NoPlacementError) -> Refusal:
    return Refusal(
        error.code,
        error.reason,
        Step.ROUTE,
        retry_after=error.retry_after,
    )
