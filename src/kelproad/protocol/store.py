"""Records of the platform's store: rows, conditional writes, errors, lists."""

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

#: Version that a row must have to be written when it must not exist yet.
ABSENT = 0


class StoreErrorKind(enum.StrEnum):
    """What is known about a call that did not succeed."""

    #: A condition did not hold; nothing was written.
    CONFLICT = 'conflict'
    #: The platform refused or could not be reached; nothing was written.
    UNAVAILABLE = 'unavailable'
    #: No answer arrived; the write may have taken effect, or may yet.
    UNKNOWN = 'unknown'
    #: The object that was asked for is missing or not what it should be.
    DAMAGED = 'damaged'


@attrs.frozen
class StoreError:
    """A call to the platform that did not succeed.

    Attributes
    ----------
    conflicts
        Keys of the rows whose condition did not hold.
    """

    kind: StoreErrorKind
    operation: str
    peer: str
    message: str
    conflicts: list[str] = attrs.field(factory=list)


@attrs.frozen
class Row:
    """A row of a table; its version grows with each write, from 1."""

    key: str
    version: int
    body: str


@attrs.frozen
class Write:
    """One conditional write of a transaction.

    Attributes
    ----------
    expect
        Version that the row must have; ``ABSENT`` when it must not exist and
        ``None`` for any.
    body
        New body; ``None`` deletes the row.
    """

    table: str
    key: str
    body: str | None
    expect: int | None = None


@attrs.frozen
class ListedInstance:
    """An instance as the platform's lagging list shows it."""

    name: str
    zone: str
    peer_address: str
    leaving: bool = False


@attrs.frozen
class Listing:
    """The platform's list of instances, and the endpoints it takes away."""

    instances: list[ListedInstance]
    leaving_endpoints: list[str] = attrs.field(factory=list)
