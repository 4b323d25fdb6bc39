"""State and functions that the components of an instance share."""

import random
from collections.abc import Callable

import attrs

from ...state.budgets import HeldBytes
from ...state.counters import Counters
from ...state.directpaths import DirectPaths
from ...state.endpointtable import EndpointTable
from ...state.observations import EngineObservations
from ...state.work import WorkLedger
from ...transport.deadlines import RunningClock
from ..drain import Drain
from .admission.dialect import Dialect
from .limiting.gate import StartGate
from .membership.queries import PeerQueries
from .membership.reachability import ZoneReachability
from .settings import Bounds
from .tables.holder import ConfigurationHolder
from .tunnels.peerchoice import TunnelPeers

__all__ = ['SharedState']


@attrs.frozen
class SharedState:
    """State and functions that the components of an instance share.

    Attributes
    ----------
    instance
        Name of the instance.
    zone
        Availability zone of the instance.
    memory_bytes
        Memory of the instance, 0 when it is not stated.
    held
        Bytes that it holds for callers.
    measure_age
        Returns how many seconds old the configuration may be.
    is_configuration_complete
        Returns whether nothing is missing in it that a restored store lost.
    is_store_failing
        Returns whether the last call to the store for it failed.
    read_bounds
        Returns the limits that operators set at present.
    find_region
        Returns the region of a zone, empty when it is unknown.
    """

    instance: str
    zone: str
    memory_bytes: float
    held: HeldBytes
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
    find_region: Callable[[str], str]
