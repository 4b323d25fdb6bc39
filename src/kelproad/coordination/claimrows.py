"""Rows of claims in the platform's table: encoding, reading, comparing."""

import attrs
import msgspec
from returns.result import Failure, Result, Success

from ..protocol.platform import PlatformClient
from ..protocol.store import ABSENT, Row, StoreError, StoreErrorKind, Write
from ..state.claims import ClaimRecord, ClaimState
from ..transport.deadlines import monotonic

__all__ = [
    'PendingClaim',
    'build_write',
    'decode_row',
    'is_open_row',
    'read_row',
]

_TABLE = 'claims'


@attrs.define
class PendingClaim:
    """A claim that is being written, in one try or several.

    Attributes
    ----------
    record
        The record to write.
    expect
        Version of the row that the next try replaces.
    is_uncertain
        Whether a try was not answered, so that the row may exist or may still
        be written.
    error
        Why the last try failed.
    """

    key: str
    record: ClaimRecord
    expect: int = ABSENT
    is_uncertain: bool = False
    error: StoreError | None = None

    def write(self) -> Write:
        """Build the write of the next try."""
        return build_write(self.key, self.record, self.expect)


def build_write(key: str, record: ClaimRecord, expect: int) -> Write:
    """Build the write of a record that replaces the expected version."""
    encoded = msgspec.json.encode(record).decode()
    return Write(_TABLE, key, encoded, expect)


async def read_row(
    platform: PlatformClient,
    key: str,
    limit: float,
) -> Result[Row, StoreError]:
    """Read the row that a write has just conflicted with, by a deadline."""
    remaining = max(0, limit - monotonic())
    found = await platform.read_row(_TABLE, key, remaining)
    return found.bind(lambda row: _require(row, key))


def decode_row(row: Row) -> ClaimRecord:
    """Decode the claim in a row."""
    return msgspec.json.decode(row.body, type=ClaimRecord)


def is_open_row(row: Row, own_claim: ClaimRecord) -> bool:
    """Return whether a row is the still open claim of a writer."""
    current = decode_row(row)
    return current.token == own_claim.token and current.state is ClaimState.OPEN


def _require(row: Row | None, row_key: str) -> Result[Row, StoreError]:
    if row is not None:
        return Success(row)
    return Failure(
        StoreError(
            StoreErrorKind.UNAVAILABLE,
            'read_row',
            '',
            f'the row of {row_key!r} does not exist any more',
        ),
    )
