"""Handing the events of an answer to the caller.

Two ways: as they arrive, or whole.  Either ends cleanly only after the
terminal event; a caller can never mistake a broken answer for a short one.
"""

from aiohttp import web

from ..protocol import callers, completions
from ..protocol.events import Event
from ..state.refusals import Refusal
from .attempts import CallerGoneError

__all__ = ['StreamDelivery', 'WholeDelivery']

_EVENT_STREAM = 'text/event-stream'
_JSON = 'application/json'


class StreamDelivery:
    """Passes events on as they arrive."""

    def __init__(self, http_request: web.Request, request_id: str) -> None:
        """Answer a call; nothing is sent before the first event."""
        self._http_request = http_request
        self._request_id = request_id
        self._response: web.StreamResponse | None = None

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
        await self._response.write_eof()
        return self._response

    async def refuse(self, refusal: Refusal) -> web.StreamResponse:
        """Tell the caller that the answer is not, or not wholly, there."""
        if self._response is None:
            return callers.answer_refusal(refusal, self._request_id)
        encoded = callers.encode_refusal(refusal, self._request_id)
        try:
            await self._response.write(
                completions.encode_refused_event(encoded),
            )
        except ConnectionError:
            return self._response
        # Closing without the last chunk makes the HTTP body incomplete, so
        # that a client which overlooks the event sees the cut as well.
        if self._http_request.transport is not None:
            self._http_request.transport.close()
        return self._response

    async def _prepare(self) -> web.StreamResponse:
        response = web.StreamResponse(
            headers={
                'Content-Type': _EVENT_STREAM,
                'Cache-Control': 'no-store',
                callers.REQUEST_ID_HEADER: self._request_id,
            },
        )
        await response.prepare(self._http_request)
        return response


class WholeDelivery:
    """Collects the answer and sends it with its length.

    Memory is bounded by the service's largest answer: engines end a stream at
    the token limit of the request.
    """

    def __init__(self, stream: bool, request_id: str) -> None:
        """Collect for a caller that wants an event stream, or JSON."""
        self._stream = stream
        self._request_id = request_id
        self._payloads: list[bytes] = []

    async def deliver(self, events: list[Event]) -> None:
        """Keep events until the answer is whole."""
        self._payloads += [event.payload for event in events]

    async def finish(self) -> web.Response:
        """Build the whole answer."""
        return web.Response(
            body=self.encode(),
            content_type=self.content_type,
            headers={callers.REQUEST_ID_HEADER: self._request_id},
        )

    async def refuse(self, refusal: Refusal) -> web.Response:
        """Refuse; nothing of the answer was sent."""
        return callers.answer_refusal(refusal, self._request_id)

    @property
    def content_type(self) -> str:
        """Media type of the whole answer."""
        return _EVENT_STREAM if self._stream else _JSON

    def encode(self) -> bytes:
        """Encode the whole answer as the caller wants it."""
        if self._stream:
            return completions.encode_events(self._payloads)
        return completions.assemble_answer(self._payloads)
