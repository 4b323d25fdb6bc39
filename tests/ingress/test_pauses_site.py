"""Answers while endpoints or instances pause, and then go on."""

import functools
import logging
import time
from collections.abc import Callable, Iterator

import pytest

from testbed.cuts import CuttableSite
from testbed.pauses import (
    PACE,
    Load,
    PausableSite,
    Silence,
    start_pausable_site,
)
from testbed.routed import RoutedInstance, wait_for
from testbed.soak.links import Cut
from tests.ingress.callers import Answer, call, run_in_thread

#: Zones of the instances edge-1 to edge-4.
ZONES = 'abab'
#: Calls per second of all callers together, and fewer that need no queue.
RATE = 40
LOW_RATE = 16
#: Seconds from the begin of a load to the first pause.
PAUSED_AT = 1.0
#: Seconds of a load after the last pause has begun.
GOES_ON = 2.0
SILENCE = 1.6
#: Seconds within which a stream goes on elsewhere: 1.3 s, an event and a tenth
#: for a busy machine.
RESUMED_WITHIN = 1.3 + PACE + 0.1
#: Share of the streams that may take longer on a busy machine.
LATE_SHARE = 0.1
#: Seconds of a pause, more than a version may take to come into force and less
#: than a key may work that was revoked; calls that wait meanwhile, and for how
#: many seconds.
SUSPENDED_SECONDS = 2.6
WAITING_CALLS = 8
HEAD_START = 0.1
GOOD = 1e6
CHANGE_PERIOD = 0.3
ACCUSATIONS = frozenset(
    ('attempt_failed', 'attempt_silent', 'direct_paths_mute')
)

_logger = logging.getLogger(__name__)

Actions = dict[float, Callable[[], None]]


@pytest.fixture(scope='module')
def site(tmp_path_factory: pytest.TempPathFactory) -> Iterator[PausableSite]:
    """Start instances in two zones for the tests of this module."""
    with start_pausable_site(tmp_path_factory.mktemp('site'), ZONES) as started:
        yield started


@pytest.fixture(autouse=True)
def end_silences(site: PausableSite) -> Iterator[None]:
    """End what a test has set at the endpoints."""
    yield
    site.pause(Silence())
    for name in site.engines:
        site.site.set_endpoint_faults(name)


def check_whole(load: Load) -> None:
    """Check that every call that an endpoint had begun came whole."""
    _logger.info('%s', load)
    assert not load.broken, str(load)
    assert not load.failed, str(load)
    defects = [sent.find_defect() for sent in load.streams]
    assert not any(defects), defects
    checks = [sent for sent in load.calls if sent.kind == 'checks']
    assert {sent.status for sent in checks} == {200}
    orders = [sent for sent in load.calls if sent.kind == 'orders']
    assert max(load.runs[sent.request_id] for sent in orders) == 1


def change_often(site: PausableSite, seconds: float) -> Actions:
    """Plan a changed configuration every 0.3 s."""
    return {
        number * CHANGE_PERIOD: functools.partial(
            site.configure, **{f'added-{number}': {'service': 'book'}}
        )
        for number in range(1, int(seconds / CHANGE_PERIOD))
    }


def pause_busiest(site: PausableSite, silence: Silence) -> str:
    """Pause the engine that has most to lose; return its name."""
    name = site.find_busiest_engine()
    site.pause(silence, name)
    return name


@pytest.mark.parametrize('replies', [False, True])
async def test_a_stream_goes_on_elsewhere_while_its_engine_pauses(
    site: PausableSite, replies: bool
) -> None:
    """Streams wait for an engine that is silent, though others are not."""
    paused: list[str] = []
    load = await site.apply_load(
        PAUSED_AT + GOES_ON,
        RATE,
        {
            PAUSED_AT: lambda: paused.append(
                pause_busiest(site, Silence(SILENCE, replies=replies))
            )
        },
    )
    check_whole(load)
    assert not load.refused
    gaps = sorted(
        sent.find_longest_gap()
        for sent in load.streams
        if sent.is_resumed_from(paused[0])
    )
    _logger.info('gaps %s', [round(gap, 2) for gap in gaps])
    assert gaps
    late = [gap for gap in gaps if gap > RESUMED_WITHIN]
    assert len(late) <= len(gaps) * LATE_SHARE


async def test_streams_are_whole_though_an_engine_never_goes_on(
    site: PausableSite,
) -> None:
    """Streams wait for an engine that hangs until their callers leave."""
    load = await site.apply_load(
        PAUSED_AT + GOES_ON,
        RATE,
        {PAUSED_AT: lambda: pause_busiest(site, Silence(GOOD))},
    )
    check_whole(load)
    assert not load.refused


async def test_an_instance_that_was_suspended_accuses_nobody(
    site: PausableSite,
) -> None:
    """An instance takes its own pause for silence of engines and paths."""
    logged = {item.name: len(item.log_lines) for item in site.site.instances}
    actions: Actions = {}
    for position, instance in enumerate(site.site.instances):
        at = PAUSED_AT + position * 1.7
        actions[at] = instance.process.freeze
        actions[at + 1.5] = instance.process.resume
    load = await site.apply_load(max(actions) + 0.5, RATE, actions)
    accusations = [
        line
        for item in site.site.instances
        for line in item.log_lines[logged[item.name] :]
        if line['event'] in ACCUSATIONS
    ]
    _logger.info('%s accusations: %s', len(accusations), accusations[:4])
    check_whole(load)
    assert not accusations


def call_suspended(site: PausableSite, instance: RoutedInstance) -> set[object]:
    """Change the configuration meanwhile; return the versions that count."""
    answers: list[Answer] = []
    lookup = functools.partial(call, instance, '/lookups/x')
    instance.process.freeze()
    try:
        site.configure()
        time.sleep(SUSPENDED_SECONDS)
        threads = [run_in_thread(lookup, answers) for _ in range(WAITING_CALLS)]
        time.sleep(HEAD_START)
    finally:
        instance.process.resume()
    for thread in threads:
        thread.join()
    assert {answer.status for answer in answers} == {200}
    return find_versions(instance, answers)


def test_calls_that_waited_at_a_suspended_instance_meet_the_newest_version(
    site: PausableSite,
) -> None:
    """Guards against an old version, as an instance goes on after a pause."""
    for instance in site.site.instances:
        assert call_suspended(site, instance) == {site.site.version}


def find_versions(
    instance: RoutedInstance, answers: list[Answer]
) -> set[object]:
    """Find the versions by which an instance placed some calls."""
    versions: dict[object, object] = {}
    ids = {answer.request_id for answer in answers}

    def have_all_ended() -> bool:
        versions.update(
            (line['request'], line['version'])
            for line in instance.log_lines
            if line['event'] == 'ended'
        )
        return ids <= versions.keys()

    # Callers have their answers before the instance has logged the ends.
    wait_for(have_all_ended, 'the instance has logged the ends of all calls')
    return {versions[request_id] for request_id in ids}


@pytest.mark.parametrize('paused', [False, True])
async def test_changed_configurations_end_nothing(
    site: PausableSite, paused: bool
) -> None:
    """Calls in progress suffer from a configuration put in force."""
    seconds = PAUSED_AT + GOES_ON
    actions = change_often(site, seconds)
    if paused:
        actions[PAUSED_AT] = lambda: site.pause(Silence(SILENCE))
    load = await site.apply_load(seconds, RATE, actions)
    check_whole(load)
    if not paused:
        assert len(load.streams) == sum(sent.is_stream for sent in load.calls)


async def test_all_endpoints_pause_once(site: PausableSite) -> None:
    """Streams are ended for a silence though nothing else is there to go on."""
    load = await site.apply_load(
        PAUSED_AT + GOES_ON,
        RATE,
        {PAUSED_AT: lambda: site.pause(Silence(SILENCE))},
    )
    check_whole(load)


async def test_all_endpoints_pause_again_and_again(site: PausableSite) -> None:
    """The first pause spends the retries, and later ones end streams."""
    pause = functools.partial(site.pause, Silence(1.5))
    load = await site.apply_load(
        PAUSED_AT + 6 + GOES_ON,
        RATE,
        {PAUSED_AT + after: pause for after in (0, 3, 6)},
    )
    check_whole(load)


@pytest.mark.parametrize(
    'positions',
    [(10, 20), (0, -1)],
    ids=['between-events', 'before-head-and-last-event'],
)
async def test_engines_pause_twice_in_each_stream(
    site: PausableSite, positions: tuple[int, ...]
) -> None:
    """A stream whose second engine pauses too is ended for that."""
    site.pause(Silence(SILENCE, positions, replies=True), *site.engines)
    check_whole(await site.apply_load(2, LOW_RATE))


async def test_engines_pause_when_retries_are_spent(site: PausableSite) -> None:
    """Refusals spend the retries, and then streams end for a silence."""
    refusing = functools.partial(
        run_for_each, site.engines, site.site.set_endpoint_faults
    )
    refusing_until = PAUSED_AT + 3
    load = await site.apply_load(
        refusing_until + GOES_ON,
        RATE,
        {
            PAUSED_AT: lambda: refusing(shed=True),
            refusing_until: refusing,
            refusing_until + 0.8: lambda: site.pause(
                Silence(SILENCE), *site.engines
            ),
        },
    )
    check_whole(load)


def run_for_each(
    names: list[str], act: Callable[..., None], **fields: object
) -> None:
    """Act on each of some endpoints."""
    for name in names:
        act(name, **fields)


@pytest.fixture
def tunnelling(site: PausableSite) -> Iterator[CuttableSite]:
    """Let edge-1 reach endpoints through other instances only."""
    cuttable = CuttableSite(site.site)
    try:
        cuttable.open_links()
        cuttable.cut(('edge-1',), Cut.HANG)
        yield cuttable
    finally:
        cuttable.close()
        site.site.advertised_addresses.clear()
        for name in site.site.endpoints:
            site.site.report_endpoint(name)


@pytest.mark.usefixtures('tunnelling')
async def test_all_endpoints_pause_behind_other_instances(
    site: PausableSite,
) -> None:
    """What a call through a peer is silent for is taken for the peer's end."""
    await site.apply_load(1, RATE)
    load = await site.apply_load(
        PAUSED_AT + GOES_ON,
        RATE,
        {PAUSED_AT: lambda: site.pause(Silence(SILENCE))},
    )
    check_whole(load)
    ended = [
        line['via']
        for line in site.site.instances[0].log_lines
        if line['event'] == 'ended'
    ]
    assert any(ended)
