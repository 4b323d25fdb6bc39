"""Interface to the platform's store, supplied by an adapter."""

from collections.abc import Callable

import aiohttp
import attrs
from returns.result import Result

from ....state.counters import Counters
from ....state.routes import RoutingConfiguration
from ..membership.rostering import RosterStore
from .positions import StoreEras
from .roworders import EvacuationOrder, ListedEndpoint
from .tablestates import StoredRow, TableSource

__all__ = ['NodeStore', 'OpenStore']


@attrs.frozen
class NodeStore:
    """Tables of the store, and the functions that decode their rows.

    Attributes
    ----------
    eras
        The eras that the store states in its answers.
    configuration
        Table that operators write.
    configuration_key
        Key of the row that holds the configuration.
    decode_evacuation
        Decodes the order to evacuate a zone in another row of this table;
        ``None`` if it is no such row.
    """

    eras: StoreEras
    configuration: TableSource
    configuration_key: str
    decode_configuration: Callable[
        [StoredRow],
        Result[RoutingConfiguration, str],
    ]
    decode_evacuation: Callable[[StoredRow], EvacuationOrder | None]
    endpoints: TableSource
    decode_endpoint: Callable[[StoredRow], Result[ListedEndpoint, str]]
    roster: RosterStore


OpenStore = Callable[[aiohttp.ClientSession, Counters], NodeStore]
