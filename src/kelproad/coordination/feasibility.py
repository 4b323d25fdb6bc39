"""Whether a request can finish in its time, and when it could.

Without this an overloaded fleet computes prompts whose callers have given up:
the work done is as much as ever, the work done in time falls towards nothing.
So what cannot finish is refused before anything is dispatched.
"""

from ..state.endpoints import EndpointTable
from ..state.lengths import classify_length
from ..state.refusals import Refusal, RefusalCode, Step
from ..state.requests import Request
from .policies import Choice
from .prediction import Candidate

__all__ = ['learn_stretch', 'measure_lateness', 'refuse_hopeless']

#: First tokens that must have been seen before a prediction refuses anything.
_LEAST_OBSERVED = 10
#: Part of the remaining time that waiting must take up before it counts as
#: overload; an error of the prediction must not refuse on an idle fleet.
_QUEUE_PART = 0.5
#: Part of the remaining time within which the first token must come.
_FIRST_TOKEN_PART = 0.9
_SHORTEST_RETRY = 0.5
_LONGEST_RETRY = 60.0
#: Bounds of one observation, so that none of them refuses what follows.
_LEAST_STRETCH = 0.5
_MOST_STRETCH = 4.0


def learn_stretch(
    table: EndpointTable,
    choice: Choice,
    prompt_tokens: int,
    now: float,
) -> None:
    """Learn by how much predictions for a length class are exceeded."""
    if not choice.best.predicted:
        return
    observed = (now - choice.chosen_at) / choice.best.predicted
    bounded = min(max(observed, _LEAST_STRETCH), _MOST_STRETCH)
    table.stretch[classify_length(prompt_tokens)].observe(bounded)


def measure_lateness(
    table: EndpointTable,
    best: Candidate,
    request: Request,
    now: float,
) -> float:
    """Return by how many seconds a request would be late, 0 if it is not.

    Only a queue makes a request hopeless.  One that is alone and too long for
    its deadline is left to try, as the rate may have been learned under load.
    """
    remaining = request.remaining(now)
    stretch = table.stretch[classify_length(request.prompt_tokens)]
    if stretch.observations < _LEAST_OBSERVED or not best.predicted:
        return 0
    if best.waiting * stretch.value <= remaining * _QUEUE_PART:
        return 0
    expected = best.predicted * stretch.value
    return max(0, expected - remaining * _FIRST_TOKEN_PART)


def refuse_hopeless(
    request: Request,
    best: Candidate,
    late: float,
) -> Refusal:
    """Refuse a request that would finish late, and say when to come back.

    Queues drain by a second each second, so after as many seconds as it would
    be late the same request could finish in time.
    """
    return Refusal(
        RefusalCode.NO_CAPACITY,
        f'no endpoint of {request.service.name!r} can answer in time: the '
        f'first token is expected {late:.1f} s too late',
        Step.ROUTE,
        peer=best.endpoint.name,
        retry_after=min(max(late, _SHORTEST_RETRY), _LONGEST_RETRY),
    )
