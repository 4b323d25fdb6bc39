"""Queries from one instance to another, and the replies, by datagram.

Either may get lost: who asks waits for a short time, and asks again if it must.
"""

import asyncio
import contextlib
import itertools
import logging
from collections.abc import Callable

import msgspec

from ...state.records import record
from ...transport.addresses import Address
from ...transport.datagrams import DatagramSocket
from ...transport.services import BackgroundService
from .settings import NodeSettings
from .tables import TableFreshness
from .updates import ToldWork

__all__ = [
    'Reply',
    'PeerQueries',
    'Query',
    'TablesReply',
    'TablesQuery',
    'WorkReply',
    'WorkQuery',
]

_logger = logging.getLogger(__name__)


class TablesQuery(msgspec.Struct, array_like=True, tag=0):
    """Asks how fresh the tables of the store are at another instance."""

    token: int
    host: str
    zone: str


class TablesReply(msgspec.Struct, array_like=True, tag=1):
    """Tells how fresh the tables are that may be told, by name."""

    token: int
    tables: dict[str, TableFreshness]


class WorkQuery(msgspec.Struct, array_like=True, tag=2):
    """Asks what is in flight at the engines of another zone."""

    token: int
    host: str
    zone: str


class WorkReply(msgspec.Struct, array_like=True, tag=3):
    """Tells what is in flight at the engines of a zone.

    Work that instances of the asker's zone sent there is left out, as the
    asker hears of it from them.
    """

    token: int
    work: list[ToldWork]
    refusing: list[str]
    slow: dict[str, float]


Query = TablesQuery | WorkQuery
Reply = TablesReply | WorkReply
Message = Query | Reply

_encode = msgspec.msgpack.Encoder().encode
_decode = msgspec.msgpack.Decoder(Message).decode


class PeerQueries(BackgroundService):
    """Asks other instances, and answers them."""

    abstract = False

    def __init__(
        self,
        settings: NodeSettings,
        answer: Callable[[Query], Reply],
    ) -> None:
        """Answer queries by a function."""
        super().__init__()
        self._settings = settings
        self._answer = answer
        self._socket = DatagramSocket(self.receive)
        self._tokens = itertools.count(1)
        self._waiting: dict[int, asyncio.Future[Reply]] = {}

    async def on_start(self) -> None:
        """Open the socket."""
        await self._socket.open(
            Address(self._settings.ip, self._settings.query_port),
        )

    async def on_stop(self) -> None:
        """Close the socket."""
        self._socket.close()

    async def ask(
        self,
        kind: type[Query],
        host: str,
        seconds: float,
    ) -> Reply | None:
        """Ask an instance once; nothing when it doesn't answer in time."""
        token = next(self._tokens)
        reply = asyncio.get_running_loop().create_future()
        self._waiting[token] = reply
        query = kind(token, self._settings.ip, self._settings.zone)
        self._send(query, host)
        try:
            with contextlib.suppress(asyncio.TimeoutError):
                async with asyncio.timeout(seconds):
                    return await reply
        finally:
            self._waiting.pop(token, None)
        return None

    def receive(self, datagram: bytes) -> None:
        """Answer a query, or take a reply in."""
        try:
            message = _decode(datagram)
        except msgspec.DecodeError as error:
            record(_logger, 'query_unreadable', reason=str(error))
            return
        if isinstance(message, Query):
            self._send(self._answer(message), message.host)
            return
        waiting = self._waiting.get(message.token)
        if waiting is not None and not waiting.done():
            waiting.set_result(message)

    def _send(self, message: Message, host: str) -> None:
        address = Address(host, self._settings.query_port)
        self._socket.send(_encode(message), address)
