"""One entry instance: its parts, how they are joined, how they stop."""

import logging
import random

import aiohttp

from ..protocol.connections import trace_connections
from ..protocol.engines import EngineClient
from ..protocol.orders import OrderClient
from ..protocol.plain import PlainClient
from ..protocol.platform import PlatformClient
from ..protocol.settings import Settings
from ..state import invariants
from ..state.configuration import SnapshotHolder
from ..state.counters import Counters
from ..state.endpoints import EndpointTable
from ..state.identity import Identity
from ..state.members import MemberTable
from ..state.requests import DecisionLog, RequestTable
from ..transport.addresses import Address
from ..transport.http import create_fresh_session, create_session
from ..transport.services import BackgroundService
from .acceptance import ConfigurationWriter
from .attempts import Attempts
from .claims import Claims
from .configuration import ConfigurationFollower
from .drain import Drain
from .dump import Dump
from .entry import Entry
from .membership import Membership
from .operators import OperatorApi
from .orders import OrderKeeper
from .orphans import OrphanWatch
from .plain import PlainCalls
from .reclamation import Canceller
from .sides import CallerSide, create_servers
from .watch import Watch

__all__ = ['Instance']

_logger = logging.getLogger(__name__)
#: Seconds that a stopping instance waits for engines to confirm cancels.
_CANCEL_LIMIT = 5.0
#: Seconds that it waits for outcomes to be written, when the platform is down.
_CLAIM_LIMIT = 5.0


class Instance(BackgroundService):
    """The services of one process, started and stopped together."""

    abstract = False

    def __init__(self, settings: Settings) -> None:
        """Keep the settings; the parts are built when it starts."""
        super().__init__()
        invariants.set_strict(settings.assert_invariants)
        self._settings = settings
        self._holder = SnapshotHolder()
        self._requests = RequestTable()
        self._counters = Counters()
        self._sessions: list[aiohttp.ClientSession] = []
        self._drain = Drain(
            lambda: self._entry.unfinished,
            settings.drain_grace,
            settings.drain_limit,
        )

    async def on_first_start(self) -> None:
        """Build the parts and join them."""
        settings = self._settings
        identity = Identity.from_start(settings.instance, settings.zone)
        table = EndpointTable()
        members = MemberTable(settings.zone)
        decisions = DecisionLog()
        generator = random.Random(identity.owner)  # noqa: S311  no secret
        engines = EngineClient(self._open_session())
        platform = PlatformClient(
            Address.from_text(settings.platform_address),
            self._open_session(),
            self._counters,
        )
        self._canceller = Canceller(engines, self._counters)
        self._follower = ConfigurationFollower(
            settings,
            self._holder,
            table,
            members,
            platform,
            self._counters,
        )
        self._membership = Membership(
            settings,
            identity,
            members,
            table,
            self._holder,
            self._follower,
            platform,
            self._counters,
            generator,
        )
        orders = OrderKeeper(
            identity,
            self._holder,
            table,
            members,
            self._follower,
            platform,
            OrderClient(self._open_session(fresh=True)),
            self._counters,
            settings.lease_seconds,
        )
        self._claims = Claims(identity, platform, self._counters)
        self._entry = Entry(
            identity,
            self._holder,
            self._requests,
            decisions,
            Attempts(
                identity,
                table,
                engines,
                self._canceller,
                self._counters,
                generator,
            ),
            PlainCalls(
                identity,
                table,
                PlainClient(self._open_session(fresh=True)),
                self._counters,
                generator,
            ),
            self._claims,
            self._counters,
            self._membership.limits,
        )
        operators = OperatorApi(
            settings,
            ConfigurationWriter(self._holder, self._follower, platform),
            Dump(
                identity,
                self._holder,
                table,
                members,
                self._requests,
                self._follower,
                self._membership,
                self._canceller,
                orders,
            ),
            decisions,
            self._counters,
            self._drain.start,
        )
        for service in (
            self._canceller,
            self._follower,
            self._membership,
            Watch(identity, table, members, engines),
            orders,
            OrphanWatch(
                identity,
                self._holder,
                table,
                members,
                engines,
                self._canceller.holdings,
                self._counters,
                settings.forgotten_after,
            ),
            self._entry,
        ):
            await self.add_runtime_dependency(service)
        await self._serve(operators)

    async def on_shutdown(self) -> None:
        """Close the client sessions after everything else has stopped."""
        for session in self._sessions:
            await session.close()

    def start_drain(self) -> None:
        """Begin a planned stop."""
        self._drain.start()

    async def run_until_drained(self) -> int:
        """Serve until a planned stop has been asked for and is done.

        Returns
        -------
        int
            Requests that were cut, which is 0 unless the limit passed.
        """
        await self._drain.started.wait()
        _logger.info('leaving, %d requests in progress', len(self._requests))
        self._membership.draining = True
        self._membership.announce()
        left = await self._drain.finish()
        await self._canceller.finish(_CANCEL_LIMIT)
        unsettled = await self._claims.finish(_CLAIM_LIMIT)
        _logger.info(
            'drained, %d requests left, %d claims left unsettled',
            left,
            unsettled,
        )
        return left

    async def _serve(self, operators: OperatorApi) -> None:
        caller_side = CallerSide(
            self._entry,
            self._drain,
            self._holder,
            self._follower,
            self._counters,
        )
        for server in create_servers(
            self._settings,
            caller_side,
            operators,
            self._counters,
        ):
            await self.add_runtime_dependency(server)

    def _open_session(self, fresh: bool = False) -> aiohttp.ClientSession:
        create = create_fresh_session if fresh else create_session
        origin = Address.from_text(self._settings.caller_address)
        session = create(origin, trace_configs=[trace_connections()])
        self._sessions.append(session)
        return session
