"""Baselines that routing is measured against, selectable by configuration.

They do what plain proxies do.  Requests in flight are this instance's own, as
a proxy counts them; tokens in flight are those of all instances, which is more
than a proxy knows.
"""

import types
from collections.abc import Callable

import attrs

from ..state.declarations import Policy
from ..state.endpoints import Endpoint
from .candidates import Search, list_usable
from .prediction import Candidate

__all__ = ['BASELINES', 'Choice']


@attrs.frozen
class Choice:
    """The chosen endpoint with what was weighed.

    Attributes
    ----------
    best
        The chosen one.
    considered
        All candidates that were weighed, the chosen one among them.
    chosen_at
        Monotonic time of the decision.
    """

    best: Candidate
    considered: list[Candidate]
    chosen_at: float

    @property
    def endpoint(self) -> Endpoint:
        """The chosen endpoint."""
        return self.best.endpoint

    @property
    def predicted(self) -> float:
        """Predicted seconds to the first token; 0 by a baseline."""
        return self.best.predicted

    def describe(self) -> dict[str, object]:
        """Describe the choice for people who ask why."""
        return {
            'endpoint': self.endpoint.name,
            'predicted': self.predicted,
            'considered': {
                candidate.endpoint.name: {
                    'predicted': candidate.predicted,
                    'score': candidate.score,
                    'ahead': candidate.ahead,
                    'cached': candidate.cached,
                }
                for candidate in self.considered
            },
        }


Choose = Callable[[Search], Choice | None]


def _choose_in_turn(search: Search) -> Choice | None:
    usable = list_usable(search, None)
    if not usable:
        return None
    turn = search.table.take_turn(search.request.service.name)
    best = Candidate(usable[turn % len(usable)], predicted=0, score=0)
    return Choice(best, [best], search.now)


def _choose_least(
    measure: Callable[[Endpoint], float],
) -> Choose:
    def choose(search: Search) -> Choice | None:
        usable = list_usable(search, None)
        if not usable:
            return None
        # Shuffled, so that equal ones are not always taken in one order.
        search.generator.shuffle(usable)
        weighed = [
            Candidate(endpoint, predicted=0, score=measure(endpoint))
            for endpoint in usable
        ]
        best = min(weighed, key=lambda candidate: candidate.score)
        return Choice(best, weighed, search.now)

    return choose


def _count_requests(endpoint: Endpoint) -> float:
    return endpoint.own_requests


def _count_tokens(endpoint: Endpoint) -> float:
    reported = endpoint.report.waiting_tokens if endpoint.report else 0
    return max(reported, endpoint.own_tokens + endpoint.peer_tokens)


BASELINES: types.MappingProxyType[Policy, Choose] = types.MappingProxyType(
    {
        Policy.ROUND_ROBIN: _choose_in_turn,
        Policy.ROUND_ROBIN_PRIORITY: _choose_in_turn,
        Policy.LEAST_REQUESTS: _choose_least(_count_requests),
        Policy.LEAST_TOKENS: _choose_least(_count_tokens),
    }
)
