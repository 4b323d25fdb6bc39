"""Work at engines of other zones, for calls that the local zone can't accept.

Where there are many instances, each zone knows the exact work in flight at its
own engines only.  An instance that needs engines of another zone queries one of
the instances there.  That takes some 11 ms and a datagram of a few kilobytes in
the rare case; reporting all work to all instances all the time would make up
most of the traffic between zones.
"""

import asyncio
import random

from ....state.endpointtable import EndpointTable
from ....state.observations import EngineObservations
from ....state.requestlimits import RequestLimits
from ....state.work import WorkLedger
from ....transport.deadlines import monotonic
from ..limiting.observing import LimitObserver
from .messages import WorkQuery, WorkReply
from .peers import PeerRegister
from .queries import PeerQueries
from .reachability import ZoneReachability
from .updates import pack_limits, pack_work, unpack_limits, unpack_work

__all__ = ['ZoneSpillover', 'answer_work_query']

#: Seconds for a reply.  Without one the zone is not used for the call.
_REPLY_TIMEOUT = 0.05
#: Seconds between two queries to the other zones, while a call waits.
_QUERY_PERIOD = 0.1
#: Seconds for which a reply is used: work lasts a few times that.
_VALID_SECONDS = 0.25


class ZoneSpillover:
    """On-demand queries of the work at engines of other zones."""

    def __init__(
        self,
        zone: str,
        queries: PeerQueries,
        peers: PeerRegister,
        reachability: ZoneReachability,
        ledger: WorkLedger,
        observations: EngineObservations,
        limit_observer: LimitObserver,
        generator: random.Random,
    ) -> None:
        """Query other zones for an instance that runs in ``zone``."""
        self._zone = zone
        self._queries = queries
        self._peers = peers
        self._reachability = reachability
        self._ledger = ledger
        self._observations = observations
        self._limit_observer = limit_observer
        self._generator = generator
        self._queried_at = float('-inf')
        self._known_at: dict[str, float] = {}
        self._refresh_task: asyncio.Task[None] | None = None

    @property
    def is_needed(self) -> bool:
        """Whether instances of other zones don't report their work anyway."""
        return not self._peers.is_full_mesh

    def has_current_work(self, zone: str, now: float) -> bool:
        """Return whether the work at the engines of a zone is known."""
        if zone == self._zone or not self.is_needed:
            return True
        return now - self._known_at.get(zone, float('-inf')) < _VALID_SECONDS

    async def refresh(self) -> None:
        """Query the other zones, unless that has just been done."""
        if self._refresh_task is None:
            if monotonic() - self._queried_at < _QUERY_PERIOD:
                return
            self._queried_at = monotonic()
            self._refresh_task = asyncio.create_task(self._query_zones())
        await asyncio.shield(self._refresh_task)

    async def _query_zones(self) -> None:
        try:
            await asyncio.gather(
                *(
                    self._query(zone, members)
                    for zone, members in self._peers.list_remote_hosts().items()
                    if not self._reachability.is_suspect(zone, monotonic())
                ),
            )
        finally:
            self._refresh_task = None

    async def _query(self, zone: str, hosts: list[str]) -> None:
        host = self._generator.choice(hosts)
        answer = await self._queries.query(WorkQuery, host, _REPLY_TIMEOUT)
        if not isinstance(answer, WorkReply):
            return
        now = monotonic()
        self._known_at[zone] = now
        # The ledger holds the work of a whole zone like that of one peer.
        self._ledger.accept_peer(f'zone {zone}', unpack_work(answer.work), now)
        self._observations.accept_refusing(answer.refusing, now)
        self._observations.accept_slow(answer.slow, zone, now)
        self._limit_observer.accept_all(unpack_limits(answer.limits, zone, now))


def answer_work_query(
    query: WorkQuery,
    zone: str,
    table: EndpointTable,
    ledger: WorkLedger,
    peers: PeerRegister,
    observations: EngineObservations,
    limits: RequestLimits,
) -> WorkReply:
    """Build the reply with the work in flight at the engines of a zone."""
    now = monotonic()
    known = ledger.sum_excluding(peers.list_in_zone(query.zone), now)
    here = {
        name: work
        for name, work in known.items()
        if table.find_zone(name) == zone
    }
    limited = {
        name: notice
        for name, notice in limits.list_limited().items()
        if table.find_zone(name) == zone
    }
    slowdowns = {name: observations.find_slowdown(name, now) for name in here}
    return WorkReply(
        query.token,
        pack_work(here),
        [name for name in here if observations.refuses_help(name, now)],
        {name: factor for name, factor in slowdowns.items() if factor > 1},
        pack_limits(limited, now),
    )
