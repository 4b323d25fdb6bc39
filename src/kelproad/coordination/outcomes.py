"""How a request ended: the answer to repeat, the refusals of the entry."""

from aiohttp import web
from multidict import CIMultiDict

from ..protocol import callers
from ..state.claims import RecordedAnswer
from ..state.refusals import Ran, Refusal, RefusalCode, Step
from ..state.requests import Phase, Request

__all__ = ['record_answer', 'refuse_gone', 'refuse_late', 'repeat_answer']


def record_answer(response: web.StreamResponse) -> RecordedAnswer:
    """Take down an answer as later callers with its key are to get it."""
    body = response.body if isinstance(response, web.Response) else b''
    headers = [
        (str(name), text)
        for name, text in response.headers.items()
        if name != callers.REQUEST_ID_HEADER
    ]
    return RecordedAnswer(response.status, headers, bytes(body or b''))


def repeat_answer(answer: RecordedAnswer, request_id: str) -> web.Response:
    """Answer a later caller with what the first one got."""
    headers = CIMultiDict(answer.headers)
    headers[callers.REQUEST_ID_HEADER] = request_id
    headers[callers.REPLAYED_HEADER] = 'true'
    return web.Response(
        status=answer.status,
        body=answer.body,
        headers=headers,
    )


def refuse_late(request: Request) -> Refusal:
    """Refuse a request whose deadline ended it from outside."""
    dispatched = request.phase is not Phase.ADMITTED
    return Refusal(
        RefusalCode.DEADLINE_EXCEEDED,
        'the answer was not complete by the deadline',
        Step.RELAY if dispatched else Step.ROUTE,
        ran=Ran.UNKNOWN if dispatched else Ran.NO,
    )


def refuse_gone() -> Refusal:
    """Refuse a request whose caller has closed its connection."""
    return Refusal(
        RefusalCode.DEADLINE_EXCEEDED,
        'the caller closed its connection',
        Step.RELAY,
        ran=Ran.UNKNOWN,
    )
