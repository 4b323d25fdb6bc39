"""Attempts at endpoints that fail, refuse or answer incorrectly."""

import asyncio
import contextlib
import socket
import struct
import types
from collections.abc import AsyncIterator, Awaitable, Callable

import attrs
import pytest
from multidict import CIMultiDict
from returns.result import Failure, Result

from kelproad.coordination.ingress.admission.dialect import Dialect
from kelproad.coordination.ingress.membership.reachability import (
    ZoneReachability,
)
from kelproad.coordination.ingress.placing.placement import Placement
from kelproad.coordination.ingress.retrying.retries import RetryBudgets
from kelproad.coordination.ingress.retrying.verdicts import AttemptEvaluator
from kelproad.coordination.ingress.settings import Bounds
from kelproad.coordination.ingress.streams.answers import (
    AttemptFailure,
    OpenAnswer,
    collect,
)
from kelproad.coordination.ingress.streams.attempts import EndpointClient
from kelproad.coordination.ingress.streams.delivery import StreamDelivery
from kelproad.coordination.ingress.streams.progress import Attempt, Progress
from kelproad.coordination.ingress.streams.sending import Sender
from kelproad.coordination.ingress.streams.silence import SilenceMonitor
from kelproad.platform.headers import (
    build_refusal,
    encode_call,
    read_answer_head,
    read_call_head,
    read_request_id,
)
from kelproad.protocol.connections import (
    ConnectionProgress,
    build_connection_trace,
)
from kelproad.protocol.events import SequenceError
from kelproad.state.calls import Call, CallHead, Forwarding
from kelproad.state.counters import Counters
from kelproad.state.declarations import (
    EndpointDeclaration,
    EndpointGroup,
    EndpointKind,
)
from kelproad.state.directpaths import DirectPaths
from kelproad.state.endpoints import Endpoint
from kelproad.state.endpointtable import EndpointTable
from kelproad.state.observations import EngineObservations
from kelproad.state.refusals import Ran
from kelproad.state.routes import (
    CallKind,
    Route,
    RoutedWorkspace,
    WeightedService,
)
from kelproad.transport.deadlines import RunningClock, monotonic
from kelproad.transport.http import create_single_use_session

#: Silence timeout of an attempt in seconds; exceeding it is a fault of the
#: endpoint.
SILENCE = 1.0
REQUEST_ID = 'a1b2'
HEAD = f'HTTP/1.1 200 OK\r\nX-Kelproad-Request-Id: {REQUEST_ID}\r\n'
Handler = Callable[
    [asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]
]


def build_call(kind: CallKind = CallKind.IDEMPOTENT) -> Call:
    """Build a call of a kind whose deadline is in five seconds."""
    now = monotonic()
    route = Route(
        'lookups',
        'h.example',
        '/r/',
        kind,
        (WeightedService('book', 1),),
        timeout=5,
        objective=1,
        max_endpoints=2,
    )
    head = CallHead(REQUEST_ID, 'GET', 'h.example', '/r/x?y=%2F', 'key')
    return Call(head, route, 'book', None, b'', now, now + 5)


@contextlib.asynccontextmanager
async def serve(handler: Handler) -> AsyncIterator[Endpoint]:
    """Serve connections with a handler on a free port."""
    server = await asyncio.start_server(handler, '127.0.0.1', 0)
    port = server.sockets[0].getsockname()[1]
    declaration = EndpointDeclaration('i-1', 'a', f'127.0.0.1:{port}')
    try:
        yield Endpoint(
            declaration,
            EndpointGroup('book', EndpointKind.PLAIN, [declaration]),
        )
    finally:
        server.close()


@pytest.fixture
async def client() -> AsyncIterator[EndpointClient]:
    """Open a client with the session settings of an instance."""
    dialect = Dialect(
        read_request_id,
        read_call_head,
        encode_call,
        read_answer_head,
        build_refusal,
        lambda session: None,
        '/ready',
    )
    async with create_single_use_session(
        trace_configs=[build_connection_trace()],
    ) as session:
        yield EndpointClient(session, dialect, lambda endpoint, head: None)


@pytest.fixture
def evaluator() -> AttemptEvaluator:
    """Create the evaluator of an instance that has no peers."""
    return AttemptEvaluator(
        EndpointTable(),
        RetryBudgets(Bounds, lambda: 1),
        ZoneReachability(),
        EngineObservations(),
        Counters(),
        DirectPaths(),
        lambda peer, now: None,
    )


async def open_answer(
    client: EndpointClient,
    endpoint: Endpoint,
    call: Call,
) -> Result[OpenAnswer, AttemptFailure]:
    """Send a call and wait for the head of its answer."""
    return await client.open(
        call,
        CIMultiDict(),
        endpoint,
        Forwarding('i-1', 5),
        call.deadline,
        SILENCE,
        ConnectionProgress(),
    )


async def send(client: EndpointClient, endpoint: Endpoint) -> object:
    """Send a call and read its answer to the end."""
    call = build_call()
    opened = await open_answer(client, endpoint, call)
    if isinstance(opened, Failure):
        return opened
    return await collect(opened.unwrap(), call.deadline)


async def test_a_reset_does_not_end_a_body(client: EndpointClient) -> None:
    """An endpoint crashes while it sends an answer without a length.

    Such an answer ends when its connection is closed.  A reset must not count
    as that end: the caller would get a truncated body framed as complete.
    """

    async def crash(
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        await reader.readuntil(b'\r\n\r\n')
        writer.write(f'{HEAD}Connection: close\r\n\r\nhalf'.encode())
        await writer.drain()
        await asyncio.sleep(0.05)
        sock = writer.get_extra_info('socket')
        linger = struct.pack('ii', 1, 0)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        writer.transport.abort()

    async with serve(crash) as endpoint:
        outcome = await send(client, endpoint)
    assert isinstance(outcome, Failure)
    assert outcome.failure().ran is Ran.YES


@pytest.mark.parametrize('pause', [0, 0.05])
async def test_a_close_ends_a_body_without_length(
    client: EndpointClient,
    pause: float,
) -> None:
    """The answer is complete if its connection is closed, not reset."""

    async def finish(
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        await reader.readuntil(b'\r\n\r\n')
        writer.write(f'{HEAD}Connection: close\r\n\r\nwhole'.encode())
        await asyncio.sleep(pause)
        writer.close()

    async with serve(finish) as endpoint:
        outcome = await send(client, endpoint)
    assert outcome.unwrap().body == b'whole'


async def close_without_body(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    """Send a head without a length, and close the connection."""
    await reader.readuntil(b'\r\n\r\n')
    writer.write(f'{HEAD}Connection: close\r\n\r\n'.encode())
    writer.close()


async def test_an_empty_answer_without_length_is_sent_elsewhere(
    client: EndpointClient,
) -> None:
    """An endpoint that ends after the head seems to have answered."""
    async with serve(close_without_body) as endpoint:
        outcome = await send(client, endpoint)
    progress = Progress()
    progress.note(outcome.failure(), endpoint.name, endpoint.name)
    assert progress.ran is Ran.YES
    assert progress.may_forward_error(build_call())
    assert progress.fallback.body == b''


@pytest.mark.parametrize('resume_after', [None, 4])
async def test_a_stream_without_length_or_event_is_not_whole(
    client: EndpointClient, resume_after: int | None
) -> None:
    """An engine that ends after the head seems to have nothing to say."""
    call = build_call(CallKind.RESUMABLE_STREAM)
    call.head = attrs.evolve(call.head, resume_after=resume_after)
    delivery = StreamDelivery(types.SimpleNamespace(), call)
    async with serve(close_without_body) as endpoint:
        answer = (await open_answer(client, endpoint, call)).unwrap()
        chunks = [chunk async for chunk in answer.read_chunks()]
        # A caller that has all events gets no further one, which is whole.
        expected = SequenceError if resume_after is None else AttributeError
        with pytest.raises(expected):
            delivery.check_end(answer)
            await delivery.finish(answer)
    assert not b''.join(chunks)


async def test_an_answer_to_another_call_is_not_forwarded(
    client: EndpointClient,
) -> None:
    """An endpoint sends an answer that belongs to an earlier call.

    Only the request id that it repeats shows this; the caller would get data
    of another caller.
    """

    async def answer_another_call(
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        await reader.readuntil(b'\r\n\r\n')
        head = HEAD.replace(REQUEST_ID, 'ffff')
        writer.write(f'{head}Content-Length: 5\r\n\r\nother'.encode())

    async with serve(answer_another_call) as endpoint:
        outcome = await send(client, endpoint)
    assert outcome.failure().ran is Ran.UNKNOWN


async def test_the_path_is_forwarded_unchanged(
    client: EndpointClient,
) -> None:
    """Escapes, dot segments and the query are not normalized."""
    heads: list[bytes] = []

    async def note(
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        heads.append(await reader.readuntil(b'\r\n\r\n'))
        writer.write(f'{HEAD}Content-Length: 2\r\n\r\nok'.encode())

    async with serve(note) as endpoint:
        call = build_call()
        target = '/r/a%2Fb/../%7e//?q=a+b&c=%41'
        head = CallHead(REQUEST_ID, 'GET', 'h.example', target, 'key')
        call.head = head
        opened = await client.open(
            call,
            CIMultiDict({'X-Api-Key': 'key', 'X-Kelproad-Tenant': 'forged'}),
            endpoint,
            Forwarding('i-1', 5, 'crews'),
            call.deadline,
            SILENCE,
            ConnectionProgress(),
        )
        opened.unwrap().close()
    text = heads[0].decode()
    assert text.startswith(f'GET {target} HTTP/1.1\r\n')
    assert 'X-Api-Key' not in text
    assert 'forged' not in text
    assert 'X-Kelproad-Tenant: crews' in text


@pytest.mark.parametrize(
    ('route', 'workspace', 'sent'),
    [
        (None, None, None),
        (2, None, '2'),
        (2, 7, '7'),
        (2, 0, '0'),
        (None, 12, '9'),
        (-1, None, '0'),
    ],
)
def test_the_operators_priority_reaches_the_endpoint(
    route: int | None, workspace: int | None, sent: str | None
) -> None:
    """Endpoints would take all calls for equally urgent."""
    call = build_call()
    call.route = attrs.evolve(call.route, priority=route)
    call.workspace = RoutedWorkspace('crews', workspace)
    encoded = encode_call(
        call,
        CIMultiDict({'X-Kelproad-Request-Priority': '0'}),
        Forwarding('i-1', 5, priority=call.priority),
    )
    assert encoded.get('X-Kelproad-Request-Priority') == sent


async def test_a_refused_connection_proves_that_nothing_ran(
    client: EndpointClient,
) -> None:
    """Nobody listens: a call of any kind may go to another endpoint."""
    listener = socket.create_server(('127.0.0.1', 0))
    port = listener.getsockname()[1]
    listener.close()
    declaration = EndpointDeclaration('i-1', 'a', f'127.0.0.1:{port}')
    endpoint = Endpoint(
        declaration,
        EndpointGroup('book', EndpointKind.PLAIN, [declaration]),
    )
    outcome = await send(client, endpoint)
    assert outcome.failure().ran is Ran.NO
    assert not outcome.failure().arrived


async def test_an_endpoint_reports_that_it_did_not_run_a_call(
    client: EndpointClient,
    evaluator: AttemptEvaluator,
) -> None:
    """A full endpoint refuses a call and states that it did not run it.

    A non-idempotent call may then go to another endpoint.  Unlike after a 421,
    the refusing endpoint stays in use.
    """

    async def shed(
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        await reader.readuntil(b'\r\n\r\n')
        writer.write(
            b'HTTP/1.1 503 Full\r\nX-Kelproad-Not-Executed: 1\r\n'
            b'Content-Length: 0\r\n\r\n',
        )

    async with serve(shed) as endpoint:
        outcome = await send(client, endpoint)
    failure = outcome.failure()
    assert failure.ran is Ran.NO
    assert failure.arrived
    call = build_call(CallKind.NON_IDEMPOTENT)
    progress = Progress()
    progress.note(failure, endpoint.name, endpoint.name)
    evaluator.note(Attempt(call, Placement(endpoint)), failure)
    assert evaluator.check_retry(call, progress) is None
    assert not progress.may_forward_error(call)
    assert not endpoint.leaving
    assert endpoint.misdirected_until < monotonic()


@pytest.mark.parametrize('header', ['', 'X-Kelproad-Not-Executed: 1\r\n'])
async def test_another_engine_uses_the_address(
    client: EndpointClient,
    evaluator: AttemptEvaluator,
    header: str,
) -> None:
    """An engine has departed, and another one uses its address.

    The other one answers 421, and may also state that it did not run the call.
    It must not pass for a full endpoint then: it would keep getting calls that
    were meant for the departed one.
    """

    async def misdirect(
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        await reader.readuntil(b'\r\n\r\n')
        head = f'HTTP/1.1 421 Other\r\n{header}Content-Length: 0\r\n\r\n'
        writer.write(head.encode())

    async with serve(misdirect) as endpoint:
        outcome = await send(client, endpoint)
    attempt = Attempt(build_call(), Placement(endpoint))
    evaluator.note(attempt, outcome.failure())
    assert outcome.failure().ran is Ran.NO
    assert endpoint.misdirected_until > monotonic()
    assert not endpoint.consecutive_failures


async def test_a_failed_call_is_not_sent_again(client: EndpointClient) -> None:
    """The HTTP client makes one attempt, also if no answer arrives."""
    heads: list[bytes] = []

    async def hang_up(
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        heads.append(await reader.readuntil(b'\r\n\r\n'))
        writer.close()

    async with serve(hang_up) as endpoint:
        outcome = await send(client, endpoint)
    assert len(heads) == 1
    assert outcome.failure().ran is Ran.UNKNOWN


async def test_an_answer_that_is_no_longer_awaited_is_closed(
    client: EndpointClient,
) -> None:
    """A caller leaves as the answer arrives; the engine must stop."""
    closed = asyncio.Event()

    async def answer(
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        await reader.readuntil(b'\r\n\r\n')
        writer.write(f'{HEAD}Content-Length: 9\r\n\r\n'.encode())
        await reader.read()
        closed.set()

    leaving = attrs.evolve(
        client, observe_answer=lambda endpoint, head: sending.cancel()
    )
    monitor = SilenceMonitor(None, None, DirectPaths(), RunningClock())
    sender = Sender(
        leaving, None, monitor, None, lambda placed: None, lambda *_zone: True
    )
    call = build_call()
    async with serve(answer) as endpoint:
        attempt = Attempt(call, Placement(endpoint))
        delivery = StreamDelivery(types.SimpleNamespace(), call)
        sending = asyncio.create_task(
            sender.send(attempt, delivery, CIMultiDict(), None)
        )
        await asyncio.wait((sending,))
        assert sending.cancelled()
        await asyncio.wait_for(closed.wait(), timeout=1)


@pytest.mark.parametrize(
    ('connected', 'ran', 'reached'),
    [(False, Ran.NO, set()), (True, Ran.UNKNOWN, {'i'})],
)
def test_a_closed_attempt_without_a_connection_has_not_run_a_call(
    connected: bool, ran: Ran, reached: set[str]
) -> None:
    """A caller is not told that work may have run that was never sent."""
    attempt = Attempt(build_call(), Placement(types.SimpleNamespace(name='i')))
    attempt.connection = ConnectionProgress(connected=connected)
    progress = Progress()
    progress.begin()
    progress.suspect(attempt)
    progress.drop(attempt)
    assert progress.ran is ran
    assert progress.reached == reached
    assert not progress.open_attempts


def test_a_retry_avoids_the_path_that_brought_no_answer(
    evaluator: AttemptEvaluator,
) -> None:
    """A plain call that was given up early went directly again, in vain."""
    call = build_call()
    failure = AttemptFailure('no answer', Ran.UNKNOWN, blameless=True)
    for address in ('10.0.0.1:80', '10.0.0.2:80'):
        declaration = EndpointDeclaration('i', 'a', address)
        group = EndpointGroup('book', EndpointKind.PLAIN, [declaration])
        endpoint = Endpoint(declaration, group)
        evaluator.note(Attempt(call, Placement(endpoint)), failure)
    assert call.avoids_direct
    assert not evaluator._paths.is_mute(monotonic())


@pytest.mark.parametrize(
    ('stated', 'polite'),
    [('Retry-After: 2', True), ('Server-Leaving: 1', True), ('X: 1', False)],
)
async def test_an_endpoint_that_turns_away_politely_has_not_failed(
    client: EndpointClient, stated: str, polite: bool
) -> None:
    """It was ejected, and got nothing for seconds after its pause."""

    async def turn_away(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await reader.readuntil(b'\r\n\r\n')
        head = HEAD.replace('200 OK', '503 Full')
        writer.write(
            f'{head}X-Kelproad-Not-Executed: 1\r\n{stated}\r\n'
            'Content-Length: 0\r\n\r\n'.encode()
        )
        writer.close()

    async with serve(turn_away) as endpoint:
        failure = (await send(client, endpoint)).failure()
    assert failure.ran is Ran.NO
    assert failure.blameless is polite


async def test_a_large_answer_does_not_wait_for_one_that_hangs(
    client: EndpointClient,
) -> None:
    """Guards against an engine that holds up the large answers of others."""
    stated = 1_000_000

    async def hang(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await reader.readuntil(b'\r\n\r\n')
        writer.write(f'{HEAD}Content-Length: {stated}\r\n\r\n'.encode())
        writer.write(b'x' * (stated - 1))
        await reader.read()
        writer.close()

    async def finish(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await reader.readuntil(b'\r\n\r\n')
        writer.write(f'{HEAD}Content-Length: {stated}\r\n\r\n'.encode())
        writer.write(b'x' * stated)
        await writer.drain()
        writer.close()

    async with serve(hang) as hanging, serve(finish) as sound:
        waiting = asyncio.create_task(send(client, hanging))
        await asyncio.sleep(0.2)
        async with asyncio.timeout(1):
            answer = await send(client, sound)
        assert len(answer.unwrap().body) == stated
        waiting.cancel()
