"""Engines that fall behind are asked how slow they are."""

import asyncio
import random

import attrs
import pytest
from returns.result import Failure, Result, Success

from kelproad.coordination.ingress import watching as watching_module
from kelproad.coordination.ingress.watching import EngineSpeedMonitor
from kelproad.platform.engines import _read_report
from kelproad.state.declarations import (
    EndpointDeclaration,
    EndpointGroup,
    EndpointKind,
)
from kelproad.state.endpoints import Endpoint
from kelproad.state.engines import EngineProfile
from kelproad.state.observations import EngineObservations
from kelproad.state.work import EndpointWork, WorkLedger
from kelproad.transport.deadlines import monotonic
from kelproad.transport.exchanges import Reply

#: A pass of 43 steps of a millisecond.
PROFILE = EngineProfile(stride=43, step_seconds=0.001)
#: Seconds between questions, so that tests are short.
PERIOD = 0.01


@attrs.frozen
class Profiles:
    """A configuration in which each service has the same engines."""

    @property
    def current(self) -> 'Profiles':
        """Return the configuration in force."""
        return self

    def find_profile(self, _service: str) -> EngineProfile:
        """Find the figures of a service's engines."""
        return PROFILE


class Site:
    """One engine, an instance that watches it, and what it was asked."""

    def __init__(self) -> None:
        """Let the engine be as fast as published."""
        self.slowdown: Result[float, str] = Success(1)
        self.asked = 0
        self.ledger = WorkLedger()
        self.observations = EngineObservations()
        self.watch = EngineSpeedMonitor(
            'instance-b',
            Profiles(),
            self.ledger,
            self.observations,
            self.answer,
        )
        declaration = EndpointDeclaration('i-1', 'zone-a', '10.0.0.1:80')
        group = EndpointGroup('writer', EndpointKind.ENGINE, [declaration])
        self.endpoint = Endpoint(declaration, group)
        self.ledger.begin('i-1', EndpointWork(1, 1000))

    async def answer(self, _address: str) -> Result[float, str]:
        """Answer for the engine."""
        self.asked += 1
        return self.slowdown

    def note(self, seconds: float) -> None:
        """Have a stream of the engine pause."""
        self.watch.record_stall('writer', self.endpoint, seconds)

    def find(self) -> float:
        """Find how slow the engine is known to be."""
        return self.observations.find_slowdown('i-1', monotonic())


@pytest.fixture
def site(monkeypatch: pytest.MonkeyPatch) -> Site:
    """Ask often."""
    monkeypatch.setattr(watching_module, '_QUERY_PERIOD', PERIOD)
    return Site()


async def test_an_engine_in_time_is_not_asked(site: Site) -> None:
    """Each question costs the engine and the operator something."""
    site.note(0.06)
    await asyncio.sleep(PERIOD)
    assert not site.asked


async def test_a_slow_engine_is_found_and_comes_back(site: Site) -> None:
    """Short streams were sent to engines four times as slow, and broke off."""
    site.slowdown = Success(4)
    site.note(0.2)
    await asyncio.sleep(PERIOD / 2)
    assert site.find() == 4
    site.slowdown = Success(1)
    await asyncio.sleep(3 * PERIOD)
    assert site.find() == 1
    asked = site.asked
    await asyncio.sleep(3 * PERIOD)
    assert site.asked == asked


async def test_a_pause_of_a_known_slow_engine_is_no_news(site: Site) -> None:
    """A peer has told how slow it is, so that its passes come as predicted."""
    site.observations.accept_slow({'i-1': 4}, 'instance-c', monotonic())
    site.note(0.2)
    await asyncio.sleep(PERIOD)
    assert not site.asked


async def test_one_instance_goes_on_asking(site: Site) -> None:
    """All notice at once; those that hear of it from an earlier one stop."""
    site.slowdown = Success(4)
    site.note(0.2)
    await asyncio.sleep(PERIOD / 2)
    site.observations.accept_slow({'i-1': 4}, 'instance-a', monotonic())
    site.observations.accept_slow({'i-1': 4}, 'instance-c', monotonic())
    await asyncio.sleep(2 * PERIOD)
    asked = site.asked
    await asyncio.sleep(3 * PERIOD)
    assert site.asked == asked


async def test_a_silent_engine_is_left_alone(site: Site) -> None:
    """One without power never answers, and must not be asked for ever."""
    site.slowdown = Failure('no answer')
    site.note(0.2)
    await asyncio.sleep(PERIOD)
    assert site.asked == watching_module._MAX_QUERIES
    assert site.find() == 1


async def test_a_silent_engine_is_noticed_before_its_streams_stall(
    site: Site,
) -> None:
    """Streams waited up to nine seconds for an engine that had gone dark."""
    site.slowdown = Failure('no answer')
    site.note(0.2)
    await asyncio.sleep(PERIOD)
    assert site.watch.is_silent(site.endpoint)
    site.slowdown = Success(1)
    site.note(0.2)
    await asyncio.sleep(PERIOD)
    assert not site.watch.is_silent(site.endpoint)


@pytest.mark.parametrize('body', [b'', b'[]', b'{"pace": null}'])
def test_a_report_that_cannot_be_read_is_an_answer(body: bytes) -> None:
    """Taken for silence, it had sound engines left by all their streams."""
    assert _read_report(Reply(200, body)) == 1
    assert _read_report(Reply(200, b'{"pace": 4.0, "busy": false}')) == 4


async def test_doubt_ends_with_what_explains_the_pause(site: Site) -> None:
    """A long prompt that is read there makes each pass as long as that."""
    reading = random.Random(1).uniform(0.2, 0.4)
    site.ledger.begin('i-1', EndpointWork(0, 0, reading, 1))
    site.note(reading + 0.05)
    await asyncio.sleep(PERIOD)
    assert not site.asked
