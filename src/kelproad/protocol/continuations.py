"""Continuing an answer on another engine, behind the text already delivered.

The body of the new dispatch is that of the first with one field more,
``continue_from``: the text so far.  An engine that honours it confirms with
``X-Continued-Bytes`` how many bytes of it stand before what it will send, and
counts them against the request's limit of tokens.
"""

import types
from collections.abc import Iterable, Mapping

import attrs
import msgspec

from .callers import CompletionBody

__all__ = [
    'Continuation',
    'ContinuationError',
    'is_deterministic',
    'read_text',
]

#: Fields under which an answer depends on nothing but the text before it.
#: Any other field (tools, log probabilities, an echo, a suffix, several
#: choices of which the best is kept) may give it a state that the text does
#: not show.
_HARMLESS = types.MappingProxyType(
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
    """What another engine sends is no continuation of the answer."""


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
        """Return the text, or ``None`` if there is more to it than text."""
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
    """What the caller has already, and what must go on from there.

    Attributes
    ----------
    first
        Raw fields of the first event that the caller got.
    """

    text: str
    first: dict[str, msgspec.Raw]

    @property
    def size(self) -> int:
        """Bytes of the text, as the engine must confirm them."""
        return len(self.text.encode())

    def encode_body(self, body: CompletionBody) -> bytes:
        """Encode the dispatch that asks for the rest."""
        fields = {**body.fields, 'stream': True, 'continue_from': self.text}
        return msgspec.json.encode(fields)

    def adapt(self, payload: bytes) -> bytes:
        """Give an event of the second engine the id of the first one's.

        Raises
        ------
        ContinuationError
            When another build of the model answers, whose text need not fit.
        """
        try:
            fields = msgspec.json.decode(payload, type=dict[str, msgspec.Raw])
        except msgspec.DecodeError as error:
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
    """Tell whether an answer is settled by its prompt and the text so far.

    That is so for one choice, drawn greedily or by a given seed, without any
    field that adds a state of its own.
    """
    if not fields.keys() <= _HARMLESS.keys() or _read(fields, 'n') not in {
        None,
        1,
    }:
        return False
    seeded = isinstance(_read(fields, 'seed'), int)
    return seeded or _read(fields, 'temperature') == 0


def read_text(payloads: Iterable[bytes]) -> str | None:
    """Join the text of events; ``None`` when they hold more than text.

    An answer whose last token has been delivered has nothing to continue.
    """
    parts = []
    for payload in payloads:
        try:
            chunk = msgspec.json.decode(payload, type=_Chunk)
        except msgspec.DecodeError:
            return None
        texts = [choice.read_text() for choice in chunk.choices]
        if None in texts:
            return None
        parts += texts
    return ''.join(parts)


def _read(fields: Mapping[str, msgspec.Raw], name: str) -> object:
    raw = fields.get(name)
    return None if raw is None else msgspec.json.decode(raw)
