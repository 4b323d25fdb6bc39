"""What a routed site promised, against what callers and endpoints saw."""

import math

from testbed.calls import CallError
from testbed.routed import RoutedSite, wait_for

from .routed_callers import RoutedTold
from .routed_cuts import CROSSING, find_cut, find_failed_stop
from .routed_faults import RoutedFaults, Span

__all__ = ['check_calls', 'check_calm']

#: Statuses that promise that a call has not run.
_PROMISES = frozenset((408, 421, 429, 503))
_UNKNOWN_KEY = 401
_ONCE = frozenset(('bookings', 'fragile', 'long-fragile'))
#: Seconds after which a key that was taken away runs nothing, and for a call
#: to get from its caller to an endpoint.
_REVOKED_WITHIN = 5.0
#: Seconds after which a key that was given out is known, or the call is told
#: that it has not run.
_GIVEN_WITHIN = 2.5
#: Seconds by which an answer may be late on a busy machine.
_LATE = 1.0
#: Seconds around a failure of an instance in which it may cut calls.
_AROUND = 0.5
_BREAKS_INSTANCE = frozenset(('instance killed', 'instance frozen'))


def check_calls(
    site: RoutedSite,
    told: list[RoutedTold],
    faults: RoutedFaults,
) -> list[str]:
    """List every promise that was broken to callers."""
    runs = _list_runs(site, faults)
    known = {item.request_id for item in told}
    broken = [
        f'{request_id}: run though nobody sent it'
        for request_id in runs
        if request_id not in known
    ]
    for item in told:
        faulty = _find_broken(item, runs.get(item.request_id, []), faults)
        if faulty:
            broken.append(f'{item.request_id} {item.kind}: {faulty}; {item}')
    for stop in faults.stops:
        failed = find_failed_stop(stop, told, runs)
        if failed:
            broken.append(f'{stop.instance}: {failed}; {stop}')
    return broken


def _list_runs(site: RoutedSite, faults: RoutedFaults) -> dict[str, list[str]]:
    """List the endpoints that ran each request, as often as they did."""
    runs: dict[str, list[str]] = {}
    for name in site.endpoints:
        forgotten = faults.forgotten_runs.get(name, [])
        for run in (*forgotten, *site.show_endpoint(name)['runs']):
            runs.setdefault(run['X-Kelproad-Request-Id'], []).append(name)
    return runs


def _find_broken(
    item: RoutedTold,
    endpoints: list[str],
    faults: RoutedFaults,
) -> str:
    """Say which promise a call broke; empty when none."""
    runs = len(endpoints)
    broken = item.find_fault() or _find_untrue(item, runs, faults)
    if broken or _is_disturbed(item, faults):
        return broken
    cut = find_cut(item, endpoints, faults)
    return cut or _find_unserved(item, runs, faults)


def _find_untrue(item: RoutedTold, runs: int, faults: RoutedFaults) -> str:
    """Say what nothing excuses."""
    if runs > 1 and item.kind in _ONCE:
        return f'ran {runs} times'
    if runs and item.whole and item.status in _PROMISES:
        return f'{item.status} though it ran'
    revoked = faults.revoked_at.get(item.key, item.sent_at)
    if runs and item.sent_at > revoked + _REVOKED_WITHIN:
        return 'ran with a key that was taken away'
    return ''


def _find_unserved(item: RoutedTold, runs: int, faults: RoutedFaults) -> str:
    """Say what an instance that was well should have done better."""
    given = faults.given_at.get(item.key, item.sent_at)
    known = given + _GIVEN_WITHIN < item.sent_at
    if item.status == _UNKNOWN_KEY and known:
        if item.key not in faults.revoked_at:
            return 'a key that is there was refused for good'
    lasted = item.ended_at - item.sent_at
    if lasted > item.deadline + _LATE:
        return f'answered after {lasted:.1f} s'
    crossed = not runs and lasted < CROSSING
    if not (item.status or item.refused or crossed):
        return 'closed without an answer'
    return ''


def _is_disturbed(item: RoutedTold, faults: RoutedFaults) -> bool:
    """Tell whether its instance was killed or frozen meanwhile.

    A stop is no excuse but for a kill before its time was over.
    """
    breaks = [
        span
        for span in faults.spans
        if span.subject == item.instance and span.name in _BREAKS_INSTANCE
    ]
    breaks += [
        Span('killed', stop.instance, stop.killed_at, stop.back_at)
        for stop in faults.stops
        if stop.instance == item.instance and stop.killed_at < math.inf
    ]
    return any(
        item.sent_at < span.ended + _AROUND
        and span.began - _AROUND < item.ended_at
        for span in breaks
    )


def check_calm(site: RoutedSite, last: list[RoutedTold]) -> list[str]:
    """List what is not well again after everything has been mended."""
    broken = [
        f'{item.request_id} {item.kind} after all was mended: {item}'
        for item in last
        if not item.answered
    ]
    try:
        wait_for(lambda: not _list_left(site), 'nothing left')
    except (TimeoutError, CallError) as error:
        broken.append(f'{error}: {_list_left(site)}')
    return broken


def _list_left(site: RoutedSite) -> list[str]:
    """List work in flight and reserved memory that nobody needs any more."""
    left = [
        f'{name} holds {ticket}'
        for name in site.endpoints
        for ticket in site.show_endpoint(name)['tickets']
    ]
    for instance in site.instances:
        state = instance.dump()
        if state['own_work'] or state['unfinished']:
            left.append(f'{instance.name} has {state["own_work"]}')
    return left
