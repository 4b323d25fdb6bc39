"""Composition of the components that handle calls, from server to sender."""

import asyncio
from typing import Self

import aiohttp
import attrs

from ...state.counters import QuarantineMetrics
from .admission.admitting import Admitter
from .admission.entrance import CallHandler
from .admission.stopping import StopGuard
from .membership.peering import Peering
from .placing.memory import MemoryReserver
from .placing.watching import EngineSpeedMonitor
from .quarantine.guard import PromptGuard
from .retrying.assembly import create_dispatcher
from .sharing import SharedState
from .streams.attempts import EndpointClient
from .streams.observing import AnswerObserver

__all__ = ['CallPipeline']

#: Bytes of the instance's memory for each large answer that is collected.
_MEMORY_PER_LARGE_ANSWER = 268_435_456


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
            create_dispatcher(
                shared,
                exchange,
                EndpointClient(
                    session,
                    shared.dialect,
                    observer.observe_answer,
                    _create_permits(shared.memory_bytes),
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


def _create_permits(memory_bytes: float) -> asyncio.Semaphore:
    """Create the permits for large answers, one at least."""
    return asyncio.Semaphore(
        max(1, int(memory_bytes // _MEMORY_PER_LARGE_ANSWER))
    )
