"""The API of a model engine: streams, load, held memory, cancellation.

Every call names its step and the engine on failure.  Whether a completion may
have been executed is decided here, where it is known if a byte of it can have
been written.
"""

import asyncio
import types
from collections.abc import AsyncIterator

import aiohttp
import attrs
import msgspec
from returns.result import Failure, Result, Success

from ..state.members import EndpointReport
from ..state.refusals import Ran, Refusal, RefusalCode, Step
from ..transport.deadlines import monotonic, within

__all__ = [
    'CONNECT_TIMEOUT',
    'Attempt',
    'ConnectionProgress',
    'EngineClient',
    'EngineStream',
    'HeldItem',
    'trace_connections',
]

_OK = 200
#: Seconds for connecting to an engine within a site.
CONNECT_TIMEOUT = 2.0
_READ_SIZE = 65_536
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
class HeldItem:
    """Something that an engine keeps in memory on somebody's behalf.

    Attributes
    ----------
    kind
        ``stream``, ``export`` or ``pin``.
    remaining
        Seconds until the deadline that came with it, negative if past.
    """

    kind: str
    item_id: str
    owner: str
    tokens: int
    remaining: float


@attrs.frozen
class _HeldItems:
    held: list[HeldItem]


@attrs.define
class ConnectionProgress:
    """What has happened on a connection, for telling whether work ran.

    Attributes
    ----------
    connected
        A connection was given to the request, so that bytes of it may have
        been written.
    """

    connected: bool = False


class EngineStream:
    """An open stream of one attempt; close it on every path."""

    def __init__(self, response: aiohttp.ClientResponse) -> None:
        """Wrap a response whose body has not been read."""
        self._response = response

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
    ) -> Result[EngineStream, Refusal]:
        """Dispatch a completion and wait for the head of its answer."""
        return await self._open(
            'POST',
            url,
            path,
            attempt.deadline,
            attempt.headers(),
            body,
        )

    async def resume_stream(
        self,
        url: str,
        attempt: Attempt,
        next_number: int,
    ) -> Result[EngineStream, Refusal]:
        """Take up a broken stream at an event number."""
        return await self._open(
            'GET',
            url,
            f'/v1/streams/{attempt.attempt_id}?from={next_number}',
            attempt.deadline,
            attempt.headers(),
            None,
        )

    async def cancel(
        self,
        url: str,
        attempt_id: str,
        timeout: float,
    ) -> bool:
        """Release all that the engine holds for an attempt.

        Cancelling is idempotent, and an engine that has not seen the attempt
        yet will refuse it when it arrives.

        Returns
        -------
        bool
            Whether the engine confirmed it.
        """
        body = await self._fetch(
            'DELETE',
            f'{url}/v1/streams/{attempt_id}',
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
        deadline: float,
        headers: dict[str, str],
        body: bytes | None,
    ) -> Result[EngineStream, Refusal]:
        progress = ConnectionProgress()
        try:
            async with within(deadline):
                response = await self._session.request(
                    method,
                    url + path,
                    headers=headers,
                    data=body,
                    allow_redirects=False,
                    timeout=aiohttp.ClientTimeout(
                        total=None,
                        sock_connect=CONNECT_TIMEOUT,
                    ),
                    trace_request_ctx=progress,
                )
        except asyncio.TimeoutError:
            return Failure(_refuse_timeout(url, progress.connected))
        except (aiohttp.ClientError, OSError) as error:
            return Failure(_refuse_broken(url, progress.connected, error))
        if response.status == _OK:
            return Success(EngineStream(response))
        return Failure(await _refuse_answered(url, response, deadline))


def _refuse_timeout(url: str, connected: bool) -> Refusal:
    return Refusal(
        RefusalCode.DEADLINE_EXCEEDED,
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


def trace_connections() -> aiohttp.TraceConfig:
    """Build the trace that notes when a request has a connection.

    Until then no byte of it can have been written, so a failure before means
    that the work was not run; after, it may have been.
    """
    config = aiohttp.TraceConfig()

    async def note_connected(
        _session: aiohttp.ClientSession,
        context: object,
        _details: object,
    ) -> None:
        progress = context.trace_request_ctx
        if isinstance(progress, ConnectionProgress):
            progress.connected = True

    config.on_connection_create_end.append(note_connected)
    config.on_connection_reuseconn.append(note_connected)
    return config
