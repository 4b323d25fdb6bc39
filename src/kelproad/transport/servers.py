"""HTTP servers, by aiohttp: bounded headers, connections cared for."""

import asyncio
import logging
import socket
from collections.abc import Awaitable, Callable

from aiohttp import web
from aiohttp.http_exceptions import HttpProcessingError

from .addresses import Address
from .services import BackgroundService

__all__ = [
    'HttpServer',
    'finish_answer',
    'send_answer',
    'wait_for_last_byte',
]

#: A caller's header block and request line may not be larger than this.
MAX_HEADER_BYTES = 16_384
#: Seconds that a new connection has until its first headers are there.
HEAD_TIMEOUT = 10.0
#: Seconds for which a connection may stay idle, unless its server says else.
_KEEPALIVE_SECONDS = 30.0
_MALFORMED = (HttpProcessingError, web.RequestPayloadError)
_BACKLOG = 1024
#: Turns of the event loop in which a call that has been read reaches its
#: handler: aiohttp wakes the connection's task, which starts another one.
_READING_TURNS = 5
#: Ended connections that may be remembered before they are looked through.
_KEPT_SLACK = 64


Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]


def _ignore() -> None:
    """Take no note."""


class HttpServer(BackgroundService):
    """An HTTP server on one address, started and stopped with its owner."""

    abstract = False

    def __init__(
        self,
        application: web.Application,
        address: Address,
        note_malformed: Callable[[], None] = _ignore,
        keepalive: float = _KEEPALIVE_SECONDS,
        decode_bodies: bool = True,
        farewell: float = 1.0,
        header_bytes: int = MAX_HEADER_BYTES,
    ) -> None:
        """Prepare to serve an application; nothing listens until started.

        Parameters
        ----------
        application
            What answers.
        address
            Where to listen.
        note_malformed
            Called for input that is not HTTP.
        keepalive
            Seconds for which a connection may stay idle.
        decode_bodies
            Whether a body's content encoding is undone; a body that is passed
            on unread must stay as it is.
        farewell
            Seconds that calls in hand still have when the server closes.
        header_bytes
            Bound on the request line and on each header field.
        """
        super().__init__()
        self._application = application
        self._address = address
        self._note_malformed = note_malformed
        self._runner: web.AppRunner | None = None
        self._listener: asyncio.Server | None = None
        self._unheard: set[asyncio.BaseProtocol] = set()
        self._busy: set[asyncio.BaseProtocol] = set()
        self._kept: set[asyncio.BaseProtocol] = set()
        self._keepalive = keepalive
        self._decode_bodies = decode_bodies
        self._farewell = farewell
        self._header_bytes = header_bytes
        application.middlewares.insert(0, self._note_heard)

    async def on_start(self) -> None:
        """Listen; connections are accepted from here on."""
        self._runner = web.AppRunner(
            self._application,
            access_log=None,
            logger=self._create_logger(),
            # A caller that goes away must free the engine it occupies.
            handler_cancellation=True,
            max_line_size=self._header_bytes,
            max_field_size=self._header_bytes,
            keepalive_timeout=self._keepalive,
            auto_decompress=self._decode_bodies,
            shutdown_timeout=self._farewell,
        )
        await self._runner.setup()
        loop = asyncio.get_running_loop()
        self._listener = await loop.create_server(
            self._accept,
            sock=_listen(self._address),
            backlog=_BACKLOG,
        )

    async def on_stop(self) -> None:
        """Close the listening socket and the connections."""
        if self._listener is not None:
            self._listener.close()
        if self._runner is not None:
            await self._runner.cleanup()

    def list_connections(self) -> list[web.RequestHandler]:
        """List the connections that are open, none before the start."""
        if self._runner is None or self._runner.server is None:
            return []
        return self._runner.server.connections

    async def close_idle(self) -> None:
        """Close kept connections that have no call at the moment.

        One that has not brought its first call is left alone, as that call is
        probably on its way.

        Nothing more is read first, then a call that was being read gets the
        time to reach its handler, then what has none is closed.  To close at
        once would lose a call that has been read; to mark a connection as
        closed and end it later (aiohttp ignores what comes on it then) lost
        every call of the 20 ms between.  Now only what crosses the closing is
        lost, unread.
        """
        idle = [
            connection
            for connection in self.list_connections()
            if connection in self._kept and connection not in self._busy
        ]
        for connection in idle:
            # aiohttp lists one that its caller has just closed until its task
            # has ended.  An error there left those before it unread until the
            # end of the stop.
            if connection.transport is not None:
                connection.transport.pause_reading()
        for _ in range(_READING_TURNS):
            await asyncio.sleep(0)
        for connection in idle:
            self._end_idle(connection)

    def _end_idle(self, connection: web.RequestHandler) -> None:
        """Close a connection unless it has a call by now."""
        transport = connection.transport
        if transport is None:
            return
        if connection in self._busy:
            transport.resume_reading()
            return
        connection.close()
        transport.close()

    def _accept(self) -> asyncio.BaseProtocol:
        """Serve a connection, which must bring its first request in time.

        aiohttp waits for the first headers without a bound, so callers that
        send them byte by byte could hold all connections.
        """
        protocol = self._runner.server()
        self._unheard.add(protocol)
        loop = asyncio.get_running_loop()
        loop.call_later(HEAD_TIMEOUT, self._expire, protocol)
        return protocol

    def _expire(self, protocol: web.RequestHandler) -> None:
        unheard = protocol in self._unheard
        self._unheard.discard(protocol)
        if unheard and protocol.transport is not None:
            protocol.transport.abort()

    @web.middleware
    async def _note_heard(
        self,
        http_request: web.Request,
        handler: Handler,
    ) -> web.StreamResponse:
        protocol = http_request.protocol
        self._unheard.discard(protocol)
        self._busy.add(protocol)
        try:
            return await handler(http_request)
        finally:
            self._busy.discard(protocol)
            self._keep(protocol)

    def _keep(self, protocol: asyncio.BaseProtocol) -> None:
        """Enter a connection that has had a call; forget those that ended."""
        self._kept.add(protocol)
        live = self._runner.server.connections
        if len(self._kept) > 2 * len(live) + _KEPT_SLACK:
            self._kept.intersection_update(live)

    def _create_logger(self) -> logging.Logger:
        """Create the logger of aiohttp's server.

        It logs a trace for whatever is not HTTP, so that any caller could
        flood the log; such input is counted instead.
        """
        logger = logging.Logger(f'{__name__}:{self._address.authority}')
        logger.parent = logging.getLogger('aiohttp.server')
        logger.addFilter(self._filter_malformed)
        return logger

    def _filter_malformed(self, record: logging.LogRecord) -> bool:
        error = record.exc_info[1] if record.exc_info else None
        if not isinstance(error, _MALFORMED):
            return True
        self._note_malformed()
        return False


async def send_answer(
    http_request: web.BaseRequest,
    response: web.StreamResponse,
) -> None:
    """Send an answer of known length, until the network has every byte.

    aiohttp would send it after the handler, where nothing counts it as being
    in hand.
    """
    if response.prepared:
        return
    await response.prepare(http_request)
    await finish_answer(http_request, response)


async def finish_answer(
    http_request: web.BaseRequest,
    response: web.StreamResponse,
) -> None:
    """End an answer that has begun, when the network has every byte.

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
    """Have the sending end only when the network has taken every byte.

    Otherwise it ends with up to 64 KB still in this process, and a planned
    stop, which waits for the sending alone, would cut them off.
    """
    transport = http_request.transport
    if transport is not None:
        transport.set_write_buffer_limits(high=0)


def _listen(address: Address) -> socket.socket:
    family = socket.AF_INET6 if ':' in address.host else socket.AF_INET
    listener = socket.socket(family, socket.SOCK_STREAM)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    # Several processes of one instance may share the address; the platform's
    # process manager starts them, never this program.
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
    listener.bind((address.host, address.port))
    return listener
