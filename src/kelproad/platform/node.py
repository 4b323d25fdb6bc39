"""Construction of an instance that uses the platform's protocol."""

import functools
from collections.abc import Callable

import aiohttp

from ..coordination.ingress.admission.dialect import Dialect
from ..coordination.ingress.membership.rostering import RosterStore
from ..coordination.ingress.node import Node
from ..coordination.ingress.placing.memory import EngineOperations
from ..coordination.ingress.reloading import SettingsHolder
from ..coordination.ingress.tables.positions import StoreEras
from ..coordination.ingress.tables.store import NodeStore
from ..coordination.ingress.tables.tablestates import TableSource
from ..state.counters import Counters
from ..state.statements import EndpointStatements
from ..transport.addresses import Address
from . import headers, rows
from .engines import OrderClient
from .store import StoreClient

__all__ = ['create_node']

#: Table in which the instances of this system register themselves.
_INSTANCE_TABLE = 'kelproad_instances'
_READY_PATH = '/-/readyz'


def create_node(settings: SettingsHolder) -> Node:
    """Create an instance, which follows changes of its store's address."""
    dialect = Dialect(
        read_request_id=headers.read_request_id,
        read_call_head=headers.read_call_head,
        encode_call=headers.encode_call,
        read_answer_head=headers.read_answer_head,
        build_refusal=headers.build_refusal,
        open_orders=_create_operations,
        ready_path=_READY_PATH,
    )
    open_store = functools.partial(
        _create_store,
        lambda: settings.current.store_address,
    )
    return Node(settings, dialect, open_store)


def _create_operations(
    session: aiohttp.ClientSession,
    observe: Callable[[str, EndpointStatements], None],
) -> EngineOperations:
    client = OrderClient(session, observe)
    return EngineOperations(
        client.reserve,
        client.claim,
        client.release,
        client.read_slowdown,
        client.read_incarnation,
    )


def _create_store(
    read_address: Callable[[], Address],
    session: aiohttp.ClientSession,
    counters: Counters,
) -> NodeStore:
    eras = StoreEras()
    client = StoreClient(read_address, session, counters, eras)
    return NodeStore(
        eras=eras,
        configuration=_create_table_source(client, rows.CONFIGURATION_TABLE),
        configuration_key=rows.CONFIGURATION_KEY,
        decode_configuration=rows.decode_configuration,
        decode_evacuation=rows.decode_evacuation,
        endpoints=_create_table_source(client, rows.ENDPOINT_TABLE),
        decode_endpoint=rows.decode_endpoint,
        roster=RosterStore(
            functools.partial(client.put_row, _INSTANCE_TABLE),
            functools.partial(client.read_table, _INSTANCE_TABLE),
        ),
    )


def _create_table_source(client: StoreClient, table: str) -> TableSource:
    return TableSource(
        table,
        functools.partial(client.read_table, table),
        functools.partial(client.await_changes, table),
        functools.partial(client.read_received_at, table),
    )
