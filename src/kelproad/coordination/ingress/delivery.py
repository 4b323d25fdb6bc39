"""Handing the events of a stream to its caller, over one attempt or more."""

from aiohttp import web
from multidict import CIMultiDict

from ...protocol.events import SequenceError
from ...protocol.eventstreams import EventCutter
from ...state.calls import AnswerHead, Call
from ...transport.deadlines import monotonic
from ...transport.servers import finish_answer
from .attempts import OpenAnswer

__all__ = ['CallerLeftError', 'StreamDelivery']


class CallerLeftError(Exception):
    """The caller has closed its connection."""


class StreamDelivery:
    """Hands the events of one or more attempts to the caller, in order.

    Attributes
    ----------
    cutter
        Cuts and checks events; knows the last one that the caller has.
    first_at
        Monotonic time of the first event, ``None`` before it.
    longest_gap, gap_ended_at
        Seconds of the longest pause between events, and when it ended.
    """

    def __init__(self, http_request: web.BaseRequest, call: Call) -> None:
        """Send nothing before the first event."""
        self._http_request = http_request
        self._response: web.StreamResponse | None = None
        self.cutter = EventCutter(call.head.resume_after)
        self.first_at: float | None = None
        self.longest_gap = float(0)
        self.gap_ended_at = float(0)
        self._last_at = float(0)

    @property
    def begun(self) -> bool:
        """Whether the caller has got anything."""
        return self._response is not None

    async def relay(self, answer: OpenAnswer, chunk: bytes) -> int:
        """Hand on the events that bytes complete; return how many.

        Raises
        ------
        SequenceError
            When the bytes are not the events that follow.
        CallerLeftError
            When the caller is gone.
        """
        events = self.cutter.feed(chunk)
        if not events:
            return 0
        self._note_event(monotonic())
        try:
            if self._response is None:
                await self._prepare(answer.head)
            await self._response.write(
                b''.join(event.encoded for event in events),
            )
        except ConnectionError as error:
            raise CallerLeftError from error
        return len(events)

    async def finish(self, answer: OpenAnswer) -> web.StreamResponse:
        """End the answer, whose body came to its end."""
        if self.cutter.within_event:
            raise SequenceError('the stream ends within an event')
        try:
            if self._response is None:
                await self._prepare(answer.head)
            await finish_answer(self._http_request, self._response)
        except ConnectionError as error:
            raise CallerLeftError from error
        return self._response

    def abort(self) -> web.StreamResponse:
        """Break the answer off, so that it can't look complete."""
        transport = self._http_request.transport
        if transport is not None:
            transport.abort()
        return self._response

    def _note_event(self, now: float) -> None:
        if self.first_at is None:
            self.first_at = now
        elif now - self._last_at > self.longest_gap:
            self.longest_gap = now - self._last_at
            self.gap_ended_at = now
        self._last_at = now

    async def _prepare(self, head: AnswerHead) -> None:
        """Begin the answer.

        It counts as begun before its head is written: what is interrupted
        after that must not be answered a second time.
        """
        self._response = web.StreamResponse(
            status=head.status,
            headers=CIMultiDict(head.headers),
        )
        await self._response.prepare(self._http_request)
