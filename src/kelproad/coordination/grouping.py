"""Writing rows in groups: one transaction of the platform for many rows.

A row that comes alone is written at once.  Rows that come while a transaction
is on its way, or after many have just begun, wait and share the next one.
"""

import asyncio
from collections.abc import Iterable

import attrs
from returns.result import Failure, Result

from ..protocol.platform import PlatformClient
from ..protocol.store import StoreError, StoreErrorKind, Write
from ..state import invariants
from ..transport.deadlines import monotonic, within

__all__ = ['GroupedWrites']

#: Seconds between the beginnings of two transactions of one process, on the
#: average.
GROUP_PERIOD = 0.02
#: Transactions that may begin without a pause after a quiet time.
GROUP_BURST = 4
#: Most rows of one transaction.
MAX_ROWS = 100
#: Seconds that a transaction may take.
WRITE_TIMEOUT = 2.0
#: Seconds without any answer after which the platform is taken to be silent.
SILENT_AFTER = 1.0
_OPERATION = 'transact'

Outcome = Result[None, StoreError]


@attrs.define(eq=False)
class _Waiting:
    """A row that waits to be written, or is on its way."""

    write: Write
    settled: asyncio.Future[Outcome]
    sent: bool = False


class GroupedWrites:
    """Conditional writes of single rows, committed in groups.

    The writes of a group succeed or fail each by itself: a conflict on some
    rows makes the platform refuse the whole transaction, and the others are
    then sent again without them.
    """

    def __init__(self, platform: PlatformClient) -> None:
        """Write to the platform's tables."""
        self._platform = platform
        self._waiting: list[_Waiting] = []
        self._runner: asyncio.Task[None] | None = None
        self._due = float('-inf')
        self._silent_since: float | None = None

    @property
    def silent_seconds(self) -> float:
        """Seconds for which the platform has left writes unanswered."""
        if self._silent_since is None:
            return 0
        return monotonic() - self._silent_since

    async def write(self, write: Write, deadline: float) -> Outcome:
        """Write one row, by a deadline on the monotonic clock.

        Returns
        -------
        Result
            ``UNAVAILABLE`` when the row was certainly not written and never
            will be, ``UNKNOWN`` when it may have been or may yet be.
        """
        if self.silent_seconds > SILENT_AFTER and self._is_running():
            # The platform does not answer and one transaction is already
            # finding out whether it does again.  More of them would make
            # each caller wait in vain.
            return Failure(_fail_unsent('the platform does not answer'))
        waiting = _Waiting(write, asyncio.get_running_loop().create_future())
        self._waiting.append(waiting)
        if not self._is_running():
            self._runner = asyncio.create_task(self._run())
        return await self._wait(waiting, deadline)

    async def _wait(self, waiting: _Waiting, deadline: float) -> Outcome:
        try:
            async with within(deadline):
                return await waiting.settled
        except asyncio.TimeoutError:
            if waiting.sent:
                return Failure(_fail_unknown())
            return Failure(_fail_unsent('no transaction could take the row'))
        finally:
            # Who gave up before the row was sent has said that it is not
            # written, so it must not be sent afterwards.
            if not waiting.sent:
                self._waiting.remove(waiting)

    def _is_running(self) -> bool:
        return self._runner is not None and not self._runner.done()

    async def _run(self) -> None:
        while self._waiting:
            await self._pace()
            group = _take_group(self._waiting)
            if group:
                await self._commit(group)

    async def _pace(self) -> None:
        """Wait until the next transaction may begin.

        At a low rate that is at once, at a high one rows gather meanwhile.
        """
        now = monotonic()
        due = max(self._due, now - GROUP_BURST * GROUP_PERIOD)
        self._due = due + GROUP_PERIOD
        await asyncio.sleep(due - now)

    async def _commit(self, group: list[_Waiting]) -> None:
        """Write a group; without the rows in conflict where there are some."""
        while group:
            if self._silent_since is None:
                self._silent_since = monotonic()
            answered = await self._platform.transact(
                [waiting.write for waiting in group],
                WRITE_TIMEOUT,
            )
            if not _is_unanswered(answered):
                self._silent_since = None
            refused = _list_conflicts(answered)
            # A platform that names no row of the group in conflict refuses
            # them all; each writer then reads its own row.
            decided = [
                waiting for waiting in group if waiting.write.key in refused
            ] or group
            _settle(decided, answered)
            group = [waiting for waiting in group if waiting not in decided]


def _take_group(waiting: list[_Waiting]) -> list[_Waiting]:
    """Take rows for one transaction out of those that wait, in order.

    The platform checks the conditions of a transaction before it writes any
    row.  Two claims on one key would both find it absent, both succeed and
    both dispatch; so a key is written at most once in a group.
    """
    group: dict[str, _Waiting] = {}
    for candidate in list(waiting):
        if len(group) == MAX_ROWS:
            break
        if candidate.write.key not in group:
            group[candidate.write.key] = candidate
            candidate.sent = True
            waiting.remove(candidate)
    keys = [taken.write.key for taken in group.values()]
    invariants.check(len(set(keys)) == len(keys), 'one-write-a-key', str(keys))
    return list(group.values())


def _is_unanswered(answered: Outcome) -> bool:
    return (
        isinstance(answered, Failure)
        and answered.failure().kind is StoreErrorKind.UNKNOWN
    )


def _list_conflicts(answered: Outcome) -> frozenset[str]:
    if isinstance(answered, Failure):
        return frozenset(answered.failure().conflicts)
    return frozenset()


def _settle(decided: Iterable[_Waiting], answered: Outcome) -> None:
    for waiting in decided:
        if not waiting.settled.done():
            waiting.settled.set_result(answered)


def _fail_unsent(message: str) -> StoreError:
    return StoreError(StoreErrorKind.UNAVAILABLE, _OPERATION, '', message)


def _fail_unknown() -> StoreError:
    return StoreError(
        StoreErrorKind.UNKNOWN,
        _OPERATION,
        '',
        'no answer in time',
    )
