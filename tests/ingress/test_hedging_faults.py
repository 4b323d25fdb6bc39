"""What attempts side by side must not do to each other, or to endpoints."""

import asyncio
import random
import types

import attrs
from aiohttp import web
from returns.result import Result, Success

from kelproad.coordination.ingress.membership.reachability import (
    ZoneReachability,
)
from kelproad.coordination.ingress.placing.placement import (
    NoPlacementError,
    Placement,
)
from kelproad.coordination.ingress.quarantine.guard import PromptGuard
from kelproad.coordination.ingress.quarantine.refusing import RefusalBuilder
from kelproad.coordination.ingress.retrying.retries import RetryBudgets
from kelproad.coordination.ingress.retrying.verdicts import AttemptEvaluator
from kelproad.coordination.ingress.settings import Bounds
from kelproad.coordination.ingress.streams.answers import AttemptFailure
from kelproad.coordination.ingress.streams.progress import Attempt, Progress
from kelproad.coordination.ingress.streams.sending import Sender
from kelproad.coordination.ingress.streams.silence import SilenceMonitor
from kelproad.protocol.events import SequenceError
from kelproad.state.budgets import RetryBudget
from kelproad.state.calls import Call
from kelproad.state.counters import Counters
from kelproad.state.declarations import (
    EndpointDeclaration,
    EndpointGroup,
    EndpointKind,
)
from kelproad.state.directpaths import DirectPaths
from kelproad.state.endpointtable import EndpointTable
from kelproad.state.observations import EngineObservations
from kelproad.state.quarantine import PartQuarantine
from kelproad.state.routes import CallKind
from kelproad.transport.deadlines import RunningClock
from tests.ingress.crashes import build_ended
from tests.ingress.test_hedging import (
    BROKEN,
    LATE,
    NEVER,
    Endpoints,
    Instance,
    Script,
    answer_after,
    build_call,
    build_placement,
)


class CountingEndpoints(Endpoints):
    """Endpoints that are chosen within the number that a route permits."""

    async def prepare_now(
        self, call: Call, progress: Progress, *_rest: object
    ) -> Attempt:
        """Choose the first endpoint that may answer."""
        await asyncio.sleep(0)
        for name in self.scripts:
            permitted = progress.may_answer(name, call.route.max_endpoints)
            if permitted and not progress.excludes(name):
                return Attempt(call, build_placement(name))
        raise NoPlacementError('none is left', worth_waiting=False)


def build_instance(**scripts: Script) -> Instance:
    """Build an instance that counts endpoints, with retries in plenty."""
    monitor = SilenceMonitor(None, None, DirectPaths(), RunningClock())
    return Instance(
        CountingEndpoints(scripts, monitor), RetryBudget(0, 9), monitor
    )


def build_call_for(max_endpoints: int) -> Call:
    """Build a lookup that as many endpoints may get."""
    call = build_call()
    call.route = attrs.evolve(call.route, max_endpoints=max_endpoints)
    return call


async def test_a_call_through_a_peer_runs_where_its_route_permits() -> None:
    """A silent call through a peer ran at a second engine of one (BUDGET)."""

    async def answer_through_peer(
        attempt: Attempt,
    ) -> Result[web.Response, AttemptFailure]:
        attempt.via = 'edge-2'
        return await answer_after(LATE)(attempt)

    instance = build_instance(
        first=answer_through_peer, second=answer_after(LATE)
    )
    await instance.answer(build_call_for(1))
    assert set(instance.endpoints.started) == {'first'}


async def test_an_endpoint_that_is_connected_late_is_counted() -> None:
    """A call went to a second engine of one while it connected (BUDGET)."""

    async def connect_late(
        attempt: Attempt,
    ) -> Result[web.Response, AttemptFailure]:
        attempt.connection.connected = False
        await asyncio.sleep(0.15)
        attempt.connection.connected = True
        return await answer_after(LATE)(attempt)

    instance = build_instance(first=connect_late, second=answer_after(LATE))
    await instance.answer(build_call_for(1))
    assert set(instance.endpoints.started) == {'first'}


async def test_a_third_endpoint_is_tried_when_two_are_silent() -> None:
    """Two engines that hang for good held a call that three may get."""
    instance = build_instance(
        first=answer_after(NEVER),
        second=answer_after(NEVER),
        third=answer_after(0),
    )
    async with asyncio.timeout(2):
        answered = await instance.answer(build_call_for(3))
    assert answered.unwrap().text == 'third'


async def test_the_second_silent_attempt_accuses_its_endpoint() -> None:
    """Calls were sent again and again where the second attempt is silent."""
    instance = build_instance(
        first=answer_after(NEVER), second=answer_after(NEVER)
    )
    answering = asyncio.create_task(instance.answer(build_call_for(2)))
    await asyncio.sleep(LATE)
    silent = instance.monitor.list_silent()
    answering.cancel()
    await asyncio.wait((answering,))
    assert silent == {'first', 'second'}


async def test_a_search_that_raises_does_not_end_the_open_attempt() -> None:
    """An error in the search for more ended the engine that was at work."""
    instance = build_instance(first=answer_after(LATE))
    prepare = instance.endpoints.prepare_now
    searched: list[str] = []

    async def raise_beside(
        call: Call, progress: Progress, *rest: object
    ) -> Attempt:
        if progress.open_attempts:
            searched.append('searched')
            raise ValueError('a fault here')
        return await prepare(call, progress, *rest)

    object.__setattr__(instance.endpoints, 'prepare_now', raise_beside)
    answered = await instance.answer(build_call_for(2))
    assert searched
    assert answered.unwrap().text == 'first'


async def test_a_silent_attempt_that_raises_leaves_no_silence() -> None:
    """An endpoint counted as silent for ever after an error (leak)."""

    async def raise_later(
        _attempt: Attempt,
    ) -> Result[web.Response, AttemptFailure]:
        await asyncio.sleep(LATE / 2)
        raise ValueError('a fault here')

    instance = build_instance(first=raise_later)
    answering = asyncio.create_task(instance.answer(build_call_for(2)))
    await asyncio.wait((answering,))
    assert isinstance(answering.exception(), ValueError)
    assert not instance.monitor.list_silent()


def test_a_stream_that_brings_events_is_not_silent() -> None:
    """A stream with events was tried elsewhere each 0.1 s, budget and all."""
    monitor = SilenceMonitor(
        types.SimpleNamespace(
            sum_at=lambda name, now: types.SimpleNamespace(prefill_seconds=0)
        ),
        types.SimpleNamespace(
            check_stall=lambda *_given: None,
            is_silent=lambda endpoint: True,
        ),
        DirectPaths(),
        RunningClock(),
    )
    attempt = Attempt(
        build_call(CallKind.RESUMABLE_STREAM), build_placement('i-1')
    )
    attempt.answered = True
    monitor.begin_wait(attempt)
    assert monitor.find_silence(attempt) is None


async def test_an_end_without_an_event_closes_no_other_attempt() -> None:
    """An empty body, cut off, closed the attempt that would have gone on."""
    leads: list[Attempt] = []

    async def read_nothing():  # noqa: ANN202
        nothing: tuple[bytes, ...] = ()
        for chunk in nothing:
            yield chunk

    def refuse_empty(_answer: object) -> None:
        raise SequenceError('the stream ends before its first event')

    answer = types.SimpleNamespace(
        read_chunks=read_nothing, close=lambda: None, head=None
    )

    async def open_answer(*_given: object) -> Result[object, AttemptFailure]:
        return Success(answer)

    sender = Sender(
        types.SimpleNamespace(open=open_answer),
        None,
        SilenceMonitor(None, None, DirectPaths(), RunningClock()),
        lambda call, resumed: None,
        lambda placement: None,
        lambda *_zone: True,
    )
    delivery = types.SimpleNamespace(
        last_number=None,
        create_splitter=lambda: types.SimpleNamespace(has_partial_event=False),
        check_end=refuse_empty,
    )
    attempt = Attempt(
        build_call(CallKind.RESUMABLE_STREAM), build_placement('i-1')
    )
    attempt.take_lead = leads.append
    sent = await sender.send(attempt, delivery, {}, None)
    assert sent.failure().reason.startswith('the stream was interrupted')
    assert not leads


async def test_the_end_of_one_attempt_keeps_the_trial_of_the_other() -> None:
    """Two engines got a suspect part at once, as a trial was forgotten."""
    finished: list[tuple[str, ...]] = []

    async def check(*_given: object) -> None:
        await asyncio.sleep(0)

    guard = PromptGuard(
        PartQuarantine(lambda _service: 1),
        types.SimpleNamespace(
            finish=lambda call, parts: finished.append(parts)
        ),
        types.SimpleNamespace(suspect=build_ended, check=check),
        None,
        None,
        RefusalBuilder(None, random.Random(1)),
    )
    call = build_call(CallKind.RESUMABLE_STREAM)
    call.trial = ('p',)
    silent = Attempt(call, build_placement('i-1'), trial=('p',))
    late = AttemptFailure('no answer in time', BROKEN.ran, blameless=True)
    await guard.record_failure(silent, late)
    assert finished == [('p',)]
    call.trial = ('p',)
    beside = Attempt(call, build_placement('i-2'), trial=('p',))
    await guard.record_failure(silent, BROKEN)
    assert call.trial == beside.trial
    assert finished == [('p',)]


def test_one_attempt_counts_as_one_failure_of_its_endpoint() -> None:
    """Two silent attempts that broke ejected an endpoint, not three."""
    declarations = [
        EndpointDeclaration(name, 'a', f'10.0.0.{number}:80')
        for number, name in enumerate(('i-1', 'i-2'))
    ]
    table = EndpointTable()
    table.replace_groups(
        [EndpointGroup('book', EndpointKind.PLAIN, declarations)]
    )
    evaluator = AttemptEvaluator(
        table,
        RetryBudgets(Bounds, lambda: 1),
        ZoneReachability(),
        EngineObservations(),
        Counters(),
        DirectPaths(),
        lambda peer, now: None,
    )
    endpoint = table.all()['i-1']
    attempt = Attempt(build_call(), Placement(endpoint))
    evaluator.note_silence(attempt, BROKEN)
    evaluator.note(attempt, BROKEN)
    assert endpoint.consecutive_failures == 1
