"""Budgets that let a share of the requests be repeated, and no more."""

import attrs

__all__ = ['RetryBudget']


@attrs.define
class RetryBudget:
    """Credit that requests earn and retries spend.

    Attributes
    ----------
    percent
        Retries that a hundred requests earn.
    burst
        Most retries that can be saved up, and the credit at the start.
    per_second
        Retries that time earns, so that a service with few requests is not
        left without any.
    """

    percent: float
    burst: float
    per_second: float = 0
    _earned_at: float | None = attrs.field(init=False, default=None)
    _credit: float = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Start with a full burst."""
        self._credit = self.burst

    def earn(self, now: float) -> None:
        """Count a request, or the time since the last if that earns more."""
        since = 0 if self._earned_at is None else now - self._earned_at
        self._earned_at = now
        earned = max(self.percent / 100, since * self.per_second)
        self._credit = min(self.burst, self._credit + earned)

    @property
    def affords_one(self) -> bool:
        """Whether there is credit for a retry."""
        return self._credit >= 1

    def spend(self) -> bool:
        """Take one retry out, if there is one."""
        if not self.affords_one:
            return False
        self._credit -= 1
        return True
