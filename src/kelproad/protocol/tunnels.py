"""Messages by which one instance opens a tunnel to an endpoint at another."""

import enum

import msgspec
from returns.result import Result

from ..state.problems import try_decode

__all__ = [
    'MAX_REQUEST_BYTES',
    'TunnelReply',
    'TunnelRequest',
    'decode_request',
    'encode_request',
    'measure_request',
]

_LENGTH_BYTES = 2
#: Largest request that is read, with its length.
MAX_REQUEST_BYTES = 512


class TunnelRequest(msgspec.Struct, array_like=True):
    """Request to connect to an endpoint and to forward bytes from then on.

    New fields go to the end and have a default, as instances of two versions
    run side by side during an upgrade.  ``request_id`` is that of the call, for
    the log; it is empty for orders to engines.
    """

    address: str
    request_id: str = ''


class TunnelReply(enum.Enum):
    """Answer to a request, one byte; the tunnel's bytes follow the first."""

    OPEN = b'\x00'
    #: The endpoint could not be connected to from there either.
    UNREACHABLE = b'\x01'
    #: The request is not permitted there, or the instance is stopping or full.
    REFUSED = b'\x02'


_decode = msgspec.msgpack.Decoder(TunnelRequest).decode


def encode_request(request: TunnelRequest) -> bytes:
    """Encode a request, preceded by its length."""
    encoded = msgspec.msgpack.encode(request)
    return len(encoded).to_bytes(_LENGTH_BYTES) + encoded


def measure_request(received: bytes) -> int:
    """Return the length of the request that begins so, its length included."""
    if len(received) < _LENGTH_BYTES:
        return _LENGTH_BYTES
    return _LENGTH_BYTES + int.from_bytes(received[:_LENGTH_BYTES])


def decode_request(received: bytes) -> Result[TunnelRequest, str]:
    """Decode a whole request, or return why it is unreadable."""
    return try_decode(_decode, received[_LENGTH_BYTES:])
