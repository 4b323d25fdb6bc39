"""Handlers of callers' requests: the whole path through this instance.

Receive, authenticate, admit, claim where needed, answer.  Each step either
passes its result to the next one or ends the request with a refusal.
"""

import asyncio
import types
from collections.abc import Awaitable, Callable, Coroutine

from aiohttp import web
from returns.result import Failure, Result

from ..protocol import callers
from ..protocol.callers import CompletionBody
from ..protocol.plain import PlainCall
from ..state.budgets import HeldBytes
from ..state.claims import RecordedAnswer
from ..state.configuration import SnapshotHolder
from ..state.identity import Identity
from ..state.records import current_request
from ..state.refusals import Refusal
from ..state.requests import Phase, Request
from ..transport.deadlines import monotonic
from ..transport.services import BackgroundService
from .accounting import RequestAccounting
from .admitting import Admitter
from .claims import Claim, Claims, digest_request
from .completions import Completions
from .configuration import ConfigurationFollower
from .drain import Drain, StopEndedError
from .endings import abort_answer, may_have_run, refuse_interrupted
from .limits import WorkspaceLimits
from .outcomes import refuse_past_deadline, repeat_answer, settle_outcome
from .plain import PlainCalls
from .reception import (
    RECEIVE_TIMEOUT,
    Arrival,
    Call,
    admit_completion,
    admit_plain,
)
from .sending import send_response

__all__ = ['ANSWER_BEGUN', 'Entry']

#: Set on a call whose response has begun, so that no other one is sent.
ANSWER_BEGUN = web.RequestKey('answer_begun', bool)

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
        follower: ConfigurationFollower,
        accounting: RequestAccounting,
        completions: Completions,
        plain_calls: PlainCalls,
        key_claims: Claims,
        limits: WorkspaceLimits,
        drain: Drain,
    ) -> None:
        """Answer with the components of this instance."""
        super().__init__()
        self._identity = identity
        self._admitter = Admitter(holder, follower, limits, drain)
        self._accounting = accounting
        self._completions = completions
        self._plain_calls = plain_calls
        self._claims = key_claims
        self._drain = drain
        self._detached_tasks: set[asyncio.Task[web.StreamResponse]] = set()
        self._open_calls = 0
        self._held = HeldBytes.from_memory(0)

    @property
    def unfinished(self) -> int:
        """Number of calls in progress, from their headers to the last byte.

        Claimed work continues without its caller and counts as well.
        """
        return self._open_calls + len(self._detached_tasks)

    def routes(self) -> list[web.RouteDef]:
        """List the routes of the callers' API."""
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
        """Answer with the models that the caller's workspace may use."""
        return await self._handle(http_request, self._list_models)

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
        """Answer a call, which counts as open until its answer is sent."""
        arrived = monotonic()
        call = Call(
            http_request,
            self._identity.next_request_id(),
            arrived,
            arrived + RECEIVE_TIMEOUT,
            self._held.begin(),
        )
        current_request.set(call.request_id)
        self._open_calls += 1
        try:
            response = await answer(call)
            await send_response(call, response)
        finally:
            self._open_calls -= 1
            call.held.release()
        return response

    async def _list_models(self, call: Call) -> web.StreamResponse:
        found = await self._admitter.list_models(call)
        if isinstance(found, Failure):
            return self._accounting.refuse(found.failure(), call.request_id)
        models = [
            {'id': model, 'object': 'model', 'owned_by': service.name}
            for model, service in found.unwrap().items()
        ]
        return web.json_response({'object': 'list', 'data': models})

    async def _answer_completion(self, call: Call) -> web.StreamResponse:
        received = await self._admitter.receive(call, text=True)
        if isinstance(received, Failure):
            return self._accounting.refuse(received.failure(), call.request_id)
        arrival = received.unwrap()
        parsed = CompletionBody.from_bytes(
            arrival.body,
            _COMPLETION_FIELDS[call.http_request.path],
        )
        admitted = await self._admitter.admit(
            arrival,
            lambda current: parsed.bind(
                lambda body: admit_completion(current, body)
            ),
        )
        if isinstance(admitted, Failure):
            return self._accounting.refuse(admitted.failure(), call.request_id)
        request = admitted.unwrap()
        if request.idempotency_key:
            return await self._finish_detached(
                self._claim(arrival, request, parsed.unwrap()),
            )
        return await self._complete(arrival, request, parsed.unwrap())

    async def _answer_plain(self, call: Call) -> web.StreamResponse:
        received = await self._admitter.receive(call, text=False)
        if isinstance(received, Failure):
            return self._accounting.refuse(received.failure(), call.request_id)
        arrival = received.unwrap()
        admitted = await self._admitter.admit(arrival, admit_plain)
        if isinstance(admitted, Failure):
            return self._accounting.refuse(admitted.failure(), call.request_id)
        request = admitted.unwrap()
        if request.idempotency_key:
            return await self._finish_detached(
                self._claim(arrival, request, None),
            )
        return await self._call_plain(arrival, request)

    async def _complete(
        self,
        arrival: Arrival,
        request: Request,
        body: CompletionBody,
        claim: Claim | None = None,
    ) -> web.StreamResponse:
        """Answer a completion call, unless the end of a stop interrupts it."""
        try:
            async with self._drain.until_end():
                return await self._completions.answer(
                    arrival,
                    request,
                    body,
                    claim,
                )
        except StopEndedError:
            refusal = refuse_interrupted(may_have_run(request))
        if arrival.http_request.get(ANSWER_BEGUN, False):
            return abort_answer(arrival)
        if claim is not None and not claim.settled:
            await settle_outcome(self._claims, claim, request, Failure(refusal))
        return self._accounting.refuse(refusal, request.request_id)

    # Claimed requests

    async def _finish_detached(
        self,
        answering: Coroutine[None, None, web.StreamResponse],
    ) -> web.StreamResponse:
        """Run claimed work to its end, even if the caller disconnects.

        Its outcome must be recorded; otherwise every later caller with the key
        would be told that it is unknown.
        """
        task = asyncio.create_task(answering)
        self._detached_tasks.add(task)
        task.add_done_callback(self._detached_tasks.discard)
        return await asyncio.shield(task)

    async def _claim(
        self,
        arrival: Arrival,
        request: Request,
        body: CompletionBody | None,
    ) -> web.StreamResponse:
        """Claim the key, then answer once or replay the recorded answer."""
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
            self._accounting.record_unstarted(request, acquired)
            return self._accounting.refuse(
                acquired.failure(), request.request_id
            )
        claim = acquired.unwrap()
        if isinstance(claim, RecordedAnswer):
            self._accounting.record_unstarted(request, acquired)
            return repeat_answer(claim, request.request_id)
        try:
            if body is None:
                return await self._call_plain(arrival, request, claim)
            return await self._complete(arrival, request, body, claim)
        finally:
            # An unexpected error may have occurred after the dispatch.
            if not claim.settled:
                self._claims.record_unknown(claim)

    # Plain services

    async def _call_plain(
        self,
        arrival: Arrival,
        request: Request,
        claim: Claim | None = None,
    ) -> web.StreamResponse:
        decision = self._accounting.begin(request)
        http_request = arrival.http_request
        call = PlainCall(
            method=http_request.method,
            path=_plain_path(http_request),
            headers=http_request.headers.copy(),
            body=arrival.body,
            deadline=request.deadline,
        )
        outcome: Result[web.Response, Refusal] = Failure(
            refuse_past_deadline(request)
        )
        try:
            async with self._drain.until_end():
                answered = await self._plain_calls.answer(
                    request,
                    call,
                    decision,
                )
            outcome = answered.map(
                lambda answer: web.Response(
                    status=answer.status,
                    headers=answer.headers,
                    body=answer.body,
                ),
            )
        except StopEndedError:
            outcome = Failure(
                refuse_interrupted(request.phase is not Phase.ADMITTED)
            )
        finally:
            self._accounting.end(request, decision, outcome)
        outcome = outcome.alt(request.complete_refusal)
        await settle_outcome(self._claims, claim, request, outcome)
        if isinstance(outcome, Failure):
            return self._accounting.refuse(
                outcome.failure(), request.request_id
            )
        response = outcome.unwrap()
        response.headers[callers.REQUEST_ID_HEADER] = request.request_id
        return response


# Answers


def _plain_path(http_request: web.Request) -> str:
    """Return the raw path without the prefix that names the service."""
    _, _, rest = http_request.raw_path.removeprefix('/services/').partition('/')
    return f'/{rest}'
