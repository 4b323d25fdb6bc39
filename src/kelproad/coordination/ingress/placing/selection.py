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
from collections.abc import Callable

from ....state.engines import EngineProfile
from .parts import (
    choose_least_disruptive,
    choose_non_disruptive,
    place_parts,
    require_memory,
)
from .placement import CallRequirements, Candidate, NoPlacementError, Placement
from .predictions import (
    FAILURE_SECONDS,
    choose_lowest_score,
    count_free_slots,
    has_slot,
    measure_free_memory,
    measure_prefill_allowance,
    predict_first_token,
)

__all__ = ['choose_engines', 'choose_plain']

#: Shares of the rest of a prompt's objective for which an engine without
#: streams may prefill it, or a part of it.  They are tried in order: a small
#: one keeps the engine free for other prompts, the last one leaves little time
#: for delays that were not predicted.
PREFILL_SHARES = (0.3, 0.6, 0.85)
#: Share of its objective within which the first token of a prompt must be
#: predicted for it to be packed with other streams.  The rest covers the way to
#: the caller and prompts that other instances send meanwhile.
PACK_SHARE = 0.55
#: Slots of an engine that packing leaves free for calls that other instances
#: send at the same moment.
PACK_SPARE_SLOTS = 1


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
        return _place_unsplit(
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
    chosen: list[Candidate] = []
    for share in PREFILL_SHARES:
        chosen = chosen or choose_non_disruptive(
            helpers,
            requirements,
            share,
            profile,
        )
    if not chosen:
        chosen = _choose_disruptive(helpers, requirements, profile)
    return place_parts(
        chosen,
        able,
        helpers,
        requirements,
        profile,
        generator,
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
    late = requirements.with_silence_timeout()
    chosen = choose_least_disruptive(
        helpers, requirements, profile
    ) or choose_non_disruptive(
        helpers,
        late,
        PREFILL_SHARES[-1],
        profile,
    )
    if chosen:
        return chosen
    if requirements.may_wait_past_objective:
        raise NoPlacementError(
            'engines are too busy for the prefill', worth_waiting=True
        )
    chosen = choose_least_disruptive(helpers, late, profile)
    if chosen:
        return chosen
    raise NoPlacementError(
        'the first token would come after the caller times out',
        worth_waiting=False,
    )


def _place_unsplit(
    able: list[Candidate],
    requirements: CallRequirements,
    prefill_seconds: float,
    profile: EngineProfile,
    generator: random.Random,
) -> Placement:
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
    network between them is partitioned.
    """
    decoding = [
        candidate
        for candidate in able
        if candidate.work.calls
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
