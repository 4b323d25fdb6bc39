"""Gate before endpoints that limit their requests.

Every call to such an endpoint passes it: first attempts, retries, streams that
are resumed and parts of prompts.  The limit holds for all instances together,
so the endpoint's coordinator grants the starts.
"""

import asyncio
import functools
import logging
import math
import random
from collections.abc import Callable, Iterable

from ....state.endpoints import Endpoint
from ....state.records import record
from ....state.requestlimits import LimitNotice
from ....state.startschedules import (
    LimitReason,
    StartGrant,
    StartLimit,
    StartSchedule,
    choose_limit,
)
from ....transport.deadlines import monotonic
from ..membership.messages import StartQuery, StartReply
from ..membership.peers import PeerRegister
from ..membership.queries import PeerQueries
from ..membership.updates import pack_limits, unpack_limits
from .coordinators import Coordinator, CoordinatorSelector
from .granting import StartGranter
from .observing import LimitObserver

__all__ = ['StartGate']

_logger = logging.getLogger(__name__)
#: Seconds for a reply of the coordinator, which may be in another zone.
_REPLY_TIMEOUT = 0.1
#: Seconds for which a coordinator that did not reply is not queried again.
_SILENT_SECONDS = 0.5
#: Seconds by which a start may be later than predicted when an endpoint was
#: chosen; beyond that, another endpoint may be the better choice.
_SURPRISE_SECONDS = 0.05


class StartGate:
    """Lets calls pass to limited endpoints as their limits permit."""

    def __init__(
        self,
        observer: LimitObserver,
        granter: StartGranter,
        selector: CoordinatorSelector,
        queries: PeerQueries,
        peers: PeerRegister,
        generator: random.Random,
        find_warm_up_rate: Callable[[Endpoint, float], float | None],
    ) -> None:
        """Grant starts that this instance coordinates, query others.

        ``find_warm_up_rate`` returns the requests per second that an endpoint
        bears while it warms up, ``None`` at other times.
        """
        self.observer = observer
        self._granter = granter
        self._selector = selector
        self._queries = queries
        self._peers = peers
        self._generator = generator
        self._find_warm_up_rate = find_warm_up_rate
        #: Monotonic times before which no start is expected, by endpoint.
        self._expected_at: dict[str, float] = {}
        #: Monotonic times until which coordinators are not queried, by host.
        self._silent_until: dict[str, float] = {}
        #: This instance's part of limits while their coordinator is silent.
        self._own_parts: dict[str, StartSchedule] = {}

    def predict_wait(self, endpoint: Endpoint, now: float) -> float | None:
        """Predict the seconds until a call may start at an endpoint.

        ``None`` means that the endpoint does not limit its requests.
        """
        if self._find_limit(endpoint) is None:
            return None
        return max(0, self._expected_at.get(endpoint.name, now) - now)

    def find_rate(self, endpoint: Endpoint) -> float | None:
        """Return an endpoint's limit in requests per second, if it has one."""
        limit = self._find_limit(endpoint)
        return limit.rate if limit else None

    async def admit(
        self,
        endpoints: Iterable[Endpoint],
        longest_wait: float,
    ) -> bool:
        """Wait for a start at each endpoint; return false if one has none.

        A refused start raises the prediction for its endpoint.
        """
        requests = [
            self._request_one(endpoint, limit, longest_wait)
            for endpoint in endpoints
            if (limit := self._find_limit(endpoint)) is not None
        ]
        if not requests:
            return True
        grants = await asyncio.gather(*requests)
        if not all(grant.granted for grant in grants):
            return False
        wait = max(grant.wait for grant in grants)
        if wait:
            await asyncio.sleep(wait)
        return True

    def charge(self, endpoint: Endpoint) -> None:
        """Count a request to an endpoint that nothing may delay."""
        limit = self._find_limit(endpoint)
        if limit is None:
            return
        coordinator = self._select(endpoint)
        if coordinator.host:
            query = self._build_query(endpoint, limit, math.inf)
            self._queries.announce(query, coordinator.host)
        else:
            self._granter.grant(
                endpoint.name, limit, coordinator.find_share(limit), math.inf
            )

    def forget_unlisted(self) -> None:
        """Forget what is known of endpoints that have long been gone."""
        known = self.observer.forget_unlisted()
        self._granter.forget_others(known)
        for kept in (self._expected_at, self._own_parts):
            for name in kept.keys() - known:
                kept.pop(name)

    def describe(self) -> dict[str, object]:
        """Describe the limits and their use for operators, by endpoint."""
        use = self._granter.measure_use()
        return {
            name: {**limit, 'granted_here': use.get(name, 0)}
            for name, limit in self.observer.describe().items()
        }

    def _find_limit(self, endpoint: Endpoint) -> StartLimit | None:
        """Find the limit that binds at an endpoint now, if there is one."""
        notice = self.observer.limits.find(
            endpoint.name, endpoint.declaration.incarnation
        )
        return choose_limit(
            notice.rate if notice else None,
            self._find_warm_up_rate(endpoint, monotonic()),
        )

    def _select(self, endpoint: Endpoint) -> Coordinator:
        return self._selector.select(
            endpoint.name, endpoint.declaration.zone, monotonic()
        )

    async def _request_one(
        self,
        endpoint: Endpoint,
        limit: StartLimit,
        longest_wait: float,
    ) -> StartGrant:
        """Request a start, and keep what the reply says of the next one."""
        predicted = self.predict_wait(endpoint, monotonic()) or 0
        longest = min(longest_wait, predicted + _SURPRISE_SECONDS)
        grant = await self._request(endpoint, limit, longest)
        self._expected_at[endpoint.name] = monotonic() + grant.next_wait
        outcome = 'granted' if grant.granted else 'denied'
        self.observer.metrics.starts.inc(
            {'outcome': outcome, 'reason': limit.reason.value}
        )
        return grant

    async def _request(
        self,
        endpoint: Endpoint,
        limit: StartLimit,
        longest_wait: float,
    ) -> StartGrant:
        """Request a start from the coordinator."""
        coordinator = self._select(endpoint)
        if not coordinator.host:
            return self._granter.grant(
                endpoint.name,
                limit,
                coordinator.find_share(limit),
                longest_wait,
            )
        live_part = coordinator.find_live_part(limit)
        if self._silent_until.get(coordinator.host, 0) > monotonic():
            return self._take_own_part(endpoint, limit, live_part, longest_wait)
        reply = await self._queries.query(
            self._build_query(endpoint, limit, longest_wait),
            coordinator.host,
            _REPLY_TIMEOUT,
        )
        if not isinstance(reply, StartReply):
            self._record_silence(endpoint, limit, coordinator)
            return self._take_own_part(endpoint, limit, live_part, longest_wait)
        self.observer.accept_all(
            unpack_limits([reply.limit], coordinator.host, monotonic())
        )
        self._own_parts.pop(endpoint.name, None)
        return StartGrant(reply.granted, reply.wait, reply.next_wait)

    def _take_own_part(
        self,
        endpoint: Endpoint,
        limit: StartLimit,
        live_part: float,
        longest_wait: float,
    ) -> StartGrant:
        """Take a start from an equal part of the limit.

        The parts of all live instances are no more than ``live_part`` of the
        limit, and none needs another instance.
        """
        now = monotonic()
        instances = self._peers.count_live(now)
        spacing = limit.spacing * instances / live_part
        schedule = self._own_parts.get(endpoint.name)
        if schedule is None:
            # At random, as the instances would otherwise all start at once.
            first_at = now + self._generator.uniform(0, spacing)
            schedule = StartSchedule(spacing, first_at)
            self._own_parts[endpoint.name] = schedule
        return schedule.reserve(spacing, longest_wait, now, limit.burst_seconds)

    def _record_silence(
        self,
        endpoint: Endpoint,
        limit: StartLimit,
        coordinator: Coordinator,
    ) -> None:
        record(
            _logger,
            'start_unanswered',
            endpoint=endpoint.name,
            reason=limit.reason.value,
            coordinator=coordinator.host,
        )
        self.observer.metrics.starts.inc(
            {'outcome': 'unanswered', 'reason': limit.reason.value}
        )
        self._silent_until[coordinator.host] = monotonic() + _SILENT_SECONDS

    def _build_query(
        self,
        endpoint: Endpoint,
        limit: StartLimit,
        longest_wait: float,
    ) -> functools.partial[StartQuery]:
        """Build the query for a start, with all that is known of the limits."""
        name, incarnation = endpoint.name, endpoint.declaration.incarnation
        notice = self.observer.limits.find(name, incarnation)
        if notice is None:
            # Older than any, so that it ends no limit that others know.
            notice = LimitNotice(None, incarnation, -math.inf)
        is_warm_up = limit.reason is LimitReason.WARM_UP
        return functools.partial(
            StartQuery,
            limit=pack_limits({name: notice}, monotonic())[0],
            longest_wait=longest_wait,
            warm_up=limit.rate if is_warm_up else None,
        )
