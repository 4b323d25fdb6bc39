"""Rules for continuing and buffering answers, tested without engines."""

import json

import msgspec
import pytest

from kelproad.coordination.answers import DeliveryError
from kelproad.coordination.delivery import BufferedDelivery
from kelproad.coordination.relays import EventTimeouts
from kelproad.protocol.continuations import (
    Continuation,
    ContinuationError,
    is_deterministic,
    read_text,
)
from kelproad.protocol.events import DONE, Event, EventSequence
from kelproad.state.buffers import EVENT_OVERHEAD, BufferBudget


def encode(**fields: object) -> bytes:
    return json.dumps(fields).encode()


def raw_fields(**fields: object) -> dict[str, msgspec.Raw]:
    return msgspec.json.decode(
        encode(model='m', prompt='p', **fields),
        type=dict[str, msgspec.Raw],
    )


@pytest.mark.parametrize(
    ('fields', 'expected'),
    [
        ({}, False),
        ({'temperature': 0}, True),
        ({'temperature': 0, 'n': 1}, True),
        ({'temperature': 0.7}, False),
        ({'temperature': 0.7, 'seed': 3}, True),
        ({'seed': None}, False),
        ({'temperature': 0, 'n': 2}, False),
        ({'temperature': 0, 'logprobs': 1}, False),
        ({'temperature': 0, 'tools': []}, False),
        ({'temperature': 0, 'echo': True}, False),
    ],
)
def test_only_a_deterministic_answer_is_continued(
    fields: dict[str, object],
    expected: bool,
) -> None:
    assert is_deterministic(raw_fields(**fields)) is expected


def test_text_of_events() -> None:
    text = encode(choices=[{'index': 0, 'text': 'a'}])
    chat = encode(choices=[{'index': 0, 'delta': {'content': 'b'}}])
    assert read_text([text, chat]) == 'ab'
    last = {'index': 0, 'text': 'c', 'finish_reason': 'stop'}
    assert read_text([encode(choices=[last])]) is None
    assert read_text([text, b'{"choices": [{"index": 1}]}']) is None
    assert read_text([DONE]) is None


def test_another_build_of_a_model_is_rejected() -> None:
    """Two engines run different builds of a model during a rollout.

    Their texts may differ, so the second build must not continue the first.
    """
    continuation = Continuation(
        'a',
        raw_fields(id='first', system_fingerprint='one'),
    )
    adapted = continuation.rewrite_event(
        encode(id='other', system_fingerprint='one')
    )
    assert json.loads(adapted)['id'] == 'first'
    with pytest.raises(ContinuationError):
        continuation.rewrite_event(encode(id='other', system_fingerprint='two'))


def test_nothing_follows_the_terminal_event() -> None:
    """An engine sends more events after its [DONE] in the same packet."""
    sent = b'id: a.0\ndata: [DONE]\n\nid: a.1\ndata: {}\n\n'
    assert EventSequence('a').feed(sent) == [Event(0, DONE)]


def test_event_timeouts_leave_time_for_another_engine() -> None:
    assert EventTimeouts.from_prediction(0.1, 60).first == 3
    assert EventTimeouts.from_prediction(0.1, 4).first == 2
    assert EventTimeouts.from_prediction(10, 60).first == 30
    assert EventTimeouts.from_prediction(10, 12).first == 15


async def test_buffered_answers_take_bounded_memory() -> None:
    """Buffered answers need more memory than their budget allows.

    An answer beyond the limit of one answer is refused for good, one beyond
    the limit of all answers with a time to retry.  The memory of a delivery
    is released with its response.
    """
    size = 100 - EVENT_OVERHEAD
    event = Event(0, b'x' * size)
    budget = BufferBudget(300, 200)
    first = BufferedDelivery(True, 'r-1', budget)
    await first.deliver([event, event])
    with pytest.raises(DeliveryError) as raised:
        await first.deliver([event])
    assert raised.value.refusal.code == 'answer_too_large'
    second = BufferedDelivery(True, 'r-2', budget)
    await second.deliver([event])
    with pytest.raises(DeliveryError) as raised:
        await second.deliver([event])
    assert raised.value.refusal.code == 'no_capacity'
    assert raised.value.refusal.retry_after
    response = await first.finish()
    del first, raised  # noqa: WPS420  the response keeps it alive
    assert budget.used == 300
    del response  # noqa: WPS420
    assert budget.used == 100


async def test_events_that_cannot_be_joined_are_refused() -> None:
    delivery = BufferedDelivery(False, 'r-1', BufferBudget(1000, 1000))
    with pytest.raises(DeliveryError) as raised:
        await delivery.deliver([Event(0, b'no json'), Event(1, DONE)])
    assert raised.value.refusal.code == 'endpoint_failed'
