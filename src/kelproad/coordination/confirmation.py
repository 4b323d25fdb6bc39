"""Confirmation of the configuration in force before a final refusal.

An instance adopts an accepted file up to seconds after the store has it.  Until
then it would refuse a valid key as unknown, which a client takes as final.  The
store is therefore read before such a refusal, once for all callers that wait at
the same time.
"""

import asyncio
from collections.abc import Callable
from typing import TypeVar

from returns.result import Failure, Result

from ..state.configuration import Snapshot, SnapshotHolder
from ..state.refusals import Refusal, RefusalCode, Step
from ..transport.deadlines import monotonic, within
from .configuration import ConfigurationFollower

T = TypeVar('T')

__all__ = ['Confirmation']

#: Refusals that a newer configuration could turn into an answer.
_FINAL_CODES = frozenset(
    (
        RefusalCode.UNAUTHENTICATED,
        RefusalCode.FORBIDDEN,
        RefusalCode.NOT_FOUND,
    ),
)
#: Minimum seconds between two reads: calls with wrong keys cost their senders
#: nothing, and must not cause as many reads of the store.
_READ_INTERVAL = 0.5
#: Seconds that a call waits for a read, if its deadline leaves as many.
_WAIT_LIMIT = 2.0
#: Seconds after which a caller should retry.
_RETRY_AFTER = 1.0


class Confirmation:
    """Ensures that final refusals are based on the newest configuration."""

    def __init__(
        self,
        holder: SnapshotHolder,
        follower: ConfigurationFollower,
    ) -> None:
        """Read the store through the follower, which adopts what it reads."""
        self._holder = holder
        self._follower = follower
        self._read_task: asyncio.Task[bool] | None = None
        self._next_read_at = float('-inf')

    async def resolve(
        self,
        lookup: Callable[[Snapshot], Result[T, Refusal]],
        snapshot: Snapshot,
        arrived: float,
        deadline: float,
    ) -> Result[T, Refusal]:
        """Look up in a snapshot; repeat a final refusal on the newest one.

        Parameters
        ----------
        lookup
            Finds something in a snapshot, or refuses.
        snapshot
            The snapshot for the first lookup.
        arrived
            Monotonic time, in seconds, at which the call arrived.  A read that
            began later includes everything that was accepted before.
        deadline
            Monotonic time, in seconds, of the caller's deadline.

        Returns
        -------
        Result
            The result of the lookup or its own refusal; ``NOT_READY`` in place
            of a final refusal that could not be confirmed.
        """
        answer = lookup(snapshot)
        if not _is_final(answer):
            return answer
        confirmed = await self._confirm(arrived, deadline)
        answer = lookup(self._holder.current)
        is_newest = confirmed and not self._holder.current.pending
        if _is_final(answer) and not is_newest:
            return Failure(_refuse_unconfirmed())
        return answer

    async def _confirm(self, since: float, deadline: float) -> bool:
        """Return whether the store was read since a time; read it if not."""
        try:
            async with within(min(deadline, monotonic() + _WAIT_LIMIT)):
                return await self._read_since(since)
        except asyncio.TimeoutError:
            return False

    async def _read_since(self, since: float) -> bool:
        while self._follower.read_at < since:
            if not await self._read_shared():
                return False
        return True

    async def _read_shared(self) -> bool:
        """Wait for the read in progress, or start one."""
        if self._read_task is None or self._read_task.done():
            self._read_task = asyncio.create_task(self._read())
        return await asyncio.shield(self._read_task)

    async def _read(self) -> bool:
        await asyncio.sleep(self._next_read_at - monotonic())
        self._next_read_at = monotonic() + _READ_INTERVAL
        caught_up = await self._follower.catch_up()
        return not isinstance(caught_up, Failure)


def _refuse_unconfirmed() -> Refusal:
    return Refusal(
        RefusalCode.NOT_READY,
        'not known here; whether it was accepted recently is not confirmed',
        Step.CONFIGURE,
        retry_after=_RETRY_AFTER,
    )


def _is_final(answer: Result[object, Refusal]) -> bool:
    return isinstance(answer, Failure) and answer.failure().code in _FINAL_CODES
