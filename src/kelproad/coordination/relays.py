"""One attempt's stream, read until the answer is whole or cannot be.

A broken connection is taken up again on the same engine, which still holds
the stream; what the sequence of events has let through is never asked for
twice and never left out.
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

__all__ = ['Patience', 'Relay']

#: Connections in a row that brought nothing before the engine is given up.
_MAX_FRUITLESS = 2
#: Seconds for taking up a stream that could be had elsewhere.
_RESUME_SECONDS = 2.0
#: Seconds for taking up a stream that cannot: a short cut of the network
#: heals within them, and the caller of a dead engine still hears soon.
_LAST_RESUME_SECONDS = 5.0
_RESUME_PERIOD = 0.3
#: Seconds between events after which an engine is doubted.  Tokens are 28 ms
#: apart, and a step that prefills a chunk of another prompt takes 0.3 s; ten
#: such steps in a row are no ordinary engine any more.
_GAP_SECONDS = 3.0
#: Seconds for the first event, however early it is predicted.
_FIRST_SECONDS = 3.0
#: How far a prediction may be wrong: reports are a second old, and prompts
#: that other instances sent since are not in them.
_PREDICTION_FACTOR = 3.0
#: A wait that ends later than this leaves another engine no time.
_LATEST_SHARE = 0.5
_LEAST_FACTOR = 1.5
#: How much longer the head is waited for when no other engine is left.
_LAST_FACTOR = 2.0


class _Ending(enum.StrEnum):
    """How the reading of one connection ended."""

    COMPLETE = 'complete'
    CLOSED = 'closed'
    BROKEN = 'broken'
    GAP = 'gap'
    STALLED = 'stalled'
    FAILED = 'failed'
    FOREIGN = 'foreign'


#: Endings after which the same engine cannot make the answer whole.
_FINAL = (_Ending.FAILED, _Ending.FOREIGN)


class _EngineError(Exception):
    """The engine told of an error in its stream."""


_ENDINGS = types.MappingProxyType(
    {
        SequenceError: _Ending.GAP,
        _EngineError: _Ending.FAILED,
        ContinuationError: _Ending.FOREIGN,
    },
)


@attrs.frozen
class Patience:
    """Seconds to wait for the first event, and between events.

    They hold only while the answer could be had elsewhere; otherwise there is
    nothing better to do than to wait until the deadline.
    """

    first: float
    gap: float = _GAP_SECONDS

    @classmethod
    def from_prediction(cls, predicted: float, remaining: float) -> Self:
        """Derive it from the predicted first token and the time left."""
        generous = max(_FIRST_SECONDS, _PREDICTION_FACTOR * predicted)
        latest = _LATEST_SHARE * remaining
        return cls(max(_LEAST_FACTOR * predicted, min(generous, latest)))


class Relay:
    """The way of one attempt's events from its engine to the answer."""

    def __init__(
        self,
        engines: EngineClient,
        counters: Counters,
        url: str,
        attempt: Attempt,
        answer: Answer,
        patience: Patience,
        note_first_token: Callable[[], None],
    ) -> None:
        """Relay an attempt that has not been dispatched yet."""
        self._engines = engines
        self._counters = counters
        self._url = url
        self._attempt = attempt
        self._answer = answer
        self._patience = patience
        self._note_first_token = note_first_token
        self._incarnation = ''
        self._stalls = 0
        self.sequence = EventSequence(attempt.attempt_id)
        self.finished = False

    async def run(self) -> Result[None, Refusal]:
        """Dispatch, and read on where the stream broke until it is whole."""
        opened = await self._open()
        if isinstance(opened, Failure):
            return opened
        fruitless = 0
        while isinstance(opened, Success):
            expected = self.sequence.next_number
            ending = await self._read(opened.unwrap())
            if self.finished:
                return Success(None)
            self._counters.streams_broken.inc({'ending': str(ending)})
            progressed = self.sequence.next_number > expected
            fruitless = 0 if progressed else fruitless + 1
            if ending in _FINAL or fruitless >= _MAX_FRUITLESS:
                break
            opened = await self._resume()
        return Failure(self._refuse('the engine broke off its answer'))

    async def _open(self) -> Result[EngineStream, Refusal]:
        opened = await self._engines.open_stream(
            self._url,
            self._answer.path,
            self._attempt,
            self._answer.encode_body(),
            self._decide_head_limit(),
        )
        if isinstance(opened, Failure):
            return opened
        stream = opened.unwrap()
        self._incarnation = stream.incarnation
        wanted = self._answer.continuation
        if wanted is not None and stream.continued_bytes != wanted.size:
            # An engine that overlooks the text would answer from the start,
            # and the caller would read that again behind what it has.
            stream.close()
            return Failure(self._refuse('the engine does not continue a text'))
        return opened

    def _decide_head_limit(self) -> float:
        """Decide until when the head of the answer may be waited for.

        An engine without even a head may be behind a cut.  Without another
        one here, the caller of work that may be repeated still has other
        instances, and hears so before its deadline.
        """
        answer = self._answer
        if not answer.request.repeatable:
            return self._attempt.deadline
        factor = 1 if answer.has_alternative else _LAST_FACTOR
        until = monotonic() + factor * self._patience.first
        return min(until, self._attempt.deadline)

    async def _resume(self) -> Result[EngineStream, Refusal]:
        """Take the stream up again; a short outage is waited out."""
        self.sequence.restart()
        movable = self._answer.movable
        seconds = _RESUME_SECONDS if movable else _LAST_RESUME_SECONDS
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
            if gone or movable or monotonic() + _RESUME_PERIOD >= limit:
                return resumed
            await asyncio.sleep(_RESUME_PERIOD)

    def _accept(self, stream: EngineStream) -> Result[EngineStream, Refusal]:
        """Take a resumed stream, unless the engine has been restarted.

        A restarted engine holds nothing of ours; what it offers under the
        attempt's id is another stream, whose events would fit the numbers and
        mix two answers.
        """
        if stream.incarnation != self._incarnation:
            stream.close()
            return Failure(self._refuse('the engine was restarted'))
        self._counters.streams_resumed.inc({'way': 'same engine'})
        return Success(stream)

    async def _read(self, stream: EngineStream) -> _Ending:
        """Pass checked events on until the terminal one or a break."""
        try:
            async with asyncio.timeout(self._decide_wait()) as timer:
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
                # Only news counts: an engine that repeats itself for ever has
                # stalled as well.
                continue
            # A slow caller must not pass for a stalled engine.
            timer.reschedule(None)
            await self._pass_on(events)
            if self.finished:
                return
            wait = self._decide_wait()
            if wait is not None:
                timer.reschedule(loop.time() + wait)

    async def _pass_on(self, events: list[Event]) -> None:
        if any(event.failed for event in events):
            raise _EngineError
        self._note_first_token()
        await self._answer.pass_on(events)
        self.finished = events[-1].terminal

    def _decide_wait(self) -> float | None:
        """Decide for how long the next event may be waited for.

        A stall whose stream could be taken up again was a false alarm or a
        dead connection, so the next wait is twice as long.
        """
        if not self._answer.movable:
            return None
        begun = self.sequence.next_number > 0
        wait = self._patience.gap if begun else self._patience.first
        return wait * 2**self._stalls

    def _refuse(self, message: str) -> Refusal:
        return Refusal(
            RefusalCode.ENDPOINT_FAILED,
            message,
            Step.RELAY,
            peer=self._url,
            ran=Ran.UNKNOWN,
        )
