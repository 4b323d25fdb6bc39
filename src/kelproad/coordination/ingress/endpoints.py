"""Endpoints as they list themselves, and those that calls may go to.

An endpoint that leaves must get nothing more within a bound, and one that is
gone neither.  But entries also lapse while the store is away: they come back
within two seconds of its return, so one that is missing right then is kept for
that long and only then taken as gone.
"""

import collections
import logging
from collections.abc import Callable, Iterable

import attrs
from returns.result import Failure, Result

from ...state.declarations import (
    EndpointDeclaration,
    EndpointGroup,
    EndpointKind,
)
from ...state.endpoints import EndpointTable
from ...state.records import record
from ...state.routes import RoutingConfiguration
from ...transport.deadlines import monotonic
from .decoding import DecodedState

__all__ = ['EndpointRegistry', 'ListedEndpoint']

_logger = logging.getLogger(__name__)
#: Seconds for which entries are kept that vanish together, most of a service
#: at once, though the store was never seen away: a poll that spans a short
#: outage shows nothing but the lapse.  With what reading takes it stays below
#: the 2 s after which an endpoint that is gone must get nothing.
TOGETHER_SECONDS = 1.2
#: Share of the entries of a service whose vanishing at once is taken for a
#: lapse.
_TOGETHER_SHARE = 0.5
#: Largest share of the time in which an endpoint that is gone must be left, for
#: which entries that vanish together are kept.
_TOGETHER_LEAVE_SHARE = 0.6
#: Seconds after the store's return for which a lapsed entry is kept.  The
#: platform says that endpoints which live are back after about two.
RETURN_SECONDS = 2.3


@attrs.frozen
class ListedEndpoint:
    """What an endpoint says of itself.

    Attributes
    ----------
    address
        ``IP:port``.
    slots
        Calls that it works on at a time.
    slow_for
        Seconds for which it stays slow after its start.
    born
        Unix millisecond of its start; 0 when it doesn't say.
    sequence
        Count of its reports in this life.
    """

    name: str
    service: str
    address: str
    zone: str
    slots: int
    leaving: bool
    slow_for: float
    born: int
    sequence: int

    @property
    def age_key(self) -> tuple[int, int]:
        """Order of its reports, over several lives."""
        return self.born, self.sequence


_Entries = DecodedState[Result[ListedEndpoint, str]]


class EndpointRegistry:
    """Entries of endpoints, put into the table that routing reads."""

    def __init__(
        self,
        table: EndpointTable,
        read_back_at: Callable[[], float],
        leave_within: float,
    ) -> None:
        """Keep a table current.

        Parameters
        ----------
        table
            Endpoints that calls may go to.
        read_back_at
            Tell the monotonic time at which the store came back.
        leave_within
            Seconds after which an endpoint that is gone must get nothing.
        """
        self._table = table
        self._read_back_at = read_back_at
        self._together_seconds = min(
            TOGETHER_SECONDS,
            leave_within * _TOGETHER_LEAVE_SHARE,
        )
        self._listed: dict[str, ListedEndpoint] = {}
        #: Entries that are missing, with the time until which they are kept.
        self._missing: dict[str, float] = {}
        self._configuration: RoutingConfiguration | None = None

    def __len__(self) -> int:
        """Count the entries."""
        return len(self._listed)

    def adopt_configuration(self, configuration: RoutingConfiguration) -> None:
        """Group endpoints by the services of a configuration."""
        self._configuration = configuration
        self._publish()

    def adopt(self, state: _Entries) -> None:
        """Take entries that were read, or those that changed."""
        self._note_missing(self._list_vanished(state))
        for decoded in state.rows:
            if decoded.row.encoded is not None:
                self._take(decoded.row.key, decoded.said)
        self.drop_missing()
        self._publish()

    def drop_missing(self) -> None:
        """Drop entries that stayed missing after the store's return."""
        now = monotonic()
        if now - self._read_back_at() < RETURN_SECONDS:
            return
        due = [name for name, until in self._missing.items() if until <= now]
        for name in due:
            self._missing.pop(name)
            self._listed.pop(name, None)
            record(_logger, 'endpoint_gone', endpoint=name)

    def publish(self) -> None:
        """Drop what stayed missing and show what is left."""
        if self._missing:
            self.drop_missing()
            self._publish()

    def _take(self, name: str, said: Result[ListedEndpoint, str]) -> None:
        known = self._listed.get(name)
        if isinstance(said, Failure):
            record(
                _logger,
                'endpoint_entry_unreadable',
                endpoint=name,
                reason=said.failure(),
            )
            self._listed.pop(name, None)
            self._missing.pop(name, None)
            return
        entry = said.unwrap()
        if known is not None and entry.age_key < known.age_key:
            # A report that was under way while a newer one was written; it
            # may not undo that the endpoint leaves.
            record(_logger, 'endpoint_entry_outdated', endpoint=name)
            return
        self._missing.pop(name, None)
        self._listed[name] = entry
        _record_change(known, entry)

    def _list_vanished(self, state: _Entries) -> set[str]:
        """List known entries that a state of the table has no more."""
        rows = [decoded.row for decoded in state.rows]
        if state.whole:
            return self._listed.keys() - {row.key for row in rows}
        # A row may be dropped and written again within one answer.
        dropped = {row.key: row.encoded is None for row in rows}
        return {name for name, gone in dropped.items() if gone} & (
            self._listed.keys()
        )

    def _note_missing(self, names: set[str]) -> None:
        """Note entries that vanished, and until when they are kept."""
        now = monotonic()
        totals = collections.Counter(
            entry.service for entry in self._listed.values()
        )
        vanished = collections.Counter(
            self._listed[name].service for name in names
        )
        for name in names:
            service = self._listed[name].service
            together = vanished[service] > 1 and (
                vanished[service] > totals[service] * _TOGETHER_SHARE
            )
            kept_for = self._together_seconds if together else 0
            self._missing.setdefault(name, now + kept_for)

    def _publish(self) -> None:
        if self._configuration is None:
            return
        self._table.declare(
            _build_groups(self._configuration, self._listed.values()),
        )


def _record_change(
    known: ListedEndpoint | None,
    entry: ListedEndpoint,
) -> None:
    """Log an entry that is new, begins to leave or has moved."""
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
    """Group entries by service; one that no service names is left out."""
    members: dict[str, list[EndpointDeclaration]] = {}
    for entry in entries:
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
        incarnation=str(entry.born),
        slots=entry.slots,
    )
