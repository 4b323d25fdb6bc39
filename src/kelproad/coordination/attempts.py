"""The attempts at answering one completion, as a single stream of events.

An attempt is dispatched and its events are relayed.  When it fails, the request
may go to another endpoint if the work may be repeated and the caller's answer
can still be completed: from the start while nothing has reached the caller,
otherwise by continuing the delivered text.
"""

import random

import attrs
from returns.result import Failure, Result, Success

from ..protocol.callers import CompletionBody
from ..protocol.engines import Attempt, EngineClient
from ..state.buffers import BufferBudget
from ..state.counters import Counters
from ..state.endpoints import Endpoint
from ..state.endpointtable import EndpointTable
from ..state.holdings import Holding
from ..state.identity import Identity
from ..state.refusals import Ran, Refusal, RefusalCode, Step
from ..state.requests import Decision, Phase, Request
from ..transport.addresses import Address
from ..transport.deadlines import monotonic
from . import routing
from .answers import Answer, CallerDisconnectedError, DeliveryError, Sink
from .ejection import record_outcome
from .reclamation import Canceller
from .relays import EventTimeouts, Relay
from .retries import Retries
from .stalling import record_stall

__all__ = ['Attempts', 'CallerDisconnectedError']

#: Maximum number of endpoints that one request is sent to.
_MAX_ATTEMPTS = 3
#: Seconds after which an attempt that ends without a token counts as stalled
#: instead of failed.
_STALL_SECONDS = 1.0
#: Bytes of events kept for continuing streams at another endpoint, per answer
#: and in total.  An answer beyond them is still delivered, but can no longer be
#: continued.
_KEPT_PER_ANSWER = 1_048_576
_KEPT_IN_TOTAL = 33_554_432
#: Failures that another endpoint can't help: the deadline has passed, the
#: request is invalid, or this process has no memory for the answer.
_FINAL_CODES = (
    RefusalCode.DEADLINE_EXCEEDED,
    RefusalCode.BAD_REQUEST,
    RefusalCode.ANSWER_TOO_LARGE,
    RefusalCode.NO_CAPACITY,
)


@attrs.define
class _Placement:
    """An attempt and the endpoint that it is sent to."""

    attempt: Attempt
    endpoint: Endpoint
    choice: routing.Choice
    first_token: bool = False

    @property
    def url(self) -> str:
        return Address.from_text(self.endpoint.declaration.address).url


class Attempts:
    """Dispatch of requests to engines, with retries at other endpoints."""

    def __init__(
        self,
        identity: Identity,
        table: EndpointTable,
        engines: EngineClient,
        canceller: Canceller,
        counters: Counters,
        generator: random.Random,
    ) -> None:
        """Dispatch to the endpoints of a table through a client."""
        self._identity = identity
        self._table = table
        self._engines = engines
        self._canceller = canceller
        self._counters = counters
        self._generator = generator
        self._retries = Retries(counters, generator)
        self._kept_budget = BufferBudget(_KEPT_IN_TOTAL, _KEPT_PER_ANSWER)

    async def answer(
        self,
        request: Request,
        path: str,
        body: CompletionBody,
        decision: Decision,
        sink: Sink,
    ) -> Result[None, Refusal]:
        """Deliver the events of the answer, the terminal one last.

        The caller of this method bounds it by the request's deadline.

        Returns
        -------
        Result
            Success after the terminal event, otherwise the reason for giving
            up and whether the request ran.

        Raises
        ------
        CallerDisconnectedError
            As the sink does.
        """
        self._retries.count_request(request)
        answer = Answer(request, path, body, sink, self._kept_budget)
        tried: frozenset[str] = frozenset()
        outcome: Result[None, Refusal] = Failure(_refuse_without_attempts())
        while len(tried) < _MAX_ATTEMPTS:
            placed = self._place(answer, tried, decision)
            if isinstance(placed, Failure):
                refused = attrs.asdict(placed.failure())
                decision.note('not routed', refusal=refused)
                # Without another endpoint, report the last attempt's refusal.
                return outcome if tried else placed
            placement = placed.unwrap()
            tried |= {placement.endpoint.name}
            answer.has_alternative = self._has_alternative(answer, tried)
            outcome = await self._attempt(answer, placement)
            if isinstance(outcome, Success):
                return outcome
            refusal = outcome.failure()
            request.record_ran(refusal.ran)
            decision.note('attempt failed', refusal=attrs.asdict(refusal))
            if not (_may_repeat(request, refusal) and answer.prepare_next()):
                return outcome
            if not await self._retries.permit(request, decision):
                return outcome
        return outcome

    def suggest_retry_after(self, request: Request) -> float:
        """Return the seconds after which a repeated request may succeed.

        This is the present wait of prompts of that length.  Without a queue a
        minimum applies, within which news of a failed endpoint spreads.
        """
        now = monotonic()
        contention = self._table.measure_contention(request.prompt_tokens, now)
        return max(routing.MINIMUM_RETRY_AFTER, contention.seconds)

    def _place(
        self,
        answer: Answer,
        tried: frozenset[str],
        decision: Decision,
    ) -> Result[_Placement, Refusal]:
        request = answer.request
        choice = routing.choose_endpoint(
            request,
            self._table,
            self._identity.zone,
            monotonic(),
            self._generator,
            tried | self._list_without_continuation(answer),
        )
        if isinstance(choice, Failure):
            return choice
        chosen = choice.unwrap()
        decision.note(
            'routed',
            **chosen.describe(),
            **_describe_continuation(answer),
        )
        attempt = Attempt(
            attempt_id=request.next_attempt_id(),
            owner=self._identity.owner,
            priority=routing.choose_priority(request),
            deadline=request.deadline,
        )
        return Success(
            _Placement(attempt, chosen.endpoint, chosen),
        )

    def _has_alternative(
        self,
        answer: Answer,
        tried: frozenset[str],
    ) -> bool:
        """Return whether another attempt could follow the present one.

        A silent engine is abandoned for another one.  When the retry budget is
        exhausted, that would end a request which might yet be answered here.
        """
        request = answer.request
        if len(tried) >= _MAX_ATTEMPTS or not request.repeatable:
            return False
        if not self._retries.affords(request):
            return False
        return routing.has_usable_endpoint(
            request,
            self._table,
            self._identity.zone,
            monotonic(),
            self._generator,
            tried | self._list_without_continuation(answer),
        )

    def _list_without_continuation(self, answer: Answer) -> frozenset[str]:
        """List the endpoints that cannot continue a partly delivered answer."""
        if answer.continuation is None:
            return frozenset()
        return frozenset(
            name
            for name, endpoint in self._table.all().items()
            if not endpoint.group.honours_continuation
        )

    async def _attempt(
        self,
        answer: Answer,
        placement: _Placement,
    ) -> Result[None, Refusal]:
        request, endpoint = answer.request, placement.endpoint
        endpoint.begin_prefill(request.prompt_tokens, monotonic())
        self._table.record_sent(request.prompt_tokens)
        endpoint.own_requests += 1
        request.phase = Phase.DISPATCHED
        relay = self._create_relay(answer, placement)
        outcome: Result[None, Refusal] | None = None
        try:
            outcome = await relay.run()
        except DeliveryError as error:
            outcome = Failure(error.refusal)
        finally:
            # Also when the caller disconnected or the deadline passed, which
            # end the relay by an exception.
            self._end_attempt(request, placement, relay, outcome)
        return outcome

    def _create_relay(self, answer: Answer, placement: _Placement) -> Relay:
        request = answer.request
        attempt = placement.attempt
        self._canceller.hold(
            Holding(
                placement.url,
                attempt.attempt_id,
                attempt.owner,
                attempt.deadline,
            ),
        )
        return Relay(
            self._engines,
            self._counters,
            placement.url,
            attempt,
            answer,
            EventTimeouts.from_prediction(
                placement.choice.predicted,
                request.remaining(monotonic()),
            ),
            lambda: self._record_first_token(request, placement),
        )

    def _end_attempt(
        self,
        request: Request,
        placement: _Placement,
        relay: Relay,
        outcome: Result[None, Refusal] | None,
    ) -> None:
        """Update the endpoint's counts after an attempt, however it ended."""
        endpoint = placement.endpoint
        endpoint.own_requests -= 1
        if not placement.first_token:
            endpoint.end_prefill(request.prompt_tokens)
        label = _label_outcome(outcome)
        if outcome is not None:
            self._record_outcome(request, placement, outcome)
        attempt_id = placement.attempt.attempt_id
        if relay.finished or _never_ran(outcome):
            self._canceller.drop(attempt_id)
        else:
            # The engine may still hold the stream's memory, and no other
            # instance knows of the attempt yet.
            self._canceller.cancel(attempt_id, label)
        self._counters.attempts.inc(
            {'group': endpoint.group.name, 'outcome': label},
        )
        sequence = relay.sequence
        dropped = self._counters.events_dropped
        dropped.add({'reason': 'crossed'}, sequence.crossed)
        dropped.add({'reason': 'repeated'}, sequence.repeated)

    def _record_outcome(
        self,
        request: Request,
        placement: _Placement,
        outcome: Result[None, Refusal],
    ) -> None:
        """Record how the attempt ended as a success, failure or stall."""
        now = monotonic()
        choice = placement.choice
        refusal = outcome.swap().value_or(None)
        stalled = now - choice.chosen_at > _STALL_SECONDS
        if refusal is not None and refusal.pause:
            # It turned the attempt away for a time, and has not failed.
            placement.endpoint.withdrawal.pause(now + refusal.pause)
        elif refusal is None or placement.first_token or not stalled:
            endpoint = placement.endpoint
            counters = self._counters
            record_outcome(self._table, endpoint, refusal, now, counters)
        elif refusal.code is RefusalCode.ENDPOINT_FAILED:
            tokens = request.prompt_tokens
            record_stall(self._table, choice, tokens, now, self._counters)

    def _record_first_token(
        self,
        request: Request,
        placement: _Placement,
    ) -> None:
        if placement.first_token:
            return
        placement.first_token = True
        routing.record_first_token(
            self._table,
            placement.choice,
            request,
            monotonic(),
        )
        request.phase = Phase.ANSWERING


def _describe_continuation(answer: Answer) -> dict[str, object]:
    if answer.continuation is None:
        return {}
    return {'continues_bytes': answer.continuation.size}


def _label_outcome(outcome: Result[None, Refusal] | None) -> str:
    if outcome is None:
        return 'abandoned'
    return 'complete' if isinstance(outcome, Success) else 'failed'


def _never_ran(outcome: Result[None, Refusal] | None) -> bool:
    return isinstance(outcome, Failure) and outcome.failure().ran is Ran.NO


def _may_repeat(request: Request, refusal: Refusal) -> bool:
    """Return whether the request may be sent to another endpoint.

    Work that may have run is repeated only if it is idempotent.
    """
    if refusal.code in _FINAL_CODES:
        return False
    if request.remaining(monotonic()) <= 0:
        return False
    return refusal.ran is Ran.NO or request.repeatable


def _refuse_without_attempts() -> Refusal:
    return Refusal(
        RefusalCode.NO_CAPACITY,
        'no attempt is left',
        Step.ROUTE,
        retry_after=routing.MINIMUM_RETRY_AFTER,
    )
