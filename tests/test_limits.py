"""Limits of workspaces and fair shares, called as functions over state."""

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
    """A clock that tests move."""

    now: float = 1000.0

    def __call__(self) -> float:
        """Tell the time."""
        return self.now


@pytest.fixture
def clock(monkeypatch: pytest.MonkeyPatch) -> Iterator[Clock]:
    """Put a clock in place of the machine's."""
    made = Clock()
    monkeypatch.setattr(limits, 'monotonic', made)
    return made


class Instances:
    """Instances that gossip their demand, as the whole site."""

    def __init__(self, count: int, clock: Clock, limited: Limits) -> None:
        """Create them; each knows all others."""
        self.fleet = Fleet()
        self.clock = clock
        self.workspace = Workspace('w', [], [], limits=limited)
        self.tables = [MemberTable() for _ in range(count)]
        self.each = [
            WorkspaceLimits(table, self.fleet.table, Counters())
            for table in self.tables
        ]
        self.version = 0

    def gossip(self, heard: set[int] | None = None) -> None:
        """Let every instance hear those of a set, or all."""
        self.version += 1
        for origin, told in enumerate(self.each):
            member = Member(
                f'i{origin}',
                'a',
                '',
                1,
                self.version,
                demand=told.describe_demand(),
            )
            for target, table in enumerate(self.tables):
                together = heard is None or {origin, target} <= heard
                if target != origin and together:
                    table.merge(member, self.clock.now)

    def ask(self, index: int, tokens: int = SHORT) -> bool:
        """Ask one instance to let a request through."""
        return not isinstance(self.refuse(index, tokens), Failure)

    def refuse(self, index: int, tokens: int = SHORT) -> object:
        """Return what an instance decides on a request."""
        return self.each[index].admit(self.request(tokens))

    def request(self, tokens: int, workspace: str = 'w') -> Request:
        """Make a request of a workspace."""
        asked = self.fleet.request(tokens)
        changed = attrs.evolve(self.workspace, name=workspace)
        deadline = self.clock.now + 20
        return attrs.evolve(asked, workspace=changed, deadline=deadline)

    def run(
        self,
        seconds: float,
        rates: list[int],
        heard: set[int] | None = None,
    ) -> int:
        """Ask for some seconds at rates by instance; count those let through.

        Gossip goes once in half a second, among those heard.
        """
        through = 0
        for step in range(round(seconds * 20)):
            self.clock.now += 0.05
            if step % 10 == 0:
                self.gossip(heard)
            for index, rate in enumerate(rates):
                asked = [self.ask(index) for _ in range(rate // 20)]
                through += asked.count(True)
        return through


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
    through = site.run(10, rates)
    # A part of the limit waits at instances that get nothing.
    assert 780 <= through <= 1100


def test_shifting_demand_overshoots_by_a_bounded_amount(clock: Clock) -> None:
    """A balancer moves all requests to another instance at once.

    Both then think that the demand is theirs for the time gossip takes.
    Cause: shares follow demand that is told late.  The overshoot stays under
    one second's limit for each move.
    """
    site = Instances(2, clock, Limits(requests_per_second=100))
    site.run(5, [400, 0])
    through = sum(site.run(2.5, rates) for rates in ([0, 400], [400, 0]) * 2)
    assert through <= 10 * 100 + 4 * 100


def test_token_rate_delays_after_a_large_prompt(clock: Clock) -> None:
    site = Instances(1, clock, Limits(tokens_per_second=10_000))
    assert site.ask(0, 100_000)
    refused = site.refuse(0, 100).failure()
    assert 8 <= refused.retry_after <= 10
    clock.now += refused.retry_after + 0.01
    assert site.ask(0, 100)


def test_tokens_in_flight_are_bounded_and_given_back(clock: Clock) -> None:
    site = Instances(1, clock, Limits(tokens_in_flight=10_000))
    request = site.request(6_000)
    site.each[0].admit(request)
    site.each[0].begin(request)
    assert not site.ask(0, 6_000)
    site.each[0].end(request)
    assert site.ask(0, 6_000)


def test_share_stands_when_cut_off_and_moves_when_others_die(
    clock: Clock,
) -> None:
    """A zone that is cut off lets a workspace use its whole limit again.

    Three of four instances go silent.  The one cut off must not take their
    share, for they go on serving; the three take over that of the one, which
    may be dead.
    """
    site = Instances(4, clock, Limits(requests_per_second=100))
    rates = [120, 120, 120, 120]
    site.run(5, rates)
    site.run(SUSPECT_AFTER + 2, rates, {0, 1, 2})
    parts = [each._shares['w'] for each in site.each]
    assert parts[3] == pytest.approx(0.25, abs=0.03)
    assert sum(parts[:3]) == pytest.approx(1, abs=0.03)


def test_busy_workspace_does_not_starve_another(clock: Clock) -> None:
    """Buyers wait behind another workspace's flood.

    One workspace has ten times the tokens in flight of the other, and the
    queue is long.  The flood is refused with when to come back, the other
    goes through.
    """
    site = Instances(1, clock, Limits())
    for name, tokens in (('flood', 9_000), ('small', 900)):
        request = site.request(tokens, name)
        site.each[0].begin(request)
    flood, small = (site.request(SHORT, name) for name in ('flood', 'small'))
    assert not isinstance(site.each[0].admit(flood), Failure)
    site.fleet.table.record_contention(SHORT, 3, 0.2, clock.now)
    refused = site.each[0].admit(flood).failure()
    assert 2 <= refused.retry_after <= 3
    assert not isinstance(site.each[0].admit(small), Failure)
    clock.now += refused.retry_after
    assert not isinstance(site.each[0].admit(flood), Failure)


def test_gossip_tells_only_the_busiest_workspaces(clock: Clock) -> None:
    site = Instances(1, clock, Limits())
    for number in range(200):
        site.each[0].admit(site.request(1_000 + number, f'w{number}'))
    told = site.each[0].describe_demand()
    assert len(told) == limits.MAX_ADVERTISED_WORKSPACES
    assert told['w199'].tokens > Demand().tokens


def test_limited_workspace_is_told_when_to_come_back(roadgrip: Site) -> None:
    answers = [_ask_as_trials(at) for _ in range(40) for at in roadgrip.callers]
    refused = [answer for answer in answers if answer.status == 429]
    assert refused
    assert len(refused) < len(answers)
    assert all(answer.refusal()['ran'] == 'no' for answer in refused)
    assert all(answer.refusal()['retry_after'] > 0 for answer in refused)
    assert complete(roadgrip.callers[0]).status == 200
    told = roadgrip.control(
        roadgrip.instances[-1].operator,
        'GET',
        f'/operator/explain/{_last_refused(answers[2::3])}',
    )
    assert 'requests per second' in json.dumps(told)


def _ask_as_trials(address: str) -> Answer:
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
