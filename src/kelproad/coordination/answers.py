"""The answer to one request, over all attempts at it.

What has reached the caller determines what may follow a failed attempt.  If
nothing has, another attempt may answer from the start; otherwise another engine
may only continue the delivered text.
"""

from typing import Protocol

import attrs
import msgspec

from ..protocol.callers import CompletionBody
from ..protocol.continuations import (
    Continuation,
    is_deterministic,
    read_text,
)
from ..protocol.events import Event
from ..state.buffers import BufferBudget, Reservation
from ..state.refusals import Refusal
from ..state.requests import Request

__all__ = ['Answer', 'CallerDisconnectedError', 'DeliveryError', 'Sink']


class CallerDisconnectedError(Exception):
    """The caller closed its connection before the answer was complete."""


class DeliveryError(Exception):
    """The answer cannot be delivered, although the engine produces it."""

    def __init__(self, refusal: Refusal) -> None:
        """Keep the refusal to send to the caller."""
        super().__init__(refusal.message)
        self.refusal = refusal


class Sink(Protocol):
    """Destination of the events of an answer.

    Attributes
    ----------
    buffered
        Whether nothing reaches the caller before the answer is complete.
    """

    buffered: bool

    @property
    def restartable(self) -> bool:
        """Whether nothing has reached the caller yet."""

    async def deliver(self, events: list[Event]) -> None:
        """Accept checked events, in order, as they arrive."""

    def restart(self) -> None:
        """Discard the accepted events; only while ``restartable``."""


@attrs.define(eq=False)
class Answer:
    """An answer in progress.

    Attributes
    ----------
    continuable
        Whether another engine could still continue the delivered text.  False
        once that text is no longer kept.
    has_alternative
        Whether there was another endpoint when the present attempt began.
        Without one, the only option is to wait for a silent engine.
    continuation
        The text that the present attempt continues; ``None`` if it starts
        from the beginning.
    """

    request: Request
    path: str
    body: CompletionBody
    sink: Sink
    budget: BufferBudget
    continuable: bool = False
    has_alternative: bool = False
    continuation: Continuation | None = None
    _kept: list[bytes] = attrs.field(factory=list)
    _reservation: Reservation = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Decide whether to keep events for a continuation."""
        self._reservation = self.budget.reserve_for(self)
        self.continuable = (
            self.request.repeatable
            and not self.sink.buffered
            and any(
                group.honours_continuation
                for group in self.request.snapshot.groups_of(
                    self.request.service,
                )
            )
            and is_deterministic(self.body.fields)
        )

    @property
    def can_fail_over(self) -> bool:
        """Whether another endpoint may take over work that may have run."""
        if not (self.request.repeatable and self.has_alternative):
            return False
        return self.sink.restartable or self.continuable

    async def forward(self, events: list[Event]) -> None:
        """Forward events to the caller; keep them for a continuation."""
        if self.continuation is not None:
            events = [_adapt(event, self.continuation) for event in events]
        if self.continuable:
            self._keep(events)
        await self.sink.deliver(events)

    def prepare_next(self) -> bool:
        """Prepare for another attempt; return whether it could succeed."""
        if self.sink.restartable:
            self.sink.restart()
            self._drop_kept()
            self.continuation = None
            return True
        text = read_text(self._kept) if self.continuable else None
        if text is None:
            return False
        first = msgspec.json.decode(
            self._kept[0],
            type=dict[str, msgspec.Raw],
        )
        self.continuation = Continuation(text, first)
        return True

    def encode_body(self) -> bytes:
        """Encode the body of the next dispatch."""
        if self.continuation is None:
            return self.body.encode_streaming()
        return self.continuation.encode_body(self.body)

    def _keep(self, events: list[Event]) -> None:
        """Keep events, or drop all of them when a bound is reached."""
        for event in events:
            if not self._reservation.acquire(len(event.payload)):
                self.continuable = False
                self._drop_kept()
                return
            self._kept.append(event.payload)

    def _drop_kept(self) -> None:
        self._kept = []
        self._reservation.release()


def _adapt(event: Event, continuation: Continuation) -> Event:
    if event.is_terminal:
        return event
    return attrs.evolve(
        event, payload=continuation.rewrite_event(event.payload)
    )
