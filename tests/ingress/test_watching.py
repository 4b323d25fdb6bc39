"""Engines whose streams stall are queried for their slowdown."""

import asyncio
import random

import attrs
import pytest
from returns.result import Failure, Result, Success

from kelproad.coordination.ingress.placing import watching as watching_module
from kelproad.coordination.ingress.placing.watching import EngineSpeedMonitor
from kelproad.platform.engines import _decode_reply
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
#: Seconds between queries, short to keep the tests fast.
PERIOD = 0.01


@attrs.frozen
class Profiles:
    """A configuration in which each service has the same engines."""

    @property
    def current(self) -> 'Profiles':
        """Return itself as the configuration in force."""
        return self

    def find_profile(self, _service: str) -> EngineProfile:
        """Return the same profile for every service."""
        return PROFILE


class Site:
    """One engine, the monitor of an instance, and a count of its queries."""

    def __init__(self) -> None:
        """Start with an engine as fast as its profile and with one stream."""
        self.slowdown: Result[float, str] = Success(1)
        self.query_count = 0
        self.ledger = WorkLedger()
        self.observations = EngineObservations()
        self.monitor = EngineSpeedMonitor(
            'instance-b',
            Profiles(),
            self.ledger,
            self.observations,
            self.answer,
            lambda endpoint: None,
        )
        declaration = EndpointDeclaration('i-1', 'zone-a', '10.0.0.1:80')
        group = EndpointGroup('writer', EndpointKind.ENGINE, [declaration])
        self.endpoint = Endpoint(declaration, group)
        self.ledger.begin('i-1', EndpointWork(1, 1000))

    async def answer(self, _address: str) -> Result[float, str]:
        """Return the engine's slowdown, and count the query."""
        self.query_count += 1
        return self.slowdown

    def note(self, seconds: float) -> None:
        """Record a stall of a stream of the engine."""
        self.monitor.check_stall('writer', self.endpoint, seconds)

    def find_slowdown(self) -> float:
        """Return the known slowdown of the engine."""
        return self.observations.find_slowdown('i-1', monotonic())


@pytest.fixture
def site(monkeypatch: pytest.MonkeyPatch) -> Site:
    """Build a site whose monitor queries every ``PERIOD``."""
    monkeypatch.setattr(watching_module, '_QUERY_PERIOD', PERIOD)
    return Site()


async def test_an_engine_in_time_is_not_queried(site: Site) -> None:
    """Each query has a cost for the engine and the operator."""
    site.note(0.06)
    await asyncio.sleep(PERIOD)
    assert not site.query_count


async def test_a_slow_engine_is_found_and_recovers(site: Site) -> None:
    """Short streams were sent to engines four times as slow, and truncated."""
    site.slowdown = Success(4)
    site.note(0.2)
    await asyncio.sleep(PERIOD / 2)
    assert site.find_slowdown() == 4
    site.slowdown = Success(1)
    await asyncio.sleep(3 * PERIOD)
    assert site.find_slowdown() == 1
    query_count = site.query_count
    await asyncio.sleep(3 * PERIOD)
    assert site.query_count == query_count


async def test_a_stall_of_a_known_slow_engine_causes_no_query(
    site: Site,
) -> None:
    """A peer has reported its slowdown, so its passes are as predicted."""
    site.observations.accept_slow({'i-1': 4}, 'instance-c', monotonic())
    site.note(0.2)
    await asyncio.sleep(PERIOD)
    assert not site.query_count


async def test_one_instance_goes_on_querying(site: Site) -> None:
    """All notice at once; only the first of them by name keeps querying."""
    site.slowdown = Success(4)
    site.note(0.2)
    await asyncio.sleep(PERIOD / 2)
    site.observations.accept_slow({'i-1': 4}, 'instance-a', monotonic())
    site.observations.accept_slow({'i-1': 4}, 'instance-c', monotonic())
    await asyncio.sleep(2 * PERIOD)
    query_count = site.query_count
    await asyncio.sleep(3 * PERIOD)
    assert site.query_count == query_count


async def test_queries_of_a_silent_engine_end(site: Site) -> None:
    """An engine without power never answers: the queries are limited."""
    site.slowdown = Failure('no answer')
    site.note(0.2)
    await asyncio.sleep(PERIOD)
    assert site.query_count == watching_module._MAX_QUERIES
    assert site.find_slowdown() == 1


async def test_a_silent_engine_is_noticed_before_its_streams_stall(
    site: Site,
) -> None:
    """Streams waited up to nine seconds for an engine that had lost power."""
    site.slowdown = Failure('no answer')
    site.note(0.2)
    await asyncio.sleep(PERIOD)
    assert site.monitor.is_silent(site.endpoint)
    site.slowdown = Success(1)
    site.note(0.2)
    await asyncio.sleep(PERIOD)
    assert not site.monitor.is_silent(site.endpoint)


@pytest.mark.parametrize('body', [b'', b'[]', b'{"pace": null}'])
def test_an_unreadable_report_counts_as_an_answer(body: bytes) -> None:
    """Treated as silence, it moved all streams away from healthy engines."""
    assert _decode_reply(Reply(200, body)).pace == 1
    report = _decode_reply(Reply(200, b'{"pace": 4.0, "busy": false}'))
    assert report.pace == 4


async def test_a_stall_that_a_prefill_explains_causes_no_query(
    site: Site,
) -> None:
    """The prefill of a long prompt makes each pass last as long."""
    prefill = random.Random(1).uniform(0.2, 0.4)
    site.ledger.begin('i-1', EndpointWork(0, 0, prefill, 1))
    site.note(prefill + 0.05)
    await asyncio.sleep(PERIOD)
    assert not site.query_count
