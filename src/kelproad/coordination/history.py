"""The platform's record of accepted files.

One transaction writes a file's newest row, the same row under its revision,
its generation and its apply id, and the head.  The head's revision therefore
orders all changes of the site, and an apply id is found with one read.
"""

import hashlib
from typing import TypeVar

import attrs
import msgspec
from returns.result import Failure, Result, Success

from ..protocol.platform import PlatformClient
from ..protocol.store import ABSENT, Row, StoreError, StoreErrorKind, Write
from ..state.problems import UNREADABLE_ERRORS

T = TypeVar('T')

__all__ = [
    'HISTORY_TIMEOUT',
    'FileRow',
    'Head',
    'digest_text',
    'find_apply',
    'list_files',
    'list_generations',
    'list_revisions',
    'build_commit_writes',
    'read_generation',
    'read_head',
    'read_text',
    'store_text',
]

#: Seconds for one call to the store.
HISTORY_TIMEOUT = 2.0
#: Holds the head and the newest rows; the other tables hold copies of rows.
_TABLE = 'configuration'
_REVISION_TABLE = 'configuration-history'
_GENERATION_TABLE = 'configuration-generations'
_APPLY_TABLE = 'configuration-applies'
_HEAD = 'head'
_FILE_PREFIX = 'file/'
#: Rows of one page of a scan.
_PAGE_ROWS = 200


@attrs.frozen
class FileRow:
    """One accepted change of a file, as stored.

    Attributes
    ----------
    digest
        SHA-256 of the text, the key of its object; empty when removed.
    apply_id
        Chosen by the operator's client, to identify its own apply.
    """

    name: str
    generation: int
    revision: int
    digest: str
    author: str
    time: str
    apply_id: str


@attrs.frozen
class Head:
    """The newest revision, and the version of the row that holds it."""

    version: int
    revision: int


@attrs.frozen
class _HeadBody:
    revision: int


# Writing


def build_commit_writes(row: FileRow, head: Head) -> list[Write]:
    """List the writes of the transaction that commits a change.

    The condition on the head makes a late write fail once another change was
    committed; the condition on the apply id makes a repeated apply take effect
    only once.
    """
    body = msgspec.json.encode(row).decode()
    head_body = msgspec.json.encode(_HeadBody(row.revision)).decode()
    generation_key = _encode_generation_key(row.name, row.generation)
    return [
        Write(_TABLE, _HEAD, head_body, head.version),
        Write(_TABLE, _FILE_PREFIX + row.name, body),
        Write(_REVISION_TABLE, _encode_number(row.revision), body, ABSENT),
        Write(_GENERATION_TABLE, generation_key, body, ABSENT),
        Write(_APPLY_TABLE, row.apply_id, body, ABSENT),
    ]


def digest_text(text: str) -> str:
    """Compute the digest under which a text is stored."""
    return hashlib.sha256(text.encode()).hexdigest()


async def store_text(
    platform: PlatformClient,
    text: str,
) -> Result[str, StoreError]:
    """Store a text as an object and return its digest."""
    digest = digest_text(text)
    stored = await platform.put_object(
        f'configuration/{digest}',
        text.encode(),
        HISTORY_TIMEOUT,
    )
    return stored.map(lambda _nothing: digest)


# Reading rows


async def read_head(platform: PlatformClient) -> Result[Head, StoreError]:
    """Read the head; revision 0 when nothing was ever accepted."""
    found = await platform.read_row(_TABLE, _HEAD, HISTORY_TIMEOUT)
    return found.bind(_decode_head)


async def find_apply(
    platform: PlatformClient,
    apply_id: str,
) -> Result[FileRow | None, StoreError]:
    """Find the change accepted under an apply id, ``None`` if there is none."""
    found = await platform.read_row(_APPLY_TABLE, apply_id, HISTORY_TIMEOUT)
    return found.bind(lambda row: _decode_row(row, _APPLY_TABLE))


async def read_generation(
    platform: PlatformClient,
    name: str,
    generation: int,
) -> Result[FileRow | None, StoreError]:
    """Read the row of one generation of a file."""
    found = await platform.read_row(
        _GENERATION_TABLE,
        _encode_generation_key(name, generation),
        HISTORY_TIMEOUT,
    )
    return found.bind(lambda row: _decode_row(row, _GENERATION_TABLE))


async def list_generations(
    platform: PlatformClient,
    name: str,
    after: int = 0,
) -> Result[list[FileRow], StoreError]:
    """List the accepted changes of a file after a generation."""
    return await _scan(
        platform,
        _GENERATION_TABLE,
        prefix=f'{name}/',
        after=_encode_generation_key(name, after),
    )


async def list_revisions(
    platform: PlatformClient,
    after: int,
) -> Result[list[FileRow], StoreError]:
    """List the accepted changes of the whole site after a revision."""
    rows = await _scan(platform, _REVISION_TABLE, after=_encode_number(after))
    return rows.bind(lambda read: _check_gaps(read, after))


async def list_files(
    platform: PlatformClient,
) -> Result[list[FileRow], StoreError]:
    """List the newest row of every file; not one consistent read."""
    return await _scan(platform, _TABLE, prefix=_FILE_PREFIX)


async def read_text(
    platform: PlatformClient,
    digest: str,
) -> Result[str, StoreError]:
    """Fetch the text with a digest; a text that doesn't match is an error."""
    fetched = await platform.get_object(
        f'configuration/{digest}',
        HISTORY_TIMEOUT,
    )
    return fetched.bind(lambda body: _verify(body, digest))


async def _scan(
    platform: PlatformClient,
    table: str,
    prefix: str = '',
    after: str = '',
) -> Result[list[FileRow], StoreError]:
    """Read all rows after a key, page by page."""
    rows: list[Row] = []
    while True:
        page = await platform.scan_rows(
            table,
            HISTORY_TIMEOUT,
            prefix=prefix,
            after=rows[-1].key if rows else after,
            limit=_PAGE_ROWS,
        )
        if isinstance(page, Failure):
            return page
        rows += page.unwrap()
        if len(page.unwrap()) < _PAGE_ROWS:
            return _decode_rows(rows, table)


def _verify(body: bytes, digest: str) -> Result[str, StoreError]:
    if hashlib.sha256(body).hexdigest() == digest:
        return Success(body.decode())
    message = f'object {digest} does not match its digest'
    return Failure(_damage('objects', message))


def _decode_head(row: Row | None) -> Result[Head, StoreError]:
    if row is None:
        return Success(Head(ABSENT, 0))
    decoded = _decode(row, _TABLE, _HeadBody)
    return decoded.map(lambda body: Head(row.version, body.revision))


def _decode_row(
    row: Row | None,
    table: str,
) -> Result[FileRow | None, StoreError]:
    return _decode(row, table, FileRow) if row else Success(None)


def _decode_rows(
    rows: list[Row],
    table: str,
) -> Result[list[FileRow], StoreError]:
    decoded = []
    for row in rows:
        one = _decode(row, table, FileRow)
        if isinstance(one, Failure):
            return one
        decoded.append(one.unwrap())
    return Success(decoded)


def _decode(row: Row, table: str, kind: type[T]) -> Result[T, StoreError]:
    """Decode a row; an exception would end the task that reads the store."""
    try:
        return Success(msgspec.json.decode(row.body, type=kind))
    except UNREADABLE_ERRORS as error:
        return Failure(_damage(table, f'row {row.key}: {error}'))


def _check_gaps(
    rows: list[FileRow],
    after: int,
) -> Result[list[FileRow], StoreError]:
    """Reject a history that lacks a revision: its change would be lost."""
    for expected, row in enumerate(rows, after + 1):
        if row.revision != expected:
            return Failure(_damage(_REVISION_TABLE, f'no revision {expected}'))
    return Success(rows)


def _damage(place: str, message: str) -> StoreError:
    return StoreError(StoreErrorKind.DAMAGED, 'read', place, message)


def _encode_number(number: int) -> str:
    """Encode a number so that keys sort as numbers do."""
    return f'{number:012d}'


def _encode_generation_key(name: str, generation: int) -> str:
    return f'{name}/{_encode_number(generation)}'
