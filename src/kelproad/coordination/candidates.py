"""Search for endpoints that could accept a request, by sampling.

The cost of a decision must not grow with the number of endpoints, so a few are
sampled from lists kept by group and availability zone, and only those are
checked.
"""

import itertools
import random

import attrs

from ..state.declarations import EndpointKind
from ..state.endpoints import Endpoint
from ..state.endpointtable import EndpointTable
from ..state.requests import Request

__all__ = ['Search', 'sample_usable', 'list_usable']

#: Seconds without a report after which an engine is suspect.
REPORT_TIMEOUT = 3.0
#: Endpoints checked for each one wanted, before all of them are checked.
_CHECKS_PER_SAMPLE = 4


@attrs.frozen
class Search:
    """Criteria of one search.

    Attributes
    ----------
    zone
        Availability zone of this instance.
    now
        Monotonic time, in seconds.
    tried
        Endpoints to exclude, since the request was already sent to them.
    """

    request: Request
    table: EndpointTable
    zone: str
    now: float
    generator: random.Random
    tried: frozenset[str]

    def is_usable(self, endpoint: Endpoint) -> bool:
        """Return whether the request may be sent to an endpoint now."""
        if endpoint.name in self.tried or endpoint.leaving:
            return False
        if endpoint.ejected_until > self.now:
            return False
        if endpoint.withdrawal.is_paused(self.now):
            return False
        if endpoint.on_probation and endpoint.own_requests:
            # On probation, one request at a time probes the endpoint.
            return False
        if endpoint.group.kind is EndpointKind.PLAIN:
            return True
        if endpoint.group.memory_tokens <= self.request.prompt_tokens:
            return False
        report = endpoint.report
        return report is None or self.request.service.model in report.models

    def is_suspect(self, endpoint: Endpoint) -> bool:
        """Return whether to use an endpoint only if there is no other.

        Without recent reports, the engine has failed or its zone is
        partitioned off; work sent there would wait until its deadline.
        Endpoints of plain services send no reports.  Work that may not be
        repeated must not probe an endpoint on probation.
        """
        if endpoint.on_probation and not self.request.repeatable:
            return True
        if endpoint.group.kind is EndpointKind.PLAIN:
            return False
        return self.now - endpoint.reported_at > REPORT_TIMEOUT

    def pools(self, zone: str | None) -> list[list[Endpoint]]:
        """Return the lists of endpoints to sample, of one zone or all."""
        names = self.request.service.endpoint_groups
        if zone is None:
            return [self.table.in_group(name) for name in names]
        return [self.table.in_zone(name, zone) for name in names]


def sample_usable(
    search: Search, zone: str | None, size: int
) -> list[Endpoint]:
    """Sample usable endpoints, suspect ones only if there are no others.

    Random sampling keeps instances with the same stale report from all
    choosing the same engine.
    """
    pools = [pool for pool in search.pools(zone) if pool]
    total = sum(map(len, pools))
    checks = min(total, size * _CHECKS_PER_SAMPLE)
    healthy: list[Endpoint] = []
    suspect: list[Endpoint] = []
    for index in search.generator.sample(range(total), checks):
        endpoint = _get_from_pools(pools, index)
        if search.is_usable(endpoint):
            matching = suspect if search.is_suspect(endpoint) else healthy
            matching.append(endpoint)
        if len(healthy) == size:
            return healthy
    if healthy or checks == total:
        return healthy or suspect[:size]
    # Nearly all are unusable; a sample could miss the last usable one.
    usable = list_usable(search, zone)
    return search.generator.sample(usable, min(size, len(usable)))


def list_usable(search: Search, zone: str | None) -> list[Endpoint]:
    """List all usable endpoints, suspect ones only if there are no others."""
    usable = [
        endpoint
        for endpoint in itertools.chain.from_iterable(search.pools(zone))
        if search.is_usable(endpoint)
    ]
    healthy = [
        endpoint for endpoint in usable if not search.is_suspect(endpoint)
    ]
    return healthy or usable


def _get_from_pools(pools: list[list[Endpoint]], index: int) -> Endpoint:
    for pool in pools:
        if index < len(pool):
            return pool[index]
        index -= len(pool)
    raise IndexError(index)
