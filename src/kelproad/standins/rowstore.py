"""Stand-in for the platform's row store: rows, transactions, changes.

It implements the published protocol for rows; paths under ``/control`` inject
outages, delays, lost answers, lost history, and the return from a copy.
"""

import asyncio
import base64
import collections
import contextlib

import attrs
import msgspec
from aiohttp import web

from ..transport.deadlines import monotonic
from .storefaults import Handler, delay_call, send_slowly

__all__ = ['RowStoreStandIn']

#: Table, part and key of a row.
RowId = tuple[str, str, str]
#: Rows of one answer.
_MAX_ROWS = 500
_MILLISECONDS = 1000
_ERA = 'Store-Era'
#: Tables that transactions may not write.
_PROTECTED = frozenset(('op', 'servers'))


class _Row(msgspec.Struct):
    table: str
    part: str
    key: str
    value: str = ''
    row_version: int = 0
    deleted: bool = False


class _Transaction(msgspec.Struct):
    expected_revision: list[_Row] = []
    puts: list[_Row] = []
    remove: list[_Row] = []


@attrs.define
class StoreFaults:
    """The faults that are injected at present.

    Attributes
    ----------
    status
        Every call is answered with this status; 0 for none.
    hang
        No call is answered.
    delay
        Seconds by which every call is delayed.
    bytes_per_second
        Rate at which the body of each answer is sent; 0 for all at once.
    lose_answers
        Number of further writes that take effect but are not answered.
    """

    status: int = 0
    hang: bool = False
    delay: float = 0
    bytes_per_second: float = 0
    lose_answers: int = 0


@attrs.frozen
class _Copy:
    """What the store held when it was copied."""

    rows: dict[RowId, _Row]
    history: list[_Row]
    oldest_revision: int
    version: int


class RowStoreStandIn:
    """Rows in tables that share one version counter."""

    def __init__(self) -> None:
        """Start without rows and without faults."""
        self._rows: dict[RowId, _Row] = {}
        self._history: list[_Row] = []
        self._oldest_revision = 0
        self._version = 0
        self._copy = _Copy({}, [], 0, 0)
        self._era = 1
        #: What is stated in place of the era; ``None`` for the era itself.
        self._stated_era: str | None = None
        self._changed = asyncio.Condition()
        self._faults = StoreFaults()
        self._calls: collections.Counter[str] = collections.Counter()

    def create_application(self) -> web.Application:
        """Build the application with its control paths."""
        application = web.Application(middlewares=[self._apply_faults])
        application.on_response_prepare.append(self._state_era)
        application.add_routes(
            [
                web.post('/-/rows-tx', self._transact),
                web.get('/-/rows-get', self._read),
                web.get('/-/rows-feed', self._feed),
                web.put('/control/rows/{table}/{key:.+}', self._put_row),
                web.delete('/control/rows/{table}/{key:.+}', self._drop_row),
                web.put('/control/faults', self._put_faults),
                web.post('/control/forget', self._forget_history),
                web.get('/control/calls', self._show_calls),
                web.post('/control/copy', self._take_copy),
                web.post('/control/restore', self._restore),
                web.put('/control/era', self._put_era),
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
        self._calls[http_request.path] += 1
        await delay_call(self._faults.hang, self._faults.delay)
        if self._faults.status:
            return web.Response(status=self._faults.status)
        response = await handler(http_request)
        rate = self._faults.bytes_per_second
        if rate and isinstance(response, web.Response):
            return await send_slowly(http_request, response, rate)
        return response

    # The protocol

    async def _transact(self, http_request: web.Request) -> web.StreamResponse:
        transaction = msgspec.json.decode(
            await http_request.read(),
            type=_Transaction,
        )
        tables = {row.table for row in (*transaction.puts, *transaction.remove)}
        if tables & _PROTECTED:
            return web.Response(status=403)
        current = [self._find(row) for row in transaction.expected_revision]
        for expected, held in zip(
            transaction.expected_revision,
            current,
            strict=True,
        ):
            if expected.row_version != held.row_version:
                return self._answer(current, status=412)
        await self._write(transaction.puts, transaction.remove)
        if self._faults.lose_answers:
            self._faults.lose_answers -= 1
            http_request.transport.abort()
        return self._answer([])

    async def _read(self, http_request: web.Request) -> web.Response:
        query = http_request.query
        first_key = query.get('from', '')
        limit = min(int(query.get('limit', _MAX_ROWS)), _MAX_ROWS)
        found = [
            row
            for row_id, row in sorted(self._rows.items())
            if row_id[:2] == (query['table'], query.get('part', ''))
            and row_id[2] >= first_key
        ]
        return self._answer(found[:limit], has_more=len(found) > limit)

    async def _feed(self, http_request: web.Request) -> web.Response:
        query = http_request.query
        after = int(query['after_revision'])
        limit = monotonic() + int(query.get('wait_ms', 0)) / _MILLISECONDS
        while True:
            if self._faults.status:
                return web.Response(status=self._faults.status)
            if not self._oldest_revision <= after <= self._version:
                return web.Response(status=410)
            found = [
                row
                for row in self._history
                if row.row_version > after and row.table == query['table']
            ]
            left = limit - monotonic()
            if found or left <= 0:
                return self._answer(found)
            # Rows may be written between the end of the wait and this task's
            # next turn, so it looks for them again.
            with contextlib.suppress(asyncio.TimeoutError):
                async with self._changed:
                    await asyncio.wait_for(self._changed.wait(), left)

    # Control paths

    async def _put_row(self, http_request: web.Request) -> web.Response:
        """Write a row, any table included; the request body is its value."""
        segments = http_request.match_info
        value = base64.b64encode(await http_request.read()).decode()
        await self._write(
            [_Row(segments['table'], '', segments['key'], value)], []
        )
        return web.json_response({})

    async def _drop_row(self, http_request: web.Request) -> web.Response:
        segments = http_request.match_info
        await self._write([], [_Row(segments['table'], '', segments['key'])])
        return web.json_response({})

    async def _put_faults(self, http_request: web.Request) -> web.Response:
        self._faults = StoreFaults(**await http_request.json())
        # Calls that wait for changes end too when an outage begins.
        await self._notify()
        return web.json_response({})

    async def _forget_history(
        self,
        _http_request: web.Request,
    ) -> web.Response:
        self._version += 1
        self._oldest_revision = self._version
        self._history = []
        await self._notify()
        return web.json_response({})

    async def _take_copy(self, _http_request: web.Request) -> web.Response:
        self._copy = _Copy(
            dict(self._rows),
            list(self._history),
            self._oldest_revision,
            self._version,
        )
        return web.json_response({'version': self._version})

    async def _restore(self, _http_request: web.Request) -> web.Response:
        """Return to the copy, in a new era."""
        lost = self._version
        self._rows = dict(self._copy.rows)
        self._history = list(self._copy.history)
        self._oldest_revision = self._copy.oldest_revision
        self._version = self._copy.version
        self._era += 1
        await self._notify()
        return web.json_response({'version': self._version, 'lost': lost})

    async def _put_era(self, http_request: web.Request) -> web.Response:
        """Set what is stated in place of the era; empty for no field."""
        self._stated_era = (await http_request.json())['stated']
        return web.json_response({})

    async def _state_era(
        self, _http_request: web.Request, response: web.StreamResponse
    ) -> None:
        stated = self._stated_era
        if stated is None:
            stated = str(self._era)
        if stated:
            response.headers[_ERA] = stated

    async def _show_calls(self, _http_request: web.Request) -> web.Response:
        return web.json_response(self._calls)

    # Rows

    def _find(self, row: _Row) -> _Row:
        absent = _Row(row.table, row.part, row.key)
        return self._rows.get((row.table, row.part, row.key), absent)

    async def _write(self, puts: list[_Row], removed: list[_Row]) -> None:
        self._version += 1
        for row in puts:
            row.row_version = self._version
            self._rows[row.table, row.part, row.key] = row
            self._history.append(row)
        for row in removed:
            row.row_version = self._version
            row.deleted = True
            self._rows.pop((row.table, row.part, row.key), None)
            self._history.append(row)
        await self._notify()

    async def _notify(self) -> None:
        async with self._changed:
            self._changed.notify_all()

    def _answer(
        self,
        rows: list[_Row],
        has_more: bool = False,
        status: int = 200,
    ) -> web.Response:
        body = {
            'rows': rows,
            'has_more': has_more,
            'row_version': self._version,
            'now_ms': int(monotonic() * _MILLISECONDS),
        }
        return web.Response(
            status=status,
            body=msgspec.json.encode(body),
            content_type='application/json',
        )
