"""Which endpoints may get a call, before they are scored.

Calls that no endpoint may get wait for limited ones, or return later.
"""

import heapq
import random

from ....state.calls import Call
from ....state.endpoints import Endpoint
from ..streams.progress import Progress
from .placement import LATE_WAIT_SHARE, Candidate, NoPlacementError

__all__ = [
    'are_withdrawn',
    'choose_longest_wait',
    'choose_return',
    'exclude_avoided',
    'exclude_limited',
    'is_eligible',
    'is_healthy',
    'is_last_resort',
    'is_trusted',
    'is_withdrawn',
    'list_untried',
    'refuse_for_limits',
    'refuse_for_memory',
    'refuse_withdrawn',
]

#: Seconds after which another endpoint may be listed in place of one that
#: leaves.
_REPLACEMENT_SECONDS = 1.0
#: Pausing endpoints that a refusal names in the log, those that pause shortest.
_MAX_NAMED = 8
#: Largest share of the time left that a call waits for a start: the rest is
#: for its answer.
_MAX_WAIT_SHARE = 0.5
#: Share of the time left that a call waits once it will be late in any case:
#: with a longer queue, every answer would be late.
_LATE_WAIT_SHARE = 0.1
#: Share of the caller's silence timeout that a call sent before waits.
_RESENT_WAIT_SHARE = 0.5
#: Share of the time left for which callers wait before they return.
_RETURN_SHARE = 1 / 3
#: Least seconds until a return, and least seconds over which returns spread.
_MIN_RETURN_SECONDS = 0.25
_MIN_SPREAD_SECONDS = 0.5


def is_eligible(endpoint: Endpoint, now: float) -> bool:
    """Return whether an endpoint may get calls at all, healthy or not."""
    return not is_withdrawn(endpoint, now) and endpoint.misdirected_until <= now


def is_withdrawn(endpoint: Endpoint, now: float) -> bool:
    """Return whether an endpoint must get no calls at present.

    It leaves, it pauses, or its zone is evacuated.
    """
    return (
        endpoint.leaving
        or endpoint.evacuated
        or endpoint.withdrawal.is_paused(now)
    )


def are_withdrawn(endpoints: list[Endpoint], now: float) -> bool:
    """Return whether there are endpoints, none of which may get calls."""
    return bool(endpoints) and all(
        is_withdrawn(endpoint, now) for endpoint in endpoints
    )


def is_last_resort(endpoint: Endpoint, now: float) -> bool:
    """Return whether an endpoint may get calls that no other can serve.

    It has stated lately that it leaves, and goes on for a while.
    """
    return (
        endpoint.withdrawal.is_last_resort(now)
        and not endpoint.withdrawal.is_paused(now)
        and not (endpoint.listed_as_leaving or endpoint.evacuated)
        and endpoint.misdirected_until <= now
    )


def is_healthy(endpoint: Endpoint, now: float) -> bool:
    """Return whether an endpoint may be used, one on probation for one call."""
    if endpoint.ejected_until > now:
        return False
    return not (endpoint.on_probation and endpoint.own_requests)


def is_trusted(endpoint: Endpoint, call: Call) -> bool:
    """Return whether a healthy endpoint may answer a call.

    A call that may run only once is lost with an endpoint on probation that
    still fails; as a helper it can do no harm, as nothing has run then.
    """
    return call.kind.repeatable or not endpoint.on_probation


def list_untried(
    endpoints: list[Endpoint], progress: Progress, now: float
) -> list[Endpoint]:
    """List the endpoints that may get a call and have not had it yet."""
    return [
        endpoint
        for endpoint in endpoints
        if is_eligible(endpoint, now) and not progress.excludes(endpoint.name)
    ]


def exclude_avoided(endpoints: list[Endpoint], call: Call) -> list[Endpoint]:
    """Exclude endpoints that a call should avoid, unless it has no others."""
    if not call.avoided_endpoints:
        return endpoints
    others = [
        endpoint
        for endpoint in endpoints
        if endpoint.name not in call.avoided_endpoints
    ]
    return others or endpoints


def exclude_limited(
    candidates: list[Candidate],
    call: Call,
    now: float,
    generator: random.Random,
) -> list[Candidate]:
    """Exclude endpoints whose request limits permit a call too late.

    Raises
    ------
    NoPlacementError
        When that excludes all that may answer.
    """
    longest = choose_longest_wait(call, now)
    permitted = [
        candidate for candidate in candidates if candidate.start_wait <= longest
    ]
    answering = [candidate for candidate in candidates if candidate.may_answer]
    if answering and not any(one.start_wait <= longest for one in answering):
        raise refuse_for_limits(answering, call, now, generator)
    return permitted


def refuse_for_limits(
    delayed: list[Candidate],
    call: Call,
    now: float,
    generator: random.Random,
) -> NoPlacementError:
    """Build the refusal of a call that needs endpoints with limits."""
    next_wait = min(candidate.start_wait for candidate in delayed)
    reason = 'all endpoints have reached their request limits'
    if all(candidate.warming_up for candidate in delayed):
        reason = 'all endpoints warm up, and bear no more requests now'
    return NoPlacementError(
        reason,
        worth_waiting=False,
        retry_after=choose_return(call, next_wait, now, generator),
        waits={item.endpoint.name: item.start_wait for item in delayed},
    )


def refuse_for_memory(call: Call, now: float) -> NoPlacementError:
    """Build the refusal of a call whose memory engines gave to other calls.

    It waits beyond its objective, as memory is free again once a stream ends.
    """
    longest = call.route.silence_timeout * LATE_WAIT_SHARE
    return NoPlacementError(
        'other calls have taken the memory',
        worth_waiting=now - call.arrived < longest,
    )


def refuse_withdrawn(
    endpoints: list[Endpoint],
    refusal: NoPlacementError | None,
    call: Call,
    now: float,
    generator: random.Random,
) -> NoPlacementError:
    """Build the refusal of a call that endpoints which pause could serve.

    It waits for the end of a pause if it could still be served then.
    ``refusal`` says why others don't serve it, ``None`` without any.
    """
    pauses = (
        (endpoint.withdrawal.paused_until - now, endpoint.name)
        for endpoint in endpoints
        if endpoint.withdrawal.is_paused(now)
        and not (endpoint.leaving or endpoint.evacuated)
    )
    waits = {name: wait for wait, name in heapq.nsmallest(_MAX_NAMED, pauses)}
    if refusal is not None:
        waits |= refusal.waits
    next_wait = min(waits.values(), default=_REPLACEMENT_SECONDS)
    return NoPlacementError(
        'all endpoints leave or pause, or their zones are evacuated'
        if refusal is None
        else refusal.reason,
        worth_waiting=bool(waits)
        and next_wait <= choose_longest_wait(call, now),
        retry_after=choose_return(call, next_wait, now, generator),
        waits=waits,
    )


def choose_longest_wait(call: Call, now: float) -> float:
    """Choose the most seconds that a call waits for a start.

    It is what its objective leaves, as long as there is time for the answer.  A
    call that was sent before waits longer: refused, its stream would break off,
    or work that has run be lost.
    """
    left = max(0, call.remaining(now))
    objective_left = call.arrived + call.route.objective - now
    longest = max(objective_left, left * _LATE_WAIT_SHARE)
    if call.attempts:
        resent_wait = call.route.silence_timeout * _RESENT_WAIT_SHARE
        longest = max(longest, resent_wait)
    return min(left * _MAX_WAIT_SHARE, longest)


def choose_return(
    call: Call,
    next_wait: float,
    now: float,
    generator: random.Random,
) -> float:
    """Choose the seconds after which a refused caller is to come back.

    They lie between the time from which the call could wait for the next start
    and the time that callers wait at most, at random, so that those refused
    together don't return together.
    """
    earliest = max(
        _MIN_RETURN_SECONDS, next_wait - choose_longest_wait(call, now)
    )
    latest = max(
        call.remaining(now) * _RETURN_SHARE, earliest + _MIN_SPREAD_SECONDS
    )
    return generator.uniform(earliest, latest)
