"""Truncated answers, and whether a fault or a planned stop explains each."""

from collections.abc import Iterable

from .links import LinkFault
from .routed_callers import CallRecord
from .routed_faults import RoutedFaults, Span
from .routed_partitions import INSTANCE_CUT
from .routed_stops import GRACE, PlannedStop

__all__ = [
    'CLOSE_RACE_SECONDS',
    'find_unexplained_truncation',
    'find_failed_stop',
    'is_cut_by_end',
    'is_unanswered',
]

#: Seconds in which a call may be lost unread as its connection is closed.
CLOSE_RACE_SECONDS = 0.2

#: Seconds after SIGTERM in which a load balancer notices the stop; it sends no
#: calls later unless it has no other instance.
_NOTICED_WITHIN = 3.0
#: Seconds after SIGTERM from which a call that was sent before
#: ``_NOTICED_WITHIN`` may be truncated: the last sixth of the grace period.
_MAY_TRUNCATE_AFTER = GRACE * 5 / 6
#: Seconds before its deadline at which a call may be aborted: less than it
#: takes to connect and to receive the shortest answer.
_NEAR_DEADLINE = 0.1
#: Seconds until the exit of a process is noticed here.
_EXIT_NOTICE_DELAY = 0.5
#: Statuses with which a stop ends calls whose answers have not begun.
_FAILURE_STATUSES = frozenset((502, 503))
_ENDPOINT_FAULTS = frozenset(('endpoint fails', 'link harmed'))


def find_unexplained_truncation(
    item: CallRecord,
    endpoints: list[str],
    faults: RoutedFaults,
) -> str:
    """Return how an answer was truncated without a tolerated cause.

    Parameters
    ----------
    item
        The call.
    endpoints
        The endpoints that ran it.
    faults
        The faults of endpoints, links and instances.

    Returns
    -------
    str
        Empty if it was not truncated or the cause is tolerated.
    """
    if not _is_truncated(item, endpoints) or _is_explained(
        item, endpoints, faults
    ):
        return ''
    stop = _find_stop(item, faults.stops)
    if stop is None:
        return 'truncated though nothing failed'
    if is_cut_by_end(item, stop):
        return ''
    sent = item.sent_at - stop.terminated_at
    ended = item.ended_at - stop.terminated_at
    return f'came {sent:.2f} s and was cut {ended:.2f} s after SIGTERM'


def is_cut_by_end(item: CallRecord, stop: PlannedStop) -> bool:
    """Return whether a call was sent in time and truncated by a stop's end."""
    in_time = item.sent_at <= stop.terminated_at + _NOTICED_WITHIN
    return in_time and not item.whole and _ended_at_end_of(item, stop)


def is_unanswered(item: CallRecord, stop: PlannedStop) -> bool:
    """Return whether a stop ended a connected call without any answer."""
    return (
        item.instance == stop.instance
        and not (item.status or item.refused)
        and stop.covers(item.ended_at)
    )


def find_failed_stop(
    stop: PlannedStop,
    records: list[CallRecord],
    runs: dict[str, list[str]],
) -> str:
    """Return what was wrong with the exit of a stopped process.

    Exit code 1 states that calls were aborted, so a caller must have seen one:
    a truncated answer, or a failure at the end of the stop.
    """
    if stop.overdue:
        return f'alive {GRACE} s after SIGTERM'
    if not stop.code or stop.killed_at <= stop.ended_at:
        return ''
    aborted = any(
        _is_aborted(item, runs.get(item.request_id, []))
        and _ended_at_end_of(item, stop)
        for item in records
    )
    return '' if stop.code == 1 and aborted else f'exit code {stop.code}'


def _is_aborted(item: CallRecord, endpoints: list[str]) -> bool:
    """Return whether a call ended like those that a stop aborts.

    A call that is refused on arrival was not in progress.
    """
    if item.whole:
        duration = item.ended_at - item.sent_at
        return (
            item.status in _FAILURE_STATUSES and duration > CLOSE_RACE_SECONDS
        )
    return _is_truncated(item, endpoints)


def _ended_at_end_of(item: CallRecord, stop: PlannedStop) -> bool:
    """Return whether a call ended in the last sixth of a grace period."""
    return (
        item.instance == stop.instance
        and stop.terminated_at + _MAY_TRUNCATE_AFTER <= item.ended_at
        and item.ended_at <= stop.ended_at + _EXIT_NOTICE_DELAY
    )


def _is_truncated(item: CallRecord, endpoints: list[str]) -> bool:
    """Return whether an answer was truncated, or missing though it ran."""
    return not item.whole and bool(item.status or endpoints)


def _find_stop(
    item: CallRecord,
    stops: Iterable[PlannedStop],
) -> PlannedStop | None:
    """Return the stop of its instance during which a call ended."""
    for stop in stops:
        if (
            stop.instance == item.instance
            and stop.terminated_at <= item.ended_at
        ):
            if item.ended_at <= stop.ended_at + _EXIT_NOTICE_DELAY:
                return stop
    return None


def _is_explained(
    item: CallRecord,
    endpoints: list[str],
    faults: RoutedFaults,
) -> bool:
    """Return whether a deadline, an endpoint or a partition explains it."""
    if item.ended_at > item.sent_at + item.deadline - _NEAR_DEADLINE:
        return True
    # The link may have lost the call, and a killed endpoint its run records;
    # the stamp of the answer also names the endpoint.
    _, _, suffix = item.stamp.rpartition('stamp.')
    name, _, _ = suffix.partition('.')
    return any(
        (_affects(span, [*endpoints, name]) or _cuts(span, item.instance))
        and item.sent_at < span.ended
        and span.began < item.ended_at
        for span in faults.spans
    )


def _cuts(span: Span, instance: str) -> bool:
    """Return whether an instance was cut from the endpoints.

    What it had sent is lost then, and what may run once is not sent again.
    """
    return span.name == INSTANCE_CUT and span.subject == instance


def _affects(span: Span, endpoints: list[str]) -> bool:
    """Return whether a fault affects one of the endpoints or its link.

    Any killed endpoint counts: it may have run the call and lost the record.
    """
    name, _, harm = span.subject.partition(': ')
    if span.name == 'endpoint killed':
        return bool(name)
    has_fault = harm != LinkFault.NONE.value
    return span.name in _ENDPOINT_FAULTS and has_fault and name in endpoints
