"""One HTTP request and its complete answer, or the reason of failure."""

import asyncio
import types
from collections.abc import Callable, Mapping

import aiohttp
import attrs
from multidict import CIMultiDict, CIMultiDictProxy
from returns.result import Failure, Result, Success

from .deadlines import within_running

__all__ = ['ExchangeFailure', 'Reply', 'exchange']

#: Bytes of an answer: the largest ones have all rows of a table of the store.
_MAX_BYTES = 33_554_432
_NO_HEADERS: Mapping[str, str] = types.MappingProxyType({})
_NO_FIELDS: CIMultiDictProxy[str] = CIMultiDictProxy(CIMultiDict())


@attrs.frozen
class Reply:
    """An answer with its complete body and any status."""

    status: int
    body: bytes
    headers: CIMultiDictProxy[str] = _NO_FIELDS


@attrs.frozen
class ExchangeFailure:
    """The failure of an exchange without a complete answer.

    Attributes
    ----------
    sent
        Whether the request may have been sent and so have taken effect; false
        when no connection was made.
    """

    reason: str
    sent: bool


def _ignore_progress() -> None:
    """Do nothing when bytes have arrived."""


_TOO_LONG = ExchangeFailure('the answer is too long', sent=True)


async def exchange(
    session: aiohttp.ClientSession,
    method: str,
    url: str,
    seconds: float,
    body: bytes | None = None,
    query: Mapping[str, str] | None = None,
    headers: Mapping[str, str] = _NO_HEADERS,
    max_bytes: int = _MAX_BYTES,
    longest: float | None = None,
    on_progress: Callable[[], None] = _ignore_progress,
) -> Result[Reply, ExchangeFailure]:
    """Send a request and read its complete answer within a time-out.

    It is put off while this process stands still, and with ``longest`` also
    while bytes arrive, for as many seconds in all.  Redirects are not followed.
    An answer of more than ``max_bytes`` is a failure.  ``on_progress`` is
    called as pieces of the answer arrive.
    """
    try:
        async with (
            within_running(seconds, longest) as extend,
            session.request(
                method,
                url,
                params=query,
                data=body,
                headers=headers,
                allow_redirects=False,
            ) as response,
        ):
            # One growing buffer would at times be copied.
            pieces: list[bytes] = []
            length = 0
            async for piece in response.content.iter_any():
                pieces.append(piece)
                extend()
                on_progress()
                length += len(piece)
                if length > max_bytes:
                    return Failure(_TOO_LONG)
            body = b''.join(pieces)
            return Success(Reply(response.status, body, response.headers))
    except aiohttp.ClientConnectorError as error:
        return Failure(ExchangeFailure(str(error), sent=False))
    except (aiohttp.ClientError, OSError, asyncio.TimeoutError) as error:
        return Failure(ExchangeFailure(repr(error), sent=True))
