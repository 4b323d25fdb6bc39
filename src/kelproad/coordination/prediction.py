"""Predicting an endpoint's time to first token, and weighing it.

The queue ahead is what would be computed before the prompt: with priorities
only the work of its own and higher classes.  What instances tell of their work
and what the engine reports are joined so that nothing counts twice and nothing
is forgotten.
"""

import attrs

from ..state.declarations import EndpointKind, Objective
from ..state.endpoints import Endpoint
from ..state.lengths import LengthClass, classify_length
from ..state.requests import Request
from .candidates import SILENT_AFTER, Search

__all__ = ['Candidate', 'learn_rate', 'weigh_endpoint']

#: Cost, in seconds, of leaving the instance's own availability zone.
ZONE_CROSSING_SECONDS = 0.01
#: Tokens that an engine computes without a break.
_CHUNK_TOKENS = 4096
#: Prompt tokens below which the time to first token tells little of the rate.
_LEAST_OBSERVED = 1500
#: Predicted seconds of one call in progress at a plain endpoint.
_PLAIN_CALL_SECONDS = 0.01
#: Weight of the first token that keeps the ratio of weights finite.
_LEAST_WEIGHT = 0.01
#: How long an endpoint that came back looks worse, and by how much at first.
_SLOW_START_SECONDS = 10.0
_SLOW_START_PENALTY = 4.0
_EVEN = Objective()


@attrs.frozen
class Candidate:
    """An endpoint as weighed for one request.

    Attributes
    ----------
    predicted
        Seconds to the first token.
    score
        What is minimized: the prediction, and the harm to short requests as
        the deployment's objective weighs it.
    waiting
        Seconds of the prediction before the prompt itself is computed.
    ahead
        Prompt tokens that go before this prompt.
    cached
        Tokens of the prompt that need not be computed.
    """

    endpoint: Endpoint
    predicted: float
    score: float
    waiting: float = 0
    ahead: float = 0
    cached: int = 0


def weigh_endpoint(search: Search, endpoint: Endpoint) -> Candidate:
    """Predict one endpoint's time to first token and score it."""
    request = search.request
    crossing = endpoint.declaration.zone != search.zone
    apart = crossing * ZONE_CROSSING_SECONDS
    if endpoint.group.kind is EndpointKind.PLAIN:
        seconds = endpoint.own_requests * _PLAIN_CALL_SECONDS + apart
        return Candidate(endpoint, seconds, seconds, seconds - apart)
    cached = _count_cached(search, endpoint)
    ahead = count_ahead(endpoint, request.prompt_tokens, search.now)
    to_compute = max(request.prompt_tokens - cached, 1)
    before = (
        ahead
        + _count_chunk_rest(endpoint, request)
        + _count_memory_short(endpoint, request)
    )
    waiting = before / endpoint.tokens_per_second
    predicted = waiting + to_compute / endpoint.tokens_per_second + apart
    started = _count_slow_start(endpoint, search.now)
    return Candidate(
        endpoint,
        predicted,
        predicted * started + _weigh_harm(endpoint, request),
        waiting,
        ahead,
        cached,
    )


def count_ahead(endpoint: Endpoint, prompt_tokens: int, now: float) -> float:
    """Count the prompt tokens that would be computed before a prompt.

    A fresh report bounds what instances tell, which counts a prompt in full
    until its first token.  Work that is reported and that nobody told of, of
    an instance that is cut off or has died, is added.
    """
    ranks = len(LengthClass)
    if endpoint.group.honours_priorities:
        ranks = classify_length(prompt_tokens) + 1
    told = sum(endpoint.own_by_class[:ranks])
    told += sum(endpoint.peer_by_class[:ranks])
    if endpoint.report is None or now - endpoint.reported_at > SILENT_AFTER:
        return told
    reported = endpoint.report.waiting_tokens + endpoint.unreported_tokens
    return min(told, reported) + max(0, reported - endpoint.known_tokens)


def learn_rate(
    candidate: Candidate,
    prompt_tokens: int,
    seconds: float,
) -> None:
    """Learn an endpoint's rate from a first token that came.

    Baselines predict nothing, so nothing can be learned from their choices.
    """
    if not candidate.predicted:
        return
    tokens = candidate.ahead + prompt_tokens - candidate.cached
    if tokens >= _LEAST_OBSERVED and seconds > 0:
        candidate.endpoint.observe_rate(tokens / seconds)


def _count_chunk_rest(endpoint: Endpoint, request: Request) -> float:
    """Count what is left, on average, of a chunk that is being computed.

    With priorities a prompt waits for the end of the chunk of any lower
    class; without, the whole of it is ahead already.
    """
    if not endpoint.group.honours_priorities:
        return 0
    return _CHUNK_TOKENS / 2 if _has_longer(endpoint, request) else 0


def _count_slow_start(endpoint: Endpoint, now: float) -> float:
    """Return the factor by which an endpoint that came back looks worse.

    Its caches are empty and what made it fail may last; work sent at once by
    every instance would fail with it.
    """
    since = now - endpoint.restored_at
    left = max(0, 1 - since / _SLOW_START_SECONDS)
    return 1 + _SLOW_START_PENALTY * left


def _has_longer(endpoint: Endpoint, request: Request) -> bool:
    rank = classify_length(request.prompt_tokens) + 1
    own = any(endpoint.own_by_class[rank:])
    return own or any(endpoint.peer_by_class[rank:])


def _count_memory_short(endpoint: Endpoint, request: Request) -> float:
    """Count the tokens that must be freed before the prompt fits."""
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
    # Other instances fill the engine's cache as well; they are taken to send
    # as much as this one.
    room = endpoint.group.cache_tokens // search.table.instances
    cached = search.table.prefixes.count_cached(
        search.request.prefix,
        endpoint.name,
        report.incarnation,
        endpoint.computed_tokens - room,
    )
    return min(cached, search.request.prompt_tokens)


def _weigh_harm(endpoint: Endpoint, request: Request) -> float:
    """Weigh, in seconds, what a longer prompt does to short ones.

    On an engine that has no longer work, it makes every short prompt wait for
    the rest of a chunk while it is computed; on one that has, it changes
    nothing.  So it is worth waiting a share of its own time to go where longer
    ones are already.  The objective's weights set that share.
    """
    if classify_length(request.prompt_tokens) is LengthClass.SHORT:
        return 0
    longer = endpoint.own_by_class[1:] + endpoint.peer_by_class[1:]
    if any(longer):
        return 0
    deployment = request.snapshot.deployment
    objective = deployment.objective if deployment else _EVEN
    worth = objective.slowdown / max(objective.first_token, _LEAST_WEIGHT)
    return worth * request.prompt_tokens / endpoint.tokens_per_second / 2
