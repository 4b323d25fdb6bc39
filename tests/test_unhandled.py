"""Errors in tasks and callbacks that nobody awaits."""

import asyncio
import gc
from collections.abc import Callable, Iterator

import pytest

from kelproad.state.records import EVENT_FIELDS
from kelproad.transport.services import record_unhandled_errors


async def fail() -> None:
    """Fail as an error of this program would."""
    raise KeyError('odd')


def fail_at_once() -> None:
    """Fail in a callback."""
    raise KeyError('odd')


@pytest.fixture
async def counted() -> Iterator[list[str]]:
    """Return the origins of the errors that are counted."""
    origins: list[str] = []
    loop = asyncio.get_running_loop()
    before = loop.get_exception_handler()
    record_unhandled_errors(origins.append)
    yield origins
    loop.set_exception_handler(before)


@pytest.mark.parametrize(
    ('begin', 'origin'),
    [
        (lambda: asyncio.create_task(fail()), 'fail'),
        (lambda: asyncio.get_running_loop().call_soon(fail_at_once), 'Handle'),
        (
            lambda: asyncio.get_running_loop().call_later(0.01, fail_at_once),
            'TimerHandle',
        ),
    ],
)
async def test_an_error_that_nobody_awaits_is_told_and_counted(
    begin: Callable[[], object],
    origin: str,
    counted: list[str],
    caplog: pytest.LogCaptureFixture,
) -> None:
    """Guards against a detached task whose end nobody sees."""
    begin()
    await asyncio.sleep(0.05)
    gc.collect()
    assert counted == [origin]
    told = [line for line in caplog.records if line.name.startswith('kelproad')]
    assert [line.getMessage() for line in told] == ['error_unhandled']
    assert getattr(told[0], EVENT_FIELDS)['origin'] == origin
    assert told[0].exc_info[0] is KeyError
