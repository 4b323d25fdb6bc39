"""A zone whose engines all stand still at once, before real instances."""

import os
import signal
import threading
import time
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor

import pytest

from testbed.routed import RoutedSite, start_routed_site, wait_for
from tests.ingress.callers import Answer, next_id, stream

ZONE = 'zone-b'
SILENT = ('engine-2', 'engine-3', 'engine-4', 'engine-5', 'engine-6')
PATH = '/reports/x?events=3&pace=0.02'
#: Streams per second, and seconds of the silence.
RATE = 12
SILENT_SECONDS = 3.0
#: Seconds from its begin until streams are as fast as ever again.
LEARN_SECONDS = 1.0
FAST_SECONDS = 0.5
#: Share of them that may be slower: those by which an engine is tried again.
SLOW_SHARE = 0.1


@pytest.fixture
def site(tmp_path_factory: pytest.TempPathFactory) -> Iterator[RoutedSite]:
    """Run three instances in a zone with five engines; another has two."""
    with start_routed_site(tmp_path_factory.mktemp('site'), 0) as running:
        running.start_endpoint('engine-7', 'writer')
        for name in SILENT:
            if name not in running.endpoints:
                running.start_endpoint(name, 'writer')
            running.put_endpoint_row(name, 'writer', zone=ZONE)
        for number in range(3):
            running.start_instance(f'edge-{number}', ZONE)
        wait_for(
            lambda: all(
                len(instance.dump()['endpoints']) == len(running.endpoints)
                for instance in running.instances
            ),
            'all endpoints',
        )
        yield running


def send_streams(
    site: RoutedSite, seconds: float
) -> list[tuple[float, Answer]]:
    """Send streams at a rate; return each with the seconds of its begin."""
    began = time.monotonic()

    def send_one(number: int) -> tuple[float, Answer]:
        time.sleep(max(0, began + number / RATE - time.monotonic()))
        begun = time.monotonic() - began
        instance = site.instances[number % len(site.instances)]
        return begun, stream(instance, PATH, request_id=next_id())

    with ThreadPoolExecutor(2 * RATE) as pool:
        return list(pool.map(send_one, range(int(seconds * RATE))))


def signal_engines(site: RoutedSite, sent: signal.Signals) -> None:
    """Send a signal to the processes of the engines of the zone."""
    for name in SILENT:
        os.kill(site.endpoint_processes[name].pid, sent)


def test_a_zone_that_falls_silent_is_learned_once(site: RoutedSite) -> None:
    """Guards against streams that try each engine of a silent zone."""
    assert send_streams(site, 1)
    signal_engines(site, signal.SIGSTOP)
    wake = threading.Timer(
        SILENT_SECONDS, signal_engines, (site, signal.SIGCONT)
    )
    wake.start()
    try:
        answers = send_streams(site, SILENT_SECONDS)
    finally:
        wake.join()
    assert all(answer.status == 200 for _, answer in answers)
    later = [
        answer.seconds for begun, answer in answers if begun > LEARN_SECONDS
    ]
    slow = [seconds for seconds in later if seconds > FAST_SECONDS]
    assert len(slow) <= SLOW_SHARE * len(later)
    dump = site.instances[0].dump()
    wait_for(lambda: not site.instances[0].dump()['silent_groups'], str(dump))
    events = [
        line['event']
        for instance in site.instances
        for line in instance.log_lines
    ]
    assert 'engines_silent' in events
