"""Continuation of an answer on another engine, after the delivered text.

The body of the new dispatch is that of the first with an additional field,
``continue_from``: the text so far.  An engine that supports it confirms with
``X-Continued-Bytes`` how many bytes of it precede the text that it will send,
and counts them against the request's limit of tokens.
"""

import types
from collections.abc import Iterable, Mapping

import attrs
import msgspec

from ..state.problems import UNREADABLE_ERRORS
from .callers import CompletionBody

__all__ = [
    'Continuation',
    'ContinuationError',
    'is_deterministic',
    'read_text',
]

#: Fields with which an answer depends only on the text before it.  Any other
#: field (tools, log probabilities, an echo, a suffix, several choices of which
#: the best is kept) may add state that the text does not show.
_STATELESS = types.MappingProxyType(
    dict.fromkeys(
        (
            'max_completion_tokens',
            'max_tokens',
            'messages',
            'model',
            'n',
            'prompt',
            'seed',
            'stop',
            'stream',
            'stream_options',
            'temperature',
            'top_p',
            'user',
        ),
    ),
)


class ContinuationError(Exception):
    """The events of another engine do not continue the answer."""


@attrs.frozen
class _Delta:
    role: str | None = None
    content: str | None = None


@attrs.frozen
class _Choice:
    index: int
    text: str | None = None
    delta: _Delta | None = None
    finish_reason: str | None = None
    logprobs: object = None

    def read_text(self) -> str | None:
        """Return the text, or ``None`` if the choice has more than text."""
        if self.index or self.finish_reason or self.logprobs is not None:
            return None
        content = self.delta.content if self.delta else self.text
        return content or ''


@attrs.frozen
class _Chunk:
    choices: list[_Choice]
    system_fingerprint: str | None = None


@attrs.frozen
class Continuation:
    """The delivered part of an answer, which another engine continues.

    Attributes
    ----------
    first
        Raw fields of the first event sent to the caller.
    """

    text: str
    first: dict[str, msgspec.Raw]

    @property
    def size(self) -> int:
        """Number of bytes of the text, which the engine must confirm."""
        return len(self.text.encode())

    def encode_body(self, body: CompletionBody) -> bytes:
        """Encode the body that requests the rest of the answer."""
        fields = {**body.fields, 'stream': True, 'continue_from': self.text}
        return msgspec.json.encode(fields)

    def rewrite_event(self, payload: bytes) -> bytes:
        """Give an event of the second engine the first event's id and time.

        Raises
        ------
        ContinuationError
            When the event is malformed, or comes from another build of the
            model, whose text may not fit.
        """
        try:
            fields = msgspec.json.decode(payload, type=dict[str, msgspec.Raw])
        except UNREADABLE_ERRORS as error:
            raise ContinuationError(str(error)) from error
        name = 'system_fingerprint'
        if fields.get(name) != self.first.get(name):
            raise ContinuationError('another build of the model answers')
        kept = {
            field: self.first[field]
            for field in ('id', 'created')
            if field in self.first
        }
        return msgspec.json.encode({**fields, **kept})


def is_deterministic(fields: Mapping[str, msgspec.Raw]) -> bool:
    """Return whether the prompt and the text so far determine an answer.

    They do for one choice, sampled greedily or with a given seed, without any
    field that adds state.
    """
    if not fields.keys() <= _STATELESS.keys() or _decode(fields, 'n') not in {
        None,
        1,
    }:
        return False
    seeded = isinstance(_decode(fields, 'seed'), int)
    return seeded or _decode(fields, 'temperature') == 0


def read_text(payloads: Iterable[bytes]) -> str | None:
    """Join the text of events; ``None`` if they contain more than text.

    That includes a finish reason: nothing is left to continue after it.
    """
    parts = []
    for payload in payloads:
        try:
            chunk = msgspec.json.decode(payload, type=_Chunk)
        except UNREADABLE_ERRORS:
            return None
        texts = [choice.read_text() for choice in chunk.choices]
        if None in texts:
            return None
        parts += texts
    return ''.join(parts)


def _decode(fields: Mapping[str, msgspec.Raw], name: str) -> object:
    raw = fields.get(name)
    return None if raw is None else msgspec.json.decode(raw)
