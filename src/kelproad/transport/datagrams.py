"""Datagrams between instances, for updates that are useless when late.

Nothing is sent again: every datagram contains a complete state, so the next
one replaces a lost one.  A silent peer has no cost, unlike a connection to it.
One datagram takes some 20 us of processor time here, a message over a pynng
socket 490 us for both ends together; instances report work to each other up to
50 times a second.
"""

import asyncio
import logging
from collections.abc import Callable

from .addresses import Address

__all__ = ['DatagramSocket']

_logger = logging.getLogger(__name__)


class DatagramSocket(asyncio.DatagramProtocol):
    """One UDP socket for sending to and receiving from all peers."""

    def __init__(self, receive: Callable[[bytes], None]) -> None:
        """Set the function that gets each datagram; open no socket yet."""
        self._receive = receive
        self._transport: asyncio.DatagramTransport | None = None

    async def open(self, address: Address) -> None:
        """Bind to an address of this instance."""
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(
            lambda: self,
            local_addr=(address.host, address.port),
        )

    def send(self, datagram: bytes, address: Address) -> None:
        """Send without waiting; the datagram is lost if the buffer is full."""
        if self._transport is not None:
            self._transport.sendto(datagram, (address.host, address.port))

    def close(self) -> None:
        """Close the socket."""
        if self._transport is not None:
            self._transport.close()

    # Callbacks of asyncio

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport, with which sending becomes possible."""
        self._transport = transport

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Forward a datagram to the receiver."""
        self._receive(data)

    def error_received(self, exc: Exception) -> None:
        """Log that a peer's host reported a closed port or a similar error."""
        _logger.debug('a datagram was not delivered: %r', exc)
