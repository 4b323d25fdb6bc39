"""Handing the events of an answer to the caller.

Two ways: as they arrive, or whole.  Either ends cleanly only after the
terminal event; a caller can never mistake a broken answer for a short one.
"""

import asyncio

from aiohttp import web

from ..protocol import callers, completions
from ..protocol.completions import MalformedAnswerError
from ..protocol.events import Event
from ..state.buffers import BufferBudget
from ..state.refusals import Ran, Refusal, RefusalCode, Step
from ..transport.deadlines import monotonic, within
from .answers import CallerGoneError, DeliveryError

__all__ = ['StreamDelivery', 'WholeDelivery', 'create_answer_buffers']

#: Bytes of one whole answer, about 30,000 tokens of events.
_ANSWER_BYTES = 8_388_608
#: Bytes of all answers that are being collected by this process.
_BUFFER_BYTES = 134_217_728
#: Seconds after which a buffer that is full now is likely to have room.
_ROOM_SOON = 2.0
#: Seconds that a caller has to take the last bytes of a broken answer.
_FAREWELL_SECONDS = 1.0
#: Seconds for which a closed connection may still be read.
_LINGER_SECONDS = 30.0
_DELIVERY_KEY = web.ResponseKey('delivery', object)
_EVENT_STREAM = 'text/event-stream'
_JSON = 'application/json'


def create_answer_buffers() -> BufferBudget:
    """Create the memory in which whole answers are collected."""
    return BufferBudget(_BUFFER_BYTES, _ANSWER_BYTES)


class StreamDelivery:
    """Passes events on as they arrive."""

    buffered = False

    def __init__(
        self,
        http_request: web.Request,
        request_id: str,
        parts: int = 0,
    ) -> None:
        """Answer a call; nothing is sent before the first event."""
        self._http_request = http_request
        self._request_id = request_id
        self._parts = parts
        self._response: web.StreamResponse | None = None

    @property
    def restartable(self) -> bool:
        """Whether nothing has been sent."""
        return self._response is None

    def restart(self) -> None:
        """Begin again; as nothing was sent, there is nothing to undo."""

    async def deliver(self, events: list[Event]) -> None:
        """Write events to the caller.

        Raises
        ------
        CallerGoneError
            When the caller has closed the connection.
        """
        written = completions.encode_events(event.payload for event in events)
        try:
            if self._response is None:
                self._response = await self._prepare()
            await self._response.write(written)
        except ConnectionError as error:
            raise CallerGoneError from error

    async def finish(self) -> web.StreamResponse:
        """End the answer after its terminal event."""
        try:
            await self._response.write_eof()
        except ConnectionError:
            # The caller has the terminal event, or has left.
            return self._response
        return self._response

    async def refuse(self, refusal: Refusal) -> web.StreamResponse:
        """Tell the caller that the answer is not, or not wholly, there."""
        if self._response is None:
            return callers.answer_refusal(refusal, self._request_id)
        encoded = callers.encode_refusal(refusal, self._request_id)
        await self._say_farewell(completions.encode_refused_event(encoded))
        # Closing without the last chunk makes the HTTP body incomplete, so
        # that a client which overlooks the event sees the cut as well.
        transport = self._http_request.transport
        if transport is not None:
            transport.close()
            # A caller that never reads would keep the closing connection and
            # its buffer for ever.
            loop = asyncio.get_running_loop()
            loop.call_later(_LINGER_SECONDS, transport.abort)
        return self._response

    async def _say_farewell(self, event: bytes) -> None:
        """Write a last event to a caller that may read no more.

        A caller that reads slowly has the connection's buffers full, and the
        write would wait for it beyond the request's deadline.
        """
        try:
            async with within(monotonic() + _FAREWELL_SECONDS):
                await self._response.write(event)
        except (ConnectionError, TimeoutError):
            return

    async def _prepare(self) -> web.StreamResponse:
        response = web.StreamResponse(
            headers={
                'Content-Type': _EVENT_STREAM,
                'Cache-Control': 'no-store',
                **_create_headers(self._request_id, self._parts),
            },
        )
        await response.prepare(self._http_request)
        return response


class WholeDelivery:
    """Collects the answer and sends it with its length.

    The events take memory from a bounded budget until the answer has been
    sent or refused.
    """

    buffered = True
    restartable = True

    def __init__(
        self,
        stream: bool,
        request_id: str,
        budget: BufferBudget,
        parts: int = 0,
    ) -> None:
        """Collect for a caller that wants an event stream, or JSON."""
        self._stream = stream
        self._request_id = request_id
        self._parts = parts
        self._reservation = budget.reserve_for(self)
        self._payloads: list[bytes] = []
        self._body = b''

    def restart(self) -> None:
        """Forget what was collected from an attempt that failed."""
        self._payloads = []
        self._reservation.release()

    async def deliver(self, events: list[Event]) -> None:
        """Keep events until the answer is whole.

        Raises
        ------
        DeliveryError
            When there is no memory for more, or the events make no answer.
        """
        for event in events:
            size = len(event.payload)
            if not self._reservation.take(size):
                fits_answer = self._reservation.fits_answer(size)
                raise DeliveryError(_refuse_full(fits_answer))
            self._payloads.append(event.payload)
        if events[-1].terminal:
            self._body = self._encode()

    async def finish(self) -> web.Response:
        """Build the whole answer."""
        response = web.Response(
            body=self._body,
            content_type=_EVENT_STREAM if self._stream else _JSON,
            headers=_create_headers(self._request_id, self._parts),
        )
        # The reservation lasts as long as this object, and this object as
        # long as the response: a slow caller's answer still counts.
        response[_DELIVERY_KEY] = self
        return response

    async def refuse(self, refusal: Refusal) -> web.Response:
        """Refuse; nothing of the answer was sent."""
        self.restart()
        return callers.answer_refusal(refusal, self._request_id)

    def _encode(self) -> bytes:
        """Encode the whole answer as the caller wants it."""
        try:
            return (
                completions.encode_events(self._payloads)
                if self._stream
                else completions.assemble_answer(self._payloads)
            )
        except MalformedAnswerError as error:
            raise DeliveryError(_refuse_malformed(error)) from error


def _create_headers(request_id: str, parts: int) -> dict[str, str]:
    headers = {callers.REQUEST_ID_HEADER: request_id}
    if parts:
        headers[callers.SEGMENTS_HEADER] = str(parts)
    return headers


def _refuse_full(fits_answer: bool) -> Refusal:
    """Refuse an answer beyond its own bound, or beyond that of all."""
    if not fits_answer:
        return Refusal(
            RefusalCode.ANSWER_TOO_LARGE,
            f'the answer is larger than {_ANSWER_BYTES} bytes of events',
            Step.RELAY,
            ran=Ran.YES,
        )
    return Refusal(
        RefusalCode.NO_CAPACITY,
        'no memory is left here to collect the answer in',
        Step.RELAY,
        ran=Ran.YES,
        retry_after=_ROOM_SOON,
    )


def _refuse_malformed(error: MalformedAnswerError) -> Refusal:
    return Refusal(
        RefusalCode.ENDPOINT_FAILED,
        f'the engine answered with events that do not join: {error}',
        Step.RELAY,
        ran=Ran.YES,
    )
