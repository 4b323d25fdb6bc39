"""Routing decisions, called as functions of state."""

import random

import attrs
import pytest

from kelproad.coordination import routing
from kelproad.coordination.candidates import Search
from kelproad.coordination.prediction import count_ahead, score_endpoint
from kelproad.state.configuration import AppliedFile, Snapshot
from kelproad.state.declarations import (
    Deployment,
    EndpointDeclaration,
    EndpointGroup,
    EndpointKind,
    FileContent,
    Objective,
    Policy,
    Service,
    ServiceKind,
    Workspace,
)
from kelproad.state.endpoints import Endpoint, EndpointReport
from kelproad.state.endpointtable import EndpointTable
from kelproad.state.prefixes import digest_prefix
from kelproad.state.refusals import Ran
from kelproad.state.requests import Request

NOW = 100.0
SHORT, LONG = 2_000, 200_000
ENGINES = 8
SERVICE = Service('reports', ServiceKind.MODEL, ['engines'], model='m')


class Fleet:
    """Engines in two zones, all of which report that they are idle."""

    def __init__(
        self,
        policy: Policy = Policy.PREDICTED,
        objective: Objective | None = None,
        honours: bool = True,
        engines: int = ENGINES,
    ) -> None:
        """Declare the engines and let each report that it is idle."""
        group = EndpointGroup(
            'engines',
            EndpointKind.ENGINE,
            [
                EndpointDeclaration(f'e{n}', 'ab'[n % 2], f'10.0.0.{n}:80')
                for n in range(engines)
            ],
            honours_priorities=honours,
        )
        content = FileContent(
            'all',
            Deployment('x', ['a', 'b'], objective or Objective(), policy),
            services=[SERVICE],
            endpoint_groups=[group],
        )
        applied = AppliedFile('all', 1, 1, '', '', content)
        self.snapshot = Snapshot.from_files(1, {'all': applied})
        self.table = EndpointTable()
        self.table.replace_groups(self.snapshot.groups.values())
        self.random = random.Random(7)
        for endpoint in self.table.all().values():
            self.report(endpoint, 0, NOW - 0.1)

    def report(self, endpoint: Endpoint, waiting: int, at: float) -> None:
        """Let an engine report its queue."""
        endpoint.accept_report(
            EndpointReport(
                endpoint.name, '1', waiting_tokens=waiting, models=['m']
            ),
            at,
        )

    def request(self, tokens: int, prompt: bytes = b'') -> Request:
        """Create a request with a number of prompt tokens."""
        return Request(
            'r',
            Workspace('w', [], ['reports']),
            SERVICE,
            self.snapshot,
            tokens,
            NOW + 60,
            NOW,
            prefix=digest_prefix(memoryview(prompt), 4),
        )

    def choose(self, request: Request, **options: object) -> str:
        """Choose an endpoint in zone a and return its name."""
        chosen = routing.choose_endpoint(
            request, self.table, 'a', NOW, self.random, **options
        )
        return chosen.unwrap().endpoint.name

    def predict_seconds(self, endpoint: Endpoint, tokens: int) -> float:
        """Return the predicted seconds on an endpoint."""
        search = Search(
            self.request(tokens), self.table, 'a', NOW, self.random, frozenset()
        )
        return score_endpoint(search, endpoint).predicted


@pytest.mark.parametrize('policy', list(Policy))
def test_every_policy_spreads_and_spares_tried_ones(policy: Policy) -> None:
    fleet = Fleet(policy)
    request = fleet.request(SHORT)
    tried = frozenset(('e0', 'e1'))
    chosen = {fleet.choose(request, tried=tried) for _ in range(200)}
    assert not chosen & tried
    assert len(chosen) >= (ENGINES - 2) / 2


def test_short_prompts_pass_long_ones_only_where_priorities_count() -> None:
    for honours, passes in ((True, True), (False, False)):
        fleet = Fleet(honours=honours)
        endpoint = fleet.table.get('e0')
        endpoint.begin_prefill(LONG, NOW)
        ahead = count_ahead(endpoint, SHORT, NOW)
        assert (ahead < LONG) is passes


def test_reported_work_is_neither_doubled_nor_forgotten() -> None:
    """Dispatched work counts once, whether or not a report includes it.

    By the report alone, an engine would look idle after a dispatch that the
    report is older than, and the next prompt would wait behind it.  The sum of
    both would count the same prompt twice once it is reported.
    """
    endpoint = Fleet().table.get('e0')
    endpoint.begin_prefill(LONG, NOW)
    assert count_ahead(endpoint, LONG, NOW) == LONG
    fresh = EndpointReport('e0', '1', waiting_tokens=LONG)
    endpoint.accept_report(fresh, NOW + 2)
    assert count_ahead(endpoint, LONG, NOW + 2) == LONG


def test_work_of_an_unknown_instance_counts_by_the_report() -> None:
    fleet = Fleet()
    endpoint = fleet.table.get('e0')
    fleet.report(endpoint, LONG, NOW)
    assert count_ahead(endpoint, SHORT, NOW) == LONG


def test_rate_is_learned_within_a_few_answers() -> None:
    fleet = Fleet()
    endpoint = fleet.table.get('e0')
    request = fleet.request(SHORT)
    assert endpoint.rate.value is None
    for _ in range(5):
        chosen = routing.choose_endpoint(
            request,
            fleet.table,
            'a',
            NOW,
            fleet.random,
            frozenset(fleet.table.all()) - {'e0'},
        ).unwrap()
        endpoint.begin_prefill(SHORT, NOW)
        routing.record_first_token(fleet.table, chosen, request, NOW + 0.02)
    assert 90_000 < endpoint.tokens_per_second < 110_000


def test_stale_reports_do_not_herd() -> None:
    """Many instances with one stale report all pick the same engine.

    Each of 9 instances sees e0 reported idle and the others slightly busy.
    A full scan for the least busy would choose e0 each time; sampling bounds
    its share.
    """
    fleet = Fleet()
    for name, endpoint in fleet.table.all().items():
        if name != 'e0':
            fleet.report(endpoint, 3_000, NOW)
    request = fleet.request(SHORT)
    chosen = [fleet.choose(request) for _ in range(900)]
    assert chosen.count('e0') < 675


def test_cached_prefix_decides_until_the_queue_costs_more() -> None:
    fleet = Fleet()
    prompt = b'season of friction runs '.ljust(4 * 8_192, b'.')
    request = fleet.request(8_192, prompt)
    holder = fleet.table.get('e4')
    fleet.table.prefixes.remember(request.prefix, 'e4', '1', 0)
    assert {fleet.choose(request) for _ in range(50)} == {'e4'}
    holder.begin_prefill(9_900, NOW)
    assert 'e4' not in {fleet.choose(request) for _ in range(50)}


def test_restarted_engine_has_lost_its_prefixes() -> None:
    fleet = Fleet()
    request = fleet.request(8_192, b'x' * 4 * 8_192)
    fleet.table.prefixes.remember(request.prefix, 'e4', '0', 0)
    assert len({fleet.choose(request) for _ in range(50)}) > 1


def test_objective_decides_where_long_prompts_go() -> None:
    """The weights of an objective must have an effect.

    e0 has a long prompt in progress, e1 is idle.  With most weight on the
    slowdown of short requests a second long one joins e0, else it does not.
    """
    chosen = []
    for slowdown in (0.1, 0.9):
        fleet = Fleet(objective=Objective(slowdown, 1 - slowdown), engines=2)
        fleet.table.get('e0').begin_prefill(LONG, NOW)
        request = fleet.request(LONG)
        chosen.append(fleet.choose(request))
    assert chosen == ['e1', 'e0']


def test_local_zone_is_kept_for_small_differences() -> None:
    fleet = Fleet()
    for name, endpoint in fleet.table.all().items():
        if endpoint.declaration.zone == 'a':
            endpoint.begin_prefill(400, NOW)
    request = fleet.request(SHORT)
    chosen = {fleet.choose(request) for _ in range(50)}
    assert {fleet.table.get(name).declaration.zone for name in chosen} == {'a'}


def test_other_zone_serves_when_the_local_one_cannot_in_time() -> None:
    fleet = Fleet()
    for endpoint in fleet.table.all().values():
        if endpoint.declaration.zone == 'a':
            endpoint.begin_prefill(LONG, NOW)
    request = attrs.evolve(fleet.request(LONG))
    chosen = fleet.table.get(fleet.choose(request))
    assert chosen.declaration.zone == 'b'


def test_full_memory_counts_against_long_prompts() -> None:
    fleet = Fleet()
    endpoint = fleet.table.get('e0')
    free = fleet.predict_seconds(endpoint, LONG)
    full = EndpointReport('e0', '1', used_tokens=390_000, models=['m'])
    endpoint.accept_report(full, NOW)
    assert fleet.predict_seconds(endpoint, LONG) > 1.5 * free
    assert fleet.predict_seconds(endpoint, SHORT) == fleet.predict_seconds(
        fleet.table.get('e2'), SHORT
    )


def confirm_predictions(fleet: Fleet) -> None:
    """Record that many predictions were exact."""
    for ratio in fleet.table.first_token_ratios:
        for _ in range(20):
            ratio.observe(1)


def test_hopeless_request_is_refused_with_a_retry_delay() -> None:
    """A request that is predicted to miss its deadline is refused at once.

    All queues are longer than the deadline.  The request would be dispatched,
    computed and discarded, and its caller would wait until the deadline.
    """
    fleet = Fleet()
    confirm_predictions(fleet)
    for endpoint in fleet.table.all().values():
        endpoint.begin_prefill(9_000, NOW)
    request = attrs.evolve(fleet.request(SHORT), deadline=NOW + 0.5)
    refused = routing.choose_endpoint(
        request, fleet.table, 'a', NOW, fleet.random
    ).failure()
    assert refused.ran is Ran.NO
    for endpoint in fleet.table.all().values():
        endpoint.end_prefill(9_000)
        endpoint.begin_prefill(9_000 - round(refused.retry_after * 15_000), NOW)
    assert fleet.choose(request)


def test_nothing_is_refused_below_overload() -> None:
    fleet = Fleet()
    confirm_predictions(fleet)
    for tokens in (SHORT, LONG, 399_000):
        # Without a queue even a deadline that looks too short is tried.
        request = attrs.evolve(fleet.request(tokens), deadline=NOW + 0.2)
        assert fleet.choose(request)


def test_decision_checks_few_of_many_endpoints(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    checked = []
    is_usable = Search.is_usable

    def record_check(search: Search, endpoint: Endpoint) -> bool:
        checked.append(endpoint)
        return is_usable(search, endpoint)

    fleet = Fleet(engines=4_600)
    monkeypatch.setattr(Search, 'is_usable', record_check)
    for tokens in (SHORT, LONG):
        checked.clear()
        fleet.choose(fleet.request(tokens))
        assert len(checked) <= 64


def test_last_usable_endpoint_is_found_among_many() -> None:
    fleet = Fleet(engines=400)
    last = frozenset(fleet.table.all()) - {'e398'}
    assert fleet.choose(fleet.request(SHORT), tried=last) == 'e398'
