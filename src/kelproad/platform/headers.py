"""Decoding and encoding of the header fields of calls and answers."""

import re

import aiohttp
from aiohttp import web
from multidict import CIMultiDict, MultiMapping
from returns.result import Failure, Result, Success

from ..protocol.plain import filter_headers
from ..state.calls import AnswerHead, Call, CallHead, Forwarding, Outcome
from ..state.refusals import NOT_RUN_STATUSES, Ran, Refusal, RefusalCode, Step
from .statements import STATEMENT_FIELDS, read_statements

__all__ = [
    'build_refusal',
    'encode_call',
    'read_answer_head',
    'read_call_head',
    'read_request_id',
]

_REQUEST_ID = 'X-Kelproad-Request-Id'
_DEADLINE = 'X-Kelproad-Deadline-Ms'
_API_KEY = 'X-Api-Key'
#: Name of the workspace whose API key the call has.
_WORKSPACE = 'X-Kelproad-Tenant'
#: Id of the one endpoint that may run the call.
_EXPECTED_ENDPOINT = 'X-Kelproad-Expect-Instance'
_HELPERS = 'X-Kelproad-Helpers'
_PRIORITY = 'X-Kelproad-Request-Priority'
#: The least urgent of its values; 0 is the most urgent.
_LAST_PRIORITY = 9
_EXPECTED_VERSION = 'X-Kelproad-Expect-Version'
#: Prompt tokens and the limit of output tokens, despite its singular name.
_TOKEN_COUNT = 'X-Kelproad-Token-Count'  # noqa: S105  no secret
_LENGTH_HINT = 'X-Kelproad-Length-Hint'
#: Parts of the prompt in order, each as ID:TOKENS.
_PROMPT_PARTS = 'X-Kelproad-Prompt-Prefix'
_LAST_EVENT = 'Last-Event-Id'
_NOT_EXECUTED = 'X-Kelproad-Not-Executed'
_STAMP = 'X-Kelproad-Server-Stamp'
#: Address of the engine whose fault made another engine refuse.
_AT_FAULT = 'At-Server'
_RETRY_AFTER = 'Retry-After'

_MILLISECONDS = 1000.0
#: Longest deadline that a caller may request, in milliseconds: a day.  An
#: absurd number must not overflow the clock.
_MAX_DEADLINE = 86_400_000
#: Parts of one prompt that are kept, and characters of their ids: callers
#: choose both.
_MAX_PARTS = 64
_MAX_PART_LENGTH = 64
#: Fields that only the system may set; those of a caller are dropped, as an
#: endpoint could not tell them from the system's.
_SYSTEM_FIELDS = frozenset(
    name.lower()
    for name in (
        _API_KEY,
        _DEADLINE,
        _WORKSPACE,
        _EXPECTED_ENDPOINT,
        _HELPERS,
        _PRIORITY,
        _EXPECTED_VERSION,
    )
)
_NO_FIELDS: frozenset[str] = frozenset()
#: Fields of answers that this system reads, or that only callers need.
_KNOWN_ANSWER_FIELDS = frozenset(
    name.lower()
    for name in (
        _REQUEST_ID,
        _NOT_EXECUTED,
        _STAMP,
        _AT_FAULT,
        *STATEMENT_FIELDS,
        'X-Kelproad-Instance-Id',
        'X-Kelproad-Weight-Versions',
        'Cache-Control',
        'Connection',
        'Content-Encoding',
        'Content-Language',
        'Content-Length',
        'Content-Type',
        'Date',
        'ETag',
        'Expires',
        'Keep-Alive',
        'Last-Modified',
        'Location',
        'Server',
        'Transfer-Encoding',
        'Vary',
    )
)
_NUMBER = re.compile('[0-9]{1,15}')
_MISDIRECTED = 421
_MIN_ERROR_STATUS = 500


def read_request_id(headers: MultiMapping[str]) -> str:
    """Return the id of a request, empty where it has none or several."""
    request_ids = headers.getall(_REQUEST_ID, [])
    return request_ids[0] if len(request_ids) == 1 else ''


def read_call_head(
    http_request: web.BaseRequest,
) -> Result[CallHead, Refusal]:
    """Decode the head of a caller's call."""
    headers = http_request.headers
    request_id = read_request_id(headers)
    if not request_id:
        return Failure(_refuse(f'{_REQUEST_ID}: must be present exactly once'))
    allowed = headers.get(_DEADLINE)
    if allowed is not None and not _NUMBER.fullmatch(allowed.strip()):
        return Failure(
            _refuse(f'{_DEADLINE}: not a whole number of milliseconds')
        )
    prompt, answer = _parse_token_counts(headers.get(_TOKEN_COUNT, ''))
    *shared_parts, own_part = _parse_parts(headers.getall(_PROMPT_PARTS, []))
    return Success(
        CallHead(
            request_id=request_id,
            method=http_request.method,
            host=headers.get('Host', ''),
            target=http_request.raw_path,
            api_key=headers.get(_API_KEY, ''),
            time_allowed=_parse_deadline(allowed),
            prompt_tokens=prompt,
            answer_tokens=answer,
            answer_hint=_parse_count(headers.get(_LENGTH_HINT, '')) or 0,
            resume_after=_parse_count(headers.get(_LAST_EVENT, '')),
            shared_parts=_select_parts(shared_parts),
            own_part=own_part,
        ),
    )


def encode_call(
    call: Call,
    received: CIMultiDict[str],
    forwarding: Forwarding,
) -> CIMultiDict[str]:
    """Encode the head of a call for an endpoint."""
    headers = filter_headers(received, _SYSTEM_FIELDS)
    headers['Host'] = call.head.host
    headers[_DEADLINE] = str(max(1, int(forwarding.time_left * _MILLISECONDS)))
    headers[_EXPECTED_ENDPOINT] = forwarding.endpoint
    if forwarding.workspace:
        headers[_WORKSPACE] = forwarding.workspace
    if forwarding.resume_after is not None:
        headers[_LAST_EVENT] = str(forwarding.resume_after)
    if forwarding.priority is not None:
        headers[_PRIORITY] = str(_bound_priority(forwarding.priority))
    if forwarding.helpers:
        headers[_HELPERS] = ','.join(
            f'{address}/{reservation}' if reservation else address
            for address, reservation in forwarding.helpers
        )
    return headers


def _bound_priority(priority: int) -> int:
    """Bound a rank to those that endpoints know."""
    return max(0, min(_LAST_PRIORITY, priority))


def read_answer_head(
    response: aiohttp.ClientResponse,
    request_id: str,
) -> AnswerHead:
    """Decode the head of an endpoint's answer."""
    headers = response.headers
    return AnswerHead(
        outcome=_classify_answer(response, request_id),
        status=response.status,
        headers=tuple(filter_headers(headers, _NO_FIELDS).items()),
        at_fault=headers.get(_AT_FAULT, ''),
        length=response.content_length,
        statements=read_statements(response.status, headers),
        unknown_fields=frozenset(map(str.lower, headers))
        - _KNOWN_ANSWER_FIELDS,
    )


def build_refusal(refusal: Refusal, request_id: str) -> web.Response:
    """Build this instance's own answer, which has no engine's stamp."""
    headers = {}
    if request_id:
        headers[_REQUEST_ID] = request_id
    if refusal.retry_after is not None:
        headers[_RETRY_AFTER] = f'{refusal.retry_after:.2f}'
    status = refusal.code.status
    if refusal.ran is not Ran.NO and status in NOT_RUN_STATUSES:
        status = RefusalCode.ENDPOINT_FAILED.status
    return web.Response(
        status=status,
        headers=headers,
        text=f'{refusal.code.value}: {refusal.message}\n',
    )


def _classify_answer(
    response: aiohttp.ClientResponse, request_id: str
) -> Outcome:
    # Checked first, as an endpoint that got a misdirected call may also state
    # that it did not run it.
    if response.status == _MISDIRECTED:
        return Outcome.MISDIRECTED
    if _NOT_EXECUTED in response.headers:
        return Outcome.NOT_RUN
    # A connection may deliver an extra answer before the expected one; only the
    # request id, which engines echo, distinguishes them.
    if response.headers.get(_REQUEST_ID) != request_id:
        return Outcome.MISMATCHED
    if (
        response.status >= _MIN_ERROR_STATUS
        or response.status in NOT_RUN_STATUSES
    ):
        return Outcome.ERROR
    return Outcome.ANSWERED


def _parse_deadline(text: str | None) -> float | None:
    if text is None:
        return None
    return min(int(text), _MAX_DEADLINE) / _MILLISECONDS


def _parse_token_counts(text: str) -> tuple[int, int]:
    """Parse both counts; one that is malformed counts as 0."""
    prompt, _, answer = text.partition(',')
    return _parse_count(prompt) or 0, _parse_count(answer) or 0


def _parse_parts(fields: list[str]) -> list[str]:
    """Parse the ids of all parts; the last one is empty without any."""
    return [
        entry.partition(':')[0].strip()[:_MAX_PART_LENGTH]
        for entry in ','.join(fields).split(',')
    ]


def _select_parts(ids: list[str]) -> tuple[str, ...]:
    """Select the parts that are kept, each once."""
    return tuple(dict.fromkeys(filter(None, ids)))[:_MAX_PARTS]


def _parse_count(text: str) -> int | None:
    text = text.strip()
    return int(text) if _NUMBER.fullmatch(text) else None


def _refuse(message: str) -> Refusal:
    return Refusal(RefusalCode.BAD_REQUEST, message, Step.RECEIVE)
