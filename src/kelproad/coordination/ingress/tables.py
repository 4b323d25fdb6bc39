"""The tables of the store that an instance follows: configuration, endpoints.

Each has a follower, which keeps it current here, and a cache, from which peers
of the zone are told of it.
"""

import math
import operator
import random
from collections.abc import Callable

import attrs
import msgspec
from returns.result import Failure, Result

from ...state.endpoints import EndpointTable
from .caching import TableCache
from .decoding import DecodedState, Said
from .endpoints import EndpointRegistry, ListedEndpoint
from .following import PeerTable, TableFollower, TableSource
from .holder import ConfigurationHolder
from .readers import OLDEST_TOLD
from .settings import Bounds
from .store import NodeStore
from .tablestates import Provenance, StoredRow, TableState

__all__ = ['FollowedTables', 'TableFreshness']

#: Seconds that a call to the store waits for a configuration.  Those that are
#: told of it are twice that behind, which must stay below the time from which
#: an instance counts as cut off from the store.
_CONFIGURATION_PATIENCE = 0.4
#: Seconds that a call waits for a change of the endpoints, and the pause after
#: one, which lets several changes come in one answer.
_ENDPOINT_PATIENCE = 0.3
_ENDPOINT_PAUSE = 0.6
#: Largest share of the time in which a change must be in force, or an endpoint
#: that leaves be left, for which calls wait or pause.
_WAIT_SHARE = 0.2
_PAUSE_SHARE = 0.2


class TableFreshness(msgspec.Struct, array_like=True):
    """How fresh a table is at an instance.

    Attributes
    ----------
    version
        Newest version of the store when it was read.
    changed_at
        Version at which the table last changed.
    age
        Seconds since the store said so.
    back_for
        Seconds since the store came back, ``None`` if it never was away.
    """

    version: int
    changed_at: int
    age: float
    back_for: float | None


@attrs.frozen
class _Followed:
    """A table that is kept current here, and told on from here."""

    follower: TableFollower
    cache: TableCache

    def may_tell(self, within_zone: bool) -> bool:
        """Tell whether a peer of this zone, or of another one, may be told.

        What the own zone told is told to nobody, and what another zone told
        only to the own one, lest two instances ask each other.
        """
        provenance = self.follower.provenance
        if provenance is None:
            return False
        least = Provenance.OTHER_ZONE if within_zone else Provenance.STORE
        return provenance >= least

    def describe_freshness(self) -> TableFreshness:
        """Describe how fresh the table is."""
        back_for = self.follower.measure_back()
        return TableFreshness(
            self.cache.version,
            self.cache.changed_at,
            self.follower.measure_age(),
            back_for if math.isfinite(back_for) else None,
        )


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
        bounds: Bounds,
        store: NodeStore,
        holder: ConfigurationHolder,
        table: EndpointTable,
        open_peer_table: Callable[[str], PeerTable],
        generator: random.Random,
    ) -> None:
        """Put what the store says into a holder and a table.

        ``open_peer_table`` gives the way to ask other instances for a table.
        """
        self._store = store
        self._holder = holder
        self._open_peer_table = open_peer_table
        self._generator = generator
        self.registry = EndpointRegistry(
            table,
            # The follower is built later, as it brings what is registered.
            lambda: self.endpoints.back_at,
            bounds.leave_endpoint,
        )
        self._followed = {
            store.configuration.name: self._follow_configuration(bounds),
            store.endpoints.name: self._follow_endpoints(bounds),
        }

    @property
    def configuration(self) -> TableFollower:
        """What keeps the configuration current."""
        return self._followed[self._store.configuration.name].follower

    @property
    def endpoints(self) -> TableFollower:
        """What keeps the endpoints current."""
        return self._followed[self._store.endpoints.name].follower

    @property
    def provenance(self) -> Provenance | None:
        """Where the tables come from, the least direct of them.

        There is none while one of them is too old to be told on.
        """
        followers = [followed.follower for followed in self._followed.values()]
        known = [
            follower.provenance
            for follower in followers
            if follower.provenance is not None
            and follower.measure_age() <= OLDEST_TOLD
        ]
        return min(known) if len(known) == len(followers) else None

    def tell(
        self,
        name: str,
        after: int | None,
        within_zone: bool,
    ) -> TableState | None:
        """Tell a peer what changed in a table since a version.

        Returns
        -------
        TableState | None
            Nothing when the peer had better ask somebody else.
        """
        followed = self._followed.get(name)
        if followed is None or not followed.may_tell(within_zone):
            return None
        changes = followed.cache.list_changes(after)
        if changes is None:
            return None
        return attrs.evolve(
            changes,
            age=followed.follower.measure_age(),
            back_for=followed.follower.measure_back(),
        )

    def describe_freshness(
        self,
        within_zone: bool,
    ) -> dict[str, TableFreshness]:
        """Describe how fresh the tables are that a peer may be told."""
        return {
            name: followed.describe_freshness()
            for name, followed in self._followed.items()
            if followed.may_tell(within_zone)
            and followed.cache.version is not None
        }

    def _follow_configuration(self, bounds: Bounds) -> _Followed:
        patience = min(
            _CONFIGURATION_PATIENCE,
            bounds.apply_configuration * _WAIT_SHARE,
        )
        return self._follow(
            self._store.configuration,
            _read_text,
            TableCache(operator.eq),
            self._adopt_configuration,
            patience,
            0,
        )

    def _follow_endpoints(self, bounds: Bounds) -> _Followed:
        pause = min(_ENDPOINT_PAUSE, bounds.leave_endpoint * _PAUSE_SHARE)
        return self._follow(
            self._store.endpoints,
            self._store.decode_endpoint,
            TableCache(_tells_same_entry),
            self.registry.adopt,
            _ENDPOINT_PATIENCE,
            pause,
        )

    def _follow(
        self,
        source: TableSource,
        decode: Callable[[StoredRow], Said],
        cache: TableCache[Said],
        adopt: Callable[[DecodedState[Said]], None],
        patience: float,
        pause: float,
    ) -> _Followed:
        def take(state: TableState) -> None:  # noqa: WPS430  closure
            decoded = DecodedState.from_state(state, decode)
            cache.take(decoded)
            adopt(decoded)

        follower = TableFollower(
            source,
            take,
            patience,
            pause,
            self._generator,
            self._open_peer_table(source.name),
        )
        return _Followed(follower, cache)

    def _adopt_configuration(self, state: DecodedState[bytes | None]) -> None:
        for decoded in state.rows:
            row = decoded.row
            if row.key != self._store.configuration_key:
                continue
            if self._holder.offer(self._store.decode_configuration(row)):
                self.registry.adopt_configuration(self._holder.current)


def _read_text(row: StoredRow) -> bytes | None:
    return row.encoded


def _tells_same_entry(
    known: Result[ListedEndpoint, str],
    entry: Result[ListedEndpoint, str],
) -> bool:
    """Tell whether two reports differ in nothing but their count."""
    if isinstance(known, Failure) or isinstance(entry, Failure):
        return False
    return _leave_out_count(known.unwrap()) == _leave_out_count(
        entry.unwrap(),
    )


def _leave_out_count(entry: ListedEndpoint) -> ListedEndpoint:
    """Leave out what every report changes: its count, the time since start."""
    return attrs.evolve(entry, sequence=0, slow_for=0)
