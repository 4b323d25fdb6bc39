"""Messages between instances: typed, encoded as MessagePack, authenticated.

An envelope has the kind and body of a message.  It is sent with a tag by the
site's shared key; the receiver ignores a message whose tag does not match.
"""

import hashlib
import hmac
import itertools
import types
import zlib
from typing import Self

import attrs
import msgspec
from returns.result import Failure, Result, Success

from ..state.endpoints import EndpointReport
from ..state.members import Member
from ..transport.peers import MAX_MESSAGE_BYTES

__all__ = [
    'Changes',
    'ChangesWanted',
    'FileChange',
    'Gossip',
    'MessageError',
    'PeerMessage',
    'decode_message',
    'encode_message',
]

_TAG_BYTES = 16
#: Records repeat their field names; the lowest level already removes these.
_COMPRESSION = 1
_MAX_UNPACKED = 8 * MAX_MESSAGE_BYTES


class MessageError(Exception):
    """The bytes are not a valid message from this site."""


@attrs.frozen
class Gossip:
    """Records of members, that of the sender first."""

    members: list[Member]


@attrs.frozen
class ChangesWanted:
    """Query for the configuration changes after a revision."""

    sender: str
    reply_to: str
    after: int


@attrs.frozen
class FileChange:
    """One accepted file, as it is stored; an empty text means removed."""

    name: str
    generation: int
    revision: int
    digest: str
    text: str


@attrs.frozen
class Changes:
    """The newest version of each file changed after a revision.

    Applying them to the snapshot of ``after`` gives that of ``revision``.

    Attributes
    ----------
    files
        In order of their revisions.  One with a digest but no text is a
        version that the sender itself could not read.
    reply_to
        Peer address that is queried for the rest.
    complete
        Whether these are all changes; otherwise the rest is queried, after
        the revision of the last one.
    """

    sender: str
    after: int
    revision: int
    files: list[FileChange]
    complete: bool = True
    reply_to: str = ''


PeerMessage = Gossip | ChangesWanted | Changes
_REPORT_FIELDS = tuple(field.name for field in attrs.fields(EndpointReport))


@attrs.frozen
class _PackedGossip:
    """Gossip with the reports of all members as one list per field.

    Values of the same field compress better: a report takes 22 bytes instead
    of 37.  Reports are most of the traffic between instances.

    Attributes
    ----------
    members
        Records without their reports.
    counts
        Number of reports of each member.
    columns
        Values of all reports, by field.
    """

    members: list[Member]
    counts: list[int]
    columns: dict[str, list[object]]

    @classmethod
    def from_gossip(cls, gossip: Gossip) -> Self:
        """Transpose the reports to lists by field."""
        reports = [
            report for member in gossip.members for report in member.reports
        ]
        return cls(
            [attrs.evolve(member, reports=[]) for member in gossip.members],
            [len(member.reports) for member in gossip.members],
            {
                name: [getattr(report, name) for report in reports]
                for name in _REPORT_FIELDS
            },
        )

    def unpack(self) -> Gossip:
        """Reassign the reports to their members.

        Raises
        ------
        ValueError
            When the lists differ in length, or the counts do not match.
        """
        rows = zip(*self.columns.values(), strict=True)
        fields = [dict(zip(self.columns, row, strict=True)) for row in rows]
        if sum(self.counts) != len(fields) or min(self.counts, default=0) < 0:
            raise ValueError('the counts do not match the reports')
        reports = iter(msgspec.convert(fields, type=list[EndpointReport]))
        return Gossip(
            [
                attrs.evolve(
                    member,
                    reports=list(itertools.islice(reports, count)),
                )
                for member, count in zip(
                    self.members,
                    self.counts,
                    strict=True,
                )
            ],
        )


_KINDS = types.MappingProxyType(
    {
        'Gossip': _PackedGossip,
        'ChangesWanted': ChangesWanted,
        'Changes': Changes,
    },
)


@attrs.frozen
class _Envelope:
    kind: str
    body: msgspec.Raw


def encode_message(message: PeerMessage, key: bytes) -> bytes:
    """Encode and compress a message, and prepend its tag."""
    packed_body = (
        _PackedGossip.from_gossip(message)
        if isinstance(message, Gossip)
        else message
    )
    body = msgspec.msgpack.encode(packed_body)
    envelope = msgspec.msgpack.encode(
        _Envelope(type(message).__name__, msgspec.Raw(body)),
    )
    packed = zlib.compress(envelope, _COMPRESSION)
    return _compute_tag(packed, key) + packed


def decode_message(
    received: bytes,
    key: bytes,
) -> Result[PeerMessage, MessageError]:
    """Check the tag, then decompress and decode the message."""
    tag, packed = received[:_TAG_BYTES], received[_TAG_BYTES:]
    if not hmac.compare_digest(tag, _compute_tag(packed, key)):
        return Failure(MessageError('the tag does not match'))
    try:
        # Bounded, since a small message may decompress to a huge one.
        envelope = zlib.decompressobj().decompress(packed, _MAX_UNPACKED)
        opened = msgspec.msgpack.decode(envelope, type=_Envelope)
        kind = _KINDS[opened.kind]
        body = msgspec.msgpack.decode(opened.body, type=kind)
        is_packed = isinstance(body, _PackedGossip)
        return Success(body.unpack() if is_packed else body)
    except KeyError:
        return Failure(MessageError('unknown message kind'))
    except (ValueError, zlib.error) as error:
        return Failure(MessageError(str(error)))


def _compute_tag(envelope: bytes, key: bytes) -> bytes:
    return hmac.digest(key, envelope, hashlib.sha256)[:_TAG_BYTES]
