"""Opening of a tunnel to an endpoint, at the instance that needs it."""

import asyncio
import socket

from ....protocol.tunnels import TunnelReply, TunnelRequest, encode_request
from ....state.records import current_request
from ....transport.addresses import Address
from ....transport.deadlines import within_running
from ....transport.sockets import connect_socket

__all__ = ['TunnelError', 'open_tunnel']

#: Seconds for a tunnel, the connection to the endpoint included.
_TUNNEL_TIMEOUT = 0.2
#: Characters of a call's id that a request contains at most; callers choose it.
_MAX_ID_LENGTH = 64


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
