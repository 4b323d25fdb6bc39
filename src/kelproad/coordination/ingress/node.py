"""One instance of the routed interface: composition, start and stop."""

import asyncio
import logging
import random
import time

from ...state.budgets import HeldBytes
from ...state.counters import ConfirmationMetrics, Counters, TaskMetrics
from ...state.endpointtable import EndpointTable
from ...state.observations import EngineObservations
from ...state.records import record
from ...state.withdrawals import USABLE_SHARE
from ...state.work import WorkLedger
from ...transport.addresses import Address
from ...transport.deadlines import RunningClock, monotonic
from ...transport.services import (
    BackgroundService,
    record_unhandled_errors,
    restarted_task,
)
from ..drain import Drain
from .admission.dialect import Dialect
from .admission.stopping import plan_stop
from .admission.unconfirmed import ConfirmationObserver, ConfirmationWatch
from .assembly import CallPipeline
from .membership.peering import Peering
from .membership.reachability import ZoneReachability
from .readiness import Readiness
from .reloading import SettingsHolder, SettingsWatch
from .servers import NodeServers, describe_endpoints, describe_work
from .settings import Bounds
from .sharing import NodeSessions, SharedState
from .tables.holder import ConfigurationHolder
from .tables.store import OpenStore
from .tunnels.connecting import EndpointConnector
from .tunnels.peerchoice import TunnelPeers
from .tunnels.serving import TunnelServer
from .withdrawing.observing import describe_withdrawals

__all__ = ['Node']

_logger = logging.getLogger(__name__)
#: Seconds between two checks for lapsed endpoint entries.
_LAPSE_PERIOD = 0.25
#: Seconds between two closings of idle connections during a stop.
_CLOSE_PERIOD = 0.25
#: Seconds for answering the calls that the end of a stop interrupts.
_ANSWER_SECONDS = 0.2
#: Seconds for releasing memory at the end.
_RELEASE_SECONDS = 0.3
#: Seconds of a delay of the event loop from which on it is logged.
_LOGGED_DELAY = 0.2


class Node(BackgroundService):
    """The services of one process, started and stopped together."""

    abstract = False

    def __init__(
        self,
        holder: SettingsHolder,
        dialect: Dialect,
        open_store: OpenStore,
    ) -> None:
        """Keep the settings; the components are built at the start."""
        super().__init__()
        settings = holder.current
        self._settings_holder = holder
        self._settings = settings
        self._dialect = dialect
        self._open_store = open_store
        self._generator = random.Random(  # noqa: S311  no secret
            f'{settings.instance}:{time.time_ns()}',
        )
        self._counters = Counters()
        self._running_clock = RunningClock(self._record_loop_delay)
        self._holder = ConfigurationHolder()
        self._table = EndpointTable()
        self._table.withdrawals.usable_seconds = (
            settings.bounds.leave_endpoint * USABLE_SHARE
        )
        self._ledger = WorkLedger()
        self._reachability = ZoneReachability()
        self._held = HeldBytes.from_memory(settings.memory_bytes)
        self._observations = EngineObservations()
        self._sessions = NodeSessions(settings.caller_address)
        self._drain = Drain(
            self._count_unfinished,
            lambda: plan_stop(self._read_bounds().stop_grace),
        )

    async def on_first_start(self) -> None:
        """Build the components, start them, and listen last of all."""
        store = self._open_store(self._sessions.open_control(), self._counters)
        self._peering = Peering(
            self._settings,
            store,
            self._holder,
            self._table,
            self._ledger,
            self._reachability,
            self._observations,
            self._sessions.open_control(),
            self._counters,
            self._generator,
        )
        self._tables = self._peering.tables
        self._tables.confirmation.read_clock = self._running_clock.read
        self._exchange = self._peering.exchange
        self._tunnel_peers = TunnelPeers(
            self._settings, self._exchange.peers, self._generator
        )
        self._connector = EndpointConnector(
            self._settings.ip,
            self._peering.paths,
            self._tunnel_peers,
            self._ledger.count_peer_calls,
            self._counters,
        )
        self._readiness = Readiness(
            self._drain,
            self._holder,
            self._tables,
            self._exchange.peers,
            self._peering.catch_up,
            self._peering.roster,
            self._read_bounds,
            self._list_failing_tasks,
        )
        self._roster = self._peering.roster
        self._tunnels = self._create_tunnel_server()
        self._confirmations = ConfirmationWatch(
            ConfirmationObserver(
                self._tables,
                self._holder,
                self._exchange.peers,
                self._running_clock,
                self._read_bounds,
            ).observe,
            ConfirmationMetrics(self._counters.registry),
        )
        self._pipeline = self._create_pipeline()
        self._background: tuple[BackgroundService, ...] = (
            *self._peering.list_services(),
            self._confirmations,
            self._tunnels,
            SettingsWatch(self._settings_holder),
        )
        task_metrics = TaskMetrics(self._counters.registry)
        record_unhandled_errors(task_metrics.count_failure)
        for service in (self, *self._background):
            service.on_task_failed = task_metrics.count_failure
        for service in self._background:
            await self.add_runtime_dependency(service)
        await self._serve()
        record(
            _logger,
            'instance_started',
            instance=self._settings.instance,
            zone=self._settings.zone,
            callers=self._settings.caller_address.authority,
        )

    async def on_shutdown(self) -> None:
        """Close the client sessions after everything else has stopped."""
        await self._sessions.close()
        self._record_stop('instance_closed')

    def reload(self) -> None:
        """Read the settings file again."""
        self._settings_holder.refresh()

    def start_drain(self) -> None:
        """Begin a planned stop, by the current content of the settings file.

        It may have been written since the last check.
        """
        try:
            self.reload()
        finally:
            # A signal that is ignored would end in a kill.
            self._drain.start()
            self._tunnels.leaving = True

    async def run_until_drained(self) -> int:
        """Serve until a planned stop has been requested and is done.

        Returns
        -------
        int
            Calls that were cut off, which is 0 unless the time ran out.
        """
        await self._drain.started.wait()
        unfinished = self._pipeline.handler.unfinished
        record(_logger, 'instance_stopping', unfinished=unfinished)
        closing = asyncio.create_task(self._close_idle())
        await self._drain.finish()
        interrupted = self._drain.interrupt_calls()
        await self._drain.wait_until_idle(
            self._drain.bound_shutdown_step(_ANSWER_SECONDS)
        )
        # Answers that callers read slowly are cut off when servers close.
        left = max(interrupted, self._pipeline.handler.unfinished)
        closing.cancel()
        seconds = self._drain.bound_shutdown_step(_RELEASE_SECONDS)
        await self._pipeline.memory.finish(seconds)
        self._record_stop('instance_stopped', unfinished=left)
        return left

    # Composition

    def _create_tunnel_server(self) -> TunnelServer:
        return TunnelServer(
            Address(self._settings.ip, self._settings.tunnel_port),
            self._roster.is_instance,
            lambda address: self._table.serves_at(address, monotonic()),
            self._connector.connect_directly,
            lambda outcome: self._counters.tunnels.inc(
                {'side': 'opened', 'outcome': outcome}
            ),
        )

    def _create_pipeline(self) -> CallPipeline:
        shared = SharedState(
            self._settings.instance,
            self._settings.zone,
            self._settings.memory_bytes,
            self._held,
            self._dialect,
            self._holder,
            self._table,
            self._ledger,
            self._reachability,
            self._observations,
            self._peering.paths,
            self._tunnel_peers,
            self._drain,
            self._counters,
            self._generator,
            self._peering.queries,
            self._peering.gate,
            self._running_clock,
            self._tables.confirmation.measure_age,
            lambda: self._tables.confirmation.is_complete,
            lambda: self._tables.configuration.failing,
            self._read_bounds,
            lambda zone: self._settings_holder.current.find_region(zone),
        )
        return CallPipeline.from_state(
            shared,
            self._peering,
            self._confirmations,
            self._sessions.open_calls(self._connector.connect),
        )

    async def _serve(self) -> None:
        servers = NodeServers(
            self._settings,
            self._dialect,
            self._pipeline.handler.answer,
            self._readiness.explain_unready,
            self._drain,
            self._counters,
            self._describe,
            self._tables.list_changes_for_peer,
            self._holder.read_limits,
            self._roster.is_instance,
            lambda: self._holder.encoded,
        )
        self._caller_server = servers.create_caller_server()
        for server in (
            self._caller_server,
            servers.create_peer_server(),
            servers.create_ready_server(),
            servers.create_metrics_server(),
        ):
            await self.add_runtime_dependency(server)

    def _count_unfinished(self) -> int:
        """Count the calls here, and those of peers that use tunnels."""
        return self._pipeline.handler.unfinished + self._tunnels.unfinished

    def _read_bounds(self) -> Bounds:
        return self._settings_holder.current.bounds

    @restarted_task
    async def _drop_lapsed(self) -> None:
        while not self.should_stop:
            await asyncio.sleep(_LAPSE_PERIOD)
            self._tables.registry.publish_expired()
            self._tables.evacuations.expire()
            self._peering.gate.forget_unlisted()
            self._table.forget_withdrawals(monotonic())
            self._table.warm_ups.forget_expired(monotonic())

    @restarted_task
    async def _keep_clock(self) -> None:
        await self._running_clock.keep_beating()

    # Stop and reporting

    def _list_failing_tasks(self) -> list[str]:
        """List the tasks that fail each time they begin anew."""
        return [
            task
            for service in (self, *self._background)
            for task in service.list_failing_tasks()
        ]

    def _record_loop_delay(self, seconds: float) -> None:
        self._counters.latencies.loop_delays.observe({}, seconds)
        if seconds >= _LOGGED_DELAY:
            record(_logger, 'event_loop_late', seconds=round(seconds, 3))

    async def _close_idle(self) -> None:
        """Close kept connections without a call while the instance stops.

        Left open, a connection would be closed during its caller's next call.
        """
        while True:
            try:
                await self._caller_server.close_idle()
            except Exception:
                # The next round closes the connections that this one could not.
                _logger.exception('idle connections could not be closed')
            await asyncio.sleep(_CLOSE_PERIOD)

    def _record_stop(self, event: str, **fields: object) -> None:
        """Log an event of a stop with the seconds left until the kill."""
        until_kill = round(self._drain.seconds_until_kill(), 3)
        record(_logger, event, until_kill=until_kill, **fields)

    def _describe(self) -> dict[str, object]:
        """Describe the state of this process for operators."""
        configuration = self._holder.current
        now = monotonic()
        return {
            'instance': self._settings.instance,
            'zone': self._settings.zone,
            'unready': self._readiness.explain_unready(),
            'failing_tasks': self._list_failing_tasks(),
            'version': configuration.version if configuration else None,
            'age': self._tables.confirmation.measure_age(),
            'confirmation': self._confirmations.describe(),
            'endpoint_age': self._tables.endpoints.measure_age(),
            'tables': self._tables.describe(),
            'live_instances': self._exchange.peers.count_live(now),
            'unfinished': self._pipeline.handler.unfinished,
            'stood_still': round(self._running_clock.stood_still, 3),
            'held_bytes': self._held.held,
            'own_work': describe_work(self._ledger),
            'endpoints': describe_endpoints(self._table, now),
            'tunnels': self._tunnels.unfinished,
            'direct_paths': self._peering.paths.describe(now),
            'request_limits': self._peering.gate.describe(),
            'evacuations': self._tables.evacuations.describe(),
            'silent_groups': self._observations.silent_groups.list_silent(now),
            'warm_ups': self._table.warm_ups.describe(now),
            'withdrawals': describe_withdrawals(self._table, now),
            'suspect_parts': self._pipeline.guard.describe(),
            'barred_requests': self._pipeline.guard.describe_requests(),
        }
