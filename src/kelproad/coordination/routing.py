"""Choosing the endpoint of an attempt.

A prompt's length class sets its priority at the engine and how many endpoints
are sampled.
"""

import random
import types

from returns.result import Failure, Result, Success

from ..state.configuration import Policy, Snapshot
from ..state.endpoints import Endpoint, EndpointTable
from ..state.lengths import LengthClass, classify_length
from ..state.refusals import Refusal, RefusalCode, Step
from ..state.requests import Request
from .candidates import Search, draw
from .policies import BASELINES, Choice

__all__ = [
    'Choice',
    'LengthClass',
    'choose_endpoint',
    'choose_priority',
    'classify_length',
]

#: Cost, in seconds, of leaving the instance's own availability zone.
ZONE_CROSSING_SECONDS = 0.01
#: Predicted seconds up to which an endpoint of the own zone is good enough.
_STAY_SECONDS = 0.5
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
    return Failure(_refuse_none(request)) if choice is None else Success(choice)


def _policy_of(snapshot: Snapshot) -> Policy:
    deployment = snapshot.deployment
    return deployment.policy if deployment else Policy.PREDICTED


def _choose_predicted(search: Search) -> Choice | None:
    """Choose the earliest predicted first token, the own zone first."""
    choice = _sample_best(search, search.zone)
    if choice is None or choice.predicted > _STAY_SECONDS:
        return _sample_best(search, None)
    return choice


def _sample_best(search: Search, zone: str | None) -> Choice | None:
    size = _SAMPLE_SIZES[classify_length(search.request.prompt_tokens)]
    sampled = draw(search, zone, size)
    if not sampled:
        return None
    weighed = {
        endpoint.name: predict_first_token(
            endpoint,
            search.request,
            search.zone,
        )
        for endpoint in sampled
    }
    best = min(sampled, key=lambda endpoint: weighed[endpoint.name])
    return Choice(best, weighed[best.name], weighed, search.now)


def predict_first_token(
    endpoint: Endpoint,
    request: Request,
    zone: str,
) -> float:
    """Predict the seconds until an endpoint's first token."""
    reported = endpoint.report.waiting_tokens if endpoint.report else 0
    ahead = max(reported, endpoint.own_tokens + endpoint.peer_tokens)
    rate = endpoint.group.prefill_tokens_per_second
    crossing = endpoint.declaration.zone != zone
    return (
        ahead + request.prompt_tokens
    ) / rate + crossing * ZONE_CROSSING_SECONDS


def _refuse_none(request: Request) -> Refusal:
    return Refusal(
        RefusalCode.NO_CAPACITY,
        f'no endpoint of {request.service.name!r} can take the request now',
        Step.ROUTE,
        retry_after=MINIMUM_RETRY_AFTER,
    )
