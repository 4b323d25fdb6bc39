"""The attempts at answering one completion, as a single stream of events.

An attempt is dispatched, its events are checked, a broken connection is taken
up again on the same engine, and only work that may be repeated moves to
another endpoint, before anything reached the caller.
"""

import random
from collections.abc import Awaitable, Callable

import aiohttp
import attrs
from returns.result import Failure, Result, Success

from ..protocol.engines import Attempt, EngineClient, EngineStream
from ..protocol.events import Event, EventSequence, SequenceError
from ..state.counters import Counters
from ..state.endpoints import Endpoint, EndpointTable
from ..state.identity import Identity
from ..state.refusals import Ran, Refusal, RefusalCode, Step
from ..state.requests import Decision, Phase, Request
from ..transport.addresses import Address
from ..transport.deadlines import monotonic
from . import routing
from .ejection import note_outcome
from .reclamation import Canceller
from .retries import Retries

__all__ = ['Attempts', 'CallerGoneError', 'Deliver']

_MAX_ATTEMPTS = 3
_MAX_RESUMES = 3
#: Refusals that another endpoint would only repeat, or come too late for.
_FINAL_CODES = frozenset(
    (RefusalCode.DEADLINE_EXCEEDED, RefusalCode.BAD_REQUEST),
)

#: Passes checked events on to the caller, in order, as they arrive.
Deliver = Callable[[list[Event]], Awaitable[None]]


class CallerGoneError(Exception):
    """The caller closed its connection; nobody waits for the answer."""


@attrs.define
class _Placement:
    """An attempt and the endpoint it was sent to."""

    attempt: Attempt
    endpoint: Endpoint
    sequence: EventSequence
    deliver: Deliver
    choice: routing.Choice
    finished: bool = False
    first_token: bool = False

    @property
    def url(self) -> str:
        return Address.from_text(self.endpoint.declaration.address).url


class Attempts:
    """Turns requests into streams of checked events."""

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

    async def answer(
        self,
        request: Request,
        path: str,
        body: bytes,
        decision: Decision,
        deliver: Deliver,
    ) -> Result[None, Refusal]:
        """Deliver the events of the answer, the terminal one last.

        The caller of this method bounds it by the request's deadline.

        Returns
        -------
        Result
            Success after the terminal event, else why the request is given
            up and whether it ran.

        Raises
        ------
        CallerGoneError
            As ``deliver`` does.
        """
        self._retries.count_request(request)
        tried: frozenset[str] = frozenset()
        outcome: Result[None, Refusal] = Failure(_no_attempt_left())
        while len(tried) < _MAX_ATTEMPTS:
            placed = self._place(request, tried, decision, deliver)
            if isinstance(placed, Failure):
                refused = attrs.asdict(placed.failure())
                decision.note('not routed', refusal=refused)
                # Without another endpoint, the last attempt's refusal stands.
                return outcome if tried else placed
            placement = placed.unwrap()
            tried |= {placement.endpoint.name}
            outcome = await self._attempt(request, placement, path, body)
            if isinstance(outcome, Success):
                return outcome
            refusal = outcome.failure()
            request.note_ran(refusal.ran)
            decision.note('attempt failed', refusal=attrs.asdict(refusal))
            if not _may_repeat(request, placement, refusal):
                return outcome
            if not await self._retries.permit(request, decision):
                return outcome
        return outcome

    def _place(
        self,
        request: Request,
        tried: frozenset[str],
        decision: Decision,
        deliver: Deliver,
    ) -> Result[_Placement, Refusal]:
        choice = routing.choose_endpoint(
            request,
            self._table,
            self._identity.zone,
            monotonic(),
            self._generator,
            tried,
        )
        if isinstance(choice, Failure):
            return choice
        chosen = choice.unwrap()
        decision.note(
            'routed',
            **chosen.describe(),
        )
        attempt = Attempt(
            attempt_id=request.next_attempt_id(),
            owner=self._identity.owner,
            priority=routing.choose_priority(request),
            deadline=request.deadline,
        )
        sequence = EventSequence(attempt.attempt_id)
        return Success(
            _Placement(attempt, chosen.endpoint, sequence, deliver, chosen),
        )

    async def _attempt(
        self,
        request: Request,
        placement: _Placement,
        path: str,
        body: bytes,
    ) -> Result[None, Refusal]:
        endpoint = placement.endpoint
        endpoint.begin_prefill(request.prompt_tokens, monotonic())
        self._table.note_sent(request.prompt_tokens)
        endpoint.own_requests += 1
        request.phase = Phase.DISPATCHED
        outcome: Result[None, Refusal] | None = None
        try:
            outcome = await self._relay(request, placement, path, body)
        finally:
            # Also when the caller left or the deadline passed, which end the
            # relay by an exception.
            self._settle(request, placement, outcome)
        return outcome

    def _settle(
        self,
        request: Request,
        placement: _Placement,
        outcome: Result[None, Refusal] | None,
    ) -> None:
        """Take an ended attempt out of the accounts, on every path."""
        endpoint = placement.endpoint
        endpoint.own_requests -= 1
        if not placement.first_token:
            endpoint.end_prefill(request.prompt_tokens)
        label = _label_outcome(outcome)
        if outcome is not None:
            refusal = outcome.swap().value_or(None)
            now = monotonic()
            counters = self._counters
            note_outcome(self._table, endpoint, refusal, now, counters)
        if not (placement.finished or _never_ran(outcome)):
            # The engine may hold the stream's memory, and nobody else knows
            # of it yet.
            self._canceller.cancel(
                placement.url,
                placement.attempt.attempt_id,
                label,
            )
        self._counters.attempts.inc(
            {'group': endpoint.group.name, 'outcome': label},
        )
        sequence = placement.sequence
        dropped = self._counters.events_dropped
        dropped.add({'reason': 'crossed'}, sequence.crossed)
        dropped.add({'reason': 'repeated'}, sequence.repeated)

    async def _relay(
        self,
        request: Request,
        placement: _Placement,
        path: str,
        body: bytes,
    ) -> Result[None, Refusal]:
        """Dispatch, and read on where the stream broke until it is whole."""
        opened = await self._engines.open_stream(
            placement.url,
            path,
            placement.attempt,
            body,
        )
        for _ in range(_MAX_RESUMES):
            if isinstance(opened, Failure):
                return opened
            await self._read(request, placement, opened.unwrap())
            if placement.finished:
                return Success(None)
            opened = await self._resume(placement)
        return Failure(_refuse_broken(placement))

    async def _resume(
        self,
        placement: _Placement,
    ) -> Result[EngineStream, Refusal]:
        placement.sequence.restart()
        resumed = await self._engines.resume_stream(
            placement.url,
            placement.attempt,
            placement.sequence.next_number,
        )
        if isinstance(resumed, Success):
            self._counters.streams_resumed.inc({'way': 'same engine'})
            return resumed
        # The dispatch was accepted, so whatever the engine says of this try,
        # the request may have run.
        return Failure(_refuse_broken(placement))

    async def _read(
        self,
        request: Request,
        placement: _Placement,
        stream: EngineStream,
    ) -> None:
        """Deliver checked events until the terminal one or a break."""
        try:
            async for received in stream.read():
                events = placement.sequence.feed(received)
                if not events:
                    continue
                self._note_first_token(request, placement)
                placement.finished = events[-1].terminal
                await placement.deliver(events)
                if placement.finished:
                    return
        except SequenceError:
            self._counters.events_dropped.inc({'reason': 'gap'})
        except (aiohttp.ClientError, OSError):
            self._counters.events_dropped.inc({'reason': 'broken'})
        finally:
            stream.close()

    def _note_first_token(
        self,
        request: Request,
        placement: _Placement,
    ) -> None:
        if placement.first_token:
            return
        placement.first_token = True
        routing.note_first_token(
            self._table,
            placement.choice,
            request,
            monotonic(),
        )
        request.phase = Phase.ANSWERING


def _label_outcome(outcome: Result[None, Refusal] | None) -> str:
    if outcome is None:
        return 'abandoned'
    return 'complete' if isinstance(outcome, Success) else 'failed'


def _never_ran(outcome: Result[None, Refusal] | None) -> bool:
    return isinstance(outcome, Failure) and outcome.failure().ran is Ran.NO


def _may_repeat(
    request: Request,
    placement: _Placement,
    refusal: Refusal,
) -> bool:
    """Tell whether another endpoint may be given the request.

    Once a token was passed on, another attempt would answer from the start;
    work that may have run is repeated only if it is idempotent.
    """
    if placement.first_token or refusal.code in _FINAL_CODES:
        return False
    if request.remaining(monotonic()) <= 0:
        return False
    return refusal.ran is Ran.NO or request.repeatable


def _refuse_broken(placement: _Placement) -> Refusal:
    return Refusal(
        RefusalCode.ENDPOINT_FAILED,
        'the engine broke off its answer',
        Step.RELAY,
        peer=placement.endpoint.name,
        ran=Ran.UNKNOWN,
        retry_after=routing.MINIMUM_RETRY_AFTER,
    )


def _no_attempt_left() -> Refusal:
    return Refusal(
        RefusalCode.NO_CAPACITY,
        'no attempt is left',
        Step.ROUTE,
        retry_after=routing.MINIMUM_RETRY_AFTER,
    )
