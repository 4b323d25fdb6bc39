"""HTTP servers of an instance: for callers, balancer, operators and peers."""

import logging
from collections.abc import Awaitable, Callable

import attrs
from aiohttp import web
from aioprometheus import render
from multidict import MultiMapping

from ...state.counters import Counters
from ...state.endpointtable import EndpointTable
from ...state.records import record
from ...state.routes import IngressLimits
from ...state.work import WorkLedger
from ...transport.addresses import Address
from ...transport.callerconnections import ConnectionTimeouts
from ...transport.requesthandlers import InputBounds
from ...transport.servers import HttpServer
from ..drain import Drain, DrainPhase
from .admission.dialect import Dialect
from .membership.catchup import CONFIGURATION_PATH
from .settings import NodeSettings
from .tables.relaying import TABLE_PATH, build_answer, read_after, read_zone
from .tables.tablestates import Revision, TableState

__all__ = ['NodeServers', 'describe_endpoints', 'describe_work']

_logger = logging.getLogger(__name__)
#: Largest header field in bytes that is read at all; operators limit the size
#: of all headers, to 16 KiB at present, in the configuration.
_HEADER_BYTES = 65_536
#: Bytes by which a head may be longer than operators permit and is still
#: refused with an answer; beyond that its connection is closed.
_REFUSED_BYTES = 65_536
#: Seconds that calls in progress have when the server closes.  The planned stop
#: has waited for them already, and the kill is near.
_SHUTDOWN_SECONDS = 0.1
_READY = 200
_UNREADY = 503
_FORBIDDEN = 403
_NOT_FOUND = 404
#: Port of the metrics and the dump, on the IP number of the instance.
METRICS_PORT = 9464

Answer = Callable[[web.Request], Awaitable[web.StreamResponse]]


@attrs.frozen
class NodeServers:
    """Creates the HTTP servers of an instance."""

    _settings: NodeSettings
    _dialect: Dialect
    _answer: Answer
    _explain_unready: Callable[[], str]
    _drain: Drain
    _counters: Counters
    _describe: Callable[[], dict[str, object]]
    _list_changes: Callable[[str, Revision | None, bool], TableState | None]
    _read_limits: Callable[[], IngressLimits]
    _is_instance: Callable[[str], Awaitable[bool]]
    _read_configuration: Callable[[], bytes | None]

    def create_caller_server(self) -> HttpServer:
        """Create the server for calls."""
        callers = web.Application()
        callers.on_response_prepare.append(self._close_when_leaving)
        callers.add_routes([web.route('*', '/{path:.*}', self._answer_call)])
        return HttpServer(
            callers,
            self._settings.caller_address,
            lambda: self._counters.malformed.inc({'side': 'callers'}),
            read_timeouts=self._read_timeouts,
            decode_bodies=False,
            shutdown_timeout=_SHUTDOWN_SECONDS,
            bounds=InputBounds.from_machine(
                self._settings.descriptors,
                self._settings.memory_bytes,
                _HEADER_BYTES,
                self._read_head_bytes,
            ),
            on_unhandled=self._record_unhandled,
        )

    def create_ready_server(self) -> HttpServer:
        """Create the server for the balancer's readiness checks."""
        ready = web.Application()
        ready.add_routes([web.get(self._dialect.ready_path, self._serve_ready)])
        return HttpServer(ready, self._settings.ready_address)

    def create_metrics_server(self) -> HttpServer:
        """Create the server for operators: metrics and the dump."""
        metrics = web.Application()
        metrics.add_routes(
            [
                web.get('/metrics', self._serve_metrics),
                web.get('/dump', self._serve_dump),
            ],
        )
        return HttpServer(metrics, Address(self._settings.ip, METRICS_PORT))

    def create_peer_server(self) -> HttpServer:
        """Create the server of tables for other instances."""
        peers = web.Application()
        peers.add_routes(
            [
                web.get(f'{TABLE_PATH}{{table}}', self._serve_table),
                web.get(CONFIGURATION_PATH, self._serve_configuration),
            ]
        )
        address = Address(self._settings.ip, self._settings.peer_port)
        return HttpServer(peers, address)

    async def _answer_call(
        self,
        http_request: web.Request,
    ) -> web.StreamResponse:
        return await self._answer(http_request)

    def _record_unhandled(self, headers: MultiMapping[str], by: str) -> None:
        """Record a call that was read and ends without an answer."""
        record(
            _logger,
            'call_dropped',
            request=self._dialect.read_request_id(headers),
            by=by,
        )

    def _read_head_bytes(self) -> int:
        return self._read_limits().max_header_bytes + _REFUSED_BYTES

    def _read_timeouts(self) -> ConnectionTimeouts:
        limits = self._read_limits()
        return ConnectionTimeouts(limits.header_timeout, limits.idle_timeout)

    async def _close_when_leaving(
        self,
        _http_request: web.Request,
        response: web.StreamResponse,
    ) -> None:
        """Close the connection after an answer while the instance stops."""
        if self._drain.phase is not DrainPhase.SERVING:
            response.headers['Connection'] = 'close'
            response.force_close()

    async def _serve_table(self, http_request: web.Request) -> web.Response:
        table = http_request.match_info['table']
        if not await self._is_permitted(http_request):
            return web.Response(status=_FORBIDDEN)
        within_zone = read_zone(http_request) == self._settings.zone
        return build_answer(
            self._list_changes(table, read_after(http_request), within_zone),
        )

    async def _serve_configuration(
        self, http_request: web.Request
    ) -> web.Response:
        if not await self._is_permitted(http_request):
            return web.Response(status=_FORBIDDEN)
        held = self._read_configuration()
        if held is None:
            return web.Response(status=_NOT_FOUND)
        return web.Response(body=held)

    async def _is_permitted(self, http_request: web.Request) -> bool:
        """Return whether an instance asks, as tables hold callers' keys."""
        if await self._is_instance(http_request.remote or ''):
            return True
        record(
            _logger,
            'table_refused',
            host=http_request.remote,
            path=http_request.path,
        )
        return False

    async def _serve_ready(self, _http_request: web.Request) -> web.Response:
        reason = self._explain_unready()
        return web.Response(
            status=_UNREADY if reason else _READY,
            text=f'{reason or "ready"}\n',
        )

    async def _serve_metrics(self, http_request: web.Request) -> web.Response:
        body, headers = render(
            self._counters.registry,
            http_request.headers.getall('Accept', []),
        )
        return web.Response(body=body, headers=headers)

    async def _serve_dump(self, _http_request: web.Request) -> web.Response:
        return web.json_response(self._describe())


def describe_work(ledger: WorkLedger) -> dict[str, object]:
    """Describe this instance's work in flight, by endpoint."""
    return {name: attrs.asdict(work) for name, work in ledger.local.items()}


def describe_endpoints(table: EndpointTable, now: float) -> dict[str, object]:
    """Describe the endpoints with the failures that this instance saw."""
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
