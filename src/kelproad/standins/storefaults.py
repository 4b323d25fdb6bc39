"""What goes wrong alike at the stand-ins of both stores."""

import asyncio
from collections.abc import Awaitable, Callable

from aiohttp import web

__all__ = ['Handler', 'hold_up']

Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]
#: Seconds for which a call hangs: longer than any test waits.
_HANG = 3600.0


async def hold_up(hang: bool, delay: float) -> None:
    """Keep a call waiting: for ever, or by so many seconds."""
    if hang:
        await asyncio.sleep(_HANG)
    if delay:
        await asyncio.sleep(delay)
