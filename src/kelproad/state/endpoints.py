"""Endpoints as this instance knows them: load reported, work sent."""

import collections
from collections.abc import Iterable, Mapping

import attrs

from . import invariants
from .configuration import Snapshot
from .declarations import EndpointDeclaration, EndpointGroup
from .lengths import LengthClass, classify_length
from .members import EndpointReport
from .prefixes import PrefixHistory
from .rates import FailureShare, LearnedRate

__all__ = ['Contention', 'Endpoint', 'EndpointTable']

#: Seconds by which the state in a report may be older than its reading.
REPORT_LAG = 0.5


def _zero_by_class() -> list[int]:
    return [0 for _ in LengthClass]


@attrs.define
class Endpoint:
    """One back end with the state that routing uses.

    Attributes
    ----------
    own_tokens
        Prompt tokens that this instance has in flight there.
    peer_tokens
        Prompt tokens that other instances report to have in flight there.
    local_by_class, peer_by_class
        The same by length class, which is the priority at the engine.
    reported_at
        Monotonic time to which ``report`` refers.
    read_locally
        Whether this instance read ``report`` from the engine itself.
    rate
        Prefill tokens per second, learned from local requests.
    group_rate
        The same learned over all endpoints of the group.
    computed_tokens
        Total of the prompt tokens that this instance sent and that are no
        longer in flight.
    on_probation
        Whether it was ejected for failures and no attempt has succeeded since.
    restored_at
        Monotonic time at which its latest probation ended.
    ejections
        Number of ejections in a row.
    failures
        Share of the latest attempts there that failed.
    misdirected_until
        Monotonic time until which it gets no calls, because another endpoint
        answered at its address.
    """

    declaration: EndpointDeclaration
    group: EndpointGroup
    own_tokens: int = 0
    own_requests: int = 0
    peer_tokens: int = 0
    report: EndpointReport | None = None
    reported_at: float = float('-inf')
    read_locally: bool = False
    consecutive_failures: int = 0
    ejected_until: float = float('-inf')
    listed_leaving: bool = False
    withheld: bool = False
    local_by_class: list[int] = attrs.field(factory=_zero_by_class)
    peer_by_class: list[int] = attrs.field(factory=_zero_by_class)
    rate: LearnedRate = attrs.field(factory=LearnedRate)
    group_rate: LearnedRate = attrs.field(factory=LearnedRate)
    computed_tokens: int = 0
    on_probation: bool = False
    restored_at: float = float('-inf')
    ejections: int = 0
    failures: FailureShare = attrs.field(factory=FailureShare)
    misdirected_until: float = float('-inf')
    _unreported: collections.deque[tuple[float, int]] = attrs.field(
        factory=collections.deque,
    )

    @property
    def name(self) -> str:
        """Name under which the endpoint was declared."""
        return self.declaration.name

    @property
    def leaving(self) -> bool:
        """Whether any source reports that it must get no new work."""
        reported = self.report is not None and self.report.leaving
        return (
            self.declaration.leaving
            or self.listed_leaving
            or self.withheld
            or reported
        )

    @property
    def tokens_per_second(self) -> float:
        """Prefill rate: learned, or as declared until one is learned."""
        declared = self.group.prefill_tokens_per_second
        return self.rate.value or self.group_rate.value or declared

    def observe_rate(self, rate: float) -> None:
        """Learn from one observed rate, for the endpoint and its group."""
        self.rate.observe(rate)
        self.group_rate.observe(rate)

    @property
    def in_flight_tokens(self) -> int:
        """Prompt tokens in flight there from this instance and peers."""
        return self.own_tokens + self.peer_tokens

    @property
    def unreported_tokens(self) -> int:
        """Prompt tokens sent there that the report cannot include yet."""
        return sum(tokens for _, tokens in self._unreported)

    def accept_report(
        self,
        report: EndpointReport,
        read_at: float,
        here: bool = False,
    ) -> bool:
        """Replace the report by a newer one; return whether it is newer."""
        if read_at <= self.reported_at:
            return False
        self.report = report
        self.reported_at = read_at
        self.read_locally = here
        # An engine that was slow gets no work, so no observation would show
        # that it has recovered; each report moves the learned rate towards
        # that of the group.
        self.rate.decay_towards(self.group_rate)
        while self._unreported and self._is_reported(self._unreported[0][0]):
            self._unreported.popleft()
        return True

    def begin_prefill(self, tokens: int, now: float) -> None:
        """Record a prompt as sent there."""
        self.own_tokens += tokens
        self.local_by_class[classify_length(tokens)] += tokens
        self._unreported.append((now, tokens))

    def end_prefill(self, tokens: int) -> None:
        """Remove a prompt that is prefilled or abandoned."""
        self.own_tokens -= tokens
        self.local_by_class[classify_length(tokens)] -= tokens
        self.computed_tokens += tokens
        if not self.own_tokens:
            self._unreported.clear()
        invariants.check(
            min(self.local_by_class) >= 0,
            'prefill_accounts_never_negative',
            self.name,
        )

    def _is_reported(self, sent_at: float) -> bool:
        return sent_at < self.reported_at - REPORT_LAG


@attrs.frozen
class Contention:
    """Predicted wait of the prompts of one length class.

    Attributes
    ----------
    seconds
        Predicted wait of the prompt placed last, decreasing with time.
    slowdown
        The same in multiples of the prompt's own prefill time.
    """

    seconds: float = 0
    slowdown: float = 0
    recorded_at: float = float('-inf')


class EndpointTable:
    """Endpoints by name, updated with the configuration.

    Attributes
    ----------
    prefixes
        Endpoints that recently computed each prompt prefix.
    sent_by_class
        Prompt tokens sent by length class; older ones have less weight.
    instances
        Number of live instances, this one included.
    first_token_ratios
        Ratio of observed to predicted time to first token, by length class;
        no prediction includes the prompts that arrive later with a higher
        priority.
    """

    def __init__(self) -> None:
        """Start with no endpoints."""
        self._endpoints: dict[str, Endpoint] = {}
        self._by_group: dict[str, list[Endpoint]] = {}
        #: Endpoints that this instance withholds as the holder of the lease
        #: of the orders.
        self.withheld_locally: frozenset[str] = frozenset()
        self._by_zone: dict[tuple[str, str], list[Endpoint]] = {}
        self._turns: dict[str, int] = {}
        self._group_rates: dict[str, LearnedRate] = {}
        self.prefixes = PrefixHistory()
        self.sent_by_class = [float(0) for _ in LengthClass]
        self.instances = 1
        self.first_token_ratios = [LearnedRate() for _ in LengthClass]
        self._contention: dict[LengthClass, Contention] = {}

    def apply_snapshot(self, snapshot: Snapshot) -> None:
        """Add, update and remove endpoints as a new snapshot declares.

        Counts of work in flight survive a changed declaration, because the
        work goes on.
        """
        self.replace_groups(snapshot.groups.values())

    def replace_groups(self, groups: Iterable[EndpointGroup]) -> None:
        """Set the endpoints to exactly those of the groups."""
        kept: dict[str, Endpoint] = {}
        self._by_group = {}
        self._by_zone = {}
        for group in groups:
            members = [self._declare(item, group) for item in group.endpoints]
            self._by_group[group.name] = members
            for member in members:
                location = (group.name, member.declaration.zone)
                self._by_zone.setdefault(location, []).append(member)
            kept.update({member.name: member for member in members})
        self._endpoints = kept

    def in_group(self, group: str) -> list[Endpoint]:
        """List the endpoints of a group."""
        return self._by_group.get(group, [])

    def in_zone(self, group: str, zone: str) -> list[Endpoint]:
        """List the endpoints of a group that run in a zone."""
        return self._by_zone.get((group, zone), [])

    def next_turn(self, service: str) -> int:
        """Return a service's turn in its rotation, and advance it by one."""
        turn = self._turns.get(service, 0)
        self._turns[service] = turn + 1
        return turn

    def record_sent(self, tokens: int) -> None:
        """Add a prompt to the length mix, halved when it gets large."""
        self.sent_by_class[classify_length(tokens)] += tokens
        if sum(self.sent_by_class) > _MAX_MIX_TOKENS:
            self.sent_by_class = [sent / 2 for sent in self.sent_by_class]

    def record_contention(
        self,
        tokens: int,
        seconds: float,
        prefill_seconds: float,
        now: float,
    ) -> None:
        """Record the predicted wait of a prompt and its own prefill time."""
        slowdown = seconds / (prefill_seconds + _MIN_PREFILL_SECONDS)
        self._contention[classify_length(tokens)] = Contention(
            seconds,
            slowdown,
            now,
        )

    def measure_contention(self, tokens: int, now: float) -> Contention:
        """Return the wait of a length class; it falls while none is placed."""
        latest = self._contention.get(classify_length(tokens))
        if latest is None:
            return Contention()
        # While nothing is placed, queues shrink by a second per second.
        left = max(0, latest.seconds - (now - latest.recorded_at))
        share = left / latest.seconds if latest.seconds else 0
        return Contention(left, latest.slowdown * share, now)

    def get(self, name: str) -> Endpoint | None:
        """Find an endpoint by its name."""
        return self._endpoints.get(name)

    def serves_at(self, address: str) -> bool:
        """Return whether an endpoint at an address may get calls."""
        return any(
            endpoint.declaration.address == address and not endpoint.leaving
            for endpoint in self._endpoints.values()
        )

    def find_zone(self, name: str) -> str:
        """Find the zone of an endpoint; empty for an unknown endpoint."""
        endpoint = self._endpoints.get(name)
        return endpoint.declaration.zone if endpoint else ''

    def all(self) -> Mapping[str, Endpoint]:
        """Return every endpoint by name."""
        return self._endpoints

    def withhold(self, names: frozenset[str]) -> None:
        """Exclude exactly these endpoints from new requests."""
        for name, endpoint in self._endpoints.items():
            endpoint.withheld = name in names

    def _declare(
        self,
        declaration: EndpointDeclaration,
        group: EndpointGroup,
    ) -> Endpoint:
        endpoint = self._endpoints.get(declaration.name)
        if endpoint is None or endpoint.declaration.incarnation != (
            declaration.incarnation
        ):
            # A restarted endpoint has none of the work that was counted.
            rate = self._group_rates.setdefault(group.name, LearnedRate())
            return Endpoint(declaration, group, group_rate=rate)
        if declaration.address != endpoint.declaration.address:
            # Another endpoint answered at the former address, not at this.
            endpoint.misdirected_until = float('-inf')
        endpoint.declaration = declaration
        endpoint.group = group
        return endpoint


#: Seconds that a prompt takes in addition, however short it is.
_MIN_PREFILL_SECONDS = 0.05
#: Sum of prompt tokens above which the length mix is halved, so that older
#: prompts have less weight.
_MAX_MIX_TOKENS = 20_000_000
