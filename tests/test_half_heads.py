"""Answers whose head ends in the middle."""

import asyncio
import socket
import struct
from collections.abc import Callable

import aiohttp
import pytest

from kelproad.transport.http import create_session, create_single_use_session

HEAD = (
    b'HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n'
    b'HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 12\r\n\r\n'
)
#: Bytes of the begins of a head that are sent.
LENGTHS = range(len(HEAD))
#: Socket option value with which closing resets the connection.
RESET = struct.pack('ii', 1, 0)


async def start_server(
    sent: bytes, is_reset: bool
) -> tuple[asyncio.Server, str]:
    """Serve the begin of a head, and close or reset the connection."""

    async def answer(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await reader.readuntil(b'\r\n\r\n')
        writer.write(sent)
        await writer.drain()
        if is_reset:
            opened = writer.get_extra_info('socket')
            opened.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
        writer.close()

    server = await asyncio.start_server(answer, '127.0.0.1', 0)
    host, port = server.sockets[0].getsockname()
    return server, f'http://{host}:{port}/'


@pytest.mark.parametrize('is_reset', [False, True])
@pytest.mark.parametrize('create', [create_session, create_single_use_session])
async def test_a_head_that_ends_early_is_no_answer(
    create: Callable[[], aiohttp.ClientSession], is_reset: bool
) -> None:
    """Guards against a 200 made of half a head, with an empty body."""
    session = create()
    for length in LENGTHS:
        server, url = await start_server(HEAD[:length], is_reset)
        with pytest.raises(aiohttp.ClientError):
            async with session.get(url):
                pytest.fail(f'an answer from {length} bytes of a head')
        server.close()
    await session.close()
