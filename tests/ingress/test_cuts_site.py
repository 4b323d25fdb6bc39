"""Instances that lose their connections to all endpoints."""

import time
from collections.abc import Iterator
from http import client

import pytest

from testbed.cuts import BOOKING, CuttableSite, Load, start_cuttable_site
from testbed.routed import wait_for
from testbed.soak.links import Cut
from tests.ingress.callers import call, make_headers, next_id, stream

#: Zones of the instances edge-1 to edge-4.
ZONES = 'abab'
ALL = frozenset(('edge-1', 'edge-2', 'edge-3', 'edge-4'))
#: Calls per second of all callers together.
RATE = 40
#: Seconds from the begin of a load: the cut, its end, and the load's end.
CUT_AT = 1.0
HEALED_AT = 7.0
ENDED_AT = 9.0
#: Seconds after a change from which calls are counted.
SETTLED = 1.0
#: Seconds within which work must end once its caller has left.
ENDED_WITHIN = 0.5
#: Seconds within which a call that can't be served is refused.
REFUSED_WITHIN = 0.1
#: Seconds within which unused memory must be free.
FREE_WITHIN = 4.0
#: Difference of the shares served that is tolerated.
TOLERANCE = 0.05


@pytest.fixture(scope='module')
def site(tmp_path_factory: pytest.TempPathFactory) -> Iterator[CuttableSite]:
    """Start instances in two zones for the tests of this module."""
    with start_cuttable_site(tmp_path_factory.mktemp('site'), ZONES) as started:
        yield started


def apply_cut(site: CuttableSite, instances: frozenset[str], cut: Cut) -> Load:
    """Cut instances from all endpoints in the midst of a load."""
    return site.apply_load(
        ENDED_AT,
        RATE,
        actions={
            CUT_AT: lambda: site.cut(instances, cut),
            HEALED_AT: site.heal,
        },
    )


def measure_served(
    load: Load, instances: frozenset[str], since: float, until: float
) -> float:
    """Measure the share of the first attempts that was served."""
    calls = load.select(instances, since, until)
    return sum(sent.served for sent in calls) / len(calls)


@pytest.mark.parametrize('cut', list(Cut))
@pytest.mark.parametrize(
    'instances',
    [
        frozenset(('edge-1',)),
        frozenset(('edge-1', 'edge-3')),
        frozenset(('edge-1', 'edge-2', 'edge-3')),
    ],
    ids=['one', 'zone', 'most'],
)
def test_a_cut_instance_serves_as_many_first_attempts_as_the_others(
    site: CuttableSite,
    instances: frozenset[str],
    cut: Cut,
) -> None:
    """An instance that reaches no endpoint keeps callers until they leave."""
    load = apply_cut(site, instances, cut)
    span = (CUT_AT + SETTLED, HEALED_AT)
    at_cut = measure_served(load, instances, *span)
    at_others = measure_served(load, ALL - instances, *span)
    assert at_others >= 1 - TOLERANCE
    assert at_cut >= at_others - TOLERANCE
    assert measure_served(load, ALL, HEALED_AT + SETTLED, ENDED_AT) == 1


@pytest.fixture
def cut_off(site: CuttableSite) -> Iterator[CuttableSite]:
    """Cut edge-1 from all endpoints, and let it notice that."""
    site.cut(('edge-1',), Cut.HANG)
    for _ in range(3):
        assert call(site.site.instances[0], '/brisk/x').status == 200
    yield site
    site.heal()


def test_a_call_through_a_peer_reaches_the_endpoint_as_it_was(
    cut_off: CuttableSite,
) -> None:
    """A key, a longer deadline or a changed body would pass with the call."""
    answer = call(
        cut_off.site.instances[0],
        '/brisk-bookings/x?a=%20b',
        'POST',
        b'friction 0.4',
        Host='reports.example',
    )
    runs = [
        run
        for name in cut_off.site.endpoints
        for run in cut_off.site.show_endpoint(name)['runs']
        if run.get('X-Kelproad-Request-Id') == answer.request_id
    ]
    assert answer.status == 200
    assert len(runs) == 1
    assert runs[0]['target'] == '/brisk-bookings/x?a=%20b'
    assert runs[0]['body'] == 'friction 0.4'
    assert runs[0]['X-Kelproad-Tenant'] == 'crews'
    assert 'X-Api-Key' not in runs[0]
    assert int(runs[0]['X-Kelproad-Deadline-Ms']) < 4000


def test_a_caller_that_leaves_a_cut_instance_ends_the_work(
    cut_off: CuttableSite,
) -> None:
    """An engine would go on behind a peer for a caller that has left."""
    request_id = next_id()
    connection = client.HTTPConnection(cut_off.site.instances[0].caller)
    connection.request(
        'POST',
        '/reports/x?events=200&pace=0.05',
        b'prompt',
        make_headers(request_id, X_Kelproad_Token_Count='100,50'),
    )
    connection.getresponse().read(10)
    connection.sock.close()
    connection.close()
    left_at = time.monotonic()
    wait_for(
        lambda: any(
            request_id in cut_off.site.show_endpoint(name)['left']
            for name in cut_off.site.endpoints
        ),
        'the work to end',
    )
    assert time.monotonic() - left_at < ENDED_WITHIN


def test_a_long_prompt_at_a_cut_instance_leaves_no_memory(
    cut_off: CuttableSite,
) -> None:
    """Reservations of a cut instance would be neither renewed nor released."""
    answer = stream(cut_off.site.instances[0], tokens='300000,50')
    assert answer.status == 200
    ended_at = time.monotonic()
    engines = [name for name in cut_off.site.endpoints if 'engine' in name]
    assert any(
        cut_off.site.show_endpoint(name)['orders'].get('reserve')
        for name in engines
    )
    wait_for(
        lambda: (
            not any(
                cut_off.site.show_endpoint(name)['tickets'] for name in engines
            )
        ),
        'the memory to be free',
    )
    assert time.monotonic() - ended_at < FREE_WITHIN


def test_calls_that_nobody_can_connect_for_are_refused_at_once(
    site: CuttableSite,
) -> None:
    """Callers wait for endpoints that no instance can connect to."""
    load = site.apply_load(
        ENDED_AT,
        RATE,
        actions={CUT_AT: lambda: site.cut(ALL, Cut.HANG), HEALED_AT: site.heal},
    )
    refused = load.select(ALL, CUT_AT + SETTLED, HEALED_AT - SETTLED)
    assert {sent.status for sent in refused} == {503}
    # Some calls a second try all the same, for as long as connecting takes.
    at_once = [sent for sent in refused if sent.seconds < REFUSED_WITHIN]
    assert len(at_once) > len(refused) / 2
    assert measure_served(load, ALL, HEALED_AT + SETTLED, ENDED_AT) == 1
    for sent in refused:
        assert site.site.count_runs(sent.request_id) == 0


def test_nothing_of_a_cut_outlasts_it(site: CuttableSite) -> None:
    """Endpoints stay ejected, or calls go through peers, after a cut."""
    apply_cut(site, frozenset(('edge-1',)), Cut.HANG)
    for instance in site.site.instances:
        state = instance.dump()
        assert not state['direct_paths']['lost']
        assert not state['direct_paths']['in_outage']
        assert not state['tunnels']
        for endpoint in state['endpoints'].values():
            assert endpoint['ejected_for'] == 0
    answer = call(site.site.instances[0], '/brisk/x')

    def list_vias() -> list[str]:
        return [
            line['via']
            for line in site.site.instances[0].log_lines
            if line['event'] == 'ended' and line['request'] == answer.request_id
        ]

    wait_for(list_vias, 'the end is logged')
    assert list_vias() == ['']


def test_no_booking_runs_twice_while_a_helping_instance_is_killed(
    site: CuttableSite,
) -> None:
    """A call is sent once more after the peer that passed it on has died."""
    helping = site.site.instances[2]
    load = site.apply_load(
        ENDED_AT,
        RATE,
        actions={
            CUT_AT: lambda: site.cut(('edge-1',), Cut.HANG),
            CUT_AT + 2: helping.process.kill,
            HEALED_AT: site.heal,
        },
    )
    site.site.restart_instance(helping)
    bookings = [sent for sent in load.calls if sent.kind is BOOKING]
    for sent in bookings:
        runs = site.site.count_runs(sent.request_id)
        assert runs <= 1
        if sent.status in {429, 503}:
            assert runs == 0
    span = (CUT_AT + 2 + SETTLED, HEALED_AT)
    assert measure_served(load, frozenset(('edge-1',)), *span) >= 1 - TOLERANCE
