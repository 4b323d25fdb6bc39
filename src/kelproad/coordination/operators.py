"""The operators' API of an instance, on a separate port."""

from collections.abc import Awaitable, Callable

from aiohttp import web
from returns.result import Failure

from ..protocol import callers
from ..protocol.settings import Settings
from ..state.counters import Counters
from ..state.refusals import Refusal, RefusalCode, Step
from ..state.requests import DecisionLog
from . import admission
from .acceptance import ConfigurationWriter
from .dump import Dump
from .fileapi import FileApi, answer_json

__all__ = ['OperatorApi']

Handler = Callable[[web.Request, str], Awaitable[web.Response]]


class OperatorApi:
    """Handles operators' calls; every call needs a token."""

    def __init__(
        self,
        settings: Settings,
        writer: ConfigurationWriter,
        dump: Dump,
        decisions: DecisionLog,
        counters: Counters,
        start_drain: Callable[[], None],
    ) -> None:
        """Answer from the given parts; ``start_drain`` begins the stop."""
        self._settings = settings
        self._files = FileApi(writer, dump.holder)
        self._dump = dump
        self._decisions = decisions
        self._counters = counters
        self._start_drain = start_drain

    def routes(self) -> list[web.RouteDef]:
        """List the paths that operators may call."""
        files = self._files
        return [
            web.post('/operator/apply', self._guard(files.apply)),
            web.get('/operator/files/{name}', self._guard(files.get_file)),
            web.get('/operator/files', self._guard(files.list_files)),
            web.get(
                '/operator/history/{name}',
                self._guard(files.list_history),
            ),
            web.get(
                r'/operator/history/{name}/{generation:\d{1,9}}',
                self._guard(files.get_generation),
            ),
            web.get('/operator/status', self._guard(self._show_status)),
            web.get('/operator/dump', self._guard(self._show_dump)),
            web.get(
                '/operator/explain/{request_id}', self._guard(self._explain)
            ),
            web.post('/operator/drain', self._guard(self._drain)),
        ]

    def _guard(
        self,
        handle: Handler,
    ) -> Callable[[web.Request], Awaitable[web.Response]]:
        async def authenticate_first(http_request: web.Request) -> web.Response:
            operator = admission.authenticate_operator(
                self._settings.operator_digests,
                callers.read_bearer_token(http_request),
            )
            accepted = not isinstance(operator, Failure)
            self._counters.operator_calls.inc(
                {'outcome': 'accepted' if accepted else 'unauthenticated'},
            )
            if not accepted:
                return callers.build_refusal_response(operator.failure(), '')
            return await handle(http_request, operator.unwrap())

        return authenticate_first

    async def _show_status(
        self,
        _http_request: web.Request,
        _operator: str,
    ) -> web.Response:
        return answer_json(self._dump.summarize())

    async def _show_dump(
        self,
        _http_request: web.Request,
        _operator: str,
    ) -> web.Response:
        return answer_json(self._dump.describe())

    async def _explain(
        self,
        http_request: web.Request,
        _operator: str,
    ) -> web.Response:
        request_id = http_request.match_info['request_id']
        decision = self._decisions.get(request_id)
        if decision is None:
            return callers.build_refusal_response(
                Refusal(
                    RefusalCode.NOT_FOUND,
                    'this instance has no record of the request',
                    Step.RECEIVE,
                ),
                request_id,
            )
        return answer_json(decision)

    async def _drain(
        self,
        _http_request: web.Request,
        _operator: str,
    ) -> web.Response:
        self._start_drain()
        return answer_json({'draining': True})
