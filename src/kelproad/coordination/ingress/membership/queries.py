"""Queries from one instance to another, and the replies, by datagram.

Either may get lost: the sender waits for a short time, and may send the query
again.
"""

import asyncio
import contextlib
import itertools
import logging
from collections.abc import Callable

import msgspec

from ....state.records import record
from ....transport.addresses import Address
from ....transport.datagrams import DatagramSocket
from ....transport.services import BackgroundService
from ..settings import NodeSettings
from ..tables.followed import TableFreshness
from .updates import ReportedLimit, ReportedWork

__all__ = [
    'Reply',
    'PeerQueries',
    'PromptNotice',
    'Query',
    'ReportedEnd',
    'StartQuery',
    'StartReply',
    'TablesReply',
    'TablesQuery',
    'TrialEnd',
    'TrialQuery',
    'TrialReply',
    'WorkReply',
    'WorkQuery',
]

_logger = logging.getLogger(__name__)


class TablesQuery(msgspec.Struct, array_like=True, tag=0):
    """Query for the freshness of the store's tables at another instance."""

    token: int
    host: str
    zone: str


class TablesReply(msgspec.Struct, array_like=True, tag=1):
    """Freshness of the tables that may be relayed to the sender, by name."""

    token: int
    tables: dict[str, TableFreshness]


class WorkQuery(msgspec.Struct, array_like=True, tag=2):
    """Query for the work in flight at the engines of another zone."""

    token: int
    host: str
    zone: str


class WorkReply(msgspec.Struct, array_like=True, tag=3):
    """Work in flight at the engines of a zone.

    Work that instances of the querying zone sent there is excluded, as the
    sender receives it from them.
    """

    token: int
    work: list[ReportedWork]
    refusing: list[str]
    slow: dict[str, float]
    limits: list[ReportedLimit] = []


class StartQuery(msgspec.Struct, array_like=True, tag=4):
    """Query whether a request may start at an endpoint that limits them.

    ``limit`` is what the sender knows of its limit.  A start more than
    ``longest_wait`` seconds away is useless to the sender; infinity announces
    a start that nothing can delay.  ``relayed`` queries are not relayed again.
    """

    token: int
    host: str
    zone: str
    limit: ReportedLimit
    longest_wait: float
    relayed: bool = False


class StartReply(msgspec.Struct, array_like=True, tag=5):
    """Whether a start is reserved, with the fields of ``StartGrant``."""

    token: int
    granted: bool
    wait: float
    next_wait: float
    limit: ReportedLimit


class ReportedEnd(msgspec.Struct, array_like=True):
    """A call whose engine ended, with the fields of ``EndedCall``.

    Times are in seconds before the report.
    """

    service: str
    engine: str
    parts: list[str]
    workspaces: list[str]
    sent_age: float
    ended_age: float
    confirmed: bool


class PromptNotice(msgspec.Struct, array_like=True, tag=6):
    """What the sender observed of parts of prompts; needs no reply.

    ``harmless`` has the seconds since an answer that shows it, by service and
    part.  ``alive`` names the engines, by service and life, that were reported
    to have ended and have not.
    """

    token: int
    host: str
    zone: str
    ends: list[ReportedEnd] = []
    harmless: list[tuple[str, str, float]] = []
    alive: list[tuple[str, str]] = []


class TrialQuery(msgspec.Struct, array_like=True, tag=7):
    """Query whether a call may try parts that are suspect at an engine.

    ``call`` is its request id; ``relayed`` queries are not relayed again.
    """

    token: int
    host: str
    zone: str
    service: str
    parts: list[str]
    call: str
    engine: str
    relayed: bool = False


class TrialReply(msgspec.Struct, array_like=True, tag=8):
    """Whether the call may be sent: no other one tries any of the parts.

    ``engines`` are those at which others try parts; an engine that ends there
    should accuse only one of them.
    """

    token: int
    granted: bool
    engines: list[str]


class TrialEnd(msgspec.Struct, array_like=True, tag=9):
    """Notice that the trial of a call is over; needs no reply."""

    token: int
    host: str
    zone: str
    service: str
    parts: list[str]
    call: str
    relayed: bool = False


Query = (
    TablesQuery | WorkQuery | StartQuery | PromptNotice | TrialQuery | TrialEnd
)
Reply = TablesReply | WorkReply | StartReply | TrialReply
Message = Query | Reply

_encode = msgspec.msgpack.Encoder().encode
_decode = msgspec.msgpack.Decoder(Message).decode


class PeerQueries(BackgroundService):
    """Sends queries to other instances, and replies to theirs."""

    abstract = False

    def __init__(
        self,
        settings: NodeSettings,
        answer: Callable[[Query], Reply | None],
    ) -> None:
        """Reply to received queries with the result of ``answer``.

        ``None`` sends no reply, because another instance does.
        """
        super().__init__()
        self._settings = settings
        self._answer = answer
        self._socket = DatagramSocket(self.receive, self.receive_outdated)
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
                async with asyncio.timeout(seconds):
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

    def receive(self, datagram: bytes) -> None:
        """Reply to a query, or resolve the query that a reply belongs to."""
        message = _decode_message(datagram)
        if isinstance(message, Query):
            reply = self._answer(message)
            if reply is not None:
                self._send(reply, message.host)
        elif message is not None:
            waiting = self._waiting.get(message.token)
            if waiting is not None and not waiting.done():
                waiting.set_result(message)

    def receive_outdated(self, datagram: bytes, waited: float) -> None:
        """Take a notice that has waited for ``waited`` seconds at most.

        Nobody waits for the reply to a query any more.
        """
        message = _decode_message(datagram)
        if isinstance(message, PromptNotice):
            add_notice_age(message, waited)
            self._answer(message)

    def _send(self, message: Message, host: str) -> None:
        address = Address(host, self._settings.query_port)
        self._socket.send(_encode(message), address)


def _decode_message(datagram: bytes) -> Message | None:
    """Decode a datagram; ``None`` for one that is unreadable."""
    try:
        return _decode(datagram)
    except msgspec.DecodeError as error:
        record(_logger, 'query_unreadable', reason=str(error))
        return None


def add_notice_age(notice: PromptNotice, seconds: float) -> None:
    """Add the seconds that a notice has waited to the ages in it."""
    for end in notice.ends:
        end.sent_age += seconds
        end.ended_age += seconds
    notice.harmless = [
        (service, part, age + seconds) for service, part, age in notice.harmless
    ]
