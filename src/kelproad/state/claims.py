"""Records of idempotency claims as they stand in the platform's table."""

import enum

import attrs

__all__ = ['ClaimRecord', 'ClaimState', 'RecordedAnswer']


class ClaimState(enum.StrEnum):
    """What is known of the work under a key."""

    #: Somebody may be dispatching it, now or after a pause.
    OPEN = 'open'
    #: Its owner did not dispatch it and never will; the key may be claimed.
    FREE = 'free'
    #: It ran and its answer is recorded.
    DONE = 'done'
    #: It was dispatched and nobody knows whether it ran.
    UNKNOWN = 'unknown'


@attrs.frozen
class RecordedAnswer:
    """An answer as it is repeated to later callers with the same key.

    Attributes
    ----------
    headers
        Names and texts, in order.
    body
        The answer's bytes; ``None`` when they were too many to keep.
    """

    status: int
    headers: list[tuple[str, str]]
    body: bytes | None


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
    answer_due
        Wall-clock time, in seconds, by which the owner answers its caller.
        It only tells later callers when to ask again: clocks differ, and a
        paused owner may act after it.
    settled_at
        Wall-clock time, in seconds, of the last change of state.
    """

    token: str
    owner: str
    request_digest: str
    state: ClaimState
    answer: RecordedAnswer | None = None
    answer_due: float = 0
    settled_at: float = 0
