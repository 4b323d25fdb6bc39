"""Calls to a service whose endpoints nobody can connect to."""

import random

import pytest

from kelproad.coordination.ingress.membership.reachability import (
    ZoneReachability,
)
from kelproad.coordination.ingress.placing.filtering import (
    EndpointFilter,
    RegionFilter,
    add_trials,
    select_connectable,
)
from kelproad.coordination.ingress.placing.placement import NoPlacementError
from kelproad.coordination.ingress.streams.progress import Progress
from kelproad.state.declarations import (
    EndpointDeclaration,
    EndpointGroup,
    EndpointKind,
)
from kelproad.state.directpaths import DirectPaths
from kelproad.state.endpoints import Endpoint
from kelproad.state.observations import EngineObservations
from tests.ingress.test_attempts import build_call

SERVICE = 'book'
NOW = 1000.0
#: Seconds that both ways take to fail, and between calls.
CONNECTING = 0.25
SPACING = 0.1
#: Seconds after the first failure from which calls are counted.
SETTLED = 4.0
#: Share of the calls that may wait for a connection to fail.
MAX_TRIED = 0.3
#: Seconds within which service must be back.
BACK_WITHIN = 1.0


def build_endpoints(count: int) -> list[Endpoint]:
    """Build plain endpoints at addresses of their own."""
    declarations = [
        EndpointDeclaration(f'i-{number}', 'a', f'10.0.0.{number}:80')
        for number in range(count)
    ]
    group = EndpointGroup(SERVICE, EndpointKind.PLAIN, declarations)
    return [Endpoint(declaration, group) for declaration in declarations]


class Caller:
    """Calls at a fixed rate, each to some endpoint that it may try."""

    def __init__(self, endpoints: list[Endpoint]) -> None:
        """Start with nothing known."""
        self.endpoints = endpoints
        self.paths = DirectPaths()
        self.now = NOW
        self.down = {endpoint.declaration.address for endpoint in endpoints}
        self._ending: list[tuple[float, str]] = []
        self._generator = random.Random(1)

    def call(self) -> bool:
        """Call; return whether an endpoint is tried."""
        self.now += SPACING
        self._end_attempts()
        tried = self.choose()
        if tried:
            address = self._generator.choice(tried).declaration.address
            ends_at = self.now
            if address in self.down:
                ends_at += CONNECTING
            self._ending.append((ends_at, address))
        return bool(tried)

    def choose(self) -> list[Endpoint]:
        """List the endpoints that a call may try now."""
        unreachable = self.paths.unreachable
        connectable = select_connectable(self.endpoints, unreachable, self.now)
        return add_trials(
            connectable, self.endpoints, SERVICE, unreachable, self.now
        )

    def _end_attempts(self) -> None:
        for ends_at, address in self._ending:
            if ends_at > self.now:
                continue
            if address in self.down:
                self.paths.unreachable.record_failed(address, ends_at)
            else:
                self.paths.record_connected(address, ends_at)
        self._ending = [item for item in self._ending if item[0] > self.now]


def run_outage(endpoints: int) -> Caller:
    """Call until what is known has settled."""
    caller = Caller(build_endpoints(endpoints))
    while caller.now < NOW + SETTLED:
        caller.call()
    return caller


@pytest.mark.parametrize('count', [1, 3, 8, 20])
def test_most_calls_are_refused_at_once_whatever_the_number_of_endpoints(
    count: int,
) -> None:
    """Calls would wait in turn for each endpoint that may be tried again."""
    caller = run_outage(count)
    tried = [caller.call() for _ in range(100)]
    assert sum(tried) / len(tried) < MAX_TRIED


def test_each_unreachable_endpoint_is_tried_in_the_end() -> None:
    """One that works again would stay unused behind one that is preferred."""
    caller = run_outage(5)
    last = caller.endpoints[-1].declaration.address
    caller.down.remove(last)
    for _ in range(100):
        caller.call()
    assert not caller.paths.unreachable.includes(last, caller.now)


def test_one_connection_ends_the_refusals() -> None:
    """Calls would be refused for seconds after the end of a cut."""
    caller = run_outage(20)
    caller.down.clear()
    healed_at = caller.now
    while caller.now < healed_at + BACK_WITHIN:
        caller.call()
    assert len(caller.choose()) == len(caller.endpoints)


def test_a_dead_endpoint_among_sound_ones_is_tried_again_soon() -> None:
    """An endpoint that works again would get no calls."""
    caller = Caller(build_endpoints(2))
    dead = caller.endpoints[0].declaration.address
    caller.paths.unreachable.record_failed(dead, NOW)
    assert caller.choose() == caller.endpoints[1:]
    caller.now += BACK_WITHIN
    assert len(caller.choose()) == len(caller.endpoints)


def test_a_choice_within_the_zone_uses_up_no_trial() -> None:
    """The same call would be refused when it is placed among all zones."""
    endpoints = build_endpoints(2)
    paths = DirectPaths()
    for endpoint in endpoints:
        paths.unreachable.record_failed(endpoint.declaration.address, NOW)
    endpoint_filter = EndpointFilter(
        ZoneReachability(),
        EngineObservations(),
        paths,
        RegionFilter(lambda _zone: '', random.Random(1)),
        random.Random(1),
    )
    call = build_call()
    with pytest.raises(NoPlacementError) as raised:
        endpoint_filter.list_usable(
            endpoints, call, Progress(), NOW, may_try=False
        )
    assert not raised.value.worth_waiting
    assert raised.value.retry_after > 0
    assert endpoint_filter.list_usable(
        endpoints, call, Progress(), NOW, may_try=True
    )
    with pytest.raises(NoPlacementError):
        endpoint_filter.list_usable(
            endpoints, call, Progress(), NOW, may_try=True
        )
