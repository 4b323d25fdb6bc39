"""Use of this instance by workspaces: token buckets and demand."""

import math

import attrs

__all__ = ['Demand', 'TokenBucket', 'Usage']

#: Time constant in seconds of the decay of demand.
_DEMAND_SECONDS = 2.0


@attrs.frozen
class Demand:
    """Load that a workspace offers to an instance, refusals included.

    Attributes
    ----------
    requests, tokens
        Requests and prompt tokens per second.
    in_flight
        Prompt tokens of its requests in progress.
    """

    requests: float = 0
    tokens: float = 0
    in_flight: int = 0


@attrs.define
class TokenBucket:
    """A token bucket for a burst of one second, with overdraft.

    A prompt larger than the burst would never fit, so any prompt is admitted
    while there is credit; the debt then delays the next ones.
    """

    credit: float = 0
    filled_at: float = float('-inf')

    def fill(self, rate: float, now: float) -> None:
        """Add the credit earned since the last call, at most one burst."""
        burst = max(rate, 1)
        earned = (now - self.filled_at) * rate
        self.credit = min(burst, self.credit + earned)
        self.filled_at = now

    def wait(self, rate: float) -> float:
        """Return the seconds until there is credit, 0 if there is any."""
        if self.credit > 0:
            return 0
        return (1 - self.credit) / rate if rate > 0 else math.inf


@attrs.define
class Usage:
    """Use of this instance by one workspace."""

    requests: TokenBucket = attrs.field(factory=TokenBucket)
    tokens: TokenBucket = attrs.field(factory=TokenBucket)
    in_flight: int = 0
    in_progress: int = 0
    _finished_tokens: float = 0
    _decayed_requests: float = 0
    _decayed_tokens: float = 0
    _decayed_at: float = 0

    def record_request(self, tokens: int, now: float) -> None:
        """Add a request to the demand, whether it is admitted or not."""
        self._decay(now)
        self._decayed_requests += 1
        self._decayed_tokens += tokens

    def record_finished(self, tokens: int, now: float) -> None:
        """Record a request that has its final answer."""
        self._decay(now)
        self._finished_tokens += tokens

    def wait_for(self, tokens: float, now: float) -> float:
        """Return the seconds that as many tokens take at the recent rate."""
        self._decay(now)
        rate = self._finished_tokens / _DEMAND_SECONDS
        return tokens / rate if rate else math.inf

    def measure_demand(self, now: float) -> Demand:
        """Return the demand, averaged with exponential decay."""
        self._decay(now)
        return Demand(
            round(self._decayed_requests / _DEMAND_SECONDS, 1),
            round(self._decayed_tokens / _DEMAND_SECONDS),
            self.in_flight,
        )

    def is_idle(self, demand: Demand) -> bool:
        """Return whether the record can be removed without effect.

        A bucket in debt is kept: a new one would start with credit, and a
        large prompt would have cost nothing.
        """
        if (
            self.in_progress
            or min(self.requests.credit, self.tokens.credit) < 0
        ):
            return False
        return not (demand.requests or demand.tokens)

    def _decay(self, now: float) -> None:
        factor = math.exp((self._decayed_at - now) / _DEMAND_SECONDS)
        self._decayed_requests *= factor
        self._decayed_tokens *= factor
        self._finished_tokens *= factor
        self._decayed_at = now
