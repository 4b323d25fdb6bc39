"""Whether calls with keys are refused though the store answers in time."""

from .routed_callers import CallRecord
from .routed_faults import RoutedFaults, Span, list_interruptions
from .routed_rows import CONNECTIONS_SILENCED
from .routed_watch import SOUND_SECONDS, StoreQuery

__all__ = ['check_confirmed']

#: Seconds before a call in which nothing may have disturbed the store or the
#: way to it, longer than keys hold without it.
_UNDISTURBED_SECONDS = 5.0
#: Seconds after which even a store that takes three for an answer has told all
#: instances of a new key.
_KNOWN_SECONDS = 10.0
#: What refusals say: that keys can't be trusted, and that a route or a key may
#: be in a configuration which is not known yet.
_KEYS_UNCONFIRMED = 'keys are not confirmed'
_CONFIGURATION_UNCONFIRMED = (
    'the configuration is not confirmed',
    'the configuration may lack what was accepted',
)


def check_confirmed(
    records: list[CallRecord],
    faults: RoutedFaults,
    queries: list[StoreQuery],
) -> list[str]:
    """Return a line for each refusal for which the store gave no cause."""
    return [
        f'{item.request_id} {item.kind}: refused as unconfirmed, while the '
        f'store answered in {_find_longest(item, queries):.2f} s; {item}'
        for item in records
        if _is_refused_as_unconfirmed(item, faults)
        and _is_watched(item, queries)
        and _find_longest(item, queries) < SOUND_SECONDS
        and not _is_disturbed(item, faults)
    ]


def _is_refused_as_unconfirmed(item: CallRecord, faults: RoutedFaults) -> bool:
    """Return whether a call with a valid key was refused for its age."""
    if faults.revoked_at.get(item.key, float('inf')) < item.ended_at:
        return False
    if any(said in item.body for said in _CONFIGURATION_UNCONFIRMED):
        issued = faults.issued_at.get(item.key, float('-inf'))
        return issued + _KNOWN_SECONDS < item.sent_at
    return _KEYS_UNCONFIRMED in item.body


def _is_watched(item: CallRecord, queries: list[StoreQuery]) -> bool:
    """Return whether the store was watched all the time before a call."""
    first = min((query.sent_at for query in queries), default=float('inf'))
    return first < item.sent_at - _UNDISTURBED_SECONDS


def _find_longest(item: CallRecord, queries: list[StoreQuery]) -> float:
    """Return the seconds of the slowest answer to what was sent before."""
    began = item.sent_at - _UNDISTURBED_SECONDS
    return max(
        (
            query.seconds
            for query in queries
            if began <= query.sent_at <= item.ended_at
        ),
        default=float('inf'),
    )


def _is_disturbed(item: CallRecord, faults: RoutedFaults) -> bool:
    """Return whether its instance, or its way to the store, was disturbed."""
    times = list_interruptions(faults, item.instance)
    times += [
        (span.began, span.ended)
        for span in faults.spans
        if _is_between(span, item.instance)
    ]
    return any(
        began <= item.ended_at and ended >= item.sent_at - _UNDISTURBED_SECONDS
        for began, ended in times
    )


def _is_between(span: Span, instance: str) -> bool:
    """Return whether a fault cuts an instance from what the store knows."""
    if span.name in {'store restored', CONNECTIONS_SILENCED}:
        return True
    return span.name == 'link harmed' and span.subject.startswith(
        f'store of {instance}:'
    )
