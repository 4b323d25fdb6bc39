"""Prediction of an endpoint's time to first token, and its score.

The queue ahead is the work that would be prefilled before the prompt: with
priorities only that of its own and higher classes.  The work advertised by
instances and the load reported by the engine are combined so that no work is
counted twice or missed.
"""

import attrs

from ..state.declarations import EndpointKind, Objective
from ..state.endpoints import Endpoint
from ..state.engines import LengthClass, classify_length
from ..state.requests import Request
from .candidates import REPORT_TIMEOUT, Search

__all__ = ['Candidate', 'learn_rate', 'score_endpoint']

#: Cost, in seconds, of sending a request to another availability zone.
ZONE_CROSSING_SECONDS = 0.01
#: Tokens that an engine prefills without interruption.
_CHUNK_TOKENS = 4096
#: Prompt tokens below which the time to first token is too noisy an estimate of
#: the prefill rate.
_MIN_OBSERVED_TOKENS = 1500
#: Predicted seconds of one call in progress at a plain endpoint.
_PLAIN_CALL_SECONDS = 0.01
#: Lower bound of the first token's weight; keeps the ratio of weights finite.
_MIN_WEIGHT = 0.01
#: Seconds of slow start after an ejection.  The prediction is multiplied by one
#: plus the penalty at first, and by less and less until the end.
_SLOW_START_SECONDS = 10.0
_SLOW_START_PENALTY = 4.0
_DEFAULT_OBJECTIVE = Objective()


@attrs.frozen
class Candidate:
    """An endpoint as scored for one request.

    Attributes
    ----------
    predicted
        Seconds to the first token.
    score
        Value to minimize: the prediction plus the delay of short requests,
        weighted by the deployment's objective.
    waiting
        Seconds of the prediction before the prompt's own prefill begins.
    ahead
        Prompt tokens that are prefilled before this prompt.
    cached
        Tokens of the prompt that are in the engine's prefix cache.
    """

    endpoint: Endpoint
    predicted: float
    score: float
    waiting: float = 0
    ahead: float = 0
    cached: int = 0


def score_endpoint(search: Search, endpoint: Endpoint) -> Candidate:
    """Predict one endpoint's time to first token and score it."""
    request = search.request
    crossing = endpoint.declaration.zone != search.zone
    crossing_time = crossing * ZONE_CROSSING_SECONDS
    if endpoint.group.kind is EndpointKind.PLAIN:
        seconds = endpoint.own_requests * _PLAIN_CALL_SECONDS + crossing_time
        return Candidate(endpoint, seconds, seconds, seconds - crossing_time)
    cached = _count_cached(search, endpoint)
    ahead = count_ahead(endpoint, request.prompt_tokens, search.now)
    to_compute = max(request.prompt_tokens - cached, 1)
    queued = (
        ahead
        + _count_chunk_rest(endpoint, request)
        + _count_missing_memory(endpoint, request)
    )
    waiting = queued / endpoint.tokens_per_second
    predicted = (
        waiting + to_compute / endpoint.tokens_per_second + crossing_time
    )
    slow_start = _compute_slow_start(endpoint, search.now)
    return Candidate(
        endpoint,
        predicted,
        predicted * slow_start + _compute_delay_cost(endpoint, request),
        waiting,
        ahead,
        cached,
    )


def count_ahead(endpoint: Endpoint, prompt_tokens: int, now: float) -> float:
    """Count the prompt tokens that would be prefilled before a prompt.

    Instances advertise a prompt in full until its first token, so a recent
    report of the engine bounds their sum.  Reported work that no instance
    advertised, because its instance is partitioned off or has failed, is
    added.
    """
    ranks = len(LengthClass)
    if endpoint.group.honours_priorities:
        ranks = classify_length(prompt_tokens) + 1
    advertised = sum(endpoint.local_by_class[:ranks])
    advertised += sum(endpoint.peer_by_class[:ranks])
    if endpoint.report is None or now - endpoint.reported_at > REPORT_TIMEOUT:
        return advertised
    reported = endpoint.report.waiting_tokens + endpoint.unreported_tokens
    return min(advertised, reported) + max(
        0, reported - endpoint.in_flight_tokens
    )


def learn_rate(
    candidate: Candidate,
    prompt_tokens: int,
    seconds: float,
) -> None:
    """Update an endpoint's prefill rate from a time to first token.

    Baseline policies don't predict, so their choices are ignored.
    """
    if not candidate.predicted:
        return
    tokens = candidate.ahead + prompt_tokens - candidate.cached
    if tokens >= _MIN_OBSERVED_TOKENS and seconds > 0:
        candidate.endpoint.observe_rate(tokens / seconds)


def _count_chunk_rest(endpoint: Endpoint, request: Request) -> float:
    """Count the tokens left, on average, of the chunk being prefilled.

    With priorities a prompt waits for the end of the current chunk of any
    lower class; without, the chunk is part of the queue ahead already.
    """
    if not endpoint.group.honours_priorities:
        return 0
    return _CHUNK_TOKENS / 2 if _has_longer(endpoint, request) else 0


def _compute_slow_start(endpoint: Endpoint, now: float) -> float:
    """Return the slow-start factor of the prediction.

    After an ejection the endpoint's caches are empty and the cause of its
    failures may persist; without the factor, all instances would send work at
    once, which would fail with it.
    """
    since = now - endpoint.restored_at
    left = max(0, 1 - since / _SLOW_START_SECONDS)
    return 1 + _SLOW_START_PENALTY * left


def _has_longer(endpoint: Endpoint, request: Request) -> bool:
    rank = classify_length(request.prompt_tokens) + 1
    here = any(endpoint.local_by_class[rank:])
    return here or any(endpoint.peer_by_class[rank:])


def _count_missing_memory(endpoint: Endpoint, request: Request) -> float:
    """Count the tokens of memory to be freed before the prompt fits."""
    report = endpoint.report
    if report is None:
        return 0
    used = report.used_tokens + endpoint.unreported_tokens
    limit = endpoint.group.memory_tokens
    return max(0, used + request.prompt_tokens - limit)


def _count_cached(search: Search, endpoint: Endpoint) -> int:
    report = endpoint.report
    if not search.request.prefix or report is None:
        return 0
    # Other instances fill the engine's cache too; assume that each sends as
    # much as this one.
    room = endpoint.group.cache_tokens // search.table.instances
    cached = search.table.prefixes.count_cached(
        search.request.prefix,
        endpoint.name,
        report.incarnation,
        endpoint.computed_tokens - room,
    )
    return min(cached, search.request.prompt_tokens)


def _compute_delay_cost(endpoint: Endpoint, request: Request) -> float:
    """Return the cost, in seconds, of delaying short prompts by a longer one.

    On an engine without longer prompts, each short prompt has to wait for the
    rest of a chunk during the longer one's prefill; on an engine that has
    longer prompts already, nothing changes.  So a longer prompt may wait for
    some fraction of its own time to join other longer ones.  The objective's
    weights determine that fraction.
    """
    if classify_length(request.prompt_tokens) is LengthClass.SHORT:
        return 0
    longer = endpoint.local_by_class[1:] + endpoint.peer_by_class[1:]
    if any(longer):
        return 0
    deployment = request.snapshot.deployment
    objective = deployment.objective if deployment else _DEFAULT_OBJECTIVE
    worth = objective.slowdown / max(objective.first_token, _MIN_WEIGHT)
    return worth * request.prompt_tokens / endpoint.tokens_per_second / 2
