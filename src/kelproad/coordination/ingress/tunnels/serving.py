"""Tunnels that this instance opens to endpoints for other instances.

Only bytes are forwarded: the instance that took a call keeps its placement, its
deadline, its retries and its accounts.  A tunnel always connects directly, so
that nothing is passed on twice.
"""

import asyncio
import logging
from collections.abc import Awaitable, Callable

from returns.result import Failure

from ....protocol.tunnels import (
    MAX_REQUEST_BYTES,
    TunnelReply,
    decode_request,
    measure_request,
)
from ....state.records import record
from ....transport.addresses import Address
from ....transport.deadlines import within_running
from ....transport.services import BackgroundService
from ....transport.sockets import OpenSocket, close_when_dead, reset_on_close
from ....transport.splicing import splice

__all__ = ['TunnelServer']

_logger = logging.getLogger(__name__)
#: Tunnels that are open at the same time at most; each takes two descriptors
#: and up to 128 KiB of buffers.
MAX_TUNNELS = 400
#: Seconds within which a new connection must deliver its request.
_REQUEST_TIMEOUT = 1.0
#: Seconds for connecting to the endpoint: a call waits for it meanwhile.
_CONNECT_TIMEOUT = 0.1


class TunnelServer(BackgroundService):
    """Opens tunnels for the instances of this site.

    Attributes
    ----------
    unfinished
        Number of tunnels that are being opened or are open.
    """

    abstract = False

    def __init__(
        self,
        address: Address,
        is_instance: Callable[[str], Awaitable[bool]],
        is_permitted: Callable[[str], bool],
        connect_directly: OpenSocket,
        count: Callable[[str], None],
    ) -> None:
        """Prepare to listen on an address.

        Parameters
        ----------
        address
            Address to listen on.
        is_instance
            Returns whether an IP number is that of an instance of this site.
        is_permitted
            Returns whether calls may be sent to the endpoint at an address.
        connect_directly
            Opens a connection to an endpoint.
        count
            Counts the requests, by outcome.
        """
        super().__init__()
        self._address = address
        self._is_instance = is_instance
        self._is_permitted = is_permitted
        self._connect_directly = connect_directly
        self._count = count
        self._listener: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self._transports: set[asyncio.BaseTransport] = set()
        self.unfinished = 0
        self.leaving = False

    async def on_start(self) -> None:
        """Start listening."""
        loop = asyncio.get_running_loop()
        self._listener = await loop.create_server(
            lambda: _Entrance(self._accept),
            self._address.host,
            self._address.port,
        )

    async def on_stop(self) -> None:
        """Stop listening and reset the tunnels."""
        self.leaving = True
        if self._listener is not None:
            self._listener.close()
        for task in self._tasks:
            task.cancel()
        for transport in self._transports:
            transport.abort()

    def _accept(self, client: asyncio.Transport, received: bytes) -> None:
        """Handle a connection that has delivered its request."""
        task = asyncio.create_task(self._open(client, received))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _open(self, client: asyncio.Transport, received: bytes) -> None:
        """Open the tunnel that was requested, or refuse it."""
        host = client.get_extra_info('peername')[0]
        decoded = decode_request(received)
        if isinstance(decoded, Failure) or not await self._is_instance(host):
            record(_logger, 'tunnel_refused', host=host)
            self._reply(client, TunnelReply.REFUSED)
            return
        request = decoded.unwrap()
        if not self._accepts(request.address):
            self._reply(client, TunnelReply.REFUSED)
            return
        self.unfinished += 1
        try:
            server = await self._connect(request.address)
        except OSError as error:
            self.unfinished -= 1
            _logger.debug('no tunnel to %s: %r', request.address, error)
            self._reply(client, TunnelReply.UNREACHABLE)
            return
        except asyncio.CancelledError:
            self.unfinished -= 1
            client.abort()
            raise
        self._count('open')
        record(
            _logger,
            'tunnel_opened',
            request=request.request_id,
            host=host,
            address=request.address,
        )
        # From here on also the death of this process must not look like the
        # orderly end of an answer.
        reset_on_close(client)
        client.write(TunnelReply.OPEN.value)
        self._transports |= {client, server}
        splice(client, server, lambda: self._end(client, server))

    def _accepts(self, address: str) -> bool:
        """Return whether a tunnel to an address may be opened now."""
        full = self.unfinished >= MAX_TUNNELS
        return not (self.leaving or full) and self._is_permitted(address)

    async def _connect(self, address: str) -> asyncio.Transport:
        async with within_running(_CONNECT_TIMEOUT):
            connected = await self._connect_directly(Address.from_text(address))
        loop = asyncio.get_running_loop()
        transport, _ = await loop.create_connection(
            asyncio.Protocol, sock=connected
        )
        # Until the tunnel is complete, nothing may be read and dropped.
        transport.pause_reading()
        return transport

    def _reply(self, client: asyncio.Transport, reply: TunnelReply) -> None:
        self._count(reply.name.lower())
        client.write(reply.value)
        client.close()

    def _end(
        self, client: asyncio.Transport, server: asyncio.Transport
    ) -> None:
        self.unfinished -= 1
        self._transports -= {client, server}


class _Entrance(asyncio.Protocol):
    """Receives the request of a new connection."""

    def __init__(
        self, accept: Callable[[asyncio.Transport, bytes], None]
    ) -> None:
        """Call ``accept`` with the connection and its complete request."""
        self._accept = accept
        self._received = bytearray()
        self._transport: asyncio.Transport | None = None
        self._timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Bound the time until the request."""
        self._transport = transport
        close_when_dead(transport)
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(_REQUEST_TIMEOUT, transport.abort)

    def data_received(self, data: bytes) -> None:
        """Collect the request; nothing follows it before the reply."""
        self._received += data
        length = measure_request(self._received)
        if length > MAX_REQUEST_BYTES or len(self._received) > length:
            self._transport.abort()
        elif len(self._received) == length:
            self._timer.cancel()
            self._transport.pause_reading()
            self._accept(self._transport, bytes(self._received))

    def connection_lost(self, exc: Exception | None) -> None:
        """End the wait for the request."""
        self._timer.cancel()
