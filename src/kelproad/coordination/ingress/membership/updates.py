"""Reports that instances send each other of themselves, as datagrams."""

from collections.abc import Mapping

import msgspec
from returns.result import Result

from ....state.problems import try_decode
from ....state.requestlimits import LimitNotice
from ....state.work import EndpointWork
from ..tables.tablestates import Provenance

__all__ = [
    'PeerUpdate',
    'ZoneReader',
    'ReportedLimit',
    'ReportedWork',
    'add_age',
    'decode_update',
    'encode_update',
    'pack_limits',
    'pack_work',
    'unpack_limits',
    'unpack_work',
]


class ReportedWork(msgspec.Struct, array_like=True):
    """Work at one endpoint, as reported to peers.

    New fields go to the end and have a default, as instances of two versions
    run side by side during an upgrade.
    """

    endpoint: str
    calls: int
    context_tokens: int
    prefill_seconds: float
    helping: int
    patient_calls: int = 0


class ReportedLimit(msgspec.Struct, array_like=True):
    """What an endpoint stated about its request limit, ``age`` seconds ago.

    ``rate`` is in requests per second, ``None`` for no limit.
    """

    endpoint: str
    incarnation: str
    rate: float | None
    age: float


class ZoneReader(msgspec.Struct, array_like=True):
    """The instance that serves the store's tables to the others of its zone."""

    instance: str
    host: str
    provenance: Provenance | None


class PeerUpdate(msgspec.Struct, array_like=True):
    """Report of an instance on itself.

    ``sequence`` orders the datagrams of one incarnation, ``started_at`` the
    incarnations.  ``unconfirmed_for`` is the time in seconds since the sender's
    configuration was last confirmed, ``None`` when it never was.  ``refusing``
    names engines that refused to prefill a prompt part for the sender, ``slow``
    those that reported how many times their published durations they take.
    ``provenance`` is the source of the sender's tables, ``None`` when they are
    too old to be relayed.  ``zone_reader`` is the instance that serves tables
    to the sender's zone.  ``limits`` are the request limits that endpoints
    stated to the sender.  ``lost_paths`` is the number of endpoints that the
    sender can't connect to, although peers can.  ``configuration`` is the
    version that the sender has in force.
    """

    instance: str
    host: str
    zone: str
    started_at: int
    sequence: int
    leaving: bool
    unconfirmed_for: float | None
    work: list[ReportedWork]
    refusing: list[str] = []
    slow: dict[str, float] = {}
    provenance: Provenance | None = None
    zone_reader: ZoneReader | None = None
    limits: list[ReportedLimit] = []
    lost_paths: int = 0
    configuration: int | None = None


encode_update = msgspec.msgpack.Encoder().encode
_decode = msgspec.msgpack.Decoder(PeerUpdate).decode


def decode_update(datagram: bytes) -> Result[PeerUpdate, str]:
    """Decode a datagram, or return why it is unreadable."""
    return try_decode(_decode, datagram)


def add_age(update: PeerUpdate, seconds: float) -> None:
    """Add the seconds that a report has waited to the ages in it."""
    if update.unconfirmed_for is not None:
        update.unconfirmed_for += seconds
    for limit in update.limits:
        limit.age += seconds


def pack_work(by_endpoint: dict[str, EndpointWork]) -> list[ReportedWork]:
    """Convert work to its form in datagrams, seconds rounded to 0.1 ms."""
    return [
        ReportedWork(
            name,
            work.calls,
            work.context_tokens,
            round(work.prefill_seconds, 4),
            work.helping,
            work.patient_calls,
        )
        for name, work in by_endpoint.items()
    ]


def pack_limits(
    notices: Mapping[str, LimitNotice],
    now: float,
) -> list[ReportedLimit]:
    """Convert notices of limits to their form in datagrams."""
    return [
        ReportedLimit(
            name, notice.incarnation, notice.rate, now - notice.observed_at
        )
        for name, notice in notices.items()
    ]


def unpack_limits(
    reported: list[ReportedLimit],
    source: str,
    now: float,
) -> dict[str, LimitNotice]:
    """Convert reported limits from their form in datagrams, by endpoint."""
    return {
        limit.endpoint: LimitNotice(
            limit.rate, limit.incarnation, now - limit.age, source
        )
        for limit in reported
    }


def unpack_work(reported: list[ReportedWork]) -> dict[str, EndpointWork]:
    """Convert reported work from its form in datagrams, by endpoint."""
    return {
        work.endpoint: EndpointWork(
            work.calls,
            work.context_tokens,
            work.prefill_seconds,
            work.helping,
            work.patient_calls,
        )
        for work in reported
    }
