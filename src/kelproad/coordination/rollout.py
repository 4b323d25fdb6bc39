"""Rollout: the next orders that an engine fleet needs, without any I/O.

An engine whose model must be replaced is first withheld from new requests,
then drained, then sent the order.  Only a few engines do so at a time, and
never the last one that is ready for a model in its zone.
"""

from collections.abc import Mapping

import attrs

from ..state.orders import (
    DesiredModel,
    DesiredState,
    EngineState,
    ModelPhase,
    ModelState,
    Order,
    OrderKind,
    find_model,
)

__all__ = ['FailedVersion', 'Plan', 'RolloutState', 'plan_orders']

#: Seconds for which an engine is withheld before its streams are counted, so
#: that every instance knows of it and none sends it another request.
SPREAD_SECONDS = 3.0


@attrs.frozen
class FailedVersion:
    """A model version whose rollout was stopped because loads failed."""

    model: str
    version: str
    generation: int


@attrs.frozen
class RolloutState:
    """The state of one zone from which the next orders are planned.

    Attributes
    ----------
    observed
        Latest state of each engine; an engine that did not answer is missing.
    withheld
        Withheld engines, with the monotonic time at which that began.
    not_before
        Engines whose last load failed or was rejected by the weight store,
        with the monotonic time from which they may try again.
    """

    desired: Mapping[str, DesiredState]
    observed: Mapping[str, EngineState]
    withheld: Mapping[str, float]
    stopped: frozenset[FailedVersion]
    not_before: Mapping[str, float]
    token: int
    now: float


@attrs.define
class Plan:
    """The next orders, the engines to withhold, and notes for operators."""

    orders: list[tuple[str, Order]] = attrs.field(factory=list)
    withheld: dict[str, float] = attrs.field(factory=dict)
    notes: dict[str, str] = attrs.field(factory=dict)


@attrs.frozen
class _Difference:
    """A needed order, and whether it would interrupt running streams."""

    order: Order
    is_disruptive: bool


def plan_orders(rollout: RolloutState) -> Plan:
    """Plan the next orders of a zone, in the order of endpoint names."""
    plan = Plan()
    busy = _collect_busy(rollout)
    for endpoint in sorted(rollout.desired):
        state = rollout.observed.get(endpoint)
        if state is None:
            plan.notes[endpoint] = 'does not answer'
            continue
        differences = _find_differences(rollout, endpoint, state)
        if differences:
            group = rollout.desired[endpoint].group
            group_busy = busy.setdefault(group.name, set())
            _plan_in_turn(rollout, plan, endpoint, differences, group_busy)
        else:
            _note_loading(rollout, plan, endpoint)
    return plan


def _plan_in_turn(
    rollout: RolloutState,
    plan: Plan,
    endpoint: str,
    differences: list[_Difference],
    busy: set[str],
) -> None:
    limit = rollout.desired[endpoint].group.max_loading
    if endpoint not in busy and len(busy) >= limit:
        plan.notes[endpoint] = 'waits for others to load'
    elif _plan_endpoint(rollout, plan, endpoint, differences):
        busy.add(endpoint)


def _plan_endpoint(
    rollout: RolloutState,
    plan: Plan,
    endpoint: str,
    differences: list[_Difference],
) -> bool:
    """Plan for one engine; return whether it now counts as loading."""
    not_before = rollout.not_before.get(endpoint, rollout.now)
    if rollout.now < not_before:
        plan.notes[endpoint] = 'waits before it loads again'
        _keep_withheld(rollout, plan, endpoint)
        return False
    if any(difference.is_disruptive for difference in differences):
        only = _find_only_ready(rollout, plan, endpoint)
        if only:
            plan.notes[endpoint] = f'is the last one ready for {only}'
            return False
        since = rollout.withheld.get(endpoint, rollout.now)
        plan.withheld[endpoint] = since
        running = rollout.observed[endpoint].running
        if rollout.now - since < SPREAD_SECONDS or running:
            plan.notes[endpoint] = f'draining, {running} streams'
            return True
    _keep_withheld(rollout, plan, endpoint)
    plan.notes[endpoint] = 'ordered'
    plan.orders += [(endpoint, difference.order) for difference in differences]
    return True


def _keep_withheld(rollout: RolloutState, plan: Plan, endpoint: str) -> None:
    since = rollout.withheld.get(endpoint)
    if since is not None:
        plan.withheld[endpoint] = since


def _collect_busy(rollout: RolloutState) -> dict[str, set[str]]:
    """Collect by group the engines that are loading or withheld."""
    busy: dict[str, set[str]] = {}
    for endpoint, desired in rollout.desired.items():
        state = rollout.observed.get(endpoint)
        is_loading = state is not None and any(
            item.phase is ModelPhase.LOADING for item in state.models
        )
        if is_loading or endpoint in rollout.withheld:
            busy.setdefault(desired.group.name, set()).add(endpoint)
    return busy


def _find_differences(
    rollout: RolloutState,
    endpoint: str,
    state: EngineState,
) -> list[_Difference]:
    desired = rollout.desired[endpoint]
    differences = []
    for wanted in desired.models:
        difference = _compare(
            _choose_version(rollout, desired, wanted),
            find_model(state, wanted.model),
            rollout.token,
        )
        if difference is not None:
            differences.append(difference)
    names = {wanted.model for wanted in desired.models}
    for held in state.models:
        if held.model not in names:
            order = Order(
                OrderKind.UNLOAD,
                rollout.token,
                desired.generation,
                held.model,
            )
            differences.append(_Difference(order, is_disruptive=True))
    if state.role is not desired.group.role:
        order = Order(
            OrderKind.ROLE,
            rollout.token,
            desired.generation,
            role=desired.group.role,
        )
        differences.append(_Difference(order, is_disruptive=True))
    return differences


def _compare(
    wanted: DesiredModel,
    held: ModelState | None,
    token: int,
) -> _Difference | None:
    order = Order(
        OrderKind.LOAD,
        token,
        wanted.generation,
        wanted.model,
        wanted.version,
        wanted.adapters,
    )
    if held is None:
        return _Difference(order, is_disruptive=False)
    is_version = wanted.version in {'', held.version}
    is_same = is_version and sorted(held.adapters) == wanted.adapters
    if is_same and held.phase is not ModelPhase.FAILED:
        return None
    is_ready = held.phase is ModelPhase.READY
    # Adapters can be exchanged while streams run; a version cannot.
    return _Difference(order, is_disruptive=is_ready and not is_version)


def _choose_version(
    rollout: RolloutState,
    desired: DesiredState,
    wanted: DesiredModel,
) -> DesiredModel:
    """Choose the declared version, or a working one if its rollout stopped.

    Engines that were not changed still run the earlier version; those on which
    the new one failed go back to the version that most engines have ready.
    """
    failed = FailedVersion(wanted.model, wanted.version, wanted.generation)
    if failed not in rollout.stopped:
        return wanted
    versions = [
        held.version
        for endpoint, state in rollout.observed.items()
        if rollout.desired[endpoint].group.name == desired.group.name
        and (held := find_model(state, wanted.model))
        and held.phase is ModelPhase.READY
        and held.version != wanted.version
    ]
    if not versions:
        return wanted
    common = max(sorted(set(versions)), key=versions.count)
    return attrs.evolve(wanted, version=common)


def _find_only_ready(
    rollout: RolloutState,
    plan: Plan,
    endpoint: str,
) -> str:
    """Return a model that no other engine has ready, or an empty string."""
    withheld = {*rollout.withheld, *plan.withheld}
    for wanted in rollout.desired[endpoint].models:
        ready = {
            name
            for name, state in rollout.observed.items()
            if (held := find_model(state, wanted.model))
            and held.phase is ModelPhase.READY
        }
        if endpoint in ready and not ready - withheld - {endpoint}:
            return wanted.model
    return ''


def _note_loading(rollout: RolloutState, plan: Plan, endpoint: str) -> None:
    loading = [
        f'{item.model} {item.version}'
        for item in rollout.observed[endpoint].models
        if item.phase is ModelPhase.LOADING
    ]
    if loading:
        plan.notes[endpoint] = f'loading {", ".join(loading)}'
        _keep_withheld(rollout, plan, endpoint)
