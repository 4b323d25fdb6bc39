"""The way of a caller's request through this instance, top to bottom.

Receive, authenticate, admit, claim where needed, answer.  Each step either
gives the next one what it needs or ends the request with a refusal.
"""

import asyncio
import types
from collections.abc import Awaitable, Callable, Coroutine

import attrs
from aiohttp import web
from returns.result import Failure, Result, Success

from ..protocol import callers
from ..protocol.callers import CompletionBody
from ..protocol.plain import PlainCall
from ..state.claims import RecordedAnswer
from ..state.configuration import (
    Delivery,
    SnapshotHolder,
)
from ..state.counters import Counters
from ..state.identity import Identity
from ..state.refusals import Ran, Refusal, Step
from ..state.requests import (
    Decision,
    DecisionLog,
    Request,
    RequestTable,
)
from ..transport.deadlines import monotonic, within
from ..transport.services import BackgroundService
from . import admission
from .attempts import Attempts, CallerGoneError
from .claims import Claim, Claims, digest_request
from .delivery import (
    StreamDelivery,
    WholeDelivery,
    create_answer_buffers,
)
from .limits import WorkspaceLimits
from .outcomes import (
    record_answer,
    refuse_gone,
    refuse_late,
    repeat_answer,
)
from .plain import PlainCalls
from .reception import (
    RECEIVE_TIMEOUT,
    Arrival,
    Call,
    admit_completion,
    admit_plain,
    receive,
)
from .segments import answer_in_parts
from .sending import send_bounded, send_whole

__all__ = ['Entry']

#: Seconds past the deadline after which attempts are interrupted.  They end
#: by themselves at the deadline, and then know whether anything was written.
_INTERRUPT_MARGIN = 0.05
_COMPLETION_FIELDS = types.MappingProxyType(
    {
        '/v1/completions': 'prompt',
        '/v1/chat/completions': 'messages',
    }
)


Handler = Callable[[Call], Awaitable[web.StreamResponse]]


class Entry(BackgroundService):
    """Answers callers' requests."""

    abstract = False

    def __init__(
        self,
        identity: Identity,
        holder: SnapshotHolder,
        requests: RequestTable,
        decisions: DecisionLog,
        attempts: Attempts,
        plain_calls: PlainCalls,
        key_claims: Claims,
        counters: Counters,
        limits: WorkspaceLimits,
    ) -> None:
        """Answer with the parts of this instance."""
        super().__init__()
        self._identity = identity
        self._holder = holder
        self._requests = requests
        self._decisions = decisions
        self._attempts = attempts
        self._plain_calls = plain_calls
        self._claims = key_claims
        self._counters = counters
        self._limits = limits
        self._buffers = create_answer_buffers()
        self._detached: set[asyncio.Task[web.StreamResponse]] = set()
        self._open_calls = 0

    @property
    def unfinished(self) -> int:
        """Number of calls in hand, from their headers to their last byte.

        Claimed work goes on without its caller and counts as well.
        """
        return self._open_calls + len(self._detached)

    def routes(self) -> list[web.RouteDef]:
        """List the paths that callers may call."""
        return [
            *(
                web.post(path, self.answer_completion)
                for path in _COMPLETION_FIELDS
            ),
            web.get('/v1/models', self.list_models),
            web.route(
                '*',
                '/services/{service}/{path:.*}',
                self.answer_plain,
            ),
        ]

    async def list_models(self, http_request: web.Request) -> web.Response:
        """Answer which models the caller's workspace may use."""
        found = admission.authenticate_workspace(
            self._holder.current,
            callers.read_bearer(http_request),
        )
        request_id = self._identity.next_request_id()
        if isinstance(found, Failure):
            return self._refuse(found.failure(), request_id)
        models = [
            {'id': model, 'object': 'model', 'owned_by': service.name}
            for model, service in self._holder.current.models.items()
            if service.name in found.unwrap().services
        ]
        return web.json_response({'object': 'list', 'data': models})

    async def answer_completion(
        self,
        http_request: web.Request,
    ) -> web.StreamResponse:
        """Answer a completion call."""
        return await self._handle(http_request, self._answer_completion)

    async def answer_plain(
        self,
        http_request: web.Request,
    ) -> web.StreamResponse:
        """Answer a call to a plain service."""
        return await self._handle(http_request, self._answer_plain)

    # Handling

    async def _handle(
        self,
        http_request: web.Request,
        answer: Handler,
    ) -> web.StreamResponse:
        """Answer a call, counted from its arrival until it is sent."""
        arrived = monotonic()
        call = Call(
            http_request,
            self._identity.next_request_id(),
            arrived,
            arrived + RECEIVE_TIMEOUT,
        )
        self._open_calls += 1
        try:
            response = await answer(call)
            await send_whole(call, response)
        finally:
            self._open_calls -= 1
        return response

    async def _answer_completion(self, call: Call) -> web.StreamResponse:
        received = await receive(call, self._holder.current, text=True)
        if isinstance(received, Failure):
            return self._refuse(received.failure(), call.request_id)
        arrival = received.unwrap()
        parsed = CompletionBody.from_bytes(
            arrival.body,
            _COMPLETION_FIELDS[call.http_request.path],
        )
        admitted = parsed.bind(
            lambda body: admit_completion(arrival, body),
        ).bind(self._limits.admit)
        if isinstance(admitted, Failure):
            return self._refuse(admitted.failure(), call.request_id)
        request = admitted.unwrap()
        if request.idempotency_key:
            return await self._finish_detached(
                self._claim(arrival, request, parsed.unwrap()),
            )
        return await self._complete(arrival, request, parsed.unwrap())

    async def _answer_plain(self, call: Call) -> web.StreamResponse:
        received = await receive(call, self._holder.current, text=False)
        admitted = received.bind(admit_plain).bind(self._limits.admit)
        if isinstance(admitted, Failure):
            return self._refuse(admitted.failure(), call.request_id)
        arrival, request = received.unwrap(), admitted.unwrap()
        if request.idempotency_key:
            return await self._finish_detached(
                self._claim(arrival, request, None),
            )
        return await self._call_plain(arrival, request)

    # Claimed requests

    async def _finish_detached(
        self,
        answering: Coroutine[None, None, web.StreamResponse],
    ) -> web.StreamResponse:
        """Run claimed work to its end even when the caller goes away.

        Its outcome must be recorded, or every later caller with the key would
        hear that it is unknown.
        """
        task = asyncio.create_task(answering)
        self._detached.add(task)
        task.add_done_callback(self._detached.discard)
        return await asyncio.shield(task)

    async def _claim(
        self,
        arrival: Arrival,
        request: Request,
        body: CompletionBody | None,
    ) -> web.StreamResponse:
        """Claim the key, then answer once or repeat the recorded answer."""
        http_request = arrival.http_request
        acquired = await self._claims.acquire(
            request.workspace.name,
            request.idempotency_key,
            digest_request(
                http_request.method,
                http_request.path_qs,
                arrival.body,
            ),
            request.deadline,
        )
        if isinstance(acquired, Failure):
            self._end(request, self._begin(request), acquired)
            return self._refuse(acquired.failure(), request.request_id)
        claim = acquired.unwrap()
        if isinstance(claim, RecordedAnswer):
            self._end(request, self._begin(request), acquired)
            return repeat_answer(claim, request.request_id)
        try:
            if body is None:
                return await self._call_plain(arrival, request, claim)
            return await self._complete(arrival, request, body, claim)
        finally:
            # An unexpected error may have come after the dispatch.
            if not claim.settled:
                self._claims.leave_unknown(claim)

    async def _settle_claim(
        self,
        claim: Claim | None,
        request: Request,
        outcome: Result[web.StreamResponse, Refusal],
    ) -> None:
        """Have the outcome written; a refused caller does not wait for it."""
        if claim is None:
            return
        if isinstance(outcome, Success):
            answer = record_answer(outcome.unwrap())
            await self._claims.record(claim, answer, request.deadline)
            return
        settle = {
            Ran.NO: self._claims.release,
            Ran.YES: self._claims.record_run,
            Ran.UNKNOWN: self._claims.leave_unknown,
        }
        settle[outcome.failure().ran](claim)

    # Completions

    async def _complete(
        self,
        arrival: Arrival,
        request: Request,
        body: CompletionBody,
        claim: Claim | None = None,
    ) -> web.StreamResponse:
        whole = request.service.delivery is Delivery.WHOLE
        parts = len(request.parts.records) if request.parts else 0
        if body.stream and claim is None and not whole:
            delivery = StreamDelivery(
                arrival.http_request,
                request.request_id,
                parts,
            )
        else:
            delivery = WholeDelivery(
                body.stream,
                request.request_id,
                self._buffers,
                parts,
            )
        outcome = await self._run_attempts(arrival, request, body, delivery)
        if isinstance(outcome, Success):
            response = await send_bounded(arrival.call, delivery.finish())
            await self._settle_claim(claim, request, Success(response))
        else:
            refusal = self._count_refusal(outcome.failure())
            await self._settle_claim(claim, request, outcome)
            response = await send_bounded(
                arrival.call,
                delivery.refuse(refusal),
            )
        return response

    async def _run_attempts(
        self,
        arrival: Arrival,
        request: Request,
        body: CompletionBody,
        delivery: StreamDelivery | WholeDelivery,
    ) -> Result[None, Refusal]:
        decision = self._begin(request)
        outcome: Result[None, Refusal] = Failure(refuse_late(request))
        if request.remaining(monotonic()) <= 0:
            # An owner that was paused after its claim wakes too late.  The
            # caller has given up, so the work must not be begun any more.
            self._end(request, decision, outcome)
            return outcome
        try:
            async with within(request.deadline + _INTERRUPT_MARGIN):
                outcome = await self._answer(
                    arrival,
                    request,
                    body,
                    decision,
                    delivery,
                )
        except asyncio.TimeoutError:
            outcome = Failure(refuse_late(request))
        except CallerGoneError:
            outcome = Failure(refuse_gone())
        finally:
            self._end(request, decision, outcome)
        return outcome.alt(request.complete_refusal)

    async def _answer(
        self,
        arrival: Arrival,
        request: Request,
        body: CompletionBody,
        decision: Decision,
        delivery: StreamDelivery | WholeDelivery,
    ) -> Result[None, Refusal]:
        """Have the request answered whole, or in parts if it is too large."""
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

    # Plain services

    async def _call_plain(
        self,
        arrival: Arrival,
        request: Request,
        claim: Claim | None = None,
    ) -> web.StreamResponse:
        decision = self._begin(request)
        http_request = arrival.http_request
        call = PlainCall(
            method=http_request.method,
            path=_plain_path(http_request),
            headers=http_request.headers.copy(),
            body=arrival.body,
            deadline=request.deadline,
        )
        outcome: Result[web.Response, Refusal] = Failure(refuse_late(request))
        try:
            answered = await self._plain_calls.answer(request, call, decision)
            outcome = answered.map(
                lambda answer: web.Response(
                    status=answer.status,
                    headers=answer.headers,
                    body=answer.body,
                ),
            )
        finally:
            self._end(request, decision, outcome)
        outcome = outcome.alt(request.complete_refusal)
        await self._settle_claim(claim, request, outcome)
        if isinstance(outcome, Failure):
            return self._refuse(outcome.failure(), request.request_id)
        response = outcome.unwrap()
        response.headers[callers.REQUEST_ID_HEADER] = request.request_id
        return response

    # Accounts

    def _begin(self, request: Request) -> Decision:
        decision = Decision.from_request(request)
        self._decisions.open(decision)
        self._requests.add(request)
        self._limits.begin(request)
        self._counters.in_progress.set({}, len(self._requests))
        return decision

    def _end(
        self,
        request: Request,
        decision: Decision,
        outcome: Result[object, Refusal],
    ) -> None:
        self._requests.remove(request)
        self._limits.end(request)
        self._counters.in_progress.set({}, len(self._requests))
        answered = isinstance(outcome, Success)
        label = 'answered' if answered else str(outcome.failure().code)
        decision.note('ended', outcome=label)
        self._counters.requests.inc(
            {'service': request.service.name, 'outcome': label},
        )

    def _refuse(self, refusal: Refusal, request_id: str) -> web.Response:
        self._count_refusal(refusal)
        if refusal.step is Step.ADMIT:
            # Refused before there was a request; people ask why all the same.
            decision = Decision(request_id, workspace='', service='')
            decision.note('refused', refusal=attrs.asdict(refusal))
            self._decisions.open(decision)
        return callers.answer_refusal(refusal, request_id)

    def _count_refusal(self, refusal: Refusal) -> Refusal:
        self._counters.refusals.inc(
            {
                'step': str(refusal.step),
                'code': str(refusal.code),
                'ran': str(refusal.ran),
            },
        )
        return refusal


# Answers


def _plain_path(http_request: web.Request) -> str:
    """Return the part of the raw path that the service itself sees."""
    _, _, rest = http_request.raw_path.removeprefix('/services/').partition('/')
    return f'/{rest}'
