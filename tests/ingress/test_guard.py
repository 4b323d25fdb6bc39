"""The guard of engines, with an observer that takes its time."""

import asyncio
import random
import types
from collections.abc import Awaitable, Callable

import attrs
import pytest
from returns.result import Failure, Result, Success

from kelproad.coordination.ingress.placing.placement import Placement
from kelproad.coordination.ingress.quarantine import ends as ends_module
from kelproad.coordination.ingress.quarantine.ends import EndObserver
from kelproad.coordination.ingress.quarantine.guard import PromptGuard
from kelproad.coordination.ingress.quarantine.refusing import RefusalBuilder
from kelproad.coordination.ingress.streams.answers import AttemptFailure
from kelproad.coordination.ingress.streams.progress import Attempt
from kelproad.state.calls import Call, CallHead
from kelproad.state.counters import Counters, QuarantineMetrics
from kelproad.state.declarations import (
    EndpointDeclaration,
    EndpointGroup,
    EndpointKind,
)
from kelproad.state.directpaths import DirectPaths
from kelproad.state.endpoints import Endpoint
from kelproad.state.endpointtable import EndpointTable
from kelproad.state.quarantine import PartQuarantine
from kelproad.state.refusals import Ran
from kelproad.state.routes import CallKind, Route, WeightedService
from kelproad.state.suspicions import EndedCall
from kelproad.transport.deadlines import monotonic
from tests.ingress.crashes import build_ended


def build_call() -> Call:
    """Build a stream that tries a part."""
    now = monotonic()
    services = (WeightedService('writer', 1),)
    kind = CallKind.RESUMABLE_STREAM
    route = Route(
        'reports',
        'h.example',
        '/r/',
        kind,
        services,
        timeout=5,
        objective=1,
        max_endpoints=2,
    )
    head = CallHead('a1', 'POST', 'h.example', '/r/x', 'key')
    call = Call(head, route, 'writer', None, b'', now, now + 5)
    call.trial = ('part',)
    return call


def build_endpoint() -> Endpoint:
    """Build an engine."""
    declaration = EndpointDeclaration('i-0', 'a', '10.0.0.0:80')
    table = EndpointTable()
    table.replace_groups(
        [EndpointGroup('writer', EndpointKind.ENGINE, [declaration])]
    )
    return table.get('i-0')


def build_table(engines: int) -> EndpointTable:
    """Build a table of engines."""
    declarations = [
        EndpointDeclaration(f'i-{number}', 'a', f'10.0.0.{number}:80')
        for number in range(engines)
    ]
    table = EndpointTable()
    table.replace_groups(
        [EndpointGroup('writer', EndpointKind.ENGINE, declarations)]
    )
    return table


def ignore_end(_ended: EndedCall) -> None:
    """Tell nobody of an end."""


def build_observer(
    table: EndpointTable,
    read_incarnation: Callable[[str], Awaitable[Result[str, str]]],
    announce_end: Callable[[EndedCall], None] = ignore_end,
    paths: DirectPaths | None = None,
) -> EndObserver:
    """Build the observer of an instance that knows of no end."""
    return EndObserver(
        PartQuarantine(lambda _service: 3),
        types.SimpleNamespace(announce_end=announce_end),
        types.SimpleNamespace(keep=lambda *_parts: None),
        types.SimpleNamespace(read_incarnation=read_incarnation),
        table,
        DirectPaths() if paths is None else paths,
        QuarantineMetrics(Counters().registry),
        random.Random(1),
    )


async def observe(
    observer: EndObserver, call: Call, endpoint: Endpoint
) -> None:
    """Have a failed attempt recorded, and its engine checked."""
    parts = call.head.shared_parts
    ended = observer.suspect(call, endpoint, monotonic(), monotonic(), parts)
    if ended is not None:
        await observer.check(call, endpoint, ended)


async def test_a_check_that_ends_late_leaves_the_next_trial_alone() -> None:
    """The retry of a call is no longer the only one with its part."""
    finished: list[tuple[str, ...]] = []
    checked = asyncio.Event()

    async def check(*_suspected: object) -> None:
        await checked.wait()

    guard = PromptGuard(
        PartQuarantine(lambda _service: 1),
        types.SimpleNamespace(
            finish=lambda _call, parts: finished.append(parts)
        ),
        types.SimpleNamespace(suspect=build_ended, check=check),
        None,
        None,
        RefusalBuilder(None, random.Random(1)),
    )
    call = build_call()
    failure = AttemptFailure('silent', Ran.UNKNOWN)
    attempt = Attempt(call, Placement(build_endpoint()), trial=call.trial)
    await guard.record_failure(attempt, failure)
    call.trial = ('part',)
    checked.set()
    await asyncio.wait(guard._background)
    assert not finished
    guard.release(call)
    assert finished == [('part',)]


async def test_a_request_is_tried_alone_until_its_engine_is_looked_at() -> None:
    """Guards against a fourth end, as a caller is back after its deadline."""
    finished: list[tuple[str, ...]] = []
    checked = asyncio.Event()

    async def check_unheard(*_given_up: object) -> None:
        await checked.wait()

    guard = PromptGuard(
        PartQuarantine(lambda _service: 1),
        types.SimpleNamespace(
            finish=lambda _call, parts: finished.append(parts)
        ),
        types.SimpleNamespace(check_unheard=check_unheard),
        *(None for _ in range(3)),
    )
    call = build_call()
    call.trial = ('part', call.fingerprint)
    attempt = Attempt(call, Placement(build_endpoint()), trial=call.trial)
    guard.record_unheard(attempt)
    failure = AttemptFailure('late', Ran.UNKNOWN, blameless=True)
    await guard.record_failure(attempt, failure)
    guard.release(call)
    assert finished == [('part',)]
    checked.set()
    await asyncio.wait(guard._background)
    assert finished == [('part',), (call.fingerprint,)]


def test_answers_are_remembered_while_engines_end() -> None:
    """Guards against a request barred that other callers get answered."""
    quarantine = PartQuarantine(lambda _service: 3)
    now = monotonic()
    quarantine.record_end(
        EndedCall(
            'writer', 'i-1', frozenset(), frozenset(), now, now, True, 'other'
        ),
        now,
    )
    guard = PromptGuard(quarantine, *(None for _ in range(5)))
    call = attrs.evolve(build_call(), trial=())
    guard.record_answered(call, resumed=True)
    unproven = quarantine.select_unproven('writer', [call.fingerprint], now)
    assert unproven
    guard.record_answered(call, resumed=False)
    assert not quarantine.select_unproven('writer', unproven, now)


@pytest.mark.parametrize('others_answer', [True, False])
async def test_a_cut_off_instance_proves_no_end(others_answer: bool) -> None:
    """Parts of sound prompts came into quarantine while engines were alive."""
    table = build_table(3)
    endpoint = table.get('i-0')

    async def read_incarnation(address: str) -> Result[str, str]:
        await asyncio.sleep(0)
        is_other = address != endpoint.declaration.address
        return Success('') if is_other and others_answer else Failure('lost')

    observer = build_observer(table, read_incarnation)
    call = build_call()
    call.head = attrs.evolve(call.head, shared_parts=('part',))
    await observe(observer, call, endpoint)
    evidence = observer._quarantine.get('writer', 'part')
    assert evidence.trials == int(others_answer)


@pytest.mark.parametrize(
    ('is_cut_off', 'answers', 'is_repeated', 'queries', 'announced'),
    [
        (False, True, False, 1, 0),
        (False, True, True, 1, 1),
        (True, False, True, 0, 0),
        (False, False, False, 4, 1),
    ],
)
async def test_a_call_that_was_closed_accuses_only_engines_that_are_silent(
    is_cut_off: bool,
    answers: bool,
    is_repeated: bool,
    queries: int,
    announced: int,
) -> None:
    """Guards against sound requests held back as their callers leave."""
    endpoint = build_endpoint()
    queried: list[str] = []
    told: list[object] = []

    async def read_incarnation(address: str) -> Result[str, str]:
        queried.append(address)
        await asyncio.sleep(0)
        return Success('') if answers else Failure('lost')

    table = EndpointTable()
    table.replace_groups(
        [EndpointGroup('writer', EndpointKind.ENGINE, [endpoint.declaration])]
    )
    paths = DirectPaths()
    for number in range(8 * is_cut_off):
        paths.record_unanswered(f'10.0.0.{number}:80', monotonic())
    call, now = build_call(), monotonic()
    quarantine = PartQuarantine(lambda _service: 3)
    if is_repeated:
        other = build_ended(call, endpoint, now - 1, now - 1, ())
        quarantine.record_end(
            attrs.evolve(other, engine='i-9 1', fingerprint=call.fingerprint),
            now,
        )
    observer = EndObserver(
        quarantine,
        types.SimpleNamespace(
            announce_end=told.append, announce_alive=lambda *_engine: None
        ),
        None,
        types.SimpleNamespace(read_incarnation=read_incarnation),
        table,
        paths,
        QuarantineMetrics(Counters().registry),
        random.Random(1),
    )
    await observer.check_unheard(call, table.get('i-0'), now, now)
    assert (len(queried), len(told)) == (queries, announced)


async def test_an_end_is_found_while_other_engines_fell_silent() -> None:
    """Guards against a fourth end, as the first was taken for a mute path."""
    told: list[object] = []
    table = build_table(3)
    paths = DirectPaths()
    for number in range(2):
        paths.record_unanswered(f'10.0.0.{number}:80', monotonic())

    async def read_incarnation(address: str) -> Result[str, str]:
        await asyncio.sleep(0)
        return Success('') if address == '10.0.0.2:80' else Failure('lost')

    observer = build_observer(table, read_incarnation, told.append, paths=paths)
    now = monotonic()
    await observer.check_unheard(build_call(), table.get('i-0'), now, now)
    assert [ended.confirmed for ended in told] == [False, True]


async def test_calls_given_up_on_mute_paths_look_for_another_engine_once() -> (
    None
):
    """Guards against queries for each caller who leaves a cut instance."""
    queried: list[str] = []
    table = build_table(6)
    paths = DirectPaths()
    for number in range(2):
        paths.record_unanswered(f'10.0.0.{number}:80', monotonic())

    async def read_incarnation(address: str) -> Result[str, str]:
        queried.append(address)
        await asyncio.sleep(0)
        return Failure('lost')

    observer = build_observer(table, read_incarnation, paths=paths)
    now = monotonic()
    await asyncio.gather(
        *(
            observer.check_unheard(build_call(), table.get('i-0'), now, now)
            for _ in range(20)
        )
    )
    assert len(queried) == 4


async def test_a_request_whose_engine_answers_again_is_barred_in_no_row() -> (
    None
):
    """Guards against requests barred anew by whoever reads what was untrue."""
    kept: list[str] = []
    quarantine = PartQuarantine(lambda _service: 3)
    call, endpoint, now = build_call(), build_endpoint(), monotonic()
    for number in range(3):
        at = now + number
        ended = build_ended(call, endpoint, at, at, ())
        quarantine.record_end(
            attrs.evolve(
                ended,
                engine=f'i-{number} 1',
                confirmed=True,
                fingerprint='lethal',
            ),
            at,
        )
    observer = EndObserver(
        quarantine,
        types.SimpleNamespace(announce_revived=lambda *_engine: None),
        types.SimpleNamespace(keep_request=kept.append),
        *(None for _ in range(5)),
    )
    observer._revive('writer', 'i-1 1', now + 5)
    assert kept == ['lethal']


async def test_parts_quarantined_under_another_are_kept() -> None:
    """Guards against a part forgotten when all instances start again."""
    kept: set[str] = set()
    quarantine = PartQuarantine(lambda _service: 3)
    call, endpoint, now = build_call(), build_endpoint(), monotonic()
    for number in range(3):
        ended = build_ended(
            call, endpoint, now + number, now + number, ('part',)
        )
        quarantine.record_end(
            attrs.evolve(ended, engine=f'i-{number} 1', confirmed=number < 2),
            now + number,
        )
    observer = EndObserver(
        quarantine,
        types.SimpleNamespace(announce_end=lambda _ended: None),
        types.SimpleNamespace(keep=lambda _service, parts: kept.update(parts)),
        *(None for _ in range(5)),
    )
    last = build_ended(call, endpoint, now + 2, now + 2, ('other',))
    observer._confirm(attrs.evolve(last, engine='i-2 1', confirmed=True))
    assert kept == {'part', 'other'}


async def test_an_engine_that_leaves_accuses_no_part() -> None:
    """It breaks off what still runs there when it exits."""
    declaration = EndpointDeclaration('i-0', 'a', '10.0.0.0:80')
    table = EndpointTable()
    table.replace_groups(
        [EndpointGroup('writer', EndpointKind.ENGINE, [declaration])]
    )
    endpoint = table.get('i-0')
    table.keep_withdrawal('i-0', '', 0).state_leaving(0)
    quarantine = PartQuarantine(lambda _service: 3)
    observer = EndObserver(
        quarantine,
        types.SimpleNamespace(announce_end=lambda _ended: None),
        None,
        None,
        table,
        DirectPaths(),
        QuarantineMetrics(Counters().registry),
        random.Random(1),
    )
    call = build_call()
    call.head = attrs.evolve(call.head, shared_parts=('part',))
    await observe(observer, call, endpoint)
    assert quarantine.get('writer', 'part') is None


@pytest.mark.parametrize('lost', [0, 1, 2, 3])
async def test_a_cut_that_begins_or_ends_during_a_check_proves_no_end(
    lost: int,
) -> None:
    """Other engines answered again after the one that was asked did not."""
    declarations = [
        EndpointDeclaration(f'i-{number}', 'a', f'10.0.0.{number}:80')
        for number in range(2)
    ]
    table = EndpointTable()
    table.replace_groups(
        [EndpointGroup('writer', EndpointKind.ENGINE, declarations)]
    )
    endpoint = table.get('i-0')
    controls = 0

    async def read_incarnation(address: str) -> Result[str, str]:
        nonlocal controls  # noqa: WPS420  counts over the calls
        await asyncio.sleep(0)
        if address == endpoint.declaration.address:
            return Failure('lost')
        controls += 1
        return Failure('lost') if controls == lost + 1 else Success('')

    observer = build_observer(table, read_incarnation)
    call = build_call()
    call.head = attrs.evolve(call.head, shared_parts=('part',))
    await observe(observer, call, endpoint)
    assert observer._quarantine.get('writer', 'part').trials == 0


@pytest.mark.parametrize('incarnation', ['born', 'again', ''])
async def test_an_engine_that_paused_accuses_no_part_for_long(
    incarnation: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """An engine that stood still for some seconds counted as ended for good."""
    monkeypatch.setattr(ends_module, '_QUERY_PERIOD', 0)
    monkeypatch.setattr(ends_module, '_REVIVAL_DELAYS', (0.01, 0.01, 0.01))
    declarations = [
        EndpointDeclaration(
            f'i-{number}', 'a', f'10.0.0.{number}:80', incarnation='born'
        )
        for number in range(2)
    ]
    table = EndpointTable()
    table.replace_groups(
        [EndpointGroup('writer', EndpointKind.ENGINE, declarations)]
    )
    queries = 0

    async def read_incarnation(address: str) -> Result[str, str]:
        nonlocal queries  # noqa: WPS420  counts over the calls
        await asyncio.sleep(0)
        if address != declarations[0].address:
            return Success('born')
        queries += 1
        return Success(incarnation) if queries > 4 else Failure('silent')

    revived: list[str] = []
    observer = EndObserver(
        PartQuarantine(lambda _service: 2),
        types.SimpleNamespace(
            announce_end=lambda _ended: None,
            announce_revived=lambda _service, engine, _age: revived.append(
                engine
            ),
        ),
        types.SimpleNamespace(keep=lambda *_parts: None),
        types.SimpleNamespace(read_incarnation=read_incarnation),
        table,
        DirectPaths(),
        QuarantineMetrics(Counters().registry),
        random.Random(1),
    )
    call = build_call()
    call.head = attrs.evolve(call.head, shared_parts=('part',))
    await observe(observer, call, table.get('i-0'))
    assert observer._quarantine.get('writer', 'part').trials == 1
    await asyncio.wait(list(observer._watches.values()))
    is_alive = incarnation == 'born'
    assert bool(revived) is is_alive
    assert (observer._quarantine.get('writer', 'part') is None) is is_alive
    assert queries == 5


@pytest.mark.parametrize('returns', ['again', 'born', ''])
async def test_calls_to_an_engine_that_may_have_ended_accuse_nothing(
    returns: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """All engines were down; calls sent to one afterwards dated its end anew.

    A sound part came into quarantine by ends that were long past.
    """
    monkeypatch.setattr(ends_module, '_QUERY_PERIOD', 0)
    monkeypatch.setattr(ends_module, '_REVIVAL_DELAYS', (0.05, 0.05))
    declarations = [
        EndpointDeclaration(
            f'i-{number}', 'a', f'10.0.0.{number}:80', incarnation='born'
        )
        for number in range(2)
    ]
    table = EndpointTable()
    table.replace_groups(
        [EndpointGroup('writer', EndpointKind.ENGINE, declarations)]
    )
    answers: dict[str, str] = {}

    async def read_incarnation(address: str) -> Result[str, str]:
        await asyncio.sleep(0)
        known = answers.get(address)
        return Success(known) if known else Failure('down')

    observer = build_observer(table, read_incarnation)
    for part in ('poison', 'sound'):
        call = build_call()
        call.head = attrs.evolve(call.head, shared_parts=(part,))
        await observe(observer, call, table.get('i-0'))
        answers[declarations[1].address] = 'born'
        if returns:
            answers[declarations[0].address] = returns
    assert observer._quarantine.get('writer', 'sound') is None
    await asyncio.wait(list(observer._watches.values()))
    await asyncio.sleep(0)
    poison = observer._quarantine.get('writer', 'poison')
    trials = poison.trials if poison else 0
    assert trials == int(returns == 'again')
    assert not observer._doubted
