"""Engines that warm up: what is known, how much they get, who gets the rest."""

import msgspec
import pytest
from multidict import CIMultiDict, CIMultiDictProxy

from kelproad.coordination.ingress.streams.observing import AnswerObserver
from kelproad.coordination.ingress.tables.endpoints import EndpointRegistry
from kelproad.coordination.ingress.tables.positions import StoreOutages
from kelproad.coordination.ingress.tables.roworders import ENDPOINT_ORDER
from kelproad.coordination.ingress.tables.tablestates import (
    DecodedState,
    Revision,
    StoredRow,
    TableState,
)
from kelproad.platform.rows import decode_configuration, decode_endpoint
from kelproad.platform.statements import read_statements
from kelproad.state.calls import AnswerHead, Outcome
from kelproad.state.endpointtable import EndpointTable
from kelproad.state.requestlimits import WarmUp, WarmUps
from kelproad.transport.deadlines import monotonic
from tests.ingress.limits import NOW, Fleet, build_observer
from tests.ingress.test_limit_sharing import count_most, start_calls
from tests.ingress.test_placing import SUMMARY, build, choose
from tests.ingress.test_tables import report
from tests.ingress.test_withdrawals import build_withdrawal_observer

#: Requests per second that an engine bears while it warms up, the same as the
#: sites declare it, and the most in any second that operators allow.
RATE = 17
MOST = 1.5 * RATE + 5
USED_SHARE = 0.9
#: Seconds after which peers that are not heard count as lost.
LONG_SECONDS = 4.0
SECONDS = 6.0
WARM_UP_SECONDS = 3
#: Seconds that an entry states, and that may pass until they are compared.
STATED_SECONDS = 2.5
SLACK_SECONDS = 0.5
ZONES = ('a', 'b', 'c')
CONFIGURATION = (
    b'{"version":1,"routes":[],"services":'
    b'[{"name":"book","warmup_s":3,"warmup_per_s":17},{"name":"other"}]}'
)


def test_a_warm_up_ends_by_its_time_or_as_stated() -> None:
    """Guards against an engine that is spared for good, or too briefly."""
    warm_ups = WarmUps()
    assert not warm_ups.state('i-1', '1', 0, NOW)
    assert warm_ups.state('i-1', '1', 3, NOW)
    assert not warm_ups.state('i-1', '1', 2, NOW + 1)
    assert warm_ups.includes('i-1', '1', NOW + 2.9)
    assert not warm_ups.includes('i-1', '2', NOW)
    assert not warm_ups.includes('i-1', '1', NOW + 3.1)
    warm_ups.state('i-1', '1', 0, NOW + 1.5)
    assert not warm_ups.includes('i-1', '1', NOW + 2)
    assert warm_ups.state('i-1', '1', 3, NOW + 2)
    warm_ups.forget_expired(NOW + 4)
    assert warm_ups.describe(NOW + 4) == {'i-1': 1}
    warm_ups.forget_expired(NOW + 6)
    assert not warm_ups.describe(NOW)


def test_an_older_entry_ends_no_warm_up_that_is_assumed() -> None:
    """Guards against an entry that was written before an engine got cold."""
    warm_ups = WarmUps()
    warm_ups.assume('i-1', '1', 3, NOW)
    warm_ups.state('i-1', '1', 0, NOW + 0.1)
    assert warm_ups.includes('i-1', '1', NOW + 2.9)


@pytest.mark.parametrize('instances', [9, 83])
async def test_all_instances_together_keep_to_the_rate(
    monkeypatch: pytest.MonkeyPatch, instances: int
) -> None:
    """Guards against a cold engine that all instances together overload."""
    fleet = Fleet(monkeypatch, dict.fromkeys(ZONES, instances // 3))
    fleet.warm_up_rate = RATE
    starts = await start_calls(fleet, ('b',), SECONDS)
    assert count_most(starts, 1.0) <= MOST
    assert len(starts) >= RATE * SECONDS * USED_SHARE


async def test_a_silent_coordinator_frees_nobody(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against instances that each take the whole rate."""
    fleet = Fleet(monkeypatch, {'b': 30})
    fleet.warm_up_rate = RATE
    instance = next(iter(fleet.instances.values()))
    starts = await start_calls(fleet, ('b',), 2.0)
    coordinator = instance.selector.select('engine-b', 'b', fleet.now)
    fleet.silent.add(coordinator.host)
    starts += await start_calls(fleet, ('b',), SECONDS, seed=2)
    assert count_most(starts, 1.0) <= MOST
    assert len(starts) >= RATE * SECONDS / 2


@pytest.mark.parametrize(
    ('groups', 'answers', 'used_share'),
    [(2, True, 0.5), (12, True, 0.5), (4, False, 0.25)],
)
async def test_instances_that_are_cut_apart_keep_to_the_rate(
    monkeypatch: pytest.MonkeyPatch,
    groups: int,
    answers: bool,
    used_share: float,
) -> None:
    """Guards against a cold engine that gets the rate from each side."""
    fleet = Fleet(monkeypatch, {'b': 12})
    fleet.warm_up_rate = RATE
    every = dict(fleet.instances)
    fleet.now += LONG_SECONDS
    starts = []
    for number in range(groups):
        hosts = list(every)[number::groups]
        fleet.instances = {host: every[host] for host in hosts}
        began = fleet.now
        fleet.introduce()
        if not answers:
            first = fleet.instances[hosts[0]]
            chosen = first.selector.select('engine-b', 'b', fleet.now)
            fleet.silent.add(chosen.host or first.host)
        starts += await start_calls(fleet, ('b',), SECONDS, seed=number)
        fleet.now = began
    assert count_most(sorted(starts), 1.0) <= MOST
    assert len(starts) >= RATE * SECONDS * used_share


async def test_an_idle_engine_makes_up_for_little(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a burst after a pause that is twice the rate."""
    fleet = Fleet(monkeypatch, {'a': 3})
    fleet.warm_up_rate = RATE
    starts = await start_calls(fleet, ('a',), 1.0)
    for _ in range(5):
        fleet.now += 1
        fleet.introduce()
    starts += await start_calls(fleet, ('a',), 2.0)
    assert count_most(starts, 1.0) <= 1.25 * RATE + 1


async def test_the_lower_of_two_limits_binds(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a warm-up that ends or exceeds a stated limit."""
    fleet = Fleet(monkeypatch, dict.fromkeys(ZONES, 3))
    for instance in fleet.instances.values():
        instance.learn('a', 4)
    fleet.warm_up_rate = RATE
    assert len(await start_calls(fleet, ('a',), SECONDS)) <= 4 * SECONDS + 5
    assert all(
        instance.gate.find_rate(fleet.get_endpoint('a')) == 4
        for instance in fleet.instances.values()
    )
    fleet.warm_up_rate = 2
    assert len(await start_calls(fleet, ('a',), SECONDS)) <= 2 * SECONDS + 5
    fleet.warm_up_rate = None
    assert all(
        instance.gate.find_rate(fleet.get_endpoint('a')) == 4
        for instance in fleet.instances.values()
    )


def row(version: int, **fields: object) -> StoredRow:
    """Build the entry of an endpoint with some other fields."""
    entry = msgspec.json.decode(report(version).encoded) | fields
    return StoredRow('i-1', msgspec.json.encode(entry), Revision(0, version))


def adopt(registry: EndpointRegistry, stored: StoredRow, whole: bool) -> None:
    """Let a registry adopt an entry."""
    state = TableState(stored.revision, [stored], whole)
    registry.adopt(DecodedState.from_state(state, decode_endpoint))


def build_registry(table: EndpointTable) -> EndpointRegistry:
    """Build the registry of an instance with a configuration."""
    registry = EndpointRegistry(table, StoreOutages, 2)
    configuration = StoredRow('config', CONFIGURATION, Revision(0, 1))
    registry.adopt_configuration(decode_configuration(configuration).unwrap())
    return registry


def test_entries_and_starts_show_warm_ups() -> None:
    """Guards against an engine whose start or entry nobody reads."""
    table = EndpointTable()
    registry = build_registry(table)
    adopt(registry, row(1, born=1), whole=True)
    assert not table.warm_ups.includes('i-1', '1', monotonic())
    adopt(registry, row(2, born=1, warmup_left_ms=2500), whole=False)
    left = table.warm_ups.measure_left('i-1', '1', monotonic())
    assert STATED_SECONDS - SLACK_SECONDS < left <= STATED_SECONDS
    adopt(registry, row(3, born=1), whole=False)
    assert not table.warm_ups.includes('i-1', '1', monotonic())
    adopt(registry, row(4, born=2), whole=False)
    left = table.warm_ups.measure_left('i-1', '2', monotonic())
    assert WARM_UP_SECONDS - SLACK_SECONDS < left <= WARM_UP_SECONDS


def test_endpoints_are_cold_after_an_evacuation() -> None:
    """Guards against a zone that gets its whole load back in one second."""
    table = EndpointTable()
    registry = build_registry(table)
    adopt(registry, row(1, born=1), whole=True)
    registry.assume_cold(frozenset('b'))
    assert not table.warm_ups.includes('i-1', '1', monotonic())
    registry.assume_cold(frozenset('a'))
    assert table.warm_ups.includes('i-1', '1', monotonic())


def test_a_service_without_a_rate_has_no_limit() -> None:
    """Guards against limits where operators declare none."""
    stored = StoredRow('config', CONFIGURATION, Revision(0, 1))
    configuration = decode_configuration(stored).unwrap()
    assert configuration.find_warm_up('book').rate == RATE
    assert not configuration.find_warm_up('other').rate
    assert not configuration.find_warm_up('unknown').rate


def test_peers_are_told_of_a_warm_up_but_not_of_its_running_down() -> None:
    """Guards against a report of each engine to each instance, or none."""

    def is_news(left_before: int, left: int) -> bool:
        before = decode_endpoint(row(1, warmup_left_ms=left_before))
        after = decode_endpoint(row(2, warmup_left_ms=left))
        return not ENDPOINT_ORDER.is_equivalent(before, after)

    assert is_news(0, 3000)
    assert not is_news(3000, 1800)
    assert is_news(1800, 3000)
    assert is_news(1800, 0)
    assert not is_news(0, 0)


@pytest.mark.parametrize(
    ('stated', 'seconds', 'readable'),
    [
        (['2500'], 2.5, True),
        (['0'], 0, True),
        (['100, 300', '200'], 0.3, True),
        (['soon'], None, False),
        (['-1'], None, False),
        (['9' * 400], None, False),
        ([], None, True),
    ],
)
def test_answers_state_warm_ups(
    stated: list[str], seconds: float | None, readable: bool
) -> None:
    """Guards against junk that spares an engine, and limits that it hides."""
    fields = CIMultiDict(('X-Kelproad-Warmup-Ms', text) for text in stated)
    statements = read_statements(200, CIMultiDictProxy(fields))
    assert statements.warm_up == seconds
    assert bool(statements.unreadable) is not readable


def test_an_answer_begins_and_ends_a_warm_up() -> None:
    """Guards against statements that nobody reads."""
    table = EndpointTable()
    registry = build_registry(table)
    adopt(registry, row(1, born=1), whole=True)
    observer = AnswerObserver(
        table, build_observer(table), build_withdrawal_observer(table)
    )
    for outcome, text, expected in (
        (Outcome.MISDIRECTED, '2000', False),
        (Outcome.ANSWERED, '2000', True),
        (Outcome.ANSWERED, '0', False),
    ):
        fields = CIMultiDictProxy(CIMultiDict({'X-Kelproad-Warmup-Ms': text}))
        statements = read_statements(200, fields)
        head = AnswerHead(outcome, 200, (), statements=statements)
        observer.observe_answer(table.get('i-1'), head)
        cold = table.warm_ups.includes('i-1', '1', monotonic())
        assert cold is expected


def test_short_prompts_are_not_gathered_at_a_cold_engine() -> None:
    """Guards against packing where every further start harms."""
    cold = build('cold', 3, 15_000, limited=True, warming_up=True)
    warm = build('warm', 1, 5_000)
    assert choose([cold, warm], SUMMARY).primary.name == 'warm'


def test_a_cold_zone_takes_what_its_engines_may_start() -> None:
    """Guards against calls that wait at cold engines while others have room."""
    cold = [
        build(f'cold-{number}', limited=True, warming_up=True, start_wait=0.2)
        for number in range(18)
    ]
    warm = [build('warm', 5, 25_000, delay=0.0045)]
    assert choose(cold + warm, SUMMARY).primary.name == 'warm'
    assert choose(cold, SUMMARY).primary.name.startswith('cold')


def test_a_rate_that_is_none_limits_nothing() -> None:
    """Guards against a negative rate that nearly closes an engine."""
    assert WarmUp(3, RATE).limit == RATE
    assert WarmUp(3, 0).limit is None
    assert WarmUp(3, -1).limit is None


async def test_schedules_end_with_their_endpoints(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a schedule for each engine that ever was cold."""
    fleet = Fleet(monkeypatch, {'a': 3})
    fleet.warm_up_rate = RATE
    await start_calls(fleet, ('a',), 1.0)
    instances = fleet.instances.values()
    assert any(instance.granter.measure_use() for instance in instances)
    fleet.table.replace_groups([])
    for instance in instances:
        instance.gate.forget_unlisted()
        assert not instance.granter.measure_use()
        assert not instance.gate._expected_at
