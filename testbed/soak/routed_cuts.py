"""Answers that broke off, and what explains each: a failure or a late stop."""

from collections.abc import Iterable

from .links import Harm
from .routed_callers import RoutedTold
from .routed_faults import RoutedFaults, Span
from .routed_stops import GRACE, PlannedStop

__all__ = [
    'CROSSING',
    'find_cut',
    'find_failed_stop',
    'is_cut_by_end',
    'is_unanswered',
]

#: Seconds in which a call may cross the closing of its connection unread.
CROSSING = 0.2

#: Seconds after SIGTERM in which a balancer notices; it sends nothing later
#: unless it has no other instance.
_NOTICED_WITHIN = 3.0
#: Seconds after SIGTERM from which a call that came before may be cut: the
#: last sixth of the time until the kill.
_MAY_CUT_AFTER = GRACE * 5 / 6
#: Seconds before its deadline at which a call may be given up: less than a
#: connection and the shortest answer take, and the way back.
_NEAR_DEADLINE = 0.1
#: Seconds that the end of a process takes to be seen here.
_AROUND = 0.5
#: Statuses with which a stop ends what has not begun to be answered.
_FAILED = frozenset((502, 503))
_BREAKS_ENDPOINT = frozenset(('endpoint fails', 'link harmed'))


def find_cut(
    item: RoutedTold,
    endpoints: list[str],
    faults: RoutedFaults,
) -> str:
    """Say that an answer broke off for no reason that callers must bear.

    Parameters
    ----------
    item
        The call.
    endpoints
        Those that ran it.
    faults
        What was done to endpoints, links and instances.
    """
    if not _is_cut(item, endpoints) or _is_explained(item, endpoints, faults):
        return ''
    stop = _find_stop(item, faults.stops)
    if stop is None:
        return 'broke off though nothing failed'
    if is_cut_by_end(item, stop):
        return ''
    came = item.sent_at - stop.asked_at
    ended = item.ended_at - stop.asked_at
    return f'came {came:.2f} s and was cut {ended:.2f} s after SIGTERM'


def is_cut_by_end(item: RoutedTold, stop: PlannedStop) -> bool:
    """Tell whether a call came in time and was cut at the end of a stop."""
    in_time = item.sent_at <= stop.asked_at + _NOTICED_WITHIN
    return in_time and not item.whole and _ends_with(item, stop)


def is_unanswered(item: RoutedTold, stop: PlannedStop) -> bool:
    """Tell whether a call got no answer though its connection was taken."""
    return (
        item.instance == stop.instance
        and not (item.status or item.refused)
        and stop.covers(item.ended_at)
    )


def find_failed_stop(
    stop: PlannedStop,
    told: list[RoutedTold],
    runs: dict[str, list[str]],
) -> str:
    """Say what was wrong with the end of a process that was stopped.

    Exit code 1 says that calls were given up, so callers must have seen one:
    an answer that broke off, or a failure at the end of the stop.
    """
    if stop.overdue:
        return f'alive {GRACE} s after SIGTERM'
    if not stop.code or stop.killed_at <= stop.ended_at:
        return ''
    given_up = any(
        _is_given_up(item, runs.get(item.request_id, []))
        and _ends_with(item, stop)
        for item in told
    )
    return '' if stop.code == 1 and given_up else f'exit code {stop.code}'


def _is_given_up(item: RoutedTold, endpoints: list[str]) -> bool:
    """Tell whether a call ended as those do that a stop gives up.

    One that is refused when it comes was not in hand.
    """
    if item.whole:
        lasted = item.ended_at - item.sent_at
        return item.status in _FAILED and lasted > CROSSING
    return _is_cut(item, endpoints)


def _ends_with(item: RoutedTold, stop: PlannedStop) -> bool:
    """Tell whether a call ended in the last sixth of a stop."""
    return (
        item.instance == stop.instance
        and stop.asked_at + _MAY_CUT_AFTER <= item.ended_at
        and item.ended_at <= stop.ended_at + _AROUND
    )


def _is_cut(item: RoutedTold, endpoints: list[str]) -> bool:
    """Tell whether an answer broke off, or none came though it was run."""
    return not item.whole and bool(item.status or endpoints)


def _find_stop(
    item: RoutedTold,
    stops: Iterable[PlannedStop],
) -> PlannedStop | None:
    """Find the stop during which a call ended."""
    for stop in stops:
        if stop.instance == item.instance and stop.asked_at <= item.ended_at:
            if item.ended_at <= stop.ended_at + _AROUND:
                return stop
    return None


def _is_explained(
    item: RoutedTold,
    endpoints: list[str],
    faults: RoutedFaults,
) -> bool:
    """Tell whether its deadline or the failure of an endpoint cut a call."""
    if item.ended_at > item.sent_at + item.deadline - _NEAR_DEADLINE:
        return True
    # Its link may have lost the call, and a kill what was run just before.
    _, _, stamped = item.stamp.rpartition('stamp.')
    name, _, _ = stamped.partition('.')
    return any(
        _breaks(span, [*endpoints, name])
        and item.sent_at < span.ended
        and span.began < item.ended_at
        for span in faults.spans
    )


def _breaks(span: Span, endpoints: list[str]) -> bool:
    """Tell whether a failure was one of these endpoints or of its link.

    One that was killed may have forgotten the call.
    """
    name, _, harm = span.subject.partition(': ')
    if span.name == 'endpoint killed':
        return bool(name)
    harmful = harm != Harm.NONE.value
    return span.name in _BREAKS_ENDPOINT and harmful and name in endpoints
