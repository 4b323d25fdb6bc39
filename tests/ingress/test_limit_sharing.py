"""Request limits hold for all instances together, whatever each one knows."""

import collections
import math
import random

import pytest

from kelproad.state.startschedules import StartSchedule, choose_spacing
from tests.ingress.limits import NOW, Fleet

WINDOW = 4.0
SECONDS = 40.0
#: Seconds between two calls of all instances, far more than the limits permit.
CALL_PERIOD = 0.01
USED_SHARE = 0.9
SILENT_SECONDS = 3.0


def count_most(starts: list[float], window: float = WINDOW) -> int:
    """Count the most starts in any window."""
    most = 0
    recent: collections.deque[float] = collections.deque()
    for at in sorted(starts):
        recent.append(at)
        while recent[0] <= at - window:
            recent.popleft()
        most = max(most, len(recent))
    return most


def count_allowed(rate: float) -> float:
    """Count the starts in a window that a limit allows."""
    return 1.5 * rate * WINDOW + 5


async def start_calls(
    fleet: Fleet,
    zones: tuple[str, ...],
    seconds: float,
    seed: int = 1,
) -> list[float]:
    """Let instances chosen at random request starts; return the granted."""
    generator = random.Random(seed)
    hosts = [host for host in fleet.instances if host not in fleet.silent]
    end = fleet.now + seconds
    introduced_at = fleet.now
    starts: list[float] = []
    while fleet.now < end:
        fleet.now += CALL_PERIOD
        if fleet.now - introduced_at > 1:
            introduced_at = fleet.now
            fleet.introduce()
        instance = fleet.instances[generator.choice(hosts)]
        if await instance.start(generator.choice(zones)):
            starts.append(fleet.now)
    return starts


@pytest.mark.parametrize('rate', [0.2, 1, 2.5, 12])
def test_starts_are_spaced_evenly(rate: float) -> None:
    """Neither idle time nor reservations let more start than is allowed."""
    generator = random.Random(1)
    spacing = choose_spacing(rate)
    schedule = StartSchedule(spacing, NOW)
    starts = []
    now = NOW
    while now < NOW + SECONDS:
        pauses = (0.001, 0.01, spacing, 6)
        weights = (60, 100, 5, 0.1)
        now += generator.choices(pauses, weights)[0] * generator.random()
        grant = schedule.reserve(spacing, generator.choice((0, 0.3, 1)), now)
        if grant.granted:
            starts.append(now + grant.wait)
    assert count_most(starts) <= 4 * rate + max(1, rate) + 1
    assert schedule.measure_use(now) <= rate + max(1, rate)


def test_a_raised_limit_is_used_at_once() -> None:
    """Starts reserved by a low limit must not delay those of a higher one."""
    schedule = StartSchedule(choose_spacing(0.1), NOW)
    schedule.reserve(choose_spacing(0.1), 0, NOW)
    assert not schedule.reserve(choose_spacing(0.1), 5, NOW).granted
    assert schedule.reserve(choose_spacing(10), 0.2, NOW + 0.01).granted


def test_a_lowered_limit_does_not_block() -> None:
    """What a high limit had to make up for delayed a low one for minutes."""
    schedule = StartSchedule(choose_spacing(100), NOW)
    assert schedule.reserve(choose_spacing(100), 0, NOW).granted
    grant = schedule.reserve(choose_spacing(1), 0, NOW + 0.001)
    assert not grant.granted
    assert grant.next_wait <= 1


def test_an_endpoint_that_accepts_nothing_is_probed() -> None:
    """Only an answer to a request shows that a limit of 0 has ended."""
    schedule = StartSchedule(choose_spacing(0), NOW)
    starts = [
        second
        for second in range(60)
        if schedule.reserve(choose_spacing(0), 0, NOW + second).granted
    ]
    assert starts == [0, 10, 20, 30, 40, 50]


@pytest.mark.parametrize(
    'rate', [math.inf, math.nan, -1, 1e300, 1e-300, 999999999999999]
)
def test_no_rate_breaks_a_schedule(rate: float) -> None:
    """Anybody may send a datagram with a rate that no endpoint states."""
    schedule = StartSchedule(choose_spacing(rate), NOW)
    for spacing in (choose_spacing(rate), choose_spacing(2)):
        assert 0 < spacing <= 10
        assert schedule.reserve(spacing, 10, NOW).granted


@pytest.mark.parametrize('rate', [1, 3])
@pytest.mark.parametrize(
    'zones',
    [
        {'a': 3, 'b': 3, 'c': 3},
        {'a': 29, 'b': 28, 'c': 28},
        {'a': 65, 'b': 65, 'c': 65},
        {zone: 103 for zone in 'abcd'},
    ],
    ids=('9', '85', '195', '412'),
)
async def test_instances_share_one_limit(
    monkeypatch: pytest.MonkeyPatch,
    zones: dict[str, int],
    rate: float,
) -> None:
    """Each instance sent as much as the whole limit permits."""
    fleet = Fleet(monkeypatch, zones)
    for instance in fleet.instances.values():
        instance.learn('b', rate)
    starts = await start_calls(fleet, ('b',), SECONDS)
    assert count_most(starts) <= count_allowed(rate)
    assert len(starts) >= USED_SHARE * rate * SECONDS


async def test_the_coordinator_learns_a_limit_from_queries(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """It need not have been told itself, and learns the end first-hand."""
    fleet = Fleet(monkeypatch, {'a': 3, 'b': 3})
    told = list(fleet.instances.values())[:2]
    for instance in told:
        instance.learn('b', 1)
    assert [await instance.start('b') for instance in told] == [True, False]
    knowing = [
        instance
        for instance in fleet.instances.values()
        if instance.observer.limits.list_limited()
    ]
    assert len(knowing) == 3
    fleet.now += 0.5
    for instance in fleet.instances.values():
        if instance not in told:
            instance.learn('b', None)
    fleet.now += 1
    assert [await instance.start('b') for instance in told] == [True, True]
    assert not told[0].observer.limits.list_limited()


async def test_a_silent_coordinator_is_replaced(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Without it, the limit must neither lie idle for long nor count twice."""
    rate = 3
    fleet = Fleet(monkeypatch, {'a': 5, 'b': 5})
    for instance in fleet.instances.values():
        instance.learn('b', rate)
    starts = await start_calls(fleet, ('b',), 10)
    one = next(iter(fleet.instances.values()))
    coordinator = one.selector.select('engine-b', 'b', fleet.now)
    fleet.silent.add(coordinator.host)
    starts += await start_calls(fleet, ('b',), 20)
    assert count_most(starts) <= count_allowed(rate)
    killed_at = NOW + 10
    before = [
        at for at in starts if killed_at <= at < killed_at + SILENT_SECONDS
    ]
    after = [at for at in starts if at >= killed_at + SILENT_SECONDS + 1]
    assert before
    assert len(after) >= USED_SHARE * rate * (20 - SILENT_SECONDS - 1)


async def test_zones_share_the_limit_of_one_without_instances(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """All instances of a zone are killed, and its engines serve the others."""
    rate = 3
    fleet = Fleet(monkeypatch, {'a': 3, 'b': 3, 'c': 3})
    fleet.silent = {host for host in fleet.instances if '.1.' in host}
    for instance in fleet.instances.values():
        instance.learn('b', rate)
    fleet.now += SILENT_SECONDS + 1
    fleet.introduce()
    starts = await start_calls(fleet, ('b',), SECONDS)
    assert count_most(starts) <= count_allowed(rate)
    assert len(starts) >= USED_SHARE * rate * SECONDS


async def test_a_request_that_cannot_wait_is_counted(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Queries of an engine's report go beside calls, at their cost."""
    fleet = Fleet(monkeypatch, {'a': 2, 'b': 2})
    for instance in fleet.instances.values():
        instance.learn('b', 1)
    first, *others = fleet.instances.values()
    for _ in range(3):
        first.gate.charge(fleet.get_endpoint('b'))
    fleet.now += 2.9
    assert not any([await one.start('b') for one in others])
    fleet.now += 0.2
    assert await others[0].start('b')


async def test_each_part_of_a_prompt_takes_a_start(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Engines that prefill parts for others get requests as well."""
    fleet = Fleet(monkeypatch, {'a': 2, 'b': 2})
    first, *others = fleet.instances.values()
    for instance in fleet.instances.values():
        instance.learn('a', 1)
        instance.learn('b', 1)
    both = [fleet.get_endpoint('a'), fleet.get_endpoint('b')]
    assert await first.gate.admit(both, 0)
    for zone in 'ab':
        assert not any([await one.start(zone) for one in others])
    fleet.now += 1
    assert await others[0].start('b')
    assert not await first.gate.admit(both, 0)


async def test_a_call_waits_for_its_turn(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A start within the wait that the choice expected is reserved."""
    fleet = Fleet(monkeypatch, {'a': 1})
    instance = next(iter(fleet.instances.values()))
    instance.learn('a', 50)
    endpoint = fleet.get_endpoint('a')
    assert [await instance.start('a') for _ in range(100)].count(True) == 1
    expected = instance.gate.predict_wait(endpoint, fleet.now)
    assert expected == pytest.approx(1 / 50)
    assert not await instance.start('a', longest_wait=expected / 2)
    assert await instance.start('a', longest_wait=expected)


def test_a_reborn_endpoint_is_not_limited(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The limit was stated by the incarnation before."""
    fleet = Fleet(monkeypatch, {'a': 1})
    instance = next(iter(fleet.instances.values()))
    instance.learn('a', 1)
    endpoint = fleet.get_endpoint('a')
    assert instance.gate.find_rate(endpoint) == 1
    endpoint.declaration = type(endpoint.declaration)(
        endpoint.name, 'a', '10.9.0.1:80', incarnation='2'
    )
    assert instance.gate.find_rate(endpoint) is None
    assert instance.gate.predict_wait(endpoint, fleet.now) is None


async def test_a_limit_that_ended_unseen_ends_with_a_query(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """One instance knew a limit for 12 s that the others had never heard of."""
    fleet = Fleet(monkeypatch, {'a': 4})
    late = next(
        instance
        for instance in fleet.instances.values()
        if instance.selector.select('engine-a', 'a', fleet.now).host
    )
    late.learn('a', 1)
    fleet.now += 12
    fleet.introduce()
    for instance in fleet.instances.values():
        if instance is not late:
            instance.learn('a', None)
    fleet.now += 0.3
    assert await late.start('a')
    assert not any(
        instance.observer.limits.list_limited()
        for instance in fleet.instances.values()
    )
