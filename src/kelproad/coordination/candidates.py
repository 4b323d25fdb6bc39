"""Finding endpoints that could take a request, without looking at all.

A decision must not grow with the number of endpoints, so a few are drawn from
lists kept by group and availability zone, and only those are examined.
"""

import itertools
import random

import attrs

from ..state.declarations import EndpointKind
from ..state.endpoints import Endpoint, EndpointTable
from ..state.requests import Request

__all__ = ['Search', 'draw', 'list_usable']

#: Seconds without a report after which an engine is doubted.
SILENT_AFTER = 3.0
#: Endpoints looked at for each one wanted before all are looked at.
_LOOKS_PER_DRAW = 4


@attrs.frozen
class Search:
    """What is looked for.

    Attributes
    ----------
    zone
        The instance's own availability zone.
    now
        Monotonic time, in seconds.
    tried
        Endpoints that the request must not be sent to again.
    """

    request: Request
    table: EndpointTable
    zone: str
    now: float
    generator: random.Random
    tried: frozenset[str]

    def is_usable(self, endpoint: Endpoint) -> bool:
        """Tell whether an endpoint may be given the request now."""
        if endpoint.name in self.tried or endpoint.leaving:
            return False
        if endpoint.ejected_until > self.now:
            return False
        if endpoint.on_probation and endpoint.own_requests:
            # One request at a time probes an endpoint that was taken out.
            return False
        if endpoint.group.kind is EndpointKind.PLAIN:
            return True
        if endpoint.group.memory_tokens <= self.request.prompt_tokens:
            return False
        report = endpoint.report
        return report is None or self.request.service.model in report.models

    def is_doubtful(self, endpoint: Endpoint) -> bool:
        """Tell whether an endpoint is only to be used if there is no other.

        Silence means that the engine is dead or that its zone is cut off;
        work sent there would wait until its deadline.  Plain services report
        nothing.  Work that may not be repeated is no probe.
        """
        if endpoint.on_probation and not self.request.repeatable:
            return True
        if endpoint.group.kind is EndpointKind.PLAIN:
            return False
        return self.now - endpoint.reported_at > SILENT_AFTER

    def pools(self, zone: str | None) -> list[list[Endpoint]]:
        """Return the lists of endpoints to draw from, of one zone or all."""
        names = self.request.service.endpoint_groups
        if zone is None:
            return [self.table.in_group(name) for name in names]
        return [self.table.in_zone(name, zone) for name in names]


def draw(search: Search, zone: str | None, size: int) -> list[Endpoint]:
    """Draw a few usable endpoints at random, doubtful ones only if need be.

    Sampling keeps instances that hold the same stale report from all picking
    the same engine.
    """
    pools = [pool for pool in search.pools(zone) if pool]
    total = sum(map(len, pools))
    looks = min(total, size * _LOOKS_PER_DRAW)
    fresh: list[Endpoint] = []
    doubtful: list[Endpoint] = []
    for index in search.generator.sample(range(total), looks):
        endpoint = _pick(pools, index)
        if search.is_usable(endpoint):
            heard = doubtful if search.is_doubtful(endpoint) else fresh
            heard.append(endpoint)
        if len(fresh) == size:
            return fresh
    if fresh or looks == total:
        return fresh or doubtful[:size]
    # Nearly all are unusable: a few blind looks must not miss the last one.
    usable = list_usable(search, zone)
    return search.generator.sample(usable, min(size, len(usable)))


def list_usable(search: Search, zone: str | None) -> list[Endpoint]:
    """List all usable endpoints, doubtful ones only if there are no others."""
    usable = [
        endpoint
        for endpoint in itertools.chain.from_iterable(search.pools(zone))
        if search.is_usable(endpoint)
    ]
    fresh = [
        endpoint for endpoint in usable if not search.is_doubtful(endpoint)
    ]
    return fresh or usable


def _pick(pools: list[list[Endpoint]], index: int) -> Endpoint:
    for pool in pools:
        if index < len(pool):
            return pool[index]
        index -= len(pool)
    raise IndexError(index)
