"""Placement of calls, decided from the known state of the endpoints alone.

An engine works in passes, iterations of its batch: each one prefills the
prompts that wait and decodes a few tokens of every stream.

Short prompts are packed: they go to engines that are decoding already, as long
as the first token is predicted in time there.  One more stream lengthens a pass
by one millisecond, and every engine left without streams can prefill long
prompts without stalling any.

A long prompt is split over several engines: prefilling it at one would stretch
every pass of that engine to hundreds of milliseconds, and stall its streams
for as long.

How much an engine may prefill without disrupting streams depends on its work.
Beside streams, a prompt part must keep the pass shorter than the longest gap
that they tolerate, which is longer for streams of long prompts; an engine
without streams may prefill for a share of the prompt's own objective.  The
fewest engines that can prefill the prompt together on these terms are chosen.
If there are none, the prompt waits for as long as its objective permits, and
then goes to the engines with the fewest streams.
"""

import random

from ....state.engines import EngineProfile
from .packing import place_unsplit
from .parts import (
    MAX_PARTS,
    choose_least_disruptive,
    choose_non_disruptive,
    place_parts,
    require_memory,
)
from .placement import CallRequirements, Candidate, NoPlacementError, Placement
from .predictions import (
    FAILURE_SECONDS,
    choose_lowest_score,
    has_slot,
    measure_free_memory,
    measure_prefill_allowance,
)

__all__ = ['choose_engines', 'choose_plain']

#: Shares of the rest of a prompt's objective for which an engine without
#: streams may prefill it, or a part of it.  They are tried in order: a small
#: one keeps the engine free for other prompts, the last one leaves little time
#: for delays that were not predicted.
PREFILL_SHARES = (0.3, 0.6, 0.85)
#: Ratio of the parts that a very large prompt may have when it is late to those
#: that it would have at as many engines as possible.
LATE_PART_RATIO = 2.0


def choose_plain(
    candidates: list[Candidate],
    generator: random.Random,
    work_seconds: float,
) -> Placement:
    """Choose an endpoint of a plain service by distance, load and failures.

    Parameters
    ----------
    candidates
        Endpoints that may be used.
    generator
        Source of randomness, to choose among about equal scores.
    work_seconds
        Seconds that one call takes, to score queues against distance.

    Raises
    ------
    NoPlacementError
        When no candidate may answer.
    """

    def score_candidate(candidate: Candidate) -> float:  # noqa: WPS430  closure
        slots = candidate.endpoint.declaration.slots or 1
        queued = max(0, candidate.work.calls + 1 - slots) / slots
        return (
            candidate.start_wait
            + 2 * candidate.delay
            + (queued + candidate.work.calls / slots / 2) * work_seconds
            + candidate.failing * FAILURE_SECONDS
        )

    able = [candidate for candidate in candidates if candidate.may_answer]
    if not able:
        raise NoPlacementError('no endpoint', worth_waiting=False)
    best, score = choose_lowest_score(able, score_candidate, generator)
    return Placement(
        best.endpoint,
        predicted=score + work_seconds,
        considered=len(candidates),
    )


def choose_engines(
    candidates: list[Candidate],
    requirements: CallRequirements,
    profile: EngineProfile,
    generator: random.Random,
) -> Placement:
    """Choose the engine that answers, and helper engines for the prefill.

    Parameters
    ----------
    candidates
        Engines that may be used.
    requirements
        Tokens and time limits of the call.
    profile
        Published speeds of the engines.
    generator
        Source of randomness, to choose among about equal scores.

    Raises
    ------
    NoPlacementError
        When no engine has room, or when those that have are too busy for the
        prefill and the call has time to wait.
    """
    with_slot = [
        candidate
        for candidate in candidates
        if candidate.may_answer and has_slot(candidate, profile)
    ]
    if not with_slot:
        raise NoPlacementError(
            'no engine has a slot', worth_waiting=requirements.may_wait
        )
    require_memory(candidates, requirements, profile)
    with_room = [
        candidate
        for candidate in with_slot
        if requirements.memory_tokens <= measure_free_memory(candidate, profile)
    ]
    prefill_seconds = profile.predict_prefill(requirements.prompt_tokens)
    non_disruptive = [
        candidate
        for candidate in with_room
        if measure_prefill_allowance(
            candidate, requirements, PREFILL_SHARES[0], profile
        )
        >= prefill_seconds
    ]
    if non_disruptive:
        return place_unsplit(
            non_disruptive, requirements, prefill_seconds, profile, generator
        )
    helpers = [
        candidate
        for candidate in candidates
        if candidate.may_help and candidate.work.helping < profile.slots
    ]
    # Each part takes a start from the limit of an engine that has one.
    unlimited = [candidate for candidate in helpers if not candidate.limited]
    able = with_room or with_slot
    try:
        return _place_split(able, unlimited, requirements, profile, generator)
    except NoPlacementError:
        if len(unlimited) == len(helpers):
            raise
    return _place_split(able, helpers, requirements, profile, generator)


def _place_split(
    able: list[Candidate],
    helpers: list[Candidate],
    requirements: CallRequirements,
    profile: EngineProfile,
    generator: random.Random,
) -> Placement:
    """Place a prompt that several of the helpers prefill.

    Raises
    ------
    NoPlacementError
        When it is to wait, or can't be served in time.
    """
    chosen = _choose_by_shares(
        helpers, requirements, profile
    ) or _choose_disruptive(helpers, requirements, profile)
    return place_parts(
        chosen,
        able,
        helpers,
        requirements,
        profile,
        generator,
    )


def _choose_by_shares(
    helpers: list[Candidate],
    requirements: CallRequirements,
    profile: EngineProfile,
) -> list[Candidate]:
    """Choose engines that prefill without disruption, or none.

    The share of the objective that they may take is as small as possible.
    """
    for share in PREFILL_SHARES:
        chosen = choose_non_disruptive(helpers, requirements, share, profile)
        if chosen:
            return chosen
    return []


def _choose_late(
    helpers: list[Candidate],
    requirements: CallRequirements,
    profile: EngineProfile,
) -> list[Candidate]:
    """Choose engines for a prompt that misses its objective.

    Parts that are as long as its caller endures would block the few engines
    that are free, and all other calls there, for seconds.  So they are as short
    as if it had just arrived.  A very large prompt may have longer ones, up to
    ``LATE_PART_RATIO`` times those that as many engines as possible would get.
    """
    parts = min(MAX_PARTS, max(1, len(helpers)))
    shortest = profile.predict_prefill(requirements.prompt_tokens) / parts
    objective = max(
        requirements.objective, LATE_PART_RATIO * shortest / PREFILL_SHARES[-1]
    )
    return _choose_by_shares(
        helpers, requirements.begin_anew(objective), profile
    )


def _choose_disruptive(
    helpers: list[Candidate],
    requirements: CallRequirements,
    profile: EngineProfile,
) -> list[Candidate]:
    """Choose engines for a prompt that would disrupt streams now.

    It waits at first, and then disrupts streams if it can still meet its
    objective.  A prompt that misses the objective in any case waits longer, for
    engines without streams.

    Raises
    ------
    NoPlacementError
        When it is to wait, or its first token would come after its caller has
        disconnected.
    """
    if requirements.may_wait:
        raise NoPlacementError(
            'engines are too busy for the prefill', worth_waiting=True
        )
    chosen = choose_least_disruptive(
        helpers, requirements, profile
    ) or _choose_late(helpers, requirements, profile)
    if chosen:
        return chosen
    if requirements.may_wait_past_objective:
        raise NoPlacementError(
            'engines are too busy for the prefill', worth_waiting=True
        )
    late = requirements.with_silence_timeout()
    chosen = choose_non_disruptive(
        helpers, late, PREFILL_SHARES[-1], profile
    ) or choose_least_disruptive(helpers, late, profile)
    if chosen:
        return chosen
    raise NoPlacementError(
        'the first token would come after the caller times out',
        worth_waiting=False,
    )
