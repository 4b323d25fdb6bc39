"""What workspaces use and may use here: token buckets and demand."""

import math

import attrs

__all__ = ['Demand', 'TokenBucket', 'Usage']

#: Seconds over which demand is averaged.
_DEMAND_SECONDS = 2.0


@attrs.frozen
class Demand:
    """What a workspace asks of one instance, refused requests included.

    Attributes
    ----------
    in_flight
        Prompt tokens of its requests in progress.
    """

    requests: float = 0
    tokens: float = 0
    in_flight: int = 0


@attrs.define
class TokenBucket:
    """A rate with a burst of one second; it may go into debt once.

    A prompt larger than the burst would never fit, so one is let through
    whenever there is credit, and the debt delays the next ones.
    """

    credit: float = 0
    filled_at: float = float('-inf')

    def fill(self, rate: float, now: float) -> None:
        """Add the credit earned since the last time."""
        burst = max(rate, 1)
        earned = (now - self.filled_at) * rate
        self.credit = min(burst, self.credit + earned)
        self.filled_at = now

    def wait(self, rate: float) -> float:
        """Return the seconds until there is credit, 0 if there is."""
        if self.credit > 0:
            return 0
        return (1 - self.credit) / rate if rate > 0 else math.inf


@attrs.define
class Usage:
    """One workspace's use of this instance."""

    requests: TokenBucket = attrs.field(factory=TokenBucket)
    tokens: TokenBucket = attrs.field(factory=TokenBucket)
    in_flight: int = 0
    in_progress: int = 0
    _finished_tokens: float = 0
    _asked_requests: float = 0
    _asked_tokens: float = 0
    _asked_at: float = 0

    def note_asked(self, tokens: int, now: float) -> None:
        """Count a request into the demand, whether it is let through or not."""
        self._decay(now)
        self._asked_requests += 1
        self._asked_tokens += tokens

    def note_finished(self, tokens: int, now: float) -> None:
        """Count a request that has its final answer."""
        self._decay(now)
        self._finished_tokens += tokens

    def wait_for(self, tokens: float, now: float) -> float:
        """Return the seconds in which as many tokens were finished lately."""
        self._decay(now)
        rate = self._finished_tokens / _DEMAND_SECONDS
        return tokens / rate if rate else math.inf

    def measure_demand(self, now: float) -> Demand:
        """Return the present demand."""
        self._decay(now)
        return Demand(
            round(self._asked_requests / _DEMAND_SECONDS, 1),
            round(self._asked_tokens / _DEMAND_SECONDS),
            self.in_flight,
        )

    def is_idle(self, demand: Demand) -> bool:
        """Tell whether forgetting this use would change nothing.

        A bucket in debt is remembered: a new one would start with credit, and
        a large prompt would have cost nothing.
        """
        if (
            self.in_progress
            or min(self.requests.credit, self.tokens.credit) < 0
        ):
            return False
        return not (demand.requests or demand.tokens)

    def _decay(self, now: float) -> None:
        factor = math.exp((self._asked_at - now) / _DEMAND_SECONDS)
        self._asked_requests *= factor
        self._asked_tokens *= factor
        self._finished_tokens *= factor
        self._asked_at = now
