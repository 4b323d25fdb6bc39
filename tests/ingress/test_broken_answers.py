"""Endpoints whose answers are broken, as each client in the product reads."""

import asyncio
import enum
import socket
from collections.abc import AsyncIterator, Awaitable, Callable

import aiohttp
import attrs
import pytest
from multidict import CIMultiDict

from kelproad.coordination.ingress.placing.placement import Placement
from kelproad.coordination.ingress.retrying.verdicts import AttemptEvaluator
from kelproad.coordination.ingress.streams.answers import collect
from kelproad.coordination.ingress.streams.attempts import EndpointClient
from kelproad.coordination.ingress.streams.progress import (
    Attempt as RoutedAttempt,
)
from kelproad.protocol.connections import ConnectionProgress
from kelproad.protocol.engines import Attempt, EngineClient
from kelproad.protocol.plain import PlainCall, PlainClient
from kelproad.state.endpoints import Endpoint
from kelproad.state.refusals import Ran
from kelproad.transport.addresses import Address
from kelproad.transport.deadlines import monotonic
from kelproad.transport.exchanges import exchange
from kelproad.transport.http import create_session, create_single_use_session
from kelproad.transport.sockets import connect_socket, reset_on_close
from tests.ingress.test_attempts import (
    REQUEST_ID,
    build_call,
    client,
    evaluator,
    open_answer,
    serve,
)

__all__ = ['client', 'evaluator']

#: Seconds between two parts of an answer, so that each is received by itself.
PAUSE = 0.02
SECONDS = 5.0
ID = f'X-Kelproad-Request-Id: {REQUEST_ID}\r\n'.encode()
OK = b'HTTP/1.1 200 OK\r\n'
INTERIM = b'HTTP/1.1 103 Early\r\n'
LENGTH = b'Content-Length: 5\r\n'
BODY = b'whole'
CHUNKS = b'5\r\nwhole\r\n0\r\n\r\n'
#: More than all buffers on its way hold.
UPLOAD = bytes(16_000_000)
#: Lines whose names hold a blank or a control byte, or that have none.
ODD_NAMES = (
    b'Content-Length : 5',
    b'Transfer-Encoding : chunked',
    b'Connection : close',
    b'Proxy-Connection : close',
    b'Upgrade : x',
    b'X-A : b',
    b'X-A\t: b',
    b'X A: b',
    b' X-A: b',
    b'\tX-A: b',
    b'X\x01A: b',
    b'X-A\x00: b',
    b'X\x7fA: b',
    b'X\rA: b',
    b'X-A',
    b': b',
)
INVALID_HEADS = (
    b'HTTP/1.1 000 Odd\r\n%s%s\r\n' % (ID, LENGTH),
    b'%s%sX-A : b\r\n%s\r\n' % (OK, ID, LENGTH),
    b'%s%sContent-Length: 5x\r\n\r\n' % (OK, ID),
    b'no answer\r\n\r\n',
)
#: Reads an answer to its end; returns its body, or ``None`` for a failure.
Reader = Callable[[Endpoint, bytes], Awaitable[bytes | None]]


class Ending(enum.Enum):
    """How an endpoint ends a connection after an answer."""

    CLOSE = 'close'
    HALF_CLOSE = 'half close'
    RESET = 'reset'


@attrs.frozen
class RawEndpoint:
    """An endpoint that sends parts of an answer, and ends somehow."""

    parts: tuple[bytes, ...]
    ending: Ending = Ending.CLOSE
    ended: asyncio.Event = attrs.field(factory=asyncio.Event)

    async def handle(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answer one call as soon as its head has arrived."""
        await reader.readuntil(b'\r\n\r\n')
        writer.transport.pause_reading()
        for part in self.parts:
            writer.write(part)
            await asyncio.sleep(PAUSE)
        if self.ending is Ending.RESET:
            reset_on_close(writer.transport)
        if self.ending is Ending.HALF_CLOSE:
            writer.write_eof()
            await asyncio.sleep(PAUSE)
        writer.close()
        self.ended.set()


def read_routed(client: EndpointClient) -> Reader:
    """Read answers as the routed interface does, whole."""

    async def read(endpoint: Endpoint, upload: bytes) -> bytes | None:
        call = build_call()
        call.body = upload
        answer = (await open_answer(client, endpoint, call)).value_or(None)
        if answer is None:
            return None
        collected = await collect(answer, call.deadline)
        return collected.map(lambda complete: complete.body).value_or(None)

    return read


def read_routed_slowly(client: EndpointClient) -> Reader:
    """Read answers as streams are, for a caller that takes its time."""

    async def read(endpoint: Endpoint, upload: bytes) -> bytes | None:
        call = build_call()
        call.body = upload
        answer = (await open_answer(client, endpoint, call)).value_or(None)
        if answer is None:
            return None
        received = b''
        try:
            async for chunk in answer.read_chunks():
                received += chunk
                await asyncio.sleep(PAUSE * 4)
        except aiohttp.ClientError:
            return None
        finally:
            answer.close()
        return received

    return read


async def read_plain(endpoint: Endpoint, upload: bytes) -> bytes | None:
    """Read an answer of a plain service, as the own interface does."""
    call = PlainCall('POST', '/x', CIMultiDict(), upload, monotonic() + SECONDS)
    async with create_single_use_session() as session:
        url = f'http://{endpoint.declaration.address}'
        answered = await PlainClient(session).call(url, call)
    return answered.map(lambda answer: answer.body).value_or(None)


async def read_engine(endpoint: Endpoint, upload: bytes) -> bytes | None:
    """Read a stream of an engine, as the own interface does."""
    url = f'http://{endpoint.declaration.address}'
    attempt = Attempt('a', 'o', 1, monotonic() + SECONDS)
    async with create_single_use_session() as session:
        opened = await EngineClient(session).open_stream(
            url, '/x', attempt, upload, attempt.deadline
        )
        stream = opened.value_or(None)
        if stream is None:
            return None
        try:
            return b''.join([part async for part in stream.read()])
        except aiohttp.ClientError:
            return None
        finally:
            stream.close()


async def read_exchange(endpoint: Endpoint, upload: bytes) -> bytes | None:
    """Read a reply of the store, of an engine to an order, or of a peer."""
    async with create_session() as session:
        url = f'http://{endpoint.declaration.address}/x'
        replied = await exchange(session, 'POST', url, SECONDS, upload)
    return replied.map(lambda reply: reply.body).value_or(None)


@pytest.fixture(params=['routed', 'slow', 'plain', 'engine', 'exchange'])
async def read(
    request: pytest.FixtureRequest, client: EndpointClient
) -> AsyncIterator[Reader]:
    """Yield each way in which the product reads answers."""
    readers = {
        'routed': read_routed(client),
        'slow': read_routed_slowly(client),
        'plain': read_plain,
        'engine': read_engine,
        'exchange': read_exchange,
    }
    yield readers[request.param]


async def ask(
    read: Reader,
    *parts: bytes,
    ending: Ending = Ending.CLOSE,
    upload: bytes = b'',
) -> bytes | None:
    """Read an answer in parts; return its body, or ``None`` for a failure."""
    endpoint = RawEndpoint(parts, ending)
    async with serve(endpoint.handle) as listening:
        received = await read(listening, upload)
        await endpoint.ended.wait()
    return received


@pytest.mark.parametrize('status', ['000', '099', '101', '600', '999'])
async def test_an_answer_with_no_status_of_http_is_none(
    read: Reader, status: str
) -> None:
    """Guards against an engine's invalid status that is forwarded."""
    start = f'HTTP/1.1 {status} Odd\r\n'.encode()
    assert await ask(read, b''.join((start, ID, LENGTH, b'\r\n')), BODY) is None


async def ask_with(line: bytes, place: str, read: Reader) -> bytes | None:
    """Read an answer with a further line somewhere in its heads."""
    heads = {
        'first': (OK, line, b'\r\n', ID, LENGTH),
        'amid': (OK, ID, line, b'\r\n', LENGTH),
        'without a length': (OK, ID, line, b'\r\n'),
        'interim': (INTERIM, line, b'\r\n\r\n', OK, ID, LENGTH),
    }
    return await ask(read, b''.join((*heads[place], b'\r\n')), BODY)


@pytest.mark.parametrize('line', ODD_NAMES)
@pytest.mark.parametrize(
    'place', ['first', 'amid', 'without a length', 'interim']
)
async def test_an_answer_with_an_odd_field_name_is_none(
    line: bytes, place: str
) -> None:
    """Guards against names that the parser accepts and others don't."""
    assert await ask_with(line, place, read_exchange) is None


@pytest.mark.parametrize('line', ODD_NAMES[:5])
async def test_no_client_takes_an_odd_field_name(
    read: Reader, line: bytes
) -> None:
    """Guards against a body that is cut or read by an odd field."""
    assert await ask_with(line, 'without a length', read) is None


@pytest.mark.parametrize('ending', list(Ending))
async def test_a_body_without_length_does_not_end_amid_an_upload(
    read: Reader, ending: Ending
) -> None:
    """Guards against a part of an answer that is taken for a whole one."""
    head = b''.join((OK, ID, b'\r\n'))
    assert await ask(read, head, BODY, ending=ending, upload=UPLOAD) is None


async def test_a_reset_ends_no_body_without_length(read: Reader) -> None:
    """Guards against a crashed endpoint whose answer seems to be whole."""
    head = b''.join((OK, ID, b'\r\n'))
    assert await ask(read, head, BODY, ending=Ending.RESET) is None


@pytest.mark.parametrize('ending', [Ending.CLOSE, Ending.HALF_CLOSE])
async def test_a_close_ends_a_body_without_length(
    read: Reader, ending: Ending
) -> None:
    """Guards against sound answers that are refused."""
    head = b''.join((OK, ID, b'\r\n'))
    assert await ask(read, head, BODY, ending=ending) == BODY


@pytest.mark.parametrize('ending', [Ending.HALF_CLOSE, Ending.RESET])
async def test_a_whole_answer_may_come_amid_an_upload(
    read: Reader, ending: Ending
) -> None:
    """Guards against whole answers that are refused with their uploads."""
    head = b''.join((OK, ID, LENGTH, b'\r\n'))
    assert await ask(read, head, BODY, ending=ending, upload=UPLOAD) == BODY


@pytest.mark.parametrize(
    'codings',
    [
        (b'gzip',),
        (b'gzip, chunked',),
        (b'chunked, gzip',),
        (b'chunked, chunked',),
        (b'chunked', b'chunked'),
        (b'xchunked',),
        (b'chunked;q=1',),
        (b'chunked\t',),
        (b'',),
    ],
)
async def test_an_answer_in_an_unknown_coding_is_none(
    read: Reader, codings: tuple[bytes, ...]
) -> None:
    """Guards against a body whose coding nobody has taken off."""
    lines = [b'Transfer-Encoding: %s\r\n' % coding for coding in codings]
    head = b''.join((OK, ID, *lines, b'\r\n'))
    assert await ask(read, head, CHUNKS) is None


@pytest.mark.parametrize('coding', [b' chunked', b'Chunked', b'\tCHUNKED '])
async def test_an_answer_in_chunks_is_read(read: Reader, coding: bytes) -> None:
    """Guards against sound answers that are refused."""
    line = b'TRANSFER-Encoding:%s\r\n' % coding
    assert await ask(read, b''.join((OK, line, ID, b'\r\n')), CHUNKS) == BODY


@pytest.mark.parametrize(
    'start',
    [
        b'HTTP/0.9 200 OK',
        b'HTTP/2.0 200 OK',
        b'HTTP/9.9 200 OK',
        b'RTSP/1.0 200 OK',
        b'ICE/1.0 200 OK',
        b'HTTP/1.1  200 OK',
        b'HTTP/1.1 200\tOK',
        b'HTTP/1.1 2000 OK',
        b'HTTP/1.1 20 OK',
        b'HTTP/1.1 +20 OK',
        b'HTTP/1.1',
        b'http/1.1 200 OK',
    ],
)
async def test_an_answer_of_another_protocol_is_none(
    read: Reader, start: bytes
) -> None:
    """Guards against what is read as HTTP though it says otherwise."""
    head = b''.join((start, b'\r\n', ID, LENGTH, b'\r\n'))
    assert await ask(read, head, BODY) is None


@pytest.mark.parametrize(
    'start', [b'HTTP/1.0 200 OK', b'HTTP/1.1 200 ', b'HTTP/1.1 200']
)
async def test_sound_start_lines_are_read(read: Reader, start: bytes) -> None:
    """Guards against sound answers that are refused."""
    head = b''.join((start, b'\r\n', ID, LENGTH, b'\r\n'))
    assert await ask(read, head, BODY) == BODY


@pytest.mark.parametrize('byte', [*range(9), *range(10, 32), 127])
async def test_an_answer_with_a_control_byte_is_none(byte: int) -> None:
    """Guards against a control byte in a value that is passed on."""
    line = b'X-A: a%cb' % byte
    assert await ask_with(line, 'amid', read_exchange) is None


async def test_no_client_takes_a_control_byte(read: Reader) -> None:
    """Guards against a client whose answers are not checked."""
    assert await ask_with(b'X-A: a\x01b', 'amid', read) is None


@pytest.mark.parametrize('line', [b'X-A:', b'X-A: a\tb', b'X-A: \xc3\xa9 \xff'])
async def test_sound_values_are_read(read: Reader, line: bytes) -> None:
    """Guards against sound answers that are refused."""
    assert await ask_with(line, 'amid', read) == BODY


@pytest.mark.parametrize(
    'lines',
    [
        b'Content-Length: 5%s\r\n\r\n' % (b'x' * 8000),
        b'X-A: %s\r\n\r\n' % bytes(9000),
        b'X-A: %s\r\n' % (b'b' * 5000),
    ],
)
async def test_the_reason_for_a_refusal_is_short(
    client: EndpointClient, lines: bytes
) -> None:
    """Guards against callers who get our own headers and an engine's bytes."""
    head = b''.join((OK, ID, lines))
    async with serve(RawEndpoint((head,)).handle) as endpoint:
        opened = await open_answer(client, endpoint, build_call())
    reason = opened.failure().reason
    assert len(reason) < 100
    assert endpoint.declaration.address not in reason


@pytest.mark.parametrize('head', INVALID_HEADS)
@pytest.mark.parametrize('via', ['', 'edge-2'])
async def test_an_invalid_answer_is_the_fault_of_its_endpoint(
    client: EndpointClient,
    evaluator: AttemptEvaluator,
    head: bytes,
    via: str,
) -> None:
    """Guards against blaming a path, or an instance on it, that is well."""
    blamed: list[str] = []
    evaluator = attrs.evolve(
        evaluator, record_peer_failure=lambda peer, now: blamed.append(peer)
    )
    async with serve(RawEndpoint((head, BODY)).handle) as endpoint:
        for _ in range(2):
            call = build_call()
            opened = await open_answer(client, endpoint, call)
            attempt = RoutedAttempt(call, Placement(endpoint))
            attempt.connection = ConnectionProgress(connected=True)
            attempt.record_via(via)
            evaluator.note(attempt, opened.failure())
    assert opened.failure().ran is Ran.UNKNOWN
    assert not blamed
    assert not call.avoids_direct
    assert endpoint.consecutive_failures == 2


@pytest.mark.parametrize('head', INVALID_HEADS)
async def test_an_answer_through_a_tunnel_is_checked(head: bytes) -> None:
    """Guards against connections that are made in another way."""

    async def open_socket(address: Address) -> socket.socket:
        return await connect_socket(address, '127.0.0.1')

    async with (
        serve(RawEndpoint((head, BODY)).handle) as endpoint,
        create_single_use_session(open_socket=open_socket) as session,
    ):
        url = f'http://{endpoint.declaration.address}/x'
        replied = await exchange(session, 'GET', url, SECONDS)
    assert 'InvalidAnswerError' in replied.failure().reason


@pytest.mark.parametrize(
    'parts',
    [
        (b'5\r\nwhole\r\n', b'no size\r\n'),
        (b'5\r\nwholex', b'\r\n0\r\n\r\n'),
        (b'5\r\nwhole\r\n0\r\n', b'X A: b\r\n\r\n'),
    ],
)
async def test_malformed_chunks_fail_at_once(
    read: Reader, parts: tuple[bytes, ...]
) -> None:
    """Guards against calls that wait for the rest until their deadline."""
    head = b''.join((OK, ID, b'Transfer-Encoding: chunked\r\n\r\n'))
    async with asyncio.timeout(SECONDS / 2):
        assert await ask(read, head, *parts) is None
