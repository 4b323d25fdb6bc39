"""Budgets that bound the share of requests that are retried."""

import attrs

__all__ = ['RetryBudget']


@attrs.define
class RetryBudget:
    """Credit that requests earn and retries spend.

    Attributes
    ----------
    percent
        Retries earned per hundred requests.
    burst
        Initial credit, and the maximum one unless that is less than a retry.
    per_second
        Retries earned per second, so that a service with few requests has some
        too.
    """

    percent: float
    burst: float
    per_second: float = 0
    _earned_at: float | None = attrs.field(init=False, default=None)
    _credit: float = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Start with the maximum credit."""
        self._credit = self.burst

    def earn(self, now: float) -> None:
        """Add the credit for a request, or for the time since if it is more."""
        since = 0 if self._earned_at is None else now - self._earned_at
        self._earned_at = now
        earned = max(self.percent / 100, since * self.per_second)
        self._credit = min(max(1, self.burst), self._credit + earned)

    @property
    def affords_one(self) -> bool:
        """Whether there is credit for a retry."""
        return self._credit >= 1

    def spend(self) -> bool:
        """Spend one retry; false when the credit does not cover it."""
        if not self.affords_one:
            return False
        self._credit -= 1
        return True
