"""Selection of endpoints for a call, from all that this instance knows."""

import logging
import random

import attrs

from ....state.calls import Call
from ....state.endpoints import Endpoint
from ....state.endpointtable import EndpointTable
from ....state.engines import EngineProfile
from ....state.observations import EngineObservations
from ....state.work import WorkLedger
from ....transport.deadlines import monotonic
from ..limiting.gate import StartGate
from ..membership.reachability import ZoneReachability
from ..membership.spillover import ZoneSpillover
from ..streams.progress import Progress
from ..tables.holder import ConfigurationHolder
from .eligibility import (
    are_withdrawn,
    exclude_limited,
    is_eligible,
    is_last_resort,
    is_withdrawn,
    refuse_for_limits,
    refuse_for_memory,
    refuse_withdrawn,
)
from .filtering import EndpointFilter, Tier, iterate_tiers
from .parts import claim_memory
from .placement import CallRequirements, Candidate, NoPlacementError, Placement
from .selection import choose_engines, choose_plain

__all__ = ['Chooser']

_logger = logging.getLogger(__name__)
#: Endpoints that are scored for one call at most, a random sample where there
#: are more: the time of a choice must not grow with the number of engines.
_MAX_CANDIDATES = 96
#: Share of its objective that the work of a call to a plain service is assumed
#: to take.
_PLAIN_WORK_SHARE = 0.2
#: Bounds of the seconds after which a refused call comes back where nothing
#: better is known: about as long as an engine takes for a few short streams.
_RETURNS = (0.25, 0.75)


class Chooser:
    """Selector of the endpoints that calls are sent to."""

    def __init__(
        self,
        zone: str,
        holder: ConfigurationHolder,
        table: EndpointTable,
        ledger: WorkLedger,
        reach: ZoneReachability,
        observations: EngineObservations,
        spillover: ZoneSpillover,
        gate: StartGate,
        endpoint_filter: EndpointFilter,
        generator: random.Random,
    ) -> None:
        """Select endpoints for an instance that runs in ``zone``."""
        self._zone = zone
        self._holder = holder
        self._table = table
        self._ledger = ledger
        self._reachability = reach
        self._observations = observations
        self._spillover = spillover
        self._gate = gate
        self._filter = endpoint_filter
        self._generator = generator

    async def choose(self, call: Call, progress: Progress) -> Placement:
        """Choose endpoints for a call, in the local zone where possible.

        Raises
        ------
        NoPlacementError
            When no endpoint can accept the call now.
        """
        endpoints = self._table.in_group(call.service)
        # Plain endpoints are few, and every instance sends calls to them: what
        # this instance and its zone know of their load is enough.
        if self._spillover.is_needed and self._is_engine_call(call):
            placement = self._choose_local(call, progress)
            if placement is not None:
                return placement
            await self._spillover.refresh()
            endpoints = self._exclude_unknown_zones(endpoints)
        return self.choose_among(endpoints, call, progress, monotonic())

    def choose_among(
        self,
        endpoints: list[Endpoint],
        call: Call,
        progress: Progress,
        now: float,
        healthy_only: bool = False,
    ) -> Placement:
        """Choose for a call among the given endpoints.

        Parameters
        ----------
        endpoints
            The endpoints to score.
        call
            The call.
        progress
            Its attempts so far, which exclude endpoints.
        now
            Monotonic time, in seconds.
        healthy_only
            Whether to exclude unhealthy endpoints even if no other remains.

        Raises
        ------
        NoPlacementError
            When no endpoint can accept the call now.
        """
        endpoints = self._filter.select_permitted(endpoints, call)
        refusal: NoPlacementError | None = None
        tiers = iterate_tiers(
            self._filter, endpoints, call, progress, now, healthy_only
        )
        for tier in tiers:
            try:
                placement = self._choose_in(tier, call, progress, now)
            except NoPlacementError as error:
                if error.worth_waiting:
                    raise
                refusal = refusal or error
            else:
                return attrs.evolve(placement, uses_leaving=tier.uses_leaving)
        raise self._explain(refusal, endpoints, call, progress, now)

    def find_unusable(self, placement: Placement) -> Endpoint | None:
        """Find a chosen endpoint that may not get a call any more."""
        now = monotonic()
        for endpoint in placement.endpoints:
            may_get_calls = is_eligible(endpoint, now) or (
                placement.uses_leaving and is_last_resort(endpoint, now)
            )
            if self._table.get(endpoint.name) is not endpoint:
                return endpoint
            if not may_get_calls:
                return endpoint
        return None

    def choose_return(self, call: Call) -> float:
        """Choose the seconds after which a refused call is to come back."""
        now = monotonic()
        endpoints = self._table.in_group(call.service)
        if not are_withdrawn(endpoints, now):
            return self._generator.uniform(*_RETURNS)
        return refuse_withdrawn(
            endpoints, None, call, now, self._generator
        ).retry_after

    def is_usable(self, placement: Placement) -> bool:
        """Return whether the chosen endpoints may still get a call."""
        return self.find_unusable(placement) is None

    def _choose_in(
        self, tier: Tier, call: Call, progress: Progress, now: float
    ) -> Placement:
        """Choose for a call among the endpoints of a tier.

        Raises
        ------
        NoPlacementError
            When none of them can accept the call now.
        """
        max_endpoints = call.route.max_endpoints
        candidates = [
            self._describe(
                endpoint,
                endpoint.name in tier.answering
                and progress.may_answer(endpoint.name, max_endpoints),
                now,
            )
            for endpoint in self._sample(tier.endpoints)
        ]
        permitted = exclude_limited(candidates, call, now, self._generator)
        try:
            return self._score(permitted, call, now)
        except NoPlacementError as error:
            if error.worth_waiting or len(permitted) == len(candidates):
                raise
        # With those that were excluded it could be placed.
        delayed = [
            candidate for candidate in candidates if candidate.start_wait
        ]
        raise refuse_for_limits(delayed, call, now, self._generator)

    def _explain(
        self,
        refusal: NoPlacementError | None,
        endpoints: list[Endpoint],
        call: Call,
        progress: Progress,
        now: float,
    ) -> NoPlacementError:
        """Return why no tier served a call, and when it is worth returning."""
        if progress.lacks_memory:
            return refuse_for_memory(call, now)
        withdrawn = [
            endpoint
            for endpoint in endpoints
            if is_withdrawn(endpoint, now)
            and endpoint.name not in progress.tried
        ]
        pausing = any(
            endpoint.withdrawal.is_paused(now)
            and not (endpoint.leaving or endpoint.evacuated)
            for endpoint in withdrawn
        )
        if refusal is not None and not pausing:
            return refusal
        return refuse_withdrawn(withdrawn, refusal, call, now, self._generator)

    def _score(
        self,
        candidates: list[Candidate],
        call: Call,
        now: float,
    ) -> Placement:
        """Choose the best of the candidates."""
        profile = self._find_profile(call)
        if profile is None:
            work_seconds = call.route.objective * _PLAIN_WORK_SHARE
            return choose_plain(candidates, self._generator, work_seconds)
        requirements = CallRequirements(
            prompt_tokens=call.head.prompt_tokens,
            memory_tokens=call.head.prompt_tokens + call.head.answer_tokens,
            objective=call.route.objective,
            waited=now - call.arrived,
            silence_timeout=call.route.silence_timeout,
        )
        placement = claim_memory(
            choose_engines(candidates, requirements, profile, self._generator),
            requirements,
            profile,
        )
        gap_tolerant = profile.stall_limits.is_gap_tolerant(
            call.route.gap_objective
        )
        return attrs.evolve(placement, gap_tolerant=gap_tolerant)

    def _choose_local(self, call: Call, progress: Progress) -> Placement | None:
        """Choose among the healthy engines of the local zone, if one can."""
        local_endpoints = self._table.in_zone(call.service, self._zone)
        try:
            return self.choose_among(
                local_endpoints,
                call,
                progress,
                monotonic(),
                healthy_only=True,
            )
        except NoPlacementError as error:
            _logger.debug('not placed in the local zone: %s', error.reason)
            return None

    def _exclude_unknown_zones(
        self,
        endpoints: list[Endpoint],
    ) -> list[Endpoint]:
        """Exclude engines of zones that did not report their work."""
        now = monotonic()
        zones = {endpoint.declaration.zone for endpoint in endpoints}
        known = {
            zone
            for zone in zones
            if self._spillover.has_current_work(zone, now)
        }
        return [
            endpoint
            for endpoint in endpoints
            if endpoint.declaration.zone in known
        ]

    def _is_engine_call(self, call: Call) -> bool:
        return self._find_profile(call) is not None

    def _find_profile(self, call: Call) -> EngineProfile | None:
        """Find the profile of the engines, the one that a call began with."""
        return call.profile or self._holder.current.find_profile(call.service)

    def _sample(self, endpoints: list[Endpoint]) -> list[Endpoint]:
        """Sample from many endpoints, those of the local zone first."""
        if len(endpoints) <= _MAX_CANDIDATES:
            return endpoints
        self._generator.shuffle(endpoints)
        endpoints.sort(
            key=lambda endpoint: endpoint.declaration.zone != self._zone,
        )
        return endpoints[:_MAX_CANDIDATES]

    def _describe(
        self,
        endpoint: Endpoint,
        may_answer: bool,
        now: float,
    ) -> Candidate:
        configuration = self._holder.current
        zone = endpoint.declaration.zone
        # A prompt fails if any of its parts fails, so a suspect zone is probed
        # with undivided prompts only.
        start_wait = self._gate.predict_wait(endpoint, now)
        may_help = not (
            self._reachability.is_suspect(zone, now)
            or self._observations.refuses_help(endpoint.name, now)
        )
        return Candidate(
            endpoint,
            self._ledger.sum_at(endpoint.name, now),
            configuration.find_delay(self._zone, zone),
            endpoint.failures.estimate(now),
            may_answer,
            may_help,
            self._observations.find_slowdown(endpoint.name, now),
            start_wait is not None,
            start_wait or 0,
            start_wait is not None
            and self._table.warm_ups.includes(
                endpoint.name, endpoint.declaration.incarnation, now
            ),
        )
