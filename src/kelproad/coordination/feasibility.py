"""Check whether a request can meet its deadline, and if not, when it could.

Without this check an overloaded fleet prefills prompts whose callers have given
up: throughput stays the same, but the goodput (work finished before its
deadline) falls towards zero.  So requests that can't finish are refused before
anything is dispatched.
"""

from ..state.endpointtable import EndpointTable
from ..state.engines import classify_length
from ..state.refusals import Refusal, RefusalCode, Step
from ..state.requests import Request
from .policies import Choice
from .prediction import Candidate

__all__ = ['learn_first_token_ratio', 'measure_lateness', 'refuse_infeasible']

#: First tokens to observe before predictions may refuse requests.
_MIN_OBSERVATIONS = 10
#: Fraction of the remaining time above which the predicted wait counts as
#: overload; on an idle fleet a prediction error must not cause refusals.
_QUEUE_FRACTION = 0.5
#: Fraction of the remaining time within which the first token must arrive.
_FIRST_TOKEN_FRACTION = 0.9
#: Bounds of the Retry-After, in seconds.
_SHORTEST_RETRY = 0.5
_LONGEST_RETRY = 60.0
#: Bounds of one observed ratio, so that a single outlier can't cause refusals.
_MIN_RATIO = 0.5
_MAX_RATIO = 4.0


def learn_first_token_ratio(
    table: EndpointTable,
    choice: Choice,
    prompt_tokens: int,
    now: float,
) -> None:
    """Learn a length class's ratio of observed to predicted first token."""
    if not choice.best.predicted:
        return
    observed = (now - choice.chosen_at) / choice.best.predicted
    bounded = min(max(observed, _MIN_RATIO), _MAX_RATIO)
    table.first_token_ratios[classify_length(prompt_tokens)].observe(bounded)


def measure_lateness(
    table: EndpointTable,
    best: Candidate,
    request: Request,
    now: float,
) -> float:
    """Return by how many seconds a request would miss its deadline, or 0.

    A request counts as infeasible only because of a queue.  One that is too
    long for its deadline without any queue is tried all the same, as the
    prefill rate may have been learned under load.
    """
    remaining = request.remaining(now)
    ratio = table.first_token_ratios[classify_length(request.prompt_tokens)]
    if ratio.observations < _MIN_OBSERVATIONS or not best.predicted:
        return 0
    if best.waiting * ratio.value <= remaining * _QUEUE_FRACTION:
        return 0
    expected = best.predicted * ratio.value
    return max(0, expected - remaining * _FIRST_TOKEN_FRACTION)


def refuse_infeasible(
    request: Request,
    best: Candidate,
    late: float,
) -> Refusal:
    """Refuse a request that would miss its deadline, with a Retry-After.

    Queues drain by a second each second, so the lateness is also the time
    after which the same request could meet its deadline.
    """
    return Refusal(
        RefusalCode.NO_CAPACITY,
        f'no endpoint of {request.service.name!r} can meet the deadline: the '
        f'first token is expected {late:.1f} s too late',
        Step.ROUTE,
        peer=best.endpoint.name,
        retry_after=min(max(late, _SHORTEST_RETRY), _LONGEST_RETRY),
    )
