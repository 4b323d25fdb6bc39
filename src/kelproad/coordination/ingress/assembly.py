"""Composition of the components that handle calls, from server to sender."""

import random
from collections.abc import Callable
from typing import Self

import aiohttp
import attrs

from ...state.counters import Counters, QuarantineMetrics
from ...state.directpaths import DirectPaths
from ...state.endpointtable import EndpointTable
from ...state.observations import EngineObservations
from ...state.work import WorkLedger
from ...transport.deadlines import RunningClock, monotonic
from ..drain import Drain
from .admission.admitting import Admitter
from .admission.dialect import Dialect
from .admission.entrance import CallHandler
from .admission.stopping import StopGuard
from .limiting.gate import StartGate
from .membership.exchange import WorkExchange
from .membership.peering import Peering
from .membership.queries import PeerQueries
from .membership.reachability import ZoneReachability
from .membership.spillover import ZoneSpillover
from .placing.choosing import Chooser
from .placing.memory import MemoryReserver
from .placing.watching import EngineSpeedMonitor
from .quarantine.guard import PromptGuard
from .retrying.dispatching import Dispatcher
from .retrying.retries import RetryBudgets
from .retrying.verdicts import AttemptEvaluator
from .settings import Bounds
from .streams.attempts import EndpointClient
from .streams.observing import AnswerObserver
from .streams.sending import Sender
from .streams.silence import SilenceMonitor
from .tables.holder import ConfigurationHolder
from .tunnels.peerchoice import TunnelPeers

__all__ = ['CallPipeline', 'SharedState']


@attrs.frozen
class SharedState:
    """State and functions that the components of an instance share.

    Attributes
    ----------
    instance
        Name of the instance.
    zone
        Availability zone of the instance.
    measure_age
        Returns how many seconds old the configuration may be.
    is_configuration_complete
        Returns whether nothing is missing in it that a restored store lost.
    is_store_failing
        Returns whether the last call to the store for it failed.
    read_bounds
        Returns the limits that operators set at present.
    """

    instance: str
    zone: str
    dialect: Dialect
    holder: ConfigurationHolder
    table: EndpointTable
    ledger: WorkLedger
    reachability: ZoneReachability
    observations: EngineObservations
    paths: DirectPaths
    tunnel_peers: TunnelPeers
    drain: Drain
    counters: Counters
    generator: random.Random
    queries: PeerQueries
    gate: StartGate
    running_clock: RunningClock
    measure_age: Callable[[], float]
    is_configuration_complete: Callable[[], bool]
    is_store_failing: Callable[[], bool]
    read_bounds: Callable[[], Bounds]


@attrs.frozen
class CallPipeline:
    """The handler of calls, and what it uses at engines.

    Attributes
    ----------
    memory
        Memory that it reserves.
    guard
        Guard of engines against requests that crash them.
    """

    handler: CallHandler
    memory: MemoryReserver
    guard: PromptGuard

    @classmethod
    def from_state(
        cls,
        shared: SharedState,
        peering: Peering,
        session: aiohttp.ClientSession,
    ) -> Self:
        """Build the components; calls to endpoints use the session."""
        exchange = peering.exchange
        observer = AnswerObserver(
            shared.table, shared.gate.observer, peering.withdrawal_observer
        )
        orders = shared.dialect.open_orders(session, observer.observe_reply)
        guard = peering.prompts.create_guard(
            orders,
            shared.table,
            shared.paths,
            QuarantineMetrics(shared.counters.registry),
            shared.generator,
        )
        memory = MemoryReserver(orders, shared.read_bounds, shared.gate.charge)
        speed_monitor = EngineSpeedMonitor(
            shared.instance,
            shared.holder,
            shared.ledger,
            shared.observations,
            orders.read_slowdown,
            shared.gate.charge,
        )
        stop_guard = StopGuard(shared.drain)
        admitter = Admitter(
            shared.holder,
            shared.measure_age,
            shared.is_configuration_complete,
            exchange.peers.is_confirmed_elsewhere,
            shared.is_store_failing,
            stop_guard,
            shared.read_bounds,
            shared.generator,
        )
        handler = CallHandler(
            shared.dialect,
            shared.holder,
            shared.measure_age,
            admitter,
            _create_dispatcher(
                shared,
                exchange,
                EndpointClient(
                    session,
                    shared.dialect,
                    observer.observe_answer,
                ),
                memory,
                speed_monitor,
                stop_guard,
                guard,
            ),
            shared.counters,
            shared.drain,
        )
        return cls(handler, memory, guard)


def _create_dispatcher(
    shared: SharedState,
    exchange: WorkExchange,
    client: EndpointClient,
    memory: MemoryReserver,
    speed_monitor: EngineSpeedMonitor,
    stop_guard: StopGuard,
    guard: PromptGuard,
) -> Dispatcher:
    retries = RetryBudgets(
        shared.read_bounds,
        lambda: exchange.peers.count_live(monotonic()),
    )
    spillover = ZoneSpillover(
        shared.zone,
        shared.queries,
        exchange.peers,
        shared.reachability,
        shared.ledger,
        shared.observations,
        shared.gate.observer,
        shared.generator,
    )
    chooser = Chooser(
        shared.zone,
        shared.holder,
        shared.table,
        shared.ledger,
        shared.reachability,
        shared.observations,
        spillover,
        shared.gate,
        shared.paths,
        shared.generator,
    )
    silence_monitor = SilenceMonitor(
        shared.ledger, speed_monitor, shared.paths, shared.running_clock
    )
    evaluator = AttemptEvaluator(
        shared.table,
        retries,
        shared.reachability,
        shared.observations,
        shared.counters,
        shared.paths,
        shared.tunnel_peers.record_failure,
    )
    sender = Sender(
        client,
        memory,
        silence_monitor,
        guard.record_outlived,
        chooser.find_unusable,
    )
    return Dispatcher.from_components(
        chooser,
        sender,
        evaluator,
        retries,
        shared.ledger,
        stop_guard,
        shared.gate,
        guard,
        silence_monitor,
        shared.counters,
    )
