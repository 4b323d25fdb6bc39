"""Queries to the store that are open at the same time."""

import asyncio
import math

import pytest
from returns.result import Failure, Result, Success

from kelproad.coordination.ingress.tables import openqueries
from kelproad.coordination.ingress.tables.openqueries import OpenQueries
from kelproad.coordination.ingress.tables.tablestates import (
    Revision,
    StoreProblem,
    StoreProblemKind,
    TableState,
)
from kelproad.transport.deadlines import monotonic

PATIENCE = 0.1
ANSWER = Success(TableState(Revision(1, 1), [], whole=False))
PROBLEM = Failure(StoreProblem(StoreProblemKind.UNREACHABLE, 'as told'))


@pytest.fixture(autouse=True)
def short_patience(monkeypatch: pytest.MonkeyPatch) -> None:
    """Let a test take tenths of a second."""
    monkeypatch.setattr(openqueries, '_PATIENCE', PATIENCE)


async def answer(
    seconds: float, outcome: Result[TableState, StoreProblem] = ANSWER
) -> Result[TableState, StoreProblem]:
    """Answer a query after some seconds."""
    await asyncio.sleep(seconds)
    return outcome


def open_queries(received_at: float = -math.inf) -> OpenQueries:
    """Open no query; bytes of an answer arrived last at a time."""
    return OpenQueries(lambda: received_at)


async def test_another_query_is_sent_beside_one_without_an_answer() -> None:
    """Guards against a slow store that counts as one that is away."""
    queries = open_queries()
    queries.send(answer(0.25), 1, 0)
    assert await queries.take(queries.measure_until_next()) is None
    assert not queries.measure_until_next()
    queries.send(answer(0.25), 2, 0)
    first = await queries.take(1)
    assert first is not None
    second = await queries.take(1)
    assert second is not None
    assert (first.sent_at, second.sent_at) == (1, 2)


async def test_an_answer_ends_the_queries_before_its_own() -> None:
    """Guards against an older answer that follows a newer one."""
    queries = open_queries()
    queries.send(answer(0.05), 1, 0)
    queries.send(answer(0), 2, 0)
    taken = await queries.take(1)
    assert taken is not None
    assert taken.sent_at == 2
    assert not len(queries)


async def test_a_failure_ends_no_query_that_may_be_answered() -> None:
    """Guards against a refusal that hides an answer."""
    queries = open_queries()
    queries.send(answer(0.05), 1, 0)
    queries.send(answer(0, PROBLEM), 2, 0)
    refused = await queries.take(1)
    assert refused is not None
    assert refused.outcome == PROBLEM
    answered = await queries.take(1)
    assert answered is not None
    assert answered.outcome == ANSWER


async def test_no_query_is_sent_beside_an_answer_that_arrives() -> None:
    """Guards against large answers that share a slow way."""
    queries = open_queries(monotonic() + 5)
    queries.send(answer(1), 1, 0)
    await asyncio.sleep(2 * PATIENCE)
    assert queries.measure_until_next() > 1
    assert not queries.is_overdue
    queries.discard()


async def test_a_slow_store_is_not_lost_with_each_answer() -> None:
    """Guards against a store that is lost and regained every second."""
    queries = open_queries()
    queries.send(answer(0.3), 1, 0)
    await queries.take(1)
    queries.send(answer(0.3), 2, 0)
    await queries.take(0.2)
    assert not queries.is_overdue
    queries.discard()


async def test_few_queries_are_open_at_once() -> None:
    """Guards against calls without number to a store that is away."""
    queries = open_queries()
    for sent_at in range(4):
        queries.send(answer(1), sent_at, -PATIENCE)
    assert queries.measure_until_next() > 0
    queries.discard()


async def test_news_are_asked_for_beside_what_brings_old_ones() -> None:
    """Guards against a large change that each open query brings again."""
    queries = open_queries(monotonic() + 5)
    queries.send(answer(5), 1, 0)
    queries.hurry()
    assert not queries.measure_until_next()
    queries.send(answer(0), 2, 0)
    assert queries.measure_until_next()
    answered = await queries.take(1)
    assert answered is not None
    assert answered.sent_at == 2


async def test_queries_that_never_end_are_given_up(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against queries without end that keep others from being sent."""
    monkeypatch.setattr(openqueries, '_MAX_OPEN_SECONDS', 0.2)
    queries = open_queries()
    for sent_at in range(4):
        queries.send(answer(5), sent_at, 0)
    assert await queries.take(queries.measure_until_next()) is None
    assert not queries.measure_until_next()
    queries.send(answer(0), 4, 0)
    answered = await queries.take(1)
    assert answered is not None
    assert answered.sent_at == 4
    queries.discard()


async def test_a_wait_ends_as_another_instance_has_the_table() -> None:
    """Guards against news that are asked for at the next turn only."""
    queries = open_queries()
    queries.send(answer(1), 1, 0)
    asyncio.get_running_loop().call_later(0.02, queries.wake)
    async with asyncio.timeout(0.5):
        assert await queries.take(1) is None
    queries.discard()


@pytest.mark.parametrize(('wait', 'is_late'), [(0, True), (0.2, False)])
async def test_a_late_answer_is_told_from_one_that_waits_for_changes(
    wait: float, is_late: bool
) -> None:
    """Guards against a sound store that counts as a slow one."""
    queries = open_queries()
    queries.send(answer(0.2), 1, wait)
    await queries.take(1)
    late_by = queries.describe_progress(0, None).late_by
    assert (late_by >= PATIENCE) is is_late


async def test_a_large_answer_is_told_from_silence() -> None:
    """Guards against an answer on its way that counts as none."""
    received_at = monotonic()
    queries = open_queries(received_at)
    queries.send(answer(0.01), 1, 0)
    assert queries.describe_progress(0, None).is_arriving
    await queries.take(1)
    queries.send(answer(1), 2, 0)
    progress = queries.describe_progress(0, None)
    assert not progress.is_arriving
    assert progress.answered_for < PATIENCE
    queries.discard()
    assert not queries.describe_progress(0, None).unanswered_for
