"""Rates learned from observations, robust to how far apart those are."""

import math

import attrs

__all__ = ['LearnedRate']

#: Share that one observation has once there are many.
_WEIGHT = 0.1


@attrs.define
class LearnedRate:
    """A geometric moving average.

    Ratios matter, not differences: an engine ten times slower and one ten
    times faster must move the average alike.

    Attributes
    ----------
    value
        The rate, ``None`` before the first observation.
    observations
        How many it was learned from.
    """

    value: float | None = None
    observations: int = 0

    def observe(self, rate: float) -> None:
        """Take in one observation."""
        self.observations += 1
        if self.value is None:
            self.value = rate
            return
        weight = max(_WEIGHT, 1 / self.observations)
        self.value *= math.pow(rate / self.value, weight)
