"""Watching endpoints: which instance asks which engine for its load.

Every engine has two watchers in its zone, chosen by rendezvous hash among the
live instances.  The first reads it in every period.  The second reads it only
when no report has come for a while, so that no engine goes unread while a
watcher that died is still counted as live.
"""

import asyncio
import functools
from collections.abc import Iterator

from mode import Service

from ..protocol.engines import EngineClient
from ..state.declarations import EndpointKind
from ..state.endpoints import Endpoint, EndpointTable
from ..state.identity import Identity
from ..state.members import MemberTable
from ..state.placement import choose_owners
from ..transport.addresses import Address
from ..transport.deadlines import monotonic
from ..transport.services import BackgroundService

__all__ = ['Watch', 'list_wanted', 'list_watched']

#: Instances that read the same engine.
WATCHERS = 2
_PERIOD = 0.5
#: Age of the newest report above which the second watcher reads as well.
_STALE_AFTER = 1.5
_TIMEOUT = 1.0
#: Choices remembered; hashing them anew in each period took a tenth of a core
#: with 575 engines and 51 instances in a zone.
_CHOICES_KEPT = 4096


class Watch(BackgroundService):
    """Reads the load of the engines that this instance watches."""

    abstract = False

    def __init__(
        self,
        identity: Identity,
        table: EndpointTable,
        members: MemberTable,
        engines: EngineClient,
    ) -> None:
        """Watch endpoints of a table, sharing them with the members."""
        super().__init__()
        self._identity = identity
        self._table = table
        self._members = members
        self._engines = engines

    @Service.task
    async def _read_periodically(self) -> None:
        while not self.should_stop:
            wanted = list_wanted(
                self._identity,
                self._table,
                self._members,
                monotonic(),
            )
            await asyncio.gather(*map(self._read, wanted))
            await self.sleep(_PERIOD)

    async def _read(self, endpoint: Endpoint) -> None:
        asked_at = monotonic()
        report = await self._engines.read_load(
            Address.from_text(endpoint.declaration.address).url,
            endpoint.name,
            _TIMEOUT,
        )
        if report is not None:
            endpoint.accept_report(report, asked_at, here=True)


def list_watched(
    identity: Identity,
    table: EndpointTable,
    members: MemberTable,
    now: float,
) -> list[Endpoint]:
    """List the engines that this instance watches, as first or second."""
    ranked = _rank_watched(identity, table, members, now)
    return [endpoint for endpoint, _rank in ranked]


def list_wanted(
    identity: Identity,
    table: EndpointTable,
    members: MemberTable,
    now: float,
) -> list[Endpoint]:
    """List the engines that this instance is to read now."""
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
    """Yield watched engines with this instance's place among the watchers."""
    names = _list_watchers(identity, members, now)
    for endpoint in table.all().values():
        if not _is_near_engine(endpoint, identity.zone):
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


def _is_near_engine(endpoint: Endpoint, zone: str) -> bool:
    is_engine = endpoint.group.kind is EndpointKind.ENGINE
    return is_engine and endpoint.declaration.zone == zone


@functools.lru_cache(maxsize=_CHOICES_KEPT)
def _choose_watchers(endpoint: str, names: frozenset[str]) -> list[str]:
    return choose_owners(endpoint, names, WATCHERS)
