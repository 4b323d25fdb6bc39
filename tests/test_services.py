"""Tasks of services that errors end."""

import asyncio
import pathlib

import pytest

import kelproad
from kelproad.transport import services
from kelproad.transport.services import BackgroundService, restarted_task

#: More failures than a number of type float can be doubled.
MANY_FAILURES = 2000
SOURCE = pathlib.Path(kelproad.__file__).parent


class Worker(BackgroundService):
    """A service, one of whose tasks fails some times."""

    abstract = False

    def __init__(self, failures: int) -> None:
        """Fail ``failures`` times."""
        super().__init__()
        self.failures = failures
        self.recovered = asyncio.Event()
        self.others = 0

    @restarted_task
    async def _work(self) -> None:
        if self.failures:
            self.failures -= 1
            raise ArithmeticError
        self.recovered.set()
        await asyncio.sleep(1)

    @restarted_task
    async def _go_on(self) -> None:
        while not self.should_stop:
            self.others += 1
            await asyncio.sleep(0)


@pytest.fixture(autouse=True)
def restart_at_once(monkeypatch: pytest.MonkeyPatch) -> None:
    """Let tasks begin anew without a delay."""
    monkeypatch.setattr(services, '_MAX_RESTART_DELAY', 0.001)


@pytest.mark.parametrize(
    ('failures', 'failing'), [(1, []), (4, ['Worker._work'])]
)
async def test_a_task_that_failed_begins_anew(
    failures: int, failing: list[str]
) -> None:
    """Guards against an error that ends all tasks, while the process serves."""
    worker = Worker(failures)
    told: list[str] = []
    worker.on_task_failed = told.append
    await worker.start()
    async with asyncio.timeout(5):
        await worker.recovered.wait()
    before = worker.others
    await asyncio.sleep(0.01)
    assert worker.others > before
    assert not worker.crashed
    assert len(told) == failures
    assert worker.list_failing_tasks() == failing
    await worker.stop()


class Cancelled(Worker):
    """A service whose task awaits what somebody else cancelled."""

    abstract = False

    @restarted_task
    async def _work(self) -> None:
        if self.failures:
            self.failures -= 1
            other = asyncio.get_running_loop().create_future()
            other.cancel()
            await other
        self.recovered.set()
        await asyncio.sleep(60)


async def test_a_task_that_nobody_cancelled_begins_anew() -> None:
    """Guards against a task that ends without a line by another one's end."""
    worker = Cancelled(2)
    told: list[str] = []
    worker.on_task_failed = told.append
    await worker.start()
    async with asyncio.timeout(5):
        await worker.recovered.wait()
    assert len(told) == 2
    async with asyncio.timeout(2):
        await worker.stop()
    assert len(told) == 2


async def test_a_task_that_takes_no_turn_counts_as_failing(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a task that hangs while nothing shows it."""
    now = 100.0
    monkeypatch.setattr(services, 'monotonic', lambda: now)
    worker = Worker(0)
    assert worker.list_failing_tasks() == []
    worker.mark_turn('_work')
    now += 9
    assert worker.list_failing_tasks() == []
    now += 2
    assert worker.list_failing_tasks() == ['Worker._work']
    worker.mark_turn('_work')
    assert worker.list_failing_tasks() == []


async def test_a_task_that_fails_for_hours_begins_anew() -> None:
    """Guards against a delay that can't be computed after many failures."""
    worker = Worker(0)
    for _ in range(MANY_FAILURES):
        delay = worker.record_task_failure('_work')
    assert delay == services._MAX_RESTART_DELAY


def test_every_task_begins_anew() -> None:
    """Guards against tasks that end for good without a sign."""
    found = [
        str(path.relative_to(SOURCE))
        for path in sorted(SOURCE.rglob('*.py'))
        if 'Service.task' in path.read_text()
    ]
    assert found == ['transport/services.py']
