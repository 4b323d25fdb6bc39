"""Queries, notices and replies between instances, as datagrams."""

from typing import ClassVar

import msgspec
from returns.result import Result

from ....state.problems import try_decode
from ..tables.tablestates import TableFreshness
from .updates import ReportedLimit, ReportedWork

__all__ = [
    'LeavingNotice',
    'Message',
    'PromptNotice',
    'Query',
    'Reply',
    'ReportedEnd',
    'ReportedLeaving',
    'SilenceNotice',
    'StartQuery',
    'StartReply',
    'TablesQuery',
    'TablesReply',
    'TrialEnd',
    'TrialQuery',
    'TrialReply',
    'WorkQuery',
    'WorkReply',
    'add_notice_age',
    'decode_message',
    'encode_message',
]


_SILENCE_TAG = 11


class _Unrelayed(msgspec.Struct, array_like=True):
    """A query or notice that goes to its receiver without a relay."""

    relayed: ClassVar[bool] = False


class TablesQuery(_Unrelayed, tag=0):
    """Query for the freshness of the store's tables at another instance."""

    token: int
    host: str
    zone: str


class TablesReply(msgspec.Struct, array_like=True, tag=1):
    """Freshness of the tables that may be relayed to the sender, by name."""

    token: int
    tables: dict[str, TableFreshness]


class WorkQuery(_Unrelayed, tag=2):
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
    ``warm_up`` is the rate that the endpoint bears while it warms up, ``None``
    when it does not.
    """

    token: int
    host: str
    zone: str
    limit: ReportedLimit
    longest_wait: float
    relayed: bool = False
    warm_up: float | None = None


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
    fingerprint: str = ''


class PromptNotice(_Unrelayed, tag=6):
    """What the sender observed of prompts and requests; needs no reply.

    ``harmless`` has the seconds since an answer that shows it, by service and
    part or fingerprint.  ``alive`` names the engines, by service and life,
    that were reported to have ended and have not; ``revived`` those that were
    confirmed to have, and the seconds since they answered.
    """

    token: int
    host: str
    zone: str
    ends: list[ReportedEnd] = []
    harmless: list[tuple[str, str, float]] = []
    alive: list[tuple[str, str]] = []
    revived: list[tuple[str, str, float]] = []


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


class ReportedLeaving(msgspec.Struct, array_like=True):
    """An incarnation that stated that it leaves, ``age`` seconds ago."""

    endpoint: str
    incarnation: str
    age: float


class LeavingNotice(_Unrelayed, tag=10):
    """Endpoints that told the sender that they leave; needs no reply."""

    token: int
    host: str
    zone: str
    leaving: list[ReportedLeaving]


class SilenceNotice(_Unrelayed, tag=_SILENCE_TAG):
    """Engines that left a query unanswered, or answer; needs no reply.

    ``silent`` has the seconds since the query, by engine, and ``answering``
    those since the answer.
    """

    token: int
    host: str
    zone: str
    silent: dict[str, float] = {}
    answering: dict[str, float] = {}


Query = (
    TablesQuery
    | WorkQuery
    | StartQuery
    | PromptNotice
    | TrialQuery
    | TrialEnd
    | LeavingNotice
    | SilenceNotice
)
Reply = TablesReply | WorkReply | StartReply | TrialReply
Message = Query | Reply

encode_message = msgspec.msgpack.Encoder().encode
_decode = msgspec.msgpack.Decoder(Message).decode


def decode_message(datagram: bytes) -> Result[Message, str]:
    """Decode a datagram, or return why it is unreadable."""
    return try_decode(_decode, datagram)


def add_notice_age(
    notice: PromptNotice | LeavingNotice | SilenceNotice, seconds: float
) -> None:
    """Add the seconds that a notice has waited to the ages in it."""
    if isinstance(notice, SilenceNotice):
        for ages in (notice.silent, notice.answering):
            for endpoint in ages:
                ages[endpoint] += seconds
        return
    if isinstance(notice, LeavingNotice):
        for reported in notice.leaving:
            reported.age += seconds
        return
    for end in notice.ends:
        end.sent_age += seconds
        end.ended_age += seconds
    notice.harmless = [
        (service, part, age + seconds) for service, part, age in notice.harmless
    ]
    notice.revived = [
        (service, engine, age + seconds)
        for service, engine, age in notice.revived
    ]
