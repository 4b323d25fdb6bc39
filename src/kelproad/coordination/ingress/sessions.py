"""The HTTP client sessions of an instance, which it closes at its end."""

import aiohttp

from ...protocol.connections import build_connection_trace
from ...transport.addresses import Address
from ...transport.http import create_session, create_single_use_session
from ...transport.sockets import OpenSocket

__all__ = ['NodeSessions']


class NodeSessions:
    """Opens sessions and closes them together."""

    def __init__(self, origin: Address) -> None:
        """Connect from the IP number of ``origin``, except to endpoints."""
        self._origin = origin
        self._opened: list[aiohttp.ClientSession] = []

    def open_pooled(self) -> aiohttp.ClientSession:
        """Open a session that keeps connections."""
        session = create_session(self._origin)
        self._opened.append(session)
        return session

    def open_single_use(self, open_socket: OpenSocket) -> aiohttp.ClientSession:
        """Open a session for calls to endpoints, a connection for each."""
        session = create_single_use_session(
            open_socket=open_socket,
            trace_configs=[build_connection_trace()],
        )
        self._opened.append(session)
        return session

    async def close(self) -> None:
        """Close all sessions."""
        for session in self._opened:
            await session.close()
