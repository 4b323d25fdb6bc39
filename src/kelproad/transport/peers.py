"""Datagram-like messages between instances, over pynng.

Each instance has one socket that receives from all peers, and one task with
one sending socket for each peer.  A message may be lost, duplicated, late or
out of order; the layers above must tolerate that.
"""

import asyncio
import logging
from collections.abc import Awaitable, Callable

import pynng

from .addresses import Address
from .services import BackgroundService, restarted_task

__all__ = ['PeerLink', 'PeerListener']

_logger = logging.getLogger(__name__)
_SEND_TIMEOUT_MS = 1000
_RECONNECT_MIN_MS = 100
_RECONNECT_MAX_MS = 2000
#: Larger messages are discarded by the socket before they are read.
MAX_MESSAGE_BYTES = 4 * 1024 * 1024


class PeerListener(BackgroundService):
    """Receiver of the messages of all peers."""

    abstract = False

    def __init__(
        self,
        address: Address,
        receive: Callable[[bytes], Awaitable[None]],
    ) -> None:
        """Prepare to listen; ``receive`` is called with each message."""
        super().__init__()
        self._address = address
        self._receive = receive
        self._socket = pynng.Pull0(recv_max_size=MAX_MESSAGE_BYTES)

    async def on_start(self) -> None:
        """Listen on the instance's peer address."""
        self._socket.listen(f'tcp://{self._address.authority}')

    async def on_stop(self) -> None:
        """Close the socket."""
        self._socket.close()

    @restarted_task
    async def _read(self) -> None:
        while not self.should_stop:
            try:
                message = await self._socket.arecv()
            except pynng.Closed:
                return
            await self._receive(message)


class PeerLink:
    """Sender of messages to one peer.

    Only the newest messages wait: a peer that does not read must not make the
    memory of this process grow, and every message contains complete records,
    so that a newer one replaces the one that was dropped.
    """

    def __init__(self, address: Address, origin: Address) -> None:
        """Connect in the background, from the IP address of ``origin``.

        The peer need not be running.
        """
        self._socket = pynng.Push0(
            send_timeout=_SEND_TIMEOUT_MS,
            send_buffer_size=4,
            reconnect_time_min=_RECONNECT_MIN_MS,
            reconnect_time_max=_RECONNECT_MAX_MS,
        )
        dialed = f'tcp://{origin.host};{address.authority}'
        self._socket.dial(dialed, block=False)
        self._waiting: asyncio.Queue[bytes] = asyncio.Queue(maxsize=8)
        self._task = asyncio.create_task(self._send_all())
        self.sent = 0
        self.dropped = 0

    def send(self, message: bytes) -> None:
        """Queue a message; the oldest one is dropped if the queue is full."""
        if self._waiting.full():
            self._waiting.get_nowait()
            self.dropped += 1
        self._waiting.put_nowait(message)

    def close(self) -> None:
        """Stop sending, drop waiting messages and close the socket."""
        self._task.cancel()
        self._socket.close()

    async def _send_all(self) -> None:
        while True:
            message = await self._waiting.get()
            try:
                await self._socket.asend(message)
            except pynng.Closed:
                return
            except pynng.NNGException:
                self.dropped += 1
                continue
            self.sent += 1
