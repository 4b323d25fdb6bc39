"""Timeouts for endpoints that stay silent."""

import math

from ....state.calls import Call
from ....state.work import EndpointWork
from ..placing.placement import Placement

__all__ = [
    'choose_fault_threshold',
    'choose_first_event_timeout',
    'choose_plain_timeout',
    'choose_stall_timeout',
]

#: Seconds without an event after which a running stream counts as stalled.
_STALL_SECONDS = 1.2
#: Multiple of the predicted prefill for which an engine's silence is tolerated,
#: and the seconds after which callers disconnect in any case.
_PREFILL_RATIO = 1.5
_MAX_STALL_SECONDS = 1.9
#: Seconds that an engine always has for its first event, and the multiple of
#: the predicted time added to them, before the call is sent elsewhere.
_FIRST_EVENT_SECONDS = 1.0
_FIRST_EVENT_RATIO = 4.0
#: Multiple of the objective for which a plain endpoint may stay silent before
#: it counts as failing, and a repeatable call is sent elsewhere.
_PLAIN_TIMEOUT_RATIO = 1.5


def choose_first_event_timeout(placement: Placement) -> float:
    """Choose the seconds to wait for the first event of a stream."""
    return max(
        _STALL_SECONDS,
        _FIRST_EVENT_SECONDS + _FIRST_EVENT_RATIO * placement.predicted,
    )


def choose_stall_timeout(placement: Placement, work: EndpointWork) -> float:
    """Choose the seconds to wait for the next event of a stream.

    An engine that prefills a long prompt is silent for that long; giving it up
    would make other engines prefill the prompts of all its streams again.
    """
    prefill = _PREFILL_RATIO * work.prefill_seconds
    tolerated = min(_STALL_SECONDS / 2 + prefill, _MAX_STALL_SECONDS)
    return max(choose_first_event_timeout(placement), tolerated)


def choose_plain_timeout(call: Call) -> float:
    """Choose the seconds after which a plain call is sent elsewhere."""
    return call.route.objective * _PLAIN_TIMEOUT_RATIO


def choose_fault_threshold(call: Call) -> float:
    """Choose the seconds of silence that count as a fault of the endpoint.

    Engines may miss a deadline because of their load, which is no failure.
    Callers choose deadlines, and very short ones must not eject endpoints.
    """
    return math.inf if call.kind.streams else choose_plain_timeout(call)
