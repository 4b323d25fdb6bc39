"""Calls that arrive at an instance before its first configuration."""

import asyncio
import math
import random
import types

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
from kelproad.coordination.ingress.membership.confirmed import (
    ConfirmedElsewhere,
)
from kelproad.coordination.ingress.settings import Bounds
from kelproad.coordination.ingress.tables.confirming import ConfirmationWait
from kelproad.coordination.ingress.tables.holder import ConfigurationHolder
from kelproad.state.budgets import HeldBytes
from kelproad.state.refusals import Refusal, RefusalCode
from kelproad.state.routes import IngressLimits, RoutingConfiguration
from kelproad.transport.deadlines import monotonic

#: Seconds after which the configuration arrives.
ARRIVES_AFTER = 0.05
HEAD = types.SimpleNamespace(host='example', path='/unknown/')
REQUEST = types.SimpleNamespace(raw_headers=(), raw_path='/unknown/')


def create_admitter(
    holder: ConfigurationHolder,
    store_failing: bool = False,
    complete: bool = True,
    elsewhere: ConfirmedElsewhere = ConfirmedElsewhere.NOWHERE,
) -> Admitter:
    """Build the admitter of an instance whose configuration is fresh."""
    return Admitter(
        holder,
        int,
        lambda: complete,
        lambda: elsewhere,
        lambda: store_failing,
        StopGuard(Drain(int, lambda: plan_stop(8))),
        lambda: types.SimpleNamespace(apply_configuration=3),
        random.Random(1),
    )


async def admit(admitter: Admitter) -> Result[object, Refusal]:
    return await admitter.admit(
        HEAD, REQUEST, monotonic(), HeldBytes(1_000_000).begin()
    )


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


@pytest.mark.parametrize(
    ('complete', 'code'),
    [(True, RefusalCode.NOT_FOUND), (False, RefusalCode.NOT_READY)],
)
async def test_no_refusal_is_final_while_a_restored_store_lacks_writes(
    complete: bool, code: RefusalCode
) -> None:
    """Guards against final refusals of keys and routes that were accepted."""
    holder = ConfigurationHolder()
    configuration = RoutingConfiguration.from_declarations(
        1, [], [], {}, IngressLimits(), {}
    )
    assert holder.offer(Success(configuration), b'as written')
    refused = await admit(create_admitter(holder, complete=complete))
    assert refused.failure().code is code


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
async def test_callers_are_sent_on_at_once_only_to_instances_that_serve(
    elsewhere: ConfirmedElsewhere, retry_after: float
) -> None:
    """Guards against callers who come back fifty times a second in vain."""
    admitter = create_admitter(
        ConfigurationHolder(), store_failing=True, elsewhere=elsewhere
    )
    refused = await admit(admitter)
    assert refused.failure().retry_after == retry_after
