"""Server-sent events of an engine's stream, checked as raw bytes.

An engine numbers the events of an attempt::

    id: <attempt id>.<number from 0>
    data: <JSON, or [DONE] in the last one>

Relaying is the hottest path of the system, so events are split and checked
without decoding their JSON.
"""

import attrs

from ..state.problems import parse_digits

__all__ = ['DONE', 'Event', 'EventSequence', 'SequenceError']

#: Data of the terminal event.  Only this ends a stream.
DONE = b'[DONE]'
_SEPARATOR = b'\n\n'
_DATA = b'\ndata: '
#: Maximum size of an event in bytes; engines send no larger one.
MAX_EVENT_BYTES = 1_048_576
_MAX_SHOWN = 80
#: Beginnings of the data of an engine's own error.
_ERROR_STARTS = (b'{"error"', b'{"object":"error"', b'{"object": "error"')


class SequenceError(Exception):
    """The stream has a gap or is not a stream of events."""


@attrs.frozen
class Event:
    """One event of the attempt, with its number from 0."""

    number: int
    payload: bytes

    @property
    def is_terminal(self) -> bool:
        """Whether this event completes the answer."""
        return self.payload == DONE

    @property
    def failed(self) -> bool:
        """Whether the engine reports an error instead of a token.

        Engines end such a stream with ``[DONE]`` too.
        """
        return self.payload.startswith(_ERROR_STARTS)


class EventSequence:
    """Splits a byte stream into events and accepts them in sequence only.

    Events of another attempt (crossed answers), events that were already
    accepted (duplicate or late ones) and events after the end are dropped and
    counted; a missing event is an error, because the events after it must not
    reach the caller.
    """

    def __init__(self, attempt_id: str, next_number: int = 0) -> None:
        """Expect events of an attempt, the first with ``next_number``."""
        self._prefix = f'id: {attempt_id}.'.encode()
        self._buffer = b''
        self.next_number = next_number
        self.ended = False
        self.crossed = 0
        self.repeated = 0

    def feed(self, received: bytes) -> list[Event]:
        """Accept received bytes and return the events that they complete.

        Raises
        ------
        SequenceError
            When an event is missing or malformed, or too large.
        """
        *blocks, rest = (self._buffer + received).split(_SEPARATOR)
        self._buffer = rest
        if len(self._buffer) > MAX_EVENT_BYTES:
            raise SequenceError('an event is too large')
        accepted = [self._accept(block) for block in blocks]
        return [event for event in accepted if event is not None]

    def discard_partial_event(self) -> None:
        """Discard a partial event before the stream is resumed."""
        self._buffer = b''

    def _accept(self, block: bytes) -> Event | None:
        if not block.startswith(self._prefix):
            return self._drop_crossed(block)
        head, separator, payload = block.partition(_DATA)
        digits = head[len(self._prefix) :]
        number = parse_digits(digits.decode(errors='replace'))
        if not separator or number is None:
            raise SequenceError(f'not an event: {block[:_MAX_SHOWN]!r}')
        if number < self.next_number or self.ended:
            self.repeated += 1
            return None
        if number > self.next_number:
            raise SequenceError(
                f'received event {number}, expected {self.next_number}',
            )
        self.next_number += 1
        self.ended = payload == DONE
        return Event(number, payload)

    def _drop_crossed(self, block: bytes) -> None:
        if not block.startswith(b'id: '):
            raise SequenceError(f'not an event: {block[:_MAX_SHOWN]!r}')
        self.crossed += 1
