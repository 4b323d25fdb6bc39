"""The operators' API of an instance, on a port of its own."""

from collections.abc import Awaitable, Callable

import attrs
import msgspec
from aiohttp import web
from returns.result import Failure

from ..protocol import callers
from ..protocol.settings import Settings
from ..state.counters import Counters
from ..state.refusals import Refusal, RefusalCode, Step
from ..state.requests import DecisionLog
from . import admission
from .configuration import ConfigurationWriter, Submission
from .dump import Dump

__all__ = ['OperatorApi']

Handler = Callable[[web.Request, str], Awaitable[web.Response]]
_JSON = 'application/json'


@attrs.frozen
class _ApplyBody:
    text: str
    source: str
    base_generation: int
    apply_id: str
    dry_run: bool = False


class OperatorApi:
    """Answers operators; every call needs a token."""

    def __init__(
        self,
        settings: Settings,
        writer: ConfigurationWriter,
        dump: Dump,
        decisions: DecisionLog,
        counters: Counters,
        start_drain: Callable[[], None],
    ) -> None:
        """Answer from the parts of this instance."""
        self._settings = settings
        self._writer = writer
        self._dump = dump
        self._decisions = decisions
        self._counters = counters
        self._start_drain = start_drain

    def routes(self) -> list[web.RouteDef]:
        """List the paths that operators may call."""
        return [
            web.post('/operator/apply', self._guard(self._apply)),
            web.get('/operator/files/{name}', self._guard(self._get_file)),
            web.get('/operator/files', self._guard(self._list_files)),
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
                callers.read_bearer(http_request),
            )
            accepted = not isinstance(operator, Failure)
            self._counters.operator_calls.inc(
                {'outcome': 'accepted' if accepted else 'unauthenticated'},
            )
            if not accepted:
                return callers.answer_refusal(operator.failure(), '')
            return await handle(http_request, operator.unwrap())

        return authenticate_first

    async def _apply(
        self,
        http_request: web.Request,
        operator: str,
    ) -> web.Response:
        try:
            body = msgspec.json.decode(
                await http_request.read(),
                type=_ApplyBody,
            )
        except msgspec.DecodeError as error:
            return callers.answer_refusal(
                Refusal(RefusalCode.BAD_REQUEST, str(error), Step.RECEIVE),
                '',
            )
        submission = Submission(
            body.text,
            body.source,
            body.base_generation,
            operator,
            body.apply_id,
        )
        outcome = await self._writer.apply(submission, body.dry_run)
        if not isinstance(outcome, Failure):
            return _answer(outcome.unwrap())
        failed = outcome.failure()
        if isinstance(failed, Refusal):
            return callers.answer_refusal(failed, '')
        return _answer(
            {
                'error': {'code': RefusalCode.INVALID, 'step': Step.CONFIGURE},
                'problems': [str(problem) for problem in failed],
            },
            RefusalCode.INVALID.status,
        )

    async def _get_file(
        self,
        http_request: web.Request,
        _operator: str,
    ) -> web.Response:
        name = http_request.match_info['name']
        applied = self._dump.holder.current.files.get(name)
        if applied is None or not applied.digest:
            return callers.answer_refusal(
                Refusal(
                    RefusalCode.NOT_FOUND,
                    f'no file {name!r} is in force',
                    Step.CONFIGURE,
                ),
                '',
            )
        return _answer(
            {
                'name': name,
                'generation': applied.generation,
                'revision': applied.revision,
                'text': applied.text,
            },
        )

    async def _list_files(
        self,
        _http_request: web.Request,
        _operator: str,
    ) -> web.Response:
        snapshot = self._dump.holder.current
        return _answer(
            {
                'revision': snapshot.revision,
                'files': [
                    {
                        'name': applied.name,
                        'generation': applied.generation,
                        'revision': applied.revision,
                    }
                    for applied in snapshot.files.values()
                    if applied.digest
                ],
            },
        )

    async def _show_status(
        self,
        _http_request: web.Request,
        _operator: str,
    ) -> web.Response:
        return _answer(self._dump.summarize())

    async def _show_dump(
        self,
        _http_request: web.Request,
        _operator: str,
    ) -> web.Response:
        return _answer(self._dump.describe())

    async def _explain(
        self,
        http_request: web.Request,
        _operator: str,
    ) -> web.Response:
        request_id = http_request.match_info['request_id']
        decision = self._decisions.get(request_id)
        if decision is None:
            return callers.answer_refusal(
                Refusal(
                    RefusalCode.NOT_FOUND,
                    'this instance does not remember the request',
                    Step.RECEIVE,
                ),
                request_id,
            )
        return _answer(decision)

    async def _drain(
        self,
        _http_request: web.Request,
        _operator: str,
    ) -> web.Response:
        self._start_drain()
        return _answer({'draining': True})


def _answer(content: object, status: int = 200) -> web.Response:
    return web.Response(
        status=status,
        body=msgspec.json.encode(content),
        content_type=_JSON,
    )
