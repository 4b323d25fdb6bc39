"""Base class of the services that run inside an instance, and their tasks.

Errors of detached tasks and of callbacks, which the event loop would only
print, are recorded like those of its tasks.
"""

import asyncio
import functools
import logging
from collections.abc import Awaitable, Callable, Mapping
from typing import TypeVar

import attrs
from mode import Service
from mode.services import ServiceTask

from ..state.records import EVENT_FIELDS
from .deadlines import monotonic

__all__ = [
    'BackgroundService',
    'record_unhandled_errors',
    'restarted_task',
]

_logger = logging.getLogger(__name__)
#: Seconds until a task that failed begins anew, doubled for each failure in a
#: row up to the maximum.
_MIN_RESTART_DELAY = 0.1
_MAX_RESTART_DELAY = 2.0
_MAX_DOUBLINGS = 8
#: Seconds without a failure after which earlier ones count no more.
_SOUND_SECONDS = 10.0
#: Failures in a row from which on a task counts as failing.
_MAX_FAILURES = 3
#: Seconds without a turn after which a task that tells its turns counts as
#: failing: several times what any of its waits may take.
_MAX_TURN_SECONDS = 10.0
#: What an event loop may say of the origin of an error, in this order.
_ORIGINS = ('task', 'future', 'handle', 'transport', 'protocol')
#: Characters of an origin that are logged.
_MAX_SHOWN = 200


@attrs.define
class _TaskFailures:
    """Failures in a row of one task, and the monotonic time of the last."""

    count: int = 0
    failed_at: float = float('-inf')

    def add(self, now: float) -> None:
        """Count a failure."""
        self.count = 1 if self.is_over(now) else self.count + 1
        self.failed_at = now

    def is_over(self, now: float) -> bool:
        """Return whether the task has run long enough since."""
        return now - self.failed_at > _SOUND_SECONDS

    def choose_delay(self) -> float:
        """Choose the seconds until the task begins anew."""
        doublings = min(self.count - 1, _MAX_DOUBLINGS)
        return min(_MIN_RESTART_DELAY * 2**doublings, _MAX_RESTART_DELAY)


def _ignore_failure(_task: str) -> None:
    """Do nothing when a task has failed."""


class BackgroundService(Service):
    """A service that logs its start and stop at level DEBUG only.

    Attributes
    ----------
    on_task_failed
        Called with the name of a task that an error has ended, or of the
        handling of datagrams after an error.
    """

    abstract = True
    mundane_level = 'debug'

    def __post_init__(self) -> None:
        """Start without failures."""
        super().__post_init__()
        self.on_task_failed: Callable[[str], None] = _ignore_failure
        self._task_failures: dict[str, _TaskFailures] = {}
        #: Monotonic time of the last turn of each task that tells them.
        self._turns: dict[str, float] = {}

    def mark_turn(self, task: str) -> None:
        """Record that a task goes on."""
        self._turns[self._name_task(task)] = monotonic()

    def list_failing_tasks(self) -> list[str]:
        """List the tasks that fail each time they begin anew, or hang."""
        now = monotonic()
        failing = {
            name
            for name, failures in self._task_failures.items()
            if failures.count >= _MAX_FAILURES and not failures.is_over(now)
        }
        hanging = {
            name
            for name, turned_at in self._turns.items()
            if now - turned_at > _MAX_TURN_SECONDS
        }
        return sorted(failing | hanging)

    def count_datagram_failure(self) -> None:
        """Count an error in the handling of a datagram."""
        self.on_task_failed(f'{type(self).__name__}.receive')

    def record_task_failure(self, task: str) -> float:
        """Record the error that ended a task, while it is handled.

        Returns
        -------
        float
            Seconds until the task is to begin anew.
        """
        name = self._name_task(task)
        failures = self._task_failures.setdefault(name, _TaskFailures())
        failures.add(monotonic())
        delay = failures.choose_delay()
        _logger.exception(
            'task_failed',
            extra={
                EVENT_FIELDS: {
                    'task': name,
                    'failures': failures.count,
                    'delay': delay,
                }
            },
        )
        self.on_task_failed(name)
        return delay

    def _name_task(self, task: str) -> str:
        return f'{type(self).__name__}.{task}'


_Owner = TypeVar('_Owner', bound=BackgroundService)


def restarted_task(run: Callable[[_Owner], Awaitable[None]]) -> ServiceTask:
    """Make a method a task of its service that begins anew after an error.

    An error that nobody expected would otherwise end all tasks of the process,
    which would go on serving by what it knew then.  So does a cancellation of
    something that it awaits: only its own ends it.
    """

    @functools.wraps(run)
    async def keep_running(service: _Owner) -> None:  # noqa: WPS430  closure
        while not service.should_stop:
            try:
                return await run(service)
            except asyncio.CancelledError:
                if _is_cancelled():
                    raise
                delay = service.record_task_failure(run.__name__)
            except Exception:
                delay = service.record_task_failure(run.__name__)
            await service.sleep(delay)

    return Service.task(keep_running)


def _is_cancelled() -> bool:
    """Return whether the running task itself is to end."""
    task = asyncio.current_task()
    return task is not None and bool(task.cancelling())


def record_unhandled_errors(count: Callable[[str], None]) -> None:
    """Record the errors that the running event loop is told, and count them.

    ``count`` gets what the name of the failed part is, as far as it is known.
    """

    def handle(  # noqa: WPS430  closure
        _loop: asyncio.AbstractEventLoop, context: Mapping[str, object]
    ) -> None:
        origin = _find_origin(context)
        error = context.get('exception')
        _logger.error(
            'error_unhandled',
            extra={
                EVENT_FIELDS: {
                    'origin': _name_origin(origin),
                    'reason': context.get('message'),
                    'where': repr(origin)[:_MAX_SHOWN],
                }
            },
            exc_info=error if isinstance(error, Exception) else None,
        )
        count(_name_origin(origin))

    asyncio.get_running_loop().set_exception_handler(handle)


def _find_origin(context: Mapping[str, object]) -> object:
    found = (context.get(name) for name in _ORIGINS)
    return next((origin for origin in found if origin is not None), None)


def _name_origin(origin: object) -> str:
    """Name a part by its code, which bounds the number of names."""
    if isinstance(origin, asyncio.Task):
        return getattr(origin.get_coro(), '__qualname__', 'task')
    return type(origin).__name__
