"""How the rows of each followed table are compared."""

import operator

import attrs
from returns.result import Failure, Result

from ....state.routes import RoutingConfiguration
from .endpoints import ListedEndpoint
from .merging import RowOrder

__all__ = ['CONFIGURATION_ORDER', 'ENDPOINT_ORDER', 'ReadConfiguration']


@attrs.frozen
class ReadConfiguration:
    """A row of the table of configurations; equal if its text is."""

    encoded: bytes | None
    decoded: Result[RoutingConfiguration, str] = attrs.field(eq=False)


def _is_older_configuration(
    offered: ReadConfiguration, known: ReadConfiguration
) -> bool:
    if isinstance(offered.decoded, Failure):
        return False
    if isinstance(known.decoded, Failure):
        return False
    return offered.decoded.unwrap().version < known.decoded.unwrap().version


def _is_same_entry(
    known: Result[ListedEndpoint, str],
    entry: Result[ListedEndpoint, str],
) -> bool:
    """Return whether two reports differ only in what each report changes."""
    if isinstance(known, Failure) or isinstance(entry, Failure):
        return False
    return entry.unwrap().is_same_endpoint(known.unwrap())


def _is_older_entry(
    offered: Result[ListedEndpoint, str],
    known: Result[ListedEndpoint, str],
) -> bool:
    if isinstance(offered, Failure) or isinstance(known, Failure):
        return False
    return offered.unwrap().report_order < known.unwrap().report_order


CONFIGURATION_ORDER: RowOrder[ReadConfiguration] = RowOrder(
    operator.eq, _is_older_configuration, outlasts_copies=True
)
ENDPOINT_ORDER: RowOrder[Result[ListedEndpoint, str]] = RowOrder(
    _is_same_entry, _is_older_entry
)
