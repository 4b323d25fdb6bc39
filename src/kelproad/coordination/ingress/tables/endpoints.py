"""Endpoints as they list themselves, and those that calls may be sent to.

Within a time limit, an endpoint that is leaving must get no more calls, nor one
that has departed.  But entries also lapse while the store is down: endpoints
write them again within two seconds of its recovery, so an entry that is missing
at that time is kept for that long, and only then does its endpoint count as
departed.
"""

import collections
import logging
import math
from collections.abc import Callable, Iterable

import attrs
from returns.result import Failure, Result

from ....state.declarations import (
    EndpointDeclaration,
    EndpointGroup,
    EndpointKind,
)
from ....state.endpointtable import EndpointTable
from ....state.records import isolate_row, record
from ....state.routes import RoutingConfiguration
from ....transport.deadlines import monotonic
from .positions import StoreOutages
from .roworders import ListedEndpoint
from .tablestates import DecodedState

__all__ = ['EndpointRegistry']

_logger = logging.getLogger(__name__)
#: Seconds for which entries are kept when most of a service's vanish at once,
#: although no call to the store failed: a poll that spans a short outage shows
#: nothing but the lapse.  Together with the time for reading it stays below the
#: 2 s after which a departed endpoint must get no calls.
MASS_LAPSE_SECONDS = 1.2
#: Share of the entries of a service above which their vanishing at once counts
#: as a lapse.
_MASS_LAPSE_SHARE = 0.5
#: Largest share of the time limit for departed endpoints for which such entries
#: are kept.
_MAX_MASS_LAPSE_SHARE = 0.6
#: Seconds after the store's recovery for which a lapsed entry is kept.
#: According to the platform, live endpoints are back after about two.
RECOVERY_GRACE_SECONDS = 2.3
#: Seconds between two checks for entries to drop, which come every 0.25 s, from
#: which on the process must have stood still.
_STANDSTILL_SECONDS = 0.5
#: What the log calls the table.
_TABLE = 'endpoints'


_Entries = DecodedState[Result[ListedEndpoint, str]]


@attrs.frozen
class _Absence:
    """How long an entry that vanished is kept.

    Attributes
    ----------
    until
        Monotonic time until which it is kept though no outage was noticed.
    latest
        Time by the clock that stands still during outages from which it is
        kept no longer, whatever fails.
    """

    until: float
    latest: float


class EndpointRegistry:
    """Entries of endpoints, published to the table that routing reads."""

    def __init__(
        self,
        table: EndpointTable,
        read_outages: Callable[[], StoreOutages],
        removal_limit: float,
    ) -> None:
        """Keep a table current.

        Parameters
        ----------
        table
            Endpoints that calls may be sent to.
        read_outages
            Returns the outages of the store.
        removal_limit
            Seconds after which a departed endpoint must get no calls.
        """
        self._table = table
        self._read_outages = read_outages
        self._mass_lapse_seconds = min(
            MASS_LAPSE_SECONDS,
            removal_limit * _MAX_MASS_LAPSE_SHARE,
        )
        self._listed: dict[str, ListedEndpoint] = {}
        self._missing: dict[str, _Absence] = {}
        #: Monotonic time of the last check of these, and whether it came late.
        self._checked_at = math.inf
        self._was_late = False
        self._configuration: RoutingConfiguration | None = None
        #: Whether the published table lacks something.
        self._changed = False
        #: Whether the entries were read once, so that new ones are new starts.
        self._was_read = False

    def __len__(self) -> int:
        """Return the number of entries, missing ones included."""
        return len(self._listed)

    def adopt_configuration(self, configuration: RoutingConfiguration) -> None:
        """Group endpoints by the services of a configuration."""
        self._configuration = configuration
        self._changed = True
        self._publish()

    def adopt(self, state: _Entries) -> None:
        """Store all entries that were read, or those that changed.

        None is older than what is known of its endpoint.
        """
        for decoded in state.rows:
            if decoded.row.encoded is not None:
                with isolate_row(_TABLE, decoded.row.key):
                    self._update(decoded.row.key, decoded.payload)
        # An endpoint may come and go within one answer.
        self._record_missing(self._list_vanished(state))
        self._was_read = True
        self.drop_expired()
        self._publish()

    def assume_cold(self, zones: frozenset[str]) -> None:
        """Assume that the endpoints of some zones warm up from now on."""
        for entry in self._listed.values():
            if entry.zone in zones:
                self._assume_cold(entry)

    def drop_expired(self) -> None:
        """Drop entries that have been missing for too long.

        None is dropped until the store has been back for some time.  A failure
        after that time has begun prolongs it by no more than its own length.
        """
        now = monotonic()
        outages = self._read_outages()
        answered = outages.read_answered_clock()
        is_grace = outages.measure_since_recovery() < RECOVERY_GRACE_SECONDS
        due = [
            name
            for name, absence in self._missing.items()
            if absence.latest <= answered
            or not (is_grace or now < absence.until)
        ]
        for name in due:
            self._changed = True
            self._missing.pop(name)
            self._listed.pop(name, None)
            record(_logger, 'endpoint_gone', endpoint=name)

    def publish_expired(self) -> None:
        """Drop entries missing for too long, and publish the rest.

        Not in the first check after a standstill of this process: what it has
        not read yet may contain them again.
        """
        now = monotonic()
        is_late = now - self._checked_at > _STANDSTILL_SECONDS
        self._was_late = is_late and not self._was_late
        self._checked_at = now
        if self._missing and not self._was_late:
            self.drop_expired()
            self._publish()

    def _update(self, name: str, payload: Result[ListedEndpoint, str]) -> None:
        known = self._listed.get(name)
        if isinstance(payload, Failure):
            record(
                _logger,
                'endpoint_entry_unreadable',
                endpoint=name,
                reason=payload.failure(),
            )
            self._listed.pop(name, None)
            self._missing.pop(name, None)
            self._changed = True
            return
        entry = payload.unwrap()
        self._missing.pop(name, None)
        self._listed[name] = entry
        if known is None or not entry.is_same_endpoint(known):
            self._changed = True
        _record_change(known, entry)
        self._record_warm_up(known, entry)

    def _record_warm_up(
        self, known: ListedEndpoint | None, entry: ListedEndpoint
    ) -> None:
        """Record what an entry says, or its newness shows, of a warm-up."""
        is_new = known is None or known.born != entry.born
        if is_new and self._was_read:
            self._assume_cold(entry)
        begins = self._table.warm_ups.state(
            entry.name, entry.incarnation, entry.warm_up_left, monotonic()
        )
        if begins:
            record(
                _logger,
                'engine_warms_up',
                endpoint=entry.name,
                seconds=entry.warm_up_left,
                source='entry',
            )

    def _assume_cold(self, entry: ListedEndpoint) -> None:
        if self._configuration is None:
            return
        seconds = self._configuration.find_warm_up(entry.service).seconds
        if seconds:
            self._table.warm_ups.assume(
                entry.name, entry.incarnation, seconds, monotonic()
            )

    def _list_vanished(self, state: _Entries) -> set[str]:
        """List known entries that a state of the table no longer has."""
        rows = [decoded.row for decoded in state.rows]
        if state.whole:
            return self._listed.keys() - {row.key for row in rows}
        # A row may be dropped and written again within one answer; the last
        # change counts.
        dropped = {row.key: row.encoded is None for row in rows}
        return {name for name, is_dropped in dropped.items() if is_dropped} & (
            self._listed.keys()
        )

    def _record_missing(self, names: set[str]) -> None:
        """Record entries that vanished, and until when they are kept."""
        if not names:
            return
        now = monotonic()
        totals = collections.Counter(
            entry.service for entry in self._listed.values()
        )
        vanished = collections.Counter(
            self._listed[name].service for name in names
        )
        for name in names:
            service = self._listed[name].service
            is_mass_lapse = vanished[service] > 1 and (
                vanished[service] > totals[service] * _MASS_LAPSE_SHARE
            )
            grace = self._mass_lapse_seconds if is_mass_lapse else 0
            if name not in self._missing:
                self._missing[name] = _Absence(
                    now + grace,
                    self._read_outages().read_answered_clock()
                    + RECOVERY_GRACE_SECONDS,
                )
                self._log_missing(name, now)

    def _log_missing(self, name: str, now: float) -> None:
        since_recovery = self._read_outages().measure_since_recovery()
        grace = max(
            self._missing[name].until - now,
            RECOVERY_GRACE_SECONDS - since_recovery,
        )
        record(
            _logger,
            'endpoint_missing',
            endpoint=name,
            kept_for=round(max(0, grace), 3),
            since_recovery=(
                round(since_recovery, 3)
                if math.isfinite(since_recovery)
                else None
            ),
        )

    def _publish(self) -> None:
        """Publish the entries, unless they are what the table has already.

        Most reports hold nothing new, and building all endpoints anew several
        times a second would dominate an instance's load before thousands.
        """
        if self._configuration is None or not self._changed:
            return
        self._table.replace_groups(
            _build_groups(self._configuration, self._listed.values()),
        )
        # Last, so that what failed is published with the next state.
        self._changed = False


def _record_change(
    known: ListedEndpoint | None,
    entry: ListedEndpoint,
) -> None:
    """Log an entry that is new, or changes incarnation or leaving state."""
    same = known is not None and (
        known.leaving == entry.leaving and known.born == entry.born
    )
    if not same:
        record(
            _logger,
            'endpoint_listed',
            endpoint=entry.name,
            service=entry.service,
            zone=entry.zone,
            leaving=entry.leaving,
            born=entry.born,
        )


def _build_groups(
    configuration: RoutingConfiguration,
    entries: Iterable[ListedEndpoint],
) -> list[EndpointGroup]:
    """Group entries by service; those of unknown services are excluded."""
    members: dict[str, list[EndpointDeclaration]] = {}
    for entry in entries:
        with isolate_row(_TABLE, entry.name):
            members.setdefault(entry.service, []).append(_declare(entry))
    return [
        _build_group(configuration, name, endpoints)
        for name, endpoints in members.items()
        if name in configuration.services
    ]


def _build_group(
    configuration: RoutingConfiguration,
    name: str,
    endpoints: list[EndpointDeclaration],
) -> EndpointGroup:
    profile = configuration.services[name].engine
    if profile is None:
        return EndpointGroup(name, EndpointKind.PLAIN, endpoints)
    return EndpointGroup(
        name,
        EndpointKind.ENGINE,
        endpoints,
        memory_tokens=profile.memory_tokens,
        prefill_tokens_per_second=profile.tokens_per_second,
    )


def _declare(entry: ListedEndpoint) -> EndpointDeclaration:
    return EndpointDeclaration(
        name=entry.name,
        zone=entry.zone,
        address=entry.address,
        leaving=entry.leaving,
        incarnation=entry.incarnation,
        slots=entry.slots,
    )
