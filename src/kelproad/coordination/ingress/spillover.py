"""Engines of other zones, for calls that the own zone's engines can't take.

Where there are many instances, each zone knows exactly what is in flight at its
own engines only.  An instance that needs another zone's engines asks one of the
instances there, which takes some 11 ms and, in the rare case, a datagram of a
few kilobytes, where telling everybody everything all the time would be most of
what crosses zones.
"""

import asyncio
import random

from ...state.endpoints import EndpointTable
from ...state.observations import EngineObservations
from ...state.work import WorkLedger
from ...transport.deadlines import monotonic
from .peers import PeerRegister
from .queries import PeerQueries, WorkQuery, WorkReply
from .reach import ZoneReach
from .updates import read_work, tell_work

__all__ = ['ZoneSpillover', 'answer_work']

#: Seconds for an answer.  Without one the zone is not used this time.
_ANSWER_SECONDS = 0.05
#: Seconds after which a zone is asked again, while a call waits.
_ASK_PERIOD = 0.1
#: Seconds for which an answer holds: work lasts a few times that.
_KNOWN_SECONDS = 0.25


class ZoneSpillover:
    """Knows what is in flight at the engines of other zones when needed."""

    def __init__(
        self,
        zone: str,
        queries: PeerQueries,
        peers: PeerRegister,
        reach: ZoneReach,
        ledger: WorkLedger,
        observations: EngineObservations,
        generator: random.Random,
    ) -> None:
        """Ask for an instance of a zone, and enter what is told."""
        self._zone = zone
        self._queries = queries
        self._peers = peers
        self._reach = reach
        self._ledger = ledger
        self._observations = observations
        self._generator = generator
        self._asked_at = float('-inf')
        self._known_at: dict[str, float] = {}
        self._asking: asyncio.Task[None] | None = None

    @property
    def is_needed(self) -> bool:
        """Whether other zones don't tell this one of their work anyway."""
        return not self._peers.all_told

    def knows(self, zone: str, now: float) -> bool:
        """Tell whether the work at the engines of a zone is known here."""
        if zone == self._zone or not self.is_needed:
            return True
        return now - self._known_at.get(zone, float('-inf')) < _KNOWN_SECONDS

    async def refresh(self) -> None:
        """Ask the other zones, unless that has just been done."""
        if self._asking is None:
            if monotonic() - self._asked_at < _ASK_PERIOD:
                return
            self._asked_at = monotonic()
            self._asking = asyncio.create_task(self._ask_all())
        await asyncio.shield(self._asking)

    async def _ask_all(self) -> None:
        try:
            await asyncio.gather(
                *(
                    self._ask(zone, members)
                    for zone, members in self._peers.list_far_hosts().items()
                    if not self._reach.is_doubtful(zone, monotonic())
                ),
            )
        finally:
            self._asking = None

    async def _ask(self, zone: str, hosts: list[str]) -> None:
        host = self._generator.choice(hosts)
        answer = await self._queries.ask(WorkQuery, host, _ANSWER_SECONDS)
        if not isinstance(answer, WorkReply):
            return
        now = monotonic()
        self._known_at[zone] = now
        # The work of a whole zone stands in the ledger like that of a peer.
        self._ledger.accept_peer(f'zone {zone}', read_work(answer.work), now)
        self._observations.accept_refusing(answer.refusing, now)
        self._observations.accept_slow(answer.slow, zone, now)


def answer_work(
    query: WorkQuery,
    zone: str,
    table: EndpointTable,
    ledger: WorkLedger,
    peers: PeerRegister,
    observations: EngineObservations,
) -> WorkReply:
    """Reply what is in flight at the engines of a zone."""
    now = monotonic()
    known = ledger.sum_without(peers.list_in_zone(query.zone), now)
    here = {
        name: work
        for name, work in known.items()
        if table.find_zone(name) == zone
    }
    slowdowns = {name: observations.find_slowdown(name, now) for name in here}
    return WorkReply(
        query.token,
        tell_work(here),
        [name for name in here if observations.refuses_help(name, now)],
        {name: factor for name, factor in slowdowns.items() if factor > 1},
    )
