"""Delivery of a stream to its caller, over one or more attempts."""

import asyncio
from collections.abc import Callable

import attrs
from aiohttp import web
from multidict import CIMultiDict

from ....protocol.events import SequenceError
from ....protocol.eventstreams import EventSplitter, NumberedEvent
from ....state.budgets import CallBytes
from ....state.calls import AnswerHead, Call
from ....transport.deadlines import monotonic
from ....transport.servers import abort_answer, finish_answer
from .answers import OpenAnswer

__all__ = ['CallerDisconnectedError', 'Endurance', 'StreamDelivery']

#: Events, and seconds since the first of them, after which an engine has
#: outlived the begin of an answer.
_MIN_EVENTS = 3
_MIN_SECONDS = 0.25
#: Bytes that wait for any caller before its engine has to, and that are added
#: to them at a time for a slow one, up to the most.
_BUFFER_BYTES = 65_536
_BUFFER_STEP = 262_144
_MAX_BUFFER_BYTES = 4_194_304


def _ignore() -> None:
    """Ignore that an answer is complete."""


class CallerDisconnectedError(Exception):
    """The caller has closed its connection."""


@attrs.define
class _ReadAhead:
    """Events that may wait for a slow caller before its engine has to.

    Many engines end an answer that stays unread for some seconds.
    """

    _held: CallBytes
    _limit: int = _BUFFER_BYTES

    def extend(self, transport: asyncio.WriteTransport, size: int) -> None:
        """Let so many more bytes wait, while there is memory for them."""
        waiting = transport.get_write_buffer_size() + size
        limit = min(waiting + _BUFFER_STEP, _MAX_BUFFER_BYTES)
        is_enough = waiting <= self._limit or limit <= self._limit
        if is_enough or not self._held.try_add(limit - self._limit):
            return
        self._limit = limit
        transport.set_write_buffer_limits(high=limit)


class StreamDelivery:
    """Forwards the events of one or more attempts to the caller, in order.

    Attributes
    ----------
    last_number
        Number of the last event that the caller has, ``None`` for none.
    first_at
        Monotonic time of the first event, ``None`` before it.
    longest_gap, gap_ended_at
        Seconds of the longest gap between events, and monotonic time of its
        end.
    on_complete
        Called before the end of the answer is written.
    """

    def __init__(self, http_request: web.BaseRequest, call: Call) -> None:
        """Prepare the delivery; nothing is sent before the first event."""
        self._http_request = http_request
        self._read_ahead = _ReadAhead(call.held)
        self._response: web.StreamResponse | None = None
        self.last_number = call.head.resume_after
        self.first_at: float | None = None
        self.longest_gap = float(0)
        self.gap_ended_at = float(0)
        self._last_at = float(0)
        self.on_complete: Callable[[], None] = _ignore

    @property
    def begun(self) -> bool:
        """Whether the answer has begun, so that no other one may follow."""
        return self._response is not None

    def measure_silence(self, now: float) -> float:
        """Measure the seconds since the last event, 0 before the first."""
        return 0 if self.first_at is None else now - self._last_at

    def create_splitter(self) -> EventSplitter:
        """Create the splitter of an attempt that begins with the next event."""
        return EventSplitter(self.last_number)

    async def forward(
        self, head: AnswerHead, events: list[NumberedEvent]
    ) -> None:
        """Forward the events that come next.

        Raises
        ------
        CallerDisconnectedError
            When the caller has disconnected.
        """
        for event in events:
            if event.number is not None:
                self.last_number = event.number
        self._record_event(monotonic())
        try:
            if self._response is None:
                await self._prepare(head)
            encoded = b''.join(event.encoded for event in events)
            transport = self._http_request.transport
            if transport is not None:
                self._read_ahead.extend(transport, len(encoded))
            await self._response.write(encoded)
        except ConnectionError as error:
            raise CallerDisconnectedError from error

    def check_end(self, answer: OpenAnswer) -> None:
        """Check that the end of an endpoint's body may be that of the stream.

        Raises
        ------
        SequenceError
            When no event has come, and one may be missing.
        """
        if self.last_number is None and answer.may_lack_its_body:
            raise SequenceError('the stream ends before its first event')

    async def finish(self, answer: OpenAnswer) -> web.StreamResponse:
        """End the answer to the caller after the end of the endpoint's body.

        Raises
        ------
        CallerDisconnectedError
            When the caller has disconnected.
        StopEndedError
            When a stop has ended before.
        """
        try:
            if self._response is None:
                await self._prepare(answer.head)
            self.on_complete()
            await finish_answer(self._http_request, self._response)
        except ConnectionError as error:
            raise CallerDisconnectedError from error
        return self._response

    def abort(self) -> web.StreamResponse:
        """Abort the connection, so that the answer can't look complete."""
        abort_answer(self._http_request)
        return self._response

    def _record_event(self, now: float) -> None:
        if self.first_at is None:
            self.first_at = now
        elif now - self._last_at > self.longest_gap:
            self.longest_gap = now - self._last_at
            self.gap_ended_at = now
        self._last_at = now

    async def _prepare(self, head: AnswerHead) -> None:
        """Begin the answer.

        It counts as begun before its head is written: a call that is
        interrupted after that must not be answered a second time.
        """
        self._response = web.StreamResponse(
            status=head.status,
            headers=CIMultiDict(head.headers),
        )
        await self._response.prepare(self._http_request)


@attrs.define
class Endurance:
    """Events of one attempt, until its engine has outlived their begin.

    ``_record`` gets the call, and whether its answer was resumed.
    """

    _call: Call
    _resumed: bool
    _record: Callable[[Call, bool], None]
    _events: int = 0
    _first_at: float | None = None
    _recorded: bool = False

    def count(self, events: int) -> None:
        """Count events that have arrived."""
        now = monotonic()
        if self._first_at is None:
            self._first_at = now
        self._events += events
        lasts = now - self._first_at >= _MIN_SECONDS
        if lasts and self._events >= _MIN_EVENTS and not self._recorded:
            self._recorded = True
            self._record(self._call, self._resumed)

    def finish(self) -> None:
        """Record the end of a whole answer, which shows it in any case."""
        if self._events:
            self._record(self._call, self._resumed)
