"""States of a table of the store, and where they are read.

A state has rows and freshness; a call that fails has a problem in their place.

Rows are decoded once for all users: a reader of the store compares each report
of an endpoint with the last one that held new information, and registers it.
At large sites that is many reports a second, and decoding makes up half of the
cost of each.
"""

import enum
import math
from collections.abc import Awaitable, Callable, Coroutine
from typing import Generic, TypeVar

import attrs
import msgspec
from returns.result import Result

__all__ = [
    'DecodedRow',
    'DecodedState',
    'Payload',
    'PeerTable',
    'Provenance',
    'Revision',
    'StoreProblem',
    'StoreProblemKind',
    'StoredRow',
    'TableFreshness',
    'TableQuery',
    'TableSource',
    'TableState',
    'name_provenance',
]

Payload = TypeVar('Payload')


class Provenance(enum.IntEnum):
    """Source of a state of a table, the least direct one first."""

    SAME_ZONE = 0
    OTHER_ZONE = 1
    STORE = 2


def name_provenance(provenance: Provenance | None) -> str | None:
    """Name a source for logs and operators, ``None`` if there is none yet."""
    return None if provenance is None else provenance.name.lower()


@attrs.frozen(order=True)
class Revision:
    """Position in the changes of the store.

    Versions count up within an era.  A restored store begins another era and
    assigns versions again, so that a version alone orders nothing.
    """

    era: int
    version: int

    def describe(self) -> dict[str, int]:
        """Describe it for logs and operators."""
        return {'era': self.era, 'version': self.version}


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
    revision: Revision


@attrs.frozen
class TableState:
    """Rows of a table.

    Attributes
    ----------
    revision
        Newest revision of the store when it answered; changes follow it.
    whole
        Whether these are all rows, or those that changed.
    age
        Seconds since another instance read this, when it was relayed.
    recovered_for
        Seconds since the store recovered there, if it had failed.
    provenance
        Whether it comes from the store, or an instance of which zone.
    """

    revision: Revision
    rows: list[StoredRow]
    whole: bool
    age: float = 0
    recovered_for: float = math.inf
    provenance: Provenance = Provenance.STORE


class TableFreshness(msgspec.Struct, array_like=True):
    """How fresh a table is at an instance.

    Attributes
    ----------
    version
        Newest version of the store when it was read.
    changed_at
        Version at which the table last changed.
    age
        Seconds since the store confirmed it.
    recovered_for
        Seconds since the store recovered, ``None`` if it never failed.
    era
        Era of the versions; 0 from an instance that knows none.
    """

    version: int
    changed_at: int
    age: float
    recovered_for: float | None
    era: int = 0

    @property
    def revision(self) -> Revision:
        """Newest revision of the store when it was read."""
        return Revision(self.era, self.version)

    @property
    def changed_revision(self) -> Revision:
        """Revision at which the table last changed."""
        return Revision(self.era, self.changed_at)


@attrs.frozen
class DecodedRow(Generic[Payload]):
    """A row of the store with its decoded content."""

    row: StoredRow
    payload: Payload


@attrs.frozen
class DecodedState(Generic[Payload]):
    """Rows of a table with their decoded content.

    Attributes
    ----------
    revision
        Newest revision of the store when it answered.
    whole
        Whether these are all rows, or those that changed.
    """

    revision: Revision
    rows: list[DecodedRow[Payload]]
    whole: bool

    @classmethod
    def from_state(
        cls,
        state: TableState,
        decode: Callable[[StoredRow], Payload],
    ) -> 'DecodedState[Payload]':
        """Decode each row of a state."""
        rows = [DecodedRow(row, decode(row)) for row in state.rows]
        return cls(state.revision, rows, state.whole)


#: A query of a table, which is sent once it is awaited.
TableQuery = Coroutine[None, None, Result[TableState, StoreProblem]]


@attrs.frozen
class TableSource:
    """How to read a table and to wait for its changes.

    Attributes
    ----------
    read_received_at
        Returns the monotonic time at which bytes of an answer arrived last.
    """

    name: str
    read: Callable[[], TableQuery]
    await_changes: Callable[[Revision, float], TableQuery]
    read_received_at: Callable[[], float] = lambda: -math.inf


@attrs.frozen
class PeerTable:
    """A table as relayed by other instances.

    Attributes
    ----------
    query
        Queries what changed since a revision, or all rows; ``None`` when no
        instance can answer.
    measure_backoff
        Returns the maximum seconds to wait for another instance to find the
        store first: 0 if others are served by this one, or there are none.
    """

    query: Callable[[Revision | None], Awaitable[TableState | None]]
    measure_backoff: Callable[[], float]
