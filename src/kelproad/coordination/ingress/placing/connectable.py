"""Which endpoints may be chosen while nobody can connect to some of them."""

import math
import random

from ....state.endpoints import Endpoint
from ....state.unreachable import UnreachableAddresses
from .placement import NoPlacementError

__all__ = ['add_trials', 'refuse_unreachable', 'select_connectable']

#: Bounds of the seconds after which callers retry when no endpoint can be
#: connected to; at random, so that they don't all come at once.
_RETRIES = (0.5, 1.5)


def select_connectable(
    endpoints: list[Endpoint], unreachable: UnreachableAddresses, now: float
) -> list[Endpoint]:
    """Select the endpoints that are not known to be unreachable."""
    if not unreachable.is_current(now):
        return endpoints
    return [
        endpoint
        for endpoint in endpoints
        if not unreachable.includes(endpoint.declaration.address, now)
    ]


def add_trials(
    connectable: list[Endpoint],
    endpoints: list[Endpoint],
    service: str,
    unreachable: UnreachableAddresses,
    now: float,
) -> list[Endpoint]:
    """Add unreachable endpoints if a call may try those again.

    If there are others to choose from, those that have just failed are left
    out.  Otherwise the half whose failures are oldest is added, so that in the
    end each is tried.
    """
    failed = [
        endpoint
        for endpoint in endpoints
        if unreachable.includes(endpoint.declaration.address, now)
    ]
    if connectable:
        failed = [
            endpoint
            for endpoint in failed
            if not unreachable.is_avoided(endpoint.declaration.address, now)
        ]
    if not failed or not unreachable.take_trial(service, now):
        return connectable
    failed.sort(
        key=lambda item: unreachable.find_failure(item.declaration.address),
    )
    return connectable + failed[: math.ceil(len(failed) / 2)]


def refuse_unreachable(generator: random.Random) -> NoPlacementError:
    """Build the refusal of a call while another one tries the endpoints."""
    return NoPlacementError(
        'no endpoint can be connected to',
        worth_waiting=False,
        retry_after=generator.uniform(*_RETRIES),
    )
