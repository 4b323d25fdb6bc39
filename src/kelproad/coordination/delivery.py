"""Delivery of an answer's events to the caller.

Events are forwarded as they arrive, or collected and sent as one response.
Either way the response ends cleanly only after the terminal event, so a caller
can never mistake a truncated answer for a short one.
"""

import asyncio

from aiohttp import web

from ..protocol import callers, completions
from ..protocol.completions import MalformedAnswerError
from ..protocol.events import Event
from ..state.buffers import BufferBudget
from ..state.refusals import Ran, Refusal, RefusalCode, Step
from ..transport.deadlines import monotonic, within
from .answers import CallerDisconnectedError, DeliveryError

__all__ = ['StreamDelivery', 'BufferedDelivery', 'create_answer_buffers']

#: Maximum bytes of one collected answer, about 30,000 tokens of events.
_ANSWER_BYTES = 8_388_608
#: Maximum bytes of all answers that this process is collecting.
_BUFFER_BYTES = 134_217_728
#: Retry-After, in seconds; a full buffer usually has room again by then.
_FULL_RETRY_AFTER = 2.0
#: Seconds for writing the error event of a truncated answer.
_ERROR_EVENT_SECONDS = 1.0
#: Seconds after which a closing connection is aborted.
_LINGER_SECONDS = 30.0
_DELIVERY_KEY = web.ResponseKey('delivery', object)
_EVENT_STREAM = 'text/event-stream'
_JSON = 'application/json'


def create_answer_buffers() -> BufferBudget:
    """Create the memory budget of collected answers."""
    return BufferBudget(_BUFFER_BYTES, _ANSWER_BYTES)


class StreamDelivery:
    """Delivery of events as they arrive."""

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
        """Do nothing, since nothing has been sent."""

    async def deliver(self, events: list[Event]) -> None:
        """Write events to the caller.

        Raises
        ------
        CallerDisconnectedError
            When the caller has closed the connection.
        """
        written = completions.encode_events(event.payload for event in events)
        try:
            if self._response is None:
                self._response = await self._prepare()
            await self._response.write(written)
        except ConnectionError as error:
            raise CallerDisconnectedError from error

    async def finish(self) -> web.StreamResponse:
        """End the answer after its terminal event."""
        try:
            await self._response.write_eof()
        except ConnectionError:
            # The caller has the terminal event, or has disconnected.
            return self._response
        return self._response

    async def refuse(self, refusal: Refusal) -> web.StreamResponse:
        """Send a refusal, or end a partly sent answer with an error event."""
        if self._response is None:
            return callers.build_refusal_response(refusal, self._request_id)
        encoded = callers.encode_refusal(refusal, self._request_id)
        await self._send_error_event(completions.encode_error_event(encoded))
        # Closing without the last chunk leaves the HTTP body incomplete, so
        # that a client which ignores the event detects the truncation too.
        transport = self._http_request.transport
        if transport is not None:
            transport.close()
            # A caller that never reads would keep the closing connection open
            # and its buffer in memory for ever.
            loop = asyncio.get_running_loop()
            loop.call_later(_LINGER_SECONDS, transport.abort)
        return self._response

    async def _send_error_event(self, event: bytes) -> None:
        """Write the error event, within a time limit.

        If the caller reads slowly, the connection's buffers are full and the
        write would block beyond the request's deadline.
        """
        try:
            async with within(monotonic() + _ERROR_EVENT_SECONDS):
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


class BufferedDelivery:
    """Delivery of the answer as one response of known length.

    The events count towards a memory budget until the answer has been sent or
    refused.
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
        """Collect an answer, to be sent as an event stream or as JSON."""
        self._stream = stream
        self._request_id = request_id
        self._parts = parts
        self._reservation = budget.reserve_for(self)
        self._payloads: list[bytes] = []
        self._body = b''

    def restart(self) -> None:
        """Discard the events collected from a failed attempt."""
        self._payloads = []
        self._reservation.release()

    async def deliver(self, events: list[Event]) -> None:
        """Keep events until the answer is complete.

        Raises
        ------
        DeliveryError
            When the memory budget is exhausted, or the events don't form a
            valid answer.
        """
        for event in events:
            size = len(event.payload)
            if not self._reservation.acquire(size):
                fits_answer = self._reservation.fits_answer(size)
                raise DeliveryError(_refuse_full(fits_answer))
            self._payloads.append(event.payload)
        if events[-1].is_terminal:
            self._body = self._encode()

    async def finish(self) -> web.Response:
        """Build the response with the complete answer."""
        response = web.Response(
            body=self._body,
            content_type=_EVENT_STREAM if self._stream else _JSON,
            headers=_create_headers(self._request_id, self._parts),
        )
        # The response keeps this object alive, and this object its
        # reservation, so that the answer counts until it has been sent.
        response[_DELIVERY_KEY] = self
        return response

    async def refuse(self, refusal: Refusal) -> web.Response:
        """Build a refusal; no part of the answer has been sent."""
        self.restart()
        return callers.build_refusal_response(refusal, self._request_id)

    def _encode(self) -> bytes:
        """Encode the complete answer in the requested format."""
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
    """Refuse an answer that exceeds its own limit or the shared one."""
    if not fits_answer:
        return Refusal(
            RefusalCode.ANSWER_TOO_LARGE,
            f'the answer is larger than {_ANSWER_BYTES} bytes of events',
            Step.RELAY,
            ran=Ran.YES,
        )
    return Refusal(
        RefusalCode.NO_CAPACITY,
        'this instance has no memory left to collect the answer',
        Step.RELAY,
        ran=Ran.YES,
        retry_after=_FULL_RETRY_AFTER,
    )


def _refuse_malformed(error: MalformedAnswerError) -> Refusal:
    return Refusal(
        RefusalCode.ENDPOINT_FAILED,
        f'the events of the engine form no valid answer: {error}',
        Step.RELAY,
        ran=Ran.YES,
    )
