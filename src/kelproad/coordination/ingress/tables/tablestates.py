"""States of a table of the store: rows, freshness, or the failed call."""

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
    """Source of a state of a table, the least direct one first."""

    SAME_ZONE = 0
    OTHER_ZONE = 1
    STORE = 2


class StoreProblemKind(enum.StrEnum):
    """Why a call to the store failed."""

    UNREACHABLE = 'unreachable'
    REFUSED = 'refused'
    TOO_MANY_CALLS = 'too_many_calls'
    HISTORY_LOST = 'history_lost'
    CONDITION_FAILED = 'condition_failed'
    UNREADABLE = 'unreadable'


@attrs.frozen
class StoreProblem:
    """A failed call to the store."""

    kind: StoreProblemKind
    message: str


@attrs.frozen
class StoredRow:
    """A row of the store; ``encoded`` is ``None`` when it was deleted."""

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
        Seconds since another instance read this, when it was relayed.
    recovered_for
        Seconds since the store recovered there, if it had failed.
    provenance
        Whether it comes from the store, or an instance of which zone.
    """

    version: int
    rows: list[StoredRow]
    whole: bool
    age: float = 0
    recovered_for: float = math.inf
    provenance: Provenance = Provenance.STORE
