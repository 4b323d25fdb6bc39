"""At most once: a key is claimed in the platform's table before dispatch.

A claim never expires: a paused owner could still dispatch, so no time that
passes makes it safe to let another process run the work.  Nor is a row ever
removed.  Its version only grows, so a write that was given up and arrives
late finds another version than it expects and changes nothing.
"""

import asyncio
import hashlib
import time
import uuid
from collections.abc import Awaitable, Callable, Coroutine

import attrs
import msgspec
from returns.result import Failure, Result, Success

from ..protocol.platform import (
    ABSENT,
    PlatformClient,
    Row,
    StoreError,
    StoreErrorKind,
    Write,
)
from ..state import invariants
from ..state.claims import ClaimRecord, ClaimState, RecordedAnswer
from ..state.counters import Counters
from ..state.identity import Identity
from ..transport.deadlines import monotonic
from .grouping import WRITE_TIMEOUT, GroupedWrites
from .verdicts import (
    MAX_RECORDED_BYTES,
    Acquired,
    Claim,
    judge,
    refuse_unrecorded,
)

__all__ = ['Claim', 'Claims', 'digest_request']

_TABLE = 'claims'
#: Seconds that claiming may take, if the request's deadline allows them.
CLAIM_LIMIT = 2.0
#: Seconds that an answer waits for its record, at the most.
RECORD_WAIT = 0.25
_MAX_TRIES = 4
_SHORTEST_RETRY = 0.1
_LONGEST_RETRY = 2.0
_DIGEST_BYTES = 16


@attrs.define
class _Trial:
    """The tries to write one claim.

    Attributes
    ----------
    expect
        Version of the row that the next try replaces.
    unsure
        A try was not answered, so that the row may stand or come yet.
    error
        Why the last try failed.
    """

    key: str
    mine: ClaimRecord
    expect: int = ABSENT
    unsure: bool = False
    error: StoreError | None = None

    def write(self) -> Write:
        """Build the write of the next try."""
        return Write(_TABLE, self.key, _encode(self.mine), self.expect)


def digest_request(method: str, path: str, body: bytes) -> str:
    """Digest what makes two requests under one key the same."""
    digest = hashlib.blake2b(
        f'{method} {path}\n'.encode('utf-8', 'surrogateescape'),
        digest_size=_DIGEST_BYTES,
    )
    digest.update(body)
    return digest.hexdigest()


class Claims:
    """Claims of this process on idempotency keys."""

    def __init__(
        self,
        identity: Identity,
        platform: PlatformClient,
        counters: Counters,
    ) -> None:
        """Keep claims in the platform's table."""
        self._identity = identity
        self._platform = platform
        self._counters = counters
        self._writes = GroupedWrites(platform)
        self._settling: set[asyncio.Task[None]] = set()

    @property
    def unsettled(self) -> int:
        """Number of claims whose outcome is still to be written."""
        return len(self._settling)

    async def acquire(
        self,
        workspace: str,
        key: str,
        request_digest: str,
        deadline: float,
    ) -> Acquired:
        """Claim a key, or find out what became of it.

        Parameters
        ----------
        workspace, key
            Together they name the row.
        request_digest
            Digest of the request that uses the key.
        deadline
            Monotonic time, in seconds, of the request's deadline.

        Returns
        -------
        Result
            A claim that permits one dispatch; the recorded answer when the
            work is done; else a refusal.
        """
        mine = ClaimRecord(
            token=uuid.uuid4().hex,
            owner=self._identity.owner,
            request_digest=request_digest,
            state=ClaimState.OPEN,
            answer_due=time.time() + deadline - monotonic(),
        )
        limit = min(deadline, monotonic() + CLAIM_LIMIT)
        trial = _Trial(f'{workspace}/{key}', mine)
        outcome = await self._insert(trial, limit)
        self._count(outcome)
        return outcome

    async def record(
        self,
        claim: Claim,
        answer: RecordedAnswer,
        deadline: float,
    ) -> None:
        """Record that the work ran, with its answer.

        Waits a little, so that whoever has the answer usually finds it
        recorded; a slow store does not keep the caller from its answer, and
        the writing goes on behind it.
        """
        if answer.body is not None and len(answer.body) > MAX_RECORDED_BYTES:
            answer = attrs.evolve(answer, body=None)
        settling = self._settle(claim, ClaimState.DONE, answer)
        wait = min(RECORD_WAIT, max(0, deadline - monotonic()))
        await asyncio.wait([settling], timeout=wait)

    def leave_unknown(self, claim: Claim) -> None:
        """Record, later, that the work may or may not have run."""
        self._settle(claim, ClaimState.UNKNOWN)

    def release(self, claim: Claim) -> None:
        """Give a key back, later.

        Only the holder may do so, and only when it knows that it did not
        dispatch and never will.
        """
        self._settle(claim, ClaimState.FREE)

    async def finish(self, timeout: float) -> int:
        """Wait until all outcomes are written, at most some seconds.

        Returns
        -------
        int
            Claims left open; later callers hear that those are unknown.
        """
        if self._settling:
            await asyncio.wait(set(self._settling), timeout=timeout)
        return len(self._settling)

    # Claiming

    async def _insert(self, trial: _Trial, limit: float) -> Acquired:
        for _ in range(_MAX_TRIES):
            acquired = await self._try_insert(trial, limit)
            if acquired is not None:
                return acquired
        return self._give_up(trial)

    async def _try_insert(
        self,
        trial: _Trial,
        limit: float,
    ) -> Acquired | None:
        """Write the claim once; ``None`` asks for another try."""
        written = await self._writes.write(trial.write(), limit)
        if isinstance(written, Success):
            return Success(Claim(trial.key, trial.mine, trial.expect + 1))
        trial.error = written.failure()
        match trial.error.kind:
            case StoreErrorKind.CONFLICT:
                return await self._look(trial, limit)
            case StoreErrorKind.UNKNOWN:
                # The row may stand there, or appear later.  Writing the same
                # row again tells: it conflicts with the first, or makes the
                # first conflict with it.
                trial.unsure = True
                return None
        return self._give_up(trial)

    async def _look(self, trial: _Trial, limit: float) -> Acquired | None:
        """Find out which row the claim conflicted with."""
        found = await self._read(trial.key, limit)
        if isinstance(found, Failure):
            trial.error = found.failure()
            return self._give_up(trial)
        row = found.unwrap()
        standing = _decode(row)
        if standing.state is ClaimState.FREE:
            trial.expect = row.version
            return None
        return judge(row, standing, trial.mine)

    def _give_up(self, trial: _Trial) -> Acquired:
        if trial.unsure:
            self._start(self._take_back(trial))
        silent = self._writes.silent_seconds
        return Failure(refuse_unrecorded(trial.error, silent))

    async def _read(
        self,
        row_key: str,
        limit: float,
    ) -> Result[Row, StoreError]:
        remaining = max(0, limit - monotonic())
        found = await self._platform.read_row(_TABLE, row_key, remaining)
        return found.bind(lambda row: _require(row, row_key))

    # Settling

    def _settle(
        self,
        claim: Claim,
        state: ClaimState,
        answer: RecordedAnswer | None = None,
    ) -> asyncio.Task[None]:
        invariants.check(not claim.settled, 'claim-settled-once', claim.key)
        record = attrs.evolve(
            claim.record,
            state=state,
            answer=answer,
            settled_at=time.time(),
        )
        write = Write(_TABLE, claim.key, _encode(record), claim.version)
        claim.settled = True
        return self._start(self._overwrite(write, state))

    def _start(
        self,
        work: Coroutine[None, None, None],
    ) -> asyncio.Task[None]:
        task = asyncio.create_task(work)
        self._settling.add(task)
        task.add_done_callback(self._settling.discard)
        return task

    async def _overwrite(self, write: Write, state: ClaimState) -> None:
        """Write an outcome until the platform has it.

        The caller has its answer already.  Giving up would leave the key in
        progress for ever although the outcome is known here.  Only the holder
        writes to an open row, so a conflict means that an earlier try, whose
        answer was lost, took effect.
        """
        errors = set()

        async def try_once() -> bool:
            written = await self._writes.write(write, _background_limit())
            if isinstance(written, Failure):
                errors.add(written.failure().kind)
            conflict = StoreErrorKind.CONFLICT in errors
            return conflict or isinstance(written, Success)

        await _repeat(try_once)
        invariants.check(
            StoreErrorKind.CONFLICT not in errors
            or StoreErrorKind.UNKNOWN in errors,
            'only-holder-writes-open-claim',
            write.key,
        )
        self._counters.claims.inc({'outcome': f'settled_{state}'})

    async def _take_back(self, trial: _Trial) -> None:
        """Free a key after a claim that was given up.

        Its caller has heard that nothing was run, and this process will not
        dispatch.  The row may stand, or arrive later, and would then leave
        the key in progress for ever.  A free row at the version that the
        claim expected makes a late arrival conflict.
        """
        free = attrs.evolve(
            trial.mine,
            state=ClaimState.FREE,
            settled_at=time.time(),
        )

        async def try_once() -> bool:
            write = Write(_TABLE, trial.key, _encode(free), trial.expect)
            written = await self._writes.write(write, _background_limit())
            if isinstance(written, Success):
                return True
            if written.failure().kind is not StoreErrorKind.CONFLICT:
                return False
            found = await self._read(trial.key, _background_limit())
            row = found.value_or(None)
            if row is None:
                return False
            trial.expect = row.version
            return not _is_open_row(row, trial.mine)

        await _repeat(try_once)
        self._counters.claims.inc({'outcome': 'taken_back'})

    # Telling

    def _count(self, outcome: Acquired) -> None:
        if isinstance(outcome, Failure):
            label = str(outcome.failure().code)
        else:
            held = isinstance(outcome.unwrap(), Claim)
            label = 'claimed' if held else 'repeated'
        self._counters.claims.inc({'outcome': label})


def _require(row: Row | None, row_key: str) -> Result[Row, StoreError]:
    """Insist on the row that a write has just conflicted with."""
    if row is not None:
        return Success(row)
    return Failure(
        StoreError(
            StoreErrorKind.UNAVAILABLE,
            'read_row',
            '',
            f'the row of {row_key!r} vanished',
        ),
    )


def _is_open_row(row: Row, mine: ClaimRecord) -> bool:
    standing = _decode(row)
    return standing.token == mine.token and standing.state is ClaimState.OPEN


async def _repeat(try_once: Callable[[], Awaitable[bool]]) -> None:
    """Try, with growing pauses, until it is done."""
    pause = _SHORTEST_RETRY
    while not await try_once():
        await asyncio.sleep(pause)
        pause = min(2 * pause, _LONGEST_RETRY)


def _background_limit() -> float:
    """Return when a write that nobody waits for is given up and repeated."""
    return monotonic() + 2 * WRITE_TIMEOUT


def _encode(record: ClaimRecord) -> str:
    return msgspec.json.encode(record).decode()


def _decode(row: Row) -> ClaimRecord:
    return msgspec.json.decode(row.body, type=ClaimRecord)
