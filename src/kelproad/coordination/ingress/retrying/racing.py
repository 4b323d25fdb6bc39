"""Attempts of one call that are open side by side: the first to go on wins."""

import asyncio
import logging
from collections.abc import Callable, Coroutine

import attrs
from aiohttp import web
from returns.result import Result

from ....state.calls import Call
from ....transport.deadlines import monotonic
from ..streams.answers import AttemptFailure
from ..streams.delivery import StreamDelivery
from ..streams.progress import Attempt, Progress

__all__ = ['AttemptRace', 'AttemptTask']

_logger = logging.getLogger(__name__)
#: Seconds between two looks at attempts that bring nothing.
_CHECK_PERIOD = 0.1

AttemptOutcome = Result[web.StreamResponse, AttemptFailure]
AttemptTask = asyncio.Task[AttemptOutcome]


@attrs.define
class AttemptRace:
    """One call while it is dispatched, with its open attempts.

    ``_run`` executes an attempt; ``_keep`` gets the race, the attempt that goes
    on after a silence, and those that are closed for it.

    Attributes
    ----------
    progress
        State over its attempts so far.
    delivery
        Forwards a stream to the caller.
    began_at
        Monotonic time at which its dispatch began.
    """

    call: Call
    delivery: StreamDelivery
    _run: Callable[[Attempt], Coroutine[None, None, AttemptOutcome]]
    _keep: Callable[['AttemptRace', Attempt, list[Attempt]], None]
    progress: Progress = attrs.field(factory=Progress)
    began_at: float = attrs.field(factory=monotonic)
    _tasks: dict[AttemptTask, Attempt] = attrs.field(factory=dict)
    #: Tasks of attempts that were closed, until they have ended.
    _closing: set[AttemptTask] = attrs.field(factory=set)

    @property
    def open_attempts(self) -> list[Attempt]:
        """The attempts that have not ended, in the order of their begin."""
        return list(self._tasks.values())

    def start(self, attempt: Attempt) -> None:
        """Begin an attempt, beside those that are open."""
        self.call.attempts += 1
        attempt.number = self.call.attempts
        attempt.take_lead = self._take_lead
        self.progress.begin()
        self._tasks[asyncio.create_task(self._run(attempt))] = attempt

    async def wait(self) -> tuple[Attempt, AttemptTask] | None:
        """Wait for the end of an attempt.

        Returns
        -------
        tuple or None
            The attempt and its task, which has ended; ``None`` when none has
            for a while, and something else could be tried beside it.
        """
        done, _ = await asyncio.wait(
            self._tasks,
            timeout=_CHECK_PERIOD if self.call.kind.repeatable else None,
            return_when=asyncio.FIRST_COMPLETED,
        )
        # Meanwhile one may have gone on, and others have been closed for it.
        ended = next((task for task in self._tasks if task in done), None)
        if ended is None:
            return None
        return self._tasks.pop(ended), ended

    async def wait_beside(self, search: Coroutine[None, None, None]) -> None:
        """Run a search for another attempt until it, or an attempt, ends."""
        searching = asyncio.create_task(search)
        try:
            await asyncio.wait(
                (searching, *self._tasks),
                return_when=asyncio.FIRST_COMPLETED,
            )
        finally:
            searching.cancel()
        await asyncio.wait((searching,))
        if not searching.cancelled() and searching.exception() is not None:
            # What is open must not end for it.
            _logger.error(
                'the search for another attempt failed',
                exc_info=searching.exception(),
            )

    async def close(self) -> None:
        """Close all attempts that are open, and wait until they have ended."""
        for task in self._tasks:
            task.cancel()
        if self._tasks:
            await asyncio.wait(self._tasks)

    def _take_lead(self, leader: Attempt) -> None:
        """Close the other attempts, as one goes on."""
        if len(self._tasks) == 1 and not leader.is_silent:
            return
        others = {
            task: attempt
            for task, attempt in self._tasks.items()
            if attempt is not leader
        }
        for task in others:
            self._tasks.pop(task)
            task.cancel()
            self._closing.add(task)
            task.add_done_callback(self._closing.discard)
        self._keep(self, leader, list(others.values()))
