"""What instances tell each other of themselves, as datagrams hold it."""

import msgspec
from returns.result import Failure, Result, Success

from ...state.work import EndpointWork
from .tablestates import Provenance

__all__ = [
    'PeerUpdate',
    'ZoneReader',
    'ToldWork',
    'decode_update',
    'encode_update',
    'read_work',
    'tell_work',
]


class ToldWork(msgspec.Struct, array_like=True):
    """Work at one endpoint, as told to peers.

    New fields go to the end and have a default, as instances of two versions
    run side by side while a release goes on.
    """

    endpoint: str
    calls: int
    context_tokens: int
    prefill_seconds: float
    helping: int
    patient_calls: int = 0


class ZoneReader(msgspec.Struct, array_like=True):
    """The instance that tells the others of its zone what the store holds."""

    instance: str
    host: str
    provenance: Provenance | None


class PeerUpdate(msgspec.Struct, array_like=True):
    """What an instance tells of itself.

    ``sequence`` orders the datagrams of one life, ``started_at`` the lives.
    ``unconfirmed_for`` are the seconds since the sender's configuration was
    last confirmed, ``None`` when it never was.  ``refusing`` names engines that
    refused to read a part of a prompt for it, ``slow`` those that said how many
    times the published seconds they take.  ``provenance`` says where the
    sender's tables come from, ``None`` when they are too old to be told on.
    ``zone_reader`` is who tells the sender's zone.
    """

    instance: str
    host: str
    zone: str
    started_at: int
    sequence: int
    leaving: bool
    unconfirmed_for: float | None
    work: list[ToldWork]
    refusing: list[str] = []
    slow: dict[str, float] = {}
    provenance: Provenance | None = None
    zone_reader: ZoneReader | None = None


encode_update = msgspec.msgpack.Encoder().encode
_decode = msgspec.msgpack.Decoder(PeerUpdate).decode


def decode_update(datagram: bytes) -> Result[PeerUpdate, str]:
    """Decode a datagram, or say why it can't be."""
    try:
        return Success(_decode(datagram))
    except msgspec.DecodeError as error:
        return Failure(str(error))


def tell_work(by_endpoint: dict[str, EndpointWork]) -> list[ToldWork]:
    """List work as peers are told it."""
    return [
        ToldWork(
            name,
            work.calls,
            work.context_tokens,
            round(work.prefill_seconds, 4),
            work.helping,
            work.patient_calls,
        )
        for name, work in by_endpoint.items()
    ]


def read_work(told: list[ToldWork]) -> dict[str, EndpointWork]:
    """Read work that was told, by endpoint."""
    return {
        work.endpoint: EndpointWork(
            work.calls,
            work.context_tokens,
            work.prefill_seconds,
            work.helping,
            work.patient_calls,
        )
        for work in told
    }
