"""Datagrams between instances, for updates that are useless when late.

Nothing is sent again: every datagram contains a complete state, so the next
one replaces a lost one.  A silent peer has no cost, unlike a connection to it.

Receivers count ages from the receipt, so what has waited while the process was
frozen would seem newer than it is.  It is discarded, or received apart with the
time that it may have waited.
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
#: Largest datagram in bytes, and how many may wait in the socket's buffer.
_MAX_BYTES = 65_536
_MAX_WAITING = 4096


class DatagramSocket(asyncio.DatagramProtocol):
    """One UDP socket for sending to and receiving from all peers."""

    def __init__(
        self,
        receive: Callable[[bytes, str], None],
        receive_outdated: Callable[[bytes, str, float], None] | None = None,
    ) -> None:
        """Set the functions that get each datagram; open no socket yet.

        Both get the sender's IP number.  ``receive_outdated`` also gets the
        seconds for which the datagram waited at most; without it, outdated
        datagrams are discarded.
        """
        self._receive = receive
        self._receive_outdated = receive_outdated
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
            self._receive(data, addr[0])
            return
        self._running_at = monotonic()
        outdated = [(data, addr[0]), *self._list_waiting()]
        record(
            _logger,
            'datagrams_outdated',
            datagrams=len(outdated),
            frozen_for=round(frozen_for, 3),
        )
        if self._receive_outdated is None:
            return
        for datagram, host in outdated:
            self._receive_outdated(datagram, host, frozen_for)

    def error_received(self, exc: Exception) -> None:
        """Log that a peer's host reported a closed port or a similar error."""
        _logger.debug('a datagram was not delivered: %r', exc)

    def _record_running(self) -> None:
        """Record that the event loop runs, now and from time to time."""
        self._running_at = monotonic()
        self._timer = asyncio.get_running_loop().call_later(
            _RUNNING_PERIOD, self._record_running
        )

    def _list_waiting(self) -> list[tuple[bytes, str]]:
        """List the datagrams that have arrived, and their senders."""
        waiting: list[tuple[bytes, str]] = []
        for _ in range(_MAX_WAITING):
            try:
                datagram, address = self._socket.recvfrom(_MAX_BYTES)
            except BlockingIOError:
                break
            except OSError as error:
                self.error_received(error)
            else:
                waiting.append((datagram, address[0]))
        return waiting


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
