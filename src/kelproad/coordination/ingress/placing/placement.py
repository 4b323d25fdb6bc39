"""Data of a placement decision: candidates, requirements, result, its work."""

import math
import types
from collections.abc import Mapping

import attrs

from ....state.calls import Call
from ....state.endpoints import Endpoint
from ....state.refusals import RefusalCode
from ....state.work import EndpointWork, WorkLedger

__all__ = [
    'AttemptAccount',
    'Candidate',
    'CallRequirements',
    'Placement',
    'MemoryShare',
    'NoPlacementError',
]

#: Share of its objective for which a prompt may wait for free engines, and
#: share of the caller's silence timeout for one that misses it in any case.
WAIT_SHARE = 0.5
LATE_WAIT_SHARE = 0.7
_NO_WAITS: Mapping[str, float] = types.MappingProxyType({})


@attrs.frozen
class Candidate:
    """An endpoint that a call may be sent to, and the work in flight there.

    Attributes
    ----------
    delay
        Network delay from this instance, one way, in seconds.
    failing
        Share of the latest attempts that failed, from 0 to 1.
    may_answer
        Whether the call may be sent there, and not only a part of its prompt.
    may_help
        Whether it may prefill a part of the prompt for another engine.
    slowdown
        Factor by which it takes longer than published, at present.
    limited
        Whether it limits its requests.
    warming_up
        Whether it does so because it warms up.
    start_wait
        Predicted seconds until its limit permits another request.
    """

    endpoint: Endpoint
    work: EndpointWork
    delay: float = 0
    failing: float = 0
    may_answer: bool = True
    may_help: bool = True
    slowdown: float = 1
    limited: bool = False
    start_wait: float = 0
    warming_up: bool = False


@attrs.frozen
class CallRequirements:
    """Resources and time limits of a call to engines.

    Attributes
    ----------
    memory_tokens
        Prompt and answer tokens.
    objective
        Seconds from arrival to the first token that the route aims at.
    waited
        Seconds since arrival.
    silence_timeout
        Seconds from arrival without a first token after which the caller
        disconnects.
    """

    prompt_tokens: int
    memory_tokens: int
    objective: float
    waited: float = 0
    silence_timeout: float = math.inf

    @property
    def may_wait(self) -> bool:
        """Whether the objective leaves time to wait for free engines."""
        return self.waited < self.objective * WAIT_SHARE

    @property
    def may_wait_past_objective(self) -> bool:
        """Whether there is time to wait once the objective is missed."""
        return self.waited < self.silence_timeout * LATE_WAIT_SHARE

    def with_silence_timeout(self) -> 'CallRequirements':
        """Use the silence timeout in place of an objective that is missed."""
        return attrs.evolve(self, objective=self.silence_timeout)

    def begin_anew(self, objective: float) -> 'CallRequirements':
        """Use another objective from now on, in place of one that is missed.

        The first token is to come before the caller disconnects all the same.
        """
        left = self.silence_timeout - self.waited
        return attrs.evolve(self, objective=min(objective, left), waited=0)

    @property
    def left(self) -> float:
        """Remaining seconds of the objective, at least a tenth of it."""
        return max(self.objective - self.waited, self.objective / 10)


@attrs.frozen
class MemoryShare:
    """Memory in tokens that one engine is to reserve for a prompt."""

    endpoint: Endpoint
    tokens: int


@attrs.frozen
class Placement:
    """The endpoints chosen for a call.

    Attributes
    ----------
    primary
        The endpoint that answers.
    helpers
        Helper engines, which prefill parts of the prompt.
    shares
        Memory to reserve at helpers, where the primary has too little.
    claim
        Memory to claim at the primary, for a prompt of which it can't hold two.
    part_seconds
        Predicted seconds of prefill at each engine.
    predicted
        Predicted seconds to the first token, or to the answer.
    considered
        Number of candidates that were scored.
    gap_tolerant
        Whether its stream tolerates gaps as long as the prefill of a part.
    uses_leaving
        Whether endpoints that leave were permitted, as no other could serve.
    """

    primary: Endpoint
    helpers: tuple[Endpoint, ...] = ()
    shares: tuple[MemoryShare, ...] = ()
    claim: MemoryShare | None = None
    part_seconds: float = 0
    predicted: float = 0
    considered: int = 0
    gap_tolerant: bool = False
    uses_leaving: bool = False

    @property
    def endpoints(self) -> tuple[Endpoint, ...]:
        """The endpoints that get requests for the call."""
        return (self.primary, *self.helpers)


class NoPlacementError(Exception):
    """No endpoint can accept the call now.

    Attributes
    ----------
    worth_waiting
        Whether one may become free while the call has time to wait.
    retry_after
        Seconds after which the caller is to come back, where known.
    waits
        Seconds until the next starts at endpoints whose limits were the reason.
    code
        Code of the refusal.
    """

    def __init__(
        self,
        reason: str,
        worth_waiting: bool,
        retry_after: float | None = None,
        waits: Mapping[str, float] = _NO_WAITS,
        code: RefusalCode = RefusalCode.NO_CAPACITY,
    ) -> None:
        """Give the reason for the refusal and the log."""
        super().__init__(reason)
        self.reason = reason
        self.worth_waiting = worth_waiting
        self.retry_after = retry_after
        self.waits = waits
        self.code = code


class AttemptAccount:
    """Work of one attempt in the ledger, for as long as it is in flight.

    It is a context manager.
    """

    def __init__(
        self,
        ledger: WorkLedger,
        call: Call,
        placement: Placement,
    ) -> None:
        """Derive the work from a placement; nothing is recorded yet."""
        self._ledger = ledger
        primary = placement.primary.name
        reserved = sum(share.tokens for share in placement.shares)
        needed = call.head.prompt_tokens + call.head.answer_tokens
        self._held = [
            (
                primary,
                EndpointWork(
                    calls=1,
                    context_tokens=needed - reserved,
                    patient_calls=placement.gap_tolerant,
                ),
            ),
            *(
                (
                    share.endpoint.name,
                    EndpointWork(context_tokens=share.tokens),
                )
                for share in placement.shares
            ),
        ]
        part = EndpointWork(
            prefill_seconds=placement.part_seconds,
            helping=1,
        )
        self._prefills = [
            (endpoint.name, part)
            for endpoint in (placement.primary, *placement.helpers)
        ]
        self._prefilling = False

    def __enter__(self) -> 'AttemptAccount':
        """Record the work at all engines of the placement."""
        for name, work in (*self._held, *self._prefills):
            self._ledger.begin(name, work)
        self._prefilling = True
        return self

    def __exit__(self, *_error: object) -> None:
        """Remove all of it."""
        self.end_prefill()
        for name, work in self._held:
            self._ledger.end(name, work)

    def end_prefill(self) -> None:
        """Remove the prefill: the first token has come, or never will."""
        if self._prefilling:
            self._prefilling = False
            for name, work in self._prefills:
                self._ledger.end(name, work)
