"""The HTTP servers of an instance: for callers and for operators.

The callers' server also reports readiness to the platform's balancer, publishes
metrics, and answers internal errors in the same form as other refusals.
"""

import functools
import logging
from collections.abc import Awaitable, Callable

import attrs
from aiohttp import web
from aioprometheus import render

from ..protocol import callers
from ..protocol.settings import Settings
from ..state.configuration import SnapshotHolder
from ..state.counters import Counters
from ..state.refusals import Ran, Refusal, RefusalCode, Step
from ..transport.addresses import Address
from ..transport.servers import HttpServer
from .configuration import ConfigurationFollower
from .drain import Drain, DrainPhase
from .entry import ANSWER_BEGUN, Entry
from .operators import OperatorApi
from .reception import refuse_stopping

__all__ = ['CallerApi', 'create_servers']

_logger = logging.getLogger(__name__)
#: Bytes of the largest file that an operator may apply.
_MAX_FILE_BYTES = 3 * 1024 * 1024
#: Seconds that a question for readiness waits for the first read of the store.
_FIRST_READ_TIMEOUT = 2.0

#: Paths that are served even while calls are refused.
_ALWAYS_SERVED = frozenset(('/healthz', '/metrics'))

Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]


@attrs.frozen
class CallerApi:
    """Routes for callers and for the platform's balancer."""

    _entry: Entry
    _drain: Drain
    _holder: SnapshotHolder
    _follower: ConfigurationFollower
    _counters: Counters

    def create_application(self) -> web.Application:
        """Build the application: routes, middlewares and response hooks."""
        application = web.Application(
            middlewares=[self._refuse_on_error, self._refuse_when_leaving],
        )
        application.on_response_prepare.append(self._close_when_leaving)
        application.on_response_prepare.append(_record_begun)
        application.add_routes(
            [
                *self._entry.routes(),
                web.get('/healthz', _answer_alive),
                web.get('/readyz', self._answer_ready),
                web.get('/metrics', self._answer_metrics),
            ],
        )
        return application

    @web.middleware
    async def _refuse_when_leaving(
        self,
        http_request: web.Request,
        handler: Handler,
    ) -> web.StreamResponse:
        is_work = http_request.path not in _ALWAYS_SERVED
        if self._drain.phase is DrainPhase.REFUSING and is_work:
            return callers.build_refusal_response(refuse_stopping(), '')
        return await handler(http_request)

    @web.middleware
    async def _refuse_on_error(
        self,
        http_request: web.Request,
        handler: Handler,
    ) -> web.StreamResponse:
        """Turn HTTP errors and unexpected exceptions into refusals."""
        try:
            return await handler(http_request)
        except web.HTTPException as answered:
            return callers.build_refusal_response(_refuse_http(answered), '')
        except Exception:
            _logger.exception('unexpected error in %s', http_request.path)
            return callers.build_refusal_response(_refuse_internal(), '')

    async def _close_when_leaving(
        self,
        _http_request: web.Request,
        response: web.StreamResponse,
    ) -> None:
        """Make callers close persistent connections during the drain.

        A call that arrives on a persistent connection at the moment of exit is
        reset, and its sender cannot know whether it ran.
        """
        if self._drain.phase is not DrainPhase.SERVING:
            response.headers['Connection'] = 'close'
            response.force_close()

    async def _answer_ready(self, _http_request: web.Request) -> web.Response:
        if self._holder.current.revision == 0:
            await self._follower.wait_for_first_read(_FIRST_READ_TIMEOUT)
        if self._drain.phase is not DrainPhase.SERVING:
            return callers.build_refusal_response(refuse_stopping(), '')
        if self._holder.current.revision == 0:
            return callers.build_refusal_response(
                _refuse_unready(self._follower), ''
            )
        return web.Response(text='ready\n')

    async def _answer_metrics(self, http_request: web.Request) -> web.Response:
        body, headers = render(
            self._counters.registry,
            http_request.headers.getall('Accept', []),
        )
        return web.Response(body=body, headers=headers)


def create_servers(
    settings: Settings,
    caller_api: CallerApi,
    operators: OperatorApi,
    counters: Counters,
) -> list[HttpServer]:
    """Create both servers; neither listens before it is started."""
    operator_application = web.Application(client_max_size=_MAX_FILE_BYTES)
    operator_application.add_routes(operators.routes())
    sides = (
        (
            'callers',
            caller_api.create_application(),
            settings.caller_address,
        ),
        ('operators', operator_application, settings.operator_address),
    )
    return [
        HttpServer(
            application,
            Address.from_text(address),
            functools.partial(counters.malformed.inc, {'side': side}),
        )
        for side, application, address in sides
    ]


async def _record_begun(
    http_request: web.Request,
    _response: web.StreamResponse,
) -> None:
    """Record that a response has begun and can no longer be replaced."""
    http_request[ANSWER_BEGUN] = True


async def _answer_alive(_http_request: web.Request) -> web.Response:
    return web.Response(text='alive\n')


def _refuse_http(answered: web.HTTPException) -> Refusal:
    """Turn the HTTP library's own answer, such as 404, into a refusal."""
    known = {code.status: code for code in reversed(RefusalCode)}
    return Refusal(
        known.get(answered.status, RefusalCode.BAD_REQUEST),
        answered.reason,
        Step.RECEIVE,
    )


def _refuse_internal() -> Refusal:
    return Refusal(
        RefusalCode.INTERNAL,
        'internal error; it is not known whether the work ran',
        Step.RELAY,
        ran=Ran.UNKNOWN,
    )


def _refuse_unready(follower: ConfigurationFollower) -> Refusal:
    return Refusal(
        RefusalCode.NOT_READY,
        follower.explain_missing(),
        Step.CONFIGURE,
        retry_after=1,
    )
