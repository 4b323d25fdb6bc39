"""Predicted times of model engines, from figures their operator publishes.

An engine works in passes, each one iteration of its batch.  A pass prefills
waiting prompts and, when streams are decoding, also produces ``stride`` tokens
for each; no stream gets a token before the pass is over.  So a long prompt
that is prefilled in one piece delays the first token of its own request and
lengthens the gap between the events of every stream on that engine.
"""

import attrs

from .stalls import StallLimits

__all__ = ['EngineProfile']

#: Number of token pairs to which ``pair_seconds`` refers.
_PAIRS_PER_UNIT = 1_000_000
#: Number of context tokens to which ``context_seconds`` refers.
_CONTEXT_PER_UNIT = 1_000


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
