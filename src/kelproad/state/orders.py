"""What engines are to run, and what they say they run."""

import enum

import attrs

from .configuration import Snapshot
from .declarations import EndpointGroup, EndpointKind, EngineRole, Service

__all__ = [
    'DesiredModel',
    'DesiredState',
    'EngineState',
    'ModelPhase',
    'ModelState',
    'Order',
    'OrderKind',
    'derive_desired',
    'find_model',
]


class ModelPhase(enum.StrEnum):
    """How far an engine is with a model."""

    READY = 'ready'
    LOADING = 'loading'
    FAILED = 'failed'


class OrderKind(enum.StrEnum):
    """What an order asks for."""

    LOAD = 'load'
    UNLOAD = 'unload'
    ROLE = 'role'


@attrs.frozen
class ModelState:
    """One model as an engine reports it.

    Attributes
    ----------
    retry_after
        Seconds after which the weight store allows another fetch; above zero
        when a load failed only because of its rate limit.
    attempt
        Number of the load, counted by the engine in its incarnation.
    """

    model: str
    version: str
    adapters: list[str] = attrs.field(factory=list)
    phase: ModelPhase = ModelPhase.READY
    reason: str = ''
    retry_after: float = 0
    attempt: int = 0


@attrs.frozen
class EngineState:
    """What an engine reports of itself.

    Attributes
    ----------
    token
        Highest fencing token that the engine has seen.
    running
        Streams that it has not ended.
    """

    incarnation: str
    models: list[ModelState]
    role: EngineRole = EngineRole.BOTH
    running: int = 0
    token: int = 0


@attrs.frozen
class DesiredModel:
    """A model that an engine is to serve.

    Attributes
    ----------
    version
        Version wanted; empty for whichever is there.
    generation
        Revision of the file that wants it.
    """

    model: str
    version: str
    adapters: list[str]
    generation: int


@attrs.frozen
class DesiredState:
    """What one engine is to run."""

    endpoint: str
    address: str
    group: EndpointGroup
    models: list[DesiredModel]
    generation: int


@attrs.frozen
class Order:
    """An order to an engine: a state to be in, so that repeating is harmless.

    Attributes
    ----------
    token
        Fencing token of the holder that gives it.
    generation
        Revision that wants it.
    """

    kind: OrderKind
    token: int
    generation: int
    model: str = ''
    version: str = ''
    adapters: list[str] = attrs.field(factory=list)
    role: EngineRole = EngineRole.BOTH


def derive_desired(snapshot: Snapshot, zone: str) -> dict[str, DesiredState]:
    """Derive what each managed engine of a zone is to run."""
    wanted: dict[str, list[DesiredModel]] = {}
    for applied in snapshot.files.values():
        for service in applied.content.services if applied.content else ():
            if service.model:
                model = _want(service, applied.revision)
                for name in service.endpoint_groups:
                    wanted.setdefault(name, []).append(model)
    return {
        endpoint.name: DesiredState(
            endpoint.name,
            endpoint.address,
            group,
            wanted.get(group.name, []),
            snapshot.revision,
        )
        for group in snapshot.groups.values()
        if group.managed and group.kind is EndpointKind.ENGINE
        for endpoint in group.endpoints
        if endpoint.zone == zone and not endpoint.leaving
    }


def find_model(state: EngineState, model: str) -> ModelState | None:
    """Find a model in what an engine reports."""
    for item in state.models:
        if item.model == model:
            return item
    return None


def _want(service: Service, revision: int) -> DesiredModel:
    return DesiredModel(
        service.model,
        service.version,
        sorted(service.adapters),
        revision,
    )
