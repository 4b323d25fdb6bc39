"""The HTTP server's handling of keep-alive connections."""

import asyncio
import contextlib
import time
from collections.abc import AsyncIterator, Callable

import attrs
import pytest
from aiohttp import web

from kelproad.transport.addresses import Address
from kelproad.transport.callerconnections import ConnectionTimeouts
from kelproad.transport.servers import HttpServer, send_answer
from testbed.processes import find_free_address

CALL = b'GET /x HTTP/1.1\r\nHost: x\r\n\r\n'
CONNECTIONS = 20
PAGE = 4096
#: Seconds until the event loop has noticed that a connection was closed.
CLOSE_NOTICED_SECONDS = 0.01
#: Seconds within which a connection must be closed, or a call be answered.
CLOSED_WITHIN = 2.0
#: Iterations of the event loop between sending a call and closing.
TURNS = range(12)
LONG = ConnectionTimeouts(head=10, idle=30)


def choose_long() -> ConnectionTimeouts:
    """Choose time-outs that never expire in a test."""
    return LONG


@attrs.define
class KeepAliveServer:
    """A server, its number of handled calls, and keep-alive connections."""

    server: HttpServer
    handled: int = 0
    connections: list[tuple[asyncio.StreamReader, asyncio.StreamWriter]] = (
        attrs.field(factory=list)
    )


@contextlib.asynccontextmanager
async def keep_connections(
    read_timeouts: Callable[[], ConnectionTimeouts] = choose_long,
) -> AsyncIterator[KeepAliveServer]:
    """Run a server with connections that have had one call each."""
    address = Address.from_text(find_free_address())

    async def answer(_http_request: web.Request) -> web.Response:
        kept.handled += 1
        return web.Response(text='answer')

    application = web.Application()
    application.add_routes([web.get('/x', answer)])
    server = HttpServer(application, address, read_timeouts=read_timeouts)
    kept = KeepAliveServer(server)
    await kept.server.start()
    try:
        for _ in range(CONNECTIONS):
            reader, writer = await asyncio.open_connection(
                address.host,
                address.port,
            )
            kept.connections.append((reader, writer))
            writer.write(CALL)
            assert b'answer' in await reader.read(PAGE)
        yield kept
    finally:
        for _, writer in kept.connections:
            writer.close()
        await kept.server.stop()


async def call_on(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> bytes:
    """Send a call on a kept connection and read its answer."""
    writer.write(CALL)
    return await asyncio.wait_for(reader.read(PAGE), CLOSED_WITHIN)


async def test_an_idle_connection_is_closed_by_the_time_in_force() -> None:
    """Idle connections would be kept far beyond the operators' limit."""
    timeouts = ConnectionTimeouts(head=10, idle=30)
    async with keep_connections(lambda: timeouts) as kept:
        reader, writer = kept.connections[0]
        timeouts = ConnectionTimeouts(head=10, idle=1)
        assert b'answer' in await call_on(reader, writer)
        await asyncio.sleep(0.8)
        assert b'answer' in await call_on(reader, writer)
        await asyncio.sleep(0.8)
        assert not reader.at_eof()
        assert not await asyncio.wait_for(reader.read(), CLOSED_WITHIN)
        assert not any(other.at_eof() for other, _ in kept.connections[1:])


async def test_a_longer_idle_time_holds_for_idle_connections_too() -> None:
    """Guards against calls that cross a close by the former idle time."""
    timeouts = ConnectionTimeouts(head=10, idle=1)
    async with keep_connections(lambda: timeouts) as kept:
        timeouts = ConnectionTimeouts(head=10, idle=1.8)
        await asyncio.sleep(1.3)
        assert not any(reader.at_eof() for reader, _ in kept.connections)
        reader, writer = kept.connections[0]
        assert b'answer' in await call_on(reader, writer)
        await asyncio.sleep(0.8)
        assert all(other.at_eof() for other, _ in kept.connections[1:])
        assert not reader.at_eof()
        assert not await asyncio.wait_for(reader.read(), CLOSED_WITHIN)


async def test_a_call_at_the_end_of_the_idle_time_is_answered() -> None:
    """A call that has been read would be lost with its connection."""
    timeouts = ConnectionTimeouts(head=10, idle=1)
    async with keep_connections(lambda: timeouts) as kept:
        before = kept.handled
        await asyncio.sleep(1 - CONNECTIONS * 0.002)
        answers = []
        for reader, writer in kept.connections:
            with contextlib.suppress(ConnectionError):
                writer.write(CALL)
            await asyncio.sleep(0.004)
            answers.append(await read_rest(reader))
        answered = sum(answer.endswith(b'answer') for answer in answers)
        assert answered == kept.handled - before


async def test_slow_first_headers_end_by_the_time_in_force() -> None:
    """Callers could hold connections without a call beyond the limit."""
    timeouts = ConnectionTimeouts(head=0.3, idle=30)
    async with keep_connections(lambda: timeouts) as kept:
        host, port = kept.server.list_connections()[0].transport.get_extra_info(
            'sockname'
        )
        reader, writer = await asyncio.open_connection(host, port)
        writer.write(CALL[:5])
        with contextlib.suppress(ConnectionError):
            assert not await asyncio.wait_for(reader.read(), CLOSED_WITHIN)
        assert b'answer' in await call_on(*kept.connections[0])


async def test_no_open_connection_goes_unread() -> None:
    """A call on a keep-alive connection gets no answer, 10 ms after SIGTERM.

    This happens if idle connections are marked as closed and closed 20 ms
    later: calls sent meanwhile are ignored, and callers cannot know that they
    have not run.  A connection must be read or be closed.
    """
    async with keep_connections() as kept:
        await kept.server.close_idle()
        await asyncio.sleep(CLOSE_NOTICED_SECONDS)
        assert all(reader.at_eof() for reader, _ in kept.connections)


async def test_a_connection_that_was_just_closed_hinders_no_other() -> None:
    """Calls on keep-alive connections hang until the end of a stop, 5 s later.

    aiohttp lists a connection that a caller has just closed until its task has
    ended.  If closing idle connections fails at it, those before it are
    neither read any more nor closed.
    """
    async with keep_connections() as kept:
        closed_here, *_, closed_before = kept.server.list_connections()
        closed_before.force_close()
        closed_here.force_close()
        await kept.server.close_idle()
        await asyncio.sleep(CLOSE_NOTICED_SECONDS)
        assert all(reader.at_eof() for reader, _ in kept.connections)


@pytest.mark.parametrize('turns', TURNS)
async def test_a_call_that_was_read_is_answered(turns: int) -> None:
    """A call arrives just as its idle connection is closed.

    Its answer is lost with the connection if the call has been read but has
    not reached its handler: it is not among the calls in progress yet.
    """
    async with keep_connections() as kept:
        before = kept.handled
        for _, writer in kept.connections:
            writer.write(CALL)
        for _ in range(turns):
            await asyncio.sleep(0)
        await kept.server.close_idle()
        answers = [await read_rest(reader) for reader, _ in kept.connections]
        answered = sum(answer.endswith(b'answer') for answer in answers)
        assert answered == kept.handled - before


async def test_a_call_that_comes_during_a_close_is_answered() -> None:
    """Guards against calls lost in a close that takes long beside a load."""
    async with keep_connections() as kept:
        for _, writer in kept.connections:
            asyncio.get_running_loop().call_soon(writer.write, CALL)
        await kept.server.close_idle()
        answers = [await read_rest(reader) for reader, _ in kept.connections]
        assert all(answer.endswith(b'answer') for answer in answers)


@pytest.mark.parametrize('kept_open', [True, False])
@pytest.mark.parametrize('turns', TURNS)
async def test_a_call_that_arrives_as_the_server_stops_is_answered(
    turns: int, kept_open: bool
) -> None:
    """Guards against calls that are read and ignored as a process exits."""
    async with keep_connections() as kept:
        connections = kept.connections
        if not kept_open:
            address = kept.server.list_connections()[
                0
            ].transport.get_extra_info('sockname')
            connections = [
                await asyncio.open_connection(*address)
                for _ in range(CONNECTIONS)
            ]
            await asyncio.sleep(CLOSE_NOTICED_SECONDS)
        for _, writer in connections:
            writer.write(CALL)
        for _ in range(turns):
            await asyncio.sleep(0)
        await kept.server.stop()
        answers = [await read_rest(reader) for reader, _ in connections]
        assert all(answer.endswith(b'answer') for answer in answers)
        for _, writer in connections:
            writer.close()


async def read_rest(reader: asyncio.StreamReader) -> bytes:
    """Read an answer, or nothing where the connection was closed."""
    try:
        return await asyncio.wait_for(reader.read(PAGE), 1)
    except ConnectionError:
        return b''


async def test_a_whole_answer_leaves_its_connection_as_it_was() -> None:
    """A complete answer must leave the write buffer limits as they were.

    It is sent until the network has every byte.  If that stayed switched on, a
    later stream on the connection would wait for its caller at each event.
    """
    address = Address.from_text(find_free_address())
    limits: list[tuple[int, int]] = []

    async def answer(http_request: web.Request) -> web.StreamResponse:
        limits.append(http_request.transport.get_write_buffer_limits())
        response = web.Response(text='answer')
        await send_answer(http_request, response)
        return response

    application = web.Application()
    application.add_routes([web.get('/x', answer)])
    server = HttpServer(application, address)
    await server.start()
    reader, writer = await asyncio.open_connection(address.host, address.port)
    for _ in range(2):
        writer.write(CALL)
        assert b'answer' in await reader.read(PAGE)
    writer.close()
    await server.stop()
    assert limits[0] == limits[1]


@pytest.mark.parametrize('turns', TURNS)
async def test_a_first_call_at_the_end_of_its_time_is_answered(
    turns: int,
) -> None:
    """Guards against a connection that is aborted under a call that was read.

    The time for the first headers ends when they have been read, and their
    call has not reached its handler yet.
    """
    async with keep_connections() as kept:
        host, port = kept.server.list_connections()[0].transport.get_extra_info(
            'sockname'
        )
        before = kept.handled
        opened = [
            await asyncio.open_connection(host, port)
            for _ in range(CONNECTIONS)
        ]
        await asyncio.sleep(CLOSE_NOTICED_SECONDS)
        waiting = kept.server.list_connections()[-CONNECTIONS:]
        for _, writer in opened:
            writer.write(CALL)
        for _ in range(turns):
            await asyncio.sleep(0)
        for connection in waiting:
            kept.server._connections._abort_unless_used(connection)
        answers = [await read_rest(reader) for reader, _ in opened]
        for _, writer in opened:
            writer.close()
        answered = sum(answer.endswith(b'answer') for answer in answers)
        assert answered == kept.handled - before


async def test_a_first_call_that_waited_for_this_process_is_answered() -> None:
    """Guards against a standstill of the process taken for slow callers.

    After it, the time for the first headers has run out, and the headers have
    been in the socket for long.
    """
    timeouts = ConnectionTimeouts(head=0.3, idle=30)
    async with keep_connections(lambda: timeouts) as kept:
        host, port = kept.server.list_connections()[0].transport.get_extra_info(
            'sockname'
        )
        reader, writer = await asyncio.open_connection(host, port)
        await asyncio.sleep(CLOSE_NOTICED_SECONDS)
        writer.write(CALL)
        time.sleep(2 * timeouts.head)
        assert (await read_rest(reader)).endswith(b'answer')
        writer.close()


@attrs.define
class PipeliningServer:
    """A server, and what it told of calls that it did not handle."""

    address: Address
    server: HttpServer
    unhandled: list[tuple[str, str]] = attrs.field(factory=list)
    begun: list[str] = attrs.field(factory=list)

    async def send(
        self, count: int
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Send numbered calls at once."""
        reader, writer = await asyncio.open_connection(
            self.address.host, self.address.port
        )
        await asyncio.sleep(CLOSE_NOTICED_SECONDS)
        writer.write(
            b''.join(
                CALL.replace(b'Host: x', b'Host: x%d' % number)
                for number in range(count)
            )
        )
        return reader, writer


@contextlib.asynccontextmanager
async def serve_pipelined(
    keeps_alive: bool = False, seconds: float = 0.05
) -> AsyncIterator[PipeliningServer]:
    """Run a server that closes connections after one answer, or keeps them."""
    address = Address.from_text(find_free_address())

    async def answer(http_request: web.Request) -> web.Response:
        served.begun.append(http_request.host)
        await asyncio.sleep(seconds)
        response = web.Response(text='answer')
        if not keeps_alive:
            response.force_close()
        return response

    application = web.Application()
    application.add_routes([web.get('/x', answer)])
    server = HttpServer(
        application,
        address,
        on_unhandled=lambda headers, by: served.unhandled.append(
            (headers['Host'], by)
        ),
    )
    served = PipeliningServer(address, server)
    await server.start()
    try:
        yield served
    finally:
        await server.stop()


async def test_a_call_behind_a_last_answer_is_told() -> None:
    """Guards against calls that are read, and dropped without any line."""
    async with serve_pipelined() as served:
        reader, writer = await served.send(3)
        received = await reader.read()
        assert received.count(b'answer') == 1
        await asyncio.sleep(CLOSE_NOTICED_SECONDS)
        assert served.unhandled == [('x1', 'instance'), ('x2', 'instance')]
        writer.close()


async def test_pipelined_calls_are_answered_in_order() -> None:
    """Guards against a connection that handles one call only."""
    async with serve_pipelined(keeps_alive=True) as served:
        reader, writer = await served.send(3)
        received = b''
        while received.count(b'answer') < 3:
            received += await asyncio.wait_for(reader.read(PAGE), CLOSED_WITHIN)
        assert not served.unhandled
        writer.close()


@pytest.mark.parametrize('aborts', [True, False])
async def test_a_call_whose_caller_leaves_with_it_reaches_its_handler(
    aborts: bool,
) -> None:
    """Guards against calls that are read, and dropped without any line.

    The handler that is cancelled tells of it.
    """
    async with serve_pipelined() as served:
        _, writer = await served.send(1)
        if aborts:
            writer.transport.abort()
        else:
            writer.write_eof()
        await asyncio.sleep(CLOSE_NOTICED_SECONDS)
        assert served.begun == ['x0']
        assert not served.unhandled


async def test_calls_behind_one_whose_caller_leaves_are_told() -> None:
    """Guards against calls that are read, and dropped without any line."""
    async with serve_pipelined(seconds=1) as served:
        _, writer = await served.send(2)
        await asyncio.sleep(CLOSE_NOTICED_SECONDS)
        writer.close()
        await asyncio.sleep(CLOSE_NOTICED_SECONDS)
        assert served.unhandled == [('x1', 'caller')]
