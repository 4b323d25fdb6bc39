"""Relay of one attempt's stream, until the answer is complete or can't be.

After a broken connection the stream is resumed on the same engine, which still
holds it; events that the sequence has let through are neither requested again
nor skipped.
"""

import asyncio
import enum
import types
from collections.abc import Callable
from typing import Self

import aiohttp
import attrs
from returns.result import Failure, Result, Success

from ..protocol.continuations import ContinuationError
from ..protocol.engines import Attempt, EngineClient, EngineStream
from ..protocol.events import Event, EventSequence, SequenceError
from ..state.counters import Counters
from ..state.refusals import Ran, Refusal, RefusalCode, Step
from ..transport.deadlines import monotonic
from .answers import Answer

__all__ = ['EventTimeouts', 'Relay']

#: Consecutive connections without progress after which the engine is given up.
_MAX_WITHOUT_PROGRESS = 2
#: Seconds for resuming a stream that another engine could take over.
_RESUME_SECONDS = 2.0
#: Seconds for resuming a stream that no other engine could take over: a short
#: network partition heals within them, and the caller of a failed engine still
#: gets a refusal soon.
_LAST_RESUME_SECONDS = 5.0
#: Seconds between two attempts to resume.
_RESUME_PERIOD = 0.3
#: Seconds between events after which a stream counts as stalled.  Tokens are
#: 28 ms apart, and a pass (one iteration of the engine's batch) that prefills a
#: chunk of another prompt takes 0.3 s; ten such passes in a row are abnormal.
_GAP_SECONDS = 3.0
#: Timeout for the first event, in seconds, however early it is predicted.
_FIRST_SECONDS = 3.0
#: Factor by which the first event may exceed its prediction: reports are a
#: second old, and lack the prompts that other instances sent since.
_PREDICTION_FACTOR = 3.0
#: Largest fraction of the remaining time to wait for the first event; a longer
#: wait would leave another engine no time.
_MAX_WAIT_FRACTION = 0.5
#: Smallest timeout for the first event, as a multiple of its prediction.
_MIN_FACTOR = 1.5
#: Factor of the timeout for the response head when no other engine is left.
_LAST_ENGINE_FACTOR = 2.0


class _Ending(enum.StrEnum):
    """Result of reading one connection."""

    COMPLETE = 'complete'
    CLOSED = 'closed'
    BROKEN = 'broken'
    GAP = 'gap'
    STALLED = 'stalled'
    FAILED = 'failed'
    FOREIGN = 'foreign'


#: Endings after which the same engine cannot complete the answer.
_FINAL = (_Ending.FAILED, _Ending.FOREIGN)


class _EngineError(Exception):
    """The engine reported an error in its stream."""


_ENDINGS = types.MappingProxyType(
    {
        SequenceError: _Ending.GAP,
        _EngineError: _Ending.FAILED,
        ContinuationError: _Ending.FOREIGN,
    },
)


@attrs.frozen
class EventTimeouts:
    """Timeouts for the first event and between events, in seconds.

    They apply only while another engine could answer; otherwise the relay
    waits until the deadline.
    """

    first: float
    gap: float = _GAP_SECONDS

    @classmethod
    def from_prediction(cls, predicted: float, remaining: float) -> Self:
        """Derive them from the predicted first token and the remaining time."""
        generous = max(_FIRST_SECONDS, _PREDICTION_FACTOR * predicted)
        longest = _MAX_WAIT_FRACTION * remaining
        return cls(max(_MIN_FACTOR * predicted, min(generous, longest)))


class Relay:
    """Relay of one attempt's events from its engine to the answer."""

    def __init__(
        self,
        engines: EngineClient,
        counters: Counters,
        url: str,
        attempt: Attempt,
        answer: Answer,
        timeouts: EventTimeouts,
        on_first_token: Callable[[], None],
    ) -> None:
        """Relay an attempt that has not been dispatched yet."""
        self._engines = engines
        self._counters = counters
        self._url = url
        self._attempt = attempt
        self._answer = answer
        self._timeouts = timeouts
        self._on_first_token = on_first_token
        self._incarnation = ''
        self._stalls = 0
        self.sequence = EventSequence(attempt.attempt_id)
        self.finished = False

    async def run(self) -> Result[None, Refusal]:
        """Dispatch the attempt, and resume its stream until it is complete."""
        opened = await self._open()
        if isinstance(opened, Failure):
            return opened
        without_progress = 0
        while isinstance(opened, Success):
            expected = self.sequence.next_number
            ending = await self._read(opened.unwrap())
            if self.finished:
                return Success(None)
            self._counters.streams_broken.inc({'ending': str(ending)})
            progressed = self.sequence.next_number > expected
            without_progress = 0 if progressed else without_progress + 1
            if ending in _FINAL or without_progress >= _MAX_WITHOUT_PROGRESS:
                break
            opened = await self._resume()
        return Failure(self._refuse('the engine did not complete its answer'))

    async def _open(self) -> Result[EngineStream, Refusal]:
        opened = await self._engines.open_stream(
            self._url,
            self._answer.path,
            self._attempt,
            self._answer.encode_body(),
            self._compute_head_deadline(),
        )
        if isinstance(opened, Failure):
            return opened
        stream = opened.unwrap()
        self._incarnation = stream.incarnation
        wanted = self._answer.continuation
        if wanted is not None and stream.continued_bytes != wanted.size:
            # An engine that ignores the text would answer from the start, and
            # the caller would get that after the text it already has.
            stream.close()
            return Failure(self._refuse('the engine did not continue the text'))
        return opened

    def _compute_head_deadline(self) -> float:
        """Return the monotonic time until which to wait for the response head.

        An engine that does not send a head may be partitioned off.  If no
        other one is reachable here, the caller of repeatable work can still
        use another instance, so it is refused before its deadline.
        """
        answer = self._answer
        if not answer.request.repeatable:
            return self._attempt.deadline
        factor = 1 if answer.has_alternative else _LAST_ENGINE_FACTOR
        until = monotonic() + factor * self._timeouts.first
        return min(until, self._attempt.deadline)

    async def _resume(self) -> Result[EngineStream, Refusal]:
        """Resume the stream, with retries during a short outage."""
        self.sequence.discard_partial_event()
        can_fail_over = self._answer.can_fail_over
        seconds = _RESUME_SECONDS if can_fail_over else _LAST_RESUME_SECONDS
        limit = min(monotonic() + seconds, self._attempt.deadline)
        while True:
            resumed = await self._engines.resume_stream(
                self._url,
                self._attempt,
                self.sequence.next_number,
                limit,
            )
            if isinstance(resumed, Success):
                return self._accept(resumed.unwrap())
            gone = resumed.failure().code is RefusalCode.NOT_FOUND
            if gone or can_fail_over or monotonic() + _RESUME_PERIOD >= limit:
                return resumed
            await asyncio.sleep(_RESUME_PERIOD)

    def _accept(self, stream: EngineStream) -> Result[EngineStream, Refusal]:
        """Accept a resumed stream, unless the engine has been restarted.

        A restarted engine no longer holds the attempt's stream; a stream that
        it offers under the same id is another one, whose event numbers would
        match and mix two answers.
        """
        if stream.incarnation != self._incarnation:
            stream.close()
            return Failure(self._refuse('the engine was restarted'))
        self._counters.streams_resumed.inc({'way': 'same engine'})
        return Success(stream)

    async def _read(self, stream: EngineStream) -> _Ending:
        """Forward checked events until the terminal one or an interruption."""
        try:
            async with asyncio.timeout(self._compute_timeout()) as timer:
                await self._read_events(stream, timer)
        except TimeoutError:
            self._stalls += 1
            return _Ending.STALLED
        except (SequenceError, _EngineError, ContinuationError) as error:
            return _ENDINGS[type(error)]
        except (aiohttp.ClientError, OSError):
            return _Ending.BROKEN
        finally:
            stream.close()
        return _Ending.COMPLETE if self.finished else _Ending.CLOSED

    async def _read_events(
        self,
        stream: EngineStream,
        timer: asyncio.Timeout,
    ) -> None:
        loop = asyncio.get_running_loop()
        async for received in stream.read():
            events = self.sequence.feed(received)
            if not events:
                # Only new events reset the timer: an engine that repeats old
                # ones for ever has stalled as well.
                continue
            # A slow caller must not be mistaken for a stalled engine.
            timer.reschedule(None)
            await self._forward(events)
            if self.finished:
                return
            wait = self._compute_timeout()
            if wait is not None:
                timer.reschedule(loop.time() + wait)

    async def _forward(self, events: list[Event]) -> None:
        if any(event.failed for event in events):
            raise _EngineError
        self._on_first_token()
        await self._answer.forward(events)
        self.finished = events[-1].is_terminal

    def _compute_timeout(self) -> float | None:
        """Return the timeout for the next event; ``None`` waits for ever.

        If a stream could be resumed after a stall, the stall was a false alarm
        or a dead connection, so the next timeout is twice as long.
        """
        if not self._answer.can_fail_over:
            return None
        begun = self.sequence.next_number > 0
        wait = self._timeouts.gap if begun else self._timeouts.first
        return wait * 2**self._stalls

    def _refuse(self, message: str) -> Refusal:
        return Refusal(
            RefusalCode.ENDPOINT_FAILED,
            message,
            Step.RELAY,
            peer=self._url,
            ran=Ran.UNKNOWN,
        )
