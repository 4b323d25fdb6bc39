"""Calls to plain services, made in process against the stand-in service."""

import contextlib
import json
import socket
from collections.abc import AsyncIterator

import pytest
from aiohttp.test_utils import TestServer
from multidict import CIMultiDict

from kelproad.protocol.connections import build_connection_trace
from kelproad.protocol.plain import PlainCall, PlainClient
from kelproad.standins.service import ServiceStandIn
from kelproad.state.refusals import Ran, RefusalCode
from kelproad.transport.deadlines import monotonic
from kelproad.transport.http import create_single_use_session


@pytest.fixture
async def service() -> AsyncIterator[TestServer]:
    """Run a stand-in service in this process."""
    server = TestServer(ServiceStandIn().create_application())
    await server.start_server()
    yield server
    await server.close()


@pytest.fixture
async def client() -> AsyncIterator[PlainClient]:
    """Create a client with the kind of session that instances use."""
    session = create_single_use_session(
        trace_configs=[build_connection_trace()]
    )
    yield PlainClient(session)
    await session.close()


def build_put_call(seconds: float = 5.0, **headers: str) -> PlainCall:
    """Build the call that books an entry by PUT."""
    return PlainCall(
        method='PUT',
        path='/entries/run',
        headers=CIMultiDict(headers),
        body=b'{"reference": "run"}',
        deadline=monotonic() + seconds,
    )


def base_url(server: TestServer) -> str:
    """Return the URL of a service without a path."""
    return str(server.make_url('')).rstrip('/')


async def count_effects(server: TestServer, client: PlainClient) -> int:
    """Count how often the entry was booked."""
    listing = PlainCall('GET', '/entries', CIMultiDict(), b'', monotonic() + 5)
    answer = (await client.call(base_url(server), listing)).unwrap()
    return json.loads(answer.body).get('run', 0)


@pytest.mark.parametrize('lost', [1, 2])
async def test_put_whose_answer_is_lost_is_sent_once(
    service: TestServer,
    client: PlainClient,
    lost: int,
) -> None:
    """A service executes a PUT and closes the connection without an answer.

    The HTTP library retries such calls by itself, because PUT counts as
    idempotent in general; a stock entry is not, and would be booked twice.
    """
    faults = PlainCall(
        'PUT',
        '/control/faults',
        CIMultiDict(),
        b'{"lose_answers": %d}' % lost,
        monotonic() + 5,
    )
    await client.call(base_url(service), faults)
    refused = await client.call(base_url(service), build_put_call())
    assert refused.failure().ran is Ran.UNKNOWN
    assert await count_effects(service, client) == 1


async def test_late_call_is_not_sent(
    service: TestServer,
    client: PlainClient,
) -> None:
    refused = await client.call(base_url(service), build_put_call(-1.0))
    assert refused.failure().ran is Ran.NO
    assert await count_effects(service, client) == 0


async def test_refused_connection_is_not_run(client: PlainClient) -> None:
    refused = await client.call('http://127.0.0.1:9', build_put_call())
    assert refused.failure().ran is Ran.NO


async def test_silent_connection_leaves_time_for_another(
    client: PlainClient,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """An endpoint's zone is cut off, so that connecting gets no answer.

    The connect timeout passes long before the deadline.  If it were reported
    as a missed deadline, the call would be given up although another endpoint
    could serve it.
    """
    monkeypatch.setattr('kelproad.protocol.plain.CONNECT_TIMEOUT', 0.2)
    with contextlib.ExitStack() as sockets:
        # The system drops further connections once the queue is full.
        listener = sockets.enter_context(socket.create_server(('127.0.0.1', 0)))
        listener.listen(0)
        address = listener.getsockname()
        for _ in range(4):
            waiting = sockets.enter_context(socket.socket())
            waiting.setblocking(False)
            waiting.connect_ex(address)
        url = f'http://127.0.0.1:{address[1]}'
        refused = await client.call(url, build_put_call())
    assert refused.failure().ran is Ran.NO
    assert refused.failure().code is RefusalCode.ENDPOINT_FAILED
