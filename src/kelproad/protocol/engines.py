"""Client of a model engine's API: streams, load, held memory, cancellation.

Every failure names the step and the engine.  Whether a completion may have been
executed is decided here, where it is known if a byte of it can have been
written.
"""

import asyncio
import types
from collections.abc import AsyncIterator

import aiohttp
import attrs
import msgspec
from returns.result import Failure, Result, Success

from ..state.endpoints import EndpointReport
from ..state.holdings import HeldItem
from ..state.problems import UNREADABLE_ERRORS, parse_digits
from ..state.refusals import Ran, Refusal, RefusalCode, Step
from ..state.statements import RETRY_AFTER, TURNED_AWAY, parse_pause
from ..transport.deadlines import monotonic, within
from ..transport.http import wrap_body
from .connections import (
    CONNECT_TIMEOUT,
    ConnectionProgress,
    build_connect_timeout,
)

__all__ = [
    'Attempt',
    'EngineClient',
    'EngineStream',
]

_OK = 200
_INCARNATION = 'X-Engine-Incarnation'
_CONTINUED = 'X-Continued-Bytes'
_READ_SIZE = 65_536
#: Codes of an engine's refusals that are the caller's fault, not the engine's.
_CALLER_FAULTS = types.MappingProxyType(
    {
        code.value: code
        for code in (RefusalCode.TOO_LARGE, RefusalCode.BAD_REQUEST)
    }
)

#: Errors of an engine's refusal that can't be read.
_REFUSAL_ERRORS: tuple[type[Exception], ...] = (
    asyncio.TimeoutError,
    aiohttp.ClientError,
    *UNREADABLE_ERRORS,
)


@attrs.frozen
class Attempt:
    """One dispatch of a request to an engine.

    Attributes
    ----------
    owner
        Instance and incarnation for which the engine holds memory.
    priority
        Lower is served first.
    deadline
        Monotonic time at which the caller's deadline passes.
    """

    attempt_id: str
    owner: str
    priority: int
    deadline: float

    def headers(self) -> dict[str, str]:
        """Build the headers of the dispatch, with the remaining seconds."""
        remaining = max(0, self.deadline - monotonic())
        return {
            'Content-Type': 'application/json',
            'X-Attempt-Id': self.attempt_id,
            'X-Owner': self.owner,
            'X-Priority': str(self.priority),
            'X-Deadline-Seconds': f'{remaining:.3f}',
        }


@attrs.frozen
class _HeldItems:
    held: list[HeldItem]


class EngineStream:
    """An open stream of one attempt, which must always be closed.

    Attributes
    ----------
    incarnation
        Changes when the engine restarts; empty if the engine states none.
    continued_bytes
        Size in bytes of the text that the engine confirms to continue.
    """

    def __init__(self, response: aiohttp.ClientResponse) -> None:
        """Wrap a response whose body has not been read."""
        self._response = response
        self.incarnation = response.headers.get(_INCARNATION, '')
        confirmed = response.headers.get(_CONTINUED, '')
        self.continued_bytes = parse_digits(confirmed) or 0

    async def read(self) -> AsyncIterator[bytes]:
        """Yield bytes as they arrive until the end of the body."""
        async for received in self._response.content.iter_any():
            yield received

    def close(self) -> None:
        """Close the connection; the engine must be cancelled separately."""
        self._response.close()


class EngineClient:
    """Client of engines, which are addressed by their base URL."""

    def __init__(self, session: aiohttp.ClientSession) -> None:
        """Use a session whose traces record connections."""
        self._session = session

    async def open_stream(
        self,
        url: str,
        path: str,
        attempt: Attempt,
        body: bytes,
        until: float,
    ) -> Result[EngineStream, Refusal]:
        """Dispatch a completion; its answer must begin by ``until``."""
        opened = await self._open('POST', url, path, attempt, until, body)
        if isinstance(opened, Failure):
            return opened
        response = opened.unwrap()
        if response.status == _OK:
            return Success(EngineStream(response))
        return Failure(await _convert_refusal(url, response, until))

    async def resume_stream(
        self,
        url: str,
        attempt: Attempt,
        next_number: int,
        until: float,
    ) -> Result[EngineStream, Refusal]:
        """Resume a broken stream at an event number.

        The code ``NOT_FOUND`` means that the engine no longer holds the
        stream, so that another request would fail too.
        """
        path = f'/v1/streams/{attempt.attempt_id}?from={next_number}'
        opened = await self._open('GET', url, path, attempt, until, None)
        if isinstance(opened, Failure):
            return opened
        response = opened.unwrap()
        if response.status == _OK:
            return Success(EngineStream(response))
        response.close()
        return Failure(
            Refusal(
                RefusalCode.NOT_FOUND,
                f'the engine answered {response.status} to a resume request',
                Step.RELAY,
                peer=url,
                ran=Ran.UNKNOWN,
            ),
        )

    async def release(
        self,
        url: str,
        kind: str,
        item_id: str,
        timeout: float,
    ) -> bool:
        """Release an item that the engine holds.

        This is idempotent; an engine that has not received an attempt yet will
        refuse it when it arrives.

        Returns
        -------
        bool
            Whether the engine confirmed the release.
        """
        body = await self._fetch(
            'DELETE',
            f'{url}/v1/{kind}s/{item_id}',
            timeout,
        )
        return body is not None

    async def read_load(
        self,
        url: str,
        endpoint: str,
        timeout: float,
    ) -> EndpointReport | None:
        """Query an engine's load; ``None`` without a valid answer."""
        body = await self._fetch('GET', f'{url}/v1/load', timeout)
        if body is None:
            return None
        try:
            fields = msgspec.json.decode(body, type=dict[str, object])
            return msgspec.convert(
                {**fields, 'endpoint': endpoint},
                type=EndpointReport,
            )
        except UNREADABLE_ERRORS:
            return None

    async def list_held(
        self,
        url: str,
        timeout: float,
    ) -> list[HeldItem] | None:
        """List the items an engine holds; ``None`` without a valid answer."""
        body = await self._fetch('GET', f'{url}/v1/held', timeout)
        if body is None:
            return None
        try:
            return msgspec.json.decode(body, type=_HeldItems).held
        except UNREADABLE_ERRORS:
            return None

    async def _fetch(
        self,
        method: str,
        url: str,
        timeout: float,
    ) -> bytes | None:
        try:
            async with within(monotonic() + timeout):
                async with self._session.request(
                    method,
                    url,
                    allow_redirects=False,
                ) as response:
                    body = await response.read()
        except (aiohttp.ClientError, OSError, asyncio.TimeoutError):
            return None
        return body if response.status == _OK else None

    async def _open(
        self,
        method: str,
        url: str,
        path: str,
        attempt: Attempt,
        until: float,
        body: bytes | None,
    ) -> Result[aiohttp.ClientResponse, Refusal]:
        progress = ConnectionProgress()
        try:
            async with within(until):
                response = await self._session.request(
                    method,
                    url + path,
                    headers=attempt.headers(),
                    data=wrap_body(body),
                    allow_redirects=False,
                    timeout=build_connect_timeout(CONNECT_TIMEOUT),
                    trace_request_ctx=progress,
                )
        except asyncio.TimeoutError:
            return Failure(_refuse_timeout(url, attempt, progress.connected))
        except (aiohttp.ClientError, OSError) as error:
            return Failure(_refuse_disconnected(url, progress.connected, error))
        return Success(response)


def _refuse_timeout(url: str, attempt: Attempt, connected: bool) -> Refusal:
    """Refuse for the passed deadline, or before it for a silent engine."""
    deadline_passed = monotonic() >= attempt.deadline
    return Refusal(
        RefusalCode.DEADLINE_EXCEEDED
        if deadline_passed
        else RefusalCode.ENDPOINT_FAILED,
        'the engine did not begin its answer in time',
        Step.DISPATCH if connected else Step.CONNECT,
        peer=url,
        ran=Ran.UNKNOWN if connected else Ran.NO,
    )


def _refuse_disconnected(
    url: str, connected: bool, error: Exception
) -> Refusal:
    return Refusal(
        RefusalCode.ENDPOINT_FAILED,
        f'the connection failed: {error!r}',
        Step.DISPATCH if connected else Step.CONNECT,
        peer=url,
        ran=Ran.UNKNOWN if connected else Ran.NO,
    )


async def _convert_refusal(
    url: str,
    response: aiohttp.ClientResponse,
    deadline: float,
) -> Refusal:
    """Convert an engine's refusal; it states whether the attempt ran."""
    try:
        async with within(deadline):
            body = await response.content.read(_READ_SIZE)
        reported = msgspec.json.decode(body, type=dict[str, object])
    except _REFUSAL_ERRORS:
        reported = {}
    finally:
        response.close()
    ran = Ran.NO if reported.get('ran') == 'no' else Ran.UNKNOWN
    pause = parse_pause(response.headers.get(RETRY_AFTER, '')) or 0
    return Refusal(
        _CALLER_FAULTS.get(reported.get('code'), RefusalCode.ENDPOINT_FAILED),
        f'the engine answered {response.status}: {reported.get("message", "")}',
        Step.DISPATCH,
        peer=url,
        ran=ran,
        pause=pause if response.status in TURNED_AWAY else 0,
    )
