"""Outages of the store, as far as this instance knows of them."""

import math

from ....transport.deadlines import monotonic

__all__ = ['StoreOutages']


class StoreOutages:
    """When the store was lost here, and when it was back.

    Attributes
    ----------
    recovered_at
        Monotonic time at which it was last back, minus infinity if it was
        never away.
    """

    def __init__(self) -> None:
        """Start without an outage."""
        self.recovered_at = -math.inf
        #: Monotonic time at which it was lost, ``None`` while it answers.
        self._lost_at: float | None = None
        #: Seconds of all outages that have ended.
        self._lost_seconds = float(0)

    def begin(self) -> None:
        """Record that a call failed."""
        if self._lost_at is None:
            self._lost_at = monotonic()

    def end(self) -> None:
        """Record a valid answer after failed calls."""
        now = monotonic()
        if self._lost_at is not None:
            self._lost_seconds += now - self._lost_at
            self._lost_at = None
        self.recovered_at = now

    def adopt_recovery(self, recovered_for: float) -> None:
        """Adopt that the store was back so many seconds ago."""
        self.recovered_at = max(self.recovered_at, monotonic() - recovered_for)

    def measure_since_recovery(self) -> float:
        """Return the seconds since it was back; infinite if never away."""
        return monotonic() - self.recovered_at

    def read_answered_clock(self) -> float:
        """Read a clock in seconds that stands still during outages."""
        now = monotonic()
        until = now if self._lost_at is None else self._lost_at
        return until - self._lost_seconds
