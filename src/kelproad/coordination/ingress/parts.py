"""Reading one prompt at several engines: which ones, and whose memory.

The engines that read a prompt without harm are preferred, the fewest that do.
Where none do, those are taken that the fewest streams are on.
"""

import heapq
import random
from typing import Self

import attrs

from ...state.engines import EngineProfile
from .passes import (
    FAILURE_SECONDS,
    measure_allowance,
    measure_free,
    predict_first_token,
    take_best,
)
from .placement import Candidate, Need, Placement, Share, Unplaced

__all__ = ['choose_forced', 'choose_harmless', 'place_parts', 'require_memory']

#: Parts of one prompt: an engine takes 16 helpers.
MOST_PARTS = 17
#: Share of what is left of its objective in which a prompt is to be read where
#: it disturbs streams in any case: nearly all, as each engine more that reads
#: pauses as many streams as it writes.
FORCED_SHARE = 0.85
#: Prompt tokens that weigh as much as one stream that pauses too long.
TOKENS_PER_STREAM = 12_000
#: Tight streams that weigh as much as one of a long prompt.
STREAMS_PER_PATIENT_ONE = 4
#: Tokens of memory that a reservation leaves at an engine for the short
#: prompts that come meanwhile.
SPARE_TOKENS = 30_000


def choose_harmless(
    helpers: list[Candidate],
    need: Need,
    share: float,
    profile: EngineProfile,
) -> list[Candidate]:
    """Choose the fewest engines that read a prompt without harm, or none."""
    reading = profile.predict_prefill(need.prompt_tokens)
    ranked = sorted(
        (
            (
                measure_allowance(candidate, need, share, profile),
                candidate,
            )
            for candidate in helpers
        ),
        key=_rank_allowance,
    )
    for count in range(1, min(MOST_PARTS, len(ranked)) + 1):
        least, _ = ranked[count - 1]
        if least >= reading / count:
            return [candidate for _, candidate in ranked[:count]]
    return []


def _rank_allowance(item: tuple[float, Candidate]) -> float:
    """Rank the largest allowance first, failing engines behind."""
    allowance, candidate = item
    return candidate.failing * FAILURE_SECONDS - allowance


def choose_forced(
    helpers: list[Candidate],
    need: Need,
    profile: EngineProfile,
) -> list[Candidate]:
    """Choose the engines that read a prompt in time and do least harm.

    Their streams pause in any case.  There are none where no engines would be
    in time, or where more callers would be late than the prompt is worth.
    """
    reading = profile.predict_prefill(need.prompt_tokens)
    longest = need.left * FORCED_SHARE
    disturbances = [
        _Disturbance.from_candidate(candidate, profile) for candidate in helpers
    ]
    least = need.prompt_tokens / TOKENS_PER_STREAM
    best: list[Candidate] = []
    for count in range(1, min(MOST_PARTS, len(helpers)) + 1):
        part = reading / count
        chosen = heapq.nsmallest(
            count,
            _rank_in_time(disturbances, part, longest, profile),
        )
        if len(chosen) < count:
            continue
        disturbed = sum(streams for (streams, _), _ in chosen)
        if disturbed <= least:
            least = disturbed - 1
            best = [helpers[place] for _, place in chosen]
    return best


def _rank_in_time(
    disturbances: list['_Disturbance'],
    part: float,
    longest: float,
    profile: EngineProfile,
) -> list[tuple[tuple[int, float], int]]:
    """Rank the engines that read a part in time, each with its place."""
    return [
        (disturbance.rank(part, profile), place)
        for place, disturbance in enumerate(disturbances)
        if disturbance.predict(part) <= longest
    ]


@attrs.frozen
class _Disturbance:
    """What a part of a prompt would do to the streams of an engine.

    Attributes
    ----------
    first_token
        Predicted seconds to a first token there without the part.
    """

    candidate: Candidate
    first_token: float

    @classmethod
    def from_candidate(
        cls,
        candidate: Candidate,
        profile: EngineProfile,
    ) -> Self:
        """Predict an engine once, for parts of any length."""
        return cls(candidate, predict_first_token(candidate, 0, profile))

    def predict(self, part: float) -> float:
        """Predict the seconds to the first token behind a part."""
        return self.first_token + part * self.candidate.slowdown

    def count_streams(self, part: float, profile: EngineProfile) -> int:
        """Count the streams that pause too long, by their worth."""
        work = self.candidate.work
        if part * self.candidate.slowdown < profile.pauses.loose:
            return work.tight_calls
        return work.tight_calls + work.patient_calls * STREAMS_PER_PATIENT_ONE

    def rank(self, part: float, profile: EngineProfile) -> tuple[int, float]:
        """Rank the least harm first, then the earliest first token."""
        return self.count_streams(part, profile), self.predict(part)


def place_parts(
    chosen: list[Candidate],
    able: list[Candidate],
    helpers: list[Candidate],
    need: Need,
    profile: EngineProfile,
    generator: random.Random,
) -> Placement:
    """Let one of the chosen answer, if one is able, and the others help."""
    both = [candidate for candidate in chosen if candidate in able]

    def weigh(candidate: Candidate) -> float:  # noqa: WPS430  closure
        return predict_first_token(candidate, 0, profile)

    first, _ = take_best(both or able, weigh, generator)
    others = [candidate for candidate in chosen if candidate is not first]
    if not both:
        others = others[: len(chosen) - 1]
    shares = _share_memory(first, others, helpers, need, profile)
    # An engine that reserves memory reads a part as well.
    holders = [share for share, _ in shares if share not in others]
    others.extend(holders)
    part = profile.predict_prefill(need.prompt_tokens) / (len(others) + 1)
    return Placement(
        first.endpoint,
        tuple(candidate.endpoint for candidate in others),
        tuple(
            Share(candidate.endpoint, tokens) for candidate, tokens in shares
        ),
        part_seconds=part,
        predicted=max(
            predict_first_token(candidate, part, profile)
            for candidate in (first, *others)
        ),
        considered=len(able),
    )


def _share_memory(
    first: Candidate,
    others: list[Candidate],
    helpers: list[Candidate],
    need: Need,
    profile: EngineProfile,
) -> list[tuple[Candidate, int]]:
    """Share out what the first engine has no memory for.

    Helpers that read anyway come first, those with most free memory of all;
    fewer reservations are fewer that may fail.

    Raises
    ------
    Unplaced
        When the engines have too little free memory at present.
    """
    missing = need.memory_tokens - measure_free(first, profile)
    if missing <= 0:
        return []
    # The first one keeps its spare tokens as well.
    missing += SPARE_TOKENS
    ranked = sorted(
        (candidate for candidate in helpers if candidate is not first),
        key=lambda candidate: (
            candidate not in others,
            -measure_free(candidate, profile),
        ),
    )
    shares: list[tuple[Candidate, int]] = []
    for candidate in ranked[: MOST_PARTS - 1]:
        free = measure_free(candidate, profile) - SPARE_TOKENS
        if free > SPARE_TOKENS:
            shares.append((candidate, min(free, missing)))
            missing -= free
        if missing <= 0:
            return shares
    raise Unplaced('too little free memory', worth_waiting=need.may_wait)


def require_memory(
    candidates: list[Candidate],
    need: Need,
    profile: EngineProfile,
) -> None:
    """Refuse at once what all engines together could not hold.

    Raises
    ------
    Unplaced
        When waiting cannot help.
    """
    engines = min(MOST_PARTS, len(candidates))
    most = engines * (profile.memory_tokens - SPARE_TOKENS)
    if need.memory_tokens > max(most, profile.memory_tokens):
        raise Unplaced('larger than the engines hold', worth_waiting=False)
