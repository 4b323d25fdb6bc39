"""Calls through routes: callers' requests and endpoints' answers."""

import enum
import hashlib

import attrs

from .budgets import CallBytes
from .engines import EngineProfile
from .routes import CallKind, Route, RoutedWorkspace
from .statements import EndpointStatements

__all__ = [
    'AnswerHead',
    'Call',
    'CallEnd',
    'CallHead',
    'Forwarding',
    'Outcome',
]


_FINGERPRINT_BYTES = 12


class CallEnd(enum.StrEnum):
    """The end of a call that was not refused."""

    ANSWERED = 'answered'
    TRUNCATED = 'broken off'
    ABORTED_BY_STOP = 'cut by the stop'
    CALLER_DISCONNECTED = 'caller left'
    FAILED = 'failed here'


@attrs.frozen
class CallHead:
    """The head of a call, decoded.

    Attributes
    ----------
    request_id
        Id that the caller chose for this attempt.
    target
        Path and query exactly as sent.
    time_allowed
        Seconds that the caller will wait; ``None`` when not given.
    prompt_tokens, answer_tokens
        Length of the prompt, and the maximum length of the answer.
    answer_hint
        The caller's estimate of the answer's length in tokens, often wrong by
        a large factor.
    resume_after
        Number of the last event that the caller has; ``None`` when it has
        none.
    shared_parts
        Ids of the parts of the prompt that other calls may share, in order.
    own_part
        Id of its last part, which the call or its session has alone.
    """

    request_id: str
    method: str
    host: str
    target: str
    api_key: str
    time_allowed: float | None = None
    prompt_tokens: int = 0
    answer_tokens: int = 0
    answer_hint: int = 0
    resume_after: int | None = None
    shared_parts: tuple[str, ...] = ()
    own_part: str = ''

    @property
    def path(self) -> str:
        """Target without the query."""
        path, _, _ = self.target.partition('?')
        return path


@attrs.define
class Call:
    """One call while it is in progress.

    Attributes
    ----------
    service
        Name of the service that answers it.
    arrived, deadline
        Monotonic times of its arrival and by which it must be answered.
    version
        Version of the configuration that admitted it.
    profile
        Engine profile of the service in that version, ``None`` for a plain one.
    attempts
        Number of endpoints to which it was sent so far.
    end
        Outcome, unless it was refused.
    via
        Instance through which the last attempt was sent; empty if directly.
    avoids_direct
        Whether a direct attempt brought no answer, so that the next one is
        sent through another instance if possible.
    trial
        Suspect parts of the prompt that it alone may try at present.
    avoided_endpoints
        Endpoints that it should not be sent to if there are others.
    trial_wanted_at
        Monotonic time from which it has waited to try them.
    held
        Bytes that are held for it.
    """

    head: CallHead
    route: Route
    service: str
    workspace: RoutedWorkspace | None
    body: bytes
    arrived: float
    deadline: float
    version: int = 0
    profile: EngineProfile | None = None
    attempts: int = 0
    end: CallEnd = CallEnd.ANSWERED
    via: str = ''
    avoids_direct: bool = False
    trial: tuple[str, ...] = ()
    avoided_endpoints: frozenset[str] = frozenset()
    trial_wanted_at: float | None = None
    held: CallBytes = attrs.field(factory=CallBytes)
    _fingerprint: str = ''

    @property
    def fingerprint(self) -> str:
        """Digest of what it asks for, the same when its caller repeats it.

        A caller's repetition has another id, and may come to another instance
        or resume a stream.  It takes time for each byte of the body, so it is
        made only when it is needed.
        """
        if not self._fingerprint:
            head = self.head
            asked = (
                self.workspace_name,
                head.method,
                head.target,
                *head.shared_parts,
                head.own_part,
            )
            digest = hashlib.blake2b(digest_size=_FINGERPRINT_BYTES)
            digest.update('\n'.join(asked).encode(errors='replace'))
            digest.update(b'\n')
            digest.update(self.body)
            self._fingerprint = digest.hexdigest()
        return self._fingerprint

    def drop_body(self) -> None:
        """Forget the body of a call that has ended.

        The call may be kept in a reference cycle until the next full garbage
        collection.  Failures that are told later need its fingerprint.
        """
        if self.attempts > 1 or self.end is not CallEnd.ANSWERED:
            self._fingerprint = self.fingerprint
        self.body = b''

    @property
    def request_id(self) -> str:
        """Id that the caller chose."""
        return self.head.request_id

    @property
    def kind(self) -> CallKind:
        """Kind of its route, which determines whether it may be repeated."""
        return self.route.kind

    @property
    def priority(self) -> int | None:
        """Rank that operators gave it, 0 first; ``None`` for none.

        That of a workspace takes precedence over that of a route.
        """
        if self.workspace is not None and self.workspace.priority is not None:
            return self.workspace.priority
        return self.route.priority

    @property
    def permitted_regions(self) -> frozenset[str] | None:
        """Regions in which it may be served, ``None`` for all.

        Both its route and its workspace may restrict them.
        """
        by_route = self.route.permitted_regions
        workspace = self.workspace
        by_workspace = workspace.permitted_regions if workspace else None
        if by_route is None or by_workspace is None:
            return by_workspace if by_route is None else by_route
        return by_route & by_workspace

    @property
    def workspace_name(self) -> str:
        """Name of the caller's workspace, empty for none."""
        return self.workspace.name if self.workspace else ''

    def record_via(self, instance: str) -> None:
        """Record the instance through which the last attempt is sent."""
        self.via = instance

    def remaining(self, now: float) -> float:
        """Return the seconds left, negative when the deadline is past."""
        return self.deadline - now


@attrs.frozen
class Forwarding:
    """What an endpoint receives along with a call.

    Attributes
    ----------
    endpoint
        Id of the endpoint addressed; any other one must refuse the call.
    time_left
        Seconds after which the result is useless.
    workspace
        Name of the caller's workspace; empty for anonymous calls.
    helpers
        Addresses of engines that prefill parts of the prompt, each with its
        reservation or an empty string.
    resume_after
        Number of the last event that the caller has.
    priority
        Rank of the call, 0 first; ``None`` leaves it to the endpoint.
    """

    endpoint: str
    time_left: float
    workspace: str = ''
    helpers: tuple[tuple[str, str], ...] = ()
    resume_after: int | None = None
    priority: int | None = None


class Outcome(enum.StrEnum):
    """Result of sending a call to an endpoint."""

    ANSWERED = 'answered'
    #: The endpoint states that it did not run the call and never will.
    NOT_RUN = 'not_run'
    #: Another endpoint has the address now; the call was not run.
    MISDIRECTED = 'misdirected'
    #: The endpoint answered with an error of its own; the call has run.
    ERROR = 'error'
    #: The answer belongs to another call.
    MISMATCHED = 'crossed'


@attrs.frozen
class AnswerHead:
    """The head of an endpoint's answer, decoded.

    Attributes
    ----------
    at_fault
        Address of another endpoint that caused the refusal; empty for none.
    headers
        Headers for the caller, without those of one connection only.
    length
        Size of the body in bytes, ``None`` when not given.
    statements
        What the endpoint states about itself.
    unknown_fields
        Names of fields, in lower case, that no decision can use.
    """

    outcome: Outcome
    status: int
    headers: tuple[tuple[str, str], ...]
    at_fault: str = ''
    length: int | None = None
    statements: EndpointStatements = EndpointStatements()
    unknown_fields: frozenset[str] = frozenset()
