"""Memory that a stand-in engine holds besides its streams: exports and pins.

An export is KV cache that other engines can import.  Both kinds take memory
until they are deleted, even if their owner has exited.
"""

import attrs
import msgspec
from aiohttp import web

from ..transport.deadlines import monotonic
from .batch import Batch

__all__ = ['Holdings', 'HoldingRequest', 'describe_holding']


@attrs.frozen
class HoldingRequest:
    """Body of a request to hold an export or a pin.

    Attributes
    ----------
    seconds
        Seconds until its deadline, which is only reported, not enforced.
    blocks
        Digests of the prefix blocks that an export consists of.
    """

    owner: str
    tokens: int
    seconds: float
    blocks: list[str] = attrs.field(factory=list)


@attrs.frozen
class _Exported:
    """Body by which an export is transferred to another engine."""

    tokens: int
    blocks: list[str]


@attrs.frozen
class _Holding:
    kind: str
    item_id: str
    owner: str
    tokens: int
    deadline: float
    blocks: list[str]


class Holdings:
    """Exports and pins by kind and id."""

    def __init__(self, batch: Batch) -> None:
        """Account memory to an engine's batch."""
        self._batch = batch
        self._items: dict[tuple[str, str], _Holding] = {}

    def routes(self) -> list[web.RouteDef]:
        """Return the routes of exports, imports and pins."""
        return [
            web.put('/v1/{kind:exports|pins}/{item}', self._put),
            web.get('/v1/exports/{item}', self._export),
            web.post('/v1/imports/{item}', self._import),
            web.delete('/v1/{kind:exports|pins}/{item}', self._delete),
        ]

    def describe(self) -> list[dict[str, object]]:
        """Describe the exports and pins held, for ``/v1/held``."""
        return [
            describe_holding(
                item.kind,
                item.item_id,
                item.owner,
                item.tokens,
                item.deadline,
                attached=False,
            )
            for item in self._items.values()
        ]

    async def _put(self, http_request: web.Request) -> web.Response:
        wanted = msgspec.json.decode(
            await http_request.read(),
            type=HoldingRequest,
        )
        kind = http_request.match_info['kind'].removesuffix('s')
        item_id = http_request.match_info['item']
        if (kind, item_id) not in self._items:
            self._batch.used_tokens += wanted.tokens
            self._items[kind, item_id] = _Holding(
                kind,
                item_id,
                wanted.owner,
                wanted.tokens,
                monotonic() + wanted.seconds,
                wanted.blocks,
            )
        return web.json_response({})

    async def _export(self, http_request: web.Request) -> web.Response:
        item = self._items.get(('export', http_request.match_info['item']))
        if item is None:
            return web.json_response({'message': 'no such export'}, status=404)
        exported = _Exported(item.tokens, item.blocks)
        return web.Response(
            body=msgspec.json.encode(exported),
            content_type='application/json',
        )

    async def _import(self, http_request: web.Request) -> web.Response:
        """Store blocks in the prefix cache, which evicts on its own."""
        imported = msgspec.json.decode(
            await http_request.read(),
            type=_Exported,
        )
        self._batch.store_blocks(imported.blocks)
        return web.json_response({})

    async def _delete(self, http_request: web.Request) -> web.Response:
        kind = http_request.match_info['kind'].removesuffix('s')
        key = (kind, http_request.match_info['item'])
        item = self._items.pop(key, None)
        if item is not None:
            self._batch.used_tokens -= item.tokens
        return web.json_response({'released': item is not None})


def describe_holding(
    kind: str,
    item_id: str,
    owner: str,
    tokens: int,
    deadline: float,
    attached: bool,
) -> dict[str, object]:
    """Describe a stream, an export or a pin as ``/v1/held`` lists it."""
    return {
        'kind': kind,
        'item_id': item_id,
        'owner': owner,
        'tokens': tokens,
        'remaining': deadline - monotonic(),
        'attached': attached,
    }
