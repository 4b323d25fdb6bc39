"""Endpoints at whose address another one answered with 421."""

import random

import msgspec
import pytest

from kelproad.coordination.ingress.membership.reachability import (
    SILENT_SECONDS,
    ZoneReachability,
)
from kelproad.coordination.ingress.placing.choosing import Chooser
from kelproad.coordination.ingress.placing.placement import Placement
from kelproad.coordination.ingress.retrying import verdicts as verdicts_module
from kelproad.coordination.ingress.retrying.retries import RetryBudgets
from kelproad.coordination.ingress.retrying.verdicts import AttemptEvaluator
from kelproad.coordination.ingress.settings import Bounds
from kelproad.coordination.ingress.streams.answers import AttemptFailure
from kelproad.coordination.ingress.streams.progress import Attempt, Progress
from kelproad.coordination.ingress.tables.endpoints import EndpointRegistry
from kelproad.coordination.ingress.tables.holder import ConfigurationHolder
from kelproad.coordination.ingress.tables.positions import StoreOutages
from kelproad.coordination.ingress.tables.tablestates import (
    DecodedState,
    Revision,
    StoredRow,
    TableState,
)
from kelproad.platform.rows import decode_endpoint
from kelproad.state.counters import Counters
from kelproad.state.directpaths import DirectPaths
from kelproad.state.endpointtable import EndpointTable
from kelproad.state.observations import EngineObservations
from kelproad.state.refusals import Ran
from kelproad.state.routes import (
    IngressLimits,
    RoutedService,
    RoutingConfiguration,
)
from kelproad.state.work import WorkLedger
from tests.ingress.limits import build_filter, build_open_gate
from tests.ingress.test_attempts import build_call

#: Monotonic time of the 421.
NOW = 1000.0
#: Seconds after which a live endpoint is used again.
SOON = 6.0


class Instance:
    """The routing state of one instance for two endpoints of a service."""

    def __init__(self) -> None:
        """Receive the first reports of both."""
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
        reachability = ZoneReachability()
        self.registry = EndpointRegistry(self.table, StoreOutages, 2)
        self.registry.adopt_configuration(configuration)
        self.evaluator = AttemptEvaluator(
            self.table,
            RetryBudgets(Bounds, lambda: 1),
            reachability,
            EngineObservations(),
            Counters(),
            DirectPaths(),
            lambda peer, now: None,
        )
        self.chooser = Chooser(
            'a',
            holder,
            self.table,
            WorkLedger(),
            reachability,
            EngineObservations(),
            None,
            build_open_gate(),
            build_filter(reachability),
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
        """Adopt a report of an endpoint from its stored row."""
        entry = {
            'service': 'book',
            'address': address,
            'zone': 'a',
            'state': 'ready',
            'sequence': sequence,
            'born': born,
        }
        row = StoredRow(name, msgspec.json.encode(entry), Revision(0, sequence))
        changed = TableState(Revision(0, sequence), [row], whole=False)
        self.registry.adopt(DecodedState.from_state(changed, decode_endpoint))

    def misdirect(self, name: str) -> None:
        """Record that a call to an endpoint was answered with 421."""
        self.evaluator.note(
            Attempt(build_call(), Placement(self.table.get(name))),
            AttemptFailure('status 421', Ran.NO, misdirected=True),
        )

    def list_used(self, later: float) -> set[str]:
        """List the endpoints chosen ``later`` seconds after the 421."""
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
    """Create an instance that has just got a 421 from the first endpoint."""
    monkeypatch.setattr(verdicts_module, 'monotonic', lambda: NOW)
    made = Instance()
    assert made.list_used(0) == {'i-1', 'i-2'}
    made.misdirect('i-1')
    return made


def test_an_endpoint_whose_address_is_reused_is_excluded(
    instance: Instance,
) -> None:
    """An engine has departed, its entry remains, and its address is reused.

    The other engine answers 421 to calls that name the departed one.  A report
    of the departed one that arrives late must not make it usable again.
    """
    assert instance.list_used(1) == {'i-2'}
    instance.report('i-1', 2)
    assert instance.list_used(2) == {'i-2'}


def test_a_live_endpoint_is_used_again(instance: Instance) -> None:
    """A single 421 is sent by mistake, and the engine goes on reporting.

    It must get calls again without a restart.  Peers don't receive reports
    without changes, so it is enough that it is still listed after some seconds.
    """
    assert instance.list_used(SOON) == {'i-1', 'i-2'}


def test_an_endpoint_at_a_new_address_is_used_at_once(
    instance: Instance,
) -> None:
    """An engine restarts elsewhere without reporting its time of start.

    The 421 concerned its previous address only.
    """
    instance.report('i-1', 2, address='10.0.0.9:80')
    assert instance.list_used(0) == {'i-1', 'i-2'}


def test_a_new_incarnation_is_used_at_once(instance: Instance) -> None:
    """An engine restarts at its address with a new time of start."""
    instance.report('i-1', 1, born=7)
    assert instance.list_used(0) == {'i-1', 'i-2'}


def test_an_endpoint_is_excluded_again_if_misdirected_again(
    instance: Instance,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Its entry is still listed, but another engine answers there."""
    monkeypatch.setattr(verdicts_module, 'monotonic', lambda: NOW + SOON)
    instance.misdirect('i-1')
    assert instance.list_used(SOON + 1) == {'i-2'}


def test_helpers_in_an_unreachable_zone_are_excluded(
    instance: Instance,
) -> None:
    """A stream resumed with unreachable helpers would be aborted."""
    instance.chooser._reachability.record_peer('a', NOW + SOON)
    later = NOW + SOON + 2 * SILENT_SECONDS
    used = instance.table.in_group('book')
    described = [
        instance.chooser._describe(endpoint, may_answer=True, now=later)
        for endpoint in used
    ]
    assert not any(candidate.may_help for candidate in described)
    assert all(candidate.may_answer for candidate in described)
