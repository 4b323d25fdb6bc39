"""Deterministic text of the answers of a stand-in engine.

Each token depends only on the prompt and its position in the answer, so that a
test can check whether an answer is complete and belongs to its prompt.
"""

import hashlib

import msgspec

__all__ = ['compose_answer', 'compose_token', 'digest_prompt']

_DIGEST_BYTES = 4


def digest_prompt(prompt: object) -> str:
    """Digest a prompt or a list of messages, whatever the JSON white space."""
    encoded = msgspec.json.encode(prompt)
    return hashlib.blake2b(encoded, digest_size=_DIGEST_BYTES).hexdigest()


def compose_token(digest: str, position: int) -> str:
    """Compose the text of one position, counted from 1."""
    return f'{digest}#{position} '


def compose_answer(prompt: object, tokens: int) -> str:
    """Compose the complete answer to a prompt."""
    digest = digest_prompt(prompt)
    return ''.join(
        compose_token(digest, position) for position in range(1, tokens + 1)
    )
