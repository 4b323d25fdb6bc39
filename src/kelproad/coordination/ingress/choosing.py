"""Which endpoints a call may go to at present, and the choice among them."""

import logging
import random

import attrs

from ...state.calls import Call
from ...state.endpoints import Endpoint, EndpointTable
from ...state.observations import EngineObservations
from ...state.work import WorkLedger
from ...transport.deadlines import monotonic
from .holder import ConfigurationHolder
from .placement import Candidate, Need, Placement, Unplaced
from .placing import choose_engines, choose_plain
from .progress import Progress
from .reach import ZoneReach
from .spillover import ZoneSpillover

__all__ = ['Chooser']

_logger = logging.getLogger(__name__)
#: Endpoints that are weighed for one call at the most, drawn at random where
#: there are more: a choice must not take longer the more engines there are.
_MOST_CANDIDATES = 96
#: Share of its objective that a call to a plain service is assumed to take.
_PLAIN_SHARE = 0.2


class Chooser:
    """Chooses endpoints by all that this instance knows."""

    def __init__(
        self,
        zone: str,
        holder: ConfigurationHolder,
        table: EndpointTable,
        ledger: WorkLedger,
        reach: ZoneReach,
        observations: EngineObservations,
        spillover: ZoneSpillover,
        generator: random.Random,
    ) -> None:
        """Choose for an instance that stands in a zone."""
        self._zone = zone
        self._holder = holder
        self._table = table
        self._ledger = ledger
        self._reach = reach
        self._observations = observations
        self._spillover = spillover
        self._generator = generator

    async def choose(self, call: Call, progress: Progress) -> Placement:
        """Choose endpoints for a call, in its own zone if that can take it.

        Raises
        ------
        Unplaced
            When none can take it now.
        """
        endpoints = self._table.in_group(call.service)
        # Plain endpoints are few, and each instance sends there: what it knows
        # by itself, and by its zone, is enough.
        if self._spillover.is_needed and self._is_engine_call(call):
            placement = self._choose_near(call, progress)
            if placement is not None:
                return placement
            await self._spillover.refresh()
            endpoints = self._leave_out_unknown(endpoints)
        return self.choose_among(endpoints, call, progress, monotonic())

    def choose_among(
        self,
        endpoints: list[Endpoint],
        call: Call,
        progress: Progress,
        now: float,
        sound_only: bool = False,
    ) -> Placement:
        """Choose for a call among some endpoints.

        Parameters
        ----------
        endpoints
            Those that may be weighed.
        call
            The call.
        progress
            What became of it so far: where it may not go again.
        now
            Monotonic time, in seconds.
        sound_only
            Whether to leave failing endpoints also where no other is left.

        Raises
        ------
        Unplaced
            When none can take it now.
        """
        sound, usable = self._part_sound(endpoints, call, progress, now)
        left = sound if sound_only else sound or usable
        most = call.route.most_endpoints
        candidates = [
            self._describe(
                endpoint,
                progress.may_answer(endpoint.name, most),
                now,
            )
            for endpoint in self._draw(left)
        ]
        profile = self._holder.current.find_profile(call.service)
        if profile is None:
            work_seconds = call.route.objective * _PLAIN_SHARE
            return choose_plain(candidates, self._generator, work_seconds)
        need = Need(
            prompt_tokens=call.head.prompt_tokens,
            memory_tokens=call.head.prompt_tokens + call.head.answer_tokens,
            objective=call.route.objective,
            waited=now - call.arrived,
            patience=call.route.patience,
        )
        placement = choose_engines(candidates, need, profile, self._generator)
        patient = profile.pauses.is_patient(call.route.gap_objective)
        return attrs.evolve(placement, patient=patient)

    def _choose_near(self, call: Call, progress: Progress) -> Placement | None:
        """Choose among the engines of the own zone, if one can take a call."""
        near = self._table.in_zone(call.service, self._zone)
        try:
            return self.choose_among(
                near,
                call,
                progress,
                monotonic(),
                sound_only=True,
            )
        except Unplaced as unplaced:
            _logger.debug('not placed in the own zone: %s', unplaced.reason)
            return None

    def _leave_out_unknown(self, endpoints: list[Endpoint]) -> list[Endpoint]:
        """Leave out engines of zones that did not say what they are at."""
        now = monotonic()
        zones = {endpoint.declaration.zone for endpoint in endpoints}
        known = {zone for zone in zones if self._spillover.knows(zone, now)}
        return [
            endpoint
            for endpoint in endpoints
            if endpoint.declaration.zone in known
        ]

    def _is_engine_call(self, call: Call) -> bool:
        return self._holder.current.find_profile(call.service) is not None

    def _part_sound(
        self,
        endpoints: list[Endpoint],
        call: Call,
        progress: Progress,
        now: float,
    ) -> tuple[list[Endpoint], list[Endpoint]]:
        """List the sound endpoints, and all that may be used."""
        usable = [
            endpoint
            for endpoint in endpoints
            if _may_be_used(endpoint, now)
            and endpoint.name not in progress.tried
        ]
        avoided = self._list_doubtful_zones(usable, call, now)
        sound = [
            endpoint
            for endpoint in usable
            if endpoint.declaration.zone not in avoided
            and not self._observations.is_silent(endpoint.name, now)
            and _is_sound(endpoint, call.kind.repeatable, now)
        ]
        return sound, usable

    def _draw(self, endpoints: list[Endpoint]) -> list[Endpoint]:
        """Draw some of many endpoints, those of the own zone first."""
        if len(endpoints) <= _MOST_CANDIDATES:
            return endpoints
        self._generator.shuffle(endpoints)
        endpoints.sort(
            key=lambda endpoint: endpoint.declaration.zone != self._zone,
        )
        return endpoints[:_MOST_CANDIDATES]

    def _list_doubtful_zones(
        self,
        usable: list[Endpoint],
        call: Call,
        now: float,
    ) -> set[str]:
        """List zones that are probably out of reach, but for a probe."""
        zones = {endpoint.declaration.zone for endpoint in usable}
        doubtful = {
            zone for zone in zones if self._reach.is_doubtful(zone, now)
        }
        if not call.kind.repeatable:
            return doubtful
        return {
            zone for zone in doubtful if not self._reach.take_probe(zone, now)
        }

    def _describe(
        self,
        endpoint: Endpoint,
        may_answer: bool,
        now: float,
    ) -> Candidate:
        configuration = self._holder.current
        zone = endpoint.declaration.zone
        # A prompt fails with any of its parts, so a zone in doubt is probed by
        # whole prompts only.
        may_help = not (
            self._reach.is_doubtful(zone, now)
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
        )


def _may_be_used(endpoint: Endpoint, now: float) -> bool:
    """Tell whether an endpoint may get calls at all, sound or not."""
    return not endpoint.leaving and endpoint.disowned_until <= now


def _is_sound(endpoint: Endpoint, repeatable: bool, now: float) -> bool:
    """Tell whether an endpoint may be used, or probed with this call."""
    if endpoint.ejected_until > now:
        return False
    if not endpoint.on_probation:
        return True
    # One call at a time probes an endpoint that was taken out, and none that
    # may run once only.
    return repeatable and not endpoint.own_requests
