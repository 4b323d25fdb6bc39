"""Refusals: expected errors, reported to a caller, operator or layer.

A refusal contains the step and the peer at which it arose, and, for a request,
whether the work was run.  ``Ran.NO`` is a guarantee: this process has not run
the work and never will.
"""

import enum
import types

import attrs

__all__ = ['NOT_RUN_STATUSES', 'Ran', 'Refusal', 'RefusalCode', 'Step']

#: Statuses that guarantee that the call has not run and never will.
NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))


class Ran(enum.StrEnum):
    """Whether the refused request was executed by an endpoint."""

    NO = 'no'  # noqa: WPS110  named after its value
    YES = 'yes'
    UNKNOWN = 'unknown'


class Step(enum.StrEnum):
    """Step of a request or of a control action."""

    RECEIVE = 'receive'
    AUTHENTICATE = 'authenticate'
    ADMIT = 'admit'
    CLAIM = 'claim'
    ROUTE = 'route'
    CONNECT = 'connect'
    DISPATCH = 'dispatch'
    RELAY = 'relay'
    STORE = 'store'
    CONFIGURE = 'configure'
    ORDER = 'order'


class RefusalCode(enum.StrEnum):
    """Machine-readable reason of a refusal, with one HTTP status each."""

    BAD_REQUEST = 'bad_request'
    UNAUTHENTICATED = 'unauthenticated'
    FORBIDDEN = 'forbidden'
    NOT_FOUND = 'not_found'
    TOO_LARGE = 'too_large'
    LIMIT_EXCEEDED = 'limit_exceeded'
    NO_CAPACITY = 'no_capacity'
    NOT_READY = 'not_ready'
    QUARANTINED = 'quarantined'
    CLAIM_UNRECORDED = 'claim_unrecorded'
    KEY_IN_PROGRESS = 'key_in_progress'
    KEY_REUSED = 'key_reused'
    OUTCOME_UNKNOWN = 'outcome_unknown'
    ENDPOINT_FAILED = 'endpoint_failed'
    ANSWER_TOO_LARGE = 'answer_too_large'
    DEADLINE_EXCEEDED = 'deadline_exceeded'
    CONFLICT = 'conflict'
    UNAVAILABLE = 'unavailable'
    INVALID = 'invalid'
    INTERNAL = 'internal'

    @property
    def status(self) -> int:
        """HTTP status code of the answer."""
        return _STATUS[self]


_STATUS = types.MappingProxyType(
    {
        RefusalCode.BAD_REQUEST: 400,
        RefusalCode.UNAUTHENTICATED: 401,
        RefusalCode.FORBIDDEN: 403,
        RefusalCode.NOT_FOUND: 404,
        RefusalCode.TOO_LARGE: 413,
        RefusalCode.LIMIT_EXCEEDED: 429,
        RefusalCode.NO_CAPACITY: 503,
        RefusalCode.NOT_READY: 503,
        RefusalCode.QUARANTINED: 503,
        RefusalCode.CLAIM_UNRECORDED: 503,
        RefusalCode.KEY_IN_PROGRESS: 409,
        RefusalCode.KEY_REUSED: 422,
        RefusalCode.OUTCOME_UNKNOWN: 409,
        RefusalCode.ENDPOINT_FAILED: 502,
        RefusalCode.ANSWER_TOO_LARGE: 502,
        RefusalCode.DEADLINE_EXCEEDED: 504,
        RefusalCode.CONFLICT: 409,
        RefusalCode.UNAVAILABLE: 503,
        RefusalCode.INVALID: 400,
        RefusalCode.INTERNAL: 500,
    }
)


@attrs.frozen
class Refusal:
    """An expected error, and where it arose.

    Attributes
    ----------
    code
        Machine-readable reason.
    message
        Human-readable sentence.
    step
        The step that failed.
    peer
        Name or address of the remote side, empty when there was none.
    ran
        Whether the request's work was executed.
    pause
        Seconds for which the peer wants no requests from this instance; 0 when
        it states none.
    retry_after
        Seconds after which a retry may succeed; ``None`` when none can.
    """

    code: RefusalCode
    message: str
    step: Step
    peer: str = ''
    ran: Ran = Ran.NO
    retry_after: float | None = None
    pause: float = 0
