"""Endpoints that a call may be sent to, the healthy ones first."""

import logging
import math
import random
from collections.abc import Callable, Iterator

import attrs

from ....state.calls import Call
from ....state.directpaths import DirectPaths, UnreachableAddresses
from ....state.endpoints import Endpoint
from ....state.observations import EngineObservations
from ....state.records import OnceRecorder
from ..membership.reachability import ZoneReachability
from ..streams.progress import Progress
from .eligibility import (
    are_withdrawn,
    exclude_avoided,
    is_healthy,
    is_last_resort,
    is_trusted,
    list_untried,
)
from .placement import NoPlacementError

__all__ = [
    'EndpointFilter',
    'RegionFilter',
    'Tier',
    'add_trials',
    'iterate_tiers',
    'select_connectable',
]

_logger = logging.getLogger(__name__)
#: Bounds of the seconds after which callers retry when no endpoint is in a
#: permitted region; at random, so that they don't all come at once.
_RETRIES = (1.0, 3.0)
#: The same when no endpoint can be connected to.
_CONNECT_RETRIES = (0.5, 1.5)


@attrs.frozen
class RegionFilter:
    """Excludes zones whose region a call may not use.

    ``_find_region`` returns the region of a zone, empty when it is unknown.
    """

    _find_region: Callable[[str], str]
    _generator: random.Random
    _recorder: OnceRecorder = attrs.field(factory=lambda: OnceRecorder(_logger))

    def permits(self, call: Call, zone: str) -> bool:
        """Return whether a call may be sent to or through a zone."""
        permitted = call.permitted_regions
        if permitted is None:
            return True
        region = self._find_region(zone)
        if not region:
            self._recorder.record(zone, 'zone_without_region', zone=zone)
        return region in permitted

    def select(self, endpoints: list[Endpoint], call: Call) -> list[Endpoint]:
        """Select the endpoints that a call may be sent to.

        Raises
        ------
        NoPlacementError
            When there are endpoints, but none in a permitted region.
        """
        if call.permitted_regions is None:
            return endpoints
        zones = {endpoint.declaration.zone for endpoint in endpoints}
        permitted = {zone for zone in zones if self.permits(call, zone)}
        if zones and not permitted:
            raise NoPlacementError(
                'no endpoint is in a region that the call may use',
                worth_waiting=False,
                retry_after=self._generator.uniform(*_RETRIES),
            )
        return [
            endpoint
            for endpoint in endpoints
            if endpoint.declaration.zone in permitted
        ]


@attrs.frozen
class EndpointFilter:
    """Filters endpoints by what a call may use and this instance observed."""

    _reachability: ZoneReachability
    _observations: EngineObservations
    _paths: DirectPaths
    _regions: RegionFilter
    _generator: random.Random

    def select_permitted(
        self, endpoints: list[Endpoint], call: Call
    ) -> list[Endpoint]:
        """Select the endpoints in regions that a call may use.

        Raises
        ------
        NoPlacementError
            When there are endpoints, but none in a permitted region.
        """
        return self._regions.select(endpoints, call)

    def list_usable(
        self,
        endpoints: list[Endpoint],
        call: Call,
        progress: Progress,
        now: float,
        may_try: bool,
    ) -> list[Endpoint]:
        """List the endpoints that may get a call, healthy or not.

        ``may_try`` says whether the call may be one that tries endpoints again
        to which nobody could connect.

        Raises
        ------
        NoPlacementError
            When nobody could connect to any.
        """
        untried = exclude_avoided(list_untried(endpoints, progress, now), call)
        unreachable = self._paths.unreachable
        usable = select_connectable(untried, unreachable, now)
        if may_try and len(usable) < len(untried):
            usable = add_trials(usable, untried, call.service, unreachable, now)
        if untried and not usable:
            raise refuse_unreachable(self._generator)
        return usable

    def list_healthy(
        self,
        usable: list[Endpoint],
        call: Call,
        now: float,
    ) -> list[Endpoint]:
        """List the usable endpoints from which an answer can be expected."""
        excluded_zones = self._list_suspect_zones(usable, call, now)
        return [
            endpoint
            for endpoint in usable
            if endpoint.declaration.zone not in excluded_zones
            and not self._observations.is_silent(endpoint.name, now)
            and not self._observations.silent_groups.includes(endpoint, now)
            and is_healthy(endpoint, now)
        ]

    def list_last_resorts(
        self,
        endpoints: list[Endpoint],
        call: Call,
        progress: Progress,
        now: float,
    ) -> list[Endpoint]:
        """List the endpoints that leave, for what no other can serve."""
        leaving = [
            endpoint
            for endpoint in endpoints
            if is_last_resort(endpoint, now)
            and not progress.excludes(endpoint.name)
        ]
        return self.list_healthy(leaving, call, now)

    def _list_suspect_zones(
        self,
        usable: list[Endpoint],
        call: Call,
        now: float,
    ) -> set[str]:
        """List zones that are probably unreachable and not due for a probe."""
        zones = {endpoint.declaration.zone for endpoint in usable}
        suspect = {
            zone for zone in zones if self._reachability.is_suspect(zone, now)
        }
        if not call.kind.repeatable:
            return suspect
        return {
            zone
            for zone in suspect
            if not self._reachability.take_probe(zone, now)
        }


@attrs.frozen
class Tier:
    """Endpoints to choose from, and the names of those that may answer.

    ``uses_leaving`` says whether endpoints that leave are among them.
    """

    endpoints: list[Endpoint]
    answering: set[str]
    uses_leaving: bool = False


def iterate_tiers(
    endpoint_filter: EndpointFilter,
    endpoints: list[Endpoint],
    call: Call,
    progress: Progress,
    now: float,
    healthy_only: bool,
) -> Iterator[Tier]:
    """Iterate over the tiers of a call's endpoints.

    First those that are healthy, then those that leave and work beside them,
    which are better than those that fail.

    Raises
    ------
    NoPlacementError
        When nobody could connect to any endpoint.
    """
    usable = endpoint_filter.list_usable(
        endpoints, call, progress, now, may_try=not healthy_only
    )
    healthy = endpoint_filter.list_healthy(usable, call, now)
    trusted = {one.name for one in healthy if is_trusted(one, call)}
    if trusted or healthy_only:
        yield Tier(healthy, trusted)
    if healthy_only:
        return
    leaving = endpoint_filter.list_last_resorts(endpoints, call, progress, now)
    if leaving:
        names = {one.name for one in leaving if is_trusted(one, call)}
        yield Tier(healthy + leaving, trusted | names, uses_leaving=True)
    if not (trusted or are_withdrawn(endpoints, now)):
        yield Tier(usable, {endpoint.name for endpoint in usable})


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
        retry_after=generator.uniform(*_CONNECT_RETRIES),
    )
