"""Rates learned from observations that may differ by large factors."""

import math
from typing import Self

import attrs

__all__ = ['FailureShare', 'LearnedRate']

#: Weight of one observation once there are many.
_WEIGHT = 0.1
#: Weight of the typical rate in one decay step; with two reports a second half
#: of the difference is gone after about 30 s.
_DECAY_WEIGHT = 0.0115


@attrs.define
class LearnedRate:
    """A geometric moving average.

    Ratios matter, not differences: an engine ten times slower and one ten
    times faster move the average equally.

    Attributes
    ----------
    value
        The rate, ``None`` before the first observation.
    observations
        Number of observations.
    """

    value: float | None = None
    observations: int = 0

    def observe(self, rate: float) -> None:
        """Move the average towards one observation."""
        self.observations += 1
        if self.value is None:
            self.value = rate
            return
        self._approach(rate, max(_WEIGHT, 1 / self.observations))

    def decay_towards(self, typical: Self) -> None:
        """Move a little towards a typical rate, for lack of observations."""
        if self.value and typical.value:
            self._approach(typical.value, _DECAY_WEIGHT)

    def _approach(self, rate: float, weight: float) -> None:
        self.value *= math.pow(rate / self.value, weight)


#: Weight of one outcome in a share of failures: three failures in a row raise
#: it to 0.66, at which an endpoint gets work only when others are busy.
_OUTCOME_WEIGHT = 0.3
#: Seconds in which a share of failures halves without outcomes, so that an
#: endpoint that has recovered is tried again.
_HALF_LIFE = 4.0


@attrs.define
class FailureShare:
    """Share of the latest attempts at an endpoint that failed."""

    _share: float = 0
    _updated_at: float = 0

    def observe(self, failed: bool, now: float) -> None:
        """Update the share by the outcome of one attempt."""
        held = self.estimate(now)
        self._share = held + (failed - held) * _OUTCOME_WEIGHT
        self._updated_at = now

    def estimate(self, now: float) -> float:
        """Return the share, 0 to 1, decayed since the last outcome."""
        return self._share * 0.5 ** ((now - self._updated_at) / _HALF_LIFE)
