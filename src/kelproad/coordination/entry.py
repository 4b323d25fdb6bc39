"""The way of a caller's request through this instance, top to bottom.

Receive, authenticate, admit, claim where needed, answer.  Each step either
gives the next one what it needs or ends the request with a refusal.
"""

import asyncio
import types
from collections.abc import Coroutine

import attrs
from aiohttp import web
from returns.result import Failure, Result, Success

from ..protocol import callers
from ..protocol.callers import CompletionBody
from ..protocol.plain import PlainCall
from ..state.claims import RecordedAnswer
from ..state.configuration import (
    Delivery,
    Service,
    Snapshot,
    SnapshotHolder,
    Workspace,
)
from ..state.counters import Counters
from ..state.identity import Identity
from ..state.prefixes import digest_prefix
from ..state.refusals import Ran, Refusal, RefusalCode, Step
from ..state.requests import (
    Decision,
    DecisionLog,
    Phase,
    Request,
    RequestTable,
)
from ..transport.deadlines import monotonic, within
from ..transport.services import BackgroundService
from . import admission
from .attempts import Attempts, CallerGoneError
from .claims import Claim, Claims, digest_request
from .delivery import StreamDelivery, WholeDelivery
from .limits import WorkspaceLimits
from .plain import PlainCalls

__all__ = ['Entry']

#: Seconds that a caller has to send its whole request.
RECEIVE_TIMEOUT = 30.0
#: Bound on a body before the service, and so its own bound, is known.
_DEFAULT_BODY_LIMIT = 16_777_216
_COMPLETION_FIELDS = types.MappingProxyType(
    {
        '/v1/completions': 'prompt',
        '/v1/chat/completions': 'messages',
    }
)


@attrs.frozen
class _Arrival:
    """A call with its body, from a known workspace."""

    http_request: web.Request
    request_id: str
    arrived: float
    snapshot: Snapshot
    workspace: Workspace
    key: str
    body: bytes


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
        self._detached: set[asyncio.Task[web.StreamResponse]] = set()

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
        request_id = self._identity.next_request_id()
        received = await self._receive(http_request, request_id)
        if isinstance(received, Failure):
            return self._refuse(received.failure(), request_id)
        arrival = received.unwrap()
        parsed = CompletionBody.from_bytes(
            arrival.body,
            _COMPLETION_FIELDS[http_request.path],
        )
        admitted = parsed.bind(
            lambda body: _admit_completion(arrival, body),
        ).bind(self._limits.admit)
        if isinstance(admitted, Failure):
            return self._refuse(admitted.failure(), request_id)
        request = admitted.unwrap()
        if request.idempotency_key:
            return await self._finish_detached(
                self._claim(arrival, request, parsed.unwrap()),
            )
        return await self._complete(arrival, request, parsed.unwrap())

    async def answer_plain(
        self,
        http_request: web.Request,
    ) -> web.StreamResponse:
        """Answer a call to a plain service."""
        request_id = self._identity.next_request_id()
        received = await self._receive(http_request, request_id)
        admitted = received.bind(_admit_plain).bind(self._limits.admit)
        if isinstance(admitted, Failure):
            return self._refuse(admitted.failure(), request_id)
        arrival, request = received.unwrap(), admitted.unwrap()
        if request.idempotency_key:
            return await self._finish_detached(
                self._claim(arrival, request, None),
            )
        return await self._call_plain(arrival, request)

    # Receiving

    async def _receive(
        self,
        http_request: web.Request,
        request_id: str,
    ) -> Result[_Arrival, Refusal]:
        arrived = monotonic()
        snapshot = self._holder.current
        found = admission.authenticate_workspace(
            snapshot,
            callers.read_bearer(http_request),
        )
        key = callers.parse_key(http_request.headers.get(callers.KEY_HEADER))
        for checked in (found, key):
            if isinstance(checked, Failure):
                return checked
        try:
            async with within(arrived + RECEIVE_TIMEOUT):
                body = await callers.read_body(
                    http_request,
                    _largest_body(snapshot),
                )
        except TimeoutError:
            return Failure(_refuse_slow_caller())
        return body.map(
            lambda content: _Arrival(
                http_request,
                request_id,
                arrived,
                snapshot,
                found.unwrap(),
                key.unwrap(),
                content,
            ),
        )

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
        arrival: _Arrival,
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
        )
        if isinstance(acquired, Failure):
            return self._refuse(acquired.failure(), request.request_id)
        claim = acquired.unwrap()
        if isinstance(claim, RecordedAnswer):
            return _repeat_answer(claim, request.request_id)
        if body is None:
            return await self._call_plain(arrival, request, claim)
        return await self._complete(arrival, request, body, claim)

    async def _settle_claim(
        self,
        claim: Claim | None,
        outcome: Result[web.StreamResponse, Refusal],
    ) -> None:
        if claim is None:
            return
        if isinstance(outcome, Success):
            await self._claims.record(claim, _record_answer(outcome.unwrap()))
        elif outcome.failure().ran is Ran.NO:
            await self._claims.release(claim)
        else:
            await self._claims.leave_unknown(claim)

    # Completions

    async def _complete(
        self,
        arrival: _Arrival,
        request: Request,
        body: CompletionBody,
        claim: Claim | None = None,
    ) -> web.StreamResponse:
        whole = request.service.delivery is Delivery.WHOLE
        if body.stream and claim is None and not whole:
            delivery = StreamDelivery(arrival.http_request, request.request_id)
        else:
            delivery = WholeDelivery(body.stream, request.request_id)
        outcome = await self._run_attempts(arrival, request, body, delivery)
        if isinstance(outcome, Success):
            response = await delivery.finish()
            await self._settle_claim(claim, Success(response))
        else:
            refusal = self._count_refusal(outcome.failure())
            response = await delivery.refuse(refusal)
            await self._settle_claim(claim, outcome)
        return response

    async def _run_attempts(
        self,
        arrival: _Arrival,
        request: Request,
        body: CompletionBody,
        delivery: StreamDelivery | WholeDelivery,
    ) -> Result[None, Refusal]:
        decision = self._begin(request)
        outcome: Result[None, Refusal] = Failure(_refuse_late(request))
        try:
            async with within(request.deadline):
                outcome = await self._attempts.answer(
                    request,
                    arrival.http_request.path,
                    body.encode_streaming(),
                    decision,
                    delivery.deliver,
                )
        except TimeoutError:
            outcome = Failure(_refuse_late(request))
        except CallerGoneError:
            outcome = Failure(_refuse_gone())
        finally:
            self._end(request, decision, outcome)
        return outcome

    # Plain services

    async def _call_plain(
        self,
        arrival: _Arrival,
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
        outcome: Result[web.Response, Refusal] = Failure(_refuse_late(request))
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
        await self._settle_claim(claim, outcome)
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


# Admitting


def _admit_completion(
    arrival: _Arrival,
    body: CompletionBody,
) -> Result[Request, Refusal]:
    found = admission.find_model(
        arrival.snapshot,
        arrival.workspace,
        body.model,
    )
    if isinstance(found, Failure):
        return found
    service = found.unwrap()
    tokens = body.estimate_tokens(service.bytes_per_token)
    fits = admission.check_size(tokens, arrival.snapshot.groups_of(service))
    if isinstance(fits, Failure):
        return fits
    prefix = digest_prefix(body.prompt, service.bytes_per_token)
    return _create_request(arrival, service, tokens, prefix)


def _admit_plain(arrival: _Arrival) -> Result[Request, Refusal]:
    found = admission.find_service(
        arrival.snapshot,
        arrival.workspace,
        arrival.http_request.match_info['service'],
    )
    return found.bind(lambda service: _create_request(arrival, service, 0))


def _create_request(
    arrival: _Arrival,
    service: Service,
    tokens: int,
    prefix: tuple[bytes, ...] = (),
) -> Result[Request, Refusal]:
    if len(arrival.body) > service.max_body_bytes:
        return Failure(
            Refusal(
                RefusalCode.TOO_LARGE,
                f'the body is larger than {service.max_body_bytes} bytes',
                Step.ADMIT,
            ),
        )
    seconds = callers.parse_deadline(
        arrival.http_request.headers.get(callers.DEADLINE_HEADER),
        service.deadline.default,
        service.deadline.maximum,
    )
    return seconds.map(
        lambda allowed: Request(
            request_id=arrival.request_id,
            workspace=arrival.workspace,
            service=service,
            snapshot=arrival.snapshot,
            prompt_tokens=tokens,
            deadline=arrival.arrived + allowed,
            arrived=arrival.arrived,
            idempotency_key=arrival.key,
            prefix=prefix,
        ),
    )


def _largest_body(snapshot: Snapshot) -> int:
    return max(
        (service.max_body_bytes for service in snapshot.services.values()),
        default=_DEFAULT_BODY_LIMIT,
    )


def _plain_path(http_request: web.Request) -> str:
    """Return the part of the raw path that the service itself sees."""
    _, _, rest = http_request.raw_path.removeprefix('/services/').partition('/')
    return f'/{rest}'


# Answers


def _record_answer(response: web.StreamResponse) -> RecordedAnswer:
    body = response.body if isinstance(response, web.Response) else b''
    try:
        text = bytes(body).decode()
    except UnicodeDecodeError:
        text = None
    return RecordedAnswer(response.status, response.content_type, text)


def _repeat_answer(answer: RecordedAnswer, request_id: str) -> web.Response:
    if answer.body is None:
        return callers.answer_refusal(
            Refusal(
                RefusalCode.CONFLICT,
                'the work under this key ran; its answer was too large to keep',
                Step.CLAIM,
                ran=Ran.YES,
            ),
            request_id,
        )
    return web.Response(
        status=answer.status,
        text=answer.body,
        content_type=answer.content_type,
        headers={
            callers.REQUEST_ID_HEADER: request_id,
            'Idempotency-Replayed': 'true',
        },
    )


def _refuse_late(request: Request) -> Refusal:
    dispatched = request.phase is not Phase.ADMITTED
    return Refusal(
        RefusalCode.DEADLINE_EXCEEDED,
        'the answer was not complete by the deadline',
        Step.RELAY if dispatched else Step.ROUTE,
        ran=Ran.UNKNOWN if dispatched else Ran.NO,
    )


def _refuse_gone() -> Refusal:
    return Refusal(
        RefusalCode.DEADLINE_EXCEEDED,
        'the caller closed its connection',
        Step.RELAY,
        ran=Ran.UNKNOWN,
    )


def _refuse_slow_caller() -> Refusal:
    return Refusal(
        RefusalCode.BAD_REQUEST,
        f'the body did not arrive within {RECEIVE_TIMEOUT:.0f} s',
        Step.RECEIVE,
    )
