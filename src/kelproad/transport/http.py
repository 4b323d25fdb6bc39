"""HTTP client sessions on aiohttp.

The settings common to all connections of the system are made here: no redirects
are followed, and no proxy is taken from the environment.  A server in trouble
may send interim answers, header lines, sizes and extensions of chunks or
trailers without end; none of these makes an answer advance, so what comes
beside content is bounded, whatever it is.  Heads are checked before the parser
reads them, as it accepts what other recipients refuse or read differently.
"""

import asyncio
import functools
import re

import aiohttp
from aiohttp.abc import AbstractStreamWriter
from aiohttp.client_proto import ResponseHandler
from aiohttp.http import HttpProcessingError, RawResponseMessage
from aiohttp.payload import BytesPayload
from aiohttp.streams import StreamReader

from .addresses import Address
from .sockets import OpenSocket, SocketConnector

__all__ = [
    'ConnectionLostError',
    'EndlessAnswerError',
    'InvalidAnswerError',
    'create_single_use_session',
    'create_session',
    'is_endless',
    'is_framed',
    'wrap_body',
]

#: Seconds for which an idle connection is kept open.
_KEEPALIVE_SECONDS = 30.0
#: Bytes of a message that may be no content, and the same for each byte of it:
#: chunks may be as small as one byte.
_MAX_FRAMING_BYTES = 65_536
_FRAMING_PER_BYTE = 16
#: Bytes that are received, or written, in one turn of the event loop.
_PIECE_BYTES = 65_536
#: The same before an answer, as each interim answer costs as much time as a
#: whole one; and how many of these come before an answer.
_HEAD_PIECE_BYTES = 4096
_MAX_INTERIM_ANSWERS = 64
_FIRST_FINAL_STATUS = 200
#: An upgrade, which the status 101 would accept, is never requested.
_START_LINE = re.compile(rb'HTTP/1\.[01] (?!101)[1-5][0-9]{2}(?: .*)?')
_INTERIM = re.compile(rb'\S+ 1')
#: A line that begins with a blank would go on with the one before.
_FIELD_LINE = re.compile(
    rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]+:[^\x00-\x08\x0a-\x1f\x7f]*"
)
_CODING_NAME = re.compile(b'transfer-encoding:', re.IGNORECASE)
#: The one coding that the parser takes off, as it knows it.
_CHUNKED = re.compile(rb'[^:]+:[ \t]*chunked *', re.IGNORECASE)

#: Shown in place of the head so far, where a server closes amid one.
_CUT_HEAD = 'disconnected before the end of a head'

#: The head of an answer, and its body.
_Received = tuple[RawResponseMessage, StreamReader]


class ConnectionLostError(aiohttp.ClientError):
    """The connection was lost after the request may have been sent."""


class EndlessAnswerError(aiohttp.ClientPayloadError):
    """A server sent too many bytes beside content."""


class InvalidAnswerError(aiohttp.ClientError):
    """A server sent what is no answer."""


def is_endless(received_bytes: int, content_bytes: int) -> bool:
    """Return whether too much of what was received is no content."""
    permitted = _MAX_FRAMING_BYTES + content_bytes * _FRAMING_PER_BYTE
    return received_bytes - content_bytes > permitted


class _AnswerHeads:
    """The head of one answer, and interim ones before it, line by line."""

    def __init__(self) -> None:
        """Expect a start line."""
        self._partial_line = b''
        self._start_line = b''
        self._has_coding = False
        self._is_complete = False

    def feed(self, received: bytes) -> None:
        """Check the lines that are complete; what follows a head is ignored.

        Raises
        ------
        InvalidAnswerError
            When a line is invalid.
        """
        if self._is_complete:
            return
        lines = (self._partial_line + received).split(b'\n')
        self._partial_line = lines.pop()
        for line in lines:
            self._check_line(line.removesuffix(b'\r'))
            if self._is_complete:
                self._partial_line = b''
                return

    def _check_line(self, line: bytes) -> None:
        if not line:
            self._end_head()
        elif not self._start_line:
            _check(_START_LINE, line, 'start line')
            self._start_line = line
        else:
            self._check_field(line)

    def _check_field(self, line: bytes) -> None:
        _check(_FIELD_LINE, line, 'header line')
        if _CODING_NAME.match(line):
            _check(_CHUNKED, line, 'transfer coding')
            if self._has_coding:
                raise InvalidAnswerError('two transfer codings of an answer')
            self._has_coding = True

    def _end_head(self) -> None:
        """Expect another head after an interim one, or after blank lines."""
        is_interim = _INTERIM.match(self._start_line)
        self._is_complete = bool(self._start_line) and not is_interim
        self._start_line = b''
        self._has_coding = False


def _build_loss_error() -> ConnectionLostError:
    return ConnectionLostError('connection lost before the end of a body')


def _check(expected: re.Pattern[bytes], line: bytes, name: str) -> None:
    """Raise an error that callers may see, without the line."""
    if not expected.fullmatch(line):
        raise InvalidAnswerError(f'invalid {name} of an answer')


class _BoundedHandler(ResponseHandler):
    """Protocol of a connection whose answers have a bound."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        """Start before the first answer."""
        super().__init__(loop)
        self._received_bytes = 0
        self._interim_answers = 0
        self._has_head = False
        self._has_failed = False
        self._heads = _AnswerHeads()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Receive little at a time: it is held until its reader takes it."""
        transport.max_size = _PIECE_BYTES
        super().connection_made(transport)

    def set_response_params(self, **options: object) -> None:
        """Begin to receive an answer."""
        self._received_bytes = 0
        self._interim_answers = 0
        self._has_head = False
        self._heads = _AnswerHeads()
        super().set_response_params(**options)

    def data_received(self, data: bytes) -> None:
        """Parse what was received, until it is invalid or endless.

        Without data, the parser goes on with what it has.
        """
        while not self._has_failed:
            piece = data if self._has_head else data[:_HEAD_PIECE_BYTES]
            data = data[len(piece) :]
            try:
                self._heads.feed(piece)
            except InvalidAnswerError as error:
                self._fail(error)
                return
            super().data_received(piece)
            self._check_bounds(len(piece))
            if not data or self.exception() is not None:
                return

    def eof_received(self) -> None:
        """Give up an answer that ends before the request is written."""
        transport = self.transport
        if transport is not None and transport.get_write_buffer_size():
            self._fail_unfinished_body(_build_loss_error())
            transport.abort()
        super().eof_received()

    def connection_lost(self, exc: BaseException | None) -> None:
        """Let only an orderly end of the connection end a body.

        The parser accepts any end for a body without a length.
        """
        if exc is not None:
            self._fail_unfinished_body(_build_loss_error())
        super().connection_lost(exc)

    def set_exception(self, exc: BaseException, *cause: BaseException) -> None:
        """Fail with an error that callers may see.

        An error of the parser would be raised with the request's headers and
        bytes of the answer.
        """
        if isinstance(exc, HttpProcessingError):
            origin = cause[0] if cause else exc
            exc = InvalidAnswerError(
                f'malformed answer: {type(origin).__name__}'
            )
            # The parser may leave it waiting for more.
            self._fail_unfinished_body(exc)
        if isinstance(exc, aiohttp.ServerDisconnectedError):
            exc = aiohttp.ServerDisconnectedError(_CUT_HEAD)
        super().set_exception(exc, *cause)

    def feed_data(self, data: _Received, size: int = 0) -> None:
        """Count a head that was parsed."""
        head, _ = data
        if head.code >= _FIRST_FINAL_STATUS:
            self._has_head = True
        else:
            self._interim_answers += 1
        super().feed_data(data, size)

    def _fail_unfinished_body(self, error: aiohttp.ClientError) -> None:
        payload = self._payload
        if payload is not None and not payload.is_eof():
            payload.set_exception(error)

    def _check_bounds(self, received_bytes: int) -> None:
        self._received_bytes += received_bytes
        content = self._payload.total_bytes if self._payload else 0
        if (
            is_endless(self._received_bytes, content)
            or self._interim_answers > _MAX_INTERIM_ANSWERS
        ):
            self._fail(EndlessAnswerError('too many bytes beside content'))

    def _fail(self, error: aiohttp.ClientError) -> None:
        self._has_failed = True
        payload, transport = self._payload, self.transport
        self.set_exception(error)
        if payload is not None:
            payload.set_exception(error)
        if transport is not None:
            transport.abort()


def _bound_framing(connector: aiohttp.TCPConnector) -> aiohttp.TCPConnector:
    """Bound what servers send beside content on connections yet to be made."""
    connector._factory = functools.partial(  # noqa: SLF001  aiohttp has no hook
        _BoundedHandler, loop=asyncio.get_running_loop()
    )
    return connector


def create_session(
    origin: Address | None = None,
    **options: object,
) -> aiohttp.ClientSession:
    """Open a client session that reuses connections.

    Connections are made from the IP address of ``origin``, if one is given.
    """
    connector = aiohttp.TCPConnector(
        limit=0,
        use_dns_cache=False,
        local_addr=(origin.host, 0) if origin else None,
        keepalive_timeout=_KEEPALIVE_SECONDS,
    )
    return aiohttp.ClientSession(
        connector=_bound_framing(connector),
        timeout=aiohttp.ClientTimeout(total=None),
        auto_decompress=False,
        trust_env=False,
        **options,
    )


def create_single_use_session(
    origin: Address | None = None,
    open_socket: OpenSocket | None = None,
    **options: object,
) -> aiohttp.ClientSession:
    """Open a client session that sends each request once, on a new connection.

    A reused connection may turn out to be closed, and then it is unknown
    whether the request was executed.  Connections are opened by
    ``open_socket``, or without it by aiohttp from the IP address of ``origin``.
    """
    local_address = (origin.host, 0) if origin else None
    connector = (
        SocketConnector(open_socket, limit=0, force_close=True)
        if open_socket
        else aiohttp.TCPConnector(
            limit=0,
            use_dns_cache=False,
            local_addr=local_address,
            force_close=True,
        )
    )
    return aiohttp.ClientSession(
        connector=_bound_framing(connector),
        middlewares=(_send_once,),
        timeout=aiohttp.ClientTimeout(total=None),
        auto_decompress=False,
        trust_env=False,
        **options,
    )


async def _send_once(
    http_request: aiohttp.ClientRequest,
    send: aiohttp.ClientHandlerType,
) -> aiohttp.ClientResponse:
    """Keep aiohttp from sending a request a second time.

    aiohttp retries a PUT, a DELETE or a GET by itself when the connection is
    lost without an answer, even if it was new.  The first request may have
    been executed: a stock entry would be booked twice.  aiohttp does not retry
    after exceptions that it does not know.
    """
    try:
        return await send(http_request)
    except aiohttp.ClientConnectorError:
        raise
    except (aiohttp.ClientOSError, aiohttp.ServerDisconnectedError) as error:
        raise ConnectionLostError(repr(error)) from error


def is_framed(response: aiohttp.ClientResponse) -> bool:
    """Return whether a body has a length or chunks, and so an end of its own.

    Any other body ends with its connection.
    """
    encoding = response.headers.get('Transfer-Encoding', '')
    return response.content_length is not None or 'chunked' in encoding.lower()


class _PiecewiseBody(BytesPayload):
    """A body that is written once, in pieces.

    Written at once, everything that the socket does not accept would be copied
    into the connection's buffer, which would take memory and time.  It is
    forgotten as it is written, since its request may be kept in a reference
    cycle until the next full garbage collection.
    """

    async def write(self, writer: AbstractStreamWriter) -> None:
        """Write the body."""
        await self.write_with_length(writer, None)

    async def write_with_length(
        self, writer: AbstractStreamWriter, content_length: int | None
    ) -> None:
        """Write the body, or its begin, each piece once the last has room."""
        if len(self._value) != self.size:
            raise aiohttp.ClientPayloadError('a body can be written once')
        body = memoryview(self._value)[:content_length]
        self._value = b''
        for start in range(0, len(body), _PIECE_BYTES):
            await writer.write(body[start : start + _PIECE_BYTES])


def wrap_body(body: bytes | None) -> bytes | BytesPayload | None:
    """Wrap a large body so that it is written in pieces."""
    if body is None or len(body) <= _PIECE_BYTES:
        return body
    return _PiecewiseBody(body)
