"""Queries from one instance to another, and the replies, by datagram.

Either may get lost: the sender waits for a short time, and may send the query
again.
"""

import asyncio
import contextlib
import itertools
import logging
from collections.abc import Callable

from returns.result import Failure

from ....state.records import OnceRecorder, record
from ....transport.addresses import Address
from ....transport.datagrams import DatagramSocket
from ....transport.deadlines import within_running
from ....transport.services import BackgroundService
from ..settings import NodeSettings
from .messages import (
    LeavingNotice,
    Message,
    PromptNotice,
    Query,
    Reply,
    SilenceNotice,
    add_notice_age,
    decode_message,
    encode_message,
)

__all__ = ['PeerQueries']

_logger = logging.getLogger(__name__)


class PeerQueries(BackgroundService):
    """Sends queries to other instances, and replies to theirs."""

    abstract = False

    def __init__(
        self,
        settings: NodeSettings,
        answer: Callable[[Query], Reply | None],
        is_peer: Callable[[str], bool],
    ) -> None:
        """Reply to received queries with the result of ``answer``.

        ``None`` sends no reply, because another instance does.  ``is_peer``
        returns whether an IP number is that of an instance known here.
        """
        super().__init__()
        self._settings = settings
        self._answer = answer
        self._is_peer = is_peer
        self._recorder = OnceRecorder(_logger)
        self._socket = DatagramSocket(
            self.receive, self.receive_outdated, self.count_datagram_failure
        )
        self._tokens = itertools.count(1)
        #: Replies that are waited for, by the token of their query.
        self._waiting: dict[int, asyncio.Future[Reply]] = {}

    async def on_start(self) -> None:
        """Open the socket."""
        await self._socket.open(
            Address(self._settings.ip, self._settings.query_port),
        )

    async def on_stop(self) -> None:
        """Close the socket."""
        self._socket.close()

    async def query(
        self,
        kind: Callable[[int, str, str], Query],
        host: str,
        seconds: float,
    ) -> Reply | None:
        """Send a query once; ``None`` when no reply comes in time.

        ``kind`` builds it from a token, and this instance's host and zone.
        """
        token = next(self._tokens)
        reply = asyncio.get_running_loop().create_future()
        self._waiting[token] = reply
        query = kind(token, self._settings.ip, self._settings.zone)
        self._send(query, host)
        try:
            with contextlib.suppress(asyncio.TimeoutError):
                async with within_running(seconds):
                    return await reply
        finally:
            self._waiting.pop(token, None)
        return None

    def announce(
        self,
        kind: Callable[[int, str, str], Query],
        host: str,
    ) -> None:
        """Send a query whose reply is not waited for."""
        self._send(kind(0, self._settings.ip, self._settings.zone), host)

    def relay(self, query: Query, host: str) -> None:
        """Send on the query of another instance, which gets the reply."""
        self._send(query, host)

    def receive(self, datagram: bytes, host: str) -> None:
        """Reply to a query, or resolve the query that a reply belongs to."""
        message = self._decode(datagram, host)
        if isinstance(message, Query):
            reply = self._answer(message)
            if reply is not None:
                self._send(reply, message.host)
        elif message is not None:
            waiting = self._waiting.get(message.token)
            if waiting is not None and not waiting.done():
                waiting.set_result(message)

    def receive_outdated(
        self, datagram: bytes, host: str, waited: float
    ) -> None:
        """Take a notice that has waited for ``waited`` seconds at most.

        Nobody waits for the reply to a query any more.
        """
        message = self._decode(datagram, host)
        if isinstance(message, PromptNotice | LeavingNotice | SilenceNotice):
            add_notice_age(message, waited)
            self._answer(message)

    def _decode(self, datagram: bytes, host: str) -> Message | None:
        """Decode a datagram; ``None`` for one that is refused, with a log.

        A query must come from the instance that gets the reply, or from one
        that relays it.
        """
        decoded = decode_message(datagram)
        if isinstance(decoded, Failure):
            record(_logger, 'query_unreadable', reason=decoded.failure())
            return None
        message = decoded.unwrap()
        if isinstance(message, Query) and message.host != host:
            if not (message.relayed and self._is_peer(host)):
                self._recorder.record(
                    host, 'query_refused', host=host, named=message.host
                )
                return None
        return message

    def _send(self, message: Message, host: str) -> None:
        address = Address(host, self._settings.query_port)
        self._socket.send(encode_message(message), address)
