"""Background writes of the outcomes of claims.

They are retried until the platform has them or the process exits.  A claim
whose outcome is not written by then stays open, and later callers are told
that its outcome is unknown.
"""

import asyncio
import time
from collections.abc import Awaitable, Callable, Coroutine

import attrs
from returns.result import Failure, Success

from ..protocol.platform import PlatformClient
from ..protocol.store import StoreErrorKind, Write
from ..state import invariants
from ..state.claims import ClaimState, RecordedAnswer
from ..state.counters import Counters
from ..transport.deadlines import monotonic
from .claimrows import PendingClaim, build_write, is_open_row, read_row
from .grouping import WRITE_TIMEOUT, GroupedWrites
from .verdicts import Claim

__all__ = ['Settlements']

#: Bounds of the seconds between two tries; they double from one to the next.
_MIN_RETRY_PAUSE = 0.1
_MAX_RETRY_PAUSE = 2.0


class Settlements:
    """Outcomes of this process's claims that are being written."""

    def __init__(
        self,
        platform: PlatformClient,
        writes: GroupedWrites,
        counters: Counters,
    ) -> None:
        """Write in groups that are shared with the process's new claims."""
        self._platform = platform
        self._writes = writes
        self._counters = counters
        self._tasks: set[asyncio.Task[None]] = set()

    def settle(
        self,
        claim: Claim,
        state: ClaimState,
        answer: RecordedAnswer | None = None,
    ) -> asyncio.Task[None]:
        """Start to write the outcome of a claim; allowed once per claim."""
        invariants.check(not claim.settled, 'claim-settled-once', claim.key)
        record = attrs.evolve(
            claim.record,
            state=state,
            answer=answer,
            settled_at=time.time(),
        )
        write = build_write(claim.key, record, claim.version)
        claim.settled = True
        return self._start(self._overwrite(write, state))

    def release_abandoned(self, pending: PendingClaim) -> None:
        """Start to release the key of a claim that was given up."""
        self._start(self._release_abandoned(pending))

    async def finish(self, timeout: float) -> int:
        """Wait until all outcomes are written, at most some seconds.

        Returns
        -------
        int
            Claims left open; later callers get them as unknown.
        """
        if self._tasks:
            await asyncio.wait(set(self._tasks), timeout=timeout)
        return len(self._tasks)

    def _start(
        self,
        work: Coroutine[None, None, None],
    ) -> asyncio.Task[None]:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        self._count_unsettled()
        task.add_done_callback(self._drop)
        return task

    def _drop(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        self._count_unsettled()

    def _count_unsettled(self) -> None:
        self._counters.claims_unsettled.set({}, len(self._tasks))

    async def _overwrite(self, write: Write, state: ClaimState) -> None:
        """Write an outcome until the platform has it.

        The caller has its answer already.  Giving up would leave the key in
        progress forever although the outcome is known here.  Only the holder
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

    async def _release_abandoned(self, pending: PendingClaim) -> None:
        """Release a key after its claim was given up.

        The caller was told that nothing ran, and this process will not
        dispatch.  The row may exist, or arrive later, and would then leave the
        key in progress forever.  A free row at the version that the claim
        expected makes a late arrival conflict.
        """
        free = attrs.evolve(
            pending.record,
            state=ClaimState.FREE,
            settled_at=time.time(),
        )

        async def try_once() -> bool:
            write = build_write(pending.key, free, pending.expect)
            written = await self._writes.write(write, _background_limit())
            if isinstance(written, Success):
                return True
            if written.failure().kind is not StoreErrorKind.CONFLICT:
                return False
            found = await read_row(
                self._platform,
                pending.key,
                _background_limit(),
            )
            row = found.value_or(None)
            if row is None:
                return False
            pending.expect = row.version
            return not is_open_row(row, pending.record)

        await _repeat(try_once)
        self._counters.claims.inc({'outcome': 'taken_back'})


async def _repeat(try_once: Callable[[], Awaitable[bool]]) -> None:
    """Call ``try_once`` with growing pauses until it returns true."""
    pause = _MIN_RETRY_PAUSE
    while not await try_once():
        await asyncio.sleep(pause)
        pause = min(2 * pause, _MAX_RETRY_PAUSE)


def _background_limit() -> float:
    """Return the deadline of one try of a background write."""
    return monotonic() + 2 * WRITE_TIMEOUT
