"""Stand-ins behave like the real components where tests rely on it."""

import asyncio
import pathlib
import time

import pytest
from aiohttp.test_utils import TestClient, TestServer

from kelproad.standins.engine import EngineSettings, EngineStandIn
from kelproad.standins.rowstore import RowStoreStandIn
from testbed import routed
from testbed.calls import call_control

EVENT_LAG = 1.0
#: Rows that are written while their changes are followed, and the seconds for
#: all of them.
ROWS = 600
FOLLOWING_SECONDS = 10.0


async def test_cache_events_come_late_and_with_gaps() -> None:
    """Cache events of an engine are late, and some are lost.

    An index of prefixes that is built from them must tolerate both.
    """
    settings = EngineSettings(
        time_scale=1000.0,
        event_lag=EVENT_LAG,
        event_gap=2,
    )
    async with start_engine(settings) as client:
        body = {'model': 'm', 'prompt': 'x' * 13_000, 'max_tokens': 1}
        answer = await client.post(
            '/v1/completions',
            json=body,
            headers={'X-Attempt-Id': 'a-1', 'X-Deadline-Seconds': '5'},
        )
        await answer.read()
        early = await list_event_numbers(client)
        await asyncio.sleep(1.5 * EVENT_LAG)
        late = await list_event_numbers(client)
    assert early == []
    assert late == [1, 3]


async def list_event_numbers(client: TestClient) -> list[int]:
    """List the numbers of the cache events that an engine reports."""
    listed = await client.get('/v1/cache-events')
    return [event['number'] for event in (await listed.json())['events']]


async def test_export_of_one_engine_is_imported_by_another() -> None:
    """Blocks exported by one engine are in the other's cache after import."""
    settings = EngineSettings(event_lag=0)
    wanted = {
        'owner': 'i:1',
        'tokens': 2048,
        'seconds': 5,
        'blocks': ['b', 'c'],
    }
    async with start_engine(settings) as first, start_engine(settings) as other:
        await first.put('/v1/exports/e', json=wanted)
        exported = await (await first.get('/v1/exports/e')).json()
        await other.post('/v1/imports/e', json=exported)
        assert await list_event_numbers(first) == []
        assert await list_event_numbers(other) == [1, 2]


def start_engine(settings: EngineSettings) -> TestClient:
    """Create a client whose engine runs while it is open."""
    application = EngineStandIn(settings, ['m']).create_application()
    return TestClient(TestServer(application))


async def follow_rows(client: TestClient, count: int) -> list[str]:
    """Follow changes by calls that wait for 1 ms; list the keys that came."""
    seen: list[str] = []
    version = 0
    until = time.monotonic() + FOLLOWING_SECONDS
    while len(seen) < count and time.monotonic() < until:
        query = {'table': 't', 'after_revision': version, 'wait_ms': 1}
        answer = await client.get('/-/rows-feed', params=query)
        changes = await answer.json()
        version = changes['row_version']
        seen += [row['key'] for row in changes['rows']]
    return seen


async def test_no_row_is_lost_that_is_written_as_a_wait_ends() -> None:
    """Guards against a configuration that an instance is never told.

    A row whose version is stated was among the changes, also if it was written
    between the end of the wait and the answer.
    """
    application = RowStoreStandIn().create_application()
    async with TestClient(TestServer(application)) as client:
        following = asyncio.create_task(follow_rows(client, ROWS))
        for number in range(ROWS):
            await client.put(f'/control/rows/t/{number}', data=b'{}')
            await asyncio.sleep(0.001)
        seen = await following
    assert seen == [str(number) for number in range(ROWS)]


def test_an_engine_that_starts_again_never_states_its_earlier_life(
    tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against an ended engine that seems to answer again."""
    first_reports: list[object] = []

    def read_report(site: routed.RoutedSite, name: str) -> None:
        await_endpoint(site, name)
        address = site.endpoints[name]
        first_reports.append(call_control(address, 'GET', '/-/report')['born'])

    await_endpoint = routed._await_endpoint
    with routed.start_routed_site(tmp_path, 0) as site:
        monkeypatch.setattr(routed, '_await_endpoint', read_report)
        site.endpoint_processes['engine-1'].kill()
        site.restart_endpoint('engine-1')
    assert first_reports == [2]
