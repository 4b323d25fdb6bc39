"""Declarations of operators: services, workspaces, endpoints, deployment.

An operator's file is parsed into these records.  They are immutable and do not
contain how or when they came into force.
"""

import enum

import attrs

__all__ = [
    'Deadline',
    'Delivery',
    'Deployment',
    'EndpointDeclaration',
    'EndpointGroup',
    'EndpointKind',
    'EngineRole',
    'Fencing',
    'FileContent',
    'Limits',
    'Objective',
    'Policy',
    'Segmenting',
    'Service',
    'ServiceKind',
    'Workspace',
]


class ServiceKind(enum.StrEnum):
    """Kind of the endpoints that serve a service."""

    MODEL = 'model'
    PLAIN = 'plain'


class EndpointKind(enum.StrEnum):
    """Protocol of an endpoint: that of model engines, or plain HTTP."""

    ENGINE = 'engine'
    PLAIN = 'plain'


class Delivery(enum.StrEnum):
    """Whether an answer is forwarded as a stream or when it is complete."""

    STREAM = 'stream'
    WHOLE = 'whole'


class Fencing(enum.StrEnum):
    """Treatment of orders with an old fencing token by an engine."""

    ENFORCED = 'enforced'
    IGNORED = 'ignored'


class EngineRole(enum.StrEnum):
    """Phases of a request that an engine computes."""

    BOTH = 'both'
    PREFILL = 'prefill'
    DECODE = 'decode'


class Policy(enum.StrEnum):
    """Policy of choosing an endpoint; all but ``predicted`` are baselines.

    The first three behave like plain proxies and send no priorities.
    """

    ROUND_ROBIN = 'round_robin'
    LEAST_REQUESTS = 'least_requests'
    LEAST_TOKENS = 'least_tokens'
    ROUND_ROBIN_PRIORITY = 'round_robin_priority'
    PREDICTED = 'predicted'


@attrs.frozen
class Deadline:
    """Default and maximum seconds that a request may take."""

    default: float = 60.0
    maximum: float = 600.0


@attrs.frozen
class Objective:
    """Relative weights of the two measures that routing trades off.

    Attributes
    ----------
    slowdown
        Weight of the slowdown of short requests by long ones.
    first_token
        Weight of the time to first token of every request.
    """

    slowdown: float = 0.5
    first_token: float = 0.5


@attrs.frozen
class Deployment:
    """Declarations for the whole site.

    Attributes
    ----------
    retry_budget_percent
        Retries that an instance allows per hundred requests of a service.
    """

    name: str
    zones: list[str]
    objective: Objective = attrs.field(factory=Objective)
    policy: Policy = Policy.PREDICTED
    retry_budget_percent: float = 10.0


@attrs.frozen
class Segmenting:
    """Settings for answering a prompt in parts that exceeds any engine.

    Attributes
    ----------
    tokens
        Estimated tokens of a part, its heading included.
    combine
        Prompt for combining the parts' answers, which follow it, into one.
    boundary
        Separator of records; a prompt is split only there.
    heading_end
        Text that ends the heading, which precedes the records and is repeated
        in every part; empty when there is no heading.
    answer_tokens
        Maximum tokens of the answer to a part.
    most_parts, parallel
        Maximum number of parts of a prompt, and of those answered at a time.
    """

    tokens: int
    combine: str
    boundary: str = '\n'
    heading_end: str = '\n\n'
    answer_tokens: int = 512
    most_parts: int = 32
    parallel: int = 4


@attrs.frozen
class Service:
    """A service, which callers request by name.

    Attributes
    ----------
    kind
        Model engines or plain HTTP endpoints.
    model
        Model that the engines must serve; empty for plain services.
    version
        Version of the model that the engines should serve; empty for any.
    idempotent
        Whether a call may be repeated; by default a model service's may and a
        plain service's may not.  GET and HEAD always may.
    bytes_per_token
        Divisor of the prompt-length estimate for this model.
    segments
        Settings for answering larger prompts in parts; without them such
        prompts are refused.
    adapters
        Adapters that the engines should load with the model.
    """

    name: str
    kind: ServiceKind
    endpoint_groups: list[str]
    model: str = ''
    version: str = ''
    idempotent: bool | None = None
    delivery: Delivery = Delivery.STREAM
    deadline: Deadline = attrs.field(factory=Deadline)
    bytes_per_token: float = 4.0
    max_body_bytes: int = 16_777_216
    segments: Segmenting | None = None
    adapters: list[str] = attrs.field(factory=list)

    @property
    def may_repeat(self) -> bool:
        """Whether work that may have run may be run again."""
        if self.idempotent is None:
            return self.kind is ServiceKind.MODEL
        return self.idempotent


@attrs.frozen
class Limits:
    """Bounds on a workspace's use; ``None`` means unlimited."""

    requests_per_second: float | None = None
    tokens_per_second: float | None = None
    tokens_in_flight: int | None = None


@attrs.frozen
class Workspace:
    """A customer of the site.

    Attributes
    ----------
    key_digests
        SHA-256 digests, in hexadecimal, of the API keys that belong to it.
    weight
        Relative share of the site under contention.
    """

    name: str
    key_digests: list[str]
    services: list[str]
    limits: Limits = attrs.field(factory=Limits)
    weight: float = 1.0


@attrs.frozen
class EndpointDeclaration:
    """One back end at a fixed address (``IP:port``).

    Attributes
    ----------
    incarnation
        Changes when the endpoint is known to have restarted; empty where
        unknown.
    slots
        Maximum number of concurrent calls, 0 where unknown.
    """

    name: str
    zone: str
    address: str
    leaving: bool = False
    incarnation: str = ''
    slots: int = 0


@attrs.frozen
class EndpointGroup:
    """Interchangeable endpoints with common properties.

    Attributes
    ----------
    honours_priorities
        Whether the engines schedule by the priority that is sent to them.
    memory_tokens
        Size of one engine's KV cache in tokens; the largest prompt that it can
        serve.
    managed
        Whether the engines get orders to load the models of the services.
    role
        Role that managed engines should have.
    max_loading
        Managed engines of a zone that may be drained or loading at once.
    prefill_tokens_per_second
        Rate assumed until one is learned.
    cache_tokens
        Size of one engine's cache of computed prefixes in tokens.
    honours_continuation
        Whether the engines continue the text that comes with a request, so
        that an answer truncated at another engine can be completed.
    """

    name: str
    kind: EndpointKind
    endpoints: list[EndpointDeclaration]
    fencing: Fencing = Fencing.ENFORCED
    honours_priorities: bool = True
    memory_tokens: int = 400_000
    prefill_tokens_per_second: float = 15_000.0
    managed: bool = False
    role: EngineRole = EngineRole.BOTH
    max_loading: int = 1
    cache_tokens: int = 200_000
    honours_continuation: bool = False


@attrs.frozen
class FileContent:
    """Declarations of one operator's file."""

    name: str
    deployment: Deployment | None = None
    services: list[Service] = attrs.field(factory=list)
    workspaces: list[Workspace] = attrs.field(factory=list)
    endpoint_groups: list[EndpointGroup] = attrs.field(factory=list)
