"""Server-sent events of an engine's stream, checked as raw bytes.

An engine numbers the events of an attempt::

    id: <attempt id>.<number from 0>
    data: <JSON, or [DONE] in the last one>

The relay is the hottest path of the system, so events are told apart and
checked without decoding their JSON.
"""

import attrs

__all__ = ['DONE', 'Event', 'EventSequence', 'SequenceError']

#: Data of the terminal event.  Only this ends a stream.
DONE = b'[DONE]'
_SEPARATOR = b'\n\n'
_DATA = b'\ndata: '
#: An event larger than this is no event of an engine.
MAX_EVENT_BYTES = 1_048_576
_MOST_SHOWN = 80
#: How the data of an engine's own error begins.
_ERROR_STARTS = (b'{"error"', b'{"object":"error"', b'{"object": "error"')


class SequenceError(Exception):
    """The stream has a gap or is not a stream of events."""


@attrs.frozen
class Event:
    """One event of the attempt, in its place."""

    number: int
    payload: bytes

    @property
    def terminal(self) -> bool:
        """Whether the answer is complete with this event."""
        return self.payload == DONE

    @property
    def failed(self) -> bool:
        """Whether the engine tells of an error in place of a token.

        Engines end such a stream with ``[DONE]`` all the same.
        """
        return self.payload.startswith(_ERROR_STARTS)


class EventSequence:
    """Cuts a byte stream into events and lets through only the next ones.

    Events of another attempt (crossed answers) and events that were already
    let through (doubled or late ones), or come after the end, are dropped and
    counted; a missing event is an error, because what follows it must not
    reach the caller.
    """

    def __init__(self, attempt_id: str, next_number: int = 0) -> None:
        """Expect the events of an attempt from a number on."""
        self._prefix = f'id: {attempt_id}.'.encode()
        self._buffer = b''
        self.next_number = next_number
        self.ended = False
        self.crossed = 0
        self.repeated = 0

    def feed(self, received: bytes) -> list[Event]:
        """Take bytes as they arrive and return the events they complete.

        Raises
        ------
        SequenceError
            When an event is missing, or the bytes are no events.
        """
        *blocks, rest = (self._buffer + received).split(_SEPARATOR)
        self._buffer = rest
        if len(self._buffer) > MAX_EVENT_BYTES:
            raise SequenceError('an event has no end')
        accepted = [self._accept(block) for block in blocks]
        return [event for event in accepted if event is not None]

    def restart(self) -> None:
        """Forget a half-received event before a stream is resumed."""
        self._buffer = b''

    def _accept(self, block: bytes) -> Event | None:
        if not block.startswith(self._prefix):
            return self._drop_crossed(block)
        head, separator, payload = block.partition(_DATA)
        digits = head[len(self._prefix) :]
        if not separator or not digits.isdigit():
            raise SequenceError(f'not an event: {block[:_MOST_SHOWN]!r}')
        number = int(digits)
        if number < self.next_number or self.ended:
            self.repeated += 1
            return None
        if number > self.next_number:
            raise SequenceError(
                f'event {number} came in place of {self.next_number}',
            )
        self.next_number += 1
        self.ended = payload == DONE
        return Event(number, payload)

    def _drop_crossed(self, block: bytes) -> None:
        if not block.startswith(b'id: '):
            raise SequenceError(f'not an event: {block[:_MOST_SHOWN]!r}')
        self.crossed += 1
