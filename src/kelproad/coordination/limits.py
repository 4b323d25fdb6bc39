"""Limits of workspaces, divided among the instances without coordination.

Every instance enforces its share of each limit.  The share follows the fraction
of the workspace's demand that arrives here, computed from gossip, so that a
load balancer may send a workspace's requests to any instance.  A small fraction
of every limit is divided evenly, so that an instance without recent demand of a
workspace still has a share.

An instance that receives gossip from less than half of the known members is
partitioned off, or the others are: it freezes its shares.  One that receives
gossip from half or more takes over the shares of the silent members, since they
have most likely failed.  So the overshoot during a partition is at most the
share of the smaller side, and otherwise the demand that moved between instances
within the propagation delay of gossip.
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
from ..state.endpointtable import EndpointTable
from ..state.limits import Demand, Usage
from ..state.members import MemberTable
from ..state.refusals import Refusal, RefusalCode, Step
from ..state.requests import Request
from ..transport.deadlines import monotonic

__all__ = ['WorkspaceLimits']

#: Fraction of every limit that is divided evenly among the instances.
_EVEN_FRACTION = 0.2
#: Seconds for which a sum of the members' demand is reused.
_SUM_PERIOD = 0.5
#: Number of workspaces whose demand is advertised to peers, busiest first.
MAX_ADVERTISED_WORKSPACES = 32
#: Bounds of the Retry-After of a refusal, in seconds.
_SHORTEST_WAIT = 0.05
_LONGEST_WAIT = 60.0
#: Wait, as a multiple of a prompt's own time, above which prompts of its length
#: class are contended.
_CONTENDED_SLOWDOWN = 4.0
#: Fraction of a request's remaining time that the wait must exceed as well.
_CONTENDED_FRACTION = 0.1


@attrs.define
class _PeerDemand:
    """Demand advertised by the members, summed once a period.

    Attributes
    ----------
    has_quorum
        Whether gossip arrives from at least half of the known members, this
        instance included.
    """

    instances: int = 1
    has_quorum: bool = True
    demand: collections.Counter[str] = attrs.field(factory=collections.Counter)
    summed_at: float = float('-inf')


class WorkspaceLimits:
    """Admission of requests within this instance's shares of the limits."""

    def __init__(
        self,
        members: MemberTable,
        table: EndpointTable,
        counters: Counters,
    ) -> None:
        """Divide the limits among the members of a table."""
        self._members = members
        self._table = table
        self._counters = counters
        self._usage: dict[str, Usage] = {}
        self._request_tokens: dict[str, int] = {}
        self._shares: dict[str, float] = {}
        self._peer_demand = _PeerDemand()

    def admit(self, request: Request) -> Result[Request, Refusal]:
        """Admit a request, or refuse it with a Retry-After."""
        now = monotonic()
        workspace = request.workspace
        usage = self._usage.setdefault(workspace.name, Usage())
        usage.record_request(request.prompt_tokens, now)
        part = self._find_share(workspace.name, usage, now)
        wait, limit = _find_wait(workspace, usage, part, request, now)
        if wait > 0:
            self._counters.limited.inc({'limit': limit})
            return Failure(_refuse_limited(workspace, limit, wait))
        contention = self._table.measure_contention(request.prompt_tokens, now)
        threshold = request.remaining(now) * _CONTENDED_FRACTION
        long_enough = contention.seconds > threshold
        contended = long_enough and contention.slowdown > _CONTENDED_SLOWDOWN
        if contended and self._is_above_fair_share(request):
            self._counters.limited.inc({'limit': 'fair share'})
            return Failure(
                _refuse_above_fair_share(workspace, contention.seconds)
            )
        _spend(workspace, usage, request.prompt_tokens)
        return Success(request)

    def begin(self, request: Request) -> None:
        """Add a request's tokens to those in flight."""
        usage = self._usage.setdefault(request.workspace.name, Usage())
        # The length of a request in parts changes before it ends.
        self._request_tokens[request.request_id] = request.prompt_tokens
        usage.in_flight += request.prompt_tokens
        usage.in_progress += 1

    def end(self, request: Request) -> None:
        """Remove a request that has its final answer."""
        usage = self._usage[request.workspace.name]
        tokens = self._request_tokens.pop(request.request_id)
        usage.in_flight -= tokens
        usage.in_progress -= 1
        usage.record_finished(tokens, monotonic())
        invariants.check(
            usage.in_flight >= 0 and usage.in_progress >= 0,
            'workspace_accounts_never_negative',
            request.workspace.name,
        )

    def describe_demand(self) -> dict[str, Demand]:
        """Return the demand of the busiest workspaces, for the peers."""
        now = monotonic()
        demands = {
            name: usage.measure_demand(now)
            for name, usage in self._usage.items()
        }
        self._drop_idle(demands)
        busiest = heapq.nlargest(
            MAX_ADVERTISED_WORKSPACES,
            demands,
            key=lambda name: _compute_load(demands[name]),
        )
        return {
            name: demands[name]
            for name in busiest
            if demands[name].requests or demands[name].in_flight
        }

    def _drop_idle(self, demands: Mapping[str, Demand]) -> None:
        """Drop the workspaces without recent requests here.

        A load balancer sends every workspace to every instance sooner or
        later; without this each would keep and describe all of them for ever.
        """
        for name, demand in demands.items():
            if self._usage[name].is_idle(demand):
                self._usage.pop(name)
                self._shares.pop(name, None)

    def _is_above_fair_share(self, request: Request) -> bool:
        """Return whether a workspace has more in flight than its weight allows.

        The tokens in flight of all workspaces are compared, here and as
        advertised by peers; a single workspace is never above its share.
        """
        held = self._sum_in_flight()
        workspace = request.workspace
        if held.keys() <= {workspace.name}:
            return False
        weight = _sum_weights(request.snapshot, {*held, workspace.name})
        share = held.get(workspace.name, 0) / sum(held.values())
        return share > workspace.weight / weight

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

    def _find_share(self, name: str, usage: Usage, now: float) -> float:
        """Return this instance's share of a workspace's limits."""
        if now - self._peer_demand.summed_at >= _SUM_PERIOD:
            self._peer_demand = self._sum_peer_demand(now)
        if self._peer_demand.has_quorum or name not in self._shares:
            local_load = _compute_load(usage.measure_demand(now))
            self._shares[name] = _compute_share(
                local_load, name, self._peer_demand
            )
        return self._shares[name]

    def _sum_peer_demand(self, now: float) -> _PeerDemand:
        live = self._members.live(now)
        known = list(self._members.known())
        demand: collections.Counter[str] = collections.Counter()
        for member in live:
            for name, advertised in member.demand.items():
                demand[name] += _compute_load(advertised)
        instances = len(live) + 1
        return _PeerDemand(
            instances,
            instances * 2 >= len(known) + 1,
            demand,
            now,
        )


def _sum_weights(snapshot: Snapshot, names: set[str]) -> float:
    """Sum the weights of workspaces; a removed one counts as 1."""
    found = [snapshot.workspaces.get(name) for name in names]
    return sum(workspace.weight if workspace else 1 for workspace in found)


def _compute_share(
    local_load: float,
    name: str,
    peer_demand: _PeerDemand,
) -> float:
    total = local_load + peer_demand.demand[name]
    by_demand = local_load / total if total else 1
    return (
        _EVEN_FRACTION / peer_demand.instances
        + (1 - _EVEN_FRACTION) * by_demand
    )


def _compute_load(demand: Demand) -> float:
    # Every request counts as one token more, so an empty prompt costs too.
    return demand.tokens + demand.requests


def _find_wait(
    workspace: Workspace,
    usage: Usage,
    part: float,
    request: Request,
    now: float,
) -> tuple[float, str]:
    """Return the seconds to wait for the tightest limit, and its name.

    ``part`` is this instance's share of the limits.
    """
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
        # A prompt larger than the share runs alone, or it would never run.
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


def _refuse_above_fair_share(workspace: Workspace, wait: float) -> Refusal:
    return Refusal(
        RefusalCode.LIMIT_EXCEEDED,
        f'workspace {workspace.name!r} has more than its share in flight '
        'while others wait',
        Step.ADMIT,
        retry_after=_bound_wait(wait),
    )


def _bound_wait(wait: float) -> float:
    return min(max(wait, _SHORTEST_WAIT), _LONGEST_WAIT)
