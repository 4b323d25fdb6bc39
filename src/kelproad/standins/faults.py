"""What goes wrong at a stand-in engine, and how its streams show it."""

import asyncio
import os

import attrs
from aiohttp import web

__all__ = ['Faults', 'FaultyConnection', 'encode_event']

_FAILED = b'{"error": {"message": "the engine failed", "code": 500}}'
_DONE = b'[DONE]'
_EXIT_CODE = 9


@attrs.define
class Faults:
    """What goes wrong at present.

    Attributes
    ----------
    cut_after
        Connections break after this many events; 0 for never.
    clean_cut
        A connection that breaks ends as if the answer were complete.
    stall_after
        Connections stay open after this many events, and nothing follows;
        -1 for never.
    fail_after
        The engine tells of an error after this many events, and then ends
        the stream in the ordinary way; 0 for never.
    die_after
        The process ends itself after this many events; 0 for never.
    connections
        How many connections to come the five above apply to; -1 for all.
    crossed, doubled, skipped
        Every so many events, one of another attempt comes in between, one
        comes twice, or one is left out; 0 for never.
    slowness
        Factor by which every step takes longer.
    lose_cancels
        Number of cancels still to come that are not heard.
    refuse
        Completions are refused before anything runs.
    delay_dispatch
        Seconds between a completion's arrival and its acceptance.
    delay_head
        Seconds between its acceptance and the head of its answer.
    forget
        A cut is the engine's restart: it forgets its streams and has another
        incarnation from then on.
    forge_resumes
        A stream that is not held is resumed all the same, with another text,
        as by a restarted engine that reuses ids.
    """

    cut_after: int = 0
    clean_cut: bool = False
    stall_after: int = -1
    fail_after: int = 0
    die_after: int = 0
    connections: int = -1
    crossed: int = 0
    doubled: int = 0
    skipped: int = 0
    slowness: float = 1.0
    lose_cancels: int = 0
    refuse: bool = False
    delay_dispatch: float = 0
    delay_head: float = 0
    forget: bool = False
    forge_resumes: bool = False

    def strike(self) -> bool:
        """Tell whether the next connection is hit, and count it."""
        hit = self.connections != 0
        if self.connections > 0:
            self.connections -= 1
        return hit


class FaultyConnection:
    """One connection that sends the events of a stream, faults included."""

    def __init__(
        self,
        http_request: web.Request,
        response: web.StreamResponse,
        attempt_id: str,
        faults: Faults,
    ) -> None:
        """Send over a response that has been prepared."""
        self._http_request = http_request
        self._response = response
        self._attempt_id = attempt_id
        self._faults = faults
        self._hit = faults.strike()
        self._sent = 0

    async def send(self, number: int, payload: bytes) -> bool:
        """Send one event; false when the connection has ended instead."""
        if self._hit and not await self._survive(number):
            return False
        await self._write(number, payload)
        self._sent += 1
        return True

    async def end(self) -> None:
        """End the response in the ordinary way."""
        await self._response.write_eof()

    async def _survive(self, number: int) -> bool:
        faults = self._faults
        if self._sent == faults.stall_after:
            await asyncio.Event().wait()
        if faults.die_after and self._sent >= faults.die_after:
            os._exit(_EXIT_CODE)  # noqa: WPS437  nothing is closed or flushed
        if faults.fail_after and self._sent >= faults.fail_after:
            await self._write(number, _FAILED)
            await self._write(number + 1, _DONE)
            await self.end()
            return False
        if faults.cut_after and self._sent >= faults.cut_after:
            await self._cut()
            return False
        return True

    async def _cut(self) -> None:
        if self._faults.clean_cut:
            await self.end()
        else:
            self._http_request.transport.abort()

    async def _write(self, number: int, payload: bytes) -> None:
        faults = self._faults
        event = encode_event(self._attempt_id, number, payload)
        position = number + 1
        if faults.crossed and position % faults.crossed == 0:
            stranger = encode_event('stranger', number, payload)
            await self._response.write(stranger)
        if faults.skipped and position % faults.skipped == 0:
            return
        await self._response.write(event)
        if faults.doubled and position % faults.doubled == 0:
            await self._response.write(event)


def encode_event(attempt_id: str, number: int, payload: bytes) -> bytes:
    """Encode one numbered event of an attempt."""
    return b'id: %b.%d\ndata: %b\n\n' % (attempt_id.encode(), number, payload)
