"""Watching endpoints: which instance asks which engine for its load.

Every engine is read by two instances of its zone, chosen by rendezvous hash
among the live ones, so that the number of reads does not grow with the number
of instances and no engine goes unread when a watcher dies.
"""

import asyncio

from mode import Service

from ..protocol.engines import EngineClient
from ..state.configuration import EndpointKind
from ..state.endpoints import Endpoint, EndpointTable
from ..state.identity import Identity
from ..state.members import MemberTable
from ..state.placement import choose_owners
from ..transport.addresses import Address
from ..transport.deadlines import monotonic
from ..transport.services import BackgroundService

__all__ = ['Watch', 'list_watched']

#: Instances that read the same engine.
WATCHERS = 2
_PERIOD = 0.5
_TIMEOUT = 1.0


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
            watched = list_watched(
                self._identity,
                self._table,
                self._members,
                monotonic(),
            )
            await asyncio.gather(*map(self._read, watched))
            await self.sleep(_PERIOD)

    async def _read(self, endpoint: Endpoint) -> None:
        asked_at = monotonic()
        report = await self._engines.read_load(
            Address.from_text(endpoint.declaration.address).url,
            endpoint.name,
            _TIMEOUT,
        )
        if report is not None:
            endpoint.accept_report(report, asked_at)


def list_watched(
    identity: Identity,
    table: EndpointTable,
    members: MemberTable,
    now: float,
) -> list[Endpoint]:
    """List the engines that this instance watches."""
    names = {identity.instance} | {
        member.name
        for member in members.live(now)
        if member.zone == identity.zone and not member.draining
    }
    return [
        endpoint
        for endpoint in table.all().values()
        if endpoint.group.kind is EndpointKind.ENGINE
        and endpoint.declaration.zone == identity.zone
        and identity.instance in choose_owners(endpoint.name, names, WATCHERS)
    ]
