"""Sending of final answers in bounded time, even to slow callers."""

import asyncio
from collections.abc import Awaitable

from aiohttp import web

from ..transport.deadlines import monotonic, within
from ..transport.servers import send_answer, wait_for_last_byte
from .reception import Call

__all__ = ['SEND_MARGIN', 'send_bounded', 'send_response']

#: Seconds by which sending a final answer may exceed the deadline.
SEND_MARGIN = 0.4
#: Status of the response to a caller that was disconnected.
_CALLER_DISCONNECTED = 499


async def send_response(call: Call, response: web.StreamResponse) -> None:
    """Send an answer of known length.

    aiohttp would send it after the handler returns, and wait for as long as a
    caller that does not read keeps its connection open.
    """
    if not response.prepared:
        await send_bounded(call, _send(call, response))


async def send_bounded(
    call: Call,
    sending: Awaitable[web.StreamResponse],
) -> web.StreamResponse:
    """Finish sending an answer, or disconnect a caller that is too slow."""
    wait_for_last_byte(call.http_request)
    try:
        async with within(max(call.deadline, monotonic()) + SEND_MARGIN):
            return await sending
    except (asyncio.TimeoutError, ConnectionError):
        transport = call.http_request.transport
        if transport is not None:
            transport.abort()
        return web.Response(status=_CALLER_DISCONNECTED)


async def _send(call: Call, response: web.StreamResponse) -> web.StreamResponse:
    await send_answer(call.http_request, response)
    return response
