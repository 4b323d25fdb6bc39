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

import attrs
from returns.result import Failure, Success

from ..protocol.platform import PlatformClient, StoreErrorKind
from ..state.claims import ClaimRecord, ClaimState, RecordedAnswer
from ..state.counters import Counters
from ..state.identity import Identity
from ..transport.deadlines import monotonic
from .claimrows import Trial, decode_row, read_row
from .grouping import GroupedWrites
from .settlements import Settlements
from .verdicts import (
    MAX_RECORDED_BYTES,
    Acquired,
    Claim,
    judge,
    refuse_unrecorded,
)

__all__ = ['Claim', 'Claims', 'digest_request']

#: Seconds that claiming may take, if the request's deadline allows them.
CLAIM_LIMIT = 2.0
#: Seconds that an answer waits for its record, at the most.
RECORD_WAIT = 0.25
_MAX_TRIES = 4
_DIGEST_BYTES = 16


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
        self._settlements = Settlements(platform, self._writes, counters)

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
        trial = Trial(f'{workspace}/{key}', mine)
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
        settling = self._settlements.settle(claim, ClaimState.DONE, answer)
        wait = min(RECORD_WAIT, max(0, deadline - monotonic()))
        await asyncio.wait([settling], timeout=wait)

    def record_run(self, claim: Claim) -> None:
        """Record, later, that the work ran and its answer was not kept."""
        unkept = RecordedAnswer(status=0, headers=[], body=None)
        self._settlements.settle(claim, ClaimState.DONE, unkept)

    def leave_unknown(self, claim: Claim) -> None:
        """Record, later, that the work may or may not have run."""
        self._settlements.settle(claim, ClaimState.UNKNOWN)

    def release(self, claim: Claim) -> None:
        """Give a key back, later.

        Only the holder may do so, and only when it knows that it did not
        dispatch and never will.
        """
        self._settlements.settle(claim, ClaimState.FREE)

    async def finish(self, timeout: float) -> int:
        """Wait until all outcomes are written, at most some seconds.

        Returns
        -------
        int
            Claims left open; later callers hear that those are unknown.
        """
        return await self._settlements.finish(timeout)

    # Claiming

    async def _insert(self, trial: Trial, limit: float) -> Acquired:
        for _ in range(_MAX_TRIES):
            acquired = await self._try_insert(trial, limit)
            if acquired is not None:
                return acquired
        return self._give_up(trial)

    async def _try_insert(
        self,
        trial: Trial,
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

    async def _look(self, trial: Trial, limit: float) -> Acquired | None:
        """Find out which row the claim conflicted with."""
        found = await read_row(self._platform, trial.key, limit)
        if isinstance(found, Failure):
            trial.error = found.failure()
            return self._give_up(trial)
        row = found.unwrap()
        standing = decode_row(row)
        if standing.state is ClaimState.FREE:
            trial.expect = row.version
            return None
        return judge(row, standing, trial.mine)

    def _give_up(self, trial: Trial) -> Acquired:
        if trial.unsure:
            self._settlements.take_back(trial)
        silent = self._writes.silent_seconds
        return Failure(refuse_unrecorded(trial.error, silent))

    # Telling

    def _count(self, outcome: Acquired) -> None:
        if isinstance(outcome, Failure):
            label = str(outcome.failure().code)
        else:
            held = isinstance(outcome.unwrap(), Claim)
            label = 'claimed' if held else 'repeated'
        self._counters.claims.inc({'outcome': label})
