"""Engines of other zones: the work known there, and when they are used."""

import asyncio
import random
import types

import pytest

from kelproad.coordination.ingress.membership import (
    spillover as spillover_module,
)
from kelproad.coordination.ingress.membership.messages import (
    WorkQuery,
    WorkReply,
)
from kelproad.coordination.ingress.membership.peers import (
    MAX_FULL_MESH_PEERS,
    PeerRegister,
)
from kelproad.coordination.ingress.membership.reachability import (
    ZoneReachability,
)
from kelproad.coordination.ingress.membership.spillover import (
    ZoneSpillover,
    answer_work_query,
)
from kelproad.coordination.ingress.placing import choosing as choosing_module
from kelproad.coordination.ingress.placing.choosing import Chooser
from kelproad.coordination.ingress.settings import NodeSettings
from kelproad.coordination.ingress.streams.progress import Progress
from kelproad.coordination.ingress.tables.holder import ConfigurationHolder
from kelproad.state.calls import Call, CallHead
from kelproad.state.declarations import (
    EndpointDeclaration,
    EndpointGroup,
    EndpointKind,
)
from kelproad.state.endpointtable import EndpointTable
from kelproad.state.observations import EngineObservations
from kelproad.state.requestlimits import LimitNotice, RequestLimits
from kelproad.state.routes import CallKind, Route, WeightedService
from kelproad.state.work import EndpointWork, WorkLedger
from kelproad.transport.addresses import Address
from tests.ingress.limits import build_filter, build_observer, build_open_gate
from tests.ingress.test_placing import PROFILE

NOW = 1000.0


class RemoteInstance:
    """Instance of zone b with its view of the engines there."""

    def __init__(self) -> None:
        """Set up engines of two zones, and work from two zones at them."""
        self.table = EndpointTable()
        declarations = [
            EndpointDeclaration(f'i-{zone}', f'zone-{zone}', '10.0.0.1:80')
            for zone in 'ab'
        ]
        group = EndpointGroup('writer', EndpointKind.ENGINE, declarations)
        self.table.replace_groups([group])
        self.ledger = WorkLedger()
        self.observations = EngineObservations()
        self.limits = RequestLimits()
        self.peers = register('edge-b', 'zone-b')
        self.peers.add('edge-a', '10.0.0.1', 'zone-a')
        self.ledger.begin('i-b', EndpointWork(2, 9000, 0.2, 1))
        self.ledger.begin('i-a', EndpointWork(1, 100, 0.1, 1))
        from_a = {'i-b': EndpointWork(1, 5000, 0.1, 1)}
        self.ledger.accept_peer('edge-a', from_a, NOW)

    def answer(self, query: WorkQuery) -> WorkReply:
        """Answer with the work in flight in zone b."""
        return answer_work_query(
            query,
            'zone-b',
            self.table,
            self.ledger,
            self.peers,
            self.observations,
            self.limits,
        )


class FakeQueries:
    """Stand-in for the queries, connected to one remote instance."""

    def __init__(self, remote: RemoteInstance) -> None:
        """Connect to a remote instance."""
        self.remote = remote
        self.sent = 0
        self.silent = False

    async def query(
        self,
        kind: type[WorkQuery],
        host: str,
        _seconds: float,
    ) -> WorkReply | None:
        """Return the reply of the remote instance, or None while ``silent``."""
        self.sent += 1
        if self.silent:
            return None
        return self.remote.answer(kind(1, '10.0.0.1', 'zone-a'))


class LocalInstance:
    """Spillover of an instance of zone a, with its ledger and queries."""

    def __init__(self, remote_peers: int) -> None:
        """Register this many instances of zone b."""
        self.queries = FakeQueries(RemoteInstance())
        self.ledger = WorkLedger()
        self.observer = build_observer()
        peers = register('edge-a', 'zone-a')
        for number in range(remote_peers):
            peers.add(f'edge-b-{number}', f'10.0.1.{number}', 'zone-b')
        self.spillover = ZoneSpillover(
            'zone-a',
            self.queries,
            peers,
            ZoneReachability(),
            self.ledger,
            EngineObservations(),
            self.observer,
            random.Random(1),
        )


def register(name: str, zone: str) -> PeerRegister:
    """Build the register of an instance."""
    settings = NodeSettings(
        instance=name,
        zone=zone,
        ip='10.9.9.9',
        caller_address=Address('10.9.9.9', 1),
        ready_address=Address('10.9.9.9', 2),
        peer_port=7340,
        store_address=Address('10.9.9.9', 3),
    )
    return PeerRegister(settings, ZoneReachability())


@pytest.fixture(autouse=True)
def clock(monkeypatch: pytest.MonkeyPatch) -> list[float]:
    """Replace the clock by one that the test sets."""
    current = [NOW]
    monkeypatch.setattr(spillover_module, 'monotonic', lambda: current[0])
    monkeypatch.setattr(choosing_module, 'monotonic', lambda: current[0])
    return current


async def test_limits_of_remote_engines_are_learned() -> None:
    """Zones that don't report to this one must be queried for them too."""
    here = LocalInstance(remote_peers=MAX_FULL_MESH_PEERS + 1)
    notice = LimitNotice(2, '1', NOW - 1)
    here.queries.remote.limits.accept('i-b', notice)
    here.queries.remote.limits.accept('i-a', notice)
    await here.spillover.refresh()
    learned = here.observer.limits.list_limited()
    assert {name: item.rate for name, item in learned.items()} == {'i-b': 2}


async def test_work_at_remote_engines_counts_once() -> None:
    """Work from the local zone is already reported by its instances."""
    here = LocalInstance(remote_peers=MAX_FULL_MESH_PEERS + 1)
    here.ledger.accept_peer('mate', {'i-b': EndpointWork(1, 5000, 0.1, 1)}, NOW)
    await here.spillover.refresh()
    known = here.ledger.sum_at('i-b', NOW)
    assert (known.calls, known.context_tokens) == (3, 14_000)
    # A reply covers only the engines of the zone that sent it.
    assert here.ledger.sum_at('i-a', NOW).idle


async def test_other_zones_are_queried_once_while_calls_wait(
    clock: list[float],
) -> None:
    """Each waiting call checks for engines every 10 ms."""
    here = LocalInstance(remote_peers=MAX_FULL_MESH_PEERS + 1)
    assert not here.spillover.has_current_work('zone-b', clock[0])
    for _ in range(5):
        await asyncio.gather(*(here.spillover.refresh() for _ in range(4)))
        clock[0] += 0.01
    assert here.queries.sent == 1
    assert here.spillover.has_current_work('zone-b', clock[0])
    assert not here.spillover.has_current_work('zone-b', clock[0] + 1)


async def test_a_zone_that_does_not_answer_is_not_used() -> None:
    """Without a reply its engines would seem idle, though they may be full."""
    here = LocalInstance(remote_peers=MAX_FULL_MESH_PEERS + 1)
    here.queries.silent = True
    await here.spillover.refresh()
    assert not here.spillover.has_current_work('zone-b', NOW)
    assert here.spillover.has_current_work('zone-a', NOW)


def test_a_small_fleet_needs_no_queries() -> None:
    """In a full mesh each instance reports its work to all others."""
    here = LocalInstance(remote_peers=MAX_FULL_MESH_PEERS)
    assert not here.spillover.is_needed
    assert here.spillover.has_current_work('zone-b', NOW)


# Where calls are placed


class Placer:
    """Placement of calls by an instance of zone a in a large fleet."""

    def __init__(self) -> None:
        """Set up two engines in zone a and one in zone b."""
        self.here = LocalInstance(remote_peers=MAX_FULL_MESH_PEERS + 1)
        self.table = EndpointTable()
        declarations = [
            EndpointDeclaration(name, zone, '10.0.0.1:80', slots=2)
            for name, zone in ENGINES.items()
        ]
        group = EndpointGroup('writer', EndpointKind.ENGINE, declarations)
        self.table.replace_groups([group])
        holder = ConfigurationHolder()
        holder.current = types.SimpleNamespace(
            find_profile=lambda _service: PROFILE,
            find_delay=lambda origin, target: 0 if origin == target else 0.005,
        )
        self.chooser = Chooser(
            'zone-a',
            holder,
            self.table,
            self.here.ledger,
            ZoneReachability(),
            EngineObservations(),
            self.here.spillover,
            build_open_gate(),
            build_filter(),
            random.Random(1),
        )

    async def place(self) -> str:
        """Place a short prompt and return its engine."""
        placement = await self.chooser.choose(build_call(), Progress())
        return placement.primary.name


ENGINES = types.MappingProxyType(
    {'i-a': 'zone-a', 'i-a2': 'zone-a', 'i-b': 'zone-b'},
)


def build_call() -> Call:
    """Build a call with a short prompt."""
    route = Route(
        name='chat',
        host='example',
        prefix='/',
        kind=CallKind.RESUMABLE_STREAM,
        services=(WeightedService('writer', 1),),
        timeout=10,
        objective=0.3,
        gap_objective=0.25,
    )
    head = CallHead('1', 'POST', 'example', '/', 'key', 10, 5_000, 1_000)
    return Call(head, route, 'writer', None, b'', NOW, NOW + 10)


async def test_a_call_stays_in_its_zone_while_that_has_room() -> None:
    """Local engines are known exactly, without queries."""
    placer = Placer()
    assert await placer.place() in {'i-a', 'i-a2'}
    assert not placer.here.queries.sent


async def test_a_call_goes_to_another_zone_when_its_own_is_full() -> None:
    """Calls of a burst in one zone waited while engines elsewhere were idle."""
    placer = Placer()
    for name in ('i-a', 'i-a2'):
        placer.here.ledger.begin(name, EndpointWork(2, 10_000))
    placer.here.queries.remote.ledger.end('i-b', EndpointWork(2, 9000, 0.2, 1))
    assert await placer.place() == 'i-b'
    assert placer.here.queries.sent == 1


async def test_a_failing_engine_is_not_preferred_for_being_near() -> None:
    """All engines of a zone fail at once; the healthy ones are elsewhere."""
    placer = Placer()
    for name in ('i-a', 'i-a2'):
        placer.table.get(name).ejected_until = float('inf')
    placer.here.queries.remote.ledger.end('i-b', EndpointWork(2, 9000, 0.2, 1))
    assert await placer.place() == 'i-b'
