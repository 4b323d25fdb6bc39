"""Ends of calls at an instance: an answer, or a log line that says who."""

import asyncio
import contextlib
import logging
import math
import random
from collections.abc import AsyncIterator, Awaitable, Callable

import attrs
import pytest
from aiohttp import web
from returns.result import Failure, Result, Success

from kelproad.coordination.drain import Drain
from kelproad.coordination.ingress.admission.admitting import Admitter
from kelproad.coordination.ingress.admission.entrance import CallHandler
from kelproad.coordination.ingress.admission.stopping import (
    StopGuard,
    plan_stop,
)
from kelproad.coordination.ingress.admission.unconfirmed import (
    ConfirmationWatch,
)
from kelproad.coordination.ingress.settings import Bounds
from kelproad.coordination.ingress.streams.delivery import (
    CallerDisconnectedError,
)
from kelproad.coordination.ingress.tables.causes import ConfirmationState
from kelproad.coordination.ingress.tables.confirming import (
    ConfirmedElsewhere,
)
from kelproad.coordination.ingress.tables.holder import ConfigurationHolder
from kelproad.platform.headers import (
    build_refusal,
    read_call_head,
    read_request_id,
)
from kelproad.state.budgets import CallBytes, HeldBytes
from kelproad.state.calls import Call, CallEnd
from kelproad.state.counters import ConfirmationMetrics, Counters
from kelproad.state.records import EVENT_FIELDS
from kelproad.state.refusals import Refusal, RefusalCode, Step
from kelproad.state.routes import (
    CallKind,
    IngressLimits,
    Route,
    RoutingConfiguration,
    WeightedService,
)
from kelproad.transport.addresses import Address
from kelproad.transport.deadlines import monotonic
from kelproad.transport.servers import HttpServer
from testbed.processes import find_free_address

ID = 'c41d07be'
CALL = (
    f'POST /r/x HTTP/1.1\r\nHost: h\r\nX-Kelproad-Request-Id: {ID}\r\n'
    'Content-Length: 2\r\n\r\nok'
).encode()
PAGE = 65_536
#: Bytes of an answer that fill all buffers between two sockets.
HUGE = 16_000_000
#: Seconds within which something immediate must be seen.
SOON = 2.0
#: Seconds that a call may take whose body arrives slowly.
SLOW_SECONDS = 0.5
ROUTE = Route(
    'r', 'h', '/r/', CallKind.RESUMABLE_STREAM, (WeightedService('s', 1),), 5, 1
)

Answering = Callable[
    [Call, web.Request], Awaitable[Result[web.StreamResponse, Refusal]]
]


@attrs.define
class Entrance:
    """A handler of calls behind a server, with what answers them."""

    answering: Answering
    handler: CallHandler
    address: Address
    counters: Counters
    drain: Drain
    server: HttpServer | None = None
    began: asyncio.Event = attrs.field(factory=asyncio.Event)

    async def admit(
        self,
        head: object,
        http_request: web.Request,
        arrived: float,
        _held: CallBytes,
    ) -> Result[Call, Refusal]:
        """Admit each call once its body has arrived."""
        body = await http_request.read()
        return Success(
            Call(head, ROUTE, 's', None, body, arrived, monotonic() + 5)
        )

    async def answer(
        self, call: Call, http_request: web.Request
    ) -> Result[web.StreamResponse, Refusal]:
        """Answer a call as the test wants."""
        self.began.set()
        return await self.answering(call, http_request)

    async def connect(
        self, sent: bytes = CALL
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Open a connection and send bytes."""
        reader, writer = await asyncio.open_connection(
            self.address.host, self.address.port
        )
        writer.write(sent)
        return reader, writer

    def count_early_ends(self) -> dict[str, int]:
        """Return how many streams ended early, by reason."""
        counted = self.counters.registry.get(
            'kelproad_streams_ended_early_total'
        ).get_all()
        return {labels['reason']: int(count) for labels, count in counted}


@contextlib.asynccontextmanager
async def serve(answering: Answering) -> AsyncIterator[Entrance]:
    """Serve calls that are answered by a function."""
    entrance: Entrance
    dialect = attrs.make_class(
        'Dialect', ('read_request_id', 'read_call_head', 'build_refusal')
    )(read_request_id, read_call_head, build_refusal)
    drain = Drain(lambda: entrance.handler.unfinished, lambda: plan_stop(8))
    entrance = Entrance(
        answering,
        None,
        Address.from_text(find_free_address()),
        Counters(),
        drain,
    )
    entrance.handler = CallHandler(
        dialect,
        ConfigurationHolder(),
        ConfirmationWatch(
            lambda: ConfirmationState(0, 0, 2, version=1),
            ConfirmationMetrics(entrance.counters.registry),
        ),
        entrance,
        entrance,
        entrance.counters,
        drain,
        HeldBytes.from_memory(0),
    )
    application = web.Application()
    application.add_routes(
        [web.route('*', '/{path:.*}', entrance.handler.answer)]
    )
    entrance.server = HttpServer(
        application, entrance.address, shutdown_timeout=0.1
    )
    await entrance.server.start()
    try:
        yield entrance
    finally:
        await entrance.server.stop()


@pytest.fixture
def lines(caplog: pytest.LogCaptureFixture) -> Callable[[], list[tuple]]:
    """Return a function that lists events, each with its fields."""
    caplog.set_level(logging.INFO)
    return lambda: [
        (line.getMessage(), getattr(line, EVENT_FIELDS))
        for line in caplog.records
        if hasattr(line, EVENT_FIELDS)
    ]


async def find_line(
    lines: Callable[[], list[tuple]], event: str
) -> dict[str, object]:
    """Wait for an event of the call, and return its fields."""
    async with asyncio.timeout(SOON):
        while True:
            for name, fields in lines():
                if name == event and fields.get('request') == ID:
                    return fields
            await asyncio.sleep(0.01)


async def read_all(reader: asyncio.StreamReader) -> tuple[bytes, bool]:
    """Read to the end; return the bytes and whether there was a reset."""
    received = b''
    try:
        async with asyncio.timeout(SOON):
            while chunk := await reader.read(PAGE):
                received += chunk
    except ConnectionError:
        return received, True
    return received, False


async def wait_forever(
    _call: Call, _request: web.Request
) -> Result[web.StreamResponse, Refusal]:
    """Answer nothing."""
    await asyncio.sleep(60)
    return Success(web.Response())


async def begin_stream(
    http_request: web.Request, **headers: str
) -> web.StreamResponse:
    """Begin a stream with one event."""
    response = web.StreamResponse(headers=headers)
    await response.prepare(http_request)
    await response.write(b'id: 1\n\n')
    return response


# Callers that leave


async def test_a_caller_that_leaves_while_its_body_arrives_is_logged(
    lines: Callable[[], list[tuple]],
) -> None:
    """Guards against calls without any line that names them."""
    async with serve(wait_forever) as entrance:
        _, writer = await entrance.connect(CALL[:-1])
        await asyncio.sleep(0.05)
        writer.close()
        fields = await find_line(lines, 'ended_unadmitted')
        assert fields['outcome'] == 'caller left'
        assert entrance.handler.unfinished == 0


async def test_a_caller_that_leaves_before_its_answer_is_logged(
    lines: Callable[[], list[tuple]],
) -> None:
    """Guards against engines that are released without a reason."""
    async with serve(wait_forever) as entrance:
        _, writer = await entrance.connect()
        await entrance.began.wait()
        writer.close()
        fields = await find_line(lines, 'ended')
        assert fields['outcome'] == 'caller left'
        assert not entrance.count_early_ends()


async def test_a_half_closed_caller_counts_as_one_that_left(
    lines: Callable[[], list[tuple]],
) -> None:
    """Guards against work for callers that have closed their connections.

    The end of what a caller sends looks the same from here, whether it closed
    its connection or only one direction, and its engine must be released.
    """
    async with serve(wait_forever) as entrance:
        reader, writer = await entrance.connect()
        await entrance.began.wait()
        writer.write_eof()
        assert await read_all(reader) == (b'', False)
        fields = await find_line(lines, 'ended')
        assert fields['outcome'] == 'caller left'


async def test_an_answer_that_its_caller_does_not_take_is_not_told_as_whole(
    lines: Callable[[], list[tuple]],
) -> None:
    """Guards against a log that says `answered` where the caller got a part."""

    async def answer(
        _call: Call, _request: web.Request
    ) -> Result[web.StreamResponse, Refusal]:
        return Success(web.Response(body=bytes(HUGE)))

    async with serve(answer) as entrance:
        reader, writer = await entrance.connect()
        await reader.read(PAGE)
        writer.transport.abort()
        fields = await find_line(lines, 'answer_not_taken')
        assert fields['outcome'] == 'caller left'
        ended = await find_line(lines, 'ended')
        assert ended['outcome'] == 'caller left'


async def test_a_caller_that_leaves_its_stream_leaves_no_traceback(
    lines: Callable[[], list[tuple]], caplog: pytest.LogCaptureFixture
) -> None:
    """Guards against logs full of errors that callers cause."""

    async def answer(
        _call: Call, http_request: web.Request
    ) -> Result[web.StreamResponse, Refusal]:
        await begin_stream(http_request)
        raise CallerDisconnectedError

    async with serve(answer) as entrance:
        reader, _ = await entrance.connect()
        received, _ = await read_all(reader)
        assert not received.endswith(b'0\r\n\r\n')
        fields = await find_line(lines, 'ended')
        assert fields['outcome'] == 'caller left'
        assert entrance.count_early_ends() == {'caller left': 1}
        assert not any(line.exc_info for line in caplog.records)


# Stops


async def test_what_the_end_of_a_stop_cuts_is_not_told_as_left(
    lines: Callable[[], list[tuple]],
) -> None:
    """Guards against calls cut by a stop that look as if callers had left."""

    async def answer(
        _call: Call, http_request: web.Request
    ) -> Result[web.StreamResponse, Refusal]:
        await begin_stream(http_request)
        return await wait_forever(_call, http_request)

    async with serve(answer) as entrance:
        reader, _ = await entrance.connect()
        assert b'id: 1' in await reader.read(PAGE)
        entrance.drain.start()
        entrance.drain.interrupt_calls()
        await entrance.server.stop()
        fields = await find_line(lines, 'ended')
        assert fields['outcome'] == 'cut by the stop'
        assert entrance.count_early_ends() == {'cut by the stop': 1}


# Faults of our own


@pytest.mark.parametrize(
    'error', [RuntimeError, asyncio.TimeoutError, asyncio.CancelledError]
)
async def test_an_error_of_our_own_is_answered_and_logged(
    error: type[BaseException],
    lines: Callable[[], list[tuple]],
) -> None:
    """Guards against silent ends, and answers that name no request.

    A cancelled part of the instance must not look like a caller that left.
    """

    async def answer(
        _call: Call, _request: web.Request
    ) -> Result[web.StreamResponse, Refusal]:
        raise error

    async with serve(answer) as entrance:
        reader, writer = await entrance.connect()
        async with asyncio.timeout(SOON):
            received = await reader.read(PAGE)
        assert received.startswith(b'HTTP/1.1 500 ')
        assert f'X-Kelproad-Request-Id: {ID}'.encode() in received
        assert (
            error.__name__ in (await find_line(lines, 'call_failed'))['error']
        )
        refused = await find_line(lines, 'refused')
        assert refused['code'] == 'internal'
        assert refused['ran'] == 'no'
        writer.close()


async def test_an_error_in_admission_is_answered_and_logged(
    lines: Callable[[], list[tuple]], monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against calls that end before they are admitted, unnamed."""

    async def fail(*_arguments: object) -> Result[Call, Refusal]:
        raise RuntimeError

    monkeypatch.setattr(Entrance, 'admit', fail)
    async with serve(wait_forever) as entrance:
        reader, _ = await entrance.connect()
        received = await reader.read(PAGE)
        assert received.startswith(b'HTTP/1.1 500 ')
        await find_line(lines, 'call_failed')


async def test_an_error_after_an_attempt_does_not_promise_anything(
    lines: Callable[[], list[tuple]],
) -> None:
    """Guards against an account by which a call that was sent has not run."""

    async def answer(
        call: Call, _request: web.Request
    ) -> Result[web.StreamResponse, Refusal]:
        call.attempts = 1
        raise RuntimeError

    async with serve(answer) as entrance:
        reader, _ = await entrance.connect()
        assert (await reader.read(PAGE)).startswith(b'HTTP/1.1 500 ')
        assert (await find_line(lines, 'refused'))['ran'] == 'unknown'


@pytest.mark.parametrize(
    ('version', 'ends_with_connection'), [(b'1.0', True), (b'1.1', False)]
)
async def test_an_error_amid_a_stream_aborts_it(
    version: bytes,
    ends_with_connection: bool,
    lines: Callable[[], list[tuple]],
) -> None:
    """Guards against half a stream that looks complete to its caller."""

    async def answer(
        _call: Call, http_request: web.Request
    ) -> Result[web.StreamResponse, Refusal]:
        await begin_stream(http_request)
        await asyncio.sleep(0.05)
        raise RuntimeError

    async with serve(answer) as entrance:
        reader, _ = await entrance.connect(CALL.replace(b'1.1', version, 1))
        received, was_reset = await read_all(reader)
        assert b'id: 1' in received
        assert was_reset or not ends_with_connection
        assert not received.endswith(b'0\r\n\r\n')
        await find_line(lines, 'call_failed')
        assert (await find_line(lines, 'ended'))['outcome'] == 'failed here'
        assert entrance.count_early_ends() == {'failed here': 1}


@pytest.mark.parametrize('streams', [True, False])
async def test_an_answer_that_cannot_be_prepared_ends_in_a_line(
    streams: bool, lines: Callable[[], list[tuple]]
) -> None:
    """Guards against answers that are dropped for a field of an engine."""
    odd = 'a\nX-More: b'

    async def answer(
        _call: Call, http_request: web.Request
    ) -> Result[web.StreamResponse, Refusal]:
        if streams:
            return Success(await begin_stream(http_request, Odd=odd))
        return Success(web.Response(headers={'Odd': odd}))

    async with serve(answer) as entrance:
        reader, writer = await entrance.connect()
        async with asyncio.timeout(SOON):
            received = await reader.read(PAGE)
        assert received.startswith(b'HTTP/1.1 500 ')
        assert b'chunked' not in received
        assert received.endswith(b'\n')
        await find_line(lines, 'call_failed')
        writer.close()


async def test_a_refusal_is_sent_and_logged_with_its_id(
    lines: Callable[[], list[tuple]],
) -> None:
    """Guards against refusals that the log does not tie to a request."""

    async def answer(
        _call: Call, _request: web.Request
    ) -> Result[web.StreamResponse, Refusal]:
        return Failure(Refusal(RefusalCode.NO_CAPACITY, 'full', Step.ROUTE))

    async with serve(answer) as entrance:
        for field, status in (
            (b'', b'503'),
            (b'X-Kelproad-Deadline-Ms: x\r\n', b'400'),
        ):
            head, _, body = CALL.partition(b'Content')
            reader, writer = await entrance.connect(
                b''.join((head, field, b'Content', body))
            )
            received = await reader.read(PAGE)
            assert received.split()[1] == status
            assert ID.encode() in received
            writer.close()
        refused = [fields for event, fields in lines() if event == 'refused']
        assert [fields['request'] for fields in refused] == [ID, ID]


@pytest.mark.parametrize(
    ('left', 'reason'), [(2, 'broken off'), (0.01, 'deadline')]
)
async def test_a_stream_that_ends_early_is_counted_by_its_reason(
    left: float, reason: str
) -> None:
    """Guards against streams that end early and show in no metric."""

    async def answer(
        call: Call, http_request: web.Request
    ) -> Result[web.StreamResponse, Refusal]:
        response = await begin_stream(http_request)
        call.deadline = monotonic() + left
        call.end = CallEnd.TRUNCATED
        http_request.transport.abort()
        return Success(response)

    async with serve(answer) as entrance:
        reader, _ = await entrance.connect()
        await read_all(reader)
        assert entrance.count_early_ends() == {reason: 1}


# Bodies that arrive slowly


def build_admitter(drain: Drain) -> Admitter:
    """Build an admitter that reads the bodies of calls itself."""
    holder = ConfigurationHolder()
    configuration = RoutingConfiguration.from_declarations(
        1,
        [attrs.evolve(ROUTE, timeout=SLOW_SECONDS)],
        [],
        {},
        IngressLimits(),
        {},
    )
    assert holder.offer(Success(configuration), b'as written')
    return Admitter(
        holder,
        float,
        lambda: True,
        lambda: ConfirmedElsewhere.NOWHERE,
        bool,
        lambda: math.inf,
        StopGuard(drain),
        Bounds,
        random.Random(1),
    )


@pytest.mark.parametrize('stops', [True, False])
async def test_a_body_that_does_not_arrive_is_answered(
    stops: bool, lines: Callable[[], list[tuple]]
) -> None:
    """Guards against slow callers that get no status, and no line."""
    async with serve(wait_forever) as entrance:
        entrance.handler._admitter = build_admitter(entrance.drain)
        reader, writer = await entrance.connect(CALL[:-1])
        await asyncio.sleep(SLOW_SECONDS / 5)
        if stops:
            entrance.drain.start()
            entrance.drain.interrupt_calls()
        async with asyncio.timeout(SOON):
            received = await reader.read(PAGE)
        assert received.startswith(b'HTTP/1.1 503 ')
        refused = await find_line(lines, 'refused')
        assert refused['ran'] == 'no'
        assert ('stops' in refused['message']) is stops
        writer.close()
