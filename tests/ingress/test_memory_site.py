"""Memory reserved at engines, when the instance that holds it is gone."""

import contextlib
import signal
import threading
import time
from collections.abc import Iterator
from http import client

import pytest

from testbed.routed import (
    RoutedInstance,
    RoutedSite,
    start_routed_site,
    wait_for,
)
from tests.ingress.callers import count_events, stream

ENGINES = ('engine-1', 'engine-2', 'engine-3')
#: Seconds after which memory that nobody uses any more counts as lost.
FREE_SECONDS = 4.0
#: More than one of the engines holds, and less than all of them.
LARGE = '400000,50'
ROUNDS = 3
#: Seconds in which a release is carried out, well before a lease lapses.
RELEASED_SECONDS = 0.5


@pytest.fixture
def site(tmp_path_factory: pytest.TempPathFactory) -> Iterator[RoutedSite]:
    """Run a site of one instance whose engines take two seconds an event."""
    with start_routed_site(tmp_path_factory.mktemp('site'), 1) as running:
        for name in ENGINES:
            running.break_endpoint(name, pace=2)
        yield running


def stream_unheard(instance: RoutedInstance) -> None:
    """Ask for a stream whose end does not matter."""
    with contextlib.suppress(OSError, client.HTTPException):
        stream(instance, tokens=LARGE, X_Kelproad_Deadline_Ms='9000')


def list_tickets(site: RoutedSite, dark: str = '') -> list[str]:
    """List what is reserved, at all engines but one that is dark."""
    return [
        ticket
        for name in ENGINES
        if name != dark
        for ticket in site.show_endpoint(name)['tickets']
    ]


def list_running(site: RoutedSite) -> list[str]:
    """List the engines that a call was sent to."""
    return [name for name in ENGINES if site.show_endpoint(name)['runs']]


@pytest.mark.parametrize('sign', [signal.SIGKILL, signal.SIGSTOP])
def test_memory_of_a_dead_holder_is_free_again(
    site: RoutedSite,
    sign: signal.Signals,
) -> None:
    """An instance reserves memory for a prompt, and is killed or frozen.

    It never releases what it holds.  Only a live instance renews its short
    leases, so the memory is free before it counts as lost.
    """
    instance = site.instances[0]
    threading.Thread(
        target=stream_unheard,
        args=(instance,),
        daemon=True,
    ).start()
    wait_for(lambda: bool(list_tickets(site)), 'memory is reserved')
    instance.process.send_signal(sign)
    began = time.monotonic()
    wait_for(lambda: not list_tickets(site), 'memory is free')
    assert time.monotonic() - began < FREE_SECONDS


def test_memory_is_free_when_the_engine_that_used_it_is_dark(
    site: RoutedSite,
) -> None:
    """An engine loses power before the first event of a review.

    Nothing is reset, and a review may take long: its instance went on waiting
    and renewing what the helpers held, for eight seconds in a play.
    """
    threading.Thread(
        target=stream_unheard,
        args=(site.instances[0],),
        daemon=True,
    ).start()
    wait_for(lambda: bool(list_tickets(site)), 'memory is reserved')
    held = set(list_tickets(site))
    wait_for(lambda: bool(list_running(site)), 'the review is sent')
    dark = site.endpoint_processes[list_running(site)[0]]
    dark.freeze()
    began = time.monotonic()
    try:
        wait_for(lambda: not held & set(list_tickets(site, dark.name)), 'free')
        assert time.monotonic() - began < FREE_SECONDS
    finally:
        dark.wake()


def test_memory_is_released_behind_the_last_event(site: RoutedSite) -> None:
    """An engine is full though nobody uses its memory, for 2.5 s at a time.

    A caller closes its connection as soon as it has the last event, which
    cancelled the handling of its call just before the release.
    """
    for name in ENGINES:
        site.break_endpoint(name)
    for _ in range(ROUNDS):
        answer = stream(
            site.instances[0],
            tokens=LARGE,
            X_Kelproad_Deadline_Ms='9000',
        )
        assert count_events(answer) == [1, 2, 3, 4, 5]
        time.sleep(RELEASED_SECONDS)
        assert not list_tickets(site)


def test_memory_is_kept_while_it_is_used(site: RoutedSite) -> None:
    """An engine writes for longer than one lease lasts.

    A reservation that lapsed in between would cut the stream off.
    """
    for name in ENGINES:
        site.break_endpoint(name, pace=0.8)
    results: list[object] = []
    thread = threading.Thread(
        target=lambda: results.append(
            stream(
                site.instances[0],
                tokens=LARGE,
                X_Kelproad_Deadline_Ms='9000',
            ),
        ),
    )
    thread.start()
    wait_for(lambda: bool(list_tickets(site)), 'memory is reserved')
    while thread.is_alive():
        held = list_tickets(site)
        thread.join(0.1)
        assert held or not thread.is_alive()
    assert count_events(results[0]) == [1, 2, 3, 4, 5]
    wait_for(lambda: not list_tickets(site), 'memory is free')
