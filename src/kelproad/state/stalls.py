"""Limits on stalls of a service's streams, from its routes' objectives.

A stream stalls while a pass of its engine takes long.  A gap-tolerant stream
belongs to a route that permits much longer gaps between events than the
strictest route of the service; the others are gap-sensitive.
"""

import math
from collections.abc import Iterable
from typing import Self

import attrs

__all__ = ['StallLimits']

#: Share of the gap objective that a pass may take; the rest is for work that is
#: sent to the engine meanwhile and that this instance does not know of.
_PASS_SHARE = 0.83
#: Ratio to the shortest gap objective from which on the streams of a route
#: count as gap-tolerant.
_TOLERANT_RATIO = 2.0


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
