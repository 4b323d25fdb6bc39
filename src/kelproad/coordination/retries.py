"""Whether and when a failed request is sent to another endpoint.

Without a budget, failing engines multiply the load on the remaining ones:
every request is sent several times, the healthy engines slow down, deadlines
pass, and more requests fail.  With a budget, retries stay a small fraction of
the requests, whatever fails.
"""

import asyncio
import random

from ..state.budgets import RetryBudget
from ..state.counters import Counters
from ..state.declarations import Deployment
from ..state.requests import Decision, Request
from ..transport.deadlines import monotonic

__all__ = ['Retries']

#: Maximum number of unused retries that a service accumulates.
_BURST = 10
#: Retries a second granted to every service, however few its requests.
_MIN_PER_SECOND = 2.0
#: Upper bound of the first backoff, in seconds; doubled for each further one.
_FIRST_BACKOFF = 0.02
_DEFAULT_DEPLOYMENT = Deployment('', [])


class Retries:
    """Retry budgets by service, and randomized exponential backoff."""

    def __init__(self, counters: Counters, generator: random.Random) -> None:
        """Start with a full budget for each service."""
        self._counters = counters
        self._generator = generator
        self._budgets: dict[str, RetryBudget] = {}

    def count_request(self, request: Request) -> None:
        """Credit the service's budget for one request."""
        deployment = request.snapshot.deployment or _DEFAULT_DEPLOYMENT
        budget = self._budgets.setdefault(
            request.service.name,
            RetryBudget(
                deployment.retry_budget_percent,
                _BURST,
                _MIN_PER_SECOND,
            ),
        )
        budget.percent = deployment.retry_budget_percent
        budget.earn(monotonic())

    def affords(self, request: Request) -> bool:
        """Return whether the service's budget has a retry left."""
        return self._budgets[request.service.name].affords_one

    async def permit(self, request: Request, decision: Decision) -> bool:
        """Wait for the backoff and permit a retry, or refuse it at once.

        The backoff is random, so that requests which failed at the same time
        are not repeated at the same time.
        """
        pause = self._generator.uniform(
            0,
            _FIRST_BACKOFF * 2 ** max(request.attempts - 1, 0),
        )
        outcome = 'permitted'
        if request.remaining(monotonic()) <= pause:
            outcome = 'no time left'
        elif not self._budgets[request.service.name].spend():
            outcome = 'budget spent'
        self._counters.retries.inc({'outcome': outcome})
        decision.note('retry', outcome=outcome, pause=pause)
        if outcome != 'permitted':
            return False
        await asyncio.sleep(pause)
        return True
