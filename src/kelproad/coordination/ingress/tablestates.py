"""States of a table of the store: rows, freshness, or what went wrong."""

import enum
import math

import attrs

__all__ = [
    'Provenance',
    'StoreProblem',
    'StoreProblemKind',
    'StoredRow',
    'TableState',
]


class Provenance(enum.IntEnum):
    """Where a state of a table comes from, the least direct way first."""

    SAME_ZONE = 0
    OTHER_ZONE = 1
    STORE = 2


class StoreProblemKind(enum.StrEnum):
    """Why a call to the store brought nothing."""

    UNREACHABLE = 'unreachable'
    REFUSED = 'refused'
    TOO_MANY_CALLS = 'too_many_calls'
    HISTORY_LOST = 'history_lost'
    CONDITION_FAILED = 'condition_failed'
    UNREADABLE = 'unreadable'


@attrs.frozen
class StoreProblem:
    """A call to the store that brought nothing."""

    kind: StoreProblemKind
    message: str


@attrs.frozen
class StoredRow:
    """A row of the store; ``None`` as its value when it was dropped."""

    key: str
    encoded: bytes | None
    version: int


@attrs.frozen
class TableState:
    """Rows of a table.

    Attributes
    ----------
    version
        Newest version of the store when it answered; changes follow it.
    whole
        Whether these are all rows, or those that changed.
    age
        Seconds since another instance read this, when it told it.
    back_for
        Seconds since the store came back there, if it was away.
    provenance
        Whether the store said so, or an instance of which zone.
    """

    version: int
    rows: list[StoredRow]
    whole: bool
    age: float = 0
    back_for: float = math.inf
    provenance: Provenance = Provenance.STORE
