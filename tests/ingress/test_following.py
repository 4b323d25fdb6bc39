"""Following a table: what counts as fresh, and what changes nothing."""

import asyncio
import random

import pytest
from returns.result import Failure, Result, Success

from kelproad.coordination.ingress import following as following_module
from kelproad.coordination.ingress.following import (
    PeerTable,
    TableFollower,
    TableSource,
)
from kelproad.coordination.ingress.tablestates import (
    StoredRow,
    StoreProblem,
    StoreProblemKind,
    TableState,
)


class Script:
    """Answers of a store, in order; the follower ends behind the last."""

    def __init__(self, *answers: Result[TableState, StoreProblem]) -> None:
        """Answer so."""
        self.answers = list(answers)
        self.asked: list[tuple[int | None, float]] = []
        self.follower: TableFollower | None = None
        self.adopted: list[TableState] = []
        self.told: list[TableState] = []
        self.turn = 0

    async def ask_peer(self, _version: int | None) -> TableState | None:
        """Answer as another instance would; without one, not at all."""
        return self.told.pop(0) if self.told else None

    async def read(self) -> Result[TableState, StoreProblem]:
        """Answer a reading of the whole table."""
        return self._next(None, 0)

    async def await_changes(
        self,
        version: int,
        patience: float,
    ) -> Result[TableState, StoreProblem]:
        """Answer a call that waits for changes."""
        return self._next(version, patience)

    def _next(
        self,
        version: int | None,
        patience: float,
    ) -> Result[TableState, StoreProblem]:
        self.asked.append((version, patience))
        answer = self.answers.pop(0)
        if not self.answers:
            self.follower._stopped.set()
        return answer


def create_follower(script: Script) -> TableFollower:
    """Create a follower of a script."""
    return TableFollower(
        TableSource('op', script.read, script.await_changes),
        script.adopted.append,
        0.8,
        0,
        random.Random(1),
        PeerTable(script.ask_peer, lambda: script.turn),
    )


async def follow(script: Script) -> TableFollower:
    """Follow a script to its end."""
    follower = create_follower(script)
    script.follower = follower
    await TableFollower._follow.fun(follower)
    return follower


def state(version: int, *names: str, whole: bool = False) -> object:
    """Build a sound answer."""
    rows = [StoredRow(name, b'{}', version) for name in names]
    return Success(TableState(version, rows, whole))


def fail(kind: StoreProblemKind) -> object:
    """Build a failure."""
    return Failure(StoreProblem(kind, 'as the test says'))


async def test_lost_history_is_read_whole() -> None:
    """The store forgot what changed; only all rows tell what holds."""
    script = Script(
        state(5, 'a', whole=True),
        fail(StoreProblemKind.HISTORY_LOST),
        state(9, 'b', whole=True),
    )
    await follow(script)
    assert [version for version, _ in script.asked] == [None, 5, None]
    assert script.adopted[-1].whole


async def test_after_a_failure_an_answer_is_wanted_at_once() -> None:
    """Waiting for a change would leave the age growing meanwhile."""
    script = Script(
        state(5, whole=True),
        fail(StoreProblemKind.UNREACHABLE),
        state(5),
        state(5),
    )
    follower = await follow(script)
    assert [patience for _, patience in script.asked] == [0, 0.8, 0, 0.8]
    assert not follower.failing


async def test_a_stale_answer_is_neither_taken_nor_fresh(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A reader that is behind answers with an older version.

    Its rows would undo newer ones, and it can't tell what holds now, so the
    table does not become fresher by it.
    """
    clock = iter(range(100, 200))
    monkeypatch.setattr(
        following_module,
        'read_boottime',
        lambda: next(clock),
    )
    script = Script(state(9, 'a', whole=True), state(7, 'b'))
    follower = await follow(script)
    assert len(script.adopted) == 1
    assert follower.confirmed_at == 100


async def test_a_suspended_machine_knows_that_it_is_behind(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A machine sleeps a minute, in which a key is taken away.

    The monotonic clock does not count that minute; by it the key would be
    trusted for seconds more, and would work where it must not.
    """
    monkeypatch.setattr(following_module, 'read_boottime', lambda: 100)
    follower = await follow(Script(state(9, whole=True)))
    monkeypatch.setattr(following_module, 'read_boottime', lambda: 160)
    assert follower.measure_age() == 60


@pytest.mark.parametrize(('turn', 'most'), [(0, 10), (10, 2)])
async def test_a_store_that_is_down_is_not_stormed(
    turn: float,
    most: int,
) -> None:
    """The store is down, and 64 instances ask it again and again.

    Those that tell others keep looking; the others of a zone, here 40, take
    turns, of which each has one in 5 s on average.
    """
    down = [fail(StoreProblemKind.UNREACHABLE) for _ in range(40)]
    script = Script(state(5, whole=True), *down)
    script.turn = turn
    follower = create_follower(script)
    following = asyncio.create_task(TableFollower._follow.fun(follower))
    await asyncio.sleep(1)
    for _ in range(5):
        follower._record_failure(
            StoreProblem(StoreProblemKind.UNREACHABLE, 'still')
        )
    before = len(script.asked)
    await asyncio.sleep(2)
    following.cancel()
    assert len(script.asked) - before <= most
