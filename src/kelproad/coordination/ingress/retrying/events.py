"""Log lines and metrics of a call's way to its endpoint."""

import logging
import math

from ....state.calls import Call
from ....state.counters import Counters
from ....state.records import record
from ....transport.deadlines import monotonic
from ..placing.placement import NoPlacementError, Placement
from ..streams.delivery import StreamDelivery
from ..streams.progress import Attempt, Progress
from ..streams.silence import Silence

__all__ = [
    'record_broken_off',
    'record_lead',
    'record_limits',
    'record_placement',
    'record_silence',
    'record_stream',
]

_logger = logging.getLogger(__name__)
#: Digits of seconds in the log.
_DIGITS = 4


def record_placement(attempt: Attempt, request_limit: float | None) -> None:
    """Record where a call is sent, and what that was decided by."""
    call, placement = attempt.call, attempt.placement
    record(
        _logger,
        'placed',
        request=call.request_id,
        service=call.service,
        endpoint=placement.primary.name,
        helpers=[helper.name for helper in placement.helpers],
        reserved=sum(share.tokens for share in placement.shares),
        prompt_tokens=call.head.prompt_tokens,
        predicted=round(placement.predicted, _DIGITS),
        considered=placement.considered,
        attempt=attempt.number,
        request_limit=request_limit,
        leaving_for=_measure_leaving(placement),
        waited=round(monotonic() - call.arrived, _DIGITS),
    )


def record_limits(call: Call, error: NoPlacementError) -> None:
    """Record the request limits for which a call is refused, if any."""
    if not error.waits:
        return
    record(
        _logger,
        'refused_for_limits',
        request=call.request_id,
        attempts=call.attempts,
        waits={
            endpoint: round(wait, _DIGITS)
            for endpoint, wait in error.waits.items()
        },
    )


def record_stream(
    call: Call,
    placement: Placement,
    delivery: StreamDelivery,
    counters: Counters,
) -> None:
    """Record the timing of a complete stream in the metrics and the log."""
    if delivery.first_at is None:
        return
    first_event = delivery.first_at - call.arrived
    counters.latencies.first_events.observe(
        {'service': call.service},
        first_event,
    )
    record(
        _logger,
        'streamed',
        request=call.request_id,
        endpoint=placement.primary.name,
        predicted=round(placement.predicted, _DIGITS),
        first_event=round(first_event, _DIGITS),
        longest_gap=round(delivery.longest_gap, _DIGITS),
        gap_ended=round(delivery.gap_ended_at - call.arrived, _DIGITS),
    )


def record_broken_off(
    call: Call, progress: Progress, delivery: StreamDelivery, reason: str
) -> None:
    """Record why a stream that had begun ends early, and what it had left."""
    now = monotonic()
    record(
        _logger,
        'stream_broken_off',
        request=call.request_id,
        reason=reason,
        attempts=call.attempts,
        reached=sorted(progress.reached),
        max_endpoints=call.route.max_endpoints,
        last_event=delivery.last_number,
        silent_for=round(delivery.measure_silence(now), _DIGITS),
        left=round(call.remaining(now), _DIGITS),
        version=call.version,
        elapsed=round(now - call.arrived, _DIGITS),
    )


def record_silence(
    attempt: Attempt,
    silence: Silence,
    delivery: StreamDelivery,
    retries_left: bool,
    endpoints_left: bool,
) -> None:
    """Record that an open attempt is silent, and what the call has left.

    ``retries_left`` is whether the retry budget permits another one, and
    ``endpoints_left`` whether its route and its deadline do.
    """
    call = attempt.call
    now = monotonic()
    record(
        _logger,
        'attempt_silent',
        request=call.request_id,
        endpoint=attempt.endpoint,
        attempt=attempt.number,
        reason=silence.value,
        via=attempt.via,
        last_event=delivery.last_number,
        silent_for=round(delivery.measure_silence(now), _DIGITS),
        retries_left=retries_left,
        endpoints_left=endpoints_left,
        left=round(call.remaining(now), _DIGITS),
        elapsed=round(now - call.arrived, _DIGITS),
    )


def record_lead(leader: Attempt, closed: list[Attempt]) -> None:
    """Record that an attempt goes on after a silence of it, or of another."""
    record(
        _logger,
        'attempt_goes_on',
        request=leader.call.request_id,
        endpoint=leader.endpoint,
        attempt=leader.number,
        closed=[attempt.endpoint for attempt in closed],
        elapsed=round(monotonic() - leader.call.arrived, _DIGITS),
    )


def _measure_leaving(placement: Placement) -> float | None:
    """Return for how long the endpoint has been known to leave, if it is."""
    seconds = monotonic() - placement.primary.withdrawal.left_at
    return round(seconds, _DIGITS) if math.isfinite(seconds) else None
