"""Decoding of the store's rows that operators and engines write."""

import math
import sys
from typing import Annotated

import msgspec
from returns.result import Failure, Result, Success

from ..coordination.ingress.tables.roworders import (
    EvacuationOrder,
    ListedEndpoint,
)
from ..coordination.ingress.tables.tablestates import StoredRow
from ..state.engines import EngineProfile
from ..state.problems import UNREADABLE_ERRORS
from ..state.requestlimits import WarmUp
from ..state.routes import (
    CallKind,
    IngressLimits,
    Route,
    RoutedService,
    RoutedWorkspace,
    RoutingConfiguration,
    WeightedService,
)
from ..transport.addresses import Address

__all__ = [
    'CONFIGURATION_KEY',
    'CONFIGURATION_TABLE',
    'ENDPOINT_TABLE',
    'decode_configuration',
    'decode_endpoint',
    'decode_evacuation',
]

#: Table that operators write, and the key of the configuration in it.
CONFIGURATION_TABLE = 'op'
CONFIGURATION_KEY = 'config'
#: Keys of the rows in it that evacuate a zone begin with this.
_EVACUATION_PREFIX = 'evacuate/'
#: Table in which engines register themselves, each under its id.
ENDPOINT_TABLE = 'servers'

#: A client abandons a stream that is silent for the longest of these: a time in
#: milliseconds, and multiples of its route's target latency and target gap.
_MIN_SILENCE_TIMEOUT_MS = 2000
_LATENCY_MULTIPLE = 4
_GAP_MULTIPLE = 8
_MILLISECONDS = 1000.0
_KIND_IDEMPOTENT = 'idempotent'
_KIND_STREAMING = 'streaming'
_STATES = frozenset(('ready', 'draining'))
_DRAINING_STATE = 'draining'


class _WeightedService(msgspec.Struct):
    service: str
    weight: float = 1.0


class _Route(msgspec.Struct):
    name: str
    host: str
    path_prefix: str
    route_type: str
    timeout_ms: float
    #: Latency of the complete answer, but for a stream that of its first
    #: event.
    target_latency_ms: float = math.inf
    #: Longest gap between two events.
    target_gap_ms: float = math.inf
    priority: int | None = None
    #: One service, or else several with weights.
    service: str = ''
    weighted_services: list[_WeightedService] = []
    #: Maximum number of endpoints that may get one call, not of dispatches.
    max_attempts: int = 1
    anonymous: bool = False
    stream_resume: bool = False
    #: None or an empty list for all regions.
    allowed_regions: list[str] | None = None


class _Delay(msgspec.Struct, rename={'origin': 'from'}):
    """Delay from one zone to another; it is the same both ways."""

    origin: str
    target: str
    delay_ms: float


class _Engine(msgspec.Struct):
    """Published performance model of an engine; unused fields are omitted."""

    slots: int
    #: Tokens, not bytes.
    kv_capacity: int
    stride: int = 1
    step_ms: float = 1.0
    #: Milliseconds that each decoding stream adds to a step.
    per_seq_ms: float = 0
    #: Milliseconds that each 1,000 tokens of context add to a step.
    context_per_k: float = 0
    #: Prompt tokens prefilled per second.
    read_per_s: float = 15_000.0
    #: Milliseconds for the attention of a million pairs of tokens.
    pairs_per_m: float = 0
    hop_ms: float = 0
    delays: list[_Delay] = []


class _Service(msgspec.Struct):
    name: str
    #: Set for services of model engines only.
    engine: _Engine | None = None
    warmup_s: float = 0
    #: Requests from all instances that a cold engine bears; 0 for no limit.
    warmup_per_s: float = 0


class _Limits(msgspec.Struct):
    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    header_timeout_ms: float = 10_000.0
    idle_timeout_ms: float = 30_000.0


class _Tenant(msgspec.Struct):
    """A customer, which the product calls a workspace."""

    name: str
    api_keys: list[str] = []
    priority: int | None = None
    #: None or an empty list for all regions.
    allowed_regions: list[str] | None = None


_MAX_COUNT = sys.maxsize
#: A version of the configuration, which is told to peers.
_Version = Annotated[int, msgspec.Meta(ge=-_MAX_COUNT - 1, le=_MAX_COUNT)]


class _Configuration(msgspec.Struct):
    version: _Version
    #: Decoded one by one, as most are those of the version before.
    routes: list[msgspec.Raw]
    services: list[_Service]
    limits: _Limits = msgspec.field(default_factory=_Limits)
    tenants: list[_Tenant] = []


#: A count or a time in an entry of any writer, which is computed with and told
#: to peers.
_Count = Annotated[int, msgspec.Meta(ge=0, le=_MAX_COUNT)]


class _Server(msgspec.Struct):
    """An engine's own entry in the table of endpoints."""

    service: str
    address: str
    zone: str
    state: str
    #: Count of its reports; grows within one incarnation.
    sequence: _Count
    slots: _Count = 0
    #: Remaining time for which the engine is slow after its start.
    warmup_left_ms: float = 0
    #: Unix time of its start in milliseconds, which identifies its incarnation.
    born: _Count = 0


class _RouteDecoder:
    """Decodes the routes of a configuration.

    A change leaves most routes as they are.  To build thousands anew would hold
    the event loop for longer than many gaps between two events last.
    """

    def __init__(self) -> None:
        """Start without routes."""
        #: Routes of the configuration decoded last, by their text.
        self._known: dict[bytes, Route] = {}

    def decode(self, encoded: list[msgspec.Raw]) -> list[Route]:
        """Decode routes; raise one of ``UNREADABLE_ERRORS`` for a bad one."""
        texts = [bytes(one) for one in encoded]
        known = self._known
        routes = [
            known.get(text) or _build_route(_routes.decode(text))
            for text in texts
        ]
        self._known = dict(zip(texts, routes, strict=True))
        return routes


_configurations = msgspec.json.Decoder(_Configuration)
_routes = msgspec.json.Decoder(_Route)
_servers = msgspec.json.Decoder(_Server)
_route_decoder = _RouteDecoder()


def decode_configuration(
    row: StoredRow,
) -> Result[RoutingConfiguration, str]:
    """Decode the row that holds the complete newest configuration."""
    if row.encoded is None:
        return Failure('the configuration was deleted')
    try:
        decoded = _configurations.decode(row.encoded)
        routes = _route_decoder.decode(decoded.routes)
    except UNREADABLE_ERRORS as error:
        return Failure(str(error))
    return Success(
        RoutingConfiguration.from_declarations(
            decoded.version,
            routes,
            map(_build_service, decoded.services),
            _collect_workspaces(decoded.tenants),
            _build_limits(decoded.limits),
            _collect_delays(decoded.services),
            requires_keys=bool(decoded.tenants),
        ),
    )


def decode_evacuation(row: StoredRow) -> EvacuationOrder | None:
    """Decode an order to evacuate a zone; ``None`` for another row.

    Its content says nothing, but has to be an object.
    """
    if not row.key.startswith(_EVACUATION_PREFIX):
        return None
    zone = row.key.removeprefix(_EVACUATION_PREFIX)
    if not zone:
        return EvacuationOrder(zone, 'names no zone')
    if row.encoded is not None:
        try:
            msgspec.json.decode(row.encoded, type=dict)
        except UNREADABLE_ERRORS as error:
            return EvacuationOrder(zone, str(error))
    return EvacuationOrder(zone)


def decode_endpoint(row: StoredRow) -> Result[ListedEndpoint, str]:
    """Decode the row of one engine.

    Another program may have written the row, with fields missing or of another
    type; such a row is a failure and lists no engine.
    """
    if row.encoded is None:
        return Failure('dropped')
    try:
        server = _servers.decode(row.encoded)
        address = Address.from_text(server.address)
    except UNREADABLE_ERRORS as error:
        return Failure(str(error))
    if server.state not in _STATES:
        return Failure(f'unknown state {server.state!r}')
    return Success(
        ListedEndpoint(
            name=row.key,
            service=server.service,
            address=address.authority,
            zone=server.zone,
            slots=server.slots,
            leaving=server.state == _DRAINING_STATE,
            warm_up_left=server.warmup_left_ms / _MILLISECONDS,
            born=server.born,
            sequence=server.sequence,
        ),
    )


def _build_route(route: _Route) -> Route:
    weighted = [
        WeightedService(item.service, item.weight)
        for item in route.weighted_services
    ]
    return Route(
        name=route.name,
        host=route.host,
        prefix=route.path_prefix,
        kind=_convert_kind(route),
        services=tuple(weighted or [WeightedService(route.service, 1)]),
        timeout=route.timeout_ms / _MILLISECONDS,
        objective=route.target_latency_ms / _MILLISECONDS,
        gap_objective=route.target_gap_ms / _MILLISECONDS,
        silence_timeout=_compute_silence_timeout(route),
        priority=route.priority,
        max_endpoints=max(1, route.max_attempts),
        anonymous=route.anonymous,
        permitted_regions=_build_regions(route.allowed_regions),
    )


def _collect_workspaces(tenants: list[_Tenant]) -> dict[str, RoutedWorkspace]:
    """Collect the workspaces by API key."""
    by_key: dict[str, RoutedWorkspace] = {}
    for tenant in tenants:
        by_key.update(dict.fromkeys(tenant.api_keys, _build_workspace(tenant)))
    return by_key


def _build_workspace(tenant: _Tenant) -> RoutedWorkspace:
    return RoutedWorkspace(
        tenant.name, tenant.priority, _build_regions(tenant.allowed_regions)
    )


def _build_regions(allowed: list[str] | None) -> frozenset[str] | None:
    return frozenset(allowed) if allowed else None


def _compute_silence_timeout(route: _Route) -> float:
    """Return the seconds without an event after which clients leave."""
    milliseconds = max(
        _MIN_SILENCE_TIMEOUT_MS,
        _LATENCY_MULTIPLE * route.target_latency_ms,
        _GAP_MULTIPLE * route.target_gap_ms,
    )
    return milliseconds / _MILLISECONDS


def _convert_kind(route: _Route) -> CallKind:
    """Return the kind; calls of an unknown type must not be repeated."""
    if route.route_type == _KIND_STREAMING:
        resumes = route.stream_resume
        return CallKind.RESUMABLE_STREAM if resumes else CallKind.STREAM
    if route.route_type == _KIND_IDEMPOTENT:
        return CallKind.IDEMPOTENT
    return CallKind.NON_IDEMPOTENT


def _build_service(service: _Service) -> RoutedService:
    engine = service.engine
    warm_up = WarmUp(service.warmup_s, service.warmup_per_s)
    if engine is None:
        return RoutedService(service.name, warm_up=warm_up)
    return RoutedService(
        service.name,
        warm_up=warm_up,
        engine=EngineProfile(
            slots=engine.slots,
            memory_tokens=engine.kv_capacity,
            stride=engine.stride,
            step_seconds=engine.step_ms / _MILLISECONDS,
            stream_seconds=engine.per_seq_ms / _MILLISECONDS,
            context_seconds=engine.context_per_k / _MILLISECONDS,
            tokens_per_second=engine.read_per_s,
            pair_seconds=engine.pairs_per_m / _MILLISECONDS,
            hop_seconds=engine.hop_ms / _MILLISECONDS,
        ),
    )


def _collect_delays(services: list[_Service]) -> dict[frozenset[str], float]:
    """Collect the delays between zones, which every service lists."""
    return {
        frozenset((delay.origin, delay.target)): delay.delay_ms / _MILLISECONDS
        for service in services
        if service.engine
        for delay in service.engine.delays
    }


def _build_limits(limits: _Limits) -> IngressLimits:
    return IngressLimits(
        max_header_bytes=limits.max_header_bytes,
        max_body_bytes=limits.max_body_bytes,
        header_timeout=limits.header_timeout_ms / _MILLISECONDS,
        idle_timeout=limits.idle_timeout_ms / _MILLISECONDS,
    )
