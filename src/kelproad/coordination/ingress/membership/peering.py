"""Composition of the parts that follow the store and talk to other instances.

They depend on each other: tables are queried from instances that the exchange
knows of, and the exchange reports the source of the tables.
"""

import random
import time

import aiohttp

from ....state.counters import (
    Counters,
    EvacuationMetrics,
    LimitMetrics,
    SilenceMetrics,
    WithdrawalMetrics,
)
from ....state.directpaths import DirectPaths
from ....state.endpoints import Endpoint
from ....state.endpointtable import EndpointTable
from ....state.observations import EngineObservations
from ....state.requestlimits import RequestLimits
from ....state.work import WorkLedger
from ....transport.deadlines import monotonic
from ....transport.services import BackgroundService
from ..limiting.coordinators import CoordinatorSelector
from ..limiting.gate import StartGate
from ..limiting.granting import StartGranter
from ..limiting.observing import LimitObserver
from ..placing.watching import SilenceNotices
from ..quarantine.assembly import PromptQuarantine
from ..settings import NodeSettings
from ..tables.evacuations import ZoneEvacuations
from ..tables.followed import FollowedTables
from ..tables.holder import ConfigurationHolder
from ..tables.probing import TableProbe
from ..tables.readers import ReaderSelector
from ..tables.relaying import TableRelay
from ..tables.store import NodeStore
from ..tables.tablestates import PeerTable
from ..withdrawing.notices import LeavingNotices
from ..withdrawing.observing import WithdrawalObserver
from .catchup import ConfigurationCatchUp
from .exchange import TableGauges, WorkExchange
from .messages import (
    LeavingNotice,
    PromptNotice,
    Query,
    Reply,
    SilenceNotice,
    StartQuery,
    TablesReply,
    TrialEnd,
    TrialQuery,
    WorkQuery,
)
from .queries import PeerQueries
from .reachability import ZoneReachability
from .rostering import Roster
from .spillover import answer_work_query

__all__ = ['Peering']


class Peering:
    """The tables, the exchange of work, and queries between instances.

    Attributes
    ----------
    tables
        Tables of the store that are kept current here.
    exchange
        Exchange of work in flight, by datagram.
    queries
        Queries to other instances, and replies to theirs.
    limit_observer
        Request limits that endpoints stated, to this instance or to others.
    withdrawal_observer
        Endpoints that stated that they leave or pause.
    paths
        Direct connections to endpoints, as they succeed and fail.
    gate
        Gate before endpoints that limit their requests.
    roster
        The instances that the store lists.
    catch_up
        Comparison of the configuration in force with other instances.
    prompts
        What is known of parts of prompts on which engines crash.
    """

    def __init__(
        self,
        settings: NodeSettings,
        store: NodeStore,
        holder: ConfigurationHolder,
        table: EndpointTable,
        ledger: WorkLedger,
        reachability: ZoneReachability,
        observations: EngineObservations,
        session: aiohttp.ClientSession,
        counters: Counters,
        generator: random.Random,
    ) -> None:
        """Put received state into a holder, a table and a ledger.

        ``session`` is used for HTTP requests to other instances.
        """
        self._settings = settings
        self._holder = holder
        self._table = table
        self._ledger = ledger
        self._observations = observations
        self.limit_observer = LimitObserver(
            RequestLimits(), LimitMetrics(counters.registry), table
        )
        self.paths = DirectPaths()
        self._session = session
        self._counters = counters
        self._eras = store.eras
        self.queries = PeerQueries(
            settings,
            self._answer,
            # The exchange is built later, as it reports on the tables.
            lambda host: self.exchange.peers.includes_host(host),
        )
        self._probe = TableProbe(self.queries)
        self._selector = ReaderSelector(
            # The exchange is built last, as it reports on the tables.
            lambda: self.exchange.describe_self(),
            lambda now: self.exchange.peers.list_live(now),
        )
        self.tables = FollowedTables(
            settings.bounds,
            store,
            holder,
            table,
            ZoneEvacuations(
                table,
                EvacuationMetrics(counters.registry),
                ledger.count_local,
            ),
            self._open_peer_table,
            generator,
        )
        self.exchange = WorkExchange(
            settings,
            # Distinguishes this incarnation of the process from earlier ones.
            time.time_ns(),
            ledger,
            reachability,
            observations,
            self.limit_observer,
            TableGauges(
                self.tables.confirmation.measure_age,
                lambda: self.tables.provenance,
                lambda: holder.version,
            ),
            table.find_zone,
            self.paths,
        )
        self.tables.on_regained = self.exchange.report_tables
        self.exchange.peers.on_able.append(self.tables.wake_stale)
        selector = CoordinatorSelector(
            self.exchange.describe_self, self.exchange.peers
        )
        self._granter = StartGranter(self.limit_observer, selector, table)
        self.gate = StartGate(
            self.limit_observer,
            self._granter,
            selector,
            self.queries,
            self.exchange.peers,
            generator,
            self._find_warm_up_rate,
        )

        self.prompts = PromptQuarantine.from_peers(
            table,
            self.queries,
            self.exchange.peers,
            selector,
            self.exchange.describe_self(),
            store.roster.write,
        )
        self.roster = Roster(
            settings,
            store.roster,
            self.exchange,
            self.prompts.rows.adopt,
            self.tables.confirmation.mark_compared,
            generator,
        )
        self.catch_up = ConfigurationCatchUp(
            self.tables,
            holder,
            self.exchange.peers,
            self.roster.is_instance,
            session,
            settings.bounds,
            generator,
        )
        store.eras.on_restored.extend(
            (self.roster.restore, self._keep_quarantine)
        )
        self._leaving_notices = LeavingNotices(
            table,
            self.queries,
            self.exchange.peers,
            self.roster.is_instance,
            generator,
        )
        self.exchange.peers.on_heard.append(self._leaving_notices.greet)
        self.silence_notices = SilenceNotices(
            table,
            observations.silent_groups,
            self.queries,
            self.exchange.peers,
            settings.zone,
            self.roster.includes,
            SilenceMetrics(counters.registry),
        )
        self.withdrawal_observer = WithdrawalObserver(
            table,
            WithdrawalMetrics(counters.registry),
            self._leaving_notices.announce,
        )

    def list_services(self) -> list[BackgroundService]:
        """List the services to be started, in this order."""
        return [
            self.tables.configuration,
            self.tables.endpoints,
            self.exchange,
            self.queries,
            self.prompts.notices,
            self._leaving_notices,
            self.roster,
            self.catch_up,
        ]

    def _find_warm_up_rate(
        self, endpoint: Endpoint, now: float
    ) -> float | None:
        """Find the rate that binds while an endpoint warms up, if any does."""
        configuration = self._holder.current
        incarnation = endpoint.declaration.incarnation
        is_cold = self._table.warm_ups.includes(endpoint.name, incarnation, now)
        if not is_cold or configuration is None:
            return None
        return configuration.find_warm_up(endpoint.group.name).limit

    def _keep_quarantine(self) -> None:
        """Write the quarantined parts again, as the store may have lost them.

        One instance of each zone does, as they all know them.
        """
        rank, _ = self.exchange.peers.rank_self(monotonic())
        if not rank:
            self.prompts.rows.keep_all()

    def _open_peer_table(self, name: str) -> PeerTable:
        """Build the way to query other instances for a table."""
        relay = TableRelay(
            name,
            self._settings.zone,
            self._selector,
            self._probe.query,
            self._session,
            self._settings.peer_port,
            self._counters,
            self._eras,
        )
        return PeerTable(
            relay.query,
            lambda: self._selector.measure_backoff(monotonic()),
        )

    def _answer(self, query: Query) -> Reply | None:
        """Answer a query that another instance sent by datagram."""
        if isinstance(query, StartQuery):
            return self._granter.answer(query, self.queries)
        if isinstance(query, PromptNotice | TrialQuery | TrialEnd):
            return self.prompts.answer(query)
        if isinstance(query, LeavingNotice):
            return self._leaving_notices.accept(query)
        if isinstance(query, SilenceNotice):
            return self.silence_notices.accept(query)
        if isinstance(query, WorkQuery):
            return answer_work_query(
                query,
                self._settings.zone,
                self._table,
                self._ledger,
                self.exchange.peers,
                self._observations,
                self.limit_observer.limits,
            )
        within_zone = query.zone == self._settings.zone
        tables = self.tables.describe_freshness(within_zone)
        return TablesReply(query.token, tables)
