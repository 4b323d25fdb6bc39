"""Outcomes of requests: recorded answers, settled claims, refusals."""

from aiohttp import web
from multidict import CIMultiDict
from returns.result import Result, Success

from ..protocol import callers
from ..state.claims import RecordedAnswer
from ..state.refusals import Ran, Refusal, RefusalCode, Step
from ..state.requests import Phase, Request
from .claims import Claim, Claims

__all__ = [
    'refuse_disconnected',
    'refuse_past_deadline',
    'repeat_answer',
    'settle_outcome',
]


def _convert_answer(response: web.StreamResponse) -> RecordedAnswer:
    """Convert an answer to the form that is replayed to later callers."""
    body = response.body if isinstance(response, web.Response) else b''
    headers = [
        (str(name), text)
        for name, text in response.headers.items()
        if name != callers.REQUEST_ID_HEADER
    ]
    return RecordedAnswer(response.status, headers, bytes(body or b''))


def repeat_answer(answer: RecordedAnswer, request_id: str) -> web.Response:
    """Build the response that replays a recorded answer."""
    headers = CIMultiDict(answer.headers)
    headers[callers.REQUEST_ID_HEADER] = request_id
    headers[callers.REPLAYED_HEADER] = 'true'
    return web.Response(
        status=answer.status,
        body=answer.body,
        headers=headers,
    )


async def settle_outcome(
    claims: Claims,
    claim: Claim | None,
    request: Request,
    outcome: Result[web.StreamResponse, Refusal],
) -> None:
    """Settle a claim by an outcome; only an answer waits for the write."""
    if claim is None:
        return
    if isinstance(outcome, Success):
        answer = _convert_answer(outcome.unwrap())
        await claims.record(claim, answer, request.deadline)
        return
    settle = {
        Ran.NO: claims.release,
        Ran.YES: claims.record_without_answer,
        Ran.UNKNOWN: claims.record_unknown,
    }
    settle[outcome.failure().ran](claim)


def refuse_past_deadline(request: Request) -> Refusal:
    """Refuse a request that was interrupted at its deadline."""
    dispatched = request.phase is not Phase.ADMITTED
    return Refusal(
        RefusalCode.DEADLINE_EXCEEDED,
        'the answer was not complete by the deadline',
        Step.RELAY if dispatched else Step.ROUTE,
        ran=Ran.UNKNOWN if dispatched else Ran.NO,
    )


def refuse_disconnected() -> Refusal:
    """Refuse a request whose caller has closed its connection."""
    return Refusal(
        RefusalCode.DEADLINE_EXCEEDED,
        'the caller closed its connection',
        Step.RELAY,
        ran=Ran.UNKNOWN,
    )
