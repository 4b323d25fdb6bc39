"""Sockets that are connected before a protocol takes them over."""

import asyncio
import contextlib
import socket
import struct
from collections.abc import Awaitable, Callable

import aiohttp
from aiohttp.client_proto import ResponseHandler

from .addresses import Address
from .deadlines import within_running

__all__ = [
    'OpenSocket',
    'SocketConnector',
    'close_when_dead',
    'connect_socket',
    'reset_on_close',
]

#: Seconds of silence after which a connection is probed, seconds between two
#: probes, and their number until it is closed.
_PROBE_AFTER = 3
_PROBE_PERIOD = 1
_PROBES = 3
#: Milliseconds after which a connection is closed whose bytes are not
#: acknowledged; where it is set it also bounds the probes.
_UNACKNOWLEDGED_MS = 6000

#: Opens a socket that is connected to an address.
OpenSocket = Callable[[Address], Awaitable[socket.socket]]


async def connect_socket(address: Address, origin: str) -> socket.socket:
    """Connect a socket to an address, from the IP number ``origin``.

    Raises
    ------
    OSError
        When the connection is refused or can't be made.
    """
    family = socket.AF_INET6 if ':' in address.host else socket.AF_INET
    opened = socket.socket(family, socket.SOCK_STREAM)
    try:
        opened.setblocking(False)
        opened.bind((origin, 0))
        loop = asyncio.get_running_loop()
        await loop.sock_connect(opened, (address.host, address.port))
    except BaseException:
        opened.close()
        raise
    return opened


def close_when_dead(transport: asyncio.BaseTransport) -> None:
    """Have a connection closed soon after its other end has lost power."""
    connected = transport.get_extra_info('socket')
    connected.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    for option, bound in (
        (socket.TCP_KEEPIDLE, _PROBE_AFTER),
        (socket.TCP_KEEPINTVL, _PROBE_PERIOD),
        (socket.TCP_KEEPCNT, _PROBES),
        (socket.TCP_USER_TIMEOUT, _UNACKNOWLEDGED_MS),
    ):
        connected.setsockopt(socket.IPPROTO_TCP, option, bound)


def reset_on_close(transport: asyncio.BaseTransport) -> None:
    """Let the other end get a reset, no orderly end, when this one closes."""
    connected = transport.get_extra_info('socket')
    # A connection that is closed already has no socket.
    with contextlib.suppress(OSError):
        connected.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, struct.pack('ii', 1, 0)
        )


class SocketConnector(aiohttp.TCPConnector):
    """Connector of HTTP sessions whose sockets a function opens.

    It is for plain HTTP to IP addresses.
    """

    def __init__(self, open_socket: OpenSocket, **options: object) -> None:
        """Open sockets with a function; options are those of aiohttp."""
        super().__init__(**options)
        self._open_socket = open_socket

    async def _create_connection(
        self,
        req: aiohttp.ClientRequest,
        traces: list[object],
        timeout: aiohttp.ClientTimeout,
    ) -> ResponseHandler:
        address = Address(req.url.host, req.url.port)
        bound = (
            contextlib.nullcontext()
            if timeout.sock_connect is None
            else within_running(timeout.sock_connect)
        )
        try:
            async with bound:
                opened = await self._open_socket(address)
        except asyncio.TimeoutError:
            raise
        except OSError as error:
            raise aiohttp.ClientConnectorError(
                req.connection_key, error
            ) from error
        loop = asyncio.get_running_loop()
        _, protocol = await loop.create_connection(self._factory, sock=opened)
        return protocol
