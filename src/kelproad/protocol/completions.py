"""Completions in the OpenAI shape: event streams and whole JSON answers."""

import types
from collections.abc import Iterable

import msgspec

from .events import DONE

__all__ = [
    'MalformedAnswerError',
    'assemble_answer',
    'encode_events',
    'encode_refused_event',
]


class MalformedAnswerError(Exception):
    """The events of an answer do not join into one."""


Fields = dict[str, object]

_WHOLE_OBJECTS = types.MappingProxyType(
    {
        'text_completion': 'text_completion',
        'chat.completion.chunk': 'chat.completion',
    }
)


#: How a payload that is no part of a completion shows while joining.
_MALFORMED = (msgspec.DecodeError, AttributeError, KeyError, TypeError)


def encode_events(payloads: Iterable[bytes]) -> bytes:
    """Encode event payloads as server-sent events without ids."""
    return b''.join([b'data: %b\n\n' % payload for payload in payloads])


def encode_refused_event(refusal: bytes) -> bytes:
    """Encode the event that tells of an answer that was broken off.

    No ``[DONE]`` follows it, so a client cannot take it for an end.
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
    except _MALFORMED as error:
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
    answer['object'] = _WHOLE_OBJECTS.get(kind, kind)
    answer['choices'] = [choices[index] for index in sorted(choices)]
    return answer


def _join_choice(joined: Fields, part: Fields) -> None:
    """Append one event's part of a choice to what came before."""
    for name, fresh in part.items():
        if name == 'text':
            joined['text'] = str(joined.get('text', '')) + str(fresh)
        elif name == 'delta':
            message = joined.setdefault('message', {'content': ''})
            _join_message(message, fresh)
        elif fresh is not None or name not in joined:
            joined[name] = fresh


def _join_message(message: Fields, delta: Fields) -> None:
    for name, fresh in delta.items():
        if name == 'content':
            message['content'] = str(message['content']) + str(fresh or '')
        else:
            message[name] = fresh
