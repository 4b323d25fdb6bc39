"""The guard of engines, with an observer that takes its time."""

import asyncio
import random
import types

from kelproad.coordination.ingress.quarantine.guard import PromptGuard
from kelproad.coordination.ingress.streams.answers import AttemptFailure
from kelproad.state.calls import Call, CallHead
from kelproad.state.quarantine import PartQuarantine
from kelproad.state.refusals import Ran
from kelproad.state.routes import CallKind, Route, WeightedService
from kelproad.transport.deadlines import monotonic


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


async def test_a_check_that_ends_late_leaves_the_next_trial_alone() -> None:
    """The retry of a call is no longer the only one with its part."""
    finished: list[tuple[str, ...]] = []
    checked = asyncio.Event()

    async def observe(*_attempt: object) -> None:
        await checked.wait()

    guard = PromptGuard(
        PartQuarantine(lambda _service: 1),
        types.SimpleNamespace(
            finish=lambda _call, parts: finished.append(parts)
        ),
        types.SimpleNamespace(observe=observe),
        None,
        None,
        None,
        random.Random(1),
    )
    call = build_call()
    failure = AttemptFailure('silent', Ran.UNKNOWN)
    await guard.record_failure(call, None, failure, monotonic())
    call.trial = ('part',)
    checked.set()
    await asyncio.wait(guard._background)
    assert not finished
    guard.release(call)
    assert finished == [('part',)]
