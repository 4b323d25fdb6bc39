"""Completions in the OpenAI format: event streams and single JSON answers."""

import types
from collections.abc import Iterable

import msgspec

from ..state.problems import UNREADABLE_ERRORS
from .events import DONE

__all__ = [
    'MalformedAnswerError',
    'assemble_answer',
    'encode_events',
    'encode_error_event',
]


class MalformedAnswerError(Exception):
    """The events of an answer cannot be joined into one JSON answer."""


Fields = dict[str, object]

_JOINED_OBJECTS = types.MappingProxyType(
    {
        'text_completion': 'text_completion',
        'chat.completion.chunk': 'chat.completion',
    }
)


#: Exceptions raised in joining by a payload that is no part of a completion.
_MALFORMED_ERRORS: tuple[type[Exception], ...] = (
    *UNREADABLE_ERRORS,
    AttributeError,
    KeyError,
    TypeError,
)


def encode_events(payloads: Iterable[bytes]) -> bytes:
    """Encode event payloads as server-sent events without ids."""
    return b''.join([b'data: %b\n\n' % payload for payload in payloads])


def encode_error_event(refusal: bytes) -> bytes:
    """Encode the event that reports that an answer was aborted.

    No ``[DONE]`` follows it, so a client cannot mistake the answer for a
    complete one.
    """
    return b'event: error\ndata: %b\n\n' % refusal


def assemble_answer(payloads: Iterable[bytes]) -> bytes:
    """Join the events of a stream into one JSON answer.

    Raises
    ------
    MalformedAnswerError
        When a payload is no part of a completion.
    """
    try:
        return msgspec.json.encode(_join_chunks(payloads))
    except _MALFORMED_ERRORS as error:
        raise MalformedAnswerError(repr(error)) from error


def _join_chunks(payloads: Iterable[bytes]) -> Fields:
    answer: Fields = {}
    choices: dict[int, Fields] = {}
    for payload in payloads:
        if payload == DONE:
            continue
        chunk = msgspec.json.decode(payload, type=Fields)
        for choice in chunk.pop('choices', []):
            _join_choice(choices.setdefault(choice['index'], {}), choice)
        answer.update(chunk)
    kind = str(answer.get('object', ''))
    answer['object'] = _JOINED_OBJECTS.get(kind, kind)
    answer['choices'] = [choices[index] for index in sorted(choices)]
    return answer


def _join_choice(joined: Fields, part: Fields) -> None:
    """Append one event's part of a choice to the parts before it."""
    for name, added in part.items():
        if name == 'text':
            joined['text'] = str(joined.get('text', '')) + str(added)
        elif name == 'delta':
            message = joined.setdefault('message', {'content': ''})
            _join_message(message, added)
        elif added is not None or name not in joined:
            joined[name] = added


def _join_message(message: Fields, delta: Fields) -> None:
    for name, added in delta.items():
        if name == 'content':
            message['content'] = str(message['content']) + str(added or '')
        else:
            message[name] = added
