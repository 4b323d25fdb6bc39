"""Servers that send without end what is no answer, in one process."""

import asyncio
import itertools
import socket
import tracemalloc
import types
from collections.abc import AsyncIterator, Callable

import aiohttp
import pytest
from returns.result import Failure

from kelproad.protocol.events import SequenceError
from kelproad.protocol.eventstreams import EventSplitter
from kelproad.protocol.tunnels import TunnelReply, open_tunnel
from kelproad.transport.addresses import Address
from kelproad.transport.deadlines import monotonic
from kelproad.transport.exchanges import exchange
from kelproad.transport.http import (
    EndlessAnswerError,
    create_session,
    create_single_use_session,
)

#: Seconds within which an endless answer is given up, far from any deadline.
GIVE_UP_SECONDS = 1.0
#: Bytes that an endless server sends at most, and of a large sound answer.
MOST_BYTES = 100_000_000
LARGE_BYTES = 8_000_000
MOST_REPLY_BYTES = 33_554_432
#: Interim answers that arrive at once.
MANY_ANSWERS = 2_500
OK = b'HTTP/1.1 200 OK\r\n'
CHUNKED = b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n'
FRAMING = types.MappingProxyType(
    {
        'blank lines': (b'', b'\r\n'),
        'header lines': (OK, b'X-A: b\r\n'),
        'one header': (b'HTTP/1.1 200 OK\r\nX-A: ', b'a'),
        'interim answers': (b'', b'HTTP/1.1 102 Processing\r\n\r\n'),
        'interim headers': (b'HTTP/1.1 102 P\r\n', b'X-A: b\r\n'),
        'size of a chunk': (CHUNKED, b'0'),
        'extension of a chunk': (b'%s1;' % CHUNKED, b'a'),
        'trailers': (b'%s0\r\n' % CHUNKED, b'X-A: b\r\n'),
        'garbage': (b'', b'garbage '),
    }
)


class EndlessServer:
    """A server that answers each call with a beginning and endless pieces."""

    def __init__(self, beginning: bytes, pieces: bytes) -> None:
        """Listen nowhere yet."""
        self.beginning = beginning
        self.pieces = pieces * (65_536 // len(pieces) + 1)
        self.request_end = b'\r\n\r\n'
        self.sent_bytes = 0
        self.ended = asyncio.Event()

    async def handle(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Send until the caller closes the connection."""
        if self.request_end:
            await reader.readuntil(self.request_end)
        try:
            writer.write(self.beginning)
            while self.sent_bytes < MOST_BYTES:
                writer.write(self.pieces)
                self.sent_bytes += len(self.pieces)
                await writer.drain()
        except ConnectionError:
            self.ended.set()
        finally:
            writer.close()


async def ask(server: EndlessServer, single_use: bool) -> object:
    """Read an answer of an endless server until it is given up."""
    listening = await asyncio.start_server(server.handle, '127.0.0.1', 0)
    host, port = listening.sockets[0].getsockname()
    create = create_single_use_session if single_use else create_session
    async with listening, create() as session:
        outcome = await exchange(
            session, 'GET', f'http://{host}:{port}/', GIVE_UP_SECONDS * 5
        )
        async with asyncio.timeout(GIVE_UP_SECONDS):
            await server.ended.wait()
    return outcome


@pytest.mark.parametrize('single_use', [True, False])
@pytest.mark.parametrize('kind', list(FRAMING))
async def test_endless_framing_is_given_up(kind: str, single_use: bool) -> None:
    """Guards against reading at full speed until a deadline."""
    server = EndlessServer(*FRAMING[kind])
    began = monotonic()
    assert isinstance(await ask(server, single_use), Failure)
    assert monotonic() - began < GIVE_UP_SECONDS
    assert server.sent_bytes < LARGE_BYTES


async def test_few_interim_answers_are_parsed_at_once() -> None:
    """Guards against an event loop that is held by answers without content."""
    received = FRAMING['interim answers'][1] * MANY_ANSWERS
    async with create_session() as session:
        handler = session.connector._factory()  # noqa: SLF001
        handler.set_response_params()
        handler.data_received(received)
    assert len(handler) < MANY_ANSWERS // 10
    with pytest.raises(EndlessAnswerError):
        for _ in range(MANY_ANSWERS):
            await handler.read()


async def test_an_endless_reply_is_given_up() -> None:
    """Guards against the report of an engine that fills the memory."""
    server = EndlessServer(b'%s\r\n' % OK, b'x' * 1000)
    tracemalloc.start()
    outcome = await ask(server, single_use=False)
    _, peak = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert 'too long' in outcome.failure().reason
    assert peak < MOST_REPLY_BYTES * 1.1


async def ask_through(peer: EndlessServer) -> aiohttp.ClientResponse:
    """Send a request to an endpoint by a tunnel through a peer."""

    async def open_socket(endpoint: Address) -> socket.socket:
        return await open_tunnel(Address(host, port), endpoint, host)

    listening = await asyncio.start_server(peer.handle, '127.0.0.1', 0)
    host, port = listening.sockets[0].getsockname()
    async with (
        listening,
        create_single_use_session(open_socket=open_socket) as session,
        asyncio.timeout(GIVE_UP_SECONDS),
    ):
        try:
            return await session.get('http://127.0.0.1:9/')
        finally:
            await peer.ended.wait()


@pytest.mark.parametrize('reply', [b'x', TunnelReply.OPEN.value])
async def test_endless_bytes_of_a_peer_are_given_up(reply: bytes) -> None:
    """Guards against a peer that sends no reply, or framing without end."""
    peer = EndlessServer(reply + OK, b'X-A: b\r\n')
    peer.request_end = b''
    with pytest.raises(aiohttp.ClientError):
        await ask_through(peer)
    assert peer.sent_bytes < LARGE_BYTES


@pytest.fixture
async def serve() -> AsyncIterator[Callable]:
    """Yield a function that serves one answer and returns its URL."""
    servers = []

    async def start(answer: bytes) -> str:
        async def handle(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            await reader.readuntil(b'\r\n\r\n')
            writer.write(answer)
            await writer.drain()
            writer.close()

        server = await asyncio.start_server(handle, '127.0.0.1', 0)
        servers.append(server)
        host, port = server.sockets[0].getsockname()
        return f'http://{host}:{port}/'

    yield start
    for server in servers:
        server.close()


@pytest.mark.parametrize('chunk_bytes', [1, 16, 1000, 400_000])
async def test_sound_answers_of_any_framing_pass(
    serve: Callable, chunk_bytes: int
) -> None:
    """Guards against bounds that sound answers meet."""
    body = b'x' * min(LARGE_BYTES, chunk_bytes * 20_000)
    chunk = b'%x\r\n%s\r\n' % (chunk_bytes, b'x' * chunk_bytes)
    chunks = b'%s0\r\n\r\n' % (chunk * (len(body) // chunk_bytes))
    plain = OK + f'Content-Length: {len(body)}\r\n\r\n'.encode() + body
    interim = b'HTTP/1.1 102 Processing\r\n\r\n' * 20
    async with create_single_use_session() as session:
        for answer in (CHUNKED + chunks, plain, interim + plain):
            url = await serve(answer)
            replied = await exchange(session, 'GET', url, 10)
            assert replied.unwrap().body == body


async def test_the_error_is_one_of_a_client() -> None:
    """Guards against an error that attempts don't expect."""
    listening = await asyncio.start_server(
        EndlessServer(*FRAMING['size of a chunk']).handle, '127.0.0.1', 0
    )
    host, port = listening.sockets[0].getsockname()
    async with listening, create_single_use_session() as session:
        async with session.get(f'http://{host}:{port}/') as response:
            with pytest.raises(EndlessAnswerError):
                await response.read()


@pytest.mark.parametrize(
    'block',
    [
        b'\n\n',
        b': ping\n\n',
        b'event: x\n\n',
        b'id: 3\ndata: x\n\n',
        b'data\n\n',
    ],
)
def test_a_stream_without_new_events_is_given_up(block: bytes) -> None:
    """Guards against a stream that goes on for good and never advances."""
    splitter = EventSplitter()
    splitter.feed(b'id: 3\ndata: x\n\n')
    began = monotonic()
    with pytest.raises(SequenceError):
        for _ in range(MOST_BYTES // 65_536):
            splitter.feed(block * (65_536 // len(block)))
    assert monotonic() - began < GIVE_UP_SECONDS


def test_sound_streams_may_have_comments_repetitions_and_no_numbers() -> None:
    """Guards against bounds that sound streams meet."""
    splitter = EventSplitter()
    comments = b': ping\n\n' * 1000
    for number in range(1, 300):
        event = f'id: {number}\ndata: x\n\n'.encode()
        assert splitter.feed(comments + event)[-1].number == number
    history = b''.join(
        f'id: {number}\ndata: {"x" * 900}\n\n'.encode()
        for number in range(1, 900)
    )
    resumed = EventSplitter(898)
    assert [event.number for event in resumed.feed(history)] == [899]
    unnumbered = EventSplitter()
    for _ in itertools.repeat(None, 100):
        assert len(unnumbered.feed(b'data: x\n\n' * 1000)) == 1000


def test_blank_lines_between_events_take_linear_time() -> None:
    """Guards against an engine whose spaced events hold the event loop."""
    splitter = EventSplitter()
    events = b''.join(b'id: %d\n\n\n' % number for number in range(60_000))
    began = monotonic()
    accepted = splitter.feed(events)
    assert monotonic() - began < GIVE_UP_SECONDS * 3
    assert b''.join(event.encoded for event in accepted) == events
