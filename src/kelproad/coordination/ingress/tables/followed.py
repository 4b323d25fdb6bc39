"""The tables of the store that an instance follows: configuration, endpoints.

Each has a follower, which keeps it current here, and is relayed to peers.
"""

import functools
import logging
import math
import random
from collections.abc import Callable
from contextlib import AbstractContextManager

from returns.result import Failure, Result

from ....state.endpointtable import EndpointTable
from ....state.records import isolate_row, record
from ..settings import Bounds
from .caching import RelayedTable, TableCache
from .confirming import Confirmation
from .endpoints import EndpointRegistry
from .evacuations import ZoneEvacuations
from .following import TableFollower
from .holder import ConfigurationHolder
from .merging import RowMerger, RowOrder
from .roworders import (
    ENDPOINT_ORDER,
    OPERATOR_ORDER,
    ListedEndpoint,
    OperatorRow,
)
from .store import NodeStore
from .tablestates import (
    DecodedRow,
    DecodedState,
    Payload,
    PeerTable,
    Provenance,
    Revision,
    StoredRow,
    TableFreshness,
    TableSource,
    TableState,
    name_provenance,
)

__all__ = ['FollowedTables']

_logger = logging.getLogger(__name__)
#: Seconds that a call to the store waits for a configuration.  Instances that
#: it is relayed to are twice that behind, which must stay below the time from
#: which an instance counts as cut off from the store.
_CONFIGURATION_WAIT = 0.4
#: Seconds that a call waits for a change of the endpoints, and the pause after
#: one, which lets several changes come in one answer.
_ENDPOINT_WAIT = 0.3
_ENDPOINT_PAUSE = 0.6
#: Largest share of the time in which a change must be in force, or a leaving
#: endpoint get no more calls, for which calls to the store wait or pause.
_WAIT_SHARE = 0.2
_PAUSE_SHARE = 0.2
#: Share of the same time for which the store may be slower than usual before
#: its reader no longer relays the table.
_SLACK_SHARE = 0.3
#: Share of the time in which a revoked key must stop working for which a
#: restored store confirms nothing.
_SETTLE_SHARE = 0.1


class FollowedTables:
    """Keeps configuration and endpoints current, and relays them to peers.

    Attributes
    ----------
    configuration, endpoints
        The followers, to be started as services.
    registry
        The endpoints that list themselves.
    evacuations
        Zones that operators have evacuated.
    confirmation
        When the configuration in force was last confirmed.
    on_regained
        Called when a table that was too old to be relayed is so no longer.
    """

    def __init__(
        self,
        bounds: Bounds,
        store: NodeStore,
        holder: ConfigurationHolder,
        table: EndpointTable,
        evacuations: ZoneEvacuations,
        open_peer_table: Callable[[str], PeerTable],
        generator: random.Random,
    ) -> None:
        """Put the contents of the store into a holder and a table.

        ``open_peer_table`` returns the way to query other instances for a
        table.
        """
        self._store = store
        self._holder = holder
        self.evacuations = evacuations
        self._open_peer_table = open_peer_table
        self._generator = generator
        self.registry = EndpointRegistry(
            table,
            # The follower is built later, as it fills the registry.
            lambda: self.endpoints.outages,
            bounds.leave_endpoint,
        )
        self.on_regained: Callable[[], None] = _ignore_regained
        #: Followers of the tables that were too old to be relayed before they
        #: were last answered.
        self._stale: set[TableFollower] = set()
        # Endpoints that had nothing to do for a while have become cold.
        self.evacuations.on_ended = self.registry.assume_cold
        self._followed = {
            store.configuration.name: self._follow_configuration(bounds),
            store.endpoints.name: self._follow_endpoints(bounds),
        }

        self.confirmation = Confirmation(
            self.configuration.measure_age,
            bounds.revoke_key * _SETTLE_SHARE,
            bounds.revoke_key,
        )
        self.configuration.on_restored = self.confirmation.suspend

    @property
    def configuration(self) -> TableFollower:
        """Follower of the configuration."""
        return self._followed[self._store.configuration.name].follower

    @property
    def endpoints(self) -> TableFollower:
        """Follower of the endpoints."""
        return self._followed[self._store.endpoints.name].follower

    @property
    def provenance(self) -> Provenance | None:
        """Source of the tables, the least direct of them.

        ``None`` while one of them is too old to be relayed.
        """
        sources = [followed.source for followed in self._followed.values()]
        known = [source for source in sources if source is not None]
        return min(known) if len(known) == len(sources) else None

    def describe(self) -> dict[str, object]:
        """Describe the tables and the era of the store for operators."""
        tables = {
            name: followed.follower.describe()
            for name, followed in self._followed.items()
        }
        return {'era': self._store.eras.current, **tables}

    def wake_stale(self) -> None:
        """Query now for tables that are too old, as somebody has them."""
        for followed in self._list_stale():
            followed.follower.wake()

    def list_changes_for_peer(
        self,
        name: str,
        after: Revision | None,
        within_zone: bool,
    ) -> TableState | None:
        """List for a peer what changed in a table since a revision.

        Returns
        -------
        TableState | None
            Nothing when the peer should query another instance.
        """
        followed = self._followed.get(name)
        if followed is None or not followed.may_relay(within_zone):
            return None
        return followed.list_changes(after)

    def adopt_held(self, encoded: bytes) -> bool:
        """Adopt what another instance has in force; return whether it is newer.

        It confirms nothing, and no freshness comes with it.
        """
        followed = self._followed[self._store.configuration.name]
        revision = followed.cache.revision
        if revision is None or self._holder.current is None:
            return False
        row = StoredRow(self._store.configuration_key, encoded, revision)
        read = self._read_operator_row(row)
        held = self._holder.current.version
        offered = read.configuration.map(lambda found: found.version)
        if offered.value_or(held) <= held:
            return False
        state = DecodedState(revision, [DecodedRow(row, read)], whole=False)
        return self._adopt_configuration(followed.merge(state))

    def describe_freshness(
        self,
        within_zone: bool,
    ) -> dict[str, TableFreshness]:
        """Describe the tables that may be relayed to a peer, by name."""
        return {
            name: followed.describe_freshness()
            for name, followed in self._followed.items()
            if followed.may_relay(within_zone)
            and followed.cache.revision is not None
        }

    def _follow_configuration(self, bounds: Bounds) -> RelayedTable:
        wait_seconds = min(
            _CONFIGURATION_WAIT,
            bounds.apply_configuration * _WAIT_SHARE,
        )
        return self._follow(
            self._store.configuration,
            self._read_operator_row,
            OPERATOR_ORDER,
            self._adopt_configuration_table,
            wait_seconds,
            0,
            bounds.apply_configuration * _SLACK_SHARE,
        )

    def _follow_endpoints(self, bounds: Bounds) -> RelayedTable:
        pause = min(_ENDPOINT_PAUSE, bounds.leave_endpoint * _PAUSE_SHARE)
        return self._follow(
            self._store.endpoints,
            self._decode_endpoint,
            ENDPOINT_ORDER,
            self.registry.adopt,
            _ENDPOINT_WAIT,
            pause,
            bounds.leave_endpoint * _SLACK_SHARE,
        )

    def _follow(
        self,
        source: TableSource,
        decode: Callable[[StoredRow], Payload],
        order: RowOrder[Payload],
        adopt: Callable[[DecodedState[Payload]], None],
        wait_seconds: float,
        pause: float,
        slack: float,
    ) -> RelayedTable:
        def update(state: TableState) -> None:  # noqa: WPS430  closure
            if followed.source is None:
                self._stale.add(follower)
            adopt(followed.merge(DecodedState.from_state(state, decode)))

        follower = TableFollower(
            source,
            self._store.eras,
            update,
            wait_seconds,
            pause,
            self._generator,
            self._open_peer_table(source.name),
        )
        followed = RelayedTable(
            follower,
            TableCache(order.is_equivalent),
            RowMerger(source.name, order),
            slack,
        )
        follower.on_read_directly = self._hasten
        follower.on_confirmed = functools.partial(
            self._note_confirmed, followed
        )
        return followed

    def _note_confirmed(self, confirmed: RelayedTable) -> None:
        """Spread a table that was too old to be relayed, and is so no more."""
        is_fresh = confirmed.source is not None
        if is_fresh and confirmed.follower in self._stale:
            self._stale.discard(confirmed.follower)
            self._spread_regained(confirmed)

    def _spread_regained(self, regained: RelayedTable) -> None:
        """Have the other tables read, and tell others, as one is known again.

        Others are served by this instance only once it has all of them.
        """
        is_direct = regained.follower.provenance is Provenance.STORE
        for other in self._list_stale():
            if other is not regained:
                if is_direct:
                    other.follower.hasten()
                other.follower.wake()
        self.on_regained()

    def _list_stale(self) -> list[RelayedTable]:
        """List the tables that are too old to be relayed."""
        return [
            followed
            for followed in self._followed.values()
            if followed.source is None
        ]

    def _hasten(self) -> None:
        """Have all tables read, as the store has answered for one of them.

        Others are served by this instance only once it has all of them.
        """
        for followed in self._followed.values():
            followed.follower.hasten()

    def _read_operator_row(self, row: StoredRow) -> OperatorRow:
        if row.key == self._store.configuration_key:
            decoded = self._store.decode_configuration(row)
            return OperatorRow(row.encoded, row.revision, decoded)
        order = None
        with self._isolate(row.key):
            order = self._store.decode_evacuation(row)
        return OperatorRow(row.encoded, row.revision, evacuation=order)

    def _decode_endpoint(self, row: StoredRow) -> Result[ListedEndpoint, str]:
        with isolate_row(self._store.endpoints.name, row.key):
            return self._store.decode_endpoint(row)
        return Failure('an error of this program')

    def _isolate(self, row: str) -> AbstractContextManager[None]:
        """Isolate errors that concern a row of the operators' table.

        Those in the reading of the configuration itself are not: it may revoke
        keys, which must not be confirmed without it.
        """
        return isolate_row(self._store.configuration.name, row)

    def _adopt_configuration_table(
        self, state: DecodedState[OperatorRow]
    ) -> None:
        # Once there is a configuration, calls are sent.
        with self._isolate('evacuate'):
            self.evacuations.adopt(state)
        provenance = self.configuration.provenance
        self.confirmation.begin(direct=provenance is Provenance.STORE)
        if self._adopt_configuration(state) and not state.whole:
            # Written since the store was restored, if it was.
            self.confirmation.resume()

    def _adopt_configuration(self, state: DecodedState[OperatorRow]) -> bool:
        """Put the newest configuration in force; return whether there is one.

        There may be several, in the order of their writing.
        """
        offered = [
            decoded
            for decoded in state.rows
            if decoded.row.key == self._store.configuration_key
        ]
        for read in offered:
            configuration = read.payload.configuration
            if self._holder.offer(configuration, read.row.encoded):
                self._record_adopted()
                with self._isolate(read.row.key):
                    self.registry.adopt_configuration(self._holder.current)
        return bool(offered)

    def _record_adopted(self) -> None:
        """Log where a configuration came from, and how old the one before was.

        That age bounds the time for which it had been accepted.
        """
        age = self.configuration.measure_age()
        record(
            _logger,
            'configuration_source',
            version=self._holder.version,
            provenance=name_provenance(self.configuration.provenance),
            age_before=round(age, 3) if math.isfinite(age) else None,
        )


def _ignore_regained() -> None:
    """Do nothing when a table is known again."""
