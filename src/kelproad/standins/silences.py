"""Silences of a stand-in endpoint, which then goes on with all that it held."""

import asyncio
from collections.abc import Callable

import attrs
from aiohttp import web

from ..transport.deadlines import monotonic

__all__ = ['Silences']

_CONTROL = '/control/'
_REPLIES = '/-/'
#: Key of a request: the seconds for which its answer has been held.
_HELD = 'held'
#: Key of a request: the last silence that met it, and whether it is affected.
_AFFECTED = 'affected'
#: Position in an answer that stands for its head.
_HEAD = 0
#: Longest wait before a silence may be found ended.
_POLL_SECONDS = 0.01


@attrs.define
class _Silence:
    """A silence as it was set.

    Attributes
    ----------
    seconds
        How long nothing is sent.
    positions
        Places in each answer before which it falls silent: 0 for the head, a
        positive number for that event of the stream, -1 for its last event; if
        empty, the endpoint falls silent once and now.
    replies
        Whether reports and orders are answered meanwhile.
    calls
        Number of calls that are affected; -1 for all.
    """

    seconds: float = 0
    positions: list[int] = attrs.field(factory=list)
    replies: bool = False
    calls: int = -1


class Silences:
    """The silence of an endpoint at present."""

    def __init__(self) -> None:
        """Start with none."""
        self._silence = _Silence()
        #: Monotonic time at which a silence from now on ends.
        self._until: float = 0
        #: Monotonic time from which reports and orders are answered.
        self._replies_until: float = 0

    async def handle_put(self, http_request: web.Request) -> web.Response:
        """Replace the silence; an empty object ends it."""
        self._silence = _Silence(**await http_request.json())
        self._until = 0
        if not self._silence.positions:
            self._until = monotonic() + self._silence.seconds
        self._replies_until = 0 if self._silence.replies else self._until
        return web.json_response({})

    async def hold_head(
        self, http_request: web.Request, _response: web.StreamResponse
    ) -> None:
        """Hold the head of any response, as a signal of the application."""
        if http_request.path.startswith(_REPLIES):
            await self._wait(lambda: self._replies_until)
        elif not http_request.path.startswith(_CONTROL):
            await self._hold(http_request, {_HEAD})

    async def hold_event(
        self, http_request: web.Request, number: int, last: int
    ) -> None:
        """Hold an event, given its number and that of the last one."""
        await self._hold(http_request, {number, number - last - 1})

    async def pace(self, http_request: web.Request, seconds: float) -> None:
        """Wait before the next event, unless it has come due in a silence."""
        held = http_request.get(_HELD, 0)
        caught_up = min(seconds, held)
        http_request[_HELD] = held - caught_up
        await asyncio.sleep(seconds - caught_up)

    async def _hold(
        self, http_request: web.Request, positions: set[int]
    ) -> None:
        began = monotonic()
        silence = self._silence
        if not positions.isdisjoint(silence.positions):
            if self._affects(http_request):
                if not silence.replies:
                    self._replies_until = began + silence.seconds
                await asyncio.sleep(silence.seconds)
        elif began < self._until and self._affects(http_request):
            await self._wait(lambda: self._until)
        waited = monotonic() - began
        http_request[_HELD] = http_request.get(_HELD, 0) + waited

    def _affects(self, http_request: web.Request) -> bool:
        """Return whether a call is affected; count it the first time."""
        silence, affected = http_request.get(_AFFECTED, (None, False))
        if silence is not self._silence:
            affected = self._silence.calls != 0
            http_request[_AFFECTED] = (self._silence, affected)
            if self._silence.calls > 0:
                self._silence.calls -= 1
        return affected

    async def _wait(self, read_limit: Callable[[], float]) -> None:
        while monotonic() < read_limit():
            await asyncio.sleep(_POLL_SECONDS)
