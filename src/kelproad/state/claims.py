"""Records of idempotency claims as they stand in the platform's table."""

import enum

import attrs

__all__ = ['ClaimRecord', 'ClaimState', 'RecordedAnswer']


class ClaimState(enum.StrEnum):
    """What is known of the work under a key."""

    #: Somebody may be dispatching it, now or after a pause.
    OPEN = 'open'
    #: It ran and its answer is recorded.
    DONE = 'done'
    #: It was dispatched and nobody knows whether it ran.
    UNKNOWN = 'unknown'


@attrs.frozen
class RecordedAnswer:
    """An answer as it is repeated to later callers with the same key.

    Attributes
    ----------
    body
        Text of the answer; ``None`` when it was too large to keep.
    """

    status: int
    content_type: str
    body: str | None


@attrs.frozen
class ClaimRecord:
    """The row of a key.

    Attributes
    ----------
    token
        Unique to the process and request that wrote the row, so that a writer
        whose answer was lost recognises its own row.
    owner
        Instance and incarnation of the writer.
    request_digest
        Digest of the request; another request may not use the key.
    """

    token: str
    owner: str
    request_digest: str
    state: ClaimState
    answer: RecordedAnswer | None = None
