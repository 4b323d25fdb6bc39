"""Asking another instance by datagram whether its tables have changed.

Nearly always they have not, and that takes two datagrams of some tens of bytes;
only a change is fetched by HTTP.  What is told is as old as the teller says,
counted from before the question was sent, so neither a slow answer nor a
suspension can make anything look fresher than it is.
"""

import asyncio
import contextlib
import itertools
import logging

import attrs
import msgspec

from ...state.records import record
from ...transport.addresses import Address
from ...transport.datagrams import DatagramSocket
from ...transport.deadlines import read_boottime
from ...transport.services import BackgroundService
from .readers import Reader
from .settings import NodeSettings
from .tables import FollowedTables, TableFreshness

__all__ = ['Freshness', 'TableProbe']

_logger = logging.getLogger(__name__)
#: Seconds for an answer, and how often it is asked for, as datagrams get lost.
#: The way takes up to 6 ms, and an instance that has a burst of calls may be
#: some 0.1 s behind.
_ANSWER_SECONDS = 0.15
_TRIES = 2
#: Seconds for which one answer serves the followers of all tables.
_REUSE_SECONDS = 0.1


class _Question(msgspec.Struct, array_like=True, tag=0):
    """Asks how fresh the tables are at another instance."""

    token: int
    host: str
    zone: str


class _Answer(msgspec.Struct, array_like=True, tag=1):
    """Tells how fresh the tables are that may be told, by name."""

    token: int
    tables: dict[str, TableFreshness]


@attrs.frozen
class Freshness:
    """What an instance said of its tables.

    Attributes
    ----------
    asked_at
        Boot time at which the question was sent.
    """

    tables: dict[str, TableFreshness]
    asked_at: float


_encode = msgspec.msgpack.Encoder().encode
_decode = msgspec.msgpack.Decoder(_Question | _Answer).decode


class TableProbe(BackgroundService):
    """Asks other instances how fresh their tables are, and answers them."""

    abstract = False

    def __init__(self, settings: NodeSettings, tables: FollowedTables) -> None:
        """Answer for the tables that are followed here."""
        super().__init__()
        self._settings = settings
        self._tables = tables
        self._socket = DatagramSocket(self.receive)
        self._tokens = itertools.count(1)
        self._waiting: dict[int, asyncio.Future[dict[str, TableFreshness]]] = {}
        self._latest: dict[str, Freshness] = {}
        self._asking: dict[str, asyncio.Task[Freshness | None]] = {}

    async def on_start(self) -> None:
        """Open the socket."""
        await self._socket.open(
            Address(self._settings.ip, self._settings.probe_port),
        )

    async def on_stop(self) -> None:
        """Close the socket."""
        self._socket.close()

    async def ask(self, reader: Reader) -> Freshness | None:
        """Ask an instance; nothing when it doesn't answer."""
        latest = self._latest.get(reader.instance)
        if latest and read_boottime() - latest.asked_at < _REUSE_SECONDS:
            return latest
        asking = self._asking.get(reader.instance)
        if asking is None:
            asking = asyncio.create_task(self._ask(reader))
            self._asking[reader.instance] = asking
            asking.add_done_callback(
                lambda _: self._asking.pop(reader.instance, None),
            )
        return await asyncio.shield(asking)

    def receive(self, datagram: bytes) -> None:
        """Answer a question, or take an answer in."""
        try:
            message = _decode(datagram)
        except msgspec.DecodeError as error:
            record(_logger, 'probe_unreadable', reason=str(error))
            return
        if isinstance(message, _Question):
            self._answer(message)
            return
        waiting = self._waiting.pop(message.token, None)
        if waiting is not None and not waiting.done():
            waiting.set_result(message.tables)

    async def _ask(self, reader: Reader) -> Freshness | None:
        for _ in range(_TRIES):
            asked_at = read_boottime()
            token = next(self._tokens)
            waiting = asyncio.get_running_loop().create_future()
            self._waiting[token] = waiting
            self._send(
                _Question(token, self._settings.ip, self._settings.zone),
                reader.host,
            )
            with contextlib.suppress(asyncio.TimeoutError):
                async with asyncio.timeout(_ANSWER_SECONDS):
                    freshness = Freshness(await waiting, asked_at)
                    self._latest = {reader.instance: freshness}
                    return freshness
            self._waiting.pop(token, None)
        return None

    def _answer(self, question: _Question) -> None:
        within_zone = question.zone == self._settings.zone
        tables = self._tables.describe_freshness(within_zone)
        self._send(_Answer(question.token, tables), question.host)

    def _send(self, message: _Question | _Answer, host: str) -> None:
        address = Address(host, self._settings.probe_port)
        self._socket.send(_encode(message), address)
