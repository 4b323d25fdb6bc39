"""Routes, services, workspaces and limits of one configuration version.

The content of routed calls is not interpreted: host and path select a route,
and the kind of the route determines what may be repeated.  A configuration is
received complete and is immutable, so a call keeps the version that admitted
it.
"""

import enum
from collections.abc import Iterable
from typing import Self

import attrs

from .engines import EngineProfile, StallLimits
from .requestlimits import WarmUp

__all__ = [
    'CallKind',
    'IngressLimits',
    'Route',
    'RoutedService',
    'RoutedWorkspace',
    'RoutingConfiguration',
    'WeightedService',
]


class CallKind(enum.StrEnum):
    """Whether calls may be repeated, and the form of their answers."""

    IDEMPOTENT = 'idempotent'
    NON_IDEMPOTENT = 'non_idempotent'
    STREAM = 'stream'
    RESUMABLE_STREAM = 'resumable_stream'

    @property
    def streams(self) -> bool:
        """Whether the answer is a series of events."""
        return self in _STREAMS

    @property
    def repeatable(self) -> bool:
        """Whether a call that may have run may be run again."""
        return self in _REPEATABLE


#: One-way delay in seconds between two zones for which the configuration has
#: none; the present sites have 4.4 and 5.4 ms.
_DEFAULT_ZONE_DELAY = 0.005
_STREAMS = frozenset((CallKind.STREAM, CallKind.RESUMABLE_STREAM))
_REPEATABLE = frozenset((CallKind.IDEMPOTENT, CallKind.RESUMABLE_STREAM))


@attrs.frozen
class WeightedService:
    """A service of a route, and the weight of its share of the calls."""

    name: str
    weight: float


@attrs.frozen
class Route:
    """Services for the calls of a host and path prefix, and their treatment.

    Attributes
    ----------
    prefix
        Prefix of the paths of the route; it begins and ends with a slash.
    services
        Services that answer, each with the weight of its share.
    timeout
        Seconds that a caller may be kept waiting.
    objective
        Seconds within which an answer, or the first event of a stream, meets
        the objective.
    gap_objective
        Seconds between two events up to which a stream meets its objective.
    silence_timeout
        Seconds without an event after which callers abandon a stream.
    priority
        Rank among the routes, 0 first; ``None`` for none.
    max_endpoints
        Maximum number of endpoints to which one call may be sent.
    anonymous
        Whether calls need no API key.
    permitted_regions
        Regions in which calls may be served; ``None`` for all.
    """

    name: str
    host: str
    prefix: str
    kind: CallKind
    services: tuple[WeightedService, ...]
    timeout: float
    objective: float
    gap_objective: float = float('inf')
    silence_timeout: float = float('inf')
    priority: int | None = None
    max_endpoints: int = 1
    anonymous: bool = False
    permitted_regions: frozenset[str] | None = None


@attrs.frozen
class RoutedService:
    """A service that routes refer to.

    Attributes
    ----------
    engine
        Published speeds of its engines; ``None`` for a plain service.
    warm_up
        How its endpoints warm up.
    """

    name: str
    engine: EngineProfile | None = None
    warm_up: WarmUp = WarmUp()


@attrs.frozen
class RoutedWorkspace:
    """A customer, identified by its API keys.

    Attributes
    ----------
    permitted_regions
        Regions in which its calls may be served; ``None`` for all.
    """

    name: str
    priority: int | None = None
    permitted_regions: frozenset[str] | None = None


@attrs.frozen
class IngressLimits:
    """Size limits in bytes and time-outs in seconds for callers."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    header_timeout: float = 10.0
    idle_timeout: float = 30.0


@attrs.frozen
class RoutingConfiguration:
    """One version of the configuration of all routes.

    Attributes
    ----------
    routes
        Routes by lower-case host, the longest prefix first.
    zone_delays
        One-way delay in seconds between two availability zones, the same in
        both directions.
    requires_keys
        Whether calls need an API key, also while no workspace has one.
    """

    version: int
    routes: dict[str, tuple[Route, ...]]
    services: dict[str, RoutedService]
    workspaces_by_key: dict[str, RoutedWorkspace]
    limits: IngressLimits = attrs.field(factory=IngressLimits)
    zone_delays: dict[frozenset[str], float] = attrs.field(factory=dict)
    requires_keys: bool = False

    @classmethod
    def from_declarations(
        cls,
        version: int,
        routes: Iterable[Route],
        services: Iterable[RoutedService],
        workspaces_by_key: dict[str, RoutedWorkspace],
        limits: IngressLimits,
        zone_delays: dict[frozenset[str], float],
        requires_keys: bool = False,
    ) -> Self:
        """Index routes by host, the longest prefix of each first."""
        by_host: dict[str, list[Route]] = {}
        gaps: dict[str, list[float]] = {}
        for route in routes:
            by_host.setdefault(route.host.lower(), []).append(route)
            for target in route.services:
                gaps.setdefault(target.name, []).append(route.gap_objective)
        return cls(
            version,
            {
                host: tuple(sorted(found, key=_rank_prefix))
                for host, found in by_host.items()
            },
            {
                service.name: _add_stall_limits(
                    service, gaps.get(service.name, [])
                )
                for service in services
            },
            workspaces_by_key,
            limits,
            zone_delays,
            requires_keys or bool(workspaces_by_key),
        )

    def find_delay(self, zone: str, other: str) -> float:
        """Return the one-way delay between two zones, in seconds."""
        if zone == other:
            return 0
        return self.zone_delays.get(
            frozenset((zone, other)), _DEFAULT_ZONE_DELAY
        )

    def find_profile(self, service: str) -> EngineProfile | None:
        """Return the engine profile of a service; ``None`` if it has none."""
        found = self.services.get(service)
        return found.engine if found else None

    def find_warm_up(self, service: str) -> WarmUp:
        """Return how the endpoints of a service warm up."""
        found = self.services.get(service)
        return found.warm_up if found else WarmUp()

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route of a host with the longest matching prefix."""
        name, _, _ = host.lower().partition(':')
        for route in self.routes.get(name, ()):
            if path.startswith(route.prefix):
                return route
        return None


def _add_stall_limits(
    service: RoutedService, gaps: list[float]
) -> RoutedService:
    """Add the stall limits that follow from the routes' gap objectives."""
    if service.engine is None:
        return service
    engine = attrs.evolve(
        service.engine, stall_limits=StallLimits.from_gaps(gaps)
    )
    return attrs.evolve(service, engine=engine)


def _rank_prefix(route: Route) -> int:
    """Return a sort key that puts the longest prefix first."""
    return -len(route.prefix)
