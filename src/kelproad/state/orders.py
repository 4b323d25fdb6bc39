"""Desired state of engines, their reported state, and orders to them."""

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
    """Progress of a model's load at an engine."""

    READY = 'ready'
    LOADING = 'loading'
    FAILED = 'failed'


class OrderKind(enum.StrEnum):
    """Action that an order requires."""

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
        Number of the load, counted by the engine per incarnation.
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
    """State of an engine as it reports it.

    Attributes
    ----------
    token
        Highest fencing token that the engine has seen.
    running
        Number of its streams that have not ended.
    """

    incarnation: str
    models: list[ModelState]
    role: EngineRole = EngineRole.BOTH
    running: int = 0
    token: int = 0


@attrs.frozen
class DesiredModel:
    """A model that an engine should serve.

    Attributes
    ----------
    version
        Required version; empty for any that is loaded.
    generation
        Revision of the file that declares the model.
    """

    model: str
    version: str
    adapters: list[str]
    generation: int


@attrs.frozen
class DesiredState:
    """Models that one engine should serve."""

    endpoint: str
    address: str
    group: EndpointGroup
    models: list[DesiredModel]
    generation: int


@attrs.frozen
class Order:
    """An order to an engine, idempotent as it states the desired state.

    Attributes
    ----------
    token
        Fencing token of the lease holder that sends it.
    generation
        Revision that requires it.
    """

    kind: OrderKind
    token: int
    generation: int
    model: str = ''
    version: str = ''
    adapters: list[str] = attrs.field(factory=list)
    role: EngineRole = EngineRole.BOTH


def derive_desired(snapshot: Snapshot, zone: str) -> dict[str, DesiredState]:
    """Derive the desired state of each managed engine of a zone."""
    desired: dict[str, list[DesiredModel]] = {}
    for applied in snapshot.files.values():
        for service in applied.content.services if applied.content else ():
            if service.model:
                model = _desire(service, applied.revision)
                for name in service.endpoint_groups:
                    desired.setdefault(name, []).append(model)
    return {
        endpoint.name: DesiredState(
            endpoint.name,
            endpoint.address,
            group,
            desired.get(group.name, []),
            snapshot.revision,
        )
        for group in snapshot.groups.values()
        if group.managed and group.kind is EndpointKind.ENGINE
        for endpoint in group.endpoints
        if endpoint.zone == zone and not endpoint.leaving
    }


def find_model(state: EngineState, model: str) -> ModelState | None:
    """Find a model in an engine's reported state."""
    for item in state.models:
        if item.model == model:
            return item
    return None


def _desire(service: Service, revision: int) -> DesiredModel:
    return DesiredModel(
        service.model,
        service.version,
        sorted(service.adapters),
        revision,
    )
