"""Sums of the work in flight, over many instances that come and go."""

import random

import attrs
import pytest

from kelproad.state.work import FORGET_AFTER, EndpointWork, WorkLedger

PEERS = 40
ENGINES = 12
STEPS = 3_000
STEP_SECONDS = 0.01
#: What rounding may leave of seconds after thousands of updates.
ROUNDING = 0.000001


def draw_work(generator: random.Random) -> dict[str, EndpointWork]:
    """Draw what one instance has in flight."""
    names = generator.sample(range(ENGINES), generator.randrange(4))
    return {
        f'i-{name}': EndpointWork(
            generator.randrange(3),
            generator.randrange(10_000),
            generator.random(),
            generator.randrange(2),
            generator.randrange(2),
        )
        for name in names
    }


def sum_anew(
    told: dict[str, tuple[float, dict[str, EndpointWork]]],
    endpoint: str,
    now: float,
) -> EndpointWork:
    """Sum what instances told lately, one by one."""
    total = EndpointWork()
    for heard_at, by_endpoint in told.values():
        if now - heard_at < FORGET_AFTER and endpoint in by_endpoint:
            total.add(by_endpoint[endpoint])
    return total


@pytest.mark.parametrize('seed', range(5))
def test_sums_follow_every_update_end_and_silence(seed: int) -> None:
    """Sums that are kept drift from the truth: engines look busy for ever."""
    generator = random.Random(seed)
    ledger = WorkLedger()
    told: dict[str, tuple[float, dict[str, EndpointWork]]] = {}
    now = 1000.0
    for _ in range(STEPS):
        now += generator.expovariate(1) * STEP_SECONDS
        peer = f'edge-{generator.randrange(PEERS)}'
        if generator.randrange(10):
            work = draw_work(generator)
            ledger.accept_peer(peer, work, now)
            told[peer] = (now, work)
        else:
            ledger.forget_peer(peer)
            told.pop(peer, None)
        endpoint = f'i-{generator.randrange(ENGINES)}'
        summed = ledger.sum_at(endpoint, now)
        expected = sum_anew(told, endpoint, now)
        assert attrs.astuple(summed) == pytest.approx(
            attrs.astuple(expected),
            abs=ROUNDING,
        )
    assert ledger.sum_at('i-1', now + FORGET_AFTER).idle


def test_looking_up_a_sum_takes_no_turn_for_each_peer() -> None:
    """195 instances before 195 engines: one choice summed for 5 ms."""
    ledger = WorkLedger()
    for number in range(1_000):
        ledger.accept_peer(f'edge-{number}', {'i-1': EndpointWork(1)}, 1000)
    assert ledger.sum_at('i-1', 1000).calls == 1_000

    # Whatever looks through the peers fails.
    ledger._peers = None
    assert ledger.sum_at('i-1', 1000.1).calls == 1_000
