"""Connection time-outs and traces, which show whether a request was sent."""

import contextvars
from collections.abc import Callable

import aiohttp
import attrs

__all__ = [
    'CONNECT_TIMEOUT',
    'SKIPPED_AUTO_HEADERS',
    'ConnectionProgress',
    'build_connect_timeout',
    'build_connection_trace',
    'current_progress',
]

#: Seconds for connecting to an endpoint within a site.
CONNECT_TIMEOUT = 2.0
#: Headers that aiohttp must not add where the caller sent none.
SKIPPED_AUTO_HEADERS = (
    'Accept',
    'Accept-Encoding',
    'Content-Type',
    'User-Agent',
)


def _ignore(_instance: str) -> None:
    """Ignore through which instance a connection was made."""


def _permit(_zone: str) -> bool:
    """Permit connections through the instances of any zone."""
    return True


@attrs.define
class ConnectionProgress:
    """Progress of a request, which shows whether its work may have run.

    Attributes
    ----------
    connected
        Whether the request has got a connection, so that bytes of it may have
        been written.
    record_via
        Gets the instance through which the connection was made, if any.
    may_probe
        Whether the request may be lost on a connection that is in doubt.
    avoids_direct
        Whether a connection through an instance is tried before a direct one.
    permits_zone
        Returns whether it may be made through an instance of a zone.
    """

    connected: bool = False
    record_via: Callable[[str], None] = _ignore
    may_probe: bool = False
    avoids_direct: bool = False
    permits_zone: Callable[[str], bool] = _permit


#: Progress of the request for which a connection is being made.
current_progress: contextvars.ContextVar[ConnectionProgress | None] = (
    contextvars.ContextVar('current_progress', default=None)
)


def build_connect_timeout(seconds: float) -> aiohttp.ClientTimeout:
    """Limit the time to connect; the call's deadline limits the rest."""
    return aiohttp.ClientTimeout(total=None, sock_connect=seconds)


def build_connection_trace() -> aiohttp.TraceConfig:
    """Build the trace that records when a request gets a connection.

    Before that no byte of it can have been written, so a failure means that
    the work was not run; afterwards it may have been.
    """
    config = aiohttp.TraceConfig()

    async def record_connected(
        _session: aiohttp.ClientSession,
        context: object,
        _details: object,
    ) -> None:
        progress = context.trace_request_ctx
        if isinstance(progress, ConnectionProgress):
            progress.connected = True

    async def record_started(
        _session: aiohttp.ClientSession,
        context: object,
        _details: object,
    ) -> None:
        progress = context.trace_request_ctx
        is_progress = isinstance(progress, ConnectionProgress)
        current_progress.set(progress if is_progress else None)

    config.on_connection_create_start.append(record_started)
    config.on_connection_create_end.append(record_connected)
    config.on_connection_reuseconn.append(record_connected)
    return config
