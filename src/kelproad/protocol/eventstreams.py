"""Event streams relayed undecoded: complete events, in order, none twice.

An endpoint numbers the events of a stream and may abort it in the middle of
one.  Only complete events are sent to the caller, so that another endpoint can
resume the stream after the last one.
"""

import attrs

from .events import MAX_EVENT_BYTES, SequenceError

__all__ = ['EventSplitter', 'NumberedEvent']

_SEPARATOR = b'\n\n'
_ID_FIELD = b'id:'


@attrs.frozen
class NumberedEvent:
    """One event as it was received, its separator included.

    ``number`` is ``None`` for a block without one, such as a comment.
    """

    number: int | None
    encoded: bytes


class EventSplitter:
    """Splits a byte stream into events and checks their numbers.

    Attributes
    ----------
    last_number
        Number of the last event accepted, ``None`` before the first.
    """

    def __init__(self, last_number: int | None = None) -> None:
        """Expect the event after ``last_number``; with ``None``, any."""
        self.last_number = last_number
        self.repeated = 0
        self._buffer = b''

    @property
    def has_partial_event(self) -> bool:
        """Whether an incomplete event is buffered."""
        return bool(self._buffer)

    def feed(self, received: bytes) -> list[NumberedEvent]:
        """Accept received bytes and return the events that they complete.

        Raises
        ------
        SequenceError
            When an event is missing or too large.
        """
        *blocks, rest = (self._buffer + received).split(_SEPARATOR)
        self._buffer = rest
        if len(rest) > MAX_EVENT_BYTES:
            raise SequenceError('an event is too large')
        accepted = [self._accept(block) for block in blocks]
        return [event for event in accepted if event is not None]

    def _accept(self, block: bytes) -> NumberedEvent | None:
        number = _read_number(block)
        encoded = block + _SEPARATOR
        if number is None:
            return NumberedEvent(None, encoded)
        if self.last_number is not None:
            if number <= self.last_number:
                self.repeated += 1
                return None
            if number > self.last_number + 1:
                raise SequenceError(
                    f'received event {number} after {self.last_number}',
                )
        self.last_number = number
        return NumberedEvent(number, encoded)


def _read_number(block: bytes) -> int | None:
    for line in block.split(b'\n'):
        if line.startswith(_ID_FIELD):
            digits = line[len(_ID_FIELD) :].strip()
            return int(digits) if digits.isdigit() else None
    return None
