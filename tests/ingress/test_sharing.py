"""Sessions that the components of an instance share."""

import asyncio

from returns.result import Success

from kelproad.coordination.ingress.sharing import NodeSessions
from kelproad.transport.addresses import Address
from kelproad.transport.exchanges import exchange

#: Seconds for a call, those for a query to another instance.
TIMEOUT = 0.3


async def answer_once(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    """Answer the first call on a connection, and nothing after it."""
    await reader.readuntil(b'\r\n\r\n')
    writer.write(b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok')
    await reader.read()
    writer.close()
    await writer.wait_closed()


async def test_no_call_waits_on_a_connection_that_has_gone_silent() -> None:
    """Guards against kept connections to the store and to other instances."""
    server = await asyncio.start_server(answer_once, '127.0.0.1', 0)
    host, port = server.sockets[0].getsockname()
    sessions = NodeSessions(Address('127.0.0.1', 0))
    control = sessions.open_control()
    for _ in range(2):
        answered = await exchange(
            control, 'GET', f'http://{host}:{port}/', TIMEOUT
        )
        assert isinstance(answered, Success)
    await sessions.close()
    await asyncio.sleep(0)
    server.close()
    await server.wait_closed()
