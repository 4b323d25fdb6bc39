"""Connections to endpoints: direct ones, or tunnels where those fail.

A direct connection and tunnels through peers are tried side by side, and the
first that is made is used; the call is sent only then, so it is sent once.  The
direct one begins first.  Its outcome is recorded even where a tunnel is used,
which shows at once when direct connections work again.
"""

import asyncio
import logging
import math
import socket
from collections.abc import Callable, Iterator

import attrs

from ....protocol.connections import ConnectionProgress, current_progress
from ....protocol.tunnels import TunnelError, open_tunnel
from ....state.counters import Counters
from ....state.directpaths import DirectPaths, PathChange
from ....state.records import record
from ....transport.addresses import Address
from ....transport.deadlines import monotonic, within_running
from ....transport.sockets import connect_socket
from .peerchoice import TunnelPeer, TunnelPeers

__all__ = ['EndpointConnector']

_logger = logging.getLogger(__name__)
#: Seconds for a direct connection: an engine without power never answers, and a
#: short prompt can still meet its objective at another one.
_DIRECT_TIMEOUT = 0.15
#: Seconds after which a tunnel is tried beside what has not succeeded yet; most
#: connections are made within a fraction of that.
_TUNNEL_DELAY = 0.05
#: Peers at which a tunnel is tried for one connection.
_MAX_PEERS = 2

_SocketTask = asyncio.Task[socket.socket]


@attrs.frozen
class _Entrant:
    """A connection to try, through a peer or directly without one."""

    peer: TunnelPeer | None = None


@attrs.define
class _Race:
    """Connections to one endpoint that are tried side by side.

    Attributes
    ----------
    tasks
        The peer of each, ``None`` for the direct one.
    used
        The one that is used, once one has been made.
    """

    tasks: dict[_SocketTask, TunnelPeer | None] = attrs.field(factory=dict)
    used: _SocketTask | None = None

    @property
    def has_tried_peers(self) -> bool:
        """Whether a tunnel was tried; a probe is direct only."""
        return any(peer is not None for peer in self.tasks.values())

    def select_made(self, done: set[_SocketTask]) -> _SocketTask | None:
        """Select one that was made, the direct one first."""
        made = [task for task in done if task.exception() is None]
        made.sort(key=lambda task: self.tasks[task] is not None)
        return made[0] if made else None


class EndpointConnector:
    """Opens connections to endpoints for this instance."""

    def __init__(
        self,
        origin: str,
        paths: DirectPaths,
        peers: TunnelPeers,
        count_peer_calls: Callable[[], int],
        counters: Counters,
    ) -> None:
        """Connect from the IP number ``origin``.

        ``count_peer_calls`` counts the calls that peers report to have at
        endpoints, which tells an instance that is cut off from endpoints that
        are down.
        """
        self._origin = origin
        self._paths = paths
        self._peers = peers
        self._count_peer_calls = count_peer_calls
        self._counters = counters
        #: Direct connections that are still tried after a tunnel was used.
        self._background: set[_SocketTask] = set()

    async def connect(self, endpoint: Address) -> socket.socket:
        """Connect to an endpoint, directly or by a tunnel.

        Raises
        ------
        OSError
            When neither is possible.
        """
        race = _Race()
        try:
            return (await self._await_first(endpoint, race)).result()
        finally:
            self._discard_others(race)

    async def connect_directly(self, endpoint: Address) -> socket.socket:
        """Connect to an endpoint for a peer, directly.

        Raises
        ------
        OSError
            When that is not possible.
        """
        address = endpoint.authority
        now = monotonic()
        is_mute = self._paths.is_mute(now) and self._paths.is_helped(now)
        if is_mute or self._paths.is_lost(address, now):
            raise ConnectionError(f'only peers connect to {address}')
        return await self._try_direct(endpoint)

    async def _await_first(self, endpoint: Address, race: _Race) -> _SocketTask:
        """Wait for the first connection that is made.

        Another one is tried whenever nothing has succeeded for some time, and
        when all that was tried has failed.
        """
        entrants = self._iterate_entrants(monotonic())
        waiting: set[_SocketTask] = set()
        while True:
            started = self._start_next(race, entrants, endpoint)
            if started is not None:
                waiting.add(started)
            if not waiting:
                break
            done, waiting = await asyncio.wait(
                waiting,
                timeout=self._choose_delay(race, started, endpoint),
                return_when=asyncio.FIRST_COMPLETED,
            )
            race.used = race.select_made(done)
            if race.used is not None:
                self._record_use(endpoint, race.tasks[race.used])
                return race.used
            for task in done:
                self._record_failure(race.tasks[task], task.exception())
        if race.has_tried_peers or not self._has_peers():
            self._paths.unreachable.record_failed(
                endpoint.authority, monotonic()
            )
        raise OSError(f'no connection to {endpoint.authority}')

    def _has_peers(self) -> bool:
        """Return whether there are peers for the connection being made."""
        progress = current_progress.get() or ConnectionProgress()
        return bool(self._peers.choose(monotonic(), progress.permits_zone))

    def _choose_delay(
        self, race: _Race, started: _SocketTask | None, endpoint: Address
    ) -> float | None:
        """Choose the seconds until the next connection is tried.

        ``None`` when there is no other one.
        """
        if started is None:
            return None
        is_direct = race.tasks[started] is None
        address = endpoint.authority
        if is_direct and self._paths.is_doubtful(address, monotonic()):
            return 0
        return _TUNNEL_DELAY

    def _iterate_entrants(self, now: float) -> Iterator[_Entrant]:
        """Iterate over the connections to try, in order.

        Peers are chosen only once a tunnel is due, as most calls need none.
        """
        progress = current_progress.get() or ConnectionProgress()
        mute = self._paths.is_mute(now)
        avoids_direct = mute or progress.avoids_direct
        if mute and not progress.avoids_direct and progress.may_probe:
            if self._paths.take_probe(now):
                yield _Entrant()
                return
        if not avoids_direct:
            yield _Entrant()
        peers = self._peers.choose(monotonic(), progress.permits_zone)
        for peer in peers[:_MAX_PEERS]:
            yield _Entrant(peer)
        if avoids_direct:
            yield _Entrant()

    def _start_next(
        self, race: _Race, entrants: Iterator[_Entrant], endpoint: Address
    ) -> _SocketTask | None:
        """Begin with the next connection; ``None`` when there is none."""
        entrant = next(entrants, None)
        if entrant is None:
            return None
        peer = entrant.peer
        opening = (
            self._try_direct(endpoint)
            if peer is None
            else open_tunnel(peer.address, endpoint, self._origin)
        )
        task = asyncio.create_task(opening)
        race.tasks[task] = peer
        return task

    def _discard_others(self, race: _Race) -> None:
        """Close what is not used; a direct connection may end first."""
        for task, peer in race.tasks.items():
            if task is race.used:
                continue
            if peer is None:
                self._background.add(task)
                task.add_done_callback(self._background.discard)
            else:
                task.cancel()
            task.add_done_callback(_close_result)

    async def _try_direct(self, endpoint: Address) -> socket.socket:
        """Connect directly, and record the outcome."""
        address = endpoint.authority
        try:
            async with within_running(_DIRECT_TIMEOUT):
                connected = await connect_socket(endpoint, self._origin)
        except OSError:
            self._log(self._paths.record_failed(address, monotonic()))
            raise
        self._log(self._paths.record_connected(address, monotonic()))
        return connected

    def _record_use(self, endpoint: Address, peer: TunnelPeer | None) -> None:
        """Record which connection is used, for paths, metrics and logs."""
        if peer is None:
            return
        self._paths.record_tunneled(endpoint.authority, monotonic())
        self._counters.tunnels.inc({'side': 'used', 'outcome': 'open'})
        progress = current_progress.get()
        if progress is not None:
            progress.record_via(peer.instance)

    def _record_failure(
        self, peer: TunnelPeer | None, error: BaseException | None
    ) -> None:
        if peer is None or not isinstance(error, TunnelError):
            return
        outcome = error.reply.name.lower() if error.reply else 'no reply'
        self._counters.tunnels.inc({'side': 'used', 'outcome': outcome})
        self._peers.record_failure(peer.instance, monotonic())

    def _log(self, change: PathChange | None) -> None:
        if change is None:
            return
        age = change.connected_age
        record(
            _logger,
            'direct_paths_lost' if change.begins else 'direct_paths_regained',
            failing=change.failing,
            connected_age=round(age, 3) if math.isfinite(age) else None,
            peer_calls=self._count_peer_calls(),
        )


def _close_result(task: _SocketTask) -> None:
    """Close a connection that was made but is not used."""
    if not task.cancelled() and task.exception() is None:
        task.result().close()
