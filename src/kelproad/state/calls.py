"""Calls of the routed interface: what callers send and endpoints answer."""

import enum

import attrs

from .routes import CallKind, Route, RoutedWorkspace

__all__ = [
    'AnswerHead',
    'Call',
    'CallEnd',
    'CallHead',
    'Forwarding',
    'Outcome',
]


class CallEnd(enum.StrEnum):
    """How a call ended that was not refused."""

    ANSWERED = 'answered'
    BROKEN_OFF = 'broken off'
    CUT_BY_STOP = 'cut by the stop'
    CALLER_LEFT = 'caller left'


@attrs.frozen
class CallHead:
    """What the head of a call says.

    Attributes
    ----------
    request_id
        Id that the caller gave this attempt of its.
    target
        Path and query exactly as sent.
    time_allowed
        Seconds that the caller will wait; ``None`` when it does not say.
    prompt_tokens, answer_tokens
        Length of the prompt, and the longest answer wanted.
    answer_hint
        The caller's estimate of the answer's tokens, often far off.
    resume_after
        Number of the last event that the caller has; ``None`` at the start.
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

    @property
    def path(self) -> str:
        """The path without the query."""
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
        Monotonic times of its arrival and of its last permitted answer.
    attempts
        Endpoints to which it was sent so far.
    end
        How it ended, unless it was refused.
    """

    head: CallHead
    route: Route
    service: str
    workspace: RoutedWorkspace | None
    body: bytes
    arrived: float
    deadline: float
    attempts: int = 0
    end: CallEnd = CallEnd.ANSWERED

    @property
    def request_id(self) -> str:
        """Id that the caller gave."""
        return self.head.request_id

    @property
    def kind(self) -> CallKind:
        """What may be repeated of it."""
        return self.route.kind

    def remaining(self, now: float) -> float:
        """Return the seconds left, negative when the deadline is past."""
        return self.deadline - now


@attrs.frozen
class Forwarding:
    """What an endpoint is told with a call.

    Attributes
    ----------
    endpoint
        Id of the endpoint that is meant; any other one is to refuse.
    time_left
        Seconds after which the work is of no use.
    workspace
        Name of the caller's workspace; empty for anonymous calls.
    helpers
        Addresses of engines that read parts of the prompt, each with the
        reservation that it uses or an empty text.
    resume_after
        Number of the last event that the caller has.
    """

    endpoint: str
    time_left: float
    workspace: str = ''
    helpers: tuple[tuple[str, str], ...] = ()
    resume_after: int | None = None


class Outcome(enum.StrEnum):
    """How an endpoint treated a call."""

    ANSWERED = 'answered'
    #: It said that it did not run the call, and never will.
    NOT_RUN = 'not_run'
    #: Another endpoint has its address now; the call was not run.
    MISDIRECTED = 'misdirected'
    #: It answered with an error of its own; the call has run.
    ERROR = 'error'
    #: The answer belongs to another call.
    CROSSED = 'crossed'


@attrs.frozen
class AnswerHead:
    """What the head of an endpoint's answer says.

    Attributes
    ----------
    at_fault
        Address of the endpoint that caused a refusal, when it is another one.
    headers
        Headers for the caller, those of one connection left out.
    length
        Bytes of the body, ``None`` when the answer does not say.
    """

    outcome: Outcome
    status: int
    headers: tuple[tuple[str, str], ...]
    at_fault: str = ''
    length: int | None = None
