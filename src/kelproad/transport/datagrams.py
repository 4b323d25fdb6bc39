"""Datagrams between instances, for updates that are useless when late.

Nothing is sent again: every datagram contains a complete state, so the next
one replaces a lost one.  A silent peer has no cost, unlike a connection to it.

Receivers count ages from the receipt, so what has waited while the process was
frozen would seem newer than it is.  It is discarded, or received apart with the
time that it may have waited.

Neither what others send nor where they want answers ends the socket.  If
anything does, it is opened again.
"""

import asyncio
import errno
import logging
import math
import socket
from collections.abc import Callable

from ..state.records import EVENT_FIELDS, record
from .addresses import Address, is_ip_number
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
#: Seconds between two records of one kind of failure, as each datagram may
#: fail, and until a socket that was lost is opened again.
_RECORD_PERIOD = 1.0
_REOPEN_SECONDS = 0.1


def _ignore_failure() -> None:
    """Do nothing when a datagram could not be handled."""


class DatagramSocket(asyncio.DatagramProtocol):
    """One UDP socket for sending to and receiving from all peers."""

    def __init__(
        self,
        receive: Callable[[bytes, str], None],
        receive_outdated: Callable[[bytes, str, float], None] | None = None,
        on_failed: Callable[[], None] = _ignore_failure,
    ) -> None:
        """Set the functions that get each datagram; open no socket yet.

        Both get the sender's IP number.  ``receive_outdated`` also gets the
        seconds for which the datagram waited at most; without it, outdated
        datagrams are discarded.  ``on_failed`` is called after an error in
        either.
        """
        self._receive = receive
        self._receive_outdated = receive_outdated
        self._on_failed = on_failed
        self._socket: socket.socket | None = None
        self._transport: asyncio.DatagramTransport | None = None
        #: Monotonic time at which the event loop has run last.
        self._running_at = -math.inf
        self._timer: asyncio.TimerHandle | None = None
        self._address: Address | None = None
        self._reopening: asyncio.Task[None] | None = None
        #: Monotonic time of the last record of each kind of failure, and
        #: failures of the kind since.
        self._recorded: dict[str, tuple[float, int]] = {}

    async def open(self, address: Address) -> None:
        """Bind to an address of this instance."""
        self._address = address
        await self._bind(address)
        self._record_running()

    def send(self, datagram: bytes, address: Address) -> None:
        """Send without waiting; the datagram is lost if the buffer is full.

        It is also lost if the host is no IP number: to resolve a name would
        hold the event loop, and some texts end the socket.
        """
        if self._transport is None:
            return
        if is_ip_number(address.host):
            self._transport.sendto(datagram, (address.host, address.port))
        else:
            self._record_failure('datagram_unaddressed', host=address.host)

    def close(self) -> None:
        """Close the socket."""
        if self._reopening is not None:
            self._reopening.cancel()
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
            self._hand_on(self._receive, data, addr[0])
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
            self._hand_on(self._receive_outdated, datagram, host, frozen_for)

    def error_received(self, exc: Exception) -> None:
        """Log that a peer's host reported a closed port or a similar error."""
        _logger.debug('a datagram was not delivered: %r', exc)
        if isinstance(exc, OSError) and exc.errno == errno.EMSGSIZE:
            self._record_failure('datagram_too_large')

    def connection_lost(self, exc: Exception | None) -> None:
        """Open the socket again, unless it was closed here."""
        if self._transport is None or self._address is None:
            return
        self._transport = None
        record(_logger, 'datagram_socket_lost', reason=repr(exc))
        self._reopening = asyncio.create_task(self._reopen(self._address))

    async def _bind(self, address: Address) -> None:
        self._socket = _bind_socket(address)
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(lambda: self, sock=self._socket)

    async def _reopen(self, address: Address) -> None:
        while self._transport is None:
            await asyncio.sleep(_REOPEN_SECONDS)
            try:
                await self._bind(address)
            except OSError as error:
                self._record_failure('datagram_socket_unopened', error=error)
        record(_logger, 'datagram_socket_opened')

    def _hand_on(
        self, receive: Callable[..., None], datagram: bytes, *source: object
    ) -> None:
        """Have a datagram received; an error concerns no other one."""
        try:
            receive(datagram, *source)
        except Exception as error:
            self._on_failed()
            self._record_failure('datagram_failed', error=error, host=source[0])

    def _record_failure(
        self,
        event: str,
        error: Exception | None = None,
        **fields: object,
    ) -> None:
        """Record a failure of a kind, with the number since the last."""
        recorded_at, count = self._recorded.get(event, (-math.inf, 0))
        now = monotonic()
        if now - recorded_at < _RECORD_PERIOD:
            self._recorded[event] = (recorded_at, count + 1)
            return
        self._recorded[event] = (now, 0)
        fields['failures'] = count + 1
        _logger.error(event, extra={EVENT_FIELDS: fields}, exc_info=error)

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
