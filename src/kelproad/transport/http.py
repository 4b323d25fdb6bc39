"""HTTP client sessions, by aiohttp.

One place sets what every connection of the system has in common: no
redirects followed, no proxy taken from the environment.
"""

from collections.abc import Callable

import aiohttp

from .addresses import Address

__all__ = [
    'ConnectionLostError',
    'create_fresh_session',
    'create_session',
    'watch_end',
]

#: Seconds for which a connection without a call is kept.
_KEEPALIVE_SECONDS = 30.0


class ConnectionLostError(aiohttp.ClientError):
    """The connection broke after a request may have been sent."""


def create_session(
    origin: Address | None = None,
    **options: object,
) -> aiohttp.ClientSession:
    """Open a client session that keeps connections between requests.

    Connections leave from the IP number of ``origin``, if one is given.
    """
    return aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(
            limit=0,
            use_dns_cache=False,
            local_addr=(origin.host, 0) if origin else None,
            keepalive_timeout=_KEEPALIVE_SECONDS,
        ),
        timeout=aiohttp.ClientTimeout(total=None),
        auto_decompress=False,
        trust_env=False,
        **options,
    )


def create_fresh_session(
    origin: Address | None = None,
    **options: object,
) -> aiohttp.ClientSession:
    """Open a client session that sends each request once.

    A kept connection may turn out to be closed, which leaves it open whether
    the request was executed, so each connection is used once.
    """
    return aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(
            limit=0,
            use_dns_cache=False,
            local_addr=(origin.host, 0) if origin else None,
            force_close=True,
        ),
        middlewares=(_send_once,),
        timeout=aiohttp.ClientTimeout(total=None),
        auto_decompress=False,
        trust_env=False,
        **options,
    )


async def _send_once(
    http_request: aiohttp.ClientRequest,
    send: aiohttp.ClientHandlerType,
) -> aiohttp.ClientResponse:
    """Keep aiohttp from sending a request a second time.

    It does so by itself when the connection of a PUT, a DELETE or a GET breaks
    without an answer, also when that connection was new.  The first sending
    may have been executed: a stock entry would be booked twice.  It does not
    for errors that it does not know.
    """
    try:
        return await send(http_request)
    except aiohttp.ClientConnectorError:
        raise
    except (aiohttp.ClientOSError, aiohttp.ServerDisconnectedError) as error:
        raise ConnectionLostError(repr(error)) from error


def watch_end(response: aiohttp.ClientResponse) -> Callable[[], bool]:
    """Prepare to tell whether a body came to its proper end.

    A body without a length ends with its connection, and aiohttp takes a reset
    for that end: the caller would get part of an answer that looks complete.
    Only the connection knows how it ended, and only until it is released, so
    this is called as soon as the head of the answer is there.

    Returns
    -------
    Callable
        Tells, once the body has been read, whether its end was proper.
    """
    framed = (
        response.content_length is not None
        or 'chunked' in response.headers.get('Transfer-Encoding', '').lower()
    )
    connection = response.connection
    protocol = connection.protocol if connection else None

    def ended_properly() -> bool:
        if framed:
            return True
        if protocol is None:
            # Without its connection nothing tells a reset from an end.
            return False
        was_reset = isinstance(protocol.exception(), aiohttp.ClientOSError)
        return not was_reset

    return ended_properly
