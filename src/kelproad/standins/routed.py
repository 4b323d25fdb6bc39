"""Stand-in for an endpoint of the routed interface: engine or plain service.

It answers any path, records the calls that it ran, reserves memory, and injects
faults that are set under ``/control``.  As an engine it sends numbered events
at a fixed pace, as a plain service a text; the query may set the number and
pace of events or the length of the text.  The timing of real engines is not
modelled here, but in ``passes``.
"""

import asyncio
import collections
import json
import os
import types
from collections.abc import Mapping

import attrs
from aiohttp import web

from ..transport.deadlines import monotonic
from .silences import Silences
from .statements import Statements

__all__ = ['RoutedEndpointStandIn']

_REQUEST_ID = 'X-Kelproad-Request-Id'
_EXPECTED = 'X-Kelproad-Expect-Instance'
_NOT_EXECUTED = types.MappingProxyType({'X-Kelproad-Not-Executed': '1'})
_PROMPT_PARTS = 'X-Kelproad-Prompt-Prefix'
#: Most bytes of a body that are read.
_MAX_BODY = 16_777_216
_CRASH_CODE = 70
_MILLISECONDS = 1000.0
_MISDIRECTED = 421
_CONFLICT = 409
_ERROR = 500
_FULL = 503
_OK = 200
_NO_FIELDS: Mapping[str, str] = types.MappingProxyType({})


@attrs.define
class EndpointFaults:
    """How calls are answered at present.

    Attributes
    ----------
    shed
        Refuse calls before they run.
    error
        Run calls and answer with an error.
    lose
        Run calls and abort their connections.
    hang
        Run calls and never answer.
    break_after
        Truncate a stream after this many events, within the next one;
        negative for never.
    crossed
        Answer with the request id of another call.
    pace
        Seconds before each answer, and between two events.
    events
        Number of events of a stream, unless the query says otherwise.
    crash_parts
        Parts of prompts on which the engine crashes once it answers.
    crash_targets
        Texts in the targets of requests on which it does.
    crash_after
        Number of events of the answer after which it crashes.
    crash_silently
        Whether it falls silent, in place of ending its process.
    """

    shed: bool = False
    error: bool = False
    lose: bool = False
    hang: bool = False
    break_after: int = -1
    crossed: bool = False
    pace: float = 0.01
    events: int = 5
    crash_parts: list[str] = attrs.field(factory=list)
    crash_targets: list[str] = attrs.field(factory=list)
    crash_after: int = 0
    crash_silently: bool = False


@attrs.define
class _Ticket:
    """A reservation of memory; ``expires_at`` is a monotonic time."""

    tokens: int
    expires_at: float


class RoutedEndpointStandIn:
    """One endpoint; ``name`` is the id that it is listed with."""

    def __init__(
        self, name: str, born: int = 1, memory_tokens: int = 232_000
    ) -> None:
        """Start without faults and with all memory free.

        ``born`` is the Unix time of the start in milliseconds that it states.
        """
        self._name = name
        self._memory = memory_tokens
        self._tickets: dict[str, _Ticket] = {}
        self._faults = EndpointFaults()
        self._runs: list[dict[str, str]] = []
        self._statements = Statements()
        self._silences = Silences()
        #: Monotonic time and id of each request, rejected ones included, and
        #: whether it was turned away.
        self._arrivals: list[dict[str, object]] = []
        self._disconnected: list[str] = []
        #: Whether it has fallen silent.
        self._silent = False
        self._born = born
        self._orders: collections.Counter[str] = collections.Counter()

    def create_application(self) -> web.Application:
        """Build the application with its control paths."""
        application = web.Application(client_max_size=_MAX_BODY)
        application.add_routes(
            [
                web.put('/control/faults', self._put_faults),
                web.put('/control/limit', self._put_limit),
                web.put('/control/statements', self._put_statements),
                web.put('/control/born', self._put_born),
                web.put('/control/silence', self._silences.handle_put),
                web.get('/control/runs', self._show_runs),
                web.post('/-/order', self._handle_order),
                web.get('/-/report', self._report),
                web.route('*', '/{path:.*}', self._answer),
            ],
        )
        application.on_response_prepare.append(self._silences.hold_head)
        return application

    # Control paths

    async def _put_faults(self, http_request: web.Request) -> web.Response:
        self._faults = EndpointFaults(**await http_request.json())
        return web.json_response({})

    async def _put_limit(self, http_request: web.Request) -> web.Response:
        stated = await http_request.json()
        self._statements.limit = stated['limit']
        return web.json_response({})

    async def _put_statements(self, http_request: web.Request) -> web.Response:
        stated = await http_request.json()
        self._statements = Statements(limit=self._statements.limit, **stated)
        return web.json_response({})

    async def _put_born(self, http_request: web.Request) -> web.Response:
        self._born = (await http_request.json())['born']
        return web.json_response({})

    async def _show_runs(self, _http_request: web.Request) -> web.Response:
        self._drop_expired()
        return web.json_response(
            {
                'runs': self._runs,
                'arrivals': self._arrivals,
                'left': self._disconnected,
                'orders': self._orders,
                'tickets': list(self._tickets),
            },
        )

    # Memory

    async def _handle_order(self, http_request: web.Request) -> web.Response:
        order = await http_request.json()
        self._orders[order['operation']] += 1
        self._drop_expired()
        if order['operation'] == 'release':
            self._tickets.pop(order['id'], None)
            return self._reply({'free': self._count_free()})
        if self._statements.turn_away_replies:
            return self._turn_reply_away()
        renewed = self._tickets.get(order['id'])
        held = renewed.tokens if renewed else 0
        if order['token_count'] > self._count_free() + held:
            return self._reply({'free': 0}, _CONFLICT)
        self._tickets[order['id']] = _Ticket(
            order['token_count'],
            monotonic() + order['hold_ms'] / _MILLISECONDS,
        )
        return self._reply({'free': self._count_free()})

    async def _report(self, _http_request: web.Request) -> web.Response:
        await self._hang_if_silent()
        self._orders['report'] += 1
        if self._statements.turn_away_replies:
            return self._turn_reply_away()
        return self._reply({'kv_total': self._memory, 'born': self._born})

    def _turn_reply_away(self) -> web.Response:
        fields = self._statements.build_pause_fields()
        return self._reply({}, _FULL, fields)

    def _reply(
        self,
        document: dict[str, object],
        status: int = _OK,
        fields: Mapping[str, str] = _NO_FIELDS,
    ) -> web.Response:
        """Build the reply to a report or an order."""
        stated = self._statements.build_reply_fields()
        return web.json_response(
            document, status=status, headers={**stated, **fields}
        )

    def _drop_expired(self) -> None:
        now = monotonic()
        for name, ticket in list(self._tickets.items()):
            if ticket.expires_at < now:
                self._tickets.pop(name)

    def _count_free(self) -> int:
        held = sum(ticket.tokens for ticket in self._tickets.values())
        return self._memory - held

    # Calls

    async def _hang_if_silent(self) -> None:
        if self._silent:
            await asyncio.Event().wait()

    async def _answer(self, http_request: web.Request) -> web.StreamResponse:
        await self._hang_if_silent()
        turned_away = self._statements.turns_away()
        self._arrivals.append(
            {
                'at': monotonic(),
                'request': http_request.headers.get(_REQUEST_ID, ''),
                'turned_away': turned_away,
            },
        )
        expected = http_request.headers.get(_EXPECTED, self._name)
        if expected != self._name:
            return web.Response(
                status=_MISDIRECTED, headers=self._build_statements()
            )
        if self._is_poisoned(http_request):
            _print_event('poisoned', http_request)
        if self._faults.shed or turned_away:
            pause = self._statements.build_pause_fields()
            return web.Response(
                status=_FULL,
                headers={**_NOT_EXECUTED, **self._build_statements(), **pause},
            )
        if self._is_poisoned(http_request):
            _print_event('ran', http_request)
        body = await http_request.read()
        self._runs.append(
            {
                'method': http_request.method,
                'target': http_request.raw_path,
                'body': body.decode(errors='replace'),
                **http_request.headers,
            },
        )
        try:
            return await self._run(http_request)
        except (asyncio.CancelledError, ConnectionError):
            self._disconnected.append(http_request.headers.get(_REQUEST_ID, ''))
            raise

    async def _run(self, http_request: web.Request) -> web.StreamResponse:
        faults = self._faults
        await asyncio.sleep(faults.pace)
        if faults.hang:
            await asyncio.Event().wait()
        if faults.lose:
            http_request.transport.abort()
        if faults.error:
            return web.Response(
                status=_ERROR,
                headers=self._build_headers(http_request),
                text='failed here',
            )
        if 'X-Kelproad-Token-Count' in http_request.headers:
            return await self._write_events(http_request)
        if self._is_poisoned(http_request):
            await self._crash(http_request)
            await self._hang_if_silent()
        length = int(http_request.query.get('bytes', 0))
        return web.Response(
            headers=self._build_headers(http_request),
            text=f'answer of {self._name}'.ljust(length),
        )

    async def _write_events(
        self,
        http_request: web.Request,
    ) -> web.StreamResponse:
        response = web.StreamResponse(
            headers={
                **self._build_headers(http_request),
                'Content-Type': 'text/event-stream',
            },
        )
        await response.prepare(http_request)
        last = int(http_request.headers.get('Last-Event-Id', 0))
        events = int(http_request.query.get('events', self._faults.events))
        mark = self._build_mark(http_request, last)
        requested_pace = float(http_request.query.get('pace', 0))
        crashes = self._is_poisoned(http_request)
        for number in range(last + 1, events + 1):
            if crashes and number - last > self._faults.crash_after:
                await self._crash(http_request)
            await self._hang_if_silent()
            await self._silences.hold_event(http_request, number, events)
            if number - last == self._faults.break_after + 1:
                await response.write(f'id: {number}\ndata: bro'.encode())
                http_request.transport.close()
                return response
            event = f'id: {number}\ndata: piece {number}{mark}\n\n'
            await response.write(event.encode())
            pace = max(self._faults.pace, requested_pace)
            await self._silences.pace(http_request, pace)
        return response

    def _build_mark(self, http_request: web.Request, last: int) -> str:
        """Build what marks the events of a run, if the query asks for it."""
        if 'marked' not in http_request.query:
            return ''
        return f' of {self._name}/{len(self._runs)}/{last}'

    def _is_poisoned(self, http_request: web.Request) -> bool:
        parts = {
            entry.partition(':')[0]
            for entry in http_request.headers.get(_PROMPT_PARTS, '').split(',')
        }
        return not parts.isdisjoint(self._faults.crash_parts) or any(
            text in http_request.raw_path for text in self._faults.crash_targets
        )

    async def _crash(self, http_request: web.Request) -> None:
        """End this process, or let it fall silent; tell of it before."""
        _print_event('crashed', http_request)
        if not self._faults.crash_silently:
            os._exit(_CRASH_CODE)  # noqa: WPS437  no cleanup, as in a crash
        self._silent = True

    def _build_headers(self, http_request: web.Request) -> dict[str, str]:
        request_id = http_request.headers.get(_REQUEST_ID, '')
        return {
            _REQUEST_ID: 'ffff' if self._faults.crossed else request_id,
            'X-Kelproad-Server-Stamp': f'stamp.{self._name}.{request_id}',
            **self._build_statements(),
        }

    def _build_statements(self) -> dict[str, str]:
        return self._statements.build_answer_fields()


def _print_event(event: str, http_request: web.Request) -> None:
    """Print an event of a request, for tests to read after a crash."""
    fields = {
        'event': event,
        'at': monotonic(),
        'request': http_request.headers.get(_REQUEST_ID, ''),
    }
    print(json.dumps(fields), flush=True)  # noqa: WPS421  standard output
