"""Data types of the platform's store: rows, writes, errors and listings."""

import enum

import attrs

__all__ = [
    'ABSENT',
    'ListedInstance',
    'Listing',
    'Row',
    'StoreError',
    'StoreErrorKind',
    'Write',
]

#: Expected version for a write to a row that must not exist yet.
ABSENT = 0


class StoreErrorKind(enum.StrEnum):
    """Kind of a failed call; it shows whether a write took effect."""

    #: A condition did not hold; nothing was written.
    CONFLICT = 'conflict'
    #: The platform refused or could not be reached; nothing was written.
    UNAVAILABLE = 'unavailable'
    #: No answer arrived; the write may have taken effect, or still may.
    UNKNOWN = 'unknown'
    #: The requested object is missing or corrupt.
    DAMAGED = 'damaged'


@attrs.frozen
class StoreError:
    """A failed call to the platform.

    Attributes
    ----------
    conflicts
        Keys of the rows whose expected version did not match.
    """

    kind: StoreErrorKind
    operation: str
    peer: str
    message: str
    conflicts: list[str] = attrs.field(factory=list)


@attrs.frozen
class Row:
    """A row of a table; its version starts at 1 and grows with each write."""

    key: str
    version: int
    body: str


@attrs.frozen
class Write:
    """One conditional write of a transaction.

    Attributes
    ----------
    expect
        Version that the row must have; ``ABSENT`` if it must not exist,
        ``None`` if any version will do.
    body
        New body; ``None`` deletes the row.
    """

    table: str
    key: str
    body: str | None
    expect: int | None = None


@attrs.frozen
class ListedInstance:
    """An entry of the platform's list of instances, which may be outdated."""

    name: str
    zone: str
    peer_address: str
    leaving: bool = False


@attrs.frozen
class Listing:
    """The platform's list of instances, and the endpoints it will remove."""

    instances: list[ListedInstance]
    leaving_endpoints: list[str] = attrs.field(factory=list)
