"""State and client sessions that the components of an instance share."""

import random
from collections.abc import Callable

import aiohttp
import attrs

from ...protocol.connections import build_connection_trace
from ...state.budgets import HeldBytes
from ...state.counters import Counters
from ...state.directpaths import DirectPaths
from ...state.endpointtable import EndpointTable
from ...state.observations import EngineObservations
from ...state.work import WorkLedger
from ...transport.addresses import Address
from ...transport.deadlines import RunningClock
from ...transport.http import create_single_use_session
from ...transport.sockets import OpenSocket
from ..drain import Drain
from .admission.dialect import Dialect
from .limiting.gate import StartGate
from .membership.queries import PeerQueries
from .membership.reachability import ZoneReachability
from .settings import Bounds
from .tables.holder import ConfigurationHolder
from .tunnels.peerchoice import TunnelPeers

__all__ = ['NodeSessions', 'SharedState']


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


class NodeSessions:
    """Opens sessions and closes them together."""

    def __init__(self, origin: Address) -> None:
        """Connect from the IP number of ``origin``, except to endpoints."""
        self._origin = origin
        self._opened: list[aiohttp.ClientSession] = []

    def open_control(self) -> aiohttp.ClientSession:
        """Open a session for the store and other instances.

        It makes a connection for each call.  One that was kept may have gone
        silent, which takes the whole timeout of a call to show, and so may the
        next one.
        """
        session = create_single_use_session(self._origin)
        self._opened.append(session)
        return session

    def open_calls(self, open_socket: OpenSocket) -> aiohttp.ClientSession:
        """Open a session for calls to endpoints, a connection for each."""
        session = create_single_use_session(
            open_socket=open_socket,
            trace_configs=[build_connection_trace()],
        )
        self._opened.append(session)
        return session

    async def close(self) -> None:
        """Close all sessions."""
        for session in self._opened:
            await session.close()
