"""Attempts that are abandoned before their first token."""

from ..state.counters import Counters
from ..state.endpointtable import EndpointTable
from .candidates import REPORT_TIMEOUT
from .ejection import record_failure
from .policies import Choice
from .prediction import learn_rate

__all__ = ['record_stall']


def record_stall(
    table: EndpointTable,
    choice: Choice,
    prompt_tokens: int,
    now: float,
    counters: Counters,
) -> None:
    """Record that an attempt was abandoned before its first token.

    Under overload every engine is slower than predicted.  Counting that as a
    failure would eject engines and overload the rest, so an engine that still
    reports is considered slow, and the elapsed time updates its learned rate.
    """
    endpoint = choice.endpoint
    if now - endpoint.reported_at > REPORT_TIMEOUT:
        record_failure(table, endpoint, now, counters)
    else:
        learn_rate(choice.best, prompt_tokens, now - choice.chosen_at)
