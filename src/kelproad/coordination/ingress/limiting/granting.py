"""Granting of starts at limited endpoints, to this instance and to others."""

import attrs
import msgspec

from ....state.endpointtable import EndpointTable
from ....state.startschedules import (
    StartGrant,
    StartLimit,
    StartSchedule,
    choose_limit,
)
from ....transport.deadlines import monotonic
from ..membership.messages import StartQuery, StartReply
from ..membership.queries import PeerQueries
from ..membership.updates import pack_limits, unpack_limits
from .coordinators import Coordinator, CoordinatorSelector
from .observing import LimitObserver

__all__ = ['StartGranter']


@attrs.define
class StartGranter:
    """Grants starts at the endpoints that this instance coordinates."""

    _observer: LimitObserver
    _selector: CoordinatorSelector
    _table: EndpointTable
    _schedules: dict[str, StartSchedule] = attrs.field(factory=dict)

    def grant(
        self,
        endpoint: str,
        limit: StartLimit,
        share: float,
        longest_wait: float,
    ) -> StartGrant:
        """Grant a start by the schedule of an endpoint."""
        now = monotonic()
        spacing = limit.spacing / share
        schedule = self._schedules.get(endpoint)
        if schedule is None:
            schedule = StartSchedule(spacing, now)
            self._schedules[endpoint] = schedule
        return schedule.reserve(spacing, longest_wait, now, limit.burst_seconds)

    def answer(
        self,
        query: StartQuery,
        queries: PeerQueries,
    ) -> StartReply | None:
        """Answer a query, or relay it to the instance that coordinates.

        An instance of another zone may know only one instance of this zone.
        """
        name = query.limit.endpoint
        self._observer.accept_all(
            unpack_limits([query.limit], query.host, monotonic())
        )
        zone = self._table.find_zone(name)
        coordinator = self._selector.select(name, zone, monotonic())
        if coordinator.host and not query.relayed:
            relayed = msgspec.structs.replace(query, relayed=True)
            queries.relay(relayed, coordinator.host)
            return None
        return self._reply(query, coordinator)

    def forget_others(self, known: frozenset[str]) -> None:
        """Forget the schedules of all but the known endpoints."""
        for endpoint in self._schedules.keys() - known:
            self._schedules.pop(endpoint)

    def measure_use(self) -> dict[str, float]:
        """Return the starts per second that were granted, by endpoint."""
        now = monotonic()
        return {
            name: schedule.measure_use(now)
            for name, schedule in self._schedules.items()
        }

    def _reply(self, query: StartQuery, coordinator: Coordinator) -> StartReply:
        """Grant or deny a start by what is known of the limit here."""
        name = query.limit.endpoint
        known = self._observer.limits.get(name)
        reported = query.limit
        if known is not None:
            reported = pack_limits({name: known}, monotonic())[0]
        limit = choose_limit(reported.rate, query.warm_up)
        if limit is None:
            return StartReply(query.token, True, 0, 0, reported)
        share = coordinator.find_share(limit)
        grant = self.grant(name, limit, share, query.longest_wait)
        return StartReply(
            query.token, grant.granted, grant.wait, grant.next_wait, reported
        )
