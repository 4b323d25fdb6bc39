"""How one instance opens a tunnel to an endpoint through another."""

import asyncio
import enum
import socket

import msgspec
from returns.result import Result

from ..state.problems import try_decode
from ..state.records import current_request
from ..transport.addresses import Address
from ..transport.deadlines import within_running
from ..transport.sockets import connect_socket

__all__ = [
    'MAX_REQUEST_BYTES',
    'TunnelError',
    'TunnelReply',
    'TunnelRequest',
    'decode_request',
    'encode_request',
    'measure_request',
    'open_tunnel',
]

_LENGTH_BYTES = 2
#: Largest request that is read, with its length.
MAX_REQUEST_BYTES = 512
#: Seconds for a tunnel, the connection to the endpoint included.
_TUNNEL_TIMEOUT = 0.2
#: Characters of a call's id that a request contains at most; callers choose it.
_MAX_ID_LENGTH = 64


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


class TunnelError(OSError):
    """A peer opened no tunnel.

    Attributes
    ----------
    reply
        Its reply; ``None`` when none came, so that the peer itself is in doubt.
    """

    def __init__(self, reply: TunnelReply | None, reason: str) -> None:
        """Give the reason for the log."""
        super().__init__(reason)
        self.reply = reply


async def open_tunnel(
    peer: Address, endpoint: Address, origin: str
) -> socket.socket:
    """Open a tunnel to an endpoint at a peer, from the IP number ``origin``.

    Until it is open no byte of a call is sent, so nothing has run.

    Raises
    ------
    TunnelError
        When the peer opens none.
    """
    opened: socket.socket | None = None
    try:
        async with within_running(_TUNNEL_TIMEOUT):
            opened = await connect_socket(peer, origin)
            reply = await _request(opened, endpoint)
    except OSError as error:
        if opened is not None:
            opened.close()
        raise TunnelError(None, repr(error)) from error
    except BaseException:
        if opened is not None:
            opened.close()
        raise
    if reply is TunnelReply.OPEN:
        return opened
    opened.close()
    raise TunnelError(reply, f'the peer replied: {reply}')


async def _request(
    opened: socket.socket, endpoint: Address
) -> TunnelReply | None:
    loop = asyncio.get_running_loop()
    request_id = current_request.get()[:_MAX_ID_LENGTH]
    request = TunnelRequest(endpoint.authority, request_id)
    encoded = encode_request(request)
    await loop.sock_sendall(opened, encoded)
    received = await loop.sock_recv(opened, 1)
    try:
        return TunnelReply(received)
    except ValueError:
        return None
