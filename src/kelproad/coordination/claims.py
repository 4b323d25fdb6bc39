"""At most once: a key is claimed in the platform's table before dispatch.

A claim never expires: a paused owner could still dispatch, so no elapsed time
makes it safe to let another process run the work.  Rows are never removed
either.  The version of a row only grows, so a write that was given up and
arrives late finds another version than it expects and changes nothing.
"""

import asyncio
import hashlib
import time
import uuid

import attrs
from returns.result import Failure, Success

from ..protocol.platform import PlatformClient
from ..protocol.store import StoreErrorKind
from ..state.claims import ClaimRecord, ClaimState, RecordedAnswer
from ..state.counters import Counters
from ..state.identity import Identity
from ..transport.deadlines import monotonic
from .claimrows import PendingClaim, decode_row, read_row
from .grouping import GroupedWrites
from .settlements import Settlements
from .verdicts import (
    MAX_RECORDED_BYTES,
    Acquired,
    Claim,
    evaluate_row,
    refuse_unrecorded,
)

__all__ = ['Claim', 'Claims', 'digest_request']

#: Seconds that claiming may take, if the request's deadline allows as many.
CLAIM_LIMIT = 2.0
#: Maximum seconds that an answer waits for its record.
RECORD_WAIT = 0.25
#: Writes tried for one claim.
_MAX_TRIES = 4
_DIGEST_BYTES = 16


def digest_request(method: str, path: str, body: bytes) -> str:
    """Digest the parts in which two requests under one key must agree."""
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
        """Store claims in the platform's table."""
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
        """Claim a key, or return the outcome of an earlier claim.

        Parameters
        ----------
        workspace, key
            Together the key of the row.
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
        new_claim = ClaimRecord(
            token=uuid.uuid4().hex,
            owner=self._identity.owner,
            request_digest=request_digest,
            state=ClaimState.OPEN,
            answer_due=time.time() + deadline - monotonic(),
        )
        limit = min(deadline, monotonic() + CLAIM_LIMIT)
        pending = PendingClaim(f'{workspace}/{key}', new_claim)
        outcome = await self._insert(pending, limit)
        self._count(outcome)
        return outcome

    async def record(
        self,
        claim: Claim,
        answer: RecordedAnswer,
        deadline: float,
    ) -> None:
        """Record that the work ran, with its answer.

        Waits briefly, so that a caller that has the answer usually finds it
        recorded, too.  A slow store does not hold back the answer; the write
        then continues in the background.
        """
        if answer.body is not None and len(answer.body) > MAX_RECORDED_BYTES:
            answer = attrs.evolve(answer, body=None)
        settling = self._settlements.settle(claim, ClaimState.DONE, answer)
        wait = min(RECORD_WAIT, max(0, deadline - monotonic()))
        await asyncio.wait([settling], timeout=wait)

    def record_without_answer(self, claim: Claim) -> None:
        """Record in the background that the work ran, without an answer."""
        no_answer = RecordedAnswer(status=0, headers=[], body=None)
        self._settlements.settle(claim, ClaimState.DONE, no_answer)

    def record_unknown(self, claim: Claim) -> None:
        """Record in the background that the work may or may not have run."""
        self._settlements.settle(claim, ClaimState.UNKNOWN)

    def release(self, claim: Claim) -> None:
        """Release a key in the background.

        Only the holder may do so, and only when it knows that it did not
        dispatch and never will.
        """
        self._settlements.settle(claim, ClaimState.FREE)

    async def finish(self, timeout: float) -> int:
        """Wait until all outcomes are written, at most some seconds.

        Returns
        -------
        int
            Claims left open; later callers get them as unknown.
        """
        return await self._settlements.finish(timeout)

    # Claiming

    async def _insert(self, pending: PendingClaim, limit: float) -> Acquired:
        for _ in range(_MAX_TRIES):
            acquired = await self._try_insert(pending, limit)
            if acquired is not None:
                return acquired
        return self._refuse(pending)

    async def _try_insert(
        self,
        pending: PendingClaim,
        limit: float,
    ) -> Acquired | None:
        """Write the claim once; ``None`` means that a retry is needed."""
        written = await self._writes.write(pending.write(), limit)
        if isinstance(written, Success):
            return Success(
                Claim(pending.key, pending.record, pending.expect + 1),
            )
        pending.error = written.failure()
        match pending.error.kind:
            case StoreErrorKind.CONFLICT:
                return await self._resolve_conflict(pending, limit)
            case StoreErrorKind.UNKNOWN:
                # The row may exist, or appear later.  Writing the same row
                # again shows which: it conflicts with the first write, or
                # makes the first write conflict with it.
                pending.is_uncertain = True
                return None
        return self._refuse(pending)

    async def _resolve_conflict(
        self,
        pending: PendingClaim,
        limit: float,
    ) -> Acquired | None:
        """Read the row in conflict; ``None`` if its key is free again."""
        found = await read_row(self._platform, pending.key, limit)
        if isinstance(found, Failure):
            pending.error = found.failure()
            return self._refuse(pending)
        row = found.unwrap()
        current = decode_row(row)
        if current.state is ClaimState.FREE:
            pending.expect = row.version
            return None
        return evaluate_row(row, current, pending.record)

    def _refuse(self, pending: PendingClaim) -> Acquired:
        if pending.is_uncertain:
            self._settlements.release_abandoned(pending)
        silent = self._writes.silent_seconds
        return Failure(refuse_unrecorded(pending.error, silent))

    # Counting

    def _count(self, outcome: Acquired) -> None:
        if isinstance(outcome, Failure):
            label = str(outcome.failure().code)
        else:
            held = isinstance(outcome.unwrap(), Claim)
            label = 'claimed' if held else 'repeated'
        self._counters.claims.inc({'outcome': label})
