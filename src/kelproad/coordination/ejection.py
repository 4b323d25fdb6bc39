"""Temporary ejection of failing endpoints, and their gradual return.

An endpoint that fails several times in a row gets no work for some seconds.
Then a single request that may be repeated probes it: after a success it returns
with a slow start, after a failure it stays ejected for twice as long.  Only a
bounded fraction of a group is ejected at a time: when most endpoints fail, the
cause is elsewhere, and ejecting them all would turn a partial outage into a
complete one.
"""

from ..state.counters import Counters
from ..state.endpoints import Endpoint
from ..state.endpointtable import EndpointTable
from ..state.refusals import Refusal, RefusalCode

__all__ = ['record_failure', 'record_outcome']

#: Consecutive failures after which an endpoint is ejected.
_FAILURES_TO_EJECT = 3
#: Seconds of the first ejection, and of the longest.
_FIRST_SECONDS = 5.0
_LONGEST_SECONDS = 60.0
_MAX_DOUBLINGS = 8
#: Largest fraction of a group that is ejected at a time.
_MAX_EJECTED_FRACTION = 0.5


def record_outcome(
    table: EndpointTable,
    endpoint: Endpoint,
    refusal: Refusal | None,
    now: float,
    counters: Counters,
) -> None:
    """Record how an attempt ended; ``None`` means success.

    A missed deadline does not count as a failure: callers choose deadlines,
    and could cause ejections with very short ones.
    """
    if refusal is None:
        endpoint.failures.observe(failed=False, now=now)
        _record_success(endpoint, now)
    elif refusal.code is RefusalCode.ENDPOINT_FAILED:
        endpoint.failures.observe(failed=True, now=now)
        record_failure(table, endpoint, now, counters)


def _record_success(endpoint: Endpoint, now: float) -> None:
    endpoint.consecutive_failures = 0
    # The success of a request sent before the ejection is no probe.
    if endpoint.on_probation and endpoint.ejected_until <= now:
        endpoint.on_probation = False
        endpoint.restored_at = now
    if now - endpoint.restored_at > _LONGEST_SECONDS:
        endpoint.ejections = 0


def record_failure(
    table: EndpointTable,
    endpoint: Endpoint,
    now: float,
    counters: Counters,
) -> None:
    """Record a failure, and eject the endpoint if it fails often."""
    endpoint.consecutive_failures += 1
    failed_often = endpoint.consecutive_failures >= _FAILURES_TO_EJECT
    if endpoint.ejected_until > now:
        return
    if not (failed_often or endpoint.on_probation):
        return
    if not _may_eject(table, endpoint, now):
        counters.ejections.inc({'outcome': 'too many out'})
        return
    doublings = min(endpoint.ejections, _MAX_DOUBLINGS)
    seconds = min(_FIRST_SECONDS * 2**doublings, _LONGEST_SECONDS)
    endpoint.ejections += 1
    endpoint.consecutive_failures = 0
    endpoint.ejected_until = now + seconds
    endpoint.on_probation = True
    counters.ejections.inc({'outcome': 'ejected'})


def _may_eject(table: EndpointTable, endpoint: Endpoint, now: float) -> bool:
    members = table.in_group(endpoint.group.name)
    out = sum(member.ejected_until > now for member in members)
    return out + 1 <= len(members) * _MAX_EJECTED_FRACTION
