"""Whether and when a failed request is sent to another endpoint.

Without a budget, failing engines multiply the load on those that are left:
every request is sent several times, the healthy engines slow down, deadlines
pass, and more requests fail.  With one, retries stay a small share whatever
fails.
"""

import asyncio
import random

from ..state.budgets import RetryBudget
from ..state.configuration import Deployment
from ..state.counters import Counters
from ..state.requests import Decision, Request
from ..transport.deadlines import monotonic

__all__ = ['Retries']

#: Retries of one service that can be saved up.
_BURST = 10
#: Retries a second that every service has, however few its requests.
_LEAST_PER_SECOND = 2.0
#: Bound on the first pause, in seconds; each further one may be twice as long.
_FIRST_PAUSE = 0.02
_FALLBACK = Deployment('', [])


class Retries:
    """Budgets by service, and pauses that spread retries out."""

    def __init__(self, counters: Counters, generator: random.Random) -> None:
        """Start with a full budget for each service."""
        self._counters = counters
        self._generator = generator
        self._budgets: dict[str, RetryBudget] = {}

    def count_request(self, request: Request) -> None:
        """Let a request earn its share of a retry."""
        deployment = request.snapshot.deployment or _FALLBACK
        budget = self._budgets.setdefault(
            request.service.name,
            RetryBudget(
                deployment.retry_budget_percent,
                _BURST,
                _LEAST_PER_SECOND,
            ),
        )
        budget.percent = deployment.retry_budget_percent
        budget.earn(monotonic())

    def affords(self, request: Request) -> bool:
        """Tell whether a retry would be permitted as far as the budget goes."""
        return self._budgets[request.service.name].affords_one

    async def permit(self, request: Request, decision: Decision) -> bool:
        """Wait a little and permit a retry, or refuse one at once.

        The pause is drawn at random, so that requests which failed together
        do not come again together.
        """
        pause = self._generator.uniform(
            0,
            _FIRST_PAUSE * 2 ** max(request.attempts - 1, 0),
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
