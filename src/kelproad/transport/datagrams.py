"""Datagrams between instances, for updates that are useless when late.

Nothing is sent again: every datagram contains a complete state, so the next
one replaces a lost one.  A silent peer has no cost, unlike a connection to it.
One datagram takes some 20 us of processor time here, a message over a pynng
socket 490 us for both ends together; instances report work to each other up to
50 times a second.

What has waited while the process was frozen is discarded: receivers count ages
from the receipt, so outdated reports would seem newer than current ones.
"""

import asyncio
import logging
import math
import socket
from collections.abc import Callable

from ..state.records import record
from .addresses import Address
from .deadlines import monotonic

__all__ = ['DatagramSocket']

_logger = logging.getLogger(__name__)
#: Seconds between two records that the event loop runs, and without one after
#: which the process counts as having been frozen.
_RUNNING_PERIOD = 0.25
_FROZEN_SECONDS = 1.0
#: Datagrams that may wait in the socket's buffer.
_MAX_WAITING = 4096


class DatagramSocket(asyncio.DatagramProtocol):
    """One UDP socket for sending to and receiving from all peers."""

    def __init__(self, receive: Callable[[bytes], None]) -> None:
        """Set the function that gets each datagram; open no socket yet."""
        self._receive = receive
        self._socket: socket.socket | None = None
        self._transport: asyncio.DatagramTransport | None = None
        #: Monotonic time at which the event loop has run last.
        self._running_at = -math.inf
        self._timer: asyncio.TimerHandle | None = None

    async def open(self, address: Address) -> None:
        """Bind to an address of this instance."""
        self._socket = _bind_socket(address)
        self._record_running()
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(lambda: self, sock=self._socket)

    def send(self, datagram: bytes, address: Address) -> None:
        """Send without waiting; the datagram is lost if the buffer is full."""
        if self._transport is not None:
            self._transport.sendto(datagram, (address.host, address.port))

    def close(self) -> None:
        """Close the socket."""
        if self._transport is not None:
            self._transport.close()
            self._transport = None
        if self._timer is not None:
            self._timer.cancel()

    # Callbacks of asyncio

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport, with which sending becomes possible."""
        self._transport = transport

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Forward a datagram to the receiver, unless it is outdated."""
        frozen_for = monotonic() - self._running_at
        if frozen_for < _FROZEN_SECONDS:
            self._receive(data)
            return
        self._running_at = monotonic()
        record(
            _logger,
            'outdated_datagrams_discarded',
            datagrams=1 + self._discard_waiting(),
            frozen_for=round(frozen_for, 3),
        )

    def error_received(self, exc: Exception) -> None:
        """Log that a peer's host reported a closed port or a similar error."""
        _logger.debug('a datagram was not delivered: %r', exc)

    def _record_running(self) -> None:
        """Record that the event loop runs, now and from time to time."""
        self._running_at = monotonic()
        self._timer = asyncio.get_running_loop().call_later(
            _RUNNING_PERIOD, self._record_running
        )

    def _discard_waiting(self) -> int:
        """Discard the datagrams that have arrived; return their number."""
        for number in range(_MAX_WAITING):
            try:
                self._socket.recv(1)
            except OSError:
                return number
        return _MAX_WAITING


def _bind_socket(address: Address) -> socket.socket:
    family = socket.AF_INET6 if ':' in address.host else socket.AF_INET
    opened = socket.socket(family, socket.SOCK_DGRAM)
    opened.setblocking(False)
    try:
        opened.bind((address.host, address.port))
    except OSError:
        opened.close()
        raise
    return opened
