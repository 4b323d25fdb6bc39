"""Acceptance: checking operators' files and committing them.

Accepted means committed in the platform's table, in one transaction that is
conditional on the head.  The configuration that a file was checked against is
therefore still the newest one when the file takes effect.
"""

import asyncio
import datetime

import attrs
from returns.result import Failure, Result, Success

from ..protocol.files import check_removal, parse_file
from ..protocol.platform import PlatformClient
from ..protocol.store import StoreError, StoreErrorKind
from ..state.configuration import Snapshot, SnapshotHolder
from ..state.problems import Problem
from ..state.refusals import Refusal, RefusalCode, Step
from .configuration import ConfigurationFollower
from .conflicts import EditConflict, describe_conflict
from .history import (
    HISTORY_TIMEOUT,
    FileRow,
    Head,
    build_commit_writes,
    digest_text,
    find_apply,
    read_head,
    store_text,
)

__all__ = ['Accepted', 'ConfigurationWriter', 'Submission']

#: Commits tried when other files are accepted in between.
_MAX_TRIES = 5
#: Characters of the longest apply id.
_MAX_APPLY_ID_LENGTH = 128

Refused = Refusal | list[Problem] | EditConflict


@attrs.frozen
class Submission:
    """A file that an operator applies, or the removal of one.

    Attributes
    ----------
    base_generation
        Generation that the operator saw; 0 for a file that is new.
    apply_id
        Chosen by the operator's client; the same apply counts once.
    remove
        Name of the file to remove; ``text`` is ignored then.
    """

    text: str
    source: str
    base_generation: int
    author: str
    apply_id: str
    remove: str = ''


@attrs.frozen
class Accepted:
    """The generation and revision that a submission was given."""

    name: str
    generation: int
    revision: int


@attrs.frozen
class _Base:
    """What a submission is checked against; its commit expects the head."""

    head: Head
    snapshot: Snapshot


class ConfigurationWriter:
    """Accepts operators' files into the platform's table."""

    def __init__(
        self,
        holder: SnapshotHolder,
        follower: ConfigurationFollower,
        platform: PlatformClient,
    ) -> None:
        """Check files against the snapshots that the follower adopts."""
        self._holder = holder
        self._follower = follower
        self.platform = platform

    async def apply(
        self,
        submission: Submission,
        dry_run: bool = False,
    ) -> Result[Accepted, Refused]:
        """Check a file completely, then commit it or refuse it.

        Every check is made against the revision on whose condition the file
        is committed, so two files that are each valid alone cannot together
        become an invalid configuration.  When another file is accepted in
        between, everything is checked again.
        """
        if not 0 < len(submission.apply_id) <= _MAX_APPLY_ID_LENGTH:
            return Failure(_refuse_apply_id())
        for _ in range(_MAX_TRIES):
            outcome = await self._find_earlier(submission)
            if outcome is None:
                outcome = await self._try(submission, dry_run)
            if outcome is not None:
                return outcome
        return Failure(_refuse_busy())

    async def _try(
        self,
        submission: Submission,
        dry_run: bool,
    ) -> Result[Accepted, Refused] | None:
        """Try once; ``None`` when the head moved and nothing was written."""
        read = await self._read_base()
        if isinstance(read, Failure):
            return read
        base = read.unwrap()
        if base is None:
            return None
        # Off the event loop: with thousands of workspaces it takes tens of
        # milliseconds, and the snapshot is immutable.
        named = await asyncio.to_thread(_check, submission, base.snapshot)
        if isinstance(named, Failure):
            return named
        name = named.unwrap()
        generation = base.snapshot.accepted_generation(name)
        seen = submission.base_generation
        if generation != seen:
            return Failure(
                await describe_conflict(self.platform, name, seen, generation),
            )
        accepted = Accepted(name, generation + 1, base.head.revision + 1)
        if dry_run:
            return Success(accepted)
        return await self._commit(submission, accepted, base.head)

    async def _find_earlier(
        self,
        submission: Submission,
    ) -> Result[Accepted, Refused] | None:
        """Return the first result of an apply that was accepted before.

        The first answer may have been lost, so the operator repeats the apply
        with the same id.  The row under the id decides, however much was
        accepted since.  ``None`` when the id has accepted nothing.
        """
        earlier = await find_apply(self.platform, submission.apply_id)
        if isinstance(earlier, Failure):
            return earlier.alt(_refuse_store)
        row = earlier.unwrap()
        if row is None:
            return None
        digest = '' if submission.remove else digest_text(submission.text)
        is_same_file = submission.remove in {'', row.name}
        if row.digest != digest or not is_same_file:
            return Failure(_refuse_reused(row))
        await self._follower.catch_up()
        return Success(Accepted(row.name, row.generation, row.revision))

    async def _read_base(self) -> Result[_Base | None, Refusal]:
        """Read the head and make sure that its revision is in force here."""
        read = await read_head(self.platform)
        if isinstance(read, Failure):
            return read.alt(_refuse_store)
        head = read.unwrap()
        if self._holder.current.revision < head.revision:
            caught_up = await self._follower.catch_up()
            if isinstance(caught_up, Failure):
                return caught_up.alt(_refuse_store)
        snapshot = self._holder.current
        if snapshot.revision != head.revision:
            return Success(None)
        return Success(_Base(head, snapshot))

    async def _commit(
        self,
        submission: Submission,
        accepted: Accepted,
        head: Head,
    ) -> Result[Accepted, Refused] | None:
        digest = ''
        if not submission.remove:
            stored = await store_text(self.platform, submission.text)
            if isinstance(stored, Failure):
                return stored.alt(_refuse_store)
            digest = stored.unwrap()
        row = FileRow(
            name=accepted.name,
            generation=accepted.generation,
            revision=accepted.revision,
            digest=digest,
            author=submission.author,
            time=datetime.datetime.now(datetime.UTC).isoformat(),
            apply_id=submission.apply_id,
        )
        written = await self.platform.transact(
            build_commit_writes(row, head),
            HISTORY_TIMEOUT,
        )
        if isinstance(written, Failure):
            return await self._read_back(row, written.failure())
        await self._follower.catch_up()
        return Success(accepted)

    async def _read_back(
        self,
        row: FileRow,
        error: StoreError,
    ) -> Result[Accepted, Refused] | None:
        """Find out by reading back whether a commit took effect.

        A conflict means that it did not, unless the same apply was committed
        before.  After a lost answer, a row under the apply id shows that it
        did; a missing row proves nothing, because the write may still land.
        """
        if error.kind is StoreErrorKind.UNAVAILABLE:
            return Failure(_refuse_store(error))
        found = await find_apply(self.platform, row.apply_id)
        recorded = found.value_or(None)
        if recorded is not None:
            await self._follower.catch_up()
            return Success(
                Accepted(
                    recorded.name,
                    recorded.generation,
                    recorded.revision,
                ),
            )
        if error.kind is StoreErrorKind.CONFLICT:
            return None
        return Failure(_refuse_unknown(row, error))


def _check(
    submission: Submission,
    snapshot: Snapshot,
) -> Result[str, Refused]:
    """Check a submission against all other files; return its file name."""
    others = snapshot.contents()
    texts = {item.name: item.text for item in snapshot.files.values()}
    if submission.remove:
        problems = check_removal(submission.remove, others, texts)
        checked = Failure(problems) if problems else Success(submission.remove)
    else:
        parsed = parse_file(
            submission.text,
            submission.source,
            others,
            texts=texts,
        )
        checked = parsed.map(lambda content: content.name)
    return checked.bind(lambda name: _check_pending(name, snapshot))


def _check_pending(name: str, snapshot: Snapshot) -> Result[str, Refusal]:
    """Refuse to check against files whose accepted version is unreadable.

    Applying the pending file itself is allowed: it is how it is repaired.
    """
    pending = snapshot.pending
    if not pending or name in pending:
        return Success(name)
    item = next(iter(pending.values()))
    return Failure(
        Refusal(
            RefusalCode.CONFLICT,
            f'nothing was applied: file {item.name!r} generation '
            f'{item.generation} cannot be read here ({item.reason}); '
            'apply that file again first',
            Step.CONFIGURE,
        ),
    )


def _refuse_reused(row: FileRow) -> Refusal:
    return Refusal(
        RefusalCode.CONFLICT,
        f'apply id {row.apply_id!r} was used for another text: it accepted '
        f'{row.name!r} generation {row.generation}',
        Step.CONFIGURE,
    )


def _refuse_apply_id() -> Refusal:
    return Refusal(
        RefusalCode.BAD_REQUEST,
        f'an apply id has 1 to {_MAX_APPLY_ID_LENGTH} characters',
        Step.RECEIVE,
    )


def _refuse_busy() -> Refusal:
    return Refusal(
        RefusalCode.CONFLICT,
        f'nothing was applied: other files were accepted {_MAX_TRIES} times '
        'meanwhile; apply again',
        Step.CONFIGURE,
        retry_after=1,
    )


def _refuse_store(error: StoreError) -> Refusal:
    return Refusal(
        RefusalCode.UNAVAILABLE,
        f'this try applied nothing: {error.message}',
        Step.STORE,
        peer=error.peer,
        retry_after=HISTORY_TIMEOUT,
    )


def _refuse_unknown(row: FileRow, error: StoreError) -> Refusal:
    return Refusal(
        RefusalCode.OUTCOME_UNKNOWN,
        f'apply {row.apply_id} may have taken effect, or may yet: '
        f'{error.message}; repeat it with the same id to find out',
        Step.STORE,
        peer=error.peer,
        retry_after=HISTORY_TIMEOUT,
    )
