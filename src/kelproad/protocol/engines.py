"""The API of a model engine: streams, load, held memory, cancellation.

Every call names its step and the engine on failure.  Whether a completion may
have been executed is decided here, where it is known if a byte of it can have
been written.
"""

import asyncio
import io
import types
from collections.abc import AsyncIterator

import aiohttp
import attrs
import msgspec
from returns.result import Failure, Result, Success

from ..state.holdings import HeldItem
from ..state.members import EndpointReport
from ..state.refusals import Ran, Refusal, RefusalCode, Step
from ..transport.deadlines import monotonic, within
from .connections import (
    CONNECT_TIMEOUT,
    ConnectionProgress,
    limit_connecting,
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
#: Bytes of a body that are written at once.
_PIECE_BYTES = 65_536
#: Refusals of an engine that are the request's fault, not its own.
_CALLERS_FAULTS = types.MappingProxyType(
    {
        code.value: code
        for code in (RefusalCode.TOO_LARGE, RefusalCode.BAD_REQUEST)
    }
)


@attrs.frozen
class Attempt:
    """One dispatch of a request to an engine.

    Attributes
    ----------
    owner
        Instance and incarnation that answer for the engine's memory.
    priority
        Lower is served first.
    deadline
        Monotonic time until which the answer is wanted.
    """

    attempt_id: str
    owner: str
    priority: int
    deadline: float

    def headers(self) -> dict[str, str]:
        """Build the headers that accompany the dispatch."""
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
    """An open stream of one attempt; close it on every path.

    Attributes
    ----------
    incarnation
        Changes when the engine restarts; empty when the engine does not say.
    continued_bytes
        Bytes of the text that the engine confirms to continue.
    """

    def __init__(self, response: aiohttp.ClientResponse) -> None:
        """Wrap a response whose body has not been read."""
        self._response = response
        self.incarnation = response.headers.get(_INCARNATION, '')
        confirmed = response.headers.get(_CONTINUED, '')
        self.continued_bytes = int(confirmed) if confirmed.isdecimal() else 0

    async def read(self) -> AsyncIterator[bytes]:
        """Yield bytes as they arrive until the connection's end."""
        async for received in self._response.content.iter_any():
            yield received

    def close(self) -> None:
        """Drop the connection; the engine must be told separately."""
        self._response.close()


class EngineClient:
    """Calls to engines, addressed by their base URL."""

    def __init__(self, session: aiohttp.ClientSession) -> None:
        """Call over a session."""
        self._session = session

    async def open_stream(
        self,
        url: str,
        path: str,
        attempt: Attempt,
        body: bytes,
        until: float,
    ) -> Result[EngineStream, Refusal]:
        """Dispatch a completion; its answer must begin ``until`` then."""
        opened = await self._open('POST', url, path, attempt, until, body)
        if isinstance(opened, Failure):
            return opened
        response = opened.unwrap()
        if response.status == _OK:
            return Success(EngineStream(response))
        return Failure(await _refuse_answered(url, response, until))

    async def resume_stream(
        self,
        url: str,
        attempt: Attempt,
        next_number: int,
        until: float,
    ) -> Result[EngineStream, Refusal]:
        """Take up a broken stream at an event number.

        The code ``NOT_FOUND`` says that the engine holds the stream no more,
        so that asking again is of no use.
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
                f'the engine answered {response.status} to a resume',
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
        """Release something that the engine holds.

        It is idempotent, and an engine that has not seen an attempt yet will
        refuse it when it arrives.

        Returns
        -------
        bool
            Whether the engine confirmed it.
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
        """Ask an engine for its load, ``None`` when it does not answer."""
        body = await self._fetch('GET', f'{url}/v1/load', timeout)
        if body is None:
            return None
        try:
            fields = msgspec.json.decode(body, type=dict[str, object])
            return msgspec.convert(
                {**fields, 'endpoint': endpoint},
                type=EndpointReport,
            )
        except (msgspec.DecodeError, msgspec.ValidationError):
            return None

    async def list_held(
        self,
        url: str,
        timeout: float,
    ) -> list[HeldItem] | None:
        """List what an engine holds, ``None`` when it does not answer."""
        body = await self._fetch('GET', f'{url}/v1/held', timeout)
        if body is None:
            return None
        try:
            return msgspec.json.decode(body, type=_HeldItems).held
        except msgspec.DecodeError:
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
                    data=_wrap_body(body),
                    allow_redirects=False,
                    timeout=limit_connecting(CONNECT_TIMEOUT),
                    trace_request_ctx=progress,
                )
        except asyncio.TimeoutError:
            return Failure(_refuse_timeout(url, attempt, progress.connected))
        except (aiohttp.ClientError, OSError) as error:
            return Failure(_refuse_broken(url, progress.connected, error))
        return Success(response)


def _wrap_body(body: bytes | None) -> bytes | io.BytesIO | None:
    """Have a large body written piece by piece.

    Written at once, all of it that the socket does not take would be copied
    into the connection's buffer, and the event loop would stand still.
    """
    if body is None or len(body) <= _PIECE_BYTES:
        return body
    return io.BytesIO(body)


def _refuse_timeout(url: str, attempt: Attempt, connected: bool) -> Refusal:
    """Refuse for the deadline, or before it, for an engine that is silent."""
    is_late = monotonic() >= attempt.deadline
    return Refusal(
        RefusalCode.DEADLINE_EXCEEDED
        if is_late
        else RefusalCode.ENDPOINT_FAILED,
        'the engine did not begin its answer in time',
        Step.DISPATCH if connected else Step.CONNECT,
        peer=url,
        ran=Ran.UNKNOWN if connected else Ran.NO,
    )


def _refuse_broken(url: str, connected: bool, error: Exception) -> Refusal:
    return Refusal(
        RefusalCode.ENDPOINT_FAILED,
        f'the connection failed: {error!r}',
        Step.DISPATCH if connected else Step.CONNECT,
        peer=url,
        ran=Ran.UNKNOWN if connected else Ran.NO,
    )


async def _refuse_answered(
    url: str,
    response: aiohttp.ClientResponse,
    deadline: float,
) -> Refusal:
    """Turn an engine's own refusal into ours; it says whether it ran."""
    try:
        async with within(deadline):
            body = await response.content.read(_READ_SIZE)
        said = msgspec.json.decode(body, type=dict[str, object])
    except (
        asyncio.TimeoutError,
        aiohttp.ClientError,
        msgspec.DecodeError,
    ):
        said = {}
    finally:
        response.close()
    ran = Ran.NO if said.get('ran') == 'no' else Ran.UNKNOWN
    return Refusal(
        _CALLERS_FAULTS.get(said.get('code'), RefusalCode.ENDPOINT_FAILED),
        f'the engine answered {response.status}: {said.get("message", "")}',
        Step.DISPATCH,
        peer=url,
        ran=ran,
    )
