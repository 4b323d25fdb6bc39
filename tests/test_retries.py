"""Retry budgets, and ejection and return of failing endpoints."""

import types

import aiohttp
import attrs
from aiohttp import test_utils, web

from kelproad.coordination import routing
from kelproad.coordination.attempts import Attempts
from kelproad.coordination.candidates import Search
from kelproad.coordination.ejection import record_outcome
from kelproad.coordination.retries import Retries
from kelproad.coordination.stalling import record_stall
from kelproad.protocol.engines import EngineClient
from kelproad.state.budgets import RetryBudget
from kelproad.state.counters import Counters
from kelproad.state.identity import Identity
from kelproad.state.refusals import Ran, Refusal, RefusalCode, Step
from kelproad.state.requests import Decision
from kelproad.transport.deadlines import monotonic
from tests.test_routing import NOW, SHORT, Fleet

FAILED = Refusal(RefusalCode.ENDPOINT_FAILED, '', Step.DISPATCH)
DEADLINE_MISSED = Refusal(RefusalCode.DEADLINE_EXCEEDED, '', Step.RELAY)


def fail(fleet: Fleet, name: str, times: int, now: float = NOW) -> None:
    """Record failed attempts at an endpoint."""
    endpoint = fleet.table.get(name)
    for _ in range(times):
        record_outcome(fleet.table, endpoint, FAILED, now, Counters())


def test_retry_delay_lasts_until_queues_have_drained() -> None:
    """A request fails while prompts of its length wait for half a minute.

    Callers that retried after a constant half second would only make the
    queue longer.
    """
    fleet = Fleet()
    attempts = Attempts(
        Identity.from_start('i', 'z'),
        fleet.table,
        engines=None,
        canceller=None,
        counters=Counters(),
        generator=fleet.random,
    )
    request = fleet.request(SHORT)
    idle = attempts.suggest_retry_after(request)
    fleet.table.record_contention(SHORT, 30, 1, monotonic())
    assert idle == routing.MINIMUM_RETRY_AFTER
    assert 29 < attempts.suggest_retry_after(request) <= 30


def test_budget_bounds_retries_when_everything_fails() -> None:
    budget = RetryBudget(percent=10, burst=10)
    retried = 0
    for _ in range(1000):
        budget.earn(now=0)
        retried += budget.spend()
    assert 100 <= retried <= 110
    assert not budget.affords_one


async def test_no_retry_is_permitted_past_the_deadline() -> None:
    fleet = Fleet()
    retries = Retries(Counters(), fleet.random)
    request = attrs.evolve(fleet.request(SHORT), deadline=monotonic())
    retries.count_request(request)
    assert not await retries.permit(request, Decision.from_request(request))


async def test_retries_end_with_the_budget() -> None:
    """A third of the engines fail; retries must not overload the others.

    If retries grew with failures instead of requests, every failed request
    would go to another engine; the load on the rest would double, they would
    become slow, and more would fail.
    """
    fleet = Fleet()
    retries = Retries(Counters(), fleet.random)
    permitted = 0
    for _ in range(100):
        request = attrs.evolve(fleet.request(SHORT), deadline=monotonic() + 60)
        retries.count_request(request)
        decision = Decision.from_request(request)
        permitted += await retries.permit(request, decision)
    assert permitted <= 20


def test_failing_endpoint_is_ejected_and_probed() -> None:
    fleet = Fleet()
    fail(fleet, 'e0', 3)
    request = fleet.request(SHORT)
    assert 'e0' not in {fleet.choose(request) for _ in range(100)}
    endpoint = fleet.table.get('e0')
    endpoint.ejected_until = NOW - 1
    others = frozenset(fleet.table.all()) - {'e0'}
    assert fleet.choose(request, tried=others) == 'e0'
    endpoint.own_requests = 1
    assert 'e0' not in {fleet.choose(request) for _ in range(100)}


def test_failed_probe_lengthens_the_ejection() -> None:
    fleet = Fleet()
    fail(fleet, 'e0', 3)
    first = fleet.table.get('e0').ejected_until - NOW
    fail(fleet, 'e0', 1, NOW + 50)
    assert fleet.table.get('e0').ejected_until - NOW - 50 >= 2 * first


def test_an_endpoint_that_fails_for_days_is_ejected_again() -> None:
    """Guards against a duration that overflows after a thousand ejections."""
    fleet = Fleet()
    fleet.table.get('e0').ejections = 2_000
    fail(fleet, 'e0', 3)
    assert fleet.table.get('e0').ejected_until > NOW


def test_restored_endpoint_starts_slowly() -> None:
    fleet = Fleet()
    fail(fleet, 'e0', 3)
    endpoint = fleet.table.get('e0')
    endpoint.ejected_until = NOW - 1
    record_outcome(fleet.table, endpoint, None, NOW, Counters())
    request = fleet.request(SHORT)
    chosen = [fleet.choose(request) for _ in range(200)]
    assert chosen.count('e0') < 10


def test_most_endpoints_failing_ejects_only_half() -> None:
    fleet = Fleet()
    for name in fleet.table.all():
        fail(fleet, name, 5)
    out = [e for e in fleet.table.all().values() if e.ejected_until > NOW]
    assert len(out) == len(fleet.table.all()) / 2


def test_callers_cannot_eject_an_endpoint_by_short_deadlines() -> None:
    fleet = Fleet()
    endpoint = fleet.table.get('e0')
    for _ in range(10):
        record_outcome(fleet.table, endpoint, DEADLINE_MISSED, NOW, Counters())
    assert endpoint.ejected_until < NOW


def test_slow_endpoint_is_avoided_and_tried_again_when_reports_go_on() -> None:
    """An engine ten times slower is avoided once its rate is learned.

    Without work nothing would show that it has recovered, so the learned rate
    decays with each report.
    """
    fleet = Fleet()
    for endpoint in fleet.table.all().values():
        for _ in range(20):
            slow = endpoint.name == 'e0'
            endpoint.observe_rate(1_500 if slow else 15_000)
    request = fleet.request(SHORT)
    assert 'e0' not in {fleet.choose(request) for _ in range(100)}
    slow = fleet.table.get('e0')
    for number in range(200):
        fleet.report(slow, 0, NOW + number / 1000)
    assert slow.tokens_per_second > 5 * 1_500


def test_work_from_before_the_ejection_is_no_probe() -> None:
    fleet = Fleet()
    fail(fleet, 'e0', 3)
    endpoint = fleet.table.get('e0')
    record_outcome(fleet.table, endpoint, None, NOW + 1, Counters())
    assert endpoint.on_probation


def test_flapping_engine_costs_a_bounded_share_of_requests() -> None:
    """An engine fails every second request, and returns after each ejection.

    If a success in between reset its failures, its ejections would stay short,
    and after each it would fail requests; the ejection time must still grow.
    """
    fleet = Fleet()
    request = fleet.request(SHORT)
    flapping = fleet.table.get('e0')
    failed, sent = 0, 12_000
    for number in range(sent):
        now = NOW + number / 20
        for endpoint in fleet.table.all().values():
            endpoint.reported_at = now
        chosen = routing.choose_endpoint(
            request,
            fleet.table,
            'a',
            now,
            fleet.random,
        ).unwrap()
        fails = chosen.endpoint is flapping and fleet.random.choice((0, 1))
        failed += bool(fails)
        refusal = FAILED if fails else None
        record_outcome(fleet.table, chosen.endpoint, refusal, now, Counters())
    assert failed * 100 < sent


def test_late_engines_are_slow_not_failing_unless_silent() -> None:
    """Under overload healthy engines must not be ejected one after another.

    Each is later than predicted.  If that counted as a failure, it would be
    ejected, and the rest would get its load and be late next.
    """
    for silent in (False, True):
        fleet = Fleet()
        request = fleet.request(SHORT)
        others = frozenset(fleet.table.all()) - {'e0'}
        chosen = routing.choose_endpoint(
            request,
            fleet.table,
            'a',
            NOW,
            fleet.random,
            others,
        ).unwrap()
        now = NOW + 5
        endpoint = fleet.table.get('e0')
        endpoint.reported_at = NOW if silent else now
        for _ in range(3):
            record_stall(fleet.table, chosen, SHORT, now, Counters())
        assert (endpoint.ejected_until > now) is silent
        assert (endpoint.tokens_per_second < 1_000) is not silent


async def test_an_engine_that_turns_away_is_left_alone_until_its_time() -> None:
    """It was sent the next request at once, and ejected as if it failed."""

    async def turn_away(_request: web.Request) -> web.Response:
        return web.json_response(
            {'ran': 'no'}, status=503, headers={'Retry-After': '3'}
        )

    application = web.Application()
    application.add_routes([web.post('/x', turn_away)])
    async with (
        test_utils.TestServer(application) as server,
        aiohttp.ClientSession() as session,
    ):
        url = str(server.make_url('')).rstrip('/')
        attempt = types.SimpleNamespace(headers=dict, deadline=monotonic() + 5)
        until = monotonic() + 5
        opened = await EngineClient(session).open_stream(
            url, '/x', attempt, b'', until
        )
    refusal = opened.failure()
    assert (refusal.ran, refusal.pause) == (Ran.NO, 3)
    fleet = Fleet()
    endpoint = fleet.table.get(fleet.choose(fleet.request(SHORT)))
    attempts = Attempts(
        Identity.from_start('i', 'z'), fleet.table, None, None, Counters(), None
    )
    placement = types.SimpleNamespace(
        choice=types.SimpleNamespace(chosen_at=monotonic()),
        endpoint=endpoint,
        first_token=False,
    )
    for _ in range(9):
        attempts._record_outcome(None, placement, opened)
    now = monotonic()
    assert not endpoint.on_probation
    search = Search(None, fleet.table, 'z', now, None, frozenset())
    assert not search.is_usable(endpoint)
    assert endpoint.withdrawal.is_paused(now + 2)
    assert not endpoint.withdrawal.is_paused(now + 4)
