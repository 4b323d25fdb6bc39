"""Detection of engines that run more slowly than published.

Engines are not queried while their events come as predicted.  One that falls
far behind is queried, and again every second until it has recovered.  The
result is reported to the other instances, so that one of them is enough to
query it.  One that doesn't answer is told to the other instances of the zone,
as its neighbours may be silent too.
"""

import asyncio
import functools
import logging
import math
from collections.abc import Awaitable, Callable

from returns.result import Failure, Result

from ....state.counters import SilenceMetrics
from ....state.endpoints import Endpoint
from ....state.endpointtable import EndpointTable
from ....state.observations import EngineObservations
from ....state.records import record
from ....state.silentgroups import SilentGroups, find_group
from ....state.work import WorkLedger
from ....transport.deadlines import monotonic
from ..membership.messages import SilenceNotice
from ..membership.peers import PeerRegister
from ..membership.queries import PeerQueries
from ..tables.holder import ConfigurationHolder
from .predictions import predict_pass

__all__ = ['EngineSpeedMonitor', 'SilenceNotices']

_logger = logging.getLogger(__name__)
#: Multiple of its prediction, and seconds beyond that, after which a pass makes
#: its engine suspect: work that other instances sent meanwhile explains less.
_SUSPECT_RATIO = 1.6
_SUSPECT_SECONDS = 0.03
#: Seconds between two queries to one engine.
_QUERY_PERIOD = 1.0
#: Multiple of the published time from which on an engine counts as slow.
_SLOW_FACTOR = 1.2
#: Queries in a row without an answer after which an engine counts as lost, and
#: after which it is no longer queried.
_SILENT_QUERIES = 2
_MAX_QUERIES = 8
#: Seconds without a reply from which on an engine counts as silent; one that is
#: down refuses connections at once, which says nothing of its neighbours.
_MUTE_SECONDS = 0.2
#: Seconds between two notices that a group of engines answers.
_ANSWERING_PERIOD = 0.3
#: How this instance names itself among those that asked an engine.
_SELF = ''


def _tell_nobody(_endpoint: Endpoint, _asked_at: float) -> None:
    """Keep the silence of an engine to this instance."""


class SilenceNotices:
    """Tells the instances of a zone which engines left queries unanswered."""

    def __init__(
        self,
        table: EndpointTable,
        groups: SilentGroups,
        queries: PeerQueries,
        peers: PeerRegister,
        zone: str,
        is_instance: Callable[[str], bool],
        metrics: SilenceMetrics,
    ) -> None:
        """Collect the evidence of the instances of ``zone`` in ``groups``.

        ``is_instance`` returns whether an IP number is that of an instance that
        the store lists: others are not believed.
        """
        self._table = table
        self._groups = groups
        self._queries = queries
        self._peers = peers
        self._zone = zone
        self._is_instance = is_instance
        self._metrics = metrics
        #: Monotonic times of the last notices that an engine answers, sent or
        #: received, by service and zone.
        self._answering_at: dict[tuple[str, str], float] = {}

    def announce(self, endpoint: Endpoint, asked_at: float) -> None:
        """Record a silent engine, and tell peers unless enough know it."""
        now = monotonic()
        if now - asked_at < _MUTE_SECONDS:
            return
        is_told = self._groups.is_told(endpoint, now)
        self._record(endpoint, _SELF, asked_at, now)
        if not is_told:
            self._send(now, silent={endpoint.name: round(now - asked_at, 3)})

    def accept(self, notice: SilenceNotice) -> None:
        """Record what a peer of this zone tells."""
        now = monotonic()
        if notice.zone != self._zone or not self._is_instance(notice.host):
            return
        for name, age in notice.silent.items():
            endpoint = self._table.get(name)
            if endpoint is not None:
                asked_at = now - max(0, age)
                self._record(endpoint, notice.host, asked_at, now)
                self._contradict(endpoint, asked_at, now)
        for name, age in notice.answering.items():
            endpoint = self._table.get(name)
            if endpoint is not None:
                self._answering_at[find_group(endpoint)] = now
                self._groups.record_answer(endpoint, now - max(0, age), now)

    def _contradict(
        self, endpoint: Endpoint, asked_at: float, now: float
    ) -> None:
        """Tell the peers if an engine of a group has answered here since."""
        answer = self._groups.find_answer(endpoint, asked_at)
        key = find_group(endpoint)
        told_at = self._answering_at.get(key, -math.inf)
        if answer is None or now - told_at < _ANSWERING_PERIOD:
            return
        self._answering_at[key] = now
        engine, answered_at = answer
        self._send(now, answering={engine: round(now - answered_at, 3)})

    def _send(self, now: float, **told: dict[str, float]) -> None:
        """Send a notice to the instances of the zone."""
        notice = functools.partial(SilenceNotice, **told)
        for peer in self._peers.list_zone_peers(now):
            self._queries.announce(notice, peer.host)

    def _record(
        self, endpoint: Endpoint, instance: str, asked_at: float, now: float
    ) -> None:
        service, zone = find_group(endpoint)
        size = len(self._table.in_zone(service, zone))
        if self._groups.record_unanswered(
            endpoint, size, instance, asked_at, now
        ):
            labels = {'service': service, 'zone': zone}
            self._metrics.silences.inc(labels)
            record(_logger, 'engines_silent', **labels)


class EngineSpeedMonitor:
    """Queries engines that fall behind for their slowdown."""

    def __init__(
        self,
        instance: str,
        holder: ConfigurationHolder,
        ledger: WorkLedger,
        observations: EngineObservations,
        read_slowdown: Callable[[str], Awaitable[Result[float, str]]],
        charge: Callable[[Endpoint], None],
        tell_silence: Callable[[Endpoint, float], None] = _tell_nobody,
    ) -> None:
        """Record the slowdowns of engines in ``observations``.

        ``read_slowdown`` queries the engine at an address for the factor by
        which it takes longer than published; ``charge`` counts such a query
        against its request limit; ``tell_silence`` gets an engine that did
        not answer, and when it was asked.
        """
        self._instance = instance
        self._holder = holder
        self._ledger = ledger
        self._observations = observations
        self._read_slowdown = read_slowdown
        self._charge = charge
        self._tell_silence = tell_silence
        self._polls: dict[str, asyncio.Task[None]] = {}

    def check_stall(
        self,
        service: str,
        endpoint: Endpoint,
        seconds: float,
    ) -> None:
        """Check a stall of a stream, and query its engine if it is too long."""
        profile = self._holder.current.find_profile(service)
        if profile is None:
            return
        now = monotonic()
        work = self._ledger.sum_at(endpoint.name, now)
        slowdown = self._observations.find_slowdown(endpoint.name, now)
        expected = predict_pass(work, profile) * slowdown
        self.check_wait(endpoint, seconds, expected)

    def check_wait(
        self,
        endpoint: Endpoint,
        seconds: float,
        expected: float,
    ) -> None:
        """Check how long an engine took, and query it if that is too long."""
        too_long = expected * _SUSPECT_RATIO + _SUSPECT_SECONDS
        if seconds > too_long and endpoint.name not in self._polls:
            poll = asyncio.create_task(self._poll(endpoint))
            self._polls[endpoint.name] = poll

    def is_silent(self, endpoint: Endpoint) -> bool:
        """Return whether an engine did not answer lately."""
        now = monotonic()
        return self._observations.is_silent(
            endpoint.name, now
        ) or self._observations.silent_groups.includes(endpoint, now)

    async def _poll(self, endpoint: Endpoint) -> None:
        """Query an engine until it is as fast as published again."""
        unanswered = 0
        try:
            while unanswered < _MAX_QUERIES and not _pauses(endpoint):
                self._charge(endpoint)
                asked_at = monotonic()
                answered = await self._read_slowdown(
                    endpoint.declaration.address,
                )
                if isinstance(answered, Failure):
                    unanswered += 1
                    self._tell_silence(endpoint, asked_at)
                    self._record_silence(endpoint, unanswered)
                    continue
                unanswered = 0
                self._observations.record_answer(endpoint.name)
                now = monotonic()
                self._observations.silent_groups.record_answer(
                    endpoint, now, now
                )
                self._record_slowdown(endpoint, answered.unwrap())
                await asyncio.sleep(_QUERY_PERIOD)
                if answered.unwrap() < _SLOW_FACTOR or self._is_polled_by_peer(
                    endpoint
                ):
                    return
        finally:
            self._polls.pop(endpoint.name, None)

    def _record_silence(self, endpoint: Endpoint, unanswered: int) -> None:
        if unanswered == _SILENT_QUERIES:
            record(_logger, 'engine_silent', endpoint=endpoint.name)
        if unanswered >= _SILENT_QUERIES:
            self._observations.record_silence(endpoint.name, monotonic())

    def _is_polled_by_peer(self, endpoint: Endpoint) -> bool:
        """Return whether a peer with an earlier name queries the engine."""
        watcher = self._observations.find_watcher(endpoint.name, monotonic())
        return bool(watcher) and watcher < self._instance

    def _record_slowdown(self, endpoint: Endpoint, slowdown: float) -> None:
        now = monotonic()
        known = self._observations.find_slowdown(endpoint.name, now)
        slow = slowdown >= _SLOW_FACTOR
        self._observations.record_slowdown(
            endpoint.name,
            slowdown if slow else 1,
            now,
        )
        if slow != (known > 1):
            record(
                _logger,
                'engine_slow' if slow else 'engine_recovered',
                endpoint=endpoint.name,
                slowdown=round(slowdown, 2),
            )


def _pauses(endpoint: Endpoint) -> bool:
    """Return whether an engine wants no requests from this instance."""
    return endpoint.withdrawal.is_paused(monotonic())
