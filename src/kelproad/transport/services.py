"""Base class of the services that run inside an instance, and their tasks."""

import functools
import logging
from collections.abc import Awaitable, Callable
from typing import TypeVar

import attrs
from mode import Service
from mode.services import ServiceTask

from ..state.records import EVENT_FIELDS
from .deadlines import monotonic

__all__ = ['BackgroundService', 'restarted_task']

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

    def list_failing_tasks(self) -> list[str]:
        """List the tasks that fail each time they begin anew."""
        now = monotonic()
        return [
            name
            for name, failures in self._task_failures.items()
            if failures.count >= _MAX_FAILURES and not failures.is_over(now)
        ]

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
        name = f'{type(self).__name__}.{task}'
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


_Owner = TypeVar('_Owner', bound=BackgroundService)


def restarted_task(run: Callable[[_Owner], Awaitable[None]]) -> ServiceTask:
    """Make a method a task of its service that begins anew after an error.

    An error that nobody expected would otherwise end all tasks of the process,
    which would go on serving by what it knew then.
    """

    @functools.wraps(run)
    async def keep_running(service: _Owner) -> None:  # noqa: WPS430  closure
        while not service.should_stop:
            try:
                return await run(service)
            except Exception:
                delay = service.record_task_failure(run.__name__)
            await service.sleep(delay)

    return Service.task(keep_running)
