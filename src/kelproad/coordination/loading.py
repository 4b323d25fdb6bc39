"""Loading of snapshots from the platform's store; verifies each file."""

import asyncio

from returns.result import Failure, Result, Success

from ..protocol.files import parse_file
from ..protocol.platform import PlatformClient
from ..protocol.store import StoreError, StoreErrorKind
from ..state.configuration import (
    AppliedFile,
    PendingFile,
    Snapshot,
    extend_snapshot,
)
from ..state.declarations import FileContent
from ..state.problems import Problem
from .history import (
    FileRow,
    digest_text,
    list_files,
    list_revisions,
    read_head,
    read_text,
)

__all__ = ['build_file', 'read_all', 'read_changes']

#: Objects that are fetched concurrently.
_CONCURRENT_FETCHES = 8
#: Characters above which a text is parsed in a thread, off the event loop.
_MAX_INLINE_TEXT = 16_384


async def read_all(
    platform: PlatformClient,
) -> Result[Snapshot, StoreError]:
    """Read the whole configuration.

    The rows of files are not read in one transaction.  The head is read
    first, so that the rows include every change up to its revision; the
    history after it is then applied on top.
    """
    head = await read_head(platform)
    if isinstance(head, Failure):
        return head
    revision = head.unwrap().revision
    rows = await list_files(platform)
    if isinstance(rows, Failure):
        return rows
    seen = [row for row in rows.unwrap() if row.revision <= revision]
    offered = await _fetch_files(platform, seen)
    if isinstance(offered, Failure):
        return offered
    base = extend_snapshot(Snapshot.empty(), offered.unwrap(), revision)
    return await read_changes(platform, base)


async def read_changes(
    platform: PlatformClient,
    base: Snapshot,
) -> Result[Snapshot, StoreError]:
    """Read the changes after a snapshot and apply them on top of it.

    Pending files of the base are tried again, so that a repaired object comes
    into force without another change.
    """
    scanned = await list_revisions(platform, base.revision)
    if isinstance(scanned, Failure):
        return scanned
    rows = scanned.unwrap()
    if not rows and not base.pending:
        return Success(base)
    pending_rows = {
        item.name: FileRow(
            item.name,
            item.generation,
            item.revision,
            item.digest,
            author='',
            time='',
            apply_id='',
        )
        for item in base.pending.values()
    }
    newest = {**pending_rows, **{row.name: row for row in rows}}
    offered = await _fetch_files(platform, list(newest.values()))
    revision = rows[-1].revision if rows else base.revision
    return offered.map(lambda files: extend_snapshot(base, files, revision))


async def build_file(
    name: str,
    generation: int,
    revision: int,
    digest: str,
    text: str,
) -> AppliedFile | PendingFile:
    """Parse an accepted file again; it was checked when it was accepted.

    It may still be unreadable here: its object was damaged, or a newer version
    of this program accepted it.  Then only this file keeps its earlier
    version; the others come into force without it.
    """
    content: FileContent | None = None
    if digest:
        if digest_text(text) != digest:
            reason = 'its text does not match its digest'
            return PendingFile(name, generation, revision, digest, reason)
        parsed = await _parse(text, name)
        if isinstance(parsed, Failure):
            reason = f'this version cannot read it: {parsed.failure()[0]}'
            return PendingFile(name, generation, revision, digest, reason)
        content = parsed.unwrap()
    return AppliedFile(name, generation, revision, digest, text, content)


async def _parse(text: str, name: str) -> Result[FileContent, list[Problem]]:
    if len(text) <= _MAX_INLINE_TEXT:
        return parse_file(text, name, {}, alone=True)
    # A file with thousands of workspaces takes a fraction of a second
    # to parse, which would stall the streams being relayed.
    return await asyncio.to_thread(parse_file, text, name, {}, alone=True)


async def _fetch_files(
    platform: PlatformClient,
    rows: list[FileRow],
) -> Result[list[AppliedFile | PendingFile], StoreError]:
    built: list[AppliedFile | PendingFile] = []
    for start in range(0, len(rows), _CONCURRENT_FETCHES):
        outcomes = await asyncio.gather(
            *(
                _fetch_file(platform, row)
                for row in rows[start : start + _CONCURRENT_FETCHES]
            ),
        )
        for outcome in outcomes:
            if isinstance(outcome, Failure):
                return outcome
            built.append(outcome.unwrap())
    return Success(built)


async def _fetch_file(
    platform: PlatformClient,
    row: FileRow,
) -> Result[AppliedFile | PendingFile, StoreError]:
    text = ''
    if row.digest:
        fetched = await read_text(platform, row.digest)
        if isinstance(fetched, Failure):
            error = fetched.failure()
            if error.kind is not StoreErrorKind.DAMAGED:
                return fetched
            return Success(
                PendingFile(
                    row.name,
                    row.generation,
                    row.revision,
                    row.digest,
                    error.message,
                ),
            )
        text = fetched.unwrap()
    return Success(
        await build_file(
            row.name,
            row.generation,
            row.revision,
            row.digest,
            text,
        ),
    )
