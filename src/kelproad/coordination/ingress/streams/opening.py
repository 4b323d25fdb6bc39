"""Waiting for the head of an answer while its engine responds."""

import asyncio
from collections.abc import Callable, Coroutine

from returns.result import Failure, Result

from ....protocol.connections import ConnectionProgress
from ....transport.deadlines import monotonic
from .answers import AttemptFailure, OpenAnswer, fail_unanswered

__all__ = ['abandon', 'await_head']

#: Seconds between two checks whether a silent engine still responds.
_CHECK_PERIOD = 0.1

_Opened = Result[OpenAnswer, AttemptFailure]


async def await_head(
    opening: Coroutine[None, None, _Opened],
    is_lost: Callable[[float], bool],
    progress: ConnectionProgress,
) -> _Opened:
    """Wait for the head of an answer, or until its engine is lost.

    Parameters
    ----------
    opening
        Sends the call and reads the head of its answer.
    is_lost
        Returns whether the engine is lost, given the seconds waited so far.
    progress
        Shows whether a connection was made; without one, nothing has run.
    """
    task = asyncio.create_task(opening)
    started_at = monotonic()
    try:
        while not (await asyncio.wait((task,), timeout=_CHECK_PERIOD))[0]:
            if is_lost(monotonic() - started_at):
                abandon(task)
                reason = 'the engine does not respond'
                return Failure(fail_unanswered(progress, reason))
    except asyncio.CancelledError:
        abandon(task)
        raise
    return task.result()


def abandon(task: asyncio.Task[_Opened]) -> None:
    """Stop waiting for an answer, and close it if it comes nevertheless."""
    task.cancel()
    task.add_done_callback(_close_unused)


def _close_unused(task: asyncio.Task[_Opened]) -> None:
    if task.cancelled() or task.exception():
        return
    opened = task.result()
    if not isinstance(opened, Failure):
        opened.unwrap().close()
