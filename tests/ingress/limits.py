"""Parts of instances that share request limits, on a clock set by tests."""

import random
from collections.abc import Callable, Iterable, Mapping

import pytest

from kelproad.coordination.ingress.limiting import gate as gate_module
from kelproad.coordination.ingress.limiting import granting as granting_module
from kelproad.coordination.ingress.limiting import observing as observing_module
from kelproad.coordination.ingress.limiting.coordinators import (
    CoordinatorSelector,
)
from kelproad.coordination.ingress.limiting.gate import StartGate
from kelproad.coordination.ingress.limiting.granting import StartGranter
from kelproad.coordination.ingress.limiting.observing import LimitObserver
from kelproad.coordination.ingress.membership.messages import Query, Reply
from kelproad.coordination.ingress.membership.peers import PeerRegister
from kelproad.coordination.ingress.membership.reachability import (
    ZoneReachability,
)
from kelproad.coordination.ingress.membership.updates import (
    PeerUpdate,
    ZoneReader,
)
from kelproad.coordination.ingress.placing.filtering import (
    EndpointFilter,
    RegionFilter,
)
from kelproad.coordination.ingress.settings import NodeSettings
from kelproad.coordination.ingress.tables.readers import Reader
from kelproad.state.counters import Counters, LimitMetrics
from kelproad.state.declarations import (
    EndpointDeclaration,
    EndpointGroup,
    EndpointKind,
)
from kelproad.state.directpaths import DirectPaths
from kelproad.state.endpoints import Endpoint
from kelproad.state.endpointtable import EndpointTable
from kelproad.state.observations import EngineObservations
from kelproad.state.requestlimits import LimitNotice, RequestLimits
from kelproad.transport.addresses import Address

NOW = 1000.0


def build_observer(table: EndpointTable | None = None) -> LimitObserver:
    """Build the observer of an instance that knows no limit."""
    metrics = LimitMetrics(Counters().registry)
    return LimitObserver(RequestLimits(), metrics, table or EndpointTable())


class Fleet:
    """Instances of some zones, and one endpoint in each zone.

    Attributes
    ----------
    now
        The time of all instances, in seconds.
    silent
        Hosts that don't answer.
    warm_up_rate
        Starts per second that the endpoints bear while they warm up, ``None``
        when they don't.
    """

    def __init__(
        self,
        monkeypatch: pytest.MonkeyPatch,
        zones: dict[str, int],
    ) -> None:
        """Create as many instances in each zone; none knows another."""
        self.now = NOW
        for module in (gate_module, granting_module, observing_module):
            monkeypatch.setattr(module, 'monotonic', self.read_clock)
        monkeypatch.setattr(gate_module, '_SURPRISE_SECONDS', 0)
        declarations = [
            EndpointDeclaration(
                f'engine-{zone}', zone, '10.9.0.1:80', incarnation='1'
            )
            for zone in zones
        ]
        group = EndpointGroup('writer', EndpointKind.ENGINE, declarations)
        self.table = EndpointTable()
        self.table.replace_groups([group])
        self.silent: set[str] = set()
        self.warm_up_rate: float | None = None
        self.instances = {
            f'10.0.{index}.{number}': Instance(
                self, zone, f'10.0.{index}.{number}'
            )
            for index, (zone, count) in enumerate(zones.items())
            for number in range(count)
        }
        self.introduce()

    def read_clock(self) -> float:
        """Return the time."""
        return self.now

    def introduce(self) -> None:
        """Let each instance receive from those that would report to it."""
        for instance in self.instances.values():
            for other in self.list_heard_by(instance):
                instance.hear(other)

    def list_heard_by(self, instance: 'Instance') -> Iterable['Instance']:
        """List those of its zone, and the first one of each other zone."""
        heard_zones: set[str] = set()
        for host, other in self.instances.items():
            if host in self.silent or other is instance:
                continue
            if other.zone == instance.zone or other.zone not in heard_zones:
                heard_zones.add(other.zone)
                yield other

    def get_endpoint(self, zone: str) -> Endpoint:
        """Return the endpoint of a zone."""
        return self.table.all()[f'engine-{zone}']


class Instance:
    """The parts of an instance that observe and share limits."""

    def __init__(self, fleet: Fleet, zone: str, host: str) -> None:
        """Create an instance without peers."""
        self.fleet = fleet
        self.zone = zone
        self.host = host
        self.sequence = 0
        settings = NodeSettings(
            instance=f'edge-{host}',
            zone=zone,
            ip=host,
            caller_address=Address(host, 1),
            ready_address=Address(host, 2),
            peer_port=7340,
            store_address=Address('10.9.9.9', 3),
        )
        self.peers = PeerRegister(settings, ZoneReachability())
        self.observer = build_observer(fleet.table)
        selector = CoordinatorSelector(
            lambda: Reader(settings.instance, host, zone), self.peers
        )
        self.granter = StartGranter(self.observer, selector, fleet.table)
        self.gate = StartGate(
            self.observer,
            self.granter,
            selector,
            self,
            self.peers,
            random.Random(host),
            lambda _endpoint, _now: fleet.warm_up_rate,
        )
        self.selector = selector
        self._reply: Reply | None = None

    def hear(self, other: 'Instance') -> None:
        """Receive a report of another instance."""
        other.sequence += 1
        update = PeerUpdate(
            f'edge-{other.host}',
            other.host,
            other.zone,
            1,
            other.sequence,
            False,
            0,
            [],
            zone_reader=ZoneReader(f'edge-{other.host}', other.host, None),
        )
        self.peers.accept(update, self.fleet.now)

    def learn(self, zone: str, rate: float | None) -> None:
        """Observe what the endpoint of a zone states at this moment."""
        notice = LimitNotice(rate, '1', self.fleet.now)
        self.observer.accept(f'engine-{zone}', notice)

    async def start(self, zone: str, longest_wait: float = 0) -> bool:
        """Request a start at the endpoint of a zone."""
        endpoint = self.fleet.get_endpoint(zone)
        return await self.gate.admit([endpoint], longest_wait)

    # Queries

    async def query(
        self,
        kind: Callable[[int, str, str], Query],
        host: str,
        _seconds: float,
    ) -> Reply | None:
        """Return the reply of the instance that answers, or None."""
        self._reply = None
        self._deliver(kind(1, self.host, self.zone), host)
        return self._reply

    def announce(
        self,
        kind: Callable[[int, str, str], Query],
        host: str,
    ) -> None:
        """Deliver a query whose reply nobody waits for."""
        self._deliver(kind(0, self.host, self.zone), host)

    def relay(self, query: Query, host: str) -> None:
        """Deliver a query of another instance."""
        self._deliver(query, host)

    def _deliver(self, query: Query, host: str) -> None:
        if host in self.fleet.silent:
            return
        target = self.fleet.instances[host]
        reply = target.granter.answer(query, target)
        if reply is not None:
            self.fleet.instances[query.host]._reply = reply


def build_filter(
    reach: ZoneReachability | None = None,
    regions: Mapping[str, str] | None = None,
) -> EndpointFilter:
    """Build the filter of an instance that observed nothing."""
    find_region = (regions or {}).get
    generator = random.Random(1)
    return EndpointFilter(
        reach or ZoneReachability(),
        EngineObservations(),
        DirectPaths(),
        RegionFilter(lambda zone: find_region(zone, ''), generator),
        generator,
    )


def build_open_gate() -> StartGate:
    """Build the gate of an instance that knows no limit."""
    return StartGate(
        build_observer(),
        None,
        None,
        None,
        None,
        random.Random(1),
        lambda *_endpoint: None,
    )
