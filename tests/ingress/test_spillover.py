"""Engines of other zones: what is known of them, and when they are used."""

import asyncio
import random
import types

import pytest

from kelproad.coordination.ingress import choosing as choosing_module
from kelproad.coordination.ingress import spillover as spillover_module
from kelproad.coordination.ingress.choosing import Chooser
from kelproad.coordination.ingress.holder import ConfigurationHolder
from kelproad.coordination.ingress.peers import (
    MAX_FULL_MESH_PEERS,
    PeerRegister,
)
from kelproad.coordination.ingress.progress import Progress
from kelproad.coordination.ingress.queries import WorkQuery, WorkReply
from kelproad.coordination.ingress.reachability import ZoneReachability
from kelproad.coordination.ingress.settings import NodeSettings
from kelproad.coordination.ingress.spillover import (
    ZoneSpillover,
    answer_work_query,
)
from kelproad.state.calls import Call, CallHead
from kelproad.state.declarations import (
    EndpointDeclaration,
    EndpointGroup,
    EndpointKind,
)
from kelproad.state.endpoints import EndpointTable
from kelproad.state.observations import EngineObservations
from kelproad.state.routes import CallKind, Route, WeightedService
from kelproad.state.work import EndpointWork, WorkLedger
from kelproad.transport.addresses import Address
from tests.ingress.test_placing import PROFILE

NOW = 1000.0


class There:
    """An instance of zone b with its view of the engines there."""

    def __init__(self) -> None:
        """Know engines of two zones, and work of two zones at them."""
        self.table = EndpointTable()
        declarations = [
            EndpointDeclaration(f'i-{zone}', f'zone-{zone}', '10.0.0.1:80')
            for zone in 'ab'
        ]
        group = EndpointGroup('writer', EndpointKind.ENGINE, declarations)
        self.table.replace_groups([group])
        self.ledger = WorkLedger()
        self.observations = EngineObservations()
        self.peers = register('edge-b', 'zone-b')
        self.peers.add('edge-a', '10.0.0.1', 'zone-a')
        self.ledger.begin('i-b', EndpointWork(2, 9000, 0.2, 1))
        self.ledger.begin('i-a', EndpointWork(1, 100, 0.1, 1))
        from_a = {'i-b': EndpointWork(1, 5000, 0.1, 1)}
        self.ledger.accept_peer('edge-a', from_a, NOW)

    def answer(self, question: WorkQuery) -> WorkReply:
        """Answer what is in flight in zone b."""
        return answer_work_query(
            question,
            'zone-b',
            self.table,
            self.ledger,
            self.peers,
            self.observations,
        )


class Line:
    """Stands in for the queries, with an instance at the other end."""

    def __init__(self, there: There) -> None:
        """Reach an instance."""
        self.there = there
        self.asked = 0
        self.silent = False

    async def query(
        self,
        kind: type[WorkQuery],
        host: str,
        _seconds: float,
    ) -> WorkReply | None:
        """Hand a question on, and its answer back."""
        self.asked += 1
        if self.silent:
            return None
        return self.there.answer(kind(1, '10.0.0.1', 'zone-a'))


class Here:
    """What knows the other zones' engines at an instance of zone a."""

    def __init__(self, others: int) -> None:
        """Have as many instances in zone b."""
        self.line = Line(There())
        self.ledger = WorkLedger()
        peers = register('edge-a', 'zone-a')
        for number in range(others):
            peers.add(f'edge-b-{number}', f'10.0.1.{number}', 'zone-b')
        self.spillover = ZoneSpillover(
            'zone-a',
            self.line,
            peers,
            ZoneReachability(),
            self.ledger,
            EngineObservations(),
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
    """Put a clock of the test's own in the place of the real one."""
    own = [NOW]
    monkeypatch.setattr(spillover_module, 'monotonic', lambda: own[0])
    monkeypatch.setattr(choosing_module, 'monotonic', lambda: own[0])
    return own


async def test_work_at_far_engines_counts_once() -> None:
    """What the own zone sent there is heard from its instances already."""
    here = Here(others=MAX_FULL_MESH_PEERS + 1)
    here.ledger.accept_peer('mate', {'i-b': EndpointWork(1, 5000, 0.1, 1)}, NOW)
    await here.spillover.refresh()
    known = here.ledger.sum_at('i-b', NOW)
    assert (known.calls, known.context_tokens) == (3, 14_000)
    # Of other zones' engines the zone knows less than they do.
    assert here.ledger.sum_at('i-a', NOW).idle


async def test_other_zones_are_asked_once_while_calls_wait(
    clock: list[float],
) -> None:
    """Each waiting call looks for engines every 10 ms."""
    here = Here(others=MAX_FULL_MESH_PEERS + 1)
    assert not here.spillover.has_current_work('zone-b', clock[0])
    for _ in range(5):
        await asyncio.gather(*(here.spillover.refresh() for _ in range(4)))
        clock[0] += 0.01
    assert here.line.asked == 1
    assert here.spillover.has_current_work('zone-b', clock[0])
    assert not here.spillover.has_current_work('zone-b', clock[0] + 1)


async def test_a_zone_that_does_not_answer_is_not_used() -> None:
    """Nothing is known of its engines: each would look idle, and be full."""
    here = Here(others=MAX_FULL_MESH_PEERS + 1)
    here.line.silent = True
    await here.spillover.refresh()
    assert not here.spillover.has_current_work('zone-b', NOW)
    assert here.spillover.has_current_work('zone-a', NOW)


def test_a_small_fleet_knows_all_engines_anyway() -> None:
    """There each instance tells each other one of all its work."""
    here = Here(others=MAX_FULL_MESH_PEERS)
    assert not here.spillover.is_needed
    assert here.spillover.has_current_work('zone-b', NOW)


# Where calls are placed


class Placer:
    """Chooses for calls of an instance of zone a in a large fleet."""

    def __init__(self) -> None:
        """Know two engines in zone a, and those of zone b when asked."""
        self.here = Here(others=MAX_FULL_MESH_PEERS + 1)
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
            random.Random(1),
        )

    async def place(self) -> str:
        """Place a short prompt; return its engine."""
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


async def test_a_call_stays_in_its_zone_while_that_can_take_it() -> None:
    """Only the own zone's engines are known exactly, and cost no bytes."""
    placer = Placer()
    assert await placer.place() in {'i-a', 'i-a2'}
    assert not placer.here.line.asked


async def test_a_call_goes_to_another_zone_when_its_own_is_full() -> None:
    """A burst in one zone waited while engines elsewhere were idle."""
    placer = Placer()
    for name in ('i-a', 'i-a2'):
        placer.here.ledger.begin(name, EndpointWork(2, 10_000))
    placer.here.line.there.ledger.end('i-b', EndpointWork(2, 9000, 0.2, 1))
    assert await placer.place() == 'i-b'
    assert placer.here.line.asked == 1


async def test_a_failing_engine_is_not_preferred_for_being_near() -> None:
    """All engines of a zone fail at once; the sound ones are elsewhere."""
    placer = Placer()
    for name in ('i-a', 'i-a2'):
        placer.table.get(name).ejected_until = float('inf')
    placer.here.line.there.ledger.end('i-b', EndpointWork(2, 9000, 0.2, 1))
    assert await placer.place() == 'i-b'
