"""Reception of a call: authentication, reading its body, creating the request.

Nothing here waits longer than the caller's own deadline, and no part of a call
that is refused here has reached an endpoint.
"""

import asyncio
import random

import attrs
from aiohttp import web
from returns.result import Failure, Result, Success

from ..protocol import callers
from ..protocol.callers import CompletionBody
from ..state.budgets import CallBytes
from ..state.configuration import Snapshot
from ..state.declarations import Service, Workspace
from ..state.prefixes import digest_prefix
from ..state.refusals import Refusal, RefusalCode, Step
from ..state.requests import Request, SplitPrompt
from . import admission
from .confirmation import Confirmation
from .segments import split_body

__all__ = [
    'Arrival',
    'Call',
    'admit_completion',
    'admit_plain',
    'reauthenticate',
    'receive',
    'refuse_stopping',
]

#: Seconds that a caller has to send its body, unless its own deadline is
#: shorter.
RECEIVE_TIMEOUT = 30.0
#: Maximum bytes of a body if the configuration declares no service.
_DEFAULT_BODY_LIMIT = 16_777_216
#: Chooses when refused callers return.
_generator = random.Random()  # noqa: S311  no secret


@attrs.define
class Call:
    """A caller's HTTP request whose headers have been received.

    Attributes
    ----------
    deadline
        Monotonic time, in seconds, by which the caller must have its answer.
    held
        Bytes that are held for it.
    """

    http_request: web.Request
    request_id: str
    arrived: float
    deadline: float
    held: CallBytes = attrs.field(factory=CallBytes)


@attrs.frozen
class Arrival:
    """A call with its body, authenticated under a snapshot."""

    call: Call
    snapshot: Snapshot
    workspace: Workspace
    key: str
    body: bytes

    @property
    def http_request(self) -> web.Request:
        """The HTTP request of the call."""
        return self.call.http_request


@attrs.frozen
class _Authenticated:
    """An authenticated workspace, and the snapshot that declares it."""

    snapshot: Snapshot
    workspace: Workspace


async def receive(
    call: Call,
    snapshot: Snapshot,
    confirmation: Confirmation,
    text: bool,
) -> Result[Arrival, Refusal]:
    """Check a call's headers, then read its body.

    Parameters
    ----------
    call
        The call; its deadline is set from the headers.
    snapshot
        The configuration in force.
    confirmation
        Queried before an unknown key is refused.
    text
        Whether the body must be UTF-8.
    """
    headers = call.http_request.headers
    key = callers.parse_idempotency_key(
        headers.get(callers.IDEMPOTENCY_KEY_HEADER)
    )
    seconds = callers.parse_deadline(
        headers.get(callers.DEADLINE_HEADER),
        RECEIVE_TIMEOUT,
        RECEIVE_TIMEOUT,
    )
    call.deadline = call.arrived + seconds.value_or(RECEIVE_TIMEOUT)
    found = await confirmation.resolve(
        lambda confirmed: _authenticate(confirmed, call),
        snapshot,
        call.arrived,
        call.deadline,
    )
    for checked in (found, key, seconds):
        if isinstance(checked, Failure):
            return checked
    sender = found.unwrap()
    limit = _find_body_limit(sender.snapshot)
    try:
        body = await callers.receive_body(
            call.http_request,
            limit,
            call.deadline,
            call.held,
            _generator,
            text,
        )
    except asyncio.TimeoutError:
        return Failure(_refuse_slow_caller(seconds.unwrap()))
    return body.map(
        lambda content: Arrival(
            call,
            sender.snapshot,
            sender.workspace,
            key.unwrap(),
            content,
        ),
    )


def reauthenticate(
    snapshot: Snapshot, arrival: Arrival
) -> Result[Arrival, Refusal]:
    """Authenticate an arrival again, under a newer snapshot."""
    if snapshot is arrival.snapshot:
        return Success(arrival)
    return _authenticate(snapshot, arrival.call).map(
        lambda found: attrs.evolve(
            arrival,
            snapshot=found.snapshot,
            workspace=found.workspace,
        ),
    )


def admit_completion(
    arrival: Arrival,
    body: CompletionBody,
) -> Result[Request, Refusal]:
    """Create the request of a permitted completion call."""
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
    if isinstance(fits, Success):
        prefix = digest_prefix(body.prompt, service.bytes_per_token)
        return _create_request(arrival, service, tokens, prefix=prefix)
    if service.segments is None:
        return fits
    return split_body(body, service).bind(
        lambda parts: _create_request(arrival, service, tokens, parts),
    )


def admit_plain(arrival: Arrival) -> Result[Request, Refusal]:
    """Create the request of a permitted call to a plain service."""
    found = admission.find_service(
        arrival.snapshot,
        arrival.workspace,
        arrival.http_request.match_info['service'],
    )
    return found.bind(lambda service: _create_request(arrival, service, 0))


def refuse_stopping() -> Refusal:
    """Refuse a call that the end of a planned stop would interrupt."""
    return Refusal(
        RefusalCode.NOT_READY,
        'this instance is stopping; send the request to another one',
        Step.ADMIT,
        retry_after=0,
    )


def _authenticate(
    snapshot: Snapshot, call: Call
) -> Result[_Authenticated, Refusal]:
    return admission.authenticate_workspace(
        snapshot,
        callers.read_bearer_token(call.http_request),
    ).map(lambda workspace: _Authenticated(snapshot, workspace))


def _create_request(
    arrival: Arrival,
    service: Service,
    tokens: int,
    parts: SplitPrompt | None = None,
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
        lambda allowed: attrs.evolve(
            _start_request(arrival, service, tokens, allowed),
            parts=parts,
            prefix=prefix,
        ),
    )


def _start_request(
    arrival: Arrival,
    service: Service,
    tokens: int,
    allowed: float,
) -> Request:
    call = arrival.call
    call.deadline = call.arrived + allowed
    return Request(
        request_id=call.request_id,
        workspace=arrival.workspace,
        service=service,
        snapshot=arrival.snapshot,
        prompt_tokens=tokens,
        deadline=call.deadline,
        arrived=call.arrived,
        idempotency_key=arrival.key,
    )


def _find_body_limit(snapshot: Snapshot) -> int:
    return max(
        (service.max_body_bytes for service in snapshot.services.values()),
        default=_DEFAULT_BODY_LIMIT,
    )


def _refuse_slow_caller(seconds: float) -> Refusal:
    return Refusal(
        RefusalCode.BAD_REQUEST,
        f'the body did not arrive within {seconds:.1f} s',
        Step.RECEIVE,
    )
