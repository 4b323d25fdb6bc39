"""Group commit: one transaction of the platform for many rows.

A row that arrives alone is written at once, also while transactions with other
rows are in flight.  Rows that arrive shortly after several have begun, or while
as many as allowed are in flight, wait and share the next one.
"""

import asyncio
from collections.abc import Iterable

import attrs
from returns.result import Failure, Result

from ..protocol.platform import PlatformClient
from ..protocol.store import StoreError, StoreErrorKind, Write
from ..state import invariants
from ..transport.deadlines import monotonic, within

__all__ = ['GroupedWrites', 'Outcome']

#: Minimum seconds between the starts of two transactions of one process, on
#: average.
GROUP_PERIOD = 0.02
#: Transactions that may start without a wait after an idle time.
GROUP_BURST = 4
#: Transactions in flight at the same time at most.
MAX_TRANSACTIONS = 4
#: Maximum rows of one transaction.
MAX_ROWS = 100
#: Seconds that a transaction may take.
WRITE_TIMEOUT = 2.0
#: Seconds without any answer after which the platform counts as down; then only
#: one transaction at a time is tried.
SILENT_AFTER = 1.0
_OPERATION = 'transact'

Outcome = Result[None, StoreError]


@attrs.define(eq=False)
class _Waiting:
    """A row that waits to be written or is in flight."""

    write: Write
    outcome: asyncio.Future[Outcome]
    sent: bool = False


class GroupedWrites:
    """Conditional writes of single rows, committed in groups.

    The writes of a group succeed or fail individually: when some rows conflict,
    the platform refuses the whole transaction, and the other rows are sent
    again without them.
    """

    def __init__(self, platform: PlatformClient) -> None:
        """Write to the platform's tables."""
        self._platform = platform
        self._waiting: list[_Waiting] = []
        self._runner: asyncio.Task[None] | None = None
        #: Transactions in flight, with the keys of their rows.
        self._in_flight: dict[asyncio.Task[None], frozenset[str]] = {}
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
        if self.silent_seconds > SILENT_AFTER and self._in_flight:
            # The platform does not answer, and one transaction is already
            # checking whether it has recovered.  More of them would only make
            # each caller wait in vain.
            return Failure(_fail_unsent('the platform does not answer'))
        waiting = _Waiting(write, asyncio.get_running_loop().create_future())
        self._waiting.append(waiting)
        if self._runner is None or self._runner.done():
            self._runner = asyncio.create_task(self._run())
        return await self._wait(waiting, deadline)

    async def _wait(self, waiting: _Waiting, deadline: float) -> Outcome:
        try:
            async with within(deadline):
                return await waiting.outcome
        except asyncio.TimeoutError:
            if waiting.sent:
                return Failure(_fail_unknown())
            return Failure(_fail_unsent('no transaction could include the row'))
        finally:
            # A writer that gave up before the row was sent has reported it as
            # not written, so it must not be sent afterwards.
            if not waiting.sent:
                self._waiting.remove(waiting)

    async def _run(self) -> None:
        while self._waiting:
            await self._await_slot()
            await self._pace()
            busy = frozenset().union(*self._in_flight.values())
            group = _take_group(self._waiting, busy)
            if group:
                self._start(group)
            else:
                await self._await_end()

    async def _await_slot(self) -> None:
        """Wait until another transaction may be in flight."""
        while len(self._in_flight) >= self._limit_transactions():
            await self._await_end()

    async def _await_end(self) -> None:
        """Wait until one of the transactions in flight has ended."""
        if self._in_flight:
            await asyncio.wait(
                self._in_flight, return_when=asyncio.FIRST_COMPLETED
            )

    def _limit_transactions(self) -> int:
        return 1 if self.silent_seconds > SILENT_AFTER else MAX_TRANSACTIONS

    def _start(self, group: list[_Waiting]) -> None:
        task = asyncio.create_task(self._commit(group))
        self._in_flight[task] = frozenset(row.write.key for row in group)
        task.add_done_callback(self._in_flight.pop)

    async def _pace(self) -> None:
        """Wait until the next transaction may start.

        At a low rate that is at once; at a high one rows accumulate meanwhile.
        """
        now = monotonic()
        due = max(self._due, now - GROUP_BURST * GROUP_PERIOD)
        self._due = due + GROUP_PERIOD
        await asyncio.sleep(due - now)

    async def _commit(self, group: list[_Waiting]) -> None:
        """Write a group; after conflicts, retry without conflicting rows."""
        while group:
            if self._silent_since is None:
                self._silent_since = monotonic()
            answered = await self._platform.transact(
                [waiting.write for waiting in group],
                WRITE_TIMEOUT,
            )
            if not _has_no_answer(answered):
                self._record_answer()
            refused = _list_conflicts(answered)
            # If the platform names no row of the group as conflicting, all are
            # refused; each writer then reads its own row.
            decided = [
                waiting for waiting in group if waiting.write.key in refused
            ] or group
            _settle(decided, answered)
            group = [waiting for waiting in group if waiting not in decided]

    def _record_answer(self) -> None:
        """Record that the platform answers, perhaps not yet to all."""
        others_wait = len(self._in_flight) > 1
        self._silent_since = monotonic() if others_wait else None


def _take_group(
    waiting: list[_Waiting], busy: frozenset[str]
) -> list[_Waiting]:
    """Remove the rows for one transaction from those that wait, in order.

    Those of the keys ``busy``, which others in flight write, are left waiting.

    The platform checks the conditions of a transaction before it writes any
    row.  Two claims on one key would both find it absent, both succeed and
    both dispatch; so a key is written at most once in a group.
    """
    group: dict[str, _Waiting] = {}
    for candidate in list(waiting):
        if len(group) == MAX_ROWS:
            break
        if candidate.write.key not in group.keys() | busy:
            group[candidate.write.key] = candidate
            candidate.sent = True
            waiting.remove(candidate)
    keys = [taken.write.key for taken in group.values()]
    invariants.check(len(set(keys)) == len(keys), 'one-write-a-key', str(keys))
    return list(group.values())


def _has_no_answer(answered: Outcome) -> bool:
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
        if not waiting.outcome.done():
            waiting.outcome.set_result(answered)


def _fail_unsent(message: str) -> StoreError:
    return StoreError(StoreErrorKind.UNAVAILABLE, _OPERATION, '', message)


def _fail_unknown() -> StoreError:
    return StoreError(
        StoreErrorKind.UNKNOWN,
        _OPERATION,
        '',
        'no answer in time',
    )
