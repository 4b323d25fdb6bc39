"""Checks of a routed site's guarantees after a run with faults."""

import math
from collections.abc import Iterable

from testbed.calls import CallError
from testbed.routed import RoutedSite, wait_for

from .routed_callers import CallRecord
from .routed_cuts import (
    CLOSE_RACE_SECONDS,
    find_failed_stop,
    find_unexplained_truncation,
)
from .routed_faults import RoutedFaults, Span

__all__ = ['check_calls', 'check_recovery', 'list_runs']

#: Statuses that guarantee that the call has not run.
_NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))
_UNKNOWN_KEY = 401
_AT_MOST_ONCE = frozenset(('bookings', 'fragile', 'long-fragile'))
#: Seconds after which no call with a revoked key runs, including the time of a
#: call from its caller to an endpoint.
_REVOKED_WITHIN = 5.0
#: Seconds after which a new key is known, or the call is refused with a status
#: which states that it has not run.
_KNOWN_WITHIN = 2.5
#: Seconds past its deadline that an answer may take on a busy machine.
_LATE_TOLERANCE = 1.0
#: Seconds before and after a fault of an instance in which it may abort calls.
_FAULT_MARGIN = 0.5
_INSTANCE_FAULTS = frozenset(('instance killed', 'instance frozen'))


def check_calls(
    site: RoutedSite,
    records: list[CallRecord],
    faults: RoutedFaults,
    others: Iterable[str] = (),
) -> list[str]:
    """Return a line for each guarantee to callers that was violated.

    ``others`` are the ids of requests that were sent beside the records.
    """
    runs = list_runs(site, faults)
    known = {item.request_id for item in records} | set(others)
    broken = [
        f'{request_id}: ran, but no caller sent it'
        for request_id in runs
        if request_id not in known
    ]
    for item in records:
        violation = _find_violation(item, runs.get(item.request_id, []), faults)
        if violation:
            broken.append(f'{item.request_id} {item.kind}: {violation}; {item}')
    for stop in faults.stops:
        failed = find_failed_stop(stop, records, runs)
        if failed:
            broken.append(f'{stop.instance}: {failed}; {stop}')
    return broken


def list_runs(site: RoutedSite, faults: RoutedFaults) -> dict[str, list[str]]:
    """Return the endpoints of each request, one entry per run."""
    runs: dict[str, list[str]] = {}
    for name in site.endpoints:
        forgotten = faults.lost_runs.get(name, [])
        for run in (*forgotten, *site.show_endpoint(name)['runs']):
            runs.setdefault(run['X-Kelproad-Request-Id'], []).append(name)
    return runs


def _find_violation(
    item: CallRecord,
    endpoints: list[str],
    faults: RoutedFaults,
) -> str:
    """Return the guarantee that a call violates; empty if none."""
    runs = len(endpoints)
    broken = item.find_defect() or _find_inexcusable(item, runs, faults)
    if broken or _is_disturbed(item, faults):
        return broken
    cut = find_unexplained_truncation(item, endpoints, faults)
    return cut or _find_service_failure(item, runs, faults)


def _find_inexcusable(item: CallRecord, runs: int, faults: RoutedFaults) -> str:
    """Return a violation that no fault can excuse; empty if none."""
    if runs > 1 and item.kind in _AT_MOST_ONCE:
        return f'ran {runs} times'
    if runs and item.whole and item.status in _NOT_RUN_STATUSES:
        return f'answered with {item.status}, but it ran'
    revoked = faults.revoked_at.get(item.key, item.sent_at)
    if runs and item.sent_at > revoked + _REVOKED_WITHIN:
        return 'ran with a revoked key'
    return ''


def _find_service_failure(
    item: CallRecord, runs: int, faults: RoutedFaults
) -> str:
    """Return a failure that a healthy instance must avoid; empty if none."""
    issued = faults.issued_at.get(item.key, item.sent_at)
    known = issued + _KNOWN_WITHIN < item.sent_at
    if item.status == _UNKNOWN_KEY and known:
        if item.key not in faults.revoked_at:
            return 'a valid key was rejected as unknown'
    duration = item.ended_at - item.sent_at
    if duration > item.deadline + _LATE_TOLERANCE:
        return f'answered after {duration:.1f} s'
    crossed = not runs and duration < CLOSE_RACE_SECONDS
    if not (item.status or item.refused or crossed):
        return 'closed without an answer'
    return ''


def _is_disturbed(item: CallRecord, faults: RoutedFaults) -> bool:
    """Return whether its instance was killed or frozen during the call.

    A planned stop counts only if it was killed before its grace period ended.
    """
    spans = [
        span
        for span in faults.spans
        if span.subject == item.instance and span.name in _INSTANCE_FAULTS
    ]
    spans += [
        Span('killed', stop.instance, stop.killed_at, stop.ready_again_at)
        for stop in faults.stops
        if stop.instance == item.instance and stop.killed_at < math.inf
    ]
    return any(
        item.sent_at < span.ended + _FAULT_MARGIN
        and span.began - _FAULT_MARGIN < item.ended_at
        for span in spans
    )


def check_recovery(
    site: RoutedSite, final_calls: list[CallRecord]
) -> list[str]:
    """Return a line for each fault effect that outlasts all faults."""
    broken = [
        f'{item.request_id} {item.kind} failed after all faults ended: {item}'
        for item in final_calls
        if not item.answered
    ]
    try:
        wait_for(lambda: not _list_unreleased(site), 'work or memory left')
    except (TimeoutError, CallError) as error:
        broken.append(f'{error}: {_list_unreleased(site)}')
    return broken


def _list_unreleased(site: RoutedSite) -> list[str]:
    """List work and reserved memory that should have been released."""
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
