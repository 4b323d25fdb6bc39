"""Which endpoints may get a call, before they are scored."""

import random

from ....state.calls import Call
from ....state.directpaths import DirectPaths
from ....state.endpoints import Endpoint
from ..limiting.waits import choose_longest_wait, choose_return
from .placement import Candidate, NoPlacementError

__all__ = [
    'exclude_limited',
    'exclude_unreachable',
    'is_eligible',
    'is_healthy',
    'refuse_for_limits',
]

#: Bounds of the seconds after which callers retry when no endpoint can be
#: connected to; at random, so that they don't all come at once.
_UNREACHABLE_RETRIES = (0.5, 1.5)


def is_eligible(endpoint: Endpoint, now: float) -> bool:
    """Return whether an endpoint may get calls at all, healthy or not."""
    return not endpoint.leaving and endpoint.misdirected_until <= now


def is_healthy(endpoint: Endpoint, repeatable: bool, now: float) -> bool:
    """Return whether an endpoint may be used, or probed with this call."""
    if endpoint.ejected_until > now:
        return False
    if not endpoint.on_probation:
        return True
    # An endpoint on probation gets one call at a time, and none that may run
    # only once.
    return repeatable and not endpoint.own_requests


def exclude_unreachable(
    endpoints: list[Endpoint],
    paths: DirectPaths,
    now: float,
    generator: random.Random,
) -> list[Endpoint]:
    """Exclude endpoints that neither this instance nor a peer connects to.

    Raises
    ------
    NoPlacementError
        When that excludes all of them, and another call tries them already.
    """
    reachable = [
        endpoint
        for endpoint in endpoints
        if not paths.is_unreachable(endpoint.declaration.address, now)
    ]
    if reachable or not endpoints or paths.take_retry(now):
        return reachable or endpoints
    raise NoPlacementError(
        'no endpoint can be connected to',
        worth_waiting=False,
        retry_after=generator.uniform(*_UNREACHABLE_RETRIES),
    )


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
        When that excludes all of them.
    """
    longest = choose_longest_wait(call, now)
    permitted = [
        candidate for candidate in candidates if candidate.start_wait <= longest
    ]
    if candidates and not permitted:
        raise refuse_for_limits(candidates, call, now, generator)
    return permitted


def refuse_for_limits(
    delayed: list[Candidate],
    call: Call,
    now: float,
    generator: random.Random,
) -> NoPlacementError:
    """Build the refusal of a call that needs endpoints with limits."""
    next_wait = min(candidate.start_wait for candidate in delayed)
    return NoPlacementError(
        'all endpoints have reached their request limits',
        worth_waiting=False,
        retry_after=choose_return(call, next_wait, now, generator),
    )
