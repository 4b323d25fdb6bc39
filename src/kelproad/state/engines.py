"""Predicted times of model engines, from figures their operator publishes.

An engine works in passes, each one iteration of its batch.  A pass prefills
waiting prompts and, when streams are decoding, also produces ``stride`` tokens
for each; no stream gets a token before the pass is over.  So a long prompt
that is prefilled in one piece delays the first token of its own request and
lengthens the gap between the events of every stream on that engine.  A
gap-tolerant stream belongs to a route that permits much longer gaps between
events than the strictest route of the service; the others are gap-sensitive.
"""

import enum
import math
from collections.abc import Iterable
from typing import Self

import attrs

__all__ = ['EngineProfile', 'LengthClass', 'StallLimits', 'classify_length']

#: Number of token pairs to which ``pair_seconds`` refers.
_PAIRS_PER_UNIT = 1_000_000
#: Number of context tokens to which ``context_seconds`` refers.
_CONTEXT_PER_UNIT = 1_000
#: Share of the gap objective that a pass may take; the rest is for work that is
#: sent to the engine meanwhile and that this instance does not know of.
_PASS_SHARE = 0.83
#: Ratio to the shortest gap objective from which on the streams of a route
#: count as gap-tolerant.
_TOLERANT_RATIO = 2.0
#: Lower bounds of the middle and the long class of prompt length, in tokens.
_SHORT_LIMIT = 10_000
_MIDDLE_LIMIT = 100_000


class LengthClass(enum.IntEnum):
    """Classes of prompt length; the value is the priority at the engine."""

    SHORT = 0
    MIDDLE = 1
    LONG = 2


def classify_length(prompt_tokens: int) -> LengthClass:
    """Return the length class of a prompt."""
    if prompt_tokens < _SHORT_LIMIT:
        return LengthClass.SHORT
    if prompt_tokens < _MIDDLE_LIMIT:
        return LengthClass.MIDDLE
    return LengthClass.LONG


@attrs.frozen
class StallLimits:
    """Maximum seconds of a pass, by the streams that it stalls.

    Attributes
    ----------
    gap_sensitive
        Maximum while any gap-sensitive stream is decoding.
    gap_tolerant
        Maximum while all decoding streams are gap-tolerant.
    tolerant_gap
        Smallest gap objective in seconds of a gap-tolerant route.
    """

    gap_sensitive: float = math.inf
    gap_tolerant: float = math.inf
    tolerant_gap: float = math.inf

    @classmethod
    def from_gaps(cls, gaps: Iterable[float]) -> Self:
        """Derive the limits from the gap objectives of the routes."""
        ordered = sorted(gaps)
        shortest = ordered[0] if ordered else math.inf
        tolerant = min(
            (gap for gap in ordered if gap >= shortest * _TOLERANT_RATIO),
            default=shortest,
        )
        return cls(
            gap_sensitive=shortest * _PASS_SHARE,
            gap_tolerant=tolerant * _PASS_SHARE,
            tolerant_gap=tolerant if tolerant > shortest else math.inf,
        )

    def is_gap_tolerant(self, gap_objective: float) -> bool:
        """Return whether streams with this gap objective are gap-tolerant."""
        return gap_objective >= self.tolerant_gap


@attrs.frozen
class EngineProfile:
    """Published speeds and sizes of the engines of one service.

    Attributes
    ----------
    slots
        Maximum number of requests in one engine's batch.
    memory_tokens
        Size of one engine's KV cache in tokens.
    stride
        Decode steps in a pass with decoding streams.
    step_seconds
        Base time of a decode step.
    stream_seconds
        Time that each decoding stream adds to a step.
    context_seconds
        Time that each thousand tokens of context add to a step.
    tokens_per_second
        Prompt tokens prefilled per second.
    pair_seconds
        Time for the attention of a million pairs of a prompt token and an
        earlier one.
    hop_seconds
        Time added to a step when other engines hold a part of the prompt.
    stall_limits
        Stall limits of the service's streams.
    """

    slots: int = 8
    memory_tokens: int = 200_000
    stride: int = 1
    step_seconds: float = 0.03
    stream_seconds: float = 0
    context_seconds: float = 0
    tokens_per_second: float = 15_000.0
    pair_seconds: float = 0
    hop_seconds: float = 0
    stall_limits: StallLimits = attrs.field(factory=StallLimits)

    def predict_prefill(self, tokens: int) -> float:
        """Predict the seconds in which one engine prefills a whole prompt."""
        pairs = tokens * tokens / 2
        return (
            tokens / self.tokens_per_second
            + pairs / _PAIRS_PER_UNIT * self.pair_seconds
        )

    def predict_decode(self, streams: int, context: int) -> float:
        """Predict the seconds of the decode steps of one pass.

        Parameters
        ----------
        streams
            Number of decoding streams.
        context
            Tokens of context of all these streams.
        """
        step = (
            self.step_seconds
            + streams * self.stream_seconds
            + context / _CONTEXT_PER_UNIT * self.context_seconds
        )
        return self.stride * step
