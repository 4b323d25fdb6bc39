"""Composition of the components that place, send and retry calls."""

from ....transport.deadlines import monotonic
from ..admission.stopping import StopGuard
from ..membership.exchange import WorkExchange
from ..membership.spillover import ZoneSpillover
from ..placing.choosing import Chooser
from ..placing.filtering import EndpointFilter
from ..placing.memory import MemoryReserver
from ..placing.regions import RegionFilter
from ..placing.watching import EngineSpeedMonitor
from ..quarantine.guard import PromptGuard
from ..sharing import SharedState
from ..streams.attempts import EndpointClient
from ..streams.sending import Sender
from ..streams.silence import SilenceMonitor
from .dispatching import Dispatcher
from .retries import RetryBudgets
from .verdicts import AttemptEvaluator

__all__ = ['create_dispatcher']


def create_dispatcher(
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
