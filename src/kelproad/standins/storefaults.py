"""Faults that the stand-ins of both stores have in common."""

import asyncio
from collections.abc import Awaitable, Callable

from aiohttp import web

__all__ = ['Handler', 'delay_call', 'send_slowly']

Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]
#: Seconds for which a call hangs, longer than any test waits.
_HANG = 3600.0
#: Pieces a second in which an answer is sent slowly.
_PIECES_PER_SECOND = 20


async def delay_call(hang: bool, delay: float) -> None:
    """Delay a call by some seconds, or for an hour if it is to hang."""
    if hang:
        await asyncio.sleep(_HANG)
    if delay:
        await asyncio.sleep(delay)


async def send_slowly(
    http_request: web.Request,
    response: web.Response,
    bytes_per_second: float,
) -> web.StreamResponse:
    """Send an answer whose body takes its time."""
    body = response.body
    if not isinstance(body, bytes):
        return response
    slow = web.StreamResponse(status=response.status)
    slow.content_type = response.content_type
    slow.content_length = len(body)
    await slow.prepare(http_request)
    size = max(1, int(bytes_per_second / _PIECES_PER_SECOND))
    for begin in range(0, len(body), size):
        await slow.write(body[begin : begin + size])
        await asyncio.sleep(min(size, len(body) - begin) / bytes_per_second)
    await slow.write_eof()
    return slow
