"""Datagrams between instances, for updates that are useless when late.

Nothing is sent again: every datagram contains a complete state, so the next
one replaces a lost one.  A silent peer has no cost, unlike a connection to it.
"""

import asyncio
import logging
import socket
from collections.abc import Callable

from .addresses import Address

__all__ = ['DatagramSocket']

_logger = logging.getLogger(__name__)
#: Largest datagram in bytes.
_MAX_BYTES = 65_536
#: Datagrams that are read in one iteration of the event loop at most, so that
#: calls go on while many arrive.
_MAX_PER_ITERATION = 32


class DatagramSocket:
    """One UDP socket for sending to and receiving from all peers.

    What has arrived meanwhile is read in one iteration of the event loop, where
    asyncio's own transport would take an iteration for each datagram.
    """

    def __init__(self, receive: Callable[[bytes], None]) -> None:
        """Set the function that gets each datagram; open no socket yet."""
        self._receive = receive
        self._socket: socket.socket | None = None

    async def open(self, address: Address) -> None:
        """Bind to an address of this instance."""
        family = socket.AF_INET6 if ':' in address.host else socket.AF_INET
        opened = socket.socket(family, socket.SOCK_DGRAM)
        opened.setblocking(False)
        try:
            opened.bind((address.host, address.port))
        except OSError:
            opened.close()
            raise
        self._socket = opened
        asyncio.get_running_loop().add_reader(opened, self._receive_waiting)

    def send(self, datagram: bytes, address: Address) -> None:
        """Send without waiting; the datagram is lost if the buffer is full."""
        if self._socket is None:
            return
        try:
            self._socket.sendto(datagram, (address.host, address.port))
        except OSError as error:
            _logger.debug('a datagram was not sent: %r', error)

    def close(self) -> None:
        """Close the socket."""
        if self._socket is None:
            return
        asyncio.get_running_loop().remove_reader(self._socket)
        self._socket.close()
        self._socket = None

    def _receive_waiting(self) -> None:
        """Forward the datagrams that have arrived to the receiver."""
        for _ in range(_MAX_PER_ITERATION):
            if self._socket is None:
                return
            try:
                datagram = self._socket.recv(_MAX_BYTES)
            except BlockingIOError:
                return
            except OSError as error:
                # A peer's host reported a closed port or a similar error.
                _logger.debug('a datagram was not delivered: %r', error)
                continue
            self._receive(datagram)
