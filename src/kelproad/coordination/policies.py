"""Baseline routing policies, selectable by configuration for comparison.

They correspond to the policies of general-purpose proxies.  Requests in flight
are those of this instance alone, as a proxy counts them; tokens in flight are
those of all instances, which a proxy does not know.
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
    """The chosen endpoint and the candidates it was compared with.

    Attributes
    ----------
    best
        The chosen candidate.
    considered
        All candidates that were scored, the chosen one included.
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
        """Predicted seconds to the first token; 0 for a baseline policy."""
        return self.best.predicted

    def describe(self) -> dict[str, object]:
        """Return the scores of all candidates, for the decision log."""
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


def _choose_round_robin(search: Search) -> Choice | None:
    usable = list_usable(search, None)
    if not usable:
        return None
    turn = search.table.next_turn(search.request.service.name)
    best = Candidate(usable[turn % len(usable)], predicted=0, score=0)
    return Choice(best, [best], search.now)


def _choose_least(
    measure: Callable[[Endpoint], float],
) -> Choose:
    def choose(search: Search) -> Choice | None:
        usable = list_usable(search, None)
        if not usable:
            return None
        # Shuffle, so that ties are broken at random.
        search.generator.shuffle(usable)
        candidates = [
            Candidate(endpoint, predicted=0, score=measure(endpoint))
            for endpoint in usable
        ]
        best = min(candidates, key=lambda candidate: candidate.score)
        return Choice(best, candidates, search.now)

    return choose


def _count_requests(endpoint: Endpoint) -> float:
    return endpoint.own_requests


def _count_tokens(endpoint: Endpoint) -> float:
    reported = endpoint.report.waiting_tokens if endpoint.report else 0
    return max(reported, endpoint.own_tokens + endpoint.peer_tokens)


BASELINES: types.MappingProxyType[Policy, Choose] = types.MappingProxyType(
    {
        Policy.ROUND_ROBIN: _choose_round_robin,
        Policy.ROUND_ROBIN_PRIORITY: _choose_round_robin,
        Policy.LEAST_REQUESTS: _choose_least(_count_requests),
        Policy.LEAST_TOKENS: _choose_least(_count_tokens),
    }
)
