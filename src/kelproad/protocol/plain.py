"""Client of plain services: one HTTP request with its complete answer."""

import asyncio

import aiohttp
import attrs
from multidict import CIMultiDict
from returns.result import Failure, Result, Success

from ..state.refusals import Ran, Refusal, RefusalCode, Step
from ..transport.deadlines import monotonic, within
from ..transport.http import wrap_body
from .connections import (
    CONNECT_TIMEOUT,
    SKIPPED_AUTO_HEADERS,
    ConnectionProgress,
    build_connect_timeout,
)

__all__ = ['PlainAnswer', 'PlainCall', 'PlainClient', 'filter_headers']

#: Largest answer of a plain service that is forwarded.
MAX_ANSWER_BYTES = 16_777_216
#: Headers that apply to a single connection (hop-by-hop).
_HOP_BY_HOP_HEADERS = frozenset(
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
#: Headers that identify to an endpoint the caller and the owner of the memory
#: it holds.  Only the system sets them, as a caller could impersonate another.
_SYSTEM_HEADERS = frozenset(
    (
        'x-attempt-id',
        'x-deadline-seconds',
        'x-owner',
        'x-priority',
        'x-request-id',
        'x-workspace',
    ),
)
#: The body is sent to the endpoint decoded, and the API key is not forwarded.
_CALLER_HEADERS = frozenset(('authorization', 'content-encoding'))
#: Headers of an answer that only the system sets.
_SYSTEM_ANSWER_HEADERS = frozenset(('idempotency-replayed', 'x-request-id'))
_NOT_SENT_IN_TIME = 'the deadline passed before the call was sent'


@attrs.frozen
class PlainCall:
    """One call to an endpoint.

    Attributes
    ----------
    headers
        The caller's headers; those not meant for endpoints are removed when
        the call is sent.
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
    """The complete answer of an endpoint, with filtered headers."""

    status: int
    headers: CIMultiDict[str]
    body: bytes


class PlainClient:
    """Client of plain endpoints; aiohttp never retries its calls."""

    def __init__(self, session: aiohttp.ClientSession) -> None:
        """Use a session that makes a new connection for each request."""
        self._session = session

    async def call(
        self,
        url: str,
        call: PlainCall,
    ) -> Result[PlainAnswer, Refusal]:
        """Make one call and read its complete answer."""
        progress = ConnectionProgress()
        if monotonic() >= call.deadline:
            return Failure(_refuse(url, progress, _NOT_SENT_IN_TIME, late=True))
        try:
            async with within(call.deadline):
                return await self._exchange(url, call, progress)
        except asyncio.TimeoutError:
            # Connecting has its own time-out; if that passed first, there is
            # time left for another endpoint.
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
            data=wrap_body(call.body) or None,
            skip_auto_headers=SKIPPED_AUTO_HEADERS,
            allow_redirects=False,
            timeout=build_connect_timeout(CONNECT_TIMEOUT),
            trace_request_ctx=progress,
        ) as response:
            received = await response.content.read(MAX_ANSWER_BYTES + 1)
            while not response.content.at_eof():
                received += await response.content.read(MAX_ANSWER_BYTES)
                if len(received) > MAX_ANSWER_BYTES:
                    return Failure(_refuse_long_answer(url))
            headers = filter_answer_headers(response.headers)
        return Success(PlainAnswer(response.status, headers, received))


def filter_request_headers(headers: CIMultiDict[str]) -> CIMultiDict[str]:
    """Copy those headers of a caller that endpoints may receive."""
    return filter_headers(headers, _SYSTEM_HEADERS | _CALLER_HEADERS)


def filter_answer_headers(headers: CIMultiDict[str]) -> CIMultiDict[str]:
    """Copy those headers of an answer that the caller may receive."""
    return filter_headers(headers, _SYSTEM_ANSWER_HEADERS)


def filter_headers(
    headers: CIMultiDict[str],
    unwanted: frozenset[str],
) -> CIMultiDict[str]:
    """Copy headers without unwanted and hop-by-hop ones.

    ``Connection`` may name further hop-by-hop headers.
    """
    named = ','.join(headers.getall('Connection', ())).lower().split(',')
    dropped = unwanted | _HOP_BY_HOP_HEADERS | {name.strip() for name in named}
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


def _refuse_long_answer(url: str) -> Refusal:
    return Refusal(
        RefusalCode.ENDPOINT_FAILED,
        f'the answer is longer than {MAX_ANSWER_BYTES} bytes',
        Step.RELAY,
        peer=url,
        ran=Ran.YES,
    )
