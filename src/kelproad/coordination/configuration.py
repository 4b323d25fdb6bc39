"""Configuration: accepting operators' files, and adopting what was accepted.

Accepted means committed in the platform's table.  One transaction writes the
file's new generation, the history and the head, on the condition that none of
them changed since they were read; the head's revision therefore orders all
changes of the site.
"""

import datetime
import hashlib
from collections.abc import Callable

import attrs
import msgspec
from mode import Service
from returns.result import Failure, Result, Success

from ..protocol.documents import Problem
from ..protocol.files import parse_file
from ..protocol.messages import (
    Changes,
    ChangesWanted,
    FileChange,
    PeerMessage,
)
from ..protocol.platform import (
    ABSENT,
    PlatformClient,
    Row,
    StoreError,
    StoreErrorKind,
    Write,
)
from ..protocol.settings import Settings
from ..state.configuration import (
    AppliedFile,
    FileContent,
    Snapshot,
    SnapshotHolder,
)
from ..state.counters import Counters
from ..state.endpoints import EndpointTable
from ..state.refusals import Refusal, RefusalCode, Step
from ..transport.deadlines import monotonic
from ..transport.services import BackgroundService

__all__ = [
    'Accepted',
    'ConfigurationFollower',
    'ConfigurationWriter',
    'FileRow',
    'Submission',
]

_TABLE = 'configuration'
_HISTORY = 'configuration-history'
_HEAD = 'head'
_FILE_PREFIX = 'file/'
_STORE_TIMEOUT = 2.0
_POLL_PERIOD = 1.0
_PAGE = 200


@attrs.frozen
class FileRow:
    """One accepted change of a file, as the table holds it.

    Attributes
    ----------
    digest
        SHA-256 of the text, the key of its object; empty when removed.
    apply_id
        Chosen by the operator's client, so that it recognises its own apply.
    """

    name: str
    generation: int
    revision: int
    digest: str
    author: str
    time: str
    apply_id: str


@attrs.frozen
class _Head:
    revision: int


@attrs.frozen
class Submission:
    """A file that an operator wants to be in force.

    Attributes
    ----------
    base_generation
        Generation that the operator saw; 0 for a file that is new.
    """

    text: str
    source: str
    base_generation: int
    author: str
    apply_id: str


@attrs.frozen
class Accepted:
    """What became of a submission."""

    name: str
    generation: int
    revision: int


def encode_history_key(revision: int) -> str:
    """Encode a revision so that keys sort as numbers do."""
    return f'{revision:012d}'


# Reading and adopting


class ConfigurationFollower(BackgroundService):
    """Puts accepted revisions in force, from the store or from peers."""

    abstract = False

    def __init__(
        self,
        settings: Settings,
        holder: SnapshotHolder,
        table: EndpointTable,
        platform: PlatformClient,
        counters: Counters,
    ) -> None:
        """Adopt into a holder and keep the endpoint table in step."""
        super().__init__()
        self._settings = settings
        self._holder = holder
        self._table = table
        self._platform = platform
        self._counters = counters
        self.confirmed_at = float('-inf')
        #: Sends a message to a peer; set by membership, which owns the links.
        self.ask_peer: Callable[[str, PeerMessage], None] | None = None

    @property
    def age(self) -> float:
        """Seconds since the store or a peer confirmed what is in force."""
        return monotonic() - self.confirmed_at

    async def catch_up(self) -> Result[None, StoreError]:
        """Adopt whatever the store has accepted since the last time."""
        current = self._holder.current
        if current.revision == 0:
            loaded = await read_all(self._platform)
        else:
            loaded = await read_changes(self._platform, current)
        if isinstance(loaded, Success):
            self.confirmed_at = monotonic()
            self._adopt(loaded.unwrap(), 'store')
        return loaded.map(lambda _snapshot: None)

    def hear_revision(self, revision: int, peer_address: str) -> None:
        """Ask a peer for what it has beyond the revision in force here."""
        current = self._holder.current.revision
        if revision <= current or self.ask_peer is None:
            return
        wanted = ChangesWanted(
            sender=self._settings.instance,
            reply_to=self._settings.reachable_peer_address,
            after=current,
        )
        self.ask_peer(peer_address, wanted)

    def list_changes(self, after: int) -> Changes | None:
        """List the changes after a revision, ``None`` when there are none."""
        current = self._holder.current
        if current.revision <= after:
            return None
        return Changes(
            sender=self._settings.instance,
            after=after,
            revision=current.revision,
            files=[
                FileChange(
                    applied.name,
                    applied.generation,
                    applied.revision,
                    applied.digest,
                    applied.text,
                )
                for applied in current.changed_after(after)
            ],
        )

    def take_changes(self, changes: Changes) -> None:
        """Adopt changes that a peer sent.

        A late answer may start from a revision that this instance has passed
        or has not reached; it is used only when it continues what is in
        force.
        """
        current = self._holder.current
        if not changes.after <= current.revision < changes.revision:
            self._counters.adoptions.inc({'source': 'peer', 'outcome': 'late'})
            return
        applied = [
            build_applied(
                change.name,
                change.generation,
                change.revision,
                change.digest,
                change.text,
            )
            for change in changes.files
        ]
        self._adopt(extend(current, applied, changes.revision), 'peer')

    @Service.task
    async def _poll_store(self) -> None:
        while not self.should_stop:
            await self.catch_up()
            await self.sleep(_POLL_PERIOD)

    def _adopt(self, snapshot: Snapshot, source: str) -> None:
        previous = self._holder.current.revision
        if not self._holder.adopt(snapshot):
            return
        self._table.follow(snapshot)
        self._counters.adoptions.inc({'source': source, 'outcome': 'adopted'})
        self.log.info(
            'configuration revision %d in force, was %d, from %s',
            snapshot.revision,
            previous,
            source,
        )


async def read_all(
    platform: PlatformClient,
) -> Result[Snapshot, StoreError]:
    """Read the whole configuration.

    The rows of files are not read in one transaction.  The head is read
    first, so that every change up to its revision is in the rows, and the
    history after it is then laid over them.
    """
    head = await read_head(platform)
    if isinstance(head, Failure):
        return head
    _, revision = head.unwrap()
    rows: list[Row] = []
    while True:
        after = rows[-1].key if rows else ''
        page = await platform.scan_rows(
            _TABLE,
            _STORE_TIMEOUT,
            prefix=_FILE_PREFIX,
            after=after,
            limit=_PAGE,
        )
        if isinstance(page, Failure):
            return page
        rows += page.unwrap()
        if len(page.unwrap()) < _PAGE:
            break
    files = [msgspec.json.decode(row.body, type=FileRow) for row in rows]
    seen = [item for item in files if item.revision <= revision]
    applied = await _fetch_texts(platform, seen)
    if isinstance(applied, Failure):
        return applied
    base = extend(Snapshot.empty(), applied.unwrap(), revision)
    return await read_changes(platform, base)


async def read_changes(
    platform: PlatformClient,
    base: Snapshot,
) -> Result[Snapshot, StoreError]:
    """Read the changes after a snapshot and lay them over it."""
    page = await platform.scan_rows(
        _HISTORY,
        _STORE_TIMEOUT,
        after=encode_history_key(base.revision),
        limit=_PAGE,
    )
    if isinstance(page, Failure):
        return page
    if not page.unwrap():
        return Success(base)
    rows = [
        msgspec.json.decode(row.body, type=FileRow) for row in page.unwrap()
    ]
    newest = {row.name: row for row in rows}
    applied = await _fetch_texts(platform, list(newest.values()))
    return applied.map(
        lambda files: extend(base, files, rows[-1].revision),
    )


async def read_head(
    platform: PlatformClient,
) -> Result[tuple[int, int], StoreError]:
    """Read the head's row version and revision, zeros when there is none."""
    found = await platform.read_row(_TABLE, _HEAD, _STORE_TIMEOUT)
    return found.map(_decode_head)


def extend(
    base: Snapshot,
    applied: list[AppliedFile],
    revision: int,
) -> Snapshot:
    """Lay newer versions of files over a snapshot."""
    files = dict(base.files)
    for item in applied:
        held = files.get(item.name)
        if held is None or held.generation < item.generation:
            files[item.name] = item
    return Snapshot.from_files(revision, files)


def build_applied(
    name: str,
    generation: int,
    revision: int,
    digest: str,
    text: str,
) -> AppliedFile:
    """Parse an accepted file again; it was checked before it was accepted."""
    content: FileContent | None = None
    if digest:
        content = parse_file(text, name, {}, alone=True).unwrap()
    return AppliedFile(name, generation, revision, digest, text, content)


async def _fetch_texts(
    platform: PlatformClient,
    rows: list[FileRow],
) -> Result[list[AppliedFile], StoreError]:
    applied = []
    for row in rows:
        text = b''
        if row.digest:
            fetched = await platform.get_object(
                f'configuration/{row.digest}',
                _STORE_TIMEOUT,
            )
            if isinstance(fetched, Failure):
                return fetched
            text = fetched.unwrap()
        applied.append(
            build_applied(
                row.name,
                row.generation,
                row.revision,
                row.digest,
                text.decode(),
            ),
        )
    return Success(applied)


def _decode_head(row: Row | None) -> tuple[int, int]:
    if row is None:
        return (ABSENT, 0)
    return (row.version, msgspec.json.decode(row.body, type=_Head).revision)


# Accepting


class ConfigurationWriter:
    """Accepts operators' files into the platform's table."""

    def __init__(
        self,
        holder: SnapshotHolder,
        follower: ConfigurationFollower,
        platform: PlatformClient,
    ) -> None:
        """Accept on the base of what the follower has adopted."""
        self._holder = holder
        self._follower = follower
        self._platform = platform

    async def apply(
        self,
        submission: Submission,
        dry_run: bool = False,
    ) -> Result[Accepted, Refusal | list[Problem]]:
        """Check a file completely, then commit it or refuse it.

        Every check is made against the revision on whose condition the file
        is committed, so two files that are each valid alone cannot together
        become an invalid configuration.
        """
        head = await self._read_base()
        if isinstance(head, Failure):
            return head
        head_version, revision = head.unwrap()
        snapshot = self._holder.current
        parsed = parse_file(
            submission.text,
            submission.source,
            snapshot.contents(),
        )
        if isinstance(parsed, Failure):
            return parsed
        content = parsed.unwrap()
        held = snapshot.files.get(content.name)
        generation = held.generation if held else 0
        if generation != submission.base_generation:
            return Failure(_refuse_raced(content.name, generation))
        accepted = Accepted(content.name, generation + 1, revision + 1)
        if dry_run:
            return Success(accepted)
        return await self._commit(submission, accepted, head_version)

    async def _read_base(self) -> Result[tuple[int, int], Refusal]:
        """Read the head and make sure that its revision is in force here."""
        head = await read_head(self._platform)
        if isinstance(head, Failure):
            return head.alt(_refuse_store)
        _, revision = head.unwrap()
        if self._holder.current.revision < revision:
            caught_up = await self._follower.catch_up()
            if isinstance(caught_up, Failure):
                return caught_up.alt(_refuse_store)
        if self._holder.current.revision != revision:
            return Failure(_refuse_raced('the configuration', revision))
        return head

    async def _commit(
        self,
        submission: Submission,
        accepted: Accepted,
        head_version: int,
    ) -> Result[Accepted, Refusal]:
        digest = hashlib.sha256(submission.text.encode()).hexdigest()
        stored = await self._platform.put_object(
            f'configuration/{digest}',
            submission.text.encode(),
            _STORE_TIMEOUT,
        )
        if isinstance(stored, Failure):
            return stored.alt(_refuse_store)
        row = FileRow(
            name=accepted.name,
            generation=accepted.generation,
            revision=accepted.revision,
            digest=digest,
            author=submission.author,
            time=datetime.datetime.now(datetime.UTC).isoformat(),
            apply_id=submission.apply_id,
        )
        written = await self._platform.transact(
            _list_writes(row, head_version),
            _STORE_TIMEOUT,
        )
        if isinstance(written, Failure):
            return await self._settle(row, written.failure())
        await self._follower.catch_up()
        return Success(accepted)

    async def _settle(
        self,
        row: FileRow,
        error: StoreError,
    ) -> Result[Accepted, Refusal]:
        """Find out by reading back whether a commit took effect."""
        if error.kind is StoreErrorKind.UNAVAILABLE:
            return Failure(_refuse_store(error))
        found = await self._platform.read_row(
            _HISTORY,
            encode_history_key(row.revision),
            _STORE_TIMEOUT,
        )
        if isinstance(found, Failure):
            return Failure(_refuse_unknown(row, error))
        committed = found.unwrap()
        if committed is None:
            return Failure(_refuse_unknown(row, error))
        standing = msgspec.json.decode(committed.body, type=FileRow)
        if standing.apply_id == row.apply_id:
            await self._follower.catch_up()
            return Success(Accepted(row.name, row.generation, row.revision))
        return Failure(_refuse_raced(standing.name, standing.generation))


def _list_writes(row: FileRow, head_version: int) -> list[Write]:
    body = msgspec.json.encode(row).decode()
    head = msgspec.json.encode(_Head(row.revision)).decode()
    return [
        Write(_TABLE, _HEAD, head, head_version),
        Write(_TABLE, f'{_FILE_PREFIX}{row.name}', body),
        Write(_HISTORY, encode_history_key(row.revision), body, ABSENT),
    ]


def _refuse_raced(name: str, generation: int) -> Refusal:
    return Refusal(
        RefusalCode.CONFLICT,
        f'{name} was changed meanwhile and now has number {generation}',
        Step.CONFIGURE,
    )


def _refuse_store(error: StoreError) -> Refusal:
    return Refusal(
        RefusalCode.UNAVAILABLE,
        f'nothing was applied: {error.message}',
        Step.STORE,
        peer=error.peer,
        retry_after=_STORE_TIMEOUT,
    )


def _refuse_unknown(row: FileRow, error: StoreError) -> Refusal:
    return Refusal(
        RefusalCode.OUTCOME_UNKNOWN,
        f'apply {row.apply_id} may have taken effect, or may yet: '
        f'{error.message}; repeat it with the same id to find out',
        Step.STORE,
        peer=error.peer,
        retry_after=_STORE_TIMEOUT,
    )
