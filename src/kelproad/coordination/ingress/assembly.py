"""Composition of the components that handle calls, from server to sender."""

from typing import Self

import aiohttp
import attrs

from ...state.counters import QuarantineMetrics
from ...transport.deadlines import monotonic
from .admission.admitting import Admitter
from .admission.entrance import CallHandler
from .admission.stopping import StopGuard
from .admission.unconfirmed import ConfirmationWatch
from .membership.exchange import WorkExchange
from .membership.peering import Peering
from .membership.spillover import ZoneSpillover
from .placing.choosing import Chooser
from .placing.filtering import EndpointFilter, RegionFilter
from .placing.memory import MemoryReserver
from .placing.watching import EngineSpeedMonitor
from .quarantine.guard import PromptGuard
from .retrying.dispatching import Dispatcher
from .retrying.retries import RetryBudgets
from .retrying.verdicts import AttemptEvaluator
from .sharing import SharedState
from .streams.attempts import EndpointClient
from .streams.largeanswers import LargeAnswers
from .streams.observing import AnswerObserver
from .streams.sending import Sender
from .streams.silence import SilenceMonitor

__all__ = ['CallPipeline']


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
        confirmations: ConfirmationWatch,
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
            peering.silence_notices.announce,
        )
        stop_guard = StopGuard(shared.drain)
        admitter = Admitter(
            shared.holder,
            shared.measure_age,
            shared.is_configuration_complete,
            lambda: exchange.peers.judge_confirmed(monotonic()),
            shared.is_store_failing,
            shared.running_clock.measure_since_standstill,
            stop_guard,
            shared.read_bounds,
            shared.generator,
        )
        handler = CallHandler(
            shared.dialect,
            shared.holder,
            confirmations,
            admitter,
            _create_dispatcher(
                shared,
                exchange,
                EndpointClient(
                    session,
                    shared.dialect,
                    observer.observe_answer,
                    LargeAnswers.from_memory(shared.memory_bytes),
                ),
                memory,
                speed_monitor,
                stop_guard,
                guard,
            ),
            shared.counters,
            shared.drain,
            shared.held,
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
    """Build the components that place, send and retry calls."""
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
    regions = RegionFilter(shared.find_region, shared.generator)
    endpoint_filter = EndpointFilter(
        shared.reachability,
        shared.observations,
        shared.paths,
        regions,
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
        endpoint_filter,
        shared.generator,
    )
    silence_monitor = SilenceMonitor(
        shared.ledger,
        speed_monitor,
        shared.paths,
        shared.running_clock,
        groups=shared.observations.silent_groups,
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
        regions.permits,
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
