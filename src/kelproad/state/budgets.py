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
    """

    percent: float
    burst: float
    _credit: float = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Start with a full burst."""
        self._credit = self.burst

    def earn(self) -> None:
        """Count a request."""
        self._credit = min(self.burst, self._credit + self.percent / 100)

    def spend(self) -> bool:
        """Take one retry out, if there is one."""
        if self._credit < 1:
            return False
        self._credit -= 1
        return True
