"""What happened on a connection, for telling whether work may have run."""

import aiohttp
import attrs

__all__ = [
    'CONNECT_TIMEOUT',
    'NEVER_ADDED',
    'ConnectionProgress',
    'limit_connecting',
    'trace_connections',
]

#: Seconds for connecting to an endpoint within a site.
CONNECT_TIMEOUT = 2.0
#: Headers that the HTTP library would add where the caller sent none.
NEVER_ADDED = ('Accept', 'Accept-Encoding', 'Content-Type', 'User-Agent')


@attrs.define
class ConnectionProgress:
    """What has happened on a connection, for telling whether work ran.

    Attributes
    ----------
    connected
        A connection was given to the request, so that bytes of it may have
        been written.
    """

    connected: bool = False


def limit_connecting(seconds: float) -> aiohttp.ClientTimeout:
    """Bound connecting alone; the deadline of the call bounds all else."""
    return aiohttp.ClientTimeout(total=None, sock_connect=seconds)


def trace_connections() -> aiohttp.TraceConfig:
    """Build the trace that notes when a request has a connection.

    Until then no byte of it can have been written, so a failure before means
    that the work was not run; after, it may have been.
    """
    config = aiohttp.TraceConfig()

    async def note_connected(
        _session: aiohttp.ClientSession,
        context: object,
        _details: object,
    ) -> None:
        progress = context.trace_request_ctx
        if isinstance(progress, ConnectionProgress):
            progress.connected = True

    config.on_connection_create_end.append(note_connected)
    config.on_connection_reuseconn.append(note_connected)
    return config
