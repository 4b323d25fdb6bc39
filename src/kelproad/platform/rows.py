"""Rows of the store that the operator and the engines write, decoded."""

import math

import msgspec
from returns.result import Failure, Result, Success

from ..coordination.ingress.endpoints import ListedEndpoint
from ..coordination.ingress.tablestates import StoredRow
from ..state.engines import EngineProfile
from ..state.routes import (
    CallKind,
    IngressLimits,
    Route,
    RoutedService,
    RoutedWorkspace,
    RoutingConfiguration,
    WeightedService,
)
from ..transport.addresses import Address, AddressError

__all__ = [
    'CONFIGURATION_KEY',
    'CONFIGURATION_TABLE',
    'ENDPOINT_TABLE',
    'decode_configuration',
    'decode_endpoint',
]

#: Table of what operators write, and the key of the configuration in it.
CONFIGURATION_TABLE = 'op'
CONFIGURATION_KEY = 'config'
#: Table in which engines list themselves, each under its id.
ENDPOINT_TABLE = 'servers'

#: A client leaves a stream after the longest of these: milliseconds, and times
#: the latency and the pause that its route aims at.
_LEAST_PATIENCE_MS = 2000
_PATIENCE_OBJECTIVES = 4
_PATIENCE_GAPS = 8
_MILLISECONDS = 1000.0
_KIND_IDEMPOTENT = 'idempotent'
_KIND_STREAMING = 'streaming'
_STATES = frozenset(('ready', 'draining'))
_LEAVING_STATE = 'draining'


class _WeightedService(msgspec.Struct):
    service: str
    weight: float = 1.0


class _Route(msgspec.Struct):
    name: str
    host: str
    path_prefix: str
    route_type: str
    timeout_ms: float
    #: Named after the time of the whole answer; for a stream it is the time
    #: to its first event.
    target_latency_ms: float = math.inf
    #: Longest pause between two events.
    target_gap_ms: float = math.inf
    priority: int = 0
    #: One service, or else several with weights.
    service: str = ''
    weighted_services: list[_WeightedService] = []
    #: Endpoints, not sends: it bounds how many may get one call.
    max_attempts: int = 1
    anonymous: bool = False
    stream_resume: bool = False


class _Delay(msgspec.Struct, rename={'origin': 'from'}):
    """One way between two zones; the other way takes as long."""

    origin: str
    target: str
    delay_ms: float


class _Engine(msgspec.Struct):
    """Published model of an engine; what isn't used here is left out."""

    slots: int
    #: Tokens, not bytes.
    kv_capacity: int
    stride: int = 1
    step_ms: float = 1.0
    #: Milliseconds that each writer adds to a step.
    per_seq_ms: float = 0
    #: Milliseconds that each 1,000 tokens of context add to a step.
    context_per_k: float = 0
    #: Prompt tokens a second.
    read_per_s: float = 15_000.0
    #: Milliseconds for a million pairs of tokens.
    pairs_per_m: float = 0
    hop_ms: float = 0
    delays: list[_Delay] = []


class _Service(msgspec.Struct):
    name: str
    #: Only model engines have one.
    engine: _Engine | None = None


class _Limits(msgspec.Struct):
    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    header_timeout_ms: float = 10_000.0
    idle_timeout_ms: float = 30_000.0


class _Tenant(msgspec.Struct):
    """A customer: what the product calls a workspace."""

    name: str
    api_keys: list[str] = []
    priority: int | None = None


class _Configuration(msgspec.Struct):
    version: int
    routes: list[_Route]
    services: list[_Service]
    limits: _Limits = msgspec.field(default_factory=_Limits)
    tenants: list[_Tenant] = []


class _Server(msgspec.Struct):
    """How an engine lists itself."""

    service: str
    address: str
    zone: str
    state: str
    #: Count of its reports; grows within one life.
    sequence: int
    slots: int = 0
    #: How much longer it is slow after its start.
    warmup_left_ms: float = 0
    #: Unix millisecond of its start, which tells its lives apart.
    born: int = 0


_configurations = msgspec.json.Decoder(_Configuration)
_servers = msgspec.json.Decoder(_Server)


def decode_configuration(
    row: StoredRow,
) -> Result[RoutingConfiguration, str]:
    """Decode the row that holds the newest configuration in full."""
    if row.encoded is None:
        return Failure('the configuration was dropped')
    try:
        decoded = _configurations.decode(row.encoded)
    except msgspec.DecodeError as error:
        return Failure(str(error))
    return Success(
        RoutingConfiguration.from_declarations(
            decoded.version,
            map(_build_route, decoded.routes),
            map(_build_service, decoded.services),
            {
                key: RoutedWorkspace(tenant.name, tenant.priority)
                for tenant in decoded.tenants
                for key in tenant.api_keys
            },
            _build_limits(decoded.limits),
            _collect_delays(decoded.services),
        ),
    )


def decode_endpoint(row: StoredRow) -> Result[ListedEndpoint, str]:
    """Decode the row of one engine.

    Rows may have been written by somebody else, with fields missing or of
    another type; such a row names no engine.
    """
    if row.encoded is None:
        return Failure('dropped')
    try:
        server = _servers.decode(row.encoded)
        address = Address.from_text(server.address)
    except (msgspec.DecodeError, AddressError) as error:
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
            leaving=server.state == _LEAVING_STATE,
            slow_for=server.warmup_left_ms / _MILLISECONDS,
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
        kind=_choose_kind(route),
        services=tuple(weighted or [WeightedService(route.service, 1)]),
        timeout=route.timeout_ms / _MILLISECONDS,
        objective=route.target_latency_ms / _MILLISECONDS,
        gap_objective=route.target_gap_ms / _MILLISECONDS,
        silence_timeout=_choose_patience(route),
        priority=route.priority,
        max_endpoints=max(1, route.max_attempts),
        anonymous=route.anonymous,
    )


def _choose_patience(route: _Route) -> float:
    """Choose the seconds without an event after which clients leave."""
    milliseconds = max(
        _LEAST_PATIENCE_MS,
        _PATIENCE_OBJECTIVES * route.target_latency_ms,
        _PATIENCE_GAPS * route.target_gap_ms,
    )
    return milliseconds / _MILLISECONDS


def _choose_kind(route: _Route) -> CallKind:
    """Choose the kind; a type that isn't known is not repeated."""
    if route.route_type == _KIND_STREAMING:
        resumes = route.stream_resume
        return CallKind.RESUMABLE_STREAM if resumes else CallKind.STREAM
    if route.route_type == _KIND_IDEMPOTENT:
        return CallKind.IDEMPOTENT
    return CallKind.NON_IDEMPOTENT


def _build_service(service: _Service) -> RoutedService:
    engine = service.engine
    if engine is None:
        return RoutedService(service.name)
    return RoutedService(
        service.name,
        EngineProfile(
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
    """Collect the delays between zones, which each service repeats."""
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
