"""HTTP servers on aiohttp."""

import asyncio
import logging
import socket
import struct
from collections.abc import Awaitable, Callable
from typing import cast

from aiohttp import web
from aiohttp.http import StreamWriter
from aiohttp.http_exceptions import HttpProcessingError
from multidict import MultiMapping

from .addresses import Address
from .callerconnections import CallerConnections, ConnectionTimeouts
from .requesthandlers import CallerHandler, InputBounds
from .services import BackgroundService

__all__ = [
    'HttpServer',
    'abort_answer',
    'discard_answer',
    'finish_answer',
    'send_answer',
    'wait_for_last_byte',
]

#: Seconds within which a new connection must deliver its first headers.
HEAD_TIMEOUT = 10.0
#: Default seconds for which a connection may stay idle.
_KEEPALIVE_SECONDS = 30.0
#: Seconds after which aiohttp closes idle connections by itself.
_LONGEST_IDLE_SECONDS = 3600.0
_MALFORMED = (HttpProcessingError, web.RequestPayloadError)
#: Connections that wait to be accepted, and that are accepted at once: those
#: beyond the bound take a descriptor until the next turn of the event loop.
_BACKLOG = 1024
_ACCEPTED_AT_ONCE = 16
#: Bytes that the kernel holds unread for a connection, and as much again for
#: its bookkeeping.
_UNREAD_BYTES = 32_768
#: Bytes of a body, once or twice, that wait for their handler.
_BODY_BUFFER_BYTES = 32_768
#: Option by which closing a socket resets its connection.
_RESET_ON_CLOSE = struct.pack('ii', 1, 0)


Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]


def _ignore() -> None:
    """Ignore malformed input."""


def _ignore_unhandled(_headers: MultiMapping[str], _by: str) -> None:
    """Ignore calls that were read and not handled."""


def _choose_timeouts() -> ConnectionTimeouts:
    return ConnectionTimeouts(HEAD_TIMEOUT, _KEEPALIVE_SECONDS)


class HttpServer(BackgroundService):
    """An HTTP server on one address, started and stopped with its parent."""

    abstract = False

    def __init__(
        self,
        application: web.Application,
        address: Address,
        on_malformed: Callable[[], None] = _ignore,
        read_timeouts: Callable[[], ConnectionTimeouts] = _choose_timeouts,
        decode_bodies: bool = True,
        shutdown_timeout: float = 1.0,
        bounds: InputBounds | None = None,
        on_unhandled: Callable[
            [MultiMapping[str], str], None
        ] = _ignore_unhandled,
    ) -> None:
        """Prepare to serve an application; it listens once it is started.

        Parameters
        ----------
        application
            Application that answers.
        address
            Address to listen on.
        on_malformed
            Called for input that is not HTTP.
        read_timeouts
            Returns how long callers may take at present, and stay idle.
        decode_bodies
            Whether content encodings of bodies are decoded; a body that is
            forwarded unread must stay encoded.
        shutdown_timeout
            Seconds within which calls in progress must end when the server
            closes.
        bounds
            Bounds on what callers send, the default ones if ``None``.
        on_unhandled
            Called with the headers of a call that was read and reached no
            handler, and with who ended its connection: ``caller`` or
            ``instance``.
        """
        super().__init__()
        self._application = application
        self._address = address
        self._on_malformed = on_malformed
        self._runner: web.AppRunner | None = None
        self._listener: asyncio.Server | None = None
        self._bounds = bounds or InputBounds()
        self._connections = CallerConnections(
            self.list_connections,
            read_timeouts,
            on_unhandled,
            self._bounds.connections,
        )
        self._decode_bodies = decode_bodies
        self._shutdown_timeout = shutdown_timeout
        application.middlewares.insert(0, self._track_call)

    async def on_start(self) -> None:
        """Start listening and accepting connections."""
        self._runner = web.AppRunner(
            self._application,
            access_log=None,
            logger=self._create_logger(),
            # When a caller disconnects, its engine must become free.
            handler_cancellation=True,
            max_line_size=self._bounds.header_bytes,
            max_field_size=self._bounds.header_bytes,
            read_bufsize=_BODY_BUFFER_BYTES,
            keepalive_timeout=_LONGEST_IDLE_SECONDS,
            auto_decompress=self._decode_bodies,
            shutdown_timeout=self._shutdown_timeout,
        )
        await self._runner.setup()
        loop = asyncio.get_running_loop()
        listening = _create_listener(self._address)
        self._listener = await loop.create_server(
            self._accept, sock=listening, backlog=_ACCEPTED_AT_ONCE
        )
        listening.listen(_BACKLOG)

    async def on_stop(self) -> None:
        """Close the listening socket and the connections."""
        if self._listener is not None:
            self._listener.close()
        await self._connections.close_unused()
        if self._runner is not None:
            await self._runner.cleanup()
        self._connections.end()

    def list_connections(self) -> list[web.RequestHandler]:
        """List the open connections; before the start there are none."""
        if self._runner is None or self._runner.server is None:
            return []
        return self._runner.server.connections

    async def close_idle(self) -> None:
        """Close the connections that have had a call and have none now."""
        await self._connections.close_idle()

    def _accept(self) -> asyncio.BaseProtocol:
        """Serve a connection."""
        return CallerHandler.from_server(
            self._runner.server,
            self._bounds.read_head_bytes,
            self._connections,
        )

    @web.middleware
    async def _track_call(
        self,
        http_request: web.Request,
        handler: Handler,
    ) -> web.StreamResponse:
        connection = http_request.protocol
        self._connections.begin_call(connection, http_request.content)
        try:
            return await handler(http_request)
        finally:
            self._connections.end_call(connection)

    def _create_logger(self) -> logging.Logger:
        """Create the logger of aiohttp's server.

        aiohttp logs a traceback for input that is not HTTP, so any caller
        could flood the log; such input is counted instead.
        """
        logger = logging.Logger(f'{__name__}:{self._address.authority}')
        logger.parent = logging.getLogger('aiohttp.server')
        logger.addFilter(self._filter_malformed)
        return logger

    def _filter_malformed(self, record: logging.LogRecord) -> bool:
        error = record.exc_info[1] if record.exc_info else None
        if not isinstance(error, _MALFORMED):
            return True
        self._on_malformed()
        return False


async def send_answer(
    http_request: web.BaseRequest,
    response: web.StreamResponse,
) -> None:
    """Send an answer of known length and wait until it is written.

    aiohttp would send it after the handler has returned, when the call no
    longer counts as in progress.
    """
    if response.prepared:
        return
    await response.prepare(http_request)
    await finish_answer(http_request, response)


async def finish_answer(
    http_request: web.BaseRequest,
    response: web.StreamResponse,
) -> None:
    """End an answer that has begun and wait until it is written.

    The next answer on the connection is buffered as usual again: a stream
    would otherwise wait for its caller at each event.
    """
    transport = http_request.transport
    wait_for_last_byte(http_request)
    try:
        await response.write_eof()
    finally:
        if transport is not None:
            transport.set_write_buffer_limits()


def wait_for_last_byte(http_request: web.BaseRequest) -> None:
    """Make sending complete only when every byte is written to the socket.

    Otherwise it completes with up to 64 KB still in this process, and a
    planned stop, which waits only for sending to complete, would drop them.
    """
    transport = http_request.transport
    if transport is not None:
        transport.set_write_buffer_limits(high=0)


def abort_answer(http_request: web.BaseRequest) -> None:
    """Abort a connection, so that its answer can't look complete.

    An answer in chunks lacks the last one then.  Any other one may end with its
    connection, so that only a reset tells its caller that a part is missing.
    """
    transport = http_request.transport
    if transport is None:
        return
    if not cast(StreamWriter, http_request.writer).chunked:
        transport.get_extra_info('socket').setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE
        )
    transport.abort()


def discard_answer(http_request: web.BaseRequest) -> None:
    """Forget an answer of which nothing was sent, before another one is.

    Otherwise that would be encoded in chunks because the first one was.
    """
    cast(StreamWriter, http_request.writer).chunked = False


def _create_listener(address: Address) -> socket.socket:
    family = socket.AF_INET6 if ':' in address.host else socket.AF_INET
    listener = socket.socket(family, socket.SOCK_STREAM)
    # Accepted connections inherit it; otherwise the kernel lets each grow to
    # megabytes, which the instance's machine has to hold.
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, _UNREAD_BYTES)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    # Several processes of one instance may share the address; the platform's
    # process manager starts them, never this program.
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
    listener.bind((address.host, address.port))
    return listener
