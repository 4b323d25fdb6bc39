"""Event streams relayed undecoded: complete events, in order, none twice.

An endpoint numbers the events of a stream and may abort it in the middle of
one.  Only complete events are sent to the caller, so that another endpoint can
resume the stream after the last one.
"""

import re

import attrs

from ..state.problems import parse_digits
from .events import MAX_EVENT_BYTES, SequenceError

__all__ = ['EventSplitter', 'NumberedEvent']

_BLANK_LINES = re.compile(rb'\n+')
_SEPARATOR = b'\n\n'
_ID_FIELD = b'id:'
_DATA_FIELD = b'data'
#: Bytes of comments, blank lines and the like between two events.
_MAX_IDLE_BYTES = 16_384
#: Events that may be repeated between two new ones, beyond those that an
#: endpoint repeats which sends a stream from its beginning.
_SPARE_REPEATED = 16
#: Bytes of repeated events between two new ones.
_MAX_REPEATED_BYTES = 1_048_576


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
        #: Since the last new event: bytes that are none, bytes of repeated ones
        #: and their number.
        self._idle_bytes = 0
        self._repeated_bytes = 0
        self._repeated_since = 0

    @property
    def has_partial_event(self) -> bool:
        """Whether an incomplete event is buffered."""
        return bool(self._buffer)

    def feed(self, received: bytes) -> list[NumberedEvent]:
        """Accept received bytes and return the events that they complete.

        Raises
        ------
        SequenceError
            When an event is missing or too large, or none comes any more.
        """
        # What was buffered before has no separator, but may end within one.
        is_partial = _SEPARATOR not in self._buffer[-1:] + received
        buffered = self._buffer + received
        if is_partial:
            self._keep_partial(buffered)
            return []
        accepted: list[NumberedEvent] = []
        start = self._skip_idle(buffered, accepted)
        end = buffered.find(_SEPARATOR, start)
        while end >= 0:
            event = self._accept(buffered[start:end])
            if event is not None:
                accepted.append(event)
            start = end + len(_SEPARATOR)
            start = self._skip_blank(buffered, start, accepted)
            end = buffered.find(_SEPARATOR, start)
        self._keep_partial(buffered[start:])
        return accepted

    def _keep_partial(self, partial: bytes) -> None:
        """Keep an event that is not complete yet.

        Raises
        ------
        SequenceError
            When it is too large.
        """
        self._buffer = partial
        if len(partial) > MAX_EVENT_BYTES:
            raise SequenceError('an event is too large')

    def _skip_idle(self, buffered: bytes, accepted: list[NumberedEvent]) -> int:
        """Accept all complete blocks at once if none is an event.

        Returns
        -------
        int
            Their end.
        """
        has_events = _ID_FIELD in buffered or (
            self.last_number is None and _DATA_FIELD in buffered
        )
        if has_events:
            return self._skip_blank(buffered, 0, accepted)
        end = buffered.rfind(_SEPARATOR) + len(_SEPARATOR)
        if end < len(_SEPARATOR):
            return 0
        self._count_idle(end)
        accepted.append(NumberedEvent(None, buffered[:end]))
        return end

    def _skip_blank(
        self, buffered: bytes, start: int, accepted: list[NumberedEvent]
    ) -> int:
        """Accept all blank lines at a position at once; return their end."""
        blank = _BLANK_LINES.match(buffered, start)
        if blank is None:
            return start
        self._count_idle(len(blank.group()))
        accepted.append(NumberedEvent(None, blank.group()))
        return blank.end()

    def _accept(self, block: bytes) -> NumberedEvent | None:
        number = _read_number(block)
        encoded = block + _SEPARATOR
        if number is None:
            self._count_unnumbered(block)
            return NumberedEvent(None, encoded)
        if self.last_number is not None:
            if number <= self.last_number:
                self._count_repeated(block)
                return None
            if number > self.last_number + 1:
                raise SequenceError(
                    f'received event {number} after {self.last_number}',
                )
        self.last_number = number
        self._idle_bytes = 0
        self._repeated_bytes = 0
        self._repeated_since = 0
        return NumberedEvent(number, encoded)

    def _count_unnumbered(self, block: bytes) -> None:
        """Count a block that is no event, unless events have no numbers."""
        if self.last_number is None and _has_data(block):
            self._idle_bytes = 0
            return
        self._count_idle(len(block) + len(_SEPARATOR))

    def _count_idle(self, count: int) -> None:
        """Count bytes that are no event.

        Raises
        ------
        SequenceError
            When too many came since the last event.
        """
        self._idle_bytes += count
        if self._idle_bytes > _MAX_IDLE_BYTES:
            raise SequenceError('too many bytes that are no event')

    def _count_repeated(self, block: bytes) -> None:
        """Count an event that was received before.

        Raises
        ------
        SequenceError
            When too many came since the last new one.
        """
        self.repeated += 1
        self._repeated_since += 1
        self._repeated_bytes += len(block) + len(_SEPARATOR)
        if (
            self._repeated_bytes > _MAX_REPEATED_BYTES
            or self._repeated_since > self.last_number + _SPARE_REPEATED
        ):
            raise SequenceError('too many events that came before')


def _has_data(block: bytes) -> bool:
    return any(line.startswith(_DATA_FIELD) for line in block.split(b'\n'))


def _read_number(block: bytes) -> int | None:
    """Return the number of an event, ``None`` for a block without one.

    Raises
    ------
    SequenceError
        When it has too many digits.
    """
    if _ID_FIELD not in block:
        return None
    for line in block.split(b'\n'):
        if line.startswith(_ID_FIELD):
            digits = line[len(_ID_FIELD) :].strip()
            number = parse_digits(digits.decode(errors='replace'))
            if number is None and digits.isdigit():
                raise SequenceError('an event has a number of too many digits')
            return number
    return None
