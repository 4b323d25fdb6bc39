"""How many calls may be sent to a second endpoint, over all instances.

Without a bound, failing endpoints multiply the load on those that are left.
The operators bound the retries of all instances together; each instance takes
its part of what is free for all, and a share of its own calls.
"""

from collections.abc import Callable

from ...state.budgets import RetryBudget
from .settings import Bounds

__all__ = ['SharedRetries']

#: Part of the permitted retries that is used: the window slides and a call may
#: arrive in another one than its retry.
_USED_PART = 0.7
#: Instances assumed while it is not known how many there are.
_LEAST_INSTANCES = 6


class SharedRetries:
    """Retry budgets by service."""

    def __init__(
        self,
        read_bounds: Callable[[], Bounds],
        count_live: Callable[[], int],
    ) -> None:
        """Take an instance's part of the bounds."""
        self._read_bounds = read_bounds
        self._count_live = count_live
        self._budgets: dict[str, RetryBudget] = {}

    def count_call(self, service: str, now: float) -> None:
        """Let a call earn its share of a retry."""
        self._find(service).earn(now)

    def affords(self, service: str) -> bool:
        """Tell whether a retry would be permitted now."""
        return self._find(service).affords_one

    def spend(self, service: str) -> bool:
        """Take a retry out, if there is one."""
        return self._find(service).spend()

    def _find(self, service: str) -> RetryBudget:
        instances = max(_LEAST_INSTANCES, self._count_live())
        bounds = self._read_bounds()
        burst = bounds.retry_slack * _USED_PART / instances
        budget = self._budgets.get(service)
        if budget is None:
            percent = 100 * bounds.retry_ratio * _USED_PART
            budget = RetryBudget(percent, burst)
            self._budgets[service] = budget
        budget.burst = burst
        return budget
