"""Endpoints as this instance knows them: load reported, work sent."""

import collections

import attrs

from . import invariants
from .declarations import EndpointDeclaration, EndpointGroup
from .engines import LengthClass, classify_length
from .rates import FailureShare, LearnedRate
from .withdrawals import Withdrawal

__all__ = ['Endpoint', 'EndpointReport']

#: Seconds by which the state in a report may be older than its reading.
REPORT_LAG = 0.5


def _zero_by_class() -> list[int]:
    return [0 for _ in LengthClass]


@attrs.frozen
class EndpointReport:
    """The state that a watcher last read from an engine, and its age.

    Attributes
    ----------
    incarnation
        Changes when the engine restarts.
    waiting_tokens
        Prompt tokens that the engine has yet to prefill.
    used_tokens
        Tokens of KV cache in use.
    age
        Seconds since the watcher read it, at the time of sending.
    """

    endpoint: str
    incarnation: str
    waiting_tokens: int = 0
    running: int = 0
    used_tokens: int = 0
    leaving: bool = False
    models: list[str] = attrs.field(factory=list)
    age: float = 0


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
    withdrawal
        What its incarnation stated about leaving and pausing.
    evacuated
        Whether operators have ordered that its zone get no calls.
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
    withdrawal: Withdrawal = attrs.field(factory=Withdrawal)
    evacuated: bool = False
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
        return self.withdrawal.leaves or self.listed_as_leaving

    @property
    def listed_as_leaving(self) -> bool:
        """Whether any source but its own answers reports that."""
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
