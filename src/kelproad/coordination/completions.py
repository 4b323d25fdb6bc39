"""Answering of completion calls by attempts at model engines.

The answer is sent as a stream of events or as one response, within the caller's
deadline, and a claim on its idempotency key is settled by the outcome.
"""

import asyncio

import attrs
from aiohttp import web
from returns.result import Failure, Result, Success

from ..protocol.callers import CompletionBody
from ..state.declarations import Delivery
from ..state.refusals import Refusal, RefusalCode
from ..state.requests import Decision, Request
from ..transport.deadlines import monotonic, within
from .accounting import RequestAccounting
from .attempts import Attempts, CallerDisconnectedError
from .claims import Claim, Claims
from .delivery import (
    BufferedDelivery,
    StreamDelivery,
    create_answer_buffers,
)
from .outcomes import refuse_disconnected, refuse_past_deadline, settle_outcome
from .reception import Arrival
from .segments import answer_in_parts
from .sending import send_bounded

__all__ = ['Completions']

#: Seconds past the deadline after which attempts are interrupted.  Normally
#: they end by themselves at the deadline, and then report whether the work ran.
_INTERRUPT_MARGIN = 0.05

#: Failures after which the same request may succeed later.
_TRANSIENT = frozenset(
    (
        RefusalCode.DEADLINE_EXCEEDED,
        RefusalCode.ENDPOINT_FAILED,
        RefusalCode.NO_CAPACITY,
    ),
)


class Completions:
    """Answers completion calls and settles their claims."""

    def __init__(
        self,
        attempts: Attempts,
        accounting: RequestAccounting,
        claims: Claims,
    ) -> None:
        """Answer by attempts, recorded in the instance's accounting."""
        self._attempts = attempts
        self._accounting = accounting
        self._claims = claims
        self._buffers = create_answer_buffers()

    async def answer(
        self,
        arrival: Arrival,
        request: Request,
        body: CompletionBody,
        claim: Claim | None = None,
    ) -> web.StreamResponse:
        """Answer a completion call as a stream or as one response.

        Parameters
        ----------
        arrival
            The call as received.
        request
            The request created from it.
        body
            The parsed body.
        claim
            The claim on its idempotency key, if it has one; the complete
            answer is then collected, so that it can be recorded.
        """
        delivery = self._create_delivery(arrival, request, body, claim)
        outcome = await self._run_attempts(arrival, request, body, delivery)
        if isinstance(outcome, Success):
            response = await send_bounded(arrival.call, delivery.finish())
            await settle_outcome(
                self._claims, claim, request, Success(response)
            )
        else:
            refusal = self._accounting.count_refusal(outcome.failure())
            await settle_outcome(self._claims, claim, request, outcome)
            response = await send_bounded(
                arrival.call,
                delivery.refuse(refusal),
            )
        return response

    def _create_delivery(
        self,
        arrival: Arrival,
        request: Request,
        body: CompletionBody,
        claim: Claim | None,
    ) -> StreamDelivery | BufferedDelivery:
        whole = request.service.delivery is Delivery.WHOLE
        parts = len(request.parts.records) if request.parts else 0
        if body.stream and claim is None and not whole:
            return StreamDelivery(
                arrival.http_request,
                request.request_id,
                parts,
            )
        return BufferedDelivery(
            body.stream,
            request.request_id,
            self._buffers,
            parts,
        )

    async def _run_attempts(
        self,
        arrival: Arrival,
        request: Request,
        body: CompletionBody,
        delivery: StreamDelivery | BufferedDelivery,
    ) -> Result[None, Refusal]:
        decision = self._accounting.begin(request)
        outcome: Result[None, Refusal] = Failure(refuse_past_deadline(request))
        if request.remaining(monotonic()) <= 0:
            # The process was paused after the claim until past the deadline.
            # The caller has given up, so the work must not begin.
            self._accounting.end(request, decision, outcome)
            return outcome
        try:
            async with within(request.deadline + _INTERRUPT_MARGIN):
                outcome = await self._dispatch(
                    arrival,
                    request,
                    body,
                    decision,
                    delivery,
                )
        except asyncio.TimeoutError:
            outcome = Failure(refuse_past_deadline(request))
        except CallerDisconnectedError:
            outcome = Failure(refuse_disconnected())
        finally:
            self._accounting.end(request, decision, outcome)
        return outcome.alt(request.complete_refusal).alt(
            lambda refusal: self._add_retry_after(request, refusal),
        )

    def _add_retry_after(self, request: Request, refusal: Refusal) -> Refusal:
        """Add a Retry-After to a refusal after a transient failure."""
        if refusal.retry_after is not None or refusal.code not in _TRANSIENT:
            return refusal
        pause = self._attempts.suggest_retry_after(request)
        return attrs.evolve(refusal, retry_after=pause)

    async def _dispatch(
        self,
        arrival: Arrival,
        request: Request,
        body: CompletionBody,
        decision: Decision,
        delivery: StreamDelivery | BufferedDelivery,
    ) -> Result[None, Refusal]:
        """Dispatch a request, in parts if its prompt is too large."""
        if request.parts is None:
            return await self._attempts.answer(
                request,
                arrival.http_request.path,
                body,
                decision,
                delivery,
            )
        return await answer_in_parts(
            self._attempts,
            request,
            body,
            decision,
            delivery,
            self._buffers,
        )
