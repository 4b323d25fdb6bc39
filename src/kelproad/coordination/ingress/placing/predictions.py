"""Predictions for engines, from the work that is in flight there.

An engine works in passes, iterations of its batch: each one prefills the
prompts that wait and decodes a few tokens of every stream.
"""

import random
from collections.abc import Callable

from ....state.engines import EngineProfile
from ....state.work import EndpointWork
from .placement import CallRequirements, Candidate

__all__ = [
    'FAILURE_SECONDS',
    'count_free_slots',
    'has_slot',
    'measure_prefill_allowance',
    'measure_free_memory',
    'predict_first_token',
    'predict_pass',
    'choose_lowest_score',
]

#: Seconds added to an endpoint's score if it is certain to fail: about the time
#: to detect a failure and to try another endpoint.
FAILURE_SECONDS = 1.0
#: Seconds within which two scores count as equal, so that instances with the
#: same view don't all choose the same endpoint.
_EQUAL_SECONDS = 0.004


def predict_first_token(
    candidate: Candidate,
    prompt_seconds: float,
    profile: EngineProfile,
) -> float:
    """Predict the seconds to the first token of a prompt, or of its part.

    It waits for the rest of the running pass, half a pass on average, and is
    prefilled in the next one, together with everything else that waits; its
    first token comes at the end of that pass.
    """
    published = (
        predict_pass(candidate.work, profile) / 2
        + candidate.work.prefill_seconds
        + prompt_seconds
        + profile.predict_decode(
            candidate.work.calls + 1,
            candidate.work.context_tokens,
        )
    )
    return (
        candidate.start_wait
        + 2 * candidate.delay
        + published * candidate.slowdown
        + candidate.failing * FAILURE_SECONDS
    )


def measure_prefill_allowance(
    candidate: Candidate,
    requirements: CallRequirements,
    share: float,
    profile: EngineProfile,
) -> float:
    """Measure the seconds that an engine may prefill without disruption.

    They are seconds at published speed, so a slow engine has fewer.  The limit
    is the stall that its streams tolerate, and a share of the rest of the
    prompt's objective.
    """
    allowance = requirements.left * share / candidate.slowdown
    allowance -= candidate.work.prefill_seconds
    if not candidate.work.calls:
        return allowance
    longest = profile.stall_limits.gap_tolerant
    if candidate.work.gap_sensitive_calls:
        longest = profile.stall_limits.gap_sensitive
    running = predict_pass(candidate.work, profile)
    return min(allowance, longest / candidate.slowdown - running)


def predict_pass(work: EndpointWork, profile: EngineProfile) -> float:
    """Predict the seconds of a pass, at published speed, with all its work."""
    if not work.calls:
        return work.prefill_seconds
    decode = profile.predict_decode(work.calls, work.context_tokens)
    return decode + work.prefill_seconds


def has_slot(candidate: Candidate, profile: EngineProfile) -> bool:
    """Return whether an engine would start a call at once."""
    return count_free_slots(candidate, profile) > 0


def count_free_slots(candidate: Candidate, profile: EngineProfile) -> int:
    """Count the calls that an engine would start at once."""
    slots = candidate.endpoint.declaration.slots or profile.slots
    return slots - candidate.work.calls


def measure_free_memory(candidate: Candidate, profile: EngineProfile) -> int:
    """Measure the tokens of memory that no work in flight needs.

    An engine that runs out of memory preempts its newest stream, even one that
    is decoding, and has to prefill its prompt again.
    """
    return profile.memory_tokens - candidate.work.context_tokens


def choose_lowest_score(
    candidates: list[Candidate],
    score_candidate: Callable[[Candidate], float],
    generator: random.Random,
) -> tuple[Candidate, float]:
    """Choose the lowest score, at random among those about equal to it."""
    scored = [
        (score_candidate(candidate), candidate) for candidate in candidates
    ]
    lowest = min(score for score, _ in scored)
    near_lowest = [
        item for item in scored if item[0] <= lowest + _EQUAL_SECONDS
    ]
    score, candidate = generator.choice(near_lowest)
    return candidate, score
