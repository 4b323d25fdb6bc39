"""Sums of the work in flight, over instances that join and depart."""

import random

import attrs
import pytest

from kelproad.state.work import FORGET_AFTER, EndpointWork, WorkLedger

PEERS = 40
ENGINES = 12
STEPS = 3_000
STEP_SECONDS = 0.01
#: Tolerated rounding error in seconds after thousands of updates.
ROUNDING = 0.000001


def generate_work(generator: random.Random) -> dict[str, EndpointWork]:
    """Generate the work that one instance has in flight."""
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


def sum_reports(
    reported: dict[str, tuple[float, dict[str, EndpointWork]]],
    endpoint: str,
    now: float,
) -> EndpointWork:
    """Sum the latest reports that have not expired, one by one."""
    total = EndpointWork()
    for received_at, by_endpoint in reported.values():
        if now - received_at < FORGET_AFTER and endpoint in by_endpoint:
            total.add(by_endpoint[endpoint])
    return total


@pytest.mark.parametrize('seed', range(5))
def test_sums_follow_every_update_end_and_silence(seed: int) -> None:
    """Incremental sums must not drift: engines would look busy for ever."""
    generator = random.Random(seed)
    ledger = WorkLedger()
    reported: dict[str, tuple[float, dict[str, EndpointWork]]] = {}
    now = 1000.0
    for _ in range(STEPS):
        now += generator.expovariate(1) * STEP_SECONDS
        peer = f'edge-{generator.randrange(PEERS)}'
        if generator.randrange(10):
            work = generate_work(generator)
            ledger.accept_peer(peer, work, now)
            reported[peer] = (now, work)
        else:
            ledger.forget_peer(peer)
            reported.pop(peer, None)
        endpoint = f'i-{generator.randrange(ENGINES)}'
        summed = ledger.sum_at(endpoint, now)
        expected = sum_reports(reported, endpoint, now)
        assert attrs.astuple(summed) == pytest.approx(
            attrs.astuple(expected),
            abs=ROUNDING,
        )
    assert ledger.sum_at('i-1', now + FORGET_AFTER).idle


def test_looking_up_a_sum_visits_no_peers() -> None:
    """Summing 195 instances for 195 engines would take 5 ms per choice."""
    ledger = WorkLedger()
    for number in range(1_000):
        ledger.accept_peer(f'edge-{number}', {'i-1': EndpointWork(1)}, 1000)
    assert ledger.sum_at('i-1', 1000).calls == 1_000

    # Any access to the peers fails from here on.
    ledger._peers = None
    assert ledger.sum_at('i-1', 1000.1).calls == 1_000
