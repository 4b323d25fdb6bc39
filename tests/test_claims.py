"""Keyed calls run at most once, as counted at the endpoints' processes."""

import functools
import pathlib
import re
import time
from collections.abc import Callable, Iterator
from concurrent.futures import ThreadPoolExecutor

import pytest

from testbed.network import PLATFORM
from testbed.site import Site, SitePlan, start_site
from tests.clients import Answer, book, complete
from tests.clients import call as http_call
from tests.conftest import ROADGRIP

#: Seconds by which an answer may miss its deadline on a busy test machine.
MARGIN = 0.5
#: Seconds within which claims must be settled in the background.
SETTLE_TIMEOUT = 10.0


@pytest.fixture(scope='module')
def shared(tmp_path_factory: pytest.TempPathFactory) -> Iterator[Site]:
    """Run a site whose zones can be disconnected from each other."""
    plan = SitePlan(
        example=ROADGRIP,
        endpoints_per_group=1,
        network=True,
        engine_settings={'default_max_tokens': 4},
    )
    with start_site(plan, tmp_path_factory.mktemp('claims')) as site:
        yield site


@pytest.fixture
def site(shared: Site) -> Iterator[Site]:
    """Yield the site; afterwards clear its faults and restart its instances."""
    yield shared
    shared.set_faults(shared.platform_address)
    for address in shared.addresses.values():
        shared.set_faults(address)
    shared.network.heal()
    for instance in shared.instances:
        if instance.process.running:
            instance.process.resume()
        else:
            shared.start_instance(instance)
    shared.wait_ready()
    for caller in shared.callers:
        wait_for(functools.partial(can_claim, caller))


@pytest.fixture
def pool() -> Iterator[ThreadPoolExecutor]:
    """Yield an executor for concurrent calls."""
    with ThreadPoolExecutor(32) as executor:
        yield executor


def test_same_key_at_all_zones_at_once(
    site: Site,
    pool: ThreadPoolExecutor,
) -> None:
    """Callers send one key to every instance at the same time.

    One of them books; the others are refused, or get the recorded answer.
    """
    keys = [f'run-race-{number}' for number in range(8)]
    calls = [
        pool.submit(book, caller, key, key)
        for key in keys
        for caller in (*site.callers, *site.callers)
    ]
    answers = [call.result() for call in calls]
    assert {answer.status for answer in answers} <= {200, 409}
    assert [count_effects(site, key) for key in keys] == [1 for _ in keys]


def test_same_key_of_a_completion_runs_once(
    site: Site,
    pool: ThreadPoolExecutor,
) -> None:
    """Callers send one keyed prompt to every instance at the same time."""
    before = count_runs(site)
    headers = {'Idempotency-Key': 'prompt-race'}
    calls = [
        pool.submit(complete, caller, headers=headers)
        for caller in (*site.callers, *site.callers)
    ]
    answers = [call.result() for call in calls]
    assert {answer.status for answer in answers} <= {200, 409}
    assert count_runs(site) - before == 1


def test_hanging_store_refuses_in_time(site: Site) -> None:
    """The store accepts calls and never answers.

    Each keyed caller is told before its deadline that nothing was run, and
    nothing runs when the store recovers; the key stays usable.
    """
    site.set_faults(site.platform_address, hang=True)
    for number in range(3):
        answer, taken = timed_book(site, f'hang-{number}', seconds=1)
        assert answer.refusal()['ran'] == 'no'
        assert answer.refusal()['retry_after'] > 0
        assert taken < 1 + MARGIN
    site.set_faults(site.platform_address)
    assert [count_effects(site, f'hang-{n}') for n in range(3)] == [0, 0, 0]
    wait_for(lambda: book(site.callers[1], 'hang-0', 'hang-0').status == 200)
    assert count_effects(site, 'hang-0') == 1


def test_store_down_refuses_at_once(site: Site) -> None:
    site.set_faults(site.platform_address, down=True)
    answer, taken = timed_book(site, 'down', seconds=10)
    assert answer.status == 503
    assert answer.refusal()['ran'] == 'no'
    assert taken < 1
    request_id = answer.refusal()['request_id']
    explained = site.control(
        site.instances[0].operator,
        'GET',
        f'/operator/explain/{request_id}',
    )
    assert explained['steps'][-1]['outcome'] == 'claim_unrecorded'
    site.set_faults(site.platform_address)
    assert book(site.callers[0], 'down', 'down').status == 200
    assert count_effects(site, 'down') == 1


def test_slow_store_is_waited_for(site: Site) -> None:
    site.set_faults(site.platform_address, delay=0.7)
    first, taken = timed_book(site, 'slow', seconds=5)
    assert first.status == 200
    # The answer waits for the claim in full, for the outcome only briefly.
    assert taken < 0.7 + 0.25 + MARGIN
    site.set_faults(site.platform_address)
    wait_for(lambda: book(site.callers[1], 'slow', 'slow').status == 200)
    assert count_effects(site, 'slow') == 1


@pytest.mark.parametrize('lost', ['lose_answers', 'lose_writes'])
def test_lost_claim_is_retried(site: Site, lost: str) -> None:
    """The connection for the claim breaks, before or after it took effect.

    The caller notices nothing: the same row is written again, and recognised
    if it is already there.
    """
    site.set_faults(site.platform_address, **{lost: 1})
    assert book(site.callers[0], lost, lost).status == 200
    assert book(site.callers[1], lost, lost).status == 200
    assert count_effects(site, lost) == 1


@pytest.mark.parametrize('fault', ['down', 'hang'])
def test_outcome_is_recorded_after_an_outage(
    site: Site,
    pool: ThreadPoolExecutor,
    fault: str,
) -> None:
    """The store fails while a claimed call is at its endpoint.

    The caller still gets the answer in time, and once the store recovers, the
    key repeats that answer instead of staying in progress for ever.
    """
    reference = f'outage-{fault}'
    # An earlier test may have left a claim whose outcome is not recorded yet.
    wait_for(lambda: count_unsettled(site) == 0)
    delay_run_books(site, 1.0)
    started = time.monotonic()
    call = pool.submit(book_within, site, reference, 3)
    wait_for(lambda: count_effects(site, reference) == 1)
    site.set_faults(site.platform_address, **{fault: True})
    assert call.result().status == 200
    assert time.monotonic() - started < 3 + MARGIN
    assert count_unsettled(site) == 1
    site.set_faults(site.platform_address)
    delay_run_books(site, 0)
    wait_for(
        lambda: book(site.callers[1], reference, reference).status == 200,
    )
    assert count_effects(site, reference) == 1
    assert count_unsettled(site) == 0


def test_claim_delayed_by_a_partition_frees_its_key(site: Site) -> None:
    """A network partition delays a claim until its caller was refused.

    When it heals, the claim reaches the store although its writer has given
    up.  The writer must release it, or the key stays in progress for ever.
    """
    zone = site.zones[0]
    site.network.cut((zone, PLATFORM))
    refused, _ = timed_book(site, 'held-back', seconds=1)
    assert refused.refusal()['ran'] == 'no'
    site.network.heal()
    wait_for(
        lambda: book(site.callers[1], 'held-back', 'held-back').status == 200,
    )
    assert count_effects(site, 'held-back') == 1


def test_other_zone_runs_it_during_a_partition(site: Site) -> None:
    """A caller refused in a partitioned zone is served by another zone."""
    site.network.cut((site.zones[0], PLATFORM))
    refused, _ = timed_book(site, 'moved', seconds=1)
    assert refused.refusal()['ran'] == 'no'
    assert book(site.callers[1], 'moved', 'moved').status == 200
    site.network.heal()
    wait_for(lambda: book(site.callers[0], 'moved', 'moved').status == 200)
    assert count_effects(site, 'moved') == 1


def test_owner_frozen_before_dispatch(
    site: Site,
    pool: ThreadPoolExecutor,
) -> None:
    """An instance is frozen after its claim, and resumed past the deadline.

    No other instance may run the work meanwhile, as the owner could still do
    so.  Once resumed, the owner must not run it, and releases the key.
    """
    owner = site.instances[0].process
    site.set_faults(site.platform_address, delay_answers=1.0)
    call = pool.submit(book_within, site, 'frozen', 2)
    # An owner frozen before its claim is stored would rightly lose the key.
    wait_for(lambda: is_claimed(site, 'frozen'))
    owner.freeze()
    time.sleep(1)
    site.set_faults(site.platform_address)
    meanwhile = book(site.callers[1], 'frozen', 'frozen')
    assert meanwhile.status == 409
    assert meanwhile.refusal()['ran'] == 'unknown'
    time.sleep(2)
    later = book(site.callers[1], 'frozen', 'frozen')
    assert later.refusal()['code'] == 'outcome_unknown'
    owner.resume()
    assert call.result().refusal()['ran'] == 'no'
    assert count_effects(site, 'frozen') == 0
    wait_for(lambda: book(site.callers[1], 'frozen', 'frozen').status == 200)
    assert count_effects(site, 'frozen') == 1


@pytest.mark.parametrize('dispatched', [False, True])
def test_owner_killed(
    site: Site,
    pool: ThreadPoolExecutor,
    dispatched: bool,
) -> None:
    """An instance is killed between claim and dispatch, or after dispatch.

    Whether the work ran can no longer be determined, so every later caller
    is told that it is unknown, and no instance runs it again.
    """
    reference = f'killed-{dispatched}'
    if dispatched:
        delay_run_books(site, 5.0)
    else:
        # The claim is stored after 0.5 s; its owner learns so after 1 s.
        site.set_faults(site.platform_address, delay=0.5, lose_answers=1)
    pool.submit(book_within, site, reference, 2)
    time.sleep(0.8)
    site.instances[0].process.kill()
    time.sleep(1)
    site.set_faults(site.platform_address)
    for seconds in (0, 2):
        time.sleep(seconds)
        answer = book(site.callers[1], reference, reference)
        assert answer.status == 409
        assert answer.refusal()['ran'] == 'unknown'
        assert answer.refusal()['retry_after'] > 0
    assert count_effects(site, reference) == int(dispatched)


def test_lost_answer_of_a_service_is_unknown(site: Site) -> None:
    """A service's answer is lost after it booked: never reported as not run."""
    for address in list_run_books(site):
        site.set_faults(address, lose_answers=1)
    first = book(site.callers[0], 'lost', 'lost')
    assert (first.status, first.refusal()['ran']) == (502, 'unknown')
    for _ in range(3):
        again = book(site.callers[1], 'lost', 'lost')
        assert (again.status, again.refusal()['ran']) == (409, 'unknown')
    unkeyed = book(site.callers[2], 'lost-unkeyed')
    assert unkeyed.status in {200, 502}
    assert count_effects(site, 'lost') == 1
    assert count_effects(site, 'lost-unkeyed') == 1


def test_service_error_is_recorded_as_an_answer(site: Site) -> None:
    """An error that the service itself returns is recorded and repeated."""
    for address in list_run_books(site):
        site.set_faults(address, refuse=1)
    first = book(site.callers[0], 'error', 'error')
    again = book(site.callers[1], 'error', 'error')
    assert first.status == again.status == 503
    assert first.body == again.body == b'{"booked": false}'


def test_frozen_engine_leaves_its_key_unknown(site: Site) -> None:
    """Keyed prompts reach their deadline while all engines are frozen."""
    before = count_runs(site)
    engines = [
        process
        for name, process in site.endpoints.items()
        if name.startswith('report')
    ]
    for engine in engines:
        engine.freeze()
    headers = {'Idempotency-Key': 'frozen-prompt', 'X-Deadline-Seconds': '1'}
    first = complete(site.callers[0], headers=headers)
    for engine in engines:
        engine.resume()
    assert (first.status, first.refusal()['ran']) == (504, 'unknown')
    for caller in site.callers:
        again = complete(caller, headers=headers)
        assert (again.status, again.refusal()['ran']) == (409, 'unknown')
    assert count_runs(site) - before <= 1


def test_refused_connection_is_retried_elsewhere(
    tmp_path: pathlib.Path,
) -> None:
    """A service was killed, so connections to it are refused.

    Each call is retried at another endpoint under the same claim, and booked
    there once.
    """
    # No stand-in network: it would accept the connection itself.
    plan = SitePlan(example=ROADGRIP, endpoints_per_group=2)
    with start_site(plan, tmp_path) as site:
        killed, left = (
            name for name in site.addresses if name.startswith('run-book')
        )
        site.endpoints[killed].kill()
        keys = [f'moved-on-{number}' for number in range(6)]
        answers = [book(site.callers[0], key, key) for key in keys]
        entries = site.control(site.addresses[left], 'GET', '/entries')
    assert {answer.status for answer in answers} == {200}
    assert [entries.get(key, 0) for key in keys] == [1 for _ in keys]


def book_within(site: Site, reference: str, seconds: float) -> Answer:
    """Book at the first instance, with the reference as key as well."""
    return book(
        site.callers[0],
        reference,
        reference,
        deadline=seconds,
    )


def timed_book(
    site: Site,
    reference: str,
    seconds: float,
) -> tuple[Answer, float]:
    """Book, and return the answer with the seconds that it took."""
    started = time.monotonic()
    answer = book_within(site, reference, seconds)
    return answer, time.monotonic() - started


def is_claimed(site: Site, key: str) -> bool:
    """Return whether a claim on a key has reached the platform."""
    table = site.control(site.platform_address, 'GET', '/control/rows/claims')
    return any(row['key'].endswith(f'/{key}') for row in table['rows'])


def can_claim(caller: str) -> bool:
    """Return whether an instance can claim a previously unused key."""
    key = f'fresh-{time.monotonic_ns()}'
    return book(caller, key, key).status == 200


def list_run_books(site: Site) -> list[str]:
    """List the addresses of the services that book runs."""
    return [
        address
        for name, address in site.addresses.items()
        if name.startswith('run-book')
    ]


def delay_run_books(site: Site, delay: float) -> None:
    """Delay the services' answers in seconds; effects happen at once."""
    for address in list_run_books(site):
        site.set_faults(address, delay=delay)


def count_unsettled(site: Site) -> int:
    """Read the first instance's gauge of unsettled claims.

    The gauge is absent until a claim could not be settled at once.
    """
    metrics = http_call(site.callers[0], '/metrics').body.decode()
    gauge = re.search('^kelproad_claims_unsettled (.+)$', metrics, re.MULTILINE)
    return int(gauge.group(1)) if gauge else 0


def count_effects(site: Site, reference: str) -> int:
    """Count how often a reference was booked, over all services."""
    entries = [
        site.control(address, 'GET', '/entries')
        for address in list_run_books(site)
    ]
    return sum(int(found.get(reference, 0)) for found in entries)


def count_runs(site: Site) -> int:
    """Count the attempts that engines have run."""
    return sum(
        len(site.control(address, 'GET', '/control/ran'))
        for address in site.addresses.values()
        if address not in list_run_books(site)
    )


def wait_for(
    holds: Callable[[], bool], seconds: float = SETTLE_TIMEOUT
) -> None:
    """Poll until ``holds()`` is true; fail after ``seconds``."""
    limit = time.monotonic() + seconds
    while not holds():
        assert time.monotonic() < limit
        time.sleep(0.1)
