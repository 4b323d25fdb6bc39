"""Calls that arrive at an instance before its first configuration."""

import asyncio
import math
import random
import types
from collections.abc import Callable

import pytest
from returns.result import Failure, Result, Success

from kelproad.coordination.drain import Drain
from kelproad.coordination.ingress.admission import (
    admitting as admitting_module,
)
from kelproad.coordination.ingress.admission.admitting import Admitter
from kelproad.coordination.ingress.admission.stopping import (
    StopGuard,
    plan_stop,
)
from kelproad.coordination.ingress.settings import Bounds
from kelproad.coordination.ingress.tables import (
    expecting as expecting_module,
)
from kelproad.coordination.ingress.tables.confirming import (
    ConfirmedElsewhere,
)
from kelproad.coordination.ingress.tables.expecting import (
    ConfirmationWait,
    ExpectedConfirmation,
)
from kelproad.coordination.ingress.tables.holder import ConfigurationHolder
from kelproad.state.budgets import HeldBytes
from kelproad.state.refusals import Refusal, RefusalCode
from kelproad.state.routes import IngressLimits, RoutingConfiguration
from kelproad.transport.deadlines import monotonic

#: Seconds after which the configuration arrives.
ARRIVES_AFTER = 0.05
HEAD = types.SimpleNamespace(
    host='example', path='/unknown/', time_allowed=None
)
REQUEST = types.SimpleNamespace(raw_headers=(), raw_path='/unknown/')


def create_admitter(
    holder: ConfigurationHolder,
    store_failing: bool = False,
    complete: bool = True,
    elsewhere: ConfirmedElsewhere = ConfirmedElsewhere.NOWHERE,
    since_standstill: float = math.inf,
    measure_age: Callable[[], float] = int,
) -> Admitter:
    """Build the admitter of an instance whose configuration is fresh."""
    return Admitter(
        holder,
        measure_age,
        lambda: complete,
        lambda: elsewhere,
        lambda: store_failing,
        lambda: since_standstill,
        StopGuard(Drain(int, lambda: plan_stop(8))),
        lambda: Bounds(apply_configuration=3),
        random.Random(1),
    )


async def admit(
    admitter: Admitter, head: types.SimpleNamespace = HEAD
) -> Result[object, Refusal]:
    return await admitter.admit(
        head, REQUEST, monotonic(), HeldBytes(1_000_000).begin()
    )


def hold_empty_configuration() -> ConfigurationHolder:
    """Build a holder of a configuration without any route."""
    holder = ConfigurationHolder()
    configuration = RoutingConfiguration(1, {}, {}, {}, IngressLimits())
    assert holder.offer(Success(configuration), b'as written')
    return holder


def lose_store(admitter: Admitter) -> None:
    """Let the calls that wait once for the store have waited."""
    admitter._confirmation_wait._until = -math.inf


async def test_a_call_waits_for_the_first_configuration() -> None:
    """Guards against sending callers from one starting instance to the next."""
    holder = ConfigurationHolder()
    call = asyncio.create_task(admit(create_admitter(holder)))
    await asyncio.sleep(ARRIVES_AFTER)
    assert not call.done()
    configuration = RoutingConfiguration(1, {}, {}, {}, IngressLimits())
    assert holder.offer(Success(configuration), b'as written')
    refused = (await call).failure()
    assert refused.code is RefusalCode.NOT_FOUND


async def test_a_call_is_refused_when_the_wait_ends() -> None:
    """Guards against holding a call that nobody here can serve."""
    began = monotonic()
    refused = await admit(create_admitter(ConfigurationHolder()))
    assert isinstance(refused, Failure)
    assert refused.failure().code is RefusalCode.NOT_READY
    waited = monotonic() - began
    assert waited >= admitting_module._FIRST_CONFIGURATION_WAIT


@pytest.mark.parametrize('elsewhere', list(ConfirmedElsewhere))
@pytest.mark.parametrize(
    ('complete', 'code', 'retry_after'),
    [
        (True, RefusalCode.NOT_FOUND, None),
        (False, RefusalCode.NOT_READY, 0.25),
    ],
)
async def test_no_refusal_is_final_while_a_restored_store_lacks_writes(
    complete: bool,
    code: RefusalCode,
    retry_after: float | None,
    elsewhere: ConfirmedElsewhere,
) -> None:
    """Guards against final refusals of keys and routes that were accepted.

    Their callers come back when the news may have arrived, not at once.
    """
    admitter = create_admitter(
        hold_empty_configuration(), complete=complete, elsewhere=elsewhere
    )
    refused = (await admit(admitter)).failure()
    assert refused.code is code
    assert refused.retry_after == retry_after


async def test_a_call_is_refused_at_once_while_the_store_fails() -> None:
    """Guards against holding a call although the store is known to be down."""
    admitter = create_admitter(ConfigurationHolder(), store_failing=True)
    call = asyncio.create_task(admit(admitter))
    await asyncio.sleep(0)
    await asyncio.sleep(0)
    assert call.done()
    assert call.result().failure().code is RefusalCode.NOT_READY


@pytest.mark.parametrize(('age', 'trusted'), [(4.4, True), (4.6, False)])
def test_keys_are_trusted_as_long_as_a_revocation_permits(
    age: float, trusted: bool
) -> None:
    """Calls were refused a second and more before a revocation binds."""
    admitter = create_admitter(ConfigurationHolder())
    admitter._measure_age = lambda: age
    admitter._read_bounds = lambda: Bounds(revoke_key=5)
    assert admitter.trusted is trusted


async def test_many_calls_that_wait_for_a_confirmation_look_for_it_once() -> (
    None
):
    """Guards against a loop that a thousand waiting calls keep busy."""
    looks: list[None] = []

    def measure_age() -> float:
        looks.append(None)
        return 3.0

    wait = ConfirmationWait(measure_age, lambda: 2.0)
    calls = 500
    await asyncio.gather(*(wait.wait() for _ in range(calls)))
    assert len(looks) < 2 * calls


@pytest.mark.parametrize(
    ('confirmed_after', 'waited'), [(0.05, 0.05), (math.inf, 0.25)]
)
async def test_calls_wait_once_for_a_confirmation_that_is_overdue(
    confirmed_after: float, waited: float
) -> None:
    """Guards against an old version after a pause, and late calls in a cut."""
    began = monotonic()

    def measure_age() -> float:
        return 3.0 * (monotonic() < began + confirmed_after)

    wait = ConfirmationWait(measure_age, lambda: 2.0)
    await asyncio.gather(*(wait.wait() for _ in range(3)))
    assert waited <= monotonic() - began < waited + ARRIVES_AFTER
    again = monotonic()
    await wait.wait()
    assert monotonic() - again < ARRIVES_AFTER


@pytest.mark.parametrize(
    ('elsewhere', 'retry_after'),
    [
        (ConfirmedElsewhere.WIDELY, 0.02),
        (ConfirmedElsewhere.PARTLY, 0.2),
        (ConfirmedElsewhere.PRESUMABLY, 0.2),
        (ConfirmedElsewhere.NOWHERE, 1.0),
    ],
)
def test_callers_are_sent_on_at_once_only_to_instances_that_serve(
    elsewhere: ConfirmedElsewhere, retry_after: float
) -> None:
    """Guards against callers who come back fifty times a second in vain."""
    admitter = create_admitter(ConfigurationHolder(), elsewhere=elsewhere)
    assert admitter._refuse_unconfirmed('').retry_after == retry_after


@pytest.mark.parametrize(
    ('elsewhere', 'since_standstill', 'retry_after'),
    [
        (ConfirmedElsewhere.WIDELY, math.inf, 0.2),
        (ConfirmedElsewhere.PARTLY, math.inf, 0.2),
        (ConfirmedElsewhere.NOWHERE, 0.1, 1),
    ],
)
async def test_a_call_waits_for_a_confirmation_that_is_expected(
    elsewhere: ConfirmedElsewhere, since_standstill: float, retry_after: float
) -> None:
    """Guards against refusals by an instance that will serve within a moment.

    It is served when the confirmation comes, and else refused in time; a caller
    with a second in all can then still be served elsewhere.
    """
    began = monotonic()
    confirmed_at = math.inf
    admitter = create_admitter(
        hold_empty_configuration(),
        elsewhere=elsewhere,
        since_standstill=since_standstill,
        measure_age=lambda: 5.0 * (monotonic() < confirmed_at),
    )
    lose_store(admitter)
    refused = (await admit(admitter)).failure()
    assert refused.code is RefusalCode.NOT_READY
    assert refused.retry_after == retry_after
    waited = admitting_module._EXPECTED_WAIT
    assert waited <= monotonic() - began < waited + ARRIVES_AFTER
    began = monotonic()
    confirmed_at = began + ARRIVES_AFTER
    served = (await admit(admitter)).failure()
    assert served.code is RefusalCode.NOT_FOUND
    assert monotonic() - began < 2 * ARRIVES_AFTER


@pytest.mark.parametrize(
    'elsewhere', [ConfirmedElsewhere.PRESUMABLY, ConfirmedElsewhere.NOWHERE]
)
async def test_a_call_is_refused_at_once_while_no_confirmation_is_expected(
    elsewhere: ConfirmedElsewhere,
) -> None:
    """Guards against calls that are held though nobody can confirm."""
    admitter = create_admitter(
        hold_empty_configuration(), elsewhere=elsewhere, measure_age=lambda: 5.0
    )
    lose_store(admitter)
    call = asyncio.create_task(admit(admitter))
    await asyncio.sleep(0)
    await asyncio.sleep(0)
    assert call.done()
    assert call.result().failure().code is RefusalCode.NOT_READY


async def test_a_call_waits_for_a_share_of_its_time_only() -> None:
    """Guards against a caller in a hurry whose time passes here."""
    admitter = create_admitter(
        hold_empty_configuration(),
        elsewhere=ConfirmedElsewhere.WIDELY,
        measure_age=lambda: 5.0,
    )
    lose_store(admitter)
    head = types.SimpleNamespace(
        host='example', path='/unknown/', time_allowed=0.3
    )
    began = monotonic()
    await admit(admitter, head)
    share = head.time_allowed * admitting_module._EXPECTED_WAIT_SHARE
    assert share <= monotonic() - began < share + ARRIVES_AFTER


async def test_calls_that_expect_a_confirmation_look_for_it_once() -> None:
    """Guards against a loop that a thousand waiting calls keep busy."""
    looks: list[None] = []

    def measure_age() -> float:
        looks.append(None)
        return 3.0

    expected = ExpectedConfirmation(measure_age, lambda: 2.0, lambda: True)
    calls = 500
    end = monotonic() + 0.25
    await asyncio.gather(*(expected.wait(end) for _ in range(calls)))
    # One each before and after it, and those of the look-out.
    assert len(looks) < 2 * calls + 50


def test_a_confirmation_that_does_not_come_is_expected_no_longer(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against an instance cut off from peers that holds calls."""
    now = 100.0
    monkeypatch.setattr(expecting_module, 'monotonic', lambda: now)
    is_near = True
    expected = ExpectedConfirmation(lambda: 9.0, lambda: 2.0, lambda: is_near)
    assert expected.is_expected
    now += 1.9
    assert expected.is_expected
    now += 0.2
    assert not expected.is_expected
    is_near = False
    assert not expected.is_expected
    is_near = True
    assert expected.is_expected
