"""The tables of the store that an instance follows: configuration, endpoints.

Each has a follower, which keeps it current here, and a mirror, from which peers
of the zone are told of it.
"""

import random
from collections.abc import Callable

import aiohttp
import attrs
from returns.result import Failure

from ...state.counters import Counters
from ...state.endpoints import EndpointTable
from .endpoints import EndpointRegistry, ListedEndpoint
from .following import (
    PeerTable,
    StoredRow,
    TableFollower,
    TableSource,
    TableState,
)
from .holder import ConfigurationHolder
from .mirror import TableMirror
from .readers import Reader, ReaderChoice
from .relaying import TableRelay
from .settings import NodeSettings
from .store import NodeStore

__all__ = ['FollowedTables']

#: Seconds that a call to the store waits for a configuration.  Those that are
#: told of it are twice that behind at the most, and 0.2 s for the question:
#: even with a store that takes 0.24 s that is below the 1.5 s from which an
#: instance counts as cut off from the store.
_CONFIGURATION_PATIENCE = 0.4
#: Seconds that a call waits for a change of the endpoints, and the pause after
#: one: some endpoint writes every 50 ms, so a shorter pause only makes more
#: calls (0.3 s: 3.3 calls a second of each instance, 0.6 s: 2.5), and one that
#: leaves must get nothing after 2 s.
_ENDPOINT_PATIENCE = 0.3
_ENDPOINT_PAUSE = 0.6
#: Largest share of the time in which a change must be in force, or an endpoint
#: that leaves be left, for which calls wait or pause.
_WAIT_SHARE = 0.2
_PAUSE_SHARE = 0.3


class FollowedTables:
    """Keeps configuration and endpoints current, and tells peers of them.

    Attributes
    ----------
    configuration, endpoints
        The followers, to be started as services.
    registry
        The endpoints that list themselves.
    """

    def __init__(
        self,
        settings: NodeSettings,
        store: NodeStore,
        holder: ConfigurationHolder,
        table: EndpointTable,
        list_zone: Callable[[float], list[Reader]],
        session: aiohttp.ClientSession,
        counters: Counters,
        generator: random.Random,
    ) -> None:
        """Put what the store says into a holder and a table.

        ``list_zone`` lists the instances of this zone that may be asked in
        place of the store, over a session.
        """
        self._store = store
        self._holder = holder
        self._mirrors = {
            store.configuration.name: TableMirror(_tells_same_text),
            store.endpoints.name: TableMirror(self._tells_same_endpoint),
        }
        readers = ReaderChoice(settings.instance, list_zone)

        def follow(  # noqa: WPS430  closure
            source: TableSource,
            adopt: Callable[[TableState], None],
            patience: float,
            pause: float,
        ) -> TableFollower:
            relay = TableRelay(
                source.name,
                readers,
                session,
                settings.peer_port,
                counters,
            )
            return TableFollower(
                source,
                adopt,
                patience,
                pause,
                generator,
                PeerTable(relay.ask, relay.is_read_here),
            )

        bounds = settings.bounds
        self.configuration = follow(
            store.configuration,
            self._adopt_configuration,
            min(
                _CONFIGURATION_PATIENCE,
                bounds.apply_configuration * _WAIT_SHARE,
            ),
            0,
        )
        self.endpoints = follow(
            store.endpoints,
            self._adopt_endpoints,
            _ENDPOINT_PATIENCE,
            min(_ENDPOINT_PAUSE, bounds.leave_endpoint * _PAUSE_SHARE),
        )
        self.registry = EndpointRegistry(
            table,
            store.decode_endpoint,
            lambda: self.endpoints.back_at,
            bounds.leave_endpoint,
        )

    def tell(self, name: str, after: int | None) -> TableState | None:
        """Tell a peer what changed in a table since a version.

        Returns
        -------
        TableState | None
            Nothing when the table is not read from the store here: what
            others tell is not told on, lest two instances ask each other.
        """
        follower = self._find(name)
        if follower is None or not follower.direct:
            return None
        changes = self._mirrors[name].list_changes(after)
        if changes is None:
            return None
        return attrs.evolve(
            changes,
            age=follower.measure_age(),
            back_for=follower.measure_back(),
        )

    def _find(self, name: str) -> TableFollower | None:
        followers = {
            self._store.configuration.name: self.configuration,
            self._store.endpoints.name: self.endpoints,
        }
        return followers.get(name)

    def _adopt_configuration(self, state: TableState) -> None:
        self._mirrors[self._store.configuration.name].take(state)
        for row in state.rows:
            if row.key != self._store.configuration_key:
                continue
            if self._holder.offer(self._store.decode_configuration(row)):
                self.registry.adopt_configuration(self._holder.current)

    def _adopt_endpoints(self, state: TableState) -> None:
        self._mirrors[self._store.endpoints.name].take(state)
        self.registry.adopt(state)

    def _tells_same_endpoint(self, known: StoredRow, row: StoredRow) -> bool:
        """Tell whether two reports differ in nothing but their count."""
        before = self._store.decode_endpoint(known)
        after = self._store.decode_endpoint(row)
        if isinstance(before, Failure) or isinstance(after, Failure):
            return False
        return _leave_out_count(before.unwrap()) == _leave_out_count(
            after.unwrap(),
        )


def _tells_same_text(known: StoredRow, row: StoredRow) -> bool:
    return known.encoded == row.encoded


def _leave_out_count(entry: ListedEndpoint) -> ListedEndpoint:
    """Leave out what every report changes: its count, the time since start."""
    return attrs.evolve(entry, sequence=0, slow_for=0)
