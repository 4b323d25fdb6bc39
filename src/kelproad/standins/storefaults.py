"""Faults that the stand-ins of both stores have in common."""

import asyncio
from collections.abc import Awaitable, Callable

from aiohttp import web

__all__ = ['Handler', 'delay_call']

Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]
#: Seconds for which a call hangs, longer than any test waits.
_HANG = 3600.0


async def delay_call(hang: bool, delay: float) -> None:
    """Delay a call by some seconds, or for an hour if it is to hang."""
    if hang:
        await asyncio.sleep(_HANG)
    if delay:
        await asyncio.sleep(delay)
