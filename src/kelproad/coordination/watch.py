"""Engine watching: which instance polls the load of which engine.

Every engine has two watchers in its zone, chosen by rendezvous hash among the
live instances.  The first polls it in every period.  The second polls it only
when no report has arrived for a while, so that an engine is still polled while
a watcher that died counts as live.
"""

import asyncio
import functools
from collections.abc import Iterator

from ..protocol.engines import EngineClient
from ..state.declarations import EndpointKind
from ..state.endpoints import Endpoint
from ..state.endpointtable import EndpointTable
from ..state.identity import Identity
from ..state.members import MemberTable
from ..state.placement import choose_owners
from ..transport.addresses import Address
from ..transport.deadlines import monotonic
from ..transport.services import BackgroundService, restarted_task

__all__ = ['Watch', 'list_due', 'list_watched']

#: Instances that watch the same engine.
WATCHERS = 2
#: Seconds between two polls of an engine.
_PERIOD = 0.5
#: Seconds of age of the newest report above which the second watcher polls too.
_STALE_AFTER = 1.5
#: Seconds for one poll.
_TIMEOUT = 1.0
#: Cached choices; without a cache, hashing in each period took a tenth of a
#: core with 575 engines and 51 instances in a zone.
_CACHED_CHOICES = 4096


class Watch(BackgroundService):
    """Polls the load of the engines that this instance watches."""

    abstract = False

    def __init__(
        self,
        identity: Identity,
        table: EndpointTable,
        members: MemberTable,
        engines: EngineClient,
    ) -> None:
        """Share the engines of a table among the live members of the zone."""
        super().__init__()
        self._identity = identity
        self._table = table
        self._members = members
        self._engines = engines

    @restarted_task
    async def _read_periodically(self) -> None:
        while not self.should_stop:
            due = list_due(
                self._identity,
                self._table,
                self._members,
                monotonic(),
            )
            await asyncio.gather(*map(self._read, due))
            await self.sleep(_PERIOD)

    async def _read(self, endpoint: Endpoint) -> None:
        sent_at = monotonic()
        report = await self._engines.read_load(
            Address.from_text(endpoint.declaration.address).url,
            endpoint.name,
            _TIMEOUT,
        )
        if report is not None:
            endpoint.accept_report(report, sent_at, here=True)


def list_watched(
    identity: Identity,
    table: EndpointTable,
    members: MemberTable,
    now: float,
) -> list[Endpoint]:
    """List the engines that this instance watches, as first or second."""
    ranked = _rank_watched(identity, table, members, now)
    return [endpoint for endpoint, _rank in ranked]


def list_due(
    identity: Identity,
    table: EndpointTable,
    members: MemberTable,
    now: float,
) -> list[Endpoint]:
    """List the engines that this instance must poll now."""
    return [
        endpoint
        for endpoint, rank in _rank_watched(identity, table, members, now)
        if rank == 0 or now - endpoint.reported_at > _STALE_AFTER
    ]


def _rank_watched(
    identity: Identity,
    table: EndpointTable,
    members: MemberTable,
    now: float,
) -> Iterator[tuple[Endpoint, int]]:
    """Yield watched engines with this instance's rank, 0 for the first."""
    names = _list_watchers(identity, members, now)
    for endpoint in table.all().values():
        if not _is_local_engine(endpoint, identity.zone):
            continue
        watchers = _choose_watchers(endpoint.name, names)
        if identity.instance in watchers:
            yield endpoint, watchers.index(identity.instance)


def _list_watchers(
    identity: Identity,
    members: MemberTable,
    now: float,
) -> frozenset[str]:
    others = {
        member.name
        for member in members.live(now)
        if member.zone == identity.zone and not member.draining
    }
    return frozenset(others | {identity.instance})


def _is_local_engine(endpoint: Endpoint, zone: str) -> bool:
    is_engine = endpoint.group.kind is EndpointKind.ENGINE
    return is_engine and endpoint.declaration.zone == zone


@functools.lru_cache(maxsize=_CACHED_CHOICES)
def _choose_watchers(endpoint: str, names: frozenset[str]) -> list[str]:
    return choose_owners(endpoint, names, WATCHERS)
