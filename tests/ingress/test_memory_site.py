"""Release and renewal of memory reserved at engines."""

import contextlib
import signal
import threading
import time
from collections.abc import Iterator
from http import client

import pytest

from testbed.calls import call_control
from testbed.routed import (
    RoutedInstance,
    RoutedSite,
    start_routed_site,
    wait_for,
)
from tests.ingress.callers import list_event_ids, stream

ENGINES = ('engine-1', 'engine-2', 'engine-3')
#: Maximum seconds for which unused memory may stay reserved.
FREE_SECONDS = 4.0
#: Token counts of a prompt that needs several engines, but not all memory.
LARGE = '400000,50'
#: Those of a prompt of which one engine can't hold two.
HALF = '150000,50'
ROUNDS = 3
#: Seconds for which all engines lack memory: less than the objective, and more.
TAKEN_SECONDS = (0.4, 1.5)
#: Seconds for a release to be carried out; well below the duration of a lease.
RELEASED_SECONDS = 0.5


@pytest.fixture
def site(tmp_path_factory: pytest.TempPathFactory) -> Iterator[RoutedSite]:
    """Start a site of one instance; its engines take two seconds per event."""
    with start_routed_site(tmp_path_factory.mktemp('site'), 1) as running:
        for name in ENGINES:
            running.set_endpoint_faults(name, pace=2)
        yield running


def stream_ignoring_errors(instance: RoutedInstance) -> None:
    """Request a stream and ignore a connection that breaks."""
    with contextlib.suppress(OSError, client.HTTPException):
        stream(instance, tokens=LARGE, X_Kelproad_Deadline_Ms='9000')


def list_tickets(site: RoutedSite, frozen: str = '') -> list[str]:
    """List the reservations at all engines except a frozen one."""
    return [
        ticket
        for name in ENGINES
        if name != frozen
        for ticket in site.show_endpoint(name)['tickets']
    ]


def take_memory(site: RoutedSite, name: str, seconds: float) -> None:
    """Take most of an engine's memory, as an unknown instance might."""
    order = {
        'operation': 'reserve',
        'id': 'of another',
        'token_count': 200_000,
        'hold_ms': int(seconds * 1000),
    }
    call_control(site.endpoints[name], 'POST', '/-/order', order)


def list_called_engines(site: RoutedSite) -> list[str]:
    """List the engines that have run a call."""
    return [name for name in ENGINES if site.show_endpoint(name)['runs']]


@pytest.mark.parametrize('signal_number', [signal.SIGKILL, signal.SIGSTOP])
def test_memory_of_a_dead_instance_is_released(
    site: RoutedSite,
    signal_number: signal.Signals,
) -> None:
    """An instance reserves memory for a prompt, and is killed or frozen.

    It never releases its reservations.  Their leases are short and renewed
    only by a live instance, so they must expire within ``FREE_SECONDS``.
    """
    instance = site.instances[0]
    threading.Thread(
        target=stream_ignoring_errors,
        args=(instance,),
        daemon=True,
    ).start()
    wait_for(lambda: bool(list_tickets(site)), 'memory is reserved')
    instance.process.send_signal(signal_number)
    signalled_at = time.monotonic()
    wait_for(lambda: not list_tickets(site), 'memory is free')
    assert time.monotonic() - signalled_at < FREE_SECONDS


def test_memory_is_released_when_its_engine_loses_power(
    site: RoutedSite,
) -> None:
    """An engine loses power before the first event of a long prompt.

    No connection is reset, and such a prompt may take long.  If its instance
    goes on waiting, it also renews the leases at the helper engines: their
    memory stayed reserved for eight seconds.
    """
    threading.Thread(
        target=stream_ignoring_errors,
        args=(site.instances[0],),
        daemon=True,
    ).start()
    wait_for(lambda: bool(list_tickets(site)), 'memory is reserved')
    held = set(list_tickets(site))
    wait_for(lambda: bool(list_called_engines(site)), 'the call is sent')
    frozen = site.endpoint_processes[list_called_engines(site)[0]]
    frozen.freeze()
    frozen_at = time.monotonic()
    try:
        wait_for(
            lambda: not held & set(list_tickets(site, frozen.name)), 'free'
        )
        assert time.monotonic() - frozen_at < FREE_SECONDS
    finally:
        frozen.resume()


def test_memory_is_released_after_the_last_event(site: RoutedSite) -> None:
    """A caller closes its connection as soon as it has the last event.

    If that cancels the handling of its call before the release, the engine
    stays full for 2.5 s although its memory is unused.
    """
    for name in ENGINES:
        site.set_endpoint_faults(name)
    for _ in range(ROUNDS):
        answer = stream(
            site.instances[0],
            tokens=LARGE,
            X_Kelproad_Deadline_Ms='9000',
        )
        assert list_event_ids(answer) == [1, 2, 3, 4, 5]
        time.sleep(RELEASED_SECONDS)
        assert not list_tickets(site)


def test_memory_is_kept_while_it_is_used(site: RoutedSite) -> None:
    """An engine decodes for longer than the duration of a lease.

    A reservation that lapses meanwhile would abort the stream.
    """
    for name in ENGINES:
        site.set_endpoint_faults(name, pace=0.8)
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
    assert list_event_ids(results[0]) == [1, 2, 3, 4, 5]
    wait_for(lambda: not list_tickets(site), 'memory is free')


def test_a_large_prompt_goes_where_its_memory_is_free(
    site: RoutedSite,
) -> None:
    """Guards against large prompts that meet at one engine and wait there."""
    for name in ENGINES:
        site.set_endpoint_faults(name)
    for name in ENGINES[:2]:
        take_memory(site, name, FREE_SECONDS)
    for _ in range(ROUNDS):
        answer = stream(site.instances[0], tokens=HALF)
        assert list_event_ids(answer) == [1, 2, 3, 4, 5]
    assert list_called_engines(site) == [ENGINES[2]]


@pytest.mark.parametrize('seconds', TAKEN_SECONDS)
def test_memory_that_all_engines_lack_is_waited_for_and_found(
    site: RoutedSite, seconds: float
) -> None:
    """Guards against a large prompt that is refused in a full moment."""
    for name in ENGINES:
        site.set_endpoint_faults(name)
        take_memory(site, name, seconds)
    answer = stream(
        site.instances[0], tokens=HALF, X_Kelproad_Deadline_Ms='9000'
    )
    assert list_event_ids(answer) == [1, 2, 3, 4, 5]
