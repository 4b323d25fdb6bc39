"""The HTTP server's own care for connections."""

import asyncio
import contextlib
from collections.abc import AsyncIterator

import attrs
import pytest
from aiohttp import web

from kelproad.transport.addresses import Address
from kelproad.transport.servers import HttpServer, send_answer
from testbed.processes import find_free_address

CALL = b'GET /x HTTP/1.1\r\nHost: x\r\n\r\n'
CONNECTIONS = 20
PAGE = 4096
#: Seconds in which the event loop learns of a connection that is closed.
LEARNED = 0.01
#: Turns of the loop between the sending of a call and the closing.
MOMENTS = range(12)


@attrs.define
class Kept:
    """A server, how many calls it has handled, and kept connections."""

    server: HttpServer
    handled: int = 0
    connections: list[tuple[asyncio.StreamReader, asyncio.StreamWriter]] = (
        attrs.field(factory=list)
    )


@contextlib.asynccontextmanager
async def keep_connections() -> AsyncIterator[Kept]:
    """Serve, with connections that have had a call each."""
    address = Address.from_text(find_free_address())

    async def answer(_http_request: web.Request) -> web.Response:
        kept.handled += 1
        return web.Response(text='answer')

    application = web.Application()
    application.add_routes([web.get('/x', answer)])
    kept = Kept(HttpServer(application, address))
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


async def test_no_open_connection_goes_unread() -> None:
    """A booking on a kept connection gets no answer, 10 ms after SIGTERM.

    The server marked idle connections as closed and closed them 20 ms later.
    What callers sent on them meanwhile was ignored, and they could not know
    that it had not run.  A connection must be read or be closed.
    """
    async with keep_connections() as kept:
        await kept.server.close_idle()
        await asyncio.sleep(LEARNED)
        assert all(reader.at_eof() for reader, _ in kept.connections)


async def test_a_connection_that_was_just_closed_hinders_no_other() -> None:
    """Calls on kept connections hang until the end of a stop, 5 s later.

    A caller has just closed a connection, and aiohttp lists it until its task
    has ended.  The closing of idle ones stopped at it with an error: those
    before it were not read any more and not closed either.
    """
    async with keep_connections() as kept:
        closed_here, *_, closed_before = kept.server.list_connections()
        closed_before.force_close()
        closed_here.force_close()
        await kept.server.close_idle()
        await asyncio.sleep(LEARNED)
        assert all(reader.at_eof() for reader, _ in kept.connections)


@pytest.mark.parametrize('turns', MOMENTS)
async def test_a_call_that_was_read_is_answered(turns: int) -> None:
    """A call comes just as its connection is closed for want of calls.

    It is read, and its answer is lost with the connection: closing looks at
    the calls in hand, and this one has not reached its handler yet.
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


async def read_rest(reader: asyncio.StreamReader) -> bytes:
    """Read an answer, or nothing where the connection was closed."""
    try:
        return await asyncio.wait_for(reader.read(PAGE), 1)
    except ConnectionError:
        return b''


async def test_a_whole_answer_leaves_its_connection_as_it_was() -> None:
    """A stream waits for its caller at each event, on kept connections only.

    A whole answer came before it on the connection, and is sent until the
    network has every byte; that stayed switched on for what came after.
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
