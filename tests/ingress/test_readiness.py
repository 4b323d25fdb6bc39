"""When an instance should get calls, by what it knows."""

import asyncio
import random
import types
from unittest.mock import AsyncMock

import pytest
from returns.result import Failure

from kelproad.coordination.drain import DrainPhase
from kelproad.coordination.ingress.membership.rostering import Roster
from kelproad.coordination.ingress.readiness import Readiness
from kelproad.coordination.ingress.settings import Bounds
from kelproad.coordination.ingress.tables.tablestates import (
    StoreProblem,
    StoreProblemKind,
)


@pytest.mark.parametrize(
    ('is_starting', 'store_failing', 'is_ready'),
    [(False, False, True), (True, False, False), (True, True, True)],
)
def test_an_instance_gets_calls_once_it_knows_what_others_wrote(
    is_starting: bool, store_failing: bool, is_ready: bool
) -> None:
    """Guards against barred requests served just after a start."""
    readiness = Readiness(
        types.SimpleNamespace(phase=DrainPhase.SERVING),
        types.SimpleNamespace(current=True),
        types.SimpleNamespace(
            registry=['i-0'],
            confirmation=types.SimpleNamespace(is_compared=True),
            configuration=types.SimpleNamespace(
                failing=store_failing, measure_age=int
            ),
        ),
        None,
        types.SimpleNamespace(is_behind=False),
        types.SimpleNamespace(is_starting=is_starting),
        Bounds,
        list,
    )
    assert not readiness.explain_unready() == is_ready


async def test_an_instance_gets_calls_though_the_store_takes_no_rows() -> None:
    """Guards against instances that are never ready, as writes are refused."""
    refused = Failure(StoreProblem(StoreProblemKind.UNREACHABLE, 'full'))
    roster = Roster(
        types.SimpleNamespace(ip='10.0.0.1', zone='a', instance='here'),
        types.SimpleNamespace(write=AsyncMock(return_value=refused)),
        None,
        None,
        None,
        random.Random(1),
    )
    assert roster.is_starting
    registering = asyncio.create_task(roster._register())
    await asyncio.sleep(0.01)
    registering.cancel()
    assert not roster.is_starting
