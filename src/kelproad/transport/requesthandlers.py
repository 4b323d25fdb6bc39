"""What one connection of a caller delivers, parsed within bounds."""

import asyncio
import logging
import os
from collections.abc import Callable
from typing import Protocol, Self

import aiohttp
import attrs
from aiohttp import web

from ..state.budgets import choose_connection_limit
from .http import is_endless

__all__ = ['CallerHandler', 'ConnectionObserver', 'InputBounds']

_logger = logging.getLogger(__name__)
#: Bytes of a head: request line, all header fields, empty lines before them.
_HEAD_BYTES = 65_536
#: Descriptors where a process may have any number.
_MANY_DESCRIPTORS = 65_536
#: Bytes that are parsed at once while no body arrives, and so the bytes by
#: which a head may exceed its bound.
_HEAD_PIECE_BYTES = 4096
#: The same while a body arrives, and bytes that are received at once.
_BODY_PIECE_BYTES = 16_384
_RECEIVED_BYTES = 16_384
#: The same while a body has more framing than content: small chunks cost much
#: time for each byte.
_RECEIVED_DENSE_BYTES = 1024
#: Bytes behind a call that waits for its turn from which on nothing more is
#: received.  Until then a caller that leaves is noticed.
_AHEAD_BYTES = 16_384


def _read_descriptor_limit() -> int:
    limit = os.sysconf('SC_OPEN_MAX')
    return limit if limit > 0 else _MANY_DESCRIPTORS


def _choose_head_bytes() -> int:
    return _HEAD_BYTES


def _choose_connections() -> int:
    return choose_connection_limit(_read_descriptor_limit(), 0)


@attrs.frozen
class InputBounds:
    """Bounds on what all callers of a server send.

    Attributes
    ----------
    header_bytes
        Maximum size of the request line and of each header field.
    read_head_bytes
        Returns the bytes after which the connection of a caller is closed
        whose head has not ended: request line, all header fields, and empty
        lines before them.
    connections
        Most connections that are open.
    """

    header_bytes: int = 16_384
    read_head_bytes: Callable[[], int] = _choose_head_bytes
    connections: int = attrs.field(factory=_choose_connections)

    @classmethod
    def from_machine(
        cls,
        descriptors: float,
        memory_bytes: float,
        header_bytes: int,
        read_head_bytes: Callable[[], int],
    ) -> Self:
        """Choose the bounds by what the machine has, 0 if that is unknown."""
        available = descriptors or _read_descriptor_limit()
        return cls(
            header_bytes,
            read_head_bytes,
            choose_connection_limit(available, memory_bytes),
        )


class ConnectionObserver(Protocol):
    """What follows the connections of a server."""

    def begin(self, connection: web.RequestHandler) -> None:
        """Follow a connection that has been made."""

    def record_end(self, connection: web.RequestHandler, by: str) -> None:
        """Record who ended a connection: ``caller`` or ``instance``."""


class CallerHandler(web.RequestHandler):
    """aiohttp's protocol of a connection, with bounds on what callers send.

    aiohttp bounds each header field but not the sum of all; and it parses many
    requests that are sent ahead, with the beginnings of their bodies.  Here one
    call waits parsed for its turn, and what comes behind it is held as it is.
    """

    def __init__(
        self,
        server: web.Server,
        read_head_bytes: Callable[[], int],
        observer: ConnectionObserver,
        **options: object,
    ) -> None:
        """Handle a connection of a server.

        Parameters
        ----------
        server
            aiohttp's server, which has the handler of calls.
        read_head_bytes
            Returns the maximum bytes of a head at present.
        observer
            Told of the begin and the end of the connection.
        options
            Those of aiohttp's protocol.
        """
        super().__init__(server, **options)
        # aiohttp asks for more as it takes each call from its queue.
        self._max_msg_queue_size = 1
        self._msg_queue_resume_size = 0
        self._read_head_bytes = read_head_bytes
        self._observer = observer
        self._has_caller_left = False
        #: What was received and is not parsed yet.
        self._unparsed = b''
        self._is_parsing = False
        #: Calls whose heads have been parsed.
        self._parsed_calls = 0
        #: Bytes since the last head or body that was complete.
        self._head_bytes = 0
        #: The newest body, the bytes that were received for it, and those of
        #: them that came since its content last grew.
        self._body: aiohttp.StreamReader | None = None
        self._received_bytes = 0
        self._content_bytes = 0
        self._idle_bytes = 0

    @classmethod
    def from_server(
        cls,
        server: web.Server,
        read_head_bytes: Callable[[], int],
        observer: ConnectionObserver,
    ) -> Self:
        """Handle a connection with the options of a server."""
        return cls(
            server,
            read_head_bytes,
            observer,
            loop=asyncio.get_running_loop(),
            **server._kwargs,  # noqa: WPS437  aiohttp has no hook
        )

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Receive little at a time, so that all connections have their turn."""
        transport.max_size = _RECEIVED_BYTES
        super().connection_made(transport)
        self._observer.begin(self)

    def data_received(self, received: bytes) -> None:
        """Parse what was received, or hold it while a call waits its turn.

        Without data, the parser goes on with what it has.
        """
        self._unparsed += received
        if self._is_parsing:
            return
        self._is_parsing = True
        try:
            self._parse(is_forced=not received)
        finally:
            self._is_parsing = False
        if len(self._unparsed) > _AHEAD_BYTES:
            self._pause_transport_reading()

    def resume_reading(self, resume_parser: bool = True) -> None:
        """Go on with what is held as well."""
        super().resume_reading(resume_parser)
        if self._unparsed:
            self.data_received(b'')

    def eof_received(self) -> None:
        """Record that the caller has closed its direction.

        The transport closes the connection then.
        """
        self._has_caller_left = True
        super().eof_received()

    def connection_lost(self, error: Exception | None) -> None:
        """Record the end before aiohttp forgets what it has read."""
        has_caller_left = self._has_caller_left or error is not None
        by = 'caller' if has_caller_left else 'instance'
        self._observer.record_end(self, by)
        super().connection_lost(error)

    async def finish_response(
        self,
        request: web.BaseRequest,
        resp: web.StreamResponse,
        start_time: float | None,
    ) -> tuple[web.StreamResponse, bool]:
        """Go on with what came behind a request to switch protocols."""
        finished = await super().finish_response(request, resp, start_time)
        if self._unparsed:
            self.data_received(b'')
        return finished

    def _pause_reading_for_buffer(self) -> None:
        """Go on receiving, up to a bound, while a call waits for its turn."""
        self._buffer_paused = True

    def _parse(self, is_forced: bool) -> None:
        """Parse piece by piece until a call waits or a bound is met."""
        while is_forced or (self._unparsed and self._has_room()):
            is_forced = False
            piece = self._take_piece()
            super().data_received(piece)  # noqa: WPS613
            self._count(len(piece))

    def _has_room(self) -> bool:
        """Return whether more may be parsed."""
        is_held = self._messages or self._reading_paused or self._upgraded
        return not (is_held or self._is_closing())

    def _take_piece(self) -> bytes:
        if not self._has_room():
            return b''
        is_body = self._is_body_open()
        length = _BODY_PIECE_BYTES if is_body else _HEAD_PIECE_BYTES
        piece = self._unparsed[:length]
        self._unparsed = self._unparsed[length:]
        return piece

    def _is_body_open(self) -> bool:
        return self._body is not None and not self._body.is_eof()

    def _is_closing(self) -> bool:
        return self.transport is None or self.transport.is_closing()

    def _count(self, parsed_bytes: int) -> None:
        """Count bytes that were parsed, and close beyond a bound."""
        if self._request_count > self._parsed_calls:
            self._parsed_calls = self._request_count
            self._begin_body()
        if self._is_body_open():
            self._count_body(parsed_bytes)
        elif self._body is None:
            self._count_head(parsed_bytes)
        else:
            self._body = None

    def _begin_body(self) -> None:
        """Begin to count for the newest call, whose head has been parsed.

        Amid a body the only other message is an error of the parser, such as a
        trailer that is too long, of which the body's reader isn't told.
        """
        if self._is_body_open():
            self._abort('a body that is malformed')
            return
        self._head_bytes = 0
        self._received_bytes = 0
        self._content_bytes = 0
        self._idle_bytes = 0
        self._receive_at_once(_RECEIVED_BYTES)
        if self._messages:
            self._body = self._messages[-1][1]

    def _count_head(self, parsed_bytes: int) -> None:
        self._head_bytes += parsed_bytes
        if self._head_bytes > self._read_head_bytes():
            self._abort('a head without end')

    def _count_body(self, parsed_bytes: int) -> None:
        """Count bytes of a body, of which trailers are kept like a head."""
        self._received_bytes += parsed_bytes
        self._idle_bytes += parsed_bytes
        content = self._body.total_bytes
        is_dense = self._received_bytes > 2 * content + _RECEIVED_DENSE_BYTES
        self._receive_at_once(
            _RECEIVED_DENSE_BYTES if is_dense else _RECEIVED_BYTES
        )
        if content > self._content_bytes:
            self._content_bytes = content
            self._idle_bytes = 0
        is_idle = self._idle_bytes > self._read_head_bytes()
        if is_idle or is_endless(self._received_bytes, content):
            self._abort('a body without end')

    def _receive_at_once(self, size: int) -> None:
        if self.transport is not None:
            self.transport.max_size = size

    def _abort(self, reason: str) -> None:
        """Abort the connection of a caller that sends without end.

        A call in progress that has arrived whole is answered before; what
        comes until then is dropped.
        """
        if self._is_closing() or self._close:
            return
        _logger.info('%s: %r', reason, self.transport)
        if self._current_request is None or self._is_body_open():
            self.transport.abort()
        else:
            self.close()
