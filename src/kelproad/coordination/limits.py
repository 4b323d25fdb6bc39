"""Limits of workspaces, shared by all instances without asking anyone.

Every instance applies its share of each limit.  The share follows the part of
the workspace's demand that arrives here, as gossip tells it, so that a balancer
may send a workspace's requests anywhere; a small part of every limit is spread
evenly, so that a request that arrives at another instance finds some.

An instance that hears less than half of the members it knew is cut off, or the
others are: its shares stand as they were.  One that hears half or more takes
over the shares of those unheard, since they have most likely died.  So the
overshoot during a partition is at most the share of the smaller side, and
otherwise what demand moved within the time that gossip takes.
"""

import collections
import heapq
from collections.abc import Mapping

import attrs
from returns.result import Failure, Result, Success

from ..state import invariants
from ..state.configuration import Snapshot
from ..state.counters import Counters
from ..state.declarations import Workspace
from ..state.endpoints import EndpointTable
from ..state.limits import Demand, Usage
from ..state.members import MemberTable
from ..state.refusals import Refusal, RefusalCode, Step
from ..state.requests import Request
from ..transport.deadlines import monotonic

__all__ = ['WorkspaceLimits']

#: Part of every limit that is spread evenly over the instances.
_EVEN_PART = 0.2
#: Seconds for which the members' demand is used before it is summed again.
_SUM_SECONDS = 0.5
#: Workspaces whose demand is told to other instances, the busiest first.
MOST_TOLD = 32
#: Bounds, in seconds, of what a refused caller is told to wait.
_SHORTEST_WAIT = 0.05
_LONGEST_WAIT = 60.0
#: Wait, in multiples of a prompt's own time, from which a service is contended.
_CONTENDED = 4.0
#: And the part of its remaining time that the wait must take up.
_WAIT_PART = 0.1


@attrs.define
class _Told:
    """What the members told, summed once for all requests of a period.

    Attributes
    ----------
    enough
        At least half of the members known are heard.
    """

    instances: int = 1
    enough: bool = True
    demand: collections.Counter[str] = attrs.field(factory=collections.Counter)
    summed_at: float = float('-inf')


class WorkspaceLimits:
    """Lets requests through within this instance's shares."""

    def __init__(
        self,
        members: MemberTable,
        table: EndpointTable,
        counters: Counters,
    ) -> None:
        """Share limits with the members of a table."""
        self._members = members
        self._table = table
        self._counters = counters
        self._usage: dict[str, Usage] = {}
        self._held: dict[str, int] = {}
        self._parts: dict[str, float] = {}
        self._told = _Told()

    def admit(self, request: Request) -> Result[Request, Refusal]:
        """Let a request through, or refuse it with when to come back."""
        now = monotonic()
        workspace = request.workspace
        usage = self._usage.setdefault(workspace.name, Usage())
        usage.note_asked(request.prompt_tokens, now)
        part = self._find_part(workspace.name, usage, now)
        wait, limit = _find_wait(workspace, usage, part, request, now)
        if wait > 0:
            self._counters.limited.inc({'limit': limit})
            return Failure(_refuse_limited(workspace, limit, wait))
        contention = self._table.measure_contention(request.prompt_tokens, now)
        threshold = request.remaining(now) * _WAIT_PART
        long_enough = contention.seconds > threshold
        contended = long_enough and contention.slowdown > _CONTENDED
        if contended and self._is_above_fair_share(request):
            self._counters.limited.inc({'limit': 'fair share'})
            return Failure(_refuse_unfair(workspace, contention.seconds))
        _spend(workspace, usage, request.prompt_tokens)
        return Success(request)

    def begin(self, request: Request) -> None:
        """Count a request's tokens as in flight."""
        usage = self._usage.setdefault(request.workspace.name, Usage())
        # A request in segments changes its length before it ends.
        self._held[request.request_id] = request.prompt_tokens
        usage.in_flight += request.prompt_tokens
        usage.in_progress += 1

    def end(self, request: Request) -> None:
        """Take a request that has its final answer out of the count."""
        usage = self._usage[request.workspace.name]
        tokens = self._held.pop(request.request_id)
        usage.in_flight -= tokens
        usage.in_progress -= 1
        usage.note_finished(tokens, monotonic())
        invariants.check(
            usage.in_flight >= 0 and usage.in_progress >= 0,
            'workspace_accounts_never_negative',
            request.workspace.name,
        )

    def describe_demand(self) -> dict[str, Demand]:
        """Describe the demand of the busiest workspaces for the peers."""
        now = monotonic()
        demands = {
            name: usage.measure_demand(now)
            for name, usage in self._usage.items()
        }
        self._forget_idle(demands)
        busiest = heapq.nlargest(
            MOST_TOLD,
            demands,
            key=lambda name: _weigh_demand(demands[name]),
        )
        return {
            name: demands[name]
            for name in busiest
            if demands[name].requests or demands[name].in_flight
        }

    def _forget_idle(self, demands: Mapping[str, Demand]) -> None:
        """Drop the workspaces that ask for nothing here any more.

        A balancer brings every workspace to every instance sooner or later;
        without this each would describe all of them for ever.
        """
        for name, demand in demands.items():
            if self._usage[name].is_idle(demand):
                self._usage.pop(name)
                self._parts.pop(name, None)

    def _is_above_fair_share(self, request: Request) -> bool:
        """Tell whether a workspace has more in flight than its weight gives.

        Everybody's tokens in flight are compared, here and as told by peers;
        a workspace alone is never above its share.
        """
        held = self._sum_in_flight()
        own = request.workspace
        if held.keys() <= {own.name}:
            return False
        weight = _sum_weights(request.snapshot, {*held, own.name})
        share = held.get(own.name, 0) / sum(held.values())
        return share > own.weight / weight

    def _sum_in_flight(self) -> dict[str, int]:
        held = {
            name: usage.in_flight
            for name, usage in self._usage.items()
            if usage.in_flight
        }
        for member in self._members.live(monotonic()):
            for name, demand in member.demand.items():
                held[name] = held.get(name, 0) + demand.in_flight
        return {name: tokens for name, tokens in held.items() if tokens}

    def _find_part(self, name: str, usage: Usage, now: float) -> float:
        """Find the part of a workspace's limits that this instance applies."""
        if now - self._told.summed_at >= _SUM_SECONDS:
            self._told = self._sum_told(now)
        if self._told.enough or name not in self._parts:
            own = _weigh_demand(usage.measure_demand(now))
            self._parts[name] = _compute_part(own, name, self._told)
        return self._parts[name]

    def _sum_told(self, now: float) -> _Told:
        live = self._members.live(now)
        known = list(self._members.known())
        demand: collections.Counter[str] = collections.Counter()
        for member in live:
            for name, told in member.demand.items():
                demand[name] += _weigh_demand(told)
        instances = len(live) + 1
        return _Told(instances, instances * 2 >= len(known) + 1, demand, now)


def _sum_weights(snapshot: Snapshot, names: set[str]) -> float:
    """Sum the weights of workspaces; one that was removed has a plain 1."""
    found = [snapshot.workspaces.get(name) for name in names]
    return sum(workspace.weight if workspace else 1 for workspace in found)


def _compute_part(own: float, name: str, told: _Told) -> float:
    total = own + told.demand[name]
    by_demand = own / total if total else 1
    return _EVEN_PART / told.instances + (1 - _EVEN_PART) * by_demand


def _weigh_demand(demand: Demand) -> float:
    # A request costs something even if its prompt is empty.
    return demand.tokens + demand.requests


def _find_wait(
    workspace: Workspace,
    usage: Usage,
    part: float,
    request: Request,
    now: float,
) -> tuple[float, str]:
    """Return how long the tightest limit makes a request wait, and its name."""
    limits = workspace.limits
    waits = [(float(0), '')]
    if limits.requests_per_second is not None:
        rate = limits.requests_per_second * part
        usage.requests.fill(rate, now)
        waits.append((usage.requests.wait(rate), 'requests per second'))
    if limits.tokens_per_second is not None:
        rate = limits.tokens_per_second * part
        usage.tokens.fill(rate, now)
        waits.append((usage.tokens.wait(rate), 'tokens per second'))
    if limits.tokens_in_flight is not None:
        room = limits.tokens_in_flight * part - usage.in_flight
        # A prompt above the share goes alone, or it would never go.
        fits = request.prompt_tokens <= room or not usage.in_progress
        missing = request.prompt_tokens - room
        wait = 0 if fits else usage.wait_for(missing, now)
        waits.append((wait, 'tokens in flight'))
    return max(waits)


def _spend(workspace: Workspace, usage: Usage, tokens: int) -> None:
    if workspace.limits.requests_per_second is not None:
        usage.requests.credit -= 1
    if workspace.limits.tokens_per_second is not None:
        usage.tokens.credit -= tokens


def _refuse_limited(workspace: Workspace, limit: str, wait: float) -> Refusal:
    return Refusal(
        RefusalCode.LIMIT_EXCEEDED,
        f'workspace {workspace.name!r} is over its limit of {limit}',
        Step.ADMIT,
        retry_after=_bound_wait(wait),
    )


def _refuse_unfair(workspace: Workspace, wait: float) -> Refusal:
    return Refusal(
        RefusalCode.LIMIT_EXCEEDED,
        f'workspace {workspace.name!r} has more than its share in flight '
        'while others wait',
        Step.ADMIT,
        retry_after=_bound_wait(wait),
    )


def _bound_wait(wait: float) -> float:
    return min(max(wait, _SHORTEST_WAIT), _LONGEST_WAIT)
