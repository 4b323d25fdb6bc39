"""Choosing the endpoint of an attempt.

A prompt's length class sets its priority at the engine and how many endpoints
are sampled.  Sampling keeps instances that hold the same stale report from all
picking the same engine.
"""

import enum
import random
import types

import attrs
from returns.result import Failure, Result, Success

from ..state.configuration import EndpointKind
from ..state.endpoints import Endpoint, EndpointTable
from ..state.refusals import Refusal, RefusalCode, Step
from ..state.requests import Request

__all__ = ['Choice', 'LengthClass', 'choose_endpoint', 'classify_length']

#: Cost, in seconds, of leaving the instance's own availability zone.
ZONE_CROSSING_SECONDS = 0.01
#: Predicted seconds up to which an endpoint of the own zone is good enough.
_STAY_SECONDS = 0.5
#: Seconds without a report after which an engine is doubted.
_SILENT_AFTER = 3.0
#: Seconds after which a refused caller may find capacity, at the least.
MINIMUM_RETRY_AFTER = 0.5


class LengthClass(enum.IntEnum):
    """Classes of prompt length; the value is the priority at the engine."""

    SHORT = 0
    MIDDLE = 1
    LONG = 2


_NONE: frozenset[str] = frozenset()
_SHORT_LIMIT = 10_000
_MIDDLE_LIMIT = 100_000
_SAMPLE_SIZES = types.MappingProxyType(
    {
        LengthClass.SHORT: 2,
        LengthClass.MIDDLE: 4,
        LengthClass.LONG: 8,
    }
)


@attrs.frozen
class Choice:
    """The chosen endpoint with what was weighed."""

    endpoint: Endpoint
    predicted: float
    considered: dict[str, float]


def classify_length(prompt_tokens: int) -> LengthClass:
    """Put a prompt into its length class."""
    if prompt_tokens < _SHORT_LIMIT:
        return LengthClass.SHORT
    if prompt_tokens < _MIDDLE_LIMIT:
        return LengthClass.MIDDLE
    return LengthClass.LONG


def choose_endpoint(
    request: Request,
    table: EndpointTable,
    zone: str,
    now: float,
    generator: random.Random,
    tried: frozenset[str] = _NONE,
) -> Result[Choice, Refusal]:
    """Choose the endpoint with the earliest predicted first token.

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
    candidates = [
        endpoint
        for group in request.snapshot.groups_of(request.service)
        for endpoint in table.in_group(group.name)
        if endpoint.name not in tried and _is_usable(endpoint, request, now)
    ]
    if not candidates:
        return Failure(_refuse_none(request))
    preferred = _prefer_fresh(candidates, now)
    near = [
        endpoint for endpoint in preferred if endpoint.declaration.zone == zone
    ]
    choice = _sample_best(near, request, zone, generator)
    if choice is None or choice.predicted > _STAY_SECONDS:
        choice = _sample_best(preferred, request, zone, generator)
    return Success(choice)


def _prefer_fresh(candidates: list[Endpoint], now: float) -> list[Endpoint]:
    """Leave out engines of which nothing was heard lately, if others remain.

    Silence means that the engine is dead or that its zone is cut off; work
    sent there would wait until its deadline.  Plain services report nothing.
    """
    fresh = [
        endpoint
        for endpoint in candidates
        if endpoint.group.kind is EndpointKind.PLAIN
        or now - endpoint.reported_at <= _SILENT_AFTER
    ]
    return fresh or candidates


def _sample_best(
    candidates: list[Endpoint],
    request: Request,
    zone: str,
    generator: random.Random,
) -> Choice | None:
    if not candidates:
        return None
    size = _SAMPLE_SIZES[classify_length(request.prompt_tokens)]
    sampled = generator.sample(candidates, min(size, len(candidates)))
    weighed = {
        endpoint.name: predict_first_token(endpoint, request, zone)
        for endpoint in sampled
    }
    best = min(sampled, key=lambda endpoint: weighed[endpoint.name])
    return Choice(best, weighed[best.name], weighed)


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


def _is_usable(endpoint: Endpoint, request: Request, now: float) -> bool:
    if endpoint.leaving or endpoint.ejected_until > now:
        return False
    if endpoint.group.kind is EndpointKind.PLAIN:
        return True
    if endpoint.group.memory_tokens <= request.prompt_tokens:
        return False
    report = endpoint.report
    return report is None or request.service.model in report.models


def _refuse_none(request: Request) -> Refusal:
    return Refusal(
        RefusalCode.NO_CAPACITY,
        f'no endpoint of {request.service.name!r} can take the request now',
        Step.ROUTE,
        retry_after=MINIMUM_RETRY_AFTER,
    )
