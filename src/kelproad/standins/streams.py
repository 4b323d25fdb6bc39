"""One completion inside a stand-in engine: its prompt, answer and events."""

import asyncio
import hashlib
from collections.abc import Mapping
from typing import Self

import attrs
import msgspec

from ..transport.deadlines import monotonic
from .settings import EngineSettings
from .texts import compose_token, digest_prompt

__all__ = ['BLOCK_TOKENS', 'RawFields', 'Stream', 'count_tokens']

RawFields = dict[str, msgspec.Raw]
#: Bytes of prompt that count as one token.
_BYTES_PER_TOKEN = 4
#: Tokens of one block of the prefix cache.
BLOCK_TOKENS = 1024


@attrs.define(eq=False)
class Stream:
    """One completion in the engine.

    Attributes
    ----------
    to_prefill
        Prompt tokens that have not been prefilled yet.
    produced
        Tokens of the answer so far, including those of another engine that it
        continues.
    events
        Payloads of the events so far, including the terminal ``[DONE]``.
    connections
        Number of connections that the events are being sent on.
    """

    attempt_id: str
    owner: str
    priority: int
    deadline: float
    prompt_tokens: int
    max_tokens: int
    model: str
    chat: bool
    blocks: list[str]
    digest: str = ''
    fingerprint: str = ''
    to_prefill: int = 0
    produced: int = 0
    connections: int = 0
    admitted: bool = False
    done: bool = False
    cancelled: bool = False
    events: list[bytes] = attrs.field(factory=list)
    changed: asyncio.Condition = attrs.field(factory=asyncio.Condition)

    @classmethod
    def from_request(
        cls,
        headers: Mapping[str, str],
        fields: RawFields,
        settings: EngineSettings,
    ) -> Self:
        """Create a stream from the headers and body of a completion request."""
        chat = 'messages' in fields
        prompt = bytes(fields['messages' if chat else 'prompt'])
        limit = fields.get('max_tokens')
        return cls(
            attempt_id=headers['X-Attempt-Id'],
            owner=headers.get('X-Owner', ''),
            priority=int(headers.get('X-Priority', '0')),
            deadline=monotonic() + float(headers['X-Deadline-Seconds']),
            prompt_tokens=count_tokens(prompt),
            max_tokens=msgspec.json.decode(limit, type=int)
            if limit
            else settings.default_max_tokens,
            model=msgspec.json.decode(fields['model'], type=str),
            chat=chat,
            blocks=digest_blocks(prompt),
            digest=digest_prompt(msgspec.json.decode(prompt)),
            fingerprint=settings.fingerprint,
        )

    @classmethod
    def create_forged(cls, attempt_id: str, model: str, number: int) -> Self:
        """Create a stream of another prompt, from an event number on."""
        return cls(
            attempt_id=attempt_id,
            owner='',
            priority=0,
            deadline=monotonic(),
            prompt_tokens=1,
            max_tokens=number + 2,
            model=model,
            chat=False,
            blocks=[],
            digest='forged',
            produced=number,
            events=[b'{}' for _ in range(number)],
        )

    def continue_from(self, text: str) -> bool:
        """Continue a text; return false if the model would not produce it."""
        produced = text.count('#')
        expected = ''.join(
            compose_token(self.digest, position)
            for position in range(1, produced + 1)
        )
        if text != expected:
            return False
        self.produced = produced
        self.prompt_tokens += produced
        return True

    async def wait_for_events(self, number: int) -> None:
        """Wait until there are more than ``number`` events, or a cancel."""
        async with self.changed:
            while len(self.events) <= number and not self.cancelled:
                await self.changed.wait()

    @property
    def memory(self) -> int:
        """Tokens of KV cache that the stream needs until its end."""
        return self.prompt_tokens + self.max_tokens

    def encode_token(self, last: bool) -> bytes:
        """Encode the latest token as the payload of an event."""
        text = compose_token(self.digest, self.produced)
        part = (
            f'"delta": {{"role": "assistant", "content": "{text}"}}'
            if self.chat
            else f'"text": "{text}"'
        )
        kind = 'chat.completion.chunk' if self.chat else 'text_completion'
        reason = '"stop"' if last else 'null'
        return (
            f'{{"id": "{self.attempt_id}", "object": "{kind}", "created": 0, '
            f'"model": "{self.model}", '
            f'"system_fingerprint": "{self.fingerprint}", '
            f'"choices": [{{"index": 0, {part}, '
            f'"finish_reason": {reason}}}]}}'
        ).encode()


def count_tokens(prompt: bytes) -> int:
    """Return the number of tokens that a prompt counts as, at least 1."""
    return max(1, len(prompt) // _BYTES_PER_TOKEN)


def digest_blocks(prompt: bytes) -> list[str]:
    """Return a digest of each full block, which covers all before it too."""
    size = BLOCK_TOKENS * _BYTES_PER_TOKEN
    running = hashlib.blake2b(digest_size=8)
    digests = []
    for start in range(0, len(prompt) - size + 1, size):
        running.update(prompt[start : start + size])
        digests.append(running.hexdigest())
    return digests
