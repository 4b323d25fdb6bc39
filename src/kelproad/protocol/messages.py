"""Messages between instances: typed, encoded as MessagePack, authenticated.

An envelope carries one body and a tag over both by the site's shared key.
The receiver takes nothing from a message whose tag does not match.
"""

import hashlib
import hmac
import types

import attrs
import msgspec
from returns.result import Failure, Result, Success

from ..state.members import Member

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


class MessageError(Exception):
    """The bytes are no message of this site."""


@attrs.frozen
class Gossip:
    """Records of members, the sender's own first."""

    members: list[Member]


@attrs.frozen
class ChangesWanted:
    """Ask the receiver for the configuration changes after a revision."""

    sender: str
    reply_to: str
    after: int


@attrs.frozen
class FileChange:
    """One accepted file, as the store holds it; empty text means removed."""

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
        Peer address of which the rest is asked.
    complete
        Whether these are all the changes; otherwise the rest is asked for
        after the revision of the last one.
    """

    sender: str
    after: int
    revision: int
    files: list[FileChange]
    complete: bool = True
    reply_to: str = ''


PeerMessage = Gossip | ChangesWanted | Changes
_KINDS = types.MappingProxyType(
    {kind.__name__: kind for kind in (Gossip, ChangesWanted, Changes)},
)


@attrs.frozen
class _Envelope:
    kind: str
    body: msgspec.Raw


def encode_message(message: PeerMessage, key: bytes) -> bytes:
    """Encode a message with its tag in front."""
    body = msgspec.msgpack.encode(message)
    envelope = msgspec.msgpack.encode(
        _Envelope(type(message).__name__, msgspec.Raw(body)),
    )
    return _compute_tag(envelope, key) + envelope


def decode_message(
    received: bytes,
    key: bytes,
) -> Result[PeerMessage, MessageError]:
    """Check the tag, then decode."""
    tag, envelope = received[:_TAG_BYTES], received[_TAG_BYTES:]
    if not hmac.compare_digest(tag, _compute_tag(envelope, key)):
        return Failure(MessageError('the tag does not match'))
    try:
        opened = msgspec.msgpack.decode(envelope, type=_Envelope)
        kind = _KINDS[opened.kind]
        return Success(msgspec.msgpack.decode(opened.body, type=kind))
    except KeyError:
        return Failure(MessageError('unknown kind of message'))
    except (msgspec.DecodeError, msgspec.ValidationError) as error:
        return Failure(MessageError(str(error)))


def _compute_tag(envelope: bytes, key: bytes) -> bytes:
    return hmac.digest(key, envelope, hashlib.sha256)[:_TAG_BYTES]
