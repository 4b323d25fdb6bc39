"""Requests finish or fail by their deadline."""

import asyncio
import contextlib
import math
import pathlib
import socket
import threading
import time
from collections.abc import AsyncIterator, Awaitable, Callable, Iterator

import aiohttp
import pytest
from aiohttp import web
from returns.result import Failure

from kelproad.coordination.reception import Call
from kelproad.coordination.sending import SEND_MARGIN, send_response
from kelproad.transport import deadlines
from kelproad.transport import servers as http_servers
from kelproad.transport.addresses import Address
from kelproad.transport.deadlines import (
    RunningClock,
    monotonic,
    within_running,
)
from kelproad.transport.exchanges import exchange
from testbed.processes import find_free_address
from testbed.site import Site, SitePlan, start_site
from tests.clients import Answer, book, complete
from tests.conftest import ROADGRIP

#: Seconds by which an answer may miss its deadline on a busy test machine.
MARGIN = 0.5
Serve = Callable[[web.Request], Awaitable[web.StreamResponse]]


@pytest.fixture(scope='module')
def site(tmp_path_factory: pytest.TempPathFactory) -> Iterator[Site]:
    """Run a site all of whose endpoints are frozen."""
    plan = SitePlan(example=ROADGRIP, endpoints_per_group=1)
    directory: pathlib.Path = tmp_path_factory.mktemp('deadlines')
    with start_site(plan, directory) as started:
        for endpoint in started.endpoints.values():
            endpoint.freeze()
        yield started
        for endpoint in started.endpoints.values():
            endpoint.resume()


def time_call(make_call: Callable[[], Answer]) -> tuple[Answer, float]:
    """Make a call, and return the answer with the seconds that it took."""
    started = time.monotonic()
    answer = make_call()
    return answer, time.monotonic() - started


@pytest.mark.parametrize('model', ['roadgrip-report', 'roadgrip-corridor'])
@pytest.mark.parametrize('stream', [False, True])
def test_frozen_engine(site: Site, model: str, stream: bool) -> None:
    """An engine accepts a prompt and never answers; the caller is told in time.

    No other engine could run the prompt, so this one gets all the time until
    the deadline.
    """
    headers = {'X-Deadline-Seconds': '1'}
    answer, taken = time_call(
        lambda: complete(
            site.callers[0],
            headers=headers,
            model=model,
            stream=stream,
        ),
    )
    assert (answer.status, answer.refusal()['ran']) == (504, 'unknown')
    assert int(answer.headers['Retry-After']) >= 1
    assert taken < 1 + MARGIN


@pytest.mark.parametrize('key', ['', 'frozen-book'])
def test_frozen_service(site: Site, key: str) -> None:
    answer, taken = time_call(
        lambda: book(site.callers[0], 'frozen', key, deadline=1),
    )
    assert (answer.status, answer.refusal()['ran']) == (504, 'unknown')
    assert taken < 1 + MARGIN


@pytest.fixture
async def start_server() -> AsyncIterator[Callable[[Serve], Awaitable[int]]]:
    """Yield a function that serves a handler and returns its port."""
    servers: list[http_servers.HttpServer] = []

    async def start(handler: Serve) -> int:
        application = web.Application()
        application.add_routes([web.get('/', handler)])
        address = Address.from_text(find_free_address())
        server = http_servers.HttpServer(application, address)
        servers.append(server)
        await server.start()
        return address.port

    yield start
    for server in servers:
        await server.stop()


async def test_caller_that_reads_nothing(
    start_server: Callable[[Serve], Awaitable[int]],
) -> None:
    """A caller requests a large answer and reads nothing of it.

    Sending must end at the deadline plus a small margin, or such callers would
    occupy instances, and a planned stop would never end.
    """
    sent: list[float] = []

    async def answer(http_request: web.Request) -> web.Response:
        started = monotonic()
        call = Call(http_request, 'id', started, started + 0.3)
        response = web.Response(body=bytes(50_000_000))
        await send_response(call, response)
        sent.append(monotonic() - started)
        return response

    port = await start_server(answer)
    _, writer = await asyncio.open_connection('127.0.0.1', port, limit=1024)
    writer.write(b'GET / HTTP/1.1\r\nHost: x\r\n\r\n')
    await asyncio.sleep(0.3 + SEND_MARGIN + MARGIN)
    writer.close()
    assert len(sent) == 1
    assert sent[0] < 0.3 + MARGIN


async def test_sent_means_handed_to_the_network(
    start_server: Callable[[Serve], Awaitable[int]],
) -> None:
    """A slow caller's answer counts as sent only when its buffer is empty.

    A planned stop that ended earlier would truncate what is still buffered.
    """
    left: list[int] = []

    async def answer(http_request: web.Request) -> web.Response:
        call = Call(http_request, 'id', monotonic(), monotonic() + 10)
        transport = http_request.transport
        raw = transport.get_extra_info('socket')
        raw.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
        response = web.Response(body=bytes(50_000))
        await send_response(call, response)
        left.append(transport.get_write_buffer_size())
        return response

    port = await start_server(answer)
    raw = socket.socket()
    raw.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    raw.connect(('127.0.0.1', port))
    reader, writer = await asyncio.open_connection(sock=raw, limit=1024)
    writer.write(b'GET / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n')
    await asyncio.sleep(0.3)
    assert not left
    assert len(await reader.read()) > 50_000
    writer.close()
    assert left == [0]


async def test_slow_headers_time_out(
    start_server: Callable[[Serve], Awaitable[int]],
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A caller that sends headers byte by byte is cut off, others are not."""
    monkeypatch.setattr(http_servers, 'HEAD_TIMEOUT', 0.5)

    async def answer(_http_request: web.Request) -> web.Response:
        await asyncio.sleep(1)
        return web.Response(text='slow but heard')

    port = await start_server(answer)
    reader, slow = await asyncio.open_connection('127.0.0.1', port)
    ordinary_reader, ordinary = await asyncio.open_connection('127.0.0.1', port)
    ordinary.write(b'GET / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n')
    for byte in b'GET / HTTP/1.1':
        slow.write(bytes([byte]))
        await asyncio.sleep(0.01)
    with contextlib.suppress(ConnectionError):
        assert not await asyncio.wait_for(reader.read(), 1)
    assert b'slow but heard' in await ordinary_reader.read()
    slow.close()
    ordinary.close()


async def test_a_head_that_came_during_a_standstill_is_read(
    start_server: Callable[[Serve], Awaitable[int]],
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A whole request lay in the socket when its connection was aborted."""
    monkeypatch.setattr(http_servers, 'HEAD_TIMEOUT', 0.3)

    async def answer(_http_request: web.Request) -> web.Response:
        return web.Response(text='heard')

    port = await start_server(answer)
    reader, writer = await asyncio.open_connection('127.0.0.1', port)
    await asyncio.sleep(0.1)
    writer.write(b'GET / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n')
    time.sleep(0.5)
    assert b'heard' in await reader.read()
    writer.close()


def test_a_standstill_of_the_process_is_no_time_of_others() -> None:
    """Engines were accused of the seconds in which the process stood still."""
    times = iter((0, 0.1, 0.25, 2.0, 2.1))
    clock = RunningClock(read_time=lambda: next(times))
    clock._read_at = next(times)
    read = [clock.read() for _ in range(4)]
    assert read == pytest.approx([0.1, 0.25, 0.35, 0.45])
    assert clock.stood_still == pytest.approx(1.65)


def test_a_long_standstill_is_known_at_once_also_of_the_machine(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against calls refused by an instance that is about to ask."""
    boot_now = 50.0
    monkeypatch.setattr(deadlines, 'read_boottime', lambda: boot_now)
    clock = RunningClock(read_time=lambda: 7.0)
    clock._read_at = 7.0
    assert math.isinf(clock.measure_since_standstill())
    boot_now += 0.5
    assert math.isinf(clock.measure_since_standstill())
    boot_now += 9
    assert clock.measure_since_standstill() == 0
    boot_now += 0.1
    assert clock.measure_since_standstill() == pytest.approx(0.1)


@contextlib.contextmanager
def answer_in_thread(delay: float) -> Iterator[int]:
    """Answer one request on a port, also while the event loop stands still."""
    with socket.create_server(('127.0.0.1', 0)) as listening:

        def answer() -> None:
            accepted, _ = listening.accept()
            with accepted:
                accepted.recv(65_536)
                time.sleep(delay)
                accepted.sendall(
                    b'HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n'
                )

        thread = threading.Thread(target=answer)
        thread.start()
        yield listening.getsockname()[1]
        thread.join()


async def test_an_answer_that_waits_in_the_socket_is_in_time() -> None:
    """All that was queried seemed silent after a standstill of the process."""
    loop = asyncio.get_running_loop()
    with answer_in_thread(0.1) as port:
        # The engine has the request when the event loop is held, until after
        # the time-out.
        loop.call_later(0.05, time.sleep, 0.5)
        async with aiohttp.ClientSession() as session:
            answered = await exchange(
                session, 'GET', f'http://127.0.0.1:{port}/', 0.3
            )
    assert not isinstance(answered, Failure)


async def test_a_standstill_that_ends_before_the_time_out_leaves_time() -> None:
    """A connection was made in a pause, but the request came too late."""
    loop = asyncio.get_running_loop()
    loop.call_later(0.05, time.sleep, 0.24)
    async with within_running(0.3):
        await asyncio.sleep(0.01)
        await asyncio.sleep(0.34)


@pytest.mark.parametrize('seconds', [0.05, 0.3])
async def test_a_silence_while_the_process_runs_ends_in_time(
    seconds: float,
) -> None:
    """Waits without a standstill must not get longer."""
    started = monotonic()
    with pytest.raises(asyncio.TimeoutError):
        async with within_running(seconds):
            await asyncio.sleep(5)
    assert seconds <= monotonic() - started < seconds + MARGIN


async def test_a_process_that_always_stands_still_gives_up_at_last() -> None:
    """A wait must not go on for ever on a machine that is overloaded."""
    loop = asyncio.get_running_loop()

    def stand_still() -> None:
        time.sleep(0.25)
        held.append(loop.call_soon(stand_still))

    held = [loop.call_soon(stand_still)]
    with pytest.raises(asyncio.TimeoutError):
        async with within_running(0.3):
            await asyncio.sleep(5)
    held[-1].cancel()


async def test_an_answer_that_goes_on_arriving_is_not_given_up() -> None:
    """Guards against a large answer that is begun anew for ever."""
    async with within_running(0.2, longest=2) as record_progress:
        for _ in range(6):
            await asyncio.sleep(0.1)
            record_progress()


async def test_an_answer_that_arrives_for_too_long_is_given_up() -> None:
    """Guards against an answer of single bytes without end."""
    started = monotonic()
    with pytest.raises(asyncio.TimeoutError):
        async with within_running(0.2, longest=0.5) as record_progress:
            while True:
                await asyncio.sleep(0.05)
                record_progress()
    assert monotonic() - started < 0.5 + MARGIN


async def test_an_answer_that_stops_arriving_is_given_up() -> None:
    """Guards against a connection that falls silent in an answer."""
    started = monotonic()
    with pytest.raises(asyncio.TimeoutError):
        async with within_running(0.2, longest=5) as record_progress:
            await asyncio.sleep(0.1)
            record_progress()
            await asyncio.sleep(5)
    assert monotonic() - started < 0.3 + MARGIN
