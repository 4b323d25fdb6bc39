"""Confirming what is in force here before a caller hears a final no.

An instance adopts an accepted file up to seconds after the store has it.  Until
then it would tell a valid key that no workspace has it, which a client takes
for final.  The store is therefore read before that is said, once for all who
ask at the same time.
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
#: Seconds from one reading to the next: wrong keys cost their senders nothing,
#: and must not become as many readings of the store.
_READ_GAP = 0.5
#: Seconds that a call waits for a reading, if its deadline leaves as many.
_WAIT_LIMIT = 2.0
#: Seconds after which a caller should come back.
_RETRY_AFTER = 1.0


class Confirmation:
    """Makes sure that a final no is that of the newest configuration."""

    def __init__(
        self,
        holder: SnapshotHolder,
        follower: ConfigurationFollower,
    ) -> None:
        """Read the store by the follower, which adopts what it reads."""
        self._holder = holder
        self._follower = follower
        self._reading: asyncio.Task[bool] | None = None
        self._next_at = float('-inf')

    async def ask(
        self,
        question: Callable[[Snapshot], Result[T, Refusal]],
        snapshot: Snapshot,
        arrived: float,
        deadline: float,
    ) -> Result[T, Refusal]:
        """Ask a snapshot, and before a final no what the store has by now.

        Parameters
        ----------
        question
            Finds something in a snapshot, or refuses.
        snapshot
            The snapshot to ask first.
        arrived
            Monotonic time, in seconds, at which the call came.  A reading that
            began later has all that was accepted before.
        deadline
            Monotonic time, in seconds, of the caller's deadline.

        Returns
        -------
        Result
            What was found, or the question's own refusal; ``NOT_READY`` in
            place of a final one that could not be confirmed.
        """
        answer = question(snapshot)
        if not _is_final(answer):
            return answer
        confirmed = await self._confirm(arrived, deadline)
        answer = question(self._holder.current)
        is_newest = confirmed and not self._holder.current.pending
        if _is_final(answer) and not is_newest:
            return Failure(_refuse_unconfirmed())
        return answer

    async def _confirm(self, since: float, deadline: float) -> bool:
        """Tell whether the store was read since a moment; read it if not."""
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
        """Wait for the reading under way, or begin one."""
        if self._reading is None or self._reading.done():
            self._reading = asyncio.create_task(self._read())
        return await asyncio.shield(self._reading)

    async def _read(self) -> bool:
        await asyncio.sleep(self._next_at - monotonic())
        self._next_at = monotonic() + _READ_GAP
        caught_up = await self._follower.catch_up()
        return not isinstance(caught_up, Failure)


def _refuse_unconfirmed() -> Refusal:
    return Refusal(
        RefusalCode.NOT_READY,
        'not known here; whether it was accepted lately could not be found out',
        Step.CONFIGURE,
        retry_after=_RETRY_AFTER,
    )


def _is_final(answer: Result[object, Refusal]) -> bool:
    return isinstance(answer, Failure) and answer.failure().code in _FINAL_CODES
