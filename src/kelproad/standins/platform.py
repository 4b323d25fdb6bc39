"""Stand-in for the platform: tables, objects, weights, list of instances.

Paths under ``/control`` inject outages, delays, and answers that are lost after
their write took effect.
"""

import asyncio
import collections

import attrs
import msgspec
from aiohttp import web

from ..protocol.store import ABSENT, ListedInstance, Listing, Row, Write
from ..transport.deadlines import monotonic
from .storefaults import Handler, delay_call

__all__ = ['Faults', 'PlatformStandIn']

#: Bytes of an object.
_MAX_OBJECT = 32 * 1024 * 1024


@attrs.define
class Faults:
    """The faults that are injected at present.

    Attributes
    ----------
    down
        Every call is answered with status 503 at once.
    hang
        No call is answered.
    delay
        Seconds by which every call is delayed.
    delay_answers
        Seconds between the effect of a write and its answer.
    lose_answers
        Number of further writes that take effect but are not answered.
    lose_writes
        Number of further writes that neither take effect nor are answered.
    late_writes
        Number of further writes that take effect ``lateness`` seconds after
        their connection was aborted.
    only
        Path prefix of the writes that the four settings above apply to; empty
        for all.
    """

    down: bool = False
    hang: bool = False
    delay: float = 0
    delay_answers: float = 0
    lose_answers: int = 0
    lose_writes: int = 0
    late_writes: int = 0
    lateness: float = 0.3
    only: str = ''


@attrs.frozen
class _Transaction:
    writes: list[Write]


class PlatformStandIn:
    """Tables with conditional transactions, objects and a delayed list.

    Attributes
    ----------
    calls
        Number of calls by method and path, those under ``/control`` excluded.
    """

    def __init__(self, lag: float = 1.0, weight_loads: int = 2) -> None:
        """Start empty.

        Parameters
        ----------
        lag
            Seconds after which a change shows in the list of instances.
        weight_loads
            Number of fetches of weights that may run at the same time.
        """
        self._tables: dict[str, dict[str, Row]] = collections.defaultdict(dict)
        self._blobs: dict[str, bytes] = {}
        self._instances: dict[str, ListedInstance] = {}
        self._leaving: set[str] = set()
        self._lag = lag
        self._listings: list[tuple[float, Listing]] = [
            (float('-inf'), Listing([])),
        ]
        self._weights = asyncio.Semaphore(weight_loads)
        self.faults = Faults()
        self._late_writes: set[asyncio.Task[None]] = set()
        self.calls: collections.Counter[str] = collections.Counter()

    def create_application(self) -> web.Application:
        """Build the application with its control paths."""
        application = web.Application(
            client_max_size=_MAX_OBJECT,
            middlewares=[self._apply_faults],
        )
        application.add_routes(
            [
                web.post('/tables/transact', self._transact),
                web.get('/tables/{table}/row', self._read_row),
                web.get('/tables/{table}/rows', self._scan_rows),
                web.put('/objects/{key:.+}', self._put_object),
                web.get('/objects/{key:.+}', self._get_object),
                web.get('/members', self._list_instances),
                web.get('/weights/{model}/{version}', self._fetch_weights),
                web.put('/control/members/{name}', self._put_member),
                web.delete('/control/members/{name}', self._drop_member),
                web.put('/control/leaving/{name}', self._put_leaving),
                web.put('/control/faults', self._put_faults),
                web.get('/control/calls', self._show_calls),
                web.get('/control/rows/{table}', self._show_rows),
            ],
        )
        return application

    @web.middleware
    async def _apply_faults(
        self,
        http_request: web.Request,
        handler: Handler,
    ) -> web.StreamResponse:
        if http_request.path.startswith('/control'):
            return await handler(http_request)
        self.calls[f'{http_request.method} {http_request.path}'] += 1
        faults = self.faults
        if faults.down:
            return web.Response(status=503, text='outage')
        await delay_call(faults.hang, faults.delay)
        if http_request.method == 'GET':
            return await handler(http_request)
        return await self._write_with_faults(http_request, handler)

    async def _write_with_faults(
        self,
        http_request: web.Request,
        handler: Handler,
    ) -> web.StreamResponse:
        faults = self.faults
        if not http_request.path.startswith(faults.only):
            return await handler(http_request)
        if faults.lose_writes > 0:
            faults.lose_writes -= 1
            http_request.transport.abort()
            return web.Response()
        if faults.late_writes > 0:
            faults.late_writes -= 1
            await http_request.read()
            # In a separate task, since the server cancels the handler of a
            # connection that is closed.
            late_write = asyncio.create_task(
                self._write_late(http_request, handler),
            )
            self._late_writes.add(late_write)
            http_request.transport.abort()
            return web.Response()
        answer = await handler(http_request)
        await asyncio.sleep(faults.delay_answers)
        if faults.lose_answers > 0:
            faults.lose_answers -= 1
            http_request.transport.abort()
        return answer

    async def _write_late(
        self,
        http_request: web.Request,
        handler: Handler,
    ) -> None:
        await asyncio.sleep(self.faults.lateness)
        await handler(http_request)

    # Tables

    async def _transact(self, http_request: web.Request) -> web.Response:
        transaction = msgspec.json.decode(
            await http_request.read(),
            type=_Transaction,
        )
        conflicts = [
            write.key
            for write in transaction.writes
            if not self._matches_expectation(write)
        ]
        if conflicts:
            return web.json_response({'conflicts': conflicts}, status=409)
        for write in transaction.writes:
            self._write(write)
        return web.json_response({})

    def _matches_expectation(self, write: Write) -> bool:
        row = self._tables[write.table].get(write.key)
        version = row.version if row else ABSENT
        return write.expect is None or write.expect == version

    def _write(self, write: Write) -> None:
        table = self._tables[write.table]
        if write.body is None:
            table.pop(write.key, None)
            return
        row = table.get(write.key)
        version = row.version + 1 if row else 1
        table[write.key] = Row(write.key, version, write.body)

    async def _read_row(self, http_request: web.Request) -> web.Response:
        table = self._tables[http_request.match_info['table']]
        row = table.get(http_request.query['key'])
        return _answer_rows([row] if row else [])

    async def _scan_rows(self, http_request: web.Request) -> web.Response:
        query = http_request.query
        prefix, after = query.get('prefix', ''), query.get('after', '')
        table = self._tables[http_request.match_info['table']]
        keys = sorted(
            key for key in table if key.startswith(prefix) and key > after
        )
        selected = keys[: int(query.get('limit', '500'))]
        return _answer_rows([table[key] for key in selected])

    # Objects and weights

    async def _put_object(self, http_request: web.Request) -> web.Response:
        key = http_request.match_info['key']
        self._blobs[key] = await http_request.read()
        return web.json_response({})

    async def _get_object(self, http_request: web.Request) -> web.Response:
        body = self._blobs.get(http_request.match_info['key'])
        if body is None:
            return web.Response(status=404)
        return web.Response(body=body)

    async def _fetch_weights(self, http_request: web.Request) -> web.Response:
        if self._weights.locked():
            return web.Response(status=429, headers={'Retry-After': '1'})
        async with self._weights:
            await asyncio.sleep(float(http_request.query.get('seconds', '0.2')))
        return web.json_response({})

    # Instances

    async def _list_instances(self, _http_request: web.Request) -> web.Response:
        visible_until = monotonic() - self._lag
        visible = [
            listing
            for changed_at, listing in self._listings
            if changed_at <= visible_until
        ]
        return _answer(visible[-1])

    async def _put_member(self, http_request: web.Request) -> web.Response:
        instance = msgspec.json.decode(
            await http_request.read(),
            type=ListedInstance,
        )
        self._instances[instance.name] = instance
        return self._change_listing()

    async def _drop_member(self, http_request: web.Request) -> web.Response:
        self._instances.pop(http_request.match_info['name'], None)
        return self._change_listing()

    async def _put_leaving(self, http_request: web.Request) -> web.Response:
        self._leaving.add(http_request.match_info['name'])
        return self._change_listing()

    def _change_listing(self) -> web.Response:
        listing = Listing(
            list(self._instances.values()),
            sorted(self._leaving),
        )
        self._listings.append((monotonic(), listing))
        return web.json_response({})

    # Control paths

    async def _put_faults(self, http_request: web.Request) -> web.Response:
        self.faults = msgspec.json.decode(
            await http_request.read(),
            type=Faults,
        )
        return web.json_response({})

    async def _show_calls(self, _http_request: web.Request) -> web.Response:
        return web.json_response(dict(self.calls))

    async def _show_rows(self, http_request: web.Request) -> web.Response:
        table = self._tables[http_request.match_info['table']]
        return _answer_rows(list(table.values()))


def _answer_rows(rows: list[Row]) -> web.Response:
    return _answer({'rows': rows})


def _answer(content: object) -> web.Response:
    return web.Response(
        body=msgspec.json.encode(content),
        content_type='application/json',
    )
