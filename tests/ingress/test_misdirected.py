"""Endpoints at whose address somebody else answered."""

import random

import msgspec
import pytest

from kelproad.coordination.ingress import verdicts as verdicts_module
from kelproad.coordination.ingress.attempts import AttemptFailure
from kelproad.coordination.ingress.choosing import Chooser
from kelproad.coordination.ingress.decoding import DecodedState
from kelproad.coordination.ingress.endpoints import EndpointRegistry
from kelproad.coordination.ingress.holder import ConfigurationHolder
from kelproad.coordination.ingress.placement import Placement
from kelproad.coordination.ingress.progress import Progress
from kelproad.coordination.ingress.reachability import (
    SILENT_SECONDS,
    ZoneReachability,
)
from kelproad.coordination.ingress.retries import RetryBudgets
from kelproad.coordination.ingress.settings import Bounds
from kelproad.coordination.ingress.tablestates import StoredRow, TableState
from kelproad.coordination.ingress.verdicts import AttemptEvaluator
from kelproad.platform.rows import decode_endpoint
from kelproad.state.counters import Counters
from kelproad.state.endpoints import EndpointTable
from kelproad.state.observations import EngineObservations
from kelproad.state.refusals import Ran
from kelproad.state.routes import (
    IngressLimits,
    RoutedService,
    RoutingConfiguration,
)
from kelproad.state.work import WorkLedger
from tests.ingress.test_attempts import build_call

#: Seconds at which the endpoint is misdirected.
NOW = 1000.0
#: Seconds within which an endpoint that lives is used again.
SOON = 6.0
LONG_AGO = float('-inf')


class Instance:
    """What one instance knows of two endpoints of a service."""

    def __init__(self) -> None:
        """List both."""
        configuration = RoutingConfiguration.from_declarations(
            1,
            [],
            [RoutedService('book')],
            {},
            IngressLimits(),
            {},
        )
        holder = ConfigurationHolder()
        holder.current = configuration
        self.table = EndpointTable()
        reach = ZoneReachability()
        self.registry = EndpointRegistry(self.table, lambda: LONG_AGO, 2)
        self.registry.adopt_configuration(configuration)
        self.verdicts = AttemptEvaluator(
            self.table,
            RetryBudgets(Bounds, lambda: 1),
            reach,
            EngineObservations(),
            Counters(),
        )
        self.chooser = Chooser(
            'a',
            holder,
            self.table,
            WorkLedger(),
            reach,
            EngineObservations(),
            None,
            random.Random(1),
        )
        self.report('i-1', 1)
        self.report('i-2', 1)

    def report(
        self,
        name: str,
        sequence: int,
        address: str = '10.0.0.1:80',
        born: int = 0,
    ) -> None:
        """Take in what an endpoint says of itself."""
        entry = {
            'service': 'book',
            'address': address,
            'zone': 'a',
            'state': 'ready',
            'sequence': sequence,
            'born': born,
        }
        row = StoredRow(name, msgspec.json.encode(entry), sequence)
        changed = TableState(sequence, [row], whole=False)
        self.registry.adopt(DecodedState.from_state(changed, decode_endpoint))

    def misdirect(self, name: str) -> None:
        """Send a call to an endpoint and hear that somebody else is there."""
        self.verdicts.note(
            build_call(),
            Placement(self.table.get(name)),
            AttemptFailure('status 421', Ran.NO, misdirected=True),
        )

    def list_used(self, later: float) -> set[str]:
        """List the endpoints that calls go to some seconds later."""
        return {
            self.chooser.choose_among(
                self.table.in_group('book'),
                build_call(),
                Progress(),
                NOW + later,
            ).primary.name
            for _ in range(30)
        }


@pytest.fixture
def instance(monkeypatch: pytest.MonkeyPatch) -> Instance:
    """Give an instance that has just heard a 421 in place of the first."""
    monkeypatch.setattr(verdicts_module, 'monotonic', lambda: NOW)
    made = Instance()
    assert made.list_used(0) == {'i-1', 'i-2'}
    made.misdirect('i-1')
    return made


def test_one_whose_address_serves_another_is_left(instance: Instance) -> None:
    """An engine is gone, its entry has not lapsed, its address is reused.

    Any other engine answers 421 to a call that names the one it was meant for.
    A report that was under way meanwhile doesn't bring it back.
    """
    assert instance.list_used(1) == {'i-2'}
    instance.report('i-1', 2)
    assert instance.list_used(2) == {'i-2'}


def test_one_that_lives_there_is_used_again(instance: Instance) -> None:
    """A single 421 comes by mistake, and the engine goes on reporting.

    It got nothing more from this instance until it was started again, which
    may be never.  Peers aren't told of reports that say nothing new, so that
    it is still listed after some seconds must do.
    """
    assert instance.list_used(SOON) == {'i-1', 'i-2'}


def test_one_that_has_moved_is_used_at_once(instance: Instance) -> None:
    """An engine starts again elsewhere, and does not say when it was born.

    The 421 spoke of its former address; at the new one it was never asked.
    """
    instance.report('i-1', 2, address='10.0.0.9:80')
    assert instance.list_used(0) == {'i-1', 'i-2'}


def test_a_new_life_is_used_at_once(instance: Instance) -> None:
    """An engine starts again where it was, and says so."""
    instance.report('i-1', 1, born=7)
    assert instance.list_used(0) == {'i-1', 'i-2'}


def test_one_that_is_misdirected_again_is_left_again(
    instance: Instance,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Its entry is there after some seconds and somebody else answers yet."""
    monkeypatch.setattr(verdicts_module, 'monotonic', lambda: NOW + SOON)
    instance.misdirect('i-1')
    assert instance.list_used(SOON + 1) == {'i-2'}


def test_no_part_is_read_in_a_zone_out_of_reach(
    instance: Instance,
) -> None:
    """A stream resumed with helpers behind a cut was refused and broken off."""
    instance.chooser._reachability.record_peer('a', NOW + SOON)
    later = NOW + SOON + 2 * SILENT_SECONDS
    used = instance.table.in_group('book')
    described = [
        instance.chooser._describe(endpoint, may_answer=True, now=later)
        for endpoint in used
    ]
    assert not any(candidate.may_help for candidate in described)
    assert all(candidate.may_answer for candidate in described)
