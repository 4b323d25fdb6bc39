"""Rates learned from observations, robust to how far apart those are."""

import math
from typing import Self

import attrs

__all__ = ['LearnedRate']

#: Share that one observation has once there are many.
_WEIGHT = 0.1
#: Share by which a rate moves to the typical one each time it fades; with two
#: reports a second half of the difference is gone in about 30 s.
_FADING = 0.0115


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
        self._approach(rate, max(_WEIGHT, 1 / self.observations))

    def fade(self, typical: Self) -> None:
        """Move a little towards what is typical, for want of news."""
        if self.value and typical.value:
            self._approach(typical.value, _FADING)

    def _approach(self, rate: float, weight: float) -> None:
        self.value *= math.pow(rate / self.value, weight)
