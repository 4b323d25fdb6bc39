"""Selection of the endpoint for an attempt.

A prompt's length class determines its priority at the engine and how many
endpoints are sampled.
"""

import random
import types

from returns.result import Failure, Result, Success

from ..state.configuration import Snapshot
from ..state.declarations import Policy
from ..state.endpoints import Endpoint
from ..state.endpointtable import EndpointTable
from ..state.engines import LengthClass, classify_length
from ..state.refusals import Refusal, RefusalCode, Step
from ..state.requests import Request
from .candidates import Search, sample_usable
from .feasibility import (
    learn_first_token_ratio,
    measure_lateness,
    refuse_infeasible,
)
from .policies import BASELINES, Choice
from .prediction import Candidate, learn_rate, score_endpoint

__all__ = [
    'Choice',
    'LengthClass',
    'choose_endpoint',
    'choose_priority',
    'classify_length',
    'has_usable_endpoint',
    'record_first_token',
]

#: Predicted wait, in seconds, up to which a local endpoint is chosen without
#: comparing it with other zones.
_SHORT_WAIT = 0.01
#: Factor by which the best score of all must be lower than the best local one.
_CROSSING_RATIO = 1.25
#: Shortest Retry-After of a request without an endpoint, in seconds.
MINIMUM_RETRY_AFTER = 0.5

_NONE: frozenset[str] = frozenset()
#: Endpoints sampled for a prompt, by its length class.
_SAMPLE_SIZES = types.MappingProxyType(
    {
        LengthClass.SHORT: 2,
        LengthClass.MIDDLE: 4,
        LengthClass.LONG: 8,
    }
)
#: Policies under which all requests have the same priority at the engine.
_WITHOUT_PRIORITY = frozenset(
    (Policy.ROUND_ROBIN, Policy.LEAST_REQUESTS, Policy.LEAST_TOKENS),
)


def choose_priority(request: Request) -> int:
    """Choose a request's priority at the engine; lower values run first."""
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
    """Choose an endpoint by the deployment's routing policy.

    Parameters
    ----------
    request
        The request to place.
    table
        Endpoints as known to this instance.
    zone
        Availability zone of this instance.
    now
        Monotonic time, in seconds.
    generator
        Random generator for sampling.
    tried
        Endpoints to exclude, since the request was already sent to them.

    Returns
    -------
    Result
        The choice, or a refusal with a Retry-After.
    """
    search = Search(request, table, zone, now, generator, tried)
    choose = BASELINES.get(_policy_of(request.snapshot), _choose_predicted)
    choice = choose(search)
    if choice is None:
        return Failure(_refuse_no_endpoint(request))
    best = choice.best
    own_time = best.predicted - best.waiting
    table.record_contention(request.prompt_tokens, best.waiting, own_time, now)
    late = measure_lateness(table, best, request, now)
    if late > 0:
        return Failure(refuse_infeasible(request, best, late))
    return Success(choice)


def has_usable_endpoint(
    request: Request,
    table: EndpointTable,
    zone: str,
    now: float,
    generator: random.Random,
    tried: frozenset[str],
) -> bool:
    """Return whether any endpoint could accept a request.

    The parameters are those of ``choose_endpoint``.
    """
    search = Search(request, table, zone, now, generator, tried)
    return bool(sample_usable(search, None, 1))


def record_first_token(
    table: EndpointTable,
    choice: Choice,
    request: Request,
    now: float,
) -> None:
    """Update the endpoint's learned rate and cached prefixes."""
    endpoint = choice.endpoint
    endpoint.end_prefill(request.prompt_tokens)
    learn_rate(choice.best, request.prompt_tokens, now - choice.chosen_at)
    learn_first_token_ratio(table, choice, request.prompt_tokens, now)
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
    """Choose the best of a sample, the local zone first.

    Another zone must be better by more than the prediction error, since
    crossing zones costs more than time.
    """
    local_sample = _score_sample(search, search.zone)
    best_local = _find_best(local_sample)
    if best_local is not None and best_local.waiting <= _SHORT_WAIT:
        return Choice(best_local, local_sample, search.now)
    full_sample = _score_sample(search, None)
    best = _find_best(local_sample + full_sample)
    if best is None:
        return None
    if (
        best_local is not None
        and best_local.score <= best.score * _CROSSING_RATIO
    ):
        best = best_local
    return Choice(best, local_sample + full_sample, search.now)


def _score_sample(search: Search, zone: str | None) -> list[Candidate]:
    size = _SAMPLE_SIZES[classify_length(search.request.prompt_tokens)]
    sampled = sample_usable(search, zone, size)
    names = {endpoint.name for endpoint in sampled}
    sampled += [
        endpoint
        for endpoint in _list_with_prefix(search)
        if endpoint.name not in names
    ]
    return [score_endpoint(search, endpoint) for endpoint in sampled]


def _list_with_prefix(search: Search) -> list[Endpoint]:
    """List the endpoints that may have the prompt's prefix cached.

    They are scored like all others, so the prompt goes elsewhere when the
    queue takes longer than the cached prefix saves.
    """
    table = search.table
    found = map(table.get, table.prefixes.list_endpoints(search.request.prefix))
    return [
        endpoint
        for endpoint in found
        if endpoint is not None
        and endpoint.group.name in search.request.service.endpoint_groups
        and search.is_usable(endpoint)
        and not search.is_suspect(endpoint)
    ]


def _find_best(candidates: list[Candidate]) -> Candidate | None:
    return min(
        candidates,
        key=lambda candidate: candidate.score,
        default=None,
    )


def _refuse_no_endpoint(request: Request) -> Refusal:
    return Refusal(
        RefusalCode.NO_CAPACITY,
        f'no endpoint of {request.service.name!r} can accept the request now',
        Step.ROUTE,
        retry_after=MINIMUM_RETRY_AFTER,
    )
