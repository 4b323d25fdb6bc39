"""Split of one prompt over several engines: their choice and their memory.

The fewest engines that can prefill the prompt without disrupting streams are
preferred.  Where there are none, the engines with the fewest streams are used.
"""

import heapq
import random
from typing import Self

import attrs

from ....state.engines import EngineProfile
from .placement import (
    CallRequirements,
    Candidate,
    MemoryShare,
    NoPlacementError,
    Placement,
)
from .predictions import (
    FAILURE_SECONDS,
    choose_lowest_score,
    measure_free_memory,
    measure_prefill_allowance,
    predict_first_token,
)

__all__ = [
    'choose_least_disruptive',
    'choose_non_disruptive',
    'claim_memory',
    'place_parts',
    'require_memory',
]

#: Parts of one prompt at most: an engine accepts 16 helpers.
MAX_PARTS = 17
#: Share of the rest of its objective for which a prompt may be prefilled where
#: it disrupts streams in any case: nearly all, as less time takes more engines,
#: and each one stalls the streams that it decodes.
FORCED_SHARE = 0.85
#: Prompt tokens that justify one stream with too long a stall.
TOKENS_PER_STREAM = 12_000
#: Gap-sensitive streams that count as much as one gap-tolerant one.
STREAMS_PER_GAP_TOLERANT_ONE = 4
#: Tokens of memory that a reservation leaves free at an engine for the short
#: prompts that come meanwhile.
SPARE_TOKENS = 30_000


def choose_non_disruptive(
    helpers: list[Candidate],
    requirements: CallRequirements,
    share: float,
    profile: EngineProfile,
) -> list[Candidate]:
    """Choose the fewest engines that prefill without disruption, or none."""
    prefill_seconds = profile.predict_prefill(requirements.prompt_tokens)
    ranked = sorted(
        (
            (
                measure_prefill_allowance(
                    candidate, requirements, share, profile
                ),
                candidate,
            )
            for candidate in helpers
        ),
        key=_rank_allowance,
    )
    for count in range(1, min(MAX_PARTS, len(ranked)) + 1):
        smallest, _ = ranked[count - 1]
        if smallest >= prefill_seconds / count:
            return [candidate for _, candidate in ranked[:count]]
    return []


def _rank_allowance(item: tuple[float, Candidate]) -> float:
    """Rank the largest allowance first, with a penalty for failures."""
    allowance, candidate = item
    return candidate.failing * FAILURE_SECONDS - allowance


def choose_least_disruptive(
    helpers: list[Candidate],
    requirements: CallRequirements,
    profile: EngineProfile,
) -> list[Candidate]:
    """Choose the engines that meet the objective with the least disruption.

    Their streams stall in any case.  The list is empty where no engines would
    meet the objective, or where more streams would stall too long than the
    prompt justifies.
    """
    prefill_seconds = profile.predict_prefill(requirements.prompt_tokens)
    longest = requirements.left * FORCED_SHARE
    disruptions = [
        _Disruption.from_candidate(candidate, profile) for candidate in helpers
    ]
    max_disrupted = requirements.prompt_tokens / TOKENS_PER_STREAM
    best: list[Candidate] = []
    for count in range(1, min(MAX_PARTS, len(helpers)) + 1):
        part = prefill_seconds / count
        chosen = heapq.nsmallest(
            count,
            _rank_in_time(disruptions, part, longest, profile),
        )
        if len(chosen) < count:
            continue
        disrupted = sum(streams for (streams, _), _ in chosen)
        if disrupted <= max_disrupted:
            max_disrupted = disrupted - 1
            best = [helpers[index] for _, index in chosen]
    return best


def _rank_in_time(
    disruptions: list['_Disruption'],
    part: float,
    longest: float,
    profile: EngineProfile,
) -> list[tuple[tuple[int, float], int]]:
    """Rank the engines that prefill a part in time, each with its index."""
    return [
        (disruption.rank(part, profile), index)
        for index, disruption in enumerate(disruptions)
        if disruption.predict(part) <= longest
    ]


@attrs.frozen
class _Disruption:
    """Effect of a prompt part on the streams of an engine.

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
        """Predict the first token once, for parts of any length."""
        return cls(candidate, predict_first_token(candidate, 0, profile))

    def predict(self, part: float) -> float:
        """Predict the seconds to the first token after a part."""
        return self.first_token + part * self.candidate.slowdown

    def count_streams(self, part: float, profile: EngineProfile) -> int:
        """Count the streams that stall too long, weighted by their kind."""
        work = self.candidate.work
        if part * self.candidate.slowdown < profile.stall_limits.gap_tolerant:
            return work.gap_sensitive_calls
        return (
            work.gap_sensitive_calls
            + work.patient_calls * STREAMS_PER_GAP_TOLERANT_ONE
        )

    def rank(self, part: float, profile: EngineProfile) -> tuple[int, float]:
        """Rank by the least disruption, then by the earliest first token."""
        return self.count_streams(part, profile), self.predict(part)


def place_parts(
    chosen: list[Candidate],
    able: list[Candidate],
    helpers: list[Candidate],
    requirements: CallRequirements,
    profile: EngineProfile,
    generator: random.Random,
) -> Placement:
    """Let one of the chosen answer, if any of them may, and the others help."""
    both = [candidate for candidate in chosen if candidate in able]

    def score_candidate(candidate: Candidate) -> float:  # noqa: WPS430  closure
        return predict_first_token(candidate, 0, profile)

    primary, _ = choose_lowest_score(both or able, score_candidate, generator)
    others = [candidate for candidate in chosen if candidate is not primary]
    if not both:
        others = others[: len(chosen) - 1]
    shares = _distribute_memory(primary, others, helpers, requirements, profile)
    # An engine that reserves memory prefills a part as well.
    holders = [share for share, _ in shares if share not in others]
    others.extend(holders)
    part = profile.predict_prefill(requirements.prompt_tokens) / (
        len(others) + 1
    )
    return Placement(
        primary.endpoint,
        tuple(candidate.endpoint for candidate in others),
        tuple(
            MemoryShare(candidate.endpoint, tokens)
            for candidate, tokens in shares
        ),
        part_seconds=part,
        predicted=max(
            predict_first_token(candidate, part, profile)
            for candidate in (primary, *others)
        ),
        considered=len(able),
    )


def _distribute_memory(
    primary: Candidate,
    others: list[Candidate],
    helpers: list[Candidate],
    requirements: CallRequirements,
    profile: EngineProfile,
) -> list[tuple[Candidate, int]]:
    """Distribute the memory that the answering engine lacks.

    Helpers chosen for the prefill come first, in the order of their free
    memory; fewer reservations are fewer that may fail.

    Raises
    ------
    NoPlacementError
        When the engines have too little free memory at present.
    """
    missing = requirements.memory_tokens - measure_free_memory(primary, profile)
    if missing <= 0:
        return []
    # The answering engine keeps its spare tokens as well.
    missing += SPARE_TOKENS
    ranked = sorted(
        (candidate for candidate in helpers if candidate is not primary),
        key=lambda candidate: (
            candidate not in others,
            -measure_free_memory(candidate, profile),
        ),
    )
    shares: list[tuple[Candidate, int]] = []
    for candidate in ranked[: MAX_PARTS - 1]:
        free = measure_free_memory(candidate, profile) - SPARE_TOKENS
        if free > SPARE_TOKENS:
            shares.append((candidate, min(free, missing)))
            missing -= free
        if missing <= 0:
            return shares
    raise NoPlacementError(
        'too little free memory', worth_waiting=requirements.may_wait
    )


def claim_memory(
    placement: Placement,
    requirements: CallRequirements,
    profile: EngineProfile,
) -> Placement:
    """Let a prompt of which no engine can hold two claim its memory there."""
    held = requirements.prompt_tokens - sum(
        share.tokens for share in placement.shares
    )
    if held < profile.memory_tokens / 2:
        return placement
    return attrs.evolve(placement, claim=MemoryShare(placement.primary, held))


def require_memory(
    candidates: list[Candidate],
    requirements: CallRequirements,
    profile: EngineProfile,
) -> None:
    """Check that the engines together could hold a prompt and its answer.

    Raises
    ------
    NoPlacementError
        When they could not even with all their memory free.
    """
    engines = min(MAX_PARTS, len(candidates))
    total = engines * (profile.memory_tokens - SPARE_TOKENS)
    if requirements.memory_tokens > max(total, profile.memory_tokens):
        raise NoPlacementError(
            'larger than the memory of the engines', worth_waiting=False
        )
