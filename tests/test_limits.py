"""Limits of workspaces and fair shares between them."""

import json
from collections.abc import Iterator

import attrs
import pytest
from returns.result import Failure

from kelproad.coordination import limits
from kelproad.coordination.limits import WorkspaceLimits
from kelproad.state.counters import Counters
from kelproad.state.declarations import Limits, Workspace
from kelproad.state.limits import Demand, Usage
from kelproad.state.members import SUSPECT_AFTER, Member, MemberTable
from kelproad.state.requests import Request
from testbed.site import Site
from tests.clients import Answer, call, complete
from tests.test_routing import SHORT, Fleet


@attrs.define
class Clock:
    """A clock that stands still until a test advances it."""

    now: float = 1000.0

    def __call__(self) -> float:
        """Return the current time in seconds."""
        return self.now


@pytest.fixture
def clock(monkeypatch: pytest.MonkeyPatch) -> Iterator[Clock]:
    """Replace the monotonic clock that the limits read."""
    made = Clock()
    monkeypatch.setattr(limits, 'monotonic', made)
    return made


class Instances:
    """All instances of a site, which gossip their demand."""

    def __init__(self, count: int, clock: Clock, limited: Limits) -> None:
        """Create them with empty member tables."""
        self.fleet = Fleet()
        self.clock = clock
        self.workspace = Workspace('w', [], [], limits=limited)
        self.tables = [MemberTable() for _ in range(count)]
        self.limiters = [
            WorkspaceLimits(table, self.fleet.table, Counters())
            for table in self.tables
        ]
        self.version = 0

    def gossip(self, connected: set[int] | None = None) -> None:
        """Exchange the demand of the connected instances, or of all."""
        self.version += 1
        for origin, limiter in enumerate(self.limiters):
            member = Member(
                f'i{origin}',
                'a',
                '',
                1,
                self.version,
                demand=limiter.describe_demand(),
            )
            for target, table in enumerate(self.tables):
                together = connected is None or {origin, target} <= connected
                if target != origin and together:
                    table.merge(member, self.clock.now)

    def is_admitted(self, index: int, tokens: int = SHORT) -> bool:
        """Return whether an instance admits a request."""
        return not isinstance(self.refuse(index, tokens), Failure)

    def refuse(self, index: int, tokens: int = SHORT) -> object:
        """Return an instance's decision, a failure if it refuses."""
        return self.limiters[index].admit(self.request(tokens))

    def request(self, tokens: int, workspace: str = 'w') -> Request:
        """Create a request whose deadline is in 20 s."""
        template = self.fleet.request(tokens)
        changed = attrs.evolve(self.workspace, name=workspace)
        deadline = self.clock.now + 20
        return attrs.evolve(template, workspace=changed, deadline=deadline)

    def run(
        self,
        seconds: float,
        rates: list[int],
        connected: set[int] | None = None,
    ) -> int:
        """Send requests at a rate per instance; count those admitted.

        Connected instances gossip every half second.
        """
        admitted = 0
        for step in range(round(seconds * 20)):
            self.clock.now += 0.05
            if step % 10 == 0:
                self.gossip(connected)
            for index, rate in enumerate(rates):
                decisions = [self.is_admitted(index) for _ in range(rate // 20)]
                admitted += decisions.count(True)
        return admitted


@pytest.mark.parametrize(
    'rates',
    [[120, 120, 120, 120], [480, 0, 0, 0], [400, 40, 20, 20]],
)
def test_rate_is_kept_wherever_requests_arrive(
    clock: Clock,
    rates: list[int],
) -> None:
    site = Instances(4, clock, Limits(requests_per_second=100))
    site.run(5, rates)
    admitted = site.run(10, rates)
    # Instances that get no requests keep a part of the limit.
    assert 780 <= admitted <= 1100


def test_shifting_demand_overshoots_by_a_bounded_amount(clock: Clock) -> None:
    """A load balancer moves all requests to another instance at once.

    Shares follow the demand that gossip reports, so until it arrives both
    instances count the whole demand as theirs.  The overshoot stays under the
    limit of one second for each move.
    """
    site = Instances(2, clock, Limits(requests_per_second=100))
    site.run(5, [400, 0])
    admitted = sum(site.run(2.5, rates) for rates in ([0, 400], [400, 0]) * 2)
    assert admitted <= 10 * 100 + 4 * 100


def test_token_rate_delays_after_a_large_prompt(clock: Clock) -> None:
    site = Instances(1, clock, Limits(tokens_per_second=10_000))
    assert site.is_admitted(0, 100_000)
    refused = site.refuse(0, 100).failure()
    assert 8 <= refused.retry_after <= 10
    clock.now += refused.retry_after + 0.01
    assert site.is_admitted(0, 100)


def test_tokens_in_flight_are_bounded_and_given_back(clock: Clock) -> None:
    site = Instances(1, clock, Limits(tokens_in_flight=10_000))
    request = site.request(6_000)
    site.limiters[0].admit(request)
    site.limiters[0].begin(request)
    assert not site.is_admitted(0, 6_000)
    site.limiters[0].end(request)
    assert site.is_admitted(0, 6_000)


def test_share_stands_when_cut_off_and_moves_when_others_die(
    clock: Clock,
) -> None:
    """An isolated instance must not give a workspace its whole limit again.

    One of four instances is cut off from the three others.  It must not take
    over their shares, for they go on serving; they take over its share, since
    it may be dead.
    """
    site = Instances(4, clock, Limits(requests_per_second=100))
    rates = [120, 120, 120, 120]
    site.run(5, rates)
    site.run(SUSPECT_AFTER + 2, rates, {0, 1, 2})
    parts = [limiter._shares['w'] for limiter in site.limiters]
    assert parts[3] == pytest.approx(0.25, abs=0.03)
    assert sum(parts[:3]) == pytest.approx(1, abs=0.03)


def test_busy_workspace_does_not_starve_another(clock: Clock) -> None:
    """A flood of one workspace must not hold up another's requests.

    One workspace has ten times the tokens in flight of the other, and the
    queue is long.  The flood is refused with a time to retry after, the other
    workspace's request is admitted.
    """
    site = Instances(1, clock, Limits())
    for name, tokens in (('flood', 9_000), ('small', 900)):
        request = site.request(tokens, name)
        site.limiters[0].begin(request)
    flood, small = (site.request(SHORT, name) for name in ('flood', 'small'))
    assert not isinstance(site.limiters[0].admit(flood), Failure)
    site.fleet.table.record_contention(SHORT, 3, 0.2, clock.now)
    refused = site.limiters[0].admit(flood).failure()
    assert 2 <= refused.retry_after <= 3
    assert not isinstance(site.limiters[0].admit(small), Failure)
    clock.now += refused.retry_after
    assert not isinstance(site.limiters[0].admit(flood), Failure)


def test_gossip_reports_only_the_busiest_workspaces(clock: Clock) -> None:
    site = Instances(1, clock, Limits())
    for number in range(200):
        site.limiters[0].admit(site.request(1_000 + number, f'w{number}'))
    demand = site.limiters[0].describe_demand()
    assert len(demand) == limits.MAX_ADVERTISED_WORKSPACES
    assert demand['w199'].tokens > Demand().tokens


def test_limited_workspace_is_told_when_to_come_back(roadgrip: Site) -> None:
    answers = [
        _complete_as_trials(at) for _ in range(40) for at in roadgrip.callers
    ]
    refused = [answer for answer in answers if answer.status == 429]
    assert refused
    assert len(refused) < len(answers)
    assert all(answer.refusal()['ran'] == 'no' for answer in refused)
    assert all(answer.refusal()['retry_after'] > 0 for answer in refused)
    assert complete(roadgrip.callers[0]).status == 200
    explained = roadgrip.control(
        roadgrip.instances[-1].operator,
        'GET',
        f'/operator/explain/{_last_refused(answers[2::3])}',
    )
    assert 'requests per second' in json.dumps(explained)


def _complete_as_trials(address: str) -> Answer:
    body = {'model': 'roadgrip-crew', 'prompt': 'x', 'max_tokens': 1}
    return call(address, '/v1/completions', body, key='example-key-trials')


def _last_refused(answers: list[Answer]) -> str:
    refused = [answer for answer in answers if answer.status == 429]
    return refused[-1].headers['X-Request-Id']


def test_idle_use_is_forgotten_and_debt_is_not() -> None:
    """A workspace sends one huge prompt, waits, and sends the next one.

    If its use were forgotten while its bucket is in debt, the next prompt
    would find a full bucket and the limit would never hold.
    """
    idle, indebted = Usage(), Usage()
    for usage in (idle, indebted):
        usage.record_request(1_000_000, 0)
    indebted.tokens.credit = -1_000_000
    assert not idle.is_idle(idle.measure_demand(1))
    assert idle.is_idle(idle.measure_demand(60))
    assert not indebted.is_idle(indebted.measure_demand(60))
