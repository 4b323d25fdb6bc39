"""Zones that operators have evacuated: their endpoints must get no calls.

An order is a row of the operators' table, which is there while the order holds.
"""

import logging
from collections.abc import Callable, Collection

import attrs

from ....state.counters import EvacuationMetrics
from ....state.endpointtable import EndpointTable
from ....state.records import OnceRecorder, isolate_row, record
from ....transport.deadlines import monotonic
from .roworders import OperatorRow
from .tablestates import DecodedRow, DecodedState, Revision

__all__ = ['ZoneEvacuations']

_logger = logging.getLogger(__name__)
#: Seconds for which an order holds that a restored store lacks: operators write
#: again what was lost, and cannot take back what the store does not have.
_LOST_SECONDS = 10.0
#: Digits of the seconds in dumps and logs.
_DIGITS = 3


@attrs.define
class _Evacuation:
    """An order that holds.

    Attributes
    ----------
    revision
        Revision at which it was written.
    since
        Monotonic time at which this instance first read it.
    lapses_at
        Monotonic time at which it ends, as a restored store lacks it.
    """

    revision: Revision
    since: float
    lapses_at: float | None = None


def _ignore(_zones: frozenset[str]) -> None:
    """Ignore that the endpoints of zones may get calls again."""


@attrs.define
class ZoneEvacuations:
    """The orders that hold, published to the table that routing reads.

    ``_count_calls`` counts the calls of this instance at endpoints.

    Attributes
    ----------
    on_ended
        Gets the zones whose endpoints may get calls again.
    """

    _table: EndpointTable
    _metrics: EvacuationMetrics
    _count_calls: Callable[[Collection[str]], int]
    on_ended: Callable[[frozenset[str]], None] = _ignore
    _holding: dict[str, _Evacuation] = attrs.field(factory=dict)
    _recorder: OnceRecorder = attrs.field(factory=lambda: OnceRecorder(_logger))

    def adopt(self, state: DecodedState[OperatorRow]) -> None:
        """Adopt all orders that were read, or those that changed."""
        now = monotonic()
        if state.whole:
            self._end_missing(state, now)
        for decoded in state.rows:
            if decoded.payload.evacuation is not None:
                with isolate_row('orders', decoded.row.key):
                    self._adopt_row(decoded, now)
        self._publish()

    def expire(self) -> None:
        """End the orders that a restored store has lacked for too long."""
        if not self._holding:
            return
        now = monotonic()
        for zone, evacuation in list(self._holding.items()):
            if evacuation.lapses_at is not None and evacuation.lapses_at <= now:
                self._end(zone, 'lost with a restored store')
        self._publish()

    def describe(self) -> dict[str, dict[str, object]]:
        """Describe the orders for operators, by zone."""
        now = monotonic()
        return {
            zone: {
                'seconds': round(now - evacuation.since, _DIGITS),
                **evacuation.revision.describe(),
                'missing_in_store': evacuation.lapses_at is not None,
                'own_calls': self._count_running(zone),
            }
            for zone, evacuation in self._holding.items()
        }

    def _adopt_row(self, decoded: DecodedRow[OperatorRow], now: float) -> None:
        zone = decoded.payload.evacuation.zone
        if decoded.payload.evacuation.problem:
            self._recorder.record(
                (decoded.row.key, decoded.row.revision),
                'evacuation_unreadable',
                row=decoded.row.key,
                problem=decoded.payload.evacuation.problem,
            )
            self._end(zone, 'unreadable')
            return
        if decoded.row.encoded is None:
            self._end(zone, 'taken back')
            return
        known = self._holding.get(zone)
        since = known.since if known else now
        self._holding[zone] = _Evacuation(decoded.row.revision, since)
        if known is None:
            self._record_begin(zone, decoded.row.revision)

    def _end_missing(
        self, state: DecodedState[OperatorRow], now: float
    ) -> None:
        """End the orders that all of a table does not contain any more."""
        listed = {
            decoded.payload.evacuation.zone
            for decoded in state.rows
            if decoded.payload.evacuation is not None
        }
        for zone in self._holding.keys() - listed:
            evacuation = self._holding[zone]
            if evacuation.revision.era == state.revision.era:
                self._end(zone, 'taken back')
            elif evacuation.lapses_at is None:
                evacuation.lapses_at = now + _LOST_SECONDS
                record(_logger, 'zone_evacuation_missing', zone=zone)

    def _end(self, zone: str, reason: str) -> None:
        evacuation = self._holding.pop(zone, None)
        if evacuation is None:
            return
        self._metrics.evacuated.set({'zone': zone}, 0)
        record(
            _logger,
            'zone_evacuation_ended',
            zone=zone,
            reason=reason,
            seconds=round(monotonic() - evacuation.since, _DIGITS),
        )

    def _record_begin(self, zone: str, revision: Revision) -> None:
        self._metrics.evacuated.set({'zone': zone}, 1)
        record(
            _logger,
            'zone_evacuation_begun',
            zone=zone,
            **revision.describe(),
            endpoints=len(self._table.list_names_in(zone)),
            own_calls=self._count_running(zone),
        )

    def _count_running(self, zone: str) -> int:
        return self._count_calls(self._table.list_names_in(zone))

    def _publish(self) -> None:
        """Publish the evacuated zones, if they are others than before."""
        before = self._table.evacuated_zones
        zones = frozenset(self._holding)
        if zones == before:
            return
        if before - zones:
            self.on_ended(before - zones)
        self._table.evacuate(zones)
