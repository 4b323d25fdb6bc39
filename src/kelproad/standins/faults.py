"""Faults of a stand-in engine, and connections that show them."""

import asyncio
import os

import attrs
from aiohttp import web

__all__ = ['Faults', 'FaultyConnection', 'encode_event']

_FAILED = b'{"error": {"message": "the engine failed", "code": 500}}'
_DONE = b'[DONE]'
#: Exit code of a process that ends itself, see ``die_after``.
_EXIT_CODE = 9


@attrs.define
class Faults:
    """The faults that are injected at present.

    Attributes
    ----------
    cut_after
        Connections break after this many events; 0 for never.
    clean_cut
        A connection cut by ``cut_after`` ends as if the answer were complete.
    stall_after
        Connections stay open after this many events, but nothing more is
        sent; -1 for never.
    fail_after
        The engine sends an error event after this many events, and then ends
        the stream normally; 0 for never.
    die_after
        The process exits after this many events; 0 for never.
    connections
        Number of further connections that the five above apply to; -1 for all.
    crossed, doubled, skipped
        At every n-th event, one of another attempt is inserted before it,
        it is sent twice, or it is omitted; 0 for never.
    slowness
        Factor by which every step takes longer.
    lose_cancels
        Number of further cancels that are ignored without an answer.
    refuse
        Completions are refused before anything runs.
    delay_dispatch
        Seconds between a completion's arrival and its acceptance.
    delay_head
        Seconds between its acceptance and the head of its answer.
    forget
        When a fault ends a connection, the engine drops all streams and
        changes its incarnation, as if it had restarted.
    forge_resumes
        An unknown stream is resumed all the same, with another text, as by a
        restarted engine that reuses ids.
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

    def affects_next_connection(self) -> bool:
        """Return whether the next connection is affected, and count it."""
        affected = self.connections != 0
        if self.connections > 0:
            self.connections -= 1
        return affected


class FaultyConnection:
    """One connection that sends the events of a stream, with faults."""

    def __init__(
        self,
        http_request: web.Request,
        response: web.StreamResponse,
        attempt_id: str,
        faults: Faults,
    ) -> None:
        """Send over a response that is prepared already."""
        self._http_request = http_request
        self._response = response
        self._attempt_id = attempt_id
        self._faults = faults
        self._affected = faults.affects_next_connection()
        self._sent = 0

    async def send(self, number: int, payload: bytes) -> bool:
        """Send an event, or return false if a fault ended the connection."""
        if self._affected and not await self._apply_faults(number):
            return False
        await self._write(number, payload)
        self._sent += 1
        return True

    async def end(self) -> None:
        """End the response normally."""
        await self._response.write_eof()

    async def _apply_faults(self, number: int) -> bool:
        faults = self._faults
        if self._sent == faults.stall_after:
            await asyncio.Event().wait()
        if faults.die_after and self._sent >= faults.die_after:
            os._exit(_EXIT_CODE)  # noqa: WPS437  no cleanup, as in a crash
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
