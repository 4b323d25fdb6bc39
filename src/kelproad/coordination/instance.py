"""One entry instance: its parts, their wiring and their shutdown."""

import logging
import random

import aiohttp

from ..protocol.connections import build_connection_trace
from ..protocol.engines import EngineClient
from ..protocol.orders import OrderClient
from ..protocol.plain import PlainClient
from ..protocol.platform import PlatformClient
from ..protocol.settings import Settings
from ..state import invariants
from ..state.configuration import SnapshotHolder
from ..state.counters import Counters, TaskMetrics
from ..state.endpointtable import EndpointTable
from ..state.identity import Identity
from ..state.members import MemberTable
from ..state.requests import DecisionLog, RequestTable
from ..transport.addresses import Address
from ..transport.http import create_session, create_single_use_session
from ..transport.services import BackgroundService
from .acceptance import ConfigurationWriter
from .accounting import RequestAccounting
from .attempts import Attempts
from .claims import Claims
from .completions import Completions
from .configuration import ConfigurationFollower
from .drain import Drain, StopTimes
from .dump import Dump
from .entry import Entry
from .membership import Membership
from .operators import OperatorApi
from .orders import OrderController
from .orphans import OrphanWatch
from .plain import PlainCalls
from .reclamation import Canceller
from .sides import CallerApi, create_servers
from .watch import Watch

__all__ = ['Instance']

_logger = logging.getLogger(__name__)
#: Seconds for answering the calls that the limit of a stop interrupts: what
#: they have to write to callers is short.
_ANSWER_LIMIT = 1.0
#: Seconds that a stopping instance waits for engines to confirm cancels.
_CANCEL_LIMIT = 5.0
#: Seconds that it waits for outcomes of claims to be written, which takes as
#: long only when the platform is down.
_CLAIM_LIMIT = 5.0


class Instance(BackgroundService):
    """The services of one process, started and stopped together."""

    abstract = False

    def __init__(self, settings: Settings) -> None:
        """Create the shared state; the other parts are built on start."""
        super().__init__()
        invariants.set_strict(settings.assert_invariants)
        self._settings = settings
        self._identity = Identity.from_start(settings.instance, settings.zone)
        self._holder = SnapshotHolder()
        self._table = EndpointTable()
        self._members = MemberTable(settings.zone)
        self._requests = RequestTable()
        self._decisions = DecisionLog()
        self._counters = Counters()
        self._generator = random.Random(  # noqa: S311  no secret
            self._identity.owner,
        )
        self._sessions: list[aiohttp.ClientSession] = []
        self._drain = Drain(
            lambda: self._entry.unfinished,
            lambda: StopTimes(settings.drain_grace, settings.drain_limit),
        )

    async def on_first_start(self) -> None:
        """Build and start the parts, then listen for callers."""
        self._open_clients()
        self._create_control()
        self._create_entry()
        task_metrics = TaskMetrics(self._counters.registry)
        for service in (
            self._canceller,
            self._follower,
            self._membership,
            self._create_watch(),
            self._orders,
            self._create_orphan_watch(),
            self._entry,
        ):
            service.on_task_failed = task_metrics.count_failure
            await self.add_runtime_dependency(service)
        await self._serve(self._create_operator_api())

    async def on_shutdown(self) -> None:
        """Close the client sessions after everything else has stopped."""
        for session in self._sessions:
            await session.close()

    def start_drain(self) -> None:
        """Begin a planned stop."""
        self._drain.start()

    async def run_until_drained(self) -> int:
        """Serve until a planned stop has been requested and completed.

        Returns
        -------
        int
            Interrupted requests, which are 0 unless the limit passed.
        """
        await self._drain.started.wait()
        _logger.info('leaving, %d requests in progress', len(self._requests))
        self._membership.draining = True
        self._membership.announce()
        left = await self._drain.finish()
        self._drain.interrupt_calls()
        await self._drain.wait_until_idle(_ANSWER_LIMIT)
        await self._canceller.finish(_CANCEL_LIMIT)
        unsettled = await self._claims.finish(_CLAIM_LIMIT)
        _logger.info(
            'drained, %d requests unfinished, %d claims unsettled',
            left,
            unsettled,
        )
        return left

    # Building

    def _open_clients(self) -> None:
        self._engines = EngineClient(self._open_session())
        self._platform = PlatformClient(
            Address.from_text(self._settings.platform_address),
            self._open_session(),
            self._counters,
        )

    def _create_control(self) -> None:
        """Build the parts that run whether or not there are requests."""
        self._canceller = Canceller(self._engines, self._counters)
        self._follower = ConfigurationFollower(
            self._settings,
            self._holder,
            self._table,
            self._members,
            self._platform,
            self._counters,
        )
        self._membership = Membership(
            self._settings,
            self._identity,
            self._members,
            self._table,
            self._holder,
            self._follower,
            self._platform,
            self._counters,
            self._generator,
        )
        self._orders = OrderController(
            self._identity,
            self._holder,
            self._table,
            self._members,
            self._follower,
            self._platform,
            OrderClient(self._open_session(single_use=True)),
            self._counters,
            self._settings.lease_seconds,
        )

    def _create_watch(self) -> Watch:
        return Watch(
            self._identity,
            self._table,
            self._members,
            self._engines,
        )

    def _create_orphan_watch(self) -> OrphanWatch:
        return OrphanWatch(
            self._identity,
            self._holder,
            self._table,
            self._members,
            self._engines,
            self._canceller.holdings,
            self._counters,
            self._settings.forgotten_after,
        )

    def _create_entry(self) -> None:
        """Build the parts that handle requests."""
        limits = self._membership.limits
        accounts = RequestAccounting(
            self._requests,
            self._decisions,
            limits,
            self._counters,
        )
        attempts = Attempts(
            self._identity,
            self._table,
            self._engines,
            self._canceller,
            self._counters,
            self._generator,
        )
        self._claims = Claims(self._identity, self._platform, self._counters)
        self._entry = Entry(
            self._identity,
            self._holder,
            self._follower,
            accounts,
            Completions(attempts, accounts, self._claims),
            PlainCalls(
                self._identity,
                self._table,
                PlainClient(self._open_session(single_use=True)),
                self._counters,
                self._generator,
            ),
            self._claims,
            limits,
            self._drain,
        )

    def _create_operator_api(self) -> OperatorApi:
        return OperatorApi(
            self._settings,
            ConfigurationWriter(self._holder, self._follower, self._platform),
            Dump(
                self._identity,
                self._holder,
                self._table,
                self._members,
                self._requests,
                self._follower,
                self._membership,
                self._canceller,
                self._orders,
            ),
            self._decisions,
            self._counters,
            self._drain.start,
        )

    async def _serve(self, operators: OperatorApi) -> None:
        caller_api = CallerApi(
            self._entry,
            self._drain,
            self._holder,
            self._follower,
            self._counters,
        )
        for server in create_servers(
            self._settings,
            caller_api,
            operators,
            self._counters,
        ):
            await self.add_runtime_dependency(server)

    def _open_session(self, single_use: bool = False) -> aiohttp.ClientSession:
        create = create_single_use_session if single_use else create_session
        origin = Address.from_text(self._settings.caller_address)
        session = create(origin, trace_configs=[build_connection_trace()])
        self._sessions.append(session)
        return session
