"""Requests whose prompts have a part that crashes engines."""

import itertools
import random
import time
import types
from collections.abc import Callable, Iterator

import attrs
import pytest

from testbed.crashes import CrashingSite, Stream, start_crashing_site
from tests.ingress.crashes import (
    KNOWN_WITHIN,
    LOAD_SECONDS,
    MAX_CRASHES,
    PATH,
    POISONED_RATE,
    RESTORED_AFTER,
    SOUND,
    TOLERANCE,
    check_answers,
    choose_topic,
    measure_served,
)

ZONES = 'aabb'
ENGINES = 8
_numbers = itertools.count(1)


@pytest.fixture(scope='module')
def site(tmp_path_factory: pytest.TempPathFactory) -> Iterator[CrashingSite]:
    """Start instances in two zones for the tests of this module."""
    directory = tmp_path_factory.mktemp('site')
    with start_crashing_site(directory, ZONES, ENGINES) as started:
        yield started


@attrs.frozen
class Scenario:
    """Poisoned requests: where they carry their part, and how engines end."""

    make_parts: Callable[[int, str], tuple[str, ...]]
    path: str = PATH
    crash_after: int = 0


SCENARIOS = types.MappingProxyType(
    {
        'in-the-middle': Scenario(
            lambda number, part: (
                f'system-{number % 3}',
                part,
                choose_topic(number),
            )
        ),
        'first': Scenario(lambda number, part: (part, choose_topic(number))),
        'always-beside-a-part-of-sound-ones': Scenario(
            lambda number, part: ('system-1', part, 'topic-1')
        ),
        'after-an-event': Scenario(
            lambda number, part: (f'system-{number % 3}', part), crash_after=1
        ),
        'in-streams-that-are-not-resumed': Scenario(
            lambda number, part: (f'system-{number % 3}', part),
            path='/fragile/x?events=8',
        ),
        'with-parts-seen-once': Scenario(
            lambda number, part: (f'system-{number % 3}', f'own-{number}', part)
        ),
    }
)


@pytest.mark.parametrize('name', list(SCENARIOS))
def test_a_part_that_crashes_engines_is_stopped_after_few(
    site: CrashingSite, name: str
) -> None:
    """Requests with one part crash engine after engine."""
    scenario = SCENARIOS[name]
    part = f'poison-{next(_numbers)}'
    site.apply_faults(crash_parts=[part], crash_after=scenario.crash_after)
    began = time.monotonic()
    poisoned = Stream(
        scenario.path,
        lambda number: scenario.make_parts(number, part),
        POISONED_RATE,
    )
    sent = site.apply_load(LOAD_SECONDS, (SOUND, poisoned))
    site.await_all()
    crashes = site.read_crashes(began)
    assert 0 < len(crashes.crashed_at) <= MAX_CRASHES
    known_at = crashes.crashed_at[-1] + KNOWN_WITHIN
    assert not crashes.count_arrivals(known_at)
    assert measure_served(sent, SOUND, began + RESTORED_AFTER) >= 1 - TOLERANCE
    check_answers(site, [call for call in sent if call.kind is poisoned])


def test_parts_of_sound_requests_are_never_refused_for_crashes(
    site: CrashingSite,
) -> None:
    """Engines that crash by themselves bring their prompts into disrepute."""
    site.apply_faults()
    generator = random.Random(7)
    began = time.monotonic()
    sent = site.apply_load(
        LOAD_SECONDS,
        (SOUND,),
        dict.fromkeys(range(1, 10), lambda: site.kill_engine(generator)),
    )
    site.await_all()
    assert measure_served(sent, SOUND, began) >= 1 - TOLERANCE
