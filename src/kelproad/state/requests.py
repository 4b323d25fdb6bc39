"""Requests in progress, and the decisions about recent ones."""

import collections
import enum
from typing import Self

import attrs

from .configuration import Snapshot
from .declarations import Service, Workspace
from .refusals import Ran, Refusal

__all__ = [
    'Decision',
    'DecisionLog',
    'SplitPrompt',
    'Phase',
    'Request',
    'RequestTable',
]

#: Number of requests, oldest dropped first, that ``explain`` covers.
DECISIONS_KEPT = 2000


class Phase(enum.StrEnum):
    """Stage of a request's processing."""

    ADMITTED = 'admitted'
    DISPATCHED = 'dispatched'
    ANSWERING = 'answering'
    ENDED = 'ended'


@attrs.frozen
class SplitPrompt:
    """A prompt in parts, because it exceeds the memory of any engine.

    Attributes
    ----------
    heading
        Text before the records, such as instructions; it is repeated in every
        part.
    records
        Sequences of complete records, one sequence per part.
    """

    heading: str
    records: list[str]


@attrs.define
class Request:
    """One caller's request while it is in progress.

    Attributes
    ----------
    deadline
        Monotonic time by which the caller must have its final answer.
    prompt_tokens
        Estimated length of the prompt.
    attempts
        Number of dispatches so far.
    prefix
        Digests of prefixes of the prompt, each twice as long as the one before.
    ran
        Whether any dispatch so far was, or may have been, executed.
    parts
        The split prompt, if it is to be answered in parts.
    """

    request_id: str
    workspace: Workspace
    service: Service
    snapshot: Snapshot
    prompt_tokens: int
    deadline: float
    arrived: float
    phase: Phase = Phase.ADMITTED
    attempts: int = 0
    idempotency_key: str = ''
    prefix: tuple[bytes, ...] = ()
    ran: Ran = Ran.NO
    parts: SplitPrompt | None = None

    @property
    def repeatable(self) -> bool:
        """Whether work that may have run may be dispatched again."""
        return self.service.may_repeat and not self.idempotency_key

    def next_attempt_id(self) -> str:
        """Return a unique id for a new dispatch."""
        self.attempts += 1
        return f'{self.request_id}-{self.attempts}'

    def record_ran(self, ran: Ran) -> None:
        """Record whether a failed dispatch was executed."""
        if self.ran is not Ran.YES and ran is not Ran.NO:
            self.ran = ran

    def complete_refusal(self, refusal: Refusal) -> Refusal:
        """Make a refusal cover all dispatches, not only the last one.

        A repeatable request may run at one endpoint, lose its answer and then
        be refused by another endpoint that did not run it.
        """
        self.record_ran(refusal.ran)
        return attrs.evolve(refusal, ran=self.ran)

    def remaining(self, now: float) -> float:
        """Return the seconds left until the deadline, negative if past."""
        return self.deadline - now


@attrs.define
class Decision:
    """The steps that led to a request's endpoint or refusal."""

    request_id: str
    workspace: str
    service: str
    prompt_tokens: int = 0
    steps: list[dict[str, object]] = attrs.field(factory=list)

    @classmethod
    def from_request(cls, request: Request) -> Self:
        """Create the record of a request, without steps."""
        return cls(
            request_id=request.request_id,
            workspace=request.workspace.name,
            service=request.service.name,
            prompt_tokens=request.prompt_tokens,
        )

    def note(self, event: str, /, **details: object) -> None:
        """Add a step: an event and the details that explain it."""
        self.steps.append({'event': event, **details})


class DecisionLog:
    """Bounded log of decisions; the oldest are dropped first."""

    def __init__(self) -> None:
        """Start empty."""
        self._decisions: collections.OrderedDict[str, Decision] = (
            collections.OrderedDict()
        )

    def open(self, decision: Decision) -> None:
        """Add a decision; its later steps are kept too."""
        self._decisions[decision.request_id] = decision
        while len(self._decisions) > DECISIONS_KEPT:
            self._decisions.popitem(last=False)

    def get(self, request_id: str) -> Decision | None:
        """Find the decision about a request."""
        return self._decisions.get(request_id)


class RequestTable:
    """Requests in progress in this process."""

    def __init__(self) -> None:
        """Start empty."""
        self._requests: dict[str, Request] = {}

    def __len__(self) -> int:
        """Count the requests in progress."""
        return len(self._requests)

    def add(self, request: Request) -> None:
        """Add a request that was admitted."""
        self._requests[request.request_id] = request

    def remove(self, request: Request) -> None:
        """Mark a request as ended and remove it."""
        request.phase = Phase.ENDED
        self._requests.pop(request.request_id, None)

    def all(self) -> list[Request]:
        """List the requests in progress."""
        return list(self._requests.values())
