"""The addresses on which an instance listens, and what it tells there."""

from collections.abc import Awaitable, Callable

import attrs
from aiohttp import web
from aioprometheus import render

from ...state.counters import Counters
from ...state.endpoints import EndpointTable
from ...state.work import WorkLedger
from ...transport.addresses import Address
from ...transport.servers import HttpServer
from ..drain import Drain, DrainPhase
from .dialect import Dialect
from .relaying import TABLE_PATH, build_answer, read_after, read_zone
from .settings import NodeSettings
from .tablestates import TableState

__all__ = ['Surfaces', 'describe_endpoints', 'describe_work']

#: Seconds that idle connections of callers are kept: beyond what operators
#: permit, as callers use one that was idle for less.
_CALLER_KEEPALIVE = 120.0
#: Largest header field that is read at all; operators bound the whole head, to
#: 16 KiB today, by the configuration.
_HEADER_BYTES = 65_536
#: Seconds that calls in hand still have when the server closes.  The planned
#: stop has waited for them already, and the kill is near.
_FAREWELL_SECONDS = 0.1
_READY = 200
_UNREADY = 503
#: Port of the metrics and the dump, on the instance's own address.
METRICS_PORT = 9464

Answer = Callable[[web.Request], Awaitable[web.StreamResponse]]


@attrs.frozen
class Surfaces:
    """What is served to callers, to the balancer and to operators."""

    _settings: NodeSettings
    _dialect: Dialect
    _answer: Answer
    _explain_unready: Callable[[], str]
    _drain: Drain
    _counters: Counters
    _describe: Callable[[], dict[str, object]]
    _list_changes: Callable[[str, int | None, bool], TableState | None]

    def create_caller_server(self) -> HttpServer:
        """Create the server that takes calls."""
        callers = web.Application()
        callers.on_response_prepare.append(self._close_when_leaving)
        callers.add_routes([web.route('*', '/{path:.*}', self._answer_call)])
        return HttpServer(
            callers,
            self._settings.caller_address,
            lambda: self._counters.malformed.inc({'side': 'callers'}),
            keepalive=_CALLER_KEEPALIVE,
            decode_bodies=False,
            farewell=_FAREWELL_SECONDS,
            header_bytes=_HEADER_BYTES,
        )

    def create_ready_server(self) -> HttpServer:
        """Create the server that tells whether calls should come here."""
        ready = web.Application()
        ready.add_routes([web.get(self._dialect.ready_path, self._tell_ready)])
        return HttpServer(ready, self._settings.ready_address)

    def create_metrics_server(self) -> HttpServer:
        """Create the server of metrics and of the dump."""
        metrics = web.Application()
        metrics.add_routes(
            [
                web.get('/metrics', self._tell_metrics),
                web.get('/dump', self._tell_dump),
            ],
        )
        return HttpServer(metrics, Address(self._settings.ip, METRICS_PORT))

    def create_peer_server(self) -> HttpServer:
        """Create the server that hands tables on to other instances."""
        peers = web.Application()
        peers.add_routes([web.get(f'{TABLE_PATH}{{table}}', self._tell_table)])
        own = Address(self._settings.ip, self._settings.peer_port)
        return HttpServer(peers, own)

    async def _answer_call(
        self,
        http_request: web.Request,
    ) -> web.StreamResponse:
        return await self._answer(http_request)

    async def _close_when_leaving(
        self,
        _http_request: web.Request,
        response: web.StreamResponse,
    ) -> None:
        """Have callers leave kept connections of a stopping instance."""
        if self._drain.phase is not DrainPhase.SERVING:
            response.headers['Connection'] = 'close'
            response.force_close()

    async def _tell_table(self, http_request: web.Request) -> web.Response:
        table = http_request.match_info['table']
        within_zone = read_zone(http_request) == self._settings.zone
        return build_answer(
            self._list_changes(table, read_after(http_request), within_zone),
        )

    async def _tell_ready(self, _http_request: web.Request) -> web.Response:
        reason = self._explain_unready()
        return web.Response(
            status=_UNREADY if reason else _READY,
            text=f'{reason or "ready"}\n',
        )

    async def _tell_metrics(self, http_request: web.Request) -> web.Response:
        body, headers = render(
            self._counters.registry,
            http_request.headers.getall('Accept', []),
        )
        return web.Response(body=body, headers=headers)

    async def _tell_dump(self, _http_request: web.Request) -> web.Response:
        return web.json_response(self._describe())


def describe_work(ledger: WorkLedger) -> dict[str, object]:
    """Describe the work of this instance that is in flight."""
    return {name: attrs.asdict(work) for name, work in ledger.own.items()}


def describe_endpoints(table: EndpointTable, now: float) -> dict[str, object]:
    """Describe the endpoints as this instance sees them."""
    return {
        name: {
            'service': endpoint.group.name,
            'address': endpoint.declaration.address,
            'leaving': endpoint.leaving,
            'failing': endpoint.failures.estimate(now),
            'ejected_for': max(0, endpoint.ejected_until - now),
        }
        for name, endpoint in table.all().items()
    }
