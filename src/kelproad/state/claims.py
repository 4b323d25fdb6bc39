"""Records of idempotency claims, as stored in the platform's table.

A claim is settled when its outcome is recorded: free, done or unknown.
"""

import enum

import attrs

__all__ = ['ClaimRecord', 'ClaimState', 'RecordedAnswer']


class ClaimState(enum.StrEnum):
    """State of the work under an idempotency key."""

    #: A request may be dispatching it, now or after a pause.
    OPEN = 'open'
    #: Its owner did not dispatch it and never will; the key may be claimed.
    FREE = 'free'
    #: It ran and its answer is recorded.
    DONE = 'done'
    #: It was dispatched, and whether it ran is unknown.
    UNKNOWN = 'unknown'


@attrs.frozen
class RecordedAnswer:
    """An answer that is replayed to later callers with the same key.

    Attributes
    ----------
    headers
        Names and values, in order.
    body
        The answer's body; ``None`` when it was too large to store.
    """

    status: int
    headers: list[tuple[str, str]]
    body: bytes | None


@attrs.frozen
class ClaimRecord:
    """The row of an idempotency key.

    Attributes
    ----------
    token
        Unique to the process and request that wrote the row, so that a writer
        that did not receive the store's reply recognises its own row.
    owner
        Instance and incarnation of the writer.
    request_digest
        Digest of the request; another request may not use the key.
    answer_due
        Wall-clock time, in seconds, by which the owner answers its caller.
        It only sets when later callers should retry: clocks differ, and a
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
