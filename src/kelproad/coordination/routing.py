"""Choosing the endpoint of an attempt.

A prompt's length class sets its priority at the engine and how many endpoints
are sampled.
"""

import random
import types

from returns.result import Failure, Result, Success

from ..state.configuration import Snapshot
from ..state.declarations import Policy
from ..state.endpoints import Endpoint, EndpointTable
from ..state.lengths import LengthClass, classify_length
from ..state.refusals import Refusal, RefusalCode, Step
from ..state.requests import Request
from .candidates import Search, draw
from .feasibility import learn_stretch, measure_lateness, refuse_hopeless
from .policies import BASELINES, Choice
from .prediction import Candidate, learn_rate, weigh_endpoint

__all__ = [
    'Choice',
    'LengthClass',
    'choose_endpoint',
    'choose_priority',
    'classify_length',
    'has_usable',
    'note_first_token',
]

#: Seconds of waiting up to which an endpoint of the own zone is good enough.
_SOON_SECONDS = 0.01
#: How much better an endpoint of another zone must be.
_STAY_RATIO = 1.25
#: Seconds after which a refused caller may find capacity, at the least.
MINIMUM_RETRY_AFTER = 0.5

_NONE: frozenset[str] = frozenset()
_SAMPLE_SIZES = types.MappingProxyType(
    {
        LengthClass.SHORT: 2,
        LengthClass.MIDDLE: 4,
        LengthClass.LONG: 8,
    }
)
_WITHOUT_PRIORITY = frozenset(
    (Policy.ROUND_ROBIN, Policy.LEAST_REQUESTS, Policy.LEAST_TOKENS),
)


def choose_priority(request: Request) -> int:
    """Choose the priority of a request at the engine; lower goes first."""
    if _policy_of(request.snapshot) in _WITHOUT_PRIORITY:
        return LengthClass.SHORT
    return classify_length(request.prompt_tokens)


def choose_endpoint(
    request: Request,
    table: EndpointTable,
    zone: str,
    now: float,
    generator: random.Random,
    tried: frozenset[str] = _NONE,
) -> Result[Choice, Refusal]:
    """Choose an endpoint by the policy of the deployment.

    Parameters
    ----------
    request
        The request to place.
    table
        Endpoints as known here.
    zone
        The instance's own availability zone.
    now
        Monotonic time, in seconds.
    generator
        Source of the samples.
    tried
        Endpoints that this request must not be sent to again.

    Returns
    -------
    Result
        The choice, or a refusal that says when to come back.
    """
    search = Search(request, table, zone, now, generator, tried)
    choose = BASELINES.get(_policy_of(request.snapshot), _choose_predicted)
    choice = choose(search)
    if choice is None:
        return Failure(_refuse_none(request))
    best = choice.best
    computing = best.predicted - best.waiting
    table.note_contention(request.prompt_tokens, best.waiting, computing, now)
    late = measure_lateness(table, best, request, now)
    if late > 0:
        return Failure(refuse_hopeless(request, best, late))
    return Success(choice)


def has_usable(
    request: Request,
    table: EndpointTable,
    zone: str,
    now: float,
    generator: random.Random,
    tried: frozenset[str],
) -> bool:
    """Tell whether any endpoint could take a request, and choose none.

    The parameters are those of ``choose_endpoint``.
    """
    search = Search(request, table, zone, now, generator, tried)
    return bool(draw(search, None, 1))


def note_first_token(
    table: EndpointTable,
    choice: Choice,
    request: Request,
    now: float,
) -> None:
    """Learn from a first token: the endpoint's rate, the prefix it holds."""
    endpoint = choice.endpoint
    endpoint.end_prefill(request.prompt_tokens)
    learn_rate(choice.best, request.prompt_tokens, now - choice.chosen_at)
    learn_stretch(table, choice, request.prompt_tokens, now)
    if endpoint.report is not None:
        table.prefixes.remember(
            request.prefix,
            endpoint.name,
            endpoint.report.incarnation,
            endpoint.computed_tokens,
        )


def _policy_of(snapshot: Snapshot) -> Policy:
    deployment = snapshot.deployment
    return deployment.policy if deployment else Policy.PREDICTED


def _choose_predicted(search: Search) -> Choice | None:
    """Choose the best of a few, the own zone first.

    Another zone must be better by more than the error of the prediction, since
    crossing costs more than time.
    """
    near = _weigh_sample(search, search.zone)
    best_near = _find_best(near)
    if best_near is not None and best_near.waiting <= _SOON_SECONDS:
        return Choice(best_near, near, search.now)
    everywhere = _weigh_sample(search, None)
    best = _find_best(near + everywhere)
    if best is None:
        return None
    if best_near is not None and best_near.score <= best.score * _STAY_RATIO:
        best = best_near
    return Choice(best, near + everywhere, search.now)


def _weigh_sample(search: Search, zone: str | None) -> list[Candidate]:
    size = _SAMPLE_SIZES[classify_length(search.request.prompt_tokens)]
    sampled = draw(search, zone, size)
    names = {endpoint.name for endpoint in sampled}
    sampled += [
        endpoint
        for endpoint in _list_with_prefix(search)
        if endpoint.name not in names
    ]
    return [weigh_endpoint(search, endpoint) for endpoint in sampled]


def _list_with_prefix(search: Search) -> list[Endpoint]:
    """List the endpoints that may have computed the prompt's beginning.

    They are weighed with all others, so a queue that is longer than the
    prefix is worth sends the prompt elsewhere.
    """
    table = search.table
    found = map(table.get, table.prefixes.list_endpoints(search.request.prefix))
    return [
        endpoint
        for endpoint in found
        if endpoint is not None
        and endpoint.group.name in search.request.service.endpoint_groups
        and search.is_usable(endpoint)
        and not search.is_doubtful(endpoint)
    ]


def _find_best(candidates: list[Candidate]) -> Candidate | None:
    return min(
        candidates,
        key=lambda candidate: candidate.score,
        default=None,
    )


def _refuse_none(request: Request) -> Refusal:
    return Refusal(
        RefusalCode.NO_CAPACITY,
        f'no endpoint of {request.service.name!r} can take the request now',
        Step.ROUTE,
        retry_after=MINIMUM_RETRY_AFTER,
    )
