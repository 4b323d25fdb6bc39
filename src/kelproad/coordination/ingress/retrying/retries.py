"""Limits on retries at other endpoints, shared by all instances.

Without a limit, failing endpoints multiply the load on the remaining ones.  The
operators limit the retries of all instances together: each instance may use its
part of the fixed allowance, and a share of the calls that it receives.
"""

from collections.abc import Callable

from ....state.budgets import RetryBudget
from ..settings import Bounds

__all__ = ['RetryBudgets']

#: Share of the permitted retries that is used: operators count in a sliding
#: window, so a call and its retry may fall in different ones.
_USED_SHARE = 0.7
#: Instances assumed at least, as their number is not known at first.
_MIN_INSTANCES = 6


class RetryBudgets:
    """Retry budgets of this instance, one for each service."""

    def __init__(
        self,
        read_bounds: Callable[[], Bounds],
        count_live: Callable[[], int],
    ) -> None:
        """Divide the bounds by the number of live instances."""
        self._read_bounds = read_bounds
        self._count_live = count_live
        self._budgets: dict[str, RetryBudget] = {}

    def count_call(self, service: str, now: float) -> None:
        """Add the share of a retry that a call earns."""
        self._find(service).earn(now)

    def affords(self, service: str) -> bool:
        """Return whether a retry would be permitted now; spend none."""
        return self._find(service).affords_one

    def spend(self, service: str) -> bool:
        """Spend a retry, or return false if none is left."""
        return self._find(service).spend()

    def _find(self, service: str) -> RetryBudget:
        instances = max(_MIN_INSTANCES, self._count_live())
        bounds = self._read_bounds()
        burst = bounds.retry_slack * _USED_SHARE / instances
        percent = 100 * bounds.retry_ratio * _USED_SHARE
        budget = self._budgets.get(service)
        if budget is None:
            budget = RetryBudget(percent, burst)
            self._budgets[service] = budget
        budget.burst = burst
        budget.percent = percent
        return budget
