"""Calls to plain services: one HTTP exchange, answered whole."""

import asyncio

import aiohttp
import attrs
from multidict import CIMultiDict
from returns.result import Failure, Result, Success

from ..state.refusals import Ran, Refusal, RefusalCode, Step
from ..transport.deadlines import within
from .connections import CONNECT_TIMEOUT, ConnectionProgress

__all__ = ['PlainAnswer', 'PlainCall', 'PlainClient']

#: Largest answer of a plain service that is passed on.
MAX_ANSWER_BYTES = 16_777_216
#: Headers that concern one connection, or that the system sets itself.
_NOT_FORWARDED = frozenset(
    (
        'authorization',
        'connection',
        'content-length',
        'host',
        'keep-alive',
        'proxy-authenticate',
        'proxy-authorization',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
    ),
)


@attrs.frozen
class PlainCall:
    """One call as the endpoint gets it."""

    method: str
    path: str
    headers: CIMultiDict[str]
    body: bytes
    deadline: float


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
        try:
            async with within(call.deadline):
                return await self._exchange(url, call, progress)
        except asyncio.TimeoutError:
            return Failure(
                _refuse(url, progress, 'no answer in time', late=True)
            )
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
            headers=filter_headers(call.headers),
            data=call.body,
            allow_redirects=False,
            timeout=aiohttp.ClientTimeout(
                total=None,
                sock_connect=CONNECT_TIMEOUT,
            ),
            trace_request_ctx=progress,
        ) as response:
            received = await response.content.read(MAX_ANSWER_BYTES + 1)
            while not response.content.at_eof():
                received += await response.content.read(MAX_ANSWER_BYTES)
                if len(received) > MAX_ANSWER_BYTES:
                    return Failure(_refuse_long(url))
            headers = filter_headers(response.headers)
        return Success(PlainAnswer(response.status, headers, received))


def filter_headers(headers: CIMultiDict[str]) -> CIMultiDict[str]:
    """Copy the headers that may cross from one connection to another."""
    return CIMultiDict(
        (name, text)
        for name, text in headers.items()
        if name.lower() not in _NOT_FORWARDED
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
