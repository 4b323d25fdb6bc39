"""Packing of prompts that one engine prefills with the streams of others."""

import random
from collections.abc import Callable

from ....state.engines import EngineProfile
from .placement import CallRequirements, Candidate, Placement
from .predictions import (
    choose_lowest_score,
    count_free_slots,
    predict_first_token,
)

__all__ = ['place_unsplit']

#: Share of its objective within which the first token of a prompt must be
#: predicted for it to be packed with other streams.  The rest covers the way to
#: the caller and prompts that other instances send meanwhile.
PACK_SHARE = 0.55
#: Slots of an engine that packing leaves free for calls that other instances
#: send at the same moment.
PACK_SPARE_SLOTS = 1


def place_unsplit(
    able: list[Candidate],
    requirements: CallRequirements,
    prefill_seconds: float,
    profile: EngineProfile,
    generator: random.Random,
) -> Placement:
    """Place a prompt that any of the able engines prefills alone."""

    def score_candidate(candidate: Candidate) -> float:  # noqa: WPS430  closure
        return predict_first_token(candidate, prefill_seconds, profile)

    packed = _choose_packed(able, requirements, score_candidate, profile)
    best, predicted = choose_lowest_score(
        packed or able, score_candidate, generator
    )
    return Placement(
        best.endpoint,
        part_seconds=prefill_seconds,
        predicted=predicted,
        considered=len(able),
    )


def _choose_packed(
    able: list[Candidate],
    requirements: CallRequirements,
    score_candidate: Callable[[Candidate], float],
    profile: EngineProfile,
) -> list[Candidate]:
    """Choose the fullest of the decoding engines that meet the objective.

    The nearest ones are preferred, as a stream across zones breaks when the
    network between them is partitioned.  Prompts are not gathered at engines
    that warm up.
    """
    decoding = [
        candidate
        for candidate in able
        if candidate.work.calls
        and not candidate.warming_up
        and count_free_slots(candidate, profile) > PACK_SPARE_SLOTS
        and score_candidate(candidate)
        <= requirements.objective * PACK_SHARE - requirements.waited
    ]
    if not decoding:
        return []
    nearest = min(candidate.delay for candidate in decoding)
    near = [candidate for candidate in decoding if candidate.delay == nearest]
    # An engine whose streams all tolerate long gaps can prefill prompt parts
    # beside them; a gap-sensitive stream would end that.
    near = [
        candidate for candidate in near if candidate.work.gap_sensitive_calls
    ] or (near)
    most_calls = max(candidate.work.calls for candidate in near)
    return [
        candidate for candidate in near if candidate.work.calls == most_calls
    ]
