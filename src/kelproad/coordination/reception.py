"""Receiving a call: who sends it, its body, the request it becomes.

Nothing here waits longer than the caller's own deadline, and nothing of a
call that is refused here has reached an endpoint.
"""

import asyncio

import attrs
from aiohttp import web
from returns.result import Failure, Result, Success

from ..protocol import callers
from ..protocol.callers import CompletionBody
from ..state.configuration import Snapshot
from ..state.declarations import Service, Workspace
from ..state.prefixes import digest_prefix
from ..state.refusals import Refusal, RefusalCode, Step
from ..state.requests import Parts, Request
from ..transport.deadlines import within
from . import admission
from .confirmation import Confirmation
from .segments import split_body

__all__ = [
    'Arrival',
    'Call',
    'admit_completion',
    'admit_plain',
    'move_to',
    'receive',
    'refuse_leaving',
]

#: Seconds that a caller has to send its whole body, if its own deadline
#: leaves it as many.
RECEIVE_TIMEOUT = 30.0
#: Bound on a body before the service, and so its own bound, is known.
_DEFAULT_BODY_LIMIT = 16_777_216


@attrs.define
class Call:
    """A caller's HTTP request from the moment its headers are there.

    Attributes
    ----------
    deadline
        Monotonic time, in seconds, by which the caller must have its answer.
    """

    http_request: web.Request
    request_id: str
    arrived: float
    deadline: float


@attrs.frozen
class Arrival:
    """A call with its body, from a known workspace."""

    call: Call
    snapshot: Snapshot
    workspace: Workspace
    key: str
    body: bytes

    @property
    def http_request(self) -> web.Request:
        """The call as it came."""
        return self.call.http_request


@attrs.frozen
class _Known:
    """A workspace, and the snapshot that declares it."""

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
        The call; its deadline is set by what the headers say.
    snapshot
        The configuration in force.
    confirmation
        Asked before a key is refused that is not known.
    text
        Whether the body must be UTF-8.
    """
    headers = call.http_request.headers
    key = callers.parse_key(headers.get(callers.KEY_HEADER))
    seconds = callers.parse_deadline(
        headers.get(callers.DEADLINE_HEADER),
        RECEIVE_TIMEOUT,
        RECEIVE_TIMEOUT,
    )
    call.deadline = call.arrived + seconds.value_or(RECEIVE_TIMEOUT)
    found = await confirmation.ask(
        lambda asked: _authenticate(asked, call),
        snapshot,
        call.arrived,
        call.deadline,
    )
    for checked in (found, key, seconds):
        if isinstance(checked, Failure):
            return checked
    known = found.unwrap()
    limit = _largest_body(known.snapshot)
    try:
        async with within(call.deadline):
            body = await callers.read_body(call.http_request, limit, text)
    except asyncio.TimeoutError:
        return Failure(_refuse_slow_caller(seconds.unwrap()))
    return body.map(
        lambda content: Arrival(
            call,
            known.snapshot,
            known.workspace,
            key.unwrap(),
            content,
        ),
    )


def move_to(snapshot: Snapshot, arrival: Arrival) -> Result[Arrival, Refusal]:
    """Take an arrival to a newer snapshot, if that still has its key."""
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
    """Make a request of a completion call that its workspace may make."""
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
    """Make a request of a call to a plain service."""
    found = admission.find_service(
        arrival.snapshot,
        arrival.workspace,
        arrival.http_request.match_info['service'],
    )
    return found.bind(lambda service: _create_request(arrival, service, 0))


def refuse_leaving() -> Refusal:
    """Refuse a call that the end of a planned stop would cut."""
    return Refusal(
        RefusalCode.NOT_READY,
        'this instance is leaving; another one takes the request',
        Step.ADMIT,
        retry_after=0,
    )


def _authenticate(snapshot: Snapshot, call: Call) -> Result[_Known, Refusal]:
    return admission.authenticate_workspace(
        snapshot,
        callers.read_bearer(call.http_request),
    ).map(lambda workspace: _Known(snapshot, workspace))


def _create_request(
    arrival: Arrival,
    service: Service,
    tokens: int,
    parts: Parts | None = None,
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


def _largest_body(snapshot: Snapshot) -> int:
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
