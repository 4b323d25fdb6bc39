"""Event streams yield only the events of their attempt, in order."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from kelproad.protocol.events import EventSequence, SequenceError
from kelproad.protocol.eventstreams import EventSplitter

ATTEMPT = 'a-1:1f:7-1'


def encode(attempt: str, number: int, payload: bytes) -> bytes:
    return b'id: %b.%d\ndata: %b\n\n' % (attempt.encode(), number, payload)


@given(
    st.lists(st.sampled_from(['next', 'again', 'crossed']), max_size=40),
    st.integers(1, 50),
)
def test_crossed_and_doubled_events_are_dropped(
    kinds: list[str],
    size: int,
) -> None:
    """An engine mixes in events of another caller and repeats some.

    The caller must see its own events once each, in order, however the bytes
    are split into reads.
    """
    sent, number = b'', 0
    for kind in kinds:
        if kind == 'next':
            sent += encode(ATTEMPT, number, b'p%d' % number)
            number += 1
        elif kind == 'again' and number:
            sent += encode(ATTEMPT, number - 1, b'late')
        else:
            sent += encode('b-1:1f:7-1', number, b'stranger')
    sequence = EventSequence(ATTEMPT)
    events = [
        event
        for start in range(0, len(sent), size)
        for event in sequence.feed(sent[start : start + size])
    ]
    assert [event.payload for event in events] == [
        b'p%d' % index for index in range(number)
    ]
    assert sequence.repeated + sequence.crossed == len(kinds) - number


def test_gap_is_an_error() -> None:
    sequence = EventSequence(ATTEMPT)
    sequence.feed(encode(ATTEMPT, 0, b'x'))
    with pytest.raises(SequenceError):
        sequence.feed(encode(ATTEMPT, 2, b'y'))


def test_a_number_of_any_length_is_an_event_or_an_error() -> None:
    """Guards against an engine whose event number can't be computed with."""
    sent = b'id: %b.%b\ndata: x\n\n' % (ATTEMPT.encode(), b'9' * 5000)
    with pytest.raises(SequenceError):
        EventSequence(ATTEMPT).feed(sent)
    with pytest.raises(SequenceError):
        EventSplitter().feed(b'id: %b\ndata: x\n\n' % (b'9' * 5000))


@given(st.binary(max_size=200))
def test_any_bytes_are_events_or_an_error(received: bytes) -> None:
    try:
        events = EventSequence(ATTEMPT).feed(received)
    except SequenceError:
        return
    assert not events
