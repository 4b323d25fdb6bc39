"""Calls to plain services: one HTTP exchange, answered whole."""

import asyncio

import aiohttp
import attrs
from multidict import CIMultiDict
from returns.result import Failure, Result, Success

from ..state.refusals import Ran, Refusal, RefusalCode, Step
from ..transport.deadlines import monotonic, within
from .connections import (
    CONNECT_TIMEOUT,
    NEVER_ADDED,
    ConnectionProgress,
    limit_connecting,
)

__all__ = ['PlainAnswer', 'PlainCall', 'PlainClient', 'leave_out']

#: Largest answer of a plain service that is passed on.
MAX_ANSWER_BYTES = 16_777_216
#: Headers that concern one connection.
_OF_CONNECTION = frozenset(
    (
        'connection',
        'content-length',
        'expect',
        'host',
        'keep-alive',
        'proxy-authenticate',
        'proxy-authorization',
        'proxy-connection',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
    ),
)
#: Headers by which an endpoint knows whom it serves and for whom it holds
#: memory.  Only the system sets them; a caller could pose as somebody else.
_OF_SYSTEM = frozenset(
    (
        'x-attempt-id',
        'x-deadline-seconds',
        'x-owner',
        'x-priority',
        'x-request-id',
        'x-workspace',
    ),
)
#: The body reaches the endpoint decoded, and the API key stays here.
_OF_CALLER = frozenset(('authorization', 'content-encoding'))
#: Headers of an answer that only the system sets.
_OF_ANSWER = frozenset(('idempotency-replayed', 'x-request-id'))
_DISPATCH_LATE = 'the deadline passed before the call was sent'


@attrs.frozen
class PlainCall:
    """One call as the endpoint gets it.

    Attributes
    ----------
    headers
        The caller's headers; what an endpoint may not see is left out.
    system_headers
        Headers that only the system sets.
    """

    method: str
    path: str
    headers: CIMultiDict[str]
    body: bytes
    deadline: float
    system_headers: dict[str, str] = attrs.field(factory=dict)


@attrs.frozen
class PlainAnswer:
    """The whole answer of an endpoint."""

    status: int
    headers: CIMultiDict[str]
    body: bytes


class PlainClient:
    """Calls to plain endpoints, never repeated by the HTTP library."""

    def __init__(self, session: aiohttp.ClientSession) -> None:
        """Call over a session that uses each connection once."""
        self._session = session

    async def call(
        self,
        url: str,
        call: PlainCall,
    ) -> Result[PlainAnswer, Refusal]:
        """Make one call and read its whole answer."""
        progress = ConnectionProgress()
        if monotonic() >= call.deadline:
            return Failure(_refuse(url, progress, _DISPATCH_LATE, late=True))
        try:
            async with within(call.deadline):
                return await self._exchange(url, call, progress)
        except asyncio.TimeoutError:
            # Connecting has a bound of its own; when that passed first, there
            # is time left for another endpoint.
            late = monotonic() >= call.deadline
            return Failure(_refuse(url, progress, 'no answer in time', late))
        except (aiohttp.ClientError, OSError) as error:
            return Failure(_refuse(url, progress, repr(error), late=False))

    async def _exchange(
        self,
        url: str,
        call: PlainCall,
        progress: ConnectionProgress,
    ) -> Result[PlainAnswer, Refusal]:
        async with self._session.request(
            call.method,
            url + call.path,
            headers={
                **filter_request_headers(call.headers),
                **call.system_headers,
                'X-Deadline-Seconds': f'{call.deadline - monotonic():.3f}',
            },
            data=call.body or None,
            skip_auto_headers=NEVER_ADDED,
            allow_redirects=False,
            timeout=limit_connecting(CONNECT_TIMEOUT),
            trace_request_ctx=progress,
        ) as response:
            received = await response.content.read(MAX_ANSWER_BYTES + 1)
            while not response.content.at_eof():
                received += await response.content.read(MAX_ANSWER_BYTES)
                if len(received) > MAX_ANSWER_BYTES:
                    return Failure(_refuse_long(url))
            headers = filter_answer_headers(response.headers)
        return Success(PlainAnswer(response.status, headers, received))


def filter_request_headers(headers: CIMultiDict[str]) -> CIMultiDict[str]:
    """Copy the headers of a caller that an endpoint may see."""
    return leave_out(headers, _OF_SYSTEM | _OF_CALLER)


def filter_answer_headers(headers: CIMultiDict[str]) -> CIMultiDict[str]:
    """Copy the headers of an endpoint's answer that the caller may see."""
    return leave_out(headers, _OF_ANSWER)


def leave_out(
    headers: CIMultiDict[str],
    unwanted: frozenset[str],
) -> CIMultiDict[str]:
    """Copy headers without unwanted ones and those of the connection.

    ``Connection`` may name further headers that concern it alone.
    """
    named = ','.join(headers.getall('Connection', ())).lower().split(',')
    dropped = unwanted | _OF_CONNECTION | {name.strip() for name in named}
    return CIMultiDict(
        (name, text)
        for name, text in headers.items()
        if name.lower() not in dropped
    )


def _refuse(
    url: str,
    progress: ConnectionProgress,
    message: str,
    late: bool,
) -> Refusal:
    return Refusal(
        RefusalCode.DEADLINE_EXCEEDED if late else RefusalCode.ENDPOINT_FAILED,
        f'the call failed: {message}',
        Step.DISPATCH if progress.connected else Step.CONNECT,
        peer=url,
        ran=Ran.UNKNOWN if progress.connected else Ran.NO,
    )


def _refuse_long(url: str) -> Refusal:
    return Refusal(
        RefusalCode.ENDPOINT_FAILED,
        f'the answer is longer than {MAX_ANSWER_BYTES} bytes',
        Step.RELAY,
        peer=url,
        ran=Ran.YES,
    )
