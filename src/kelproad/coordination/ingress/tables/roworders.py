"""Decoded rows of each followed table, and how they are compared."""

import operator

import attrs
from returns.result import Failure, Result

from ....state.routes import RoutingConfiguration
from .merging import RowOrder
from .tablestates import Revision

__all__ = [
    'ENDPOINT_ORDER',
    'OPERATOR_ORDER',
    'EvacuationOrder',
    'ListedEndpoint',
    'OperatorRow',
]


@attrs.frozen
class EvacuationOrder:
    """An order that a zone get no calls; ``problem`` says why it is none."""

    zone: str
    problem: str = ''


@attrs.frozen
class OperatorRow:
    """A row of the operators' table; equal if its text is.

    Attributes
    ----------
    configuration
        Decoded, ``None`` in other rows.
    evacuation
        The order to evacuate a zone, ``None`` in other rows.
    """

    encoded: bytes | None
    revision: Revision = attrs.field(eq=False)
    configuration: Result[RoutingConfiguration, str] | None = attrs.field(
        default=None, eq=False
    )
    evacuation: EvacuationOrder | None = attrs.field(default=None, eq=False)


@attrs.frozen
class ListedEndpoint:
    """An endpoint's own entry in the store.

    Attributes
    ----------
    address
        ``IP:port``.
    slots
        Maximum number of calls in progress at a time.
    warm_up_left
        Seconds for which it goes on warming up.
    born
        Unix time of its start in milliseconds; 0 when not stated.
    sequence
        Count of its reports in this incarnation.
    """

    name: str
    service: str
    address: str
    zone: str
    slots: int
    leaving: bool
    warm_up_left: float
    born: int
    sequence: int

    @property
    def incarnation(self) -> str:
        """Name of its incarnation, as in its declaration."""
        return str(self.born)

    @property
    def report_order(self) -> tuple[int, int]:
        """Order of its reports, across incarnations."""
        return self.born, self.sequence

    def warms_up_longer(self, other: 'ListedEndpoint') -> bool:
        """Return whether it states a warm-up that another report did not.

        The time left runs down from one report to the next; its end is stated
        too, so that the next warm-up is no shorter one.
        """
        return self.warm_up_left > other.warm_up_left or (
            other.warm_up_left > 0 and not self.warm_up_left
        )

    def is_same_endpoint(self, other: 'ListedEndpoint') -> bool:
        """Return whether the two differ only in what each report changes."""
        return _read_description(self) == _read_description(other)


_read_description = operator.attrgetter(
    'name', 'service', 'address', 'zone', 'slots', 'leaving', 'born'
)


def _is_older_row(offered: OperatorRow, known: OperatorRow) -> bool:
    """Return whether a row was written before what is known of it.

    An order has no version of its own.  Versions of the store order it within
    an era; across eras, an unchanged one shows that it was not written since.
    """
    if offered.configuration is None or known.configuration is None:
        if offered.revision.era == known.revision.era:
            return offered.revision < known.revision
        return offered.revision.version != known.revision.version
    if isinstance(offered.configuration, Failure):
        return False
    if isinstance(known.configuration, Failure):
        return False
    offered_version = offered.configuration.unwrap().version
    return offered_version < known.configuration.unwrap().version


def _is_configuration(row: OperatorRow) -> bool:
    return row.configuration is not None


def _is_same_entry(
    known: Result[ListedEndpoint, str],
    entry: Result[ListedEndpoint, str],
) -> bool:
    """Return whether two reports differ only in what each report changes."""
    if isinstance(known, Failure) or isinstance(entry, Failure):
        return False
    reported, before = entry.unwrap(), known.unwrap()
    return reported.is_same_endpoint(before) and not (
        reported.warms_up_longer(before)
    )


def _is_older_entry(
    offered: Result[ListedEndpoint, str],
    known: Result[ListedEndpoint, str],
) -> bool:
    if isinstance(offered, Failure) or isinstance(known, Failure):
        return False
    return offered.unwrap().report_order < known.unwrap().report_order


OPERATOR_ORDER: RowOrder[OperatorRow] = RowOrder(
    operator.eq, _is_older_row, outlasts_copies=_is_configuration
)
ENDPOINT_ORDER: RowOrder[Result[ListedEndpoint, str]] = RowOrder(
    _is_same_entry, _is_older_entry
)
