"""Stand-in for a model engine: its HTTP interface, with injected faults.

Streams whose connection broke stay in memory until they are resumed or
cancelled, as in real engines with resumable streams.
"""

import asyncio
import time

import msgspec
from aiohttp import web

from ..transport.deadlines import monotonic
from .batch import Batch
from .faults import Faults, FaultyConnection
from .holdings import Holdings, describe_holding
from .orders import ManagedModels, fetch_weights, skip_weights
from .settings import EngineSettings
from .streams import RawFields, Stream, count_tokens

__all__ = ['EngineSettings', 'EngineStandIn']

#: Bytes of a request body.
_MAX_BODY = 64 * 1024 * 1024
#: Cancelled attempts that are remembered, the latest ones.
_MAX_TOMBSTONES = 10_000


class EngineStandIn:
    """HTTP interface of the engine and its control paths."""

    def __init__(self, settings: EngineSettings, models: list[str]) -> None:
        """Serve models, each given as ``name`` or ``name@version``."""
        self._settings = settings
        self._batch = Batch(settings)
        self._streams: dict[str, Stream] = {}
        self._cancelled: dict[str, None] = {}
        self._faults = Faults()
        self._holdings = Holdings(self._batch)
        self._leaving = False
        self._refuses_new = False
        self._incarnation = str(time.time_ns())
        self._model = models[0].partition('@')[0]
        weights = settings.weights_address
        self._orders = ManagedModels(
            models,
            self._incarnation,
            settings.enforces_fencing,
            fetch_weights(weights) if weights else skip_weights,
            lambda: len(self._streams),
        )
        self._loads: list[tuple[float, dict[str, object]]] = []
        self._accepted_ids: list[str] = []
        self._accepted_at: list[float] = []
        self._tasks: list[asyncio.Task[None]] = []

    def create_application(self) -> web.Application:
        """Build the application, which runs the engine while it is served."""
        application = web.Application(client_max_size=_MAX_BODY)
        application.add_routes(
            [
                web.post('/v1/completions', self._complete),
                web.post('/v1/chat/completions', self._complete),
                web.get('/v1/streams/{attempt}', self._resume),
                web.delete('/v1/streams/{attempt}', self._cancel),
                web.get('/v1/held', self._list_held),
                web.get('/v1/load', self._show_load),
                web.get('/v1/cache-events', self._list_cache_events),
                web.put('/control/faults', self._put_faults),
                web.put('/control/leaving', self._put_leaving),
                web.get('/control/ran', self._show_ran),
                web.get('/control/times', self._show_times),
                *self._holdings.routes(),
            ],
        )
        application.add_routes(self._orders.routes())
        application.on_cleanup.append(self._orders.stop)
        application.on_startup.append(self._start)
        application.on_cleanup.append(self._stop)
        return application

    async def _start(self, _application: web.Application) -> None:
        self._tasks = [
            asyncio.create_task(self._batch.run()),
            asyncio.create_task(self._sample_load()),
        ]

    async def _stop(self, _application: web.Application) -> None:
        for task in self._tasks:
            task.cancel()

    # Streams

    async def _complete(self, http_request: web.Request) -> web.StreamResponse:
        attempt_id = http_request.headers['X-Attempt-Id']
        body = await http_request.read()
        await asyncio.sleep(self._faults.delay_dispatch)
        fields = msgspec.json.decode(body, type=RawFields)
        refused = self._check_request(attempt_id, fields)
        if refused is not None:
            return refused
        stream = Stream.from_request(
            http_request.headers,
            fields,
            self._settings,
        )
        continued = self._continue(stream, fields)
        self._streams[attempt_id] = stream
        self._accepted_ids.append(attempt_id)
        self._accepted_at.append(time.time())
        self._batch.add(stream)
        await asyncio.sleep(self._faults.delay_head)
        return await self._send(http_request, stream, 0, continued)

    def _continue(self, stream: Stream, fields: RawFields) -> int:
        """Continue the text given, if any, and return its length in bytes."""
        if not self._settings.continues or 'continue_from' not in fields:
            return 0
        text = msgspec.json.decode(fields['continue_from'], type=str)
        return len(text.encode()) if stream.continue_from(text) else 0

    def _check_request(
        self,
        attempt_id: str,
        fields: RawFields,
    ) -> web.Response | None:
        prompt = fields.get('prompt') or fields.get('messages')
        if prompt is None:
            return _refuse('bad_request', 'no prompt')
        if attempt_id in self._cancelled or attempt_id in self._streams:
            return _refuse(
                'conflict', 'the attempt was cancelled or already exists'
            )
        if self._faults.refuse or self._refuses_new:
            return _refuse('unavailable', 'no new work is accepted')
        model = msgspec.json.decode(fields['model'], type=str)
        if model not in self._orders.list_ready():
            return _refuse('unavailable', 'the model is not ready')
        if count_tokens(bytes(prompt)) >= self._settings.memory_tokens:
            return _refuse('too_large', 'the prompt exceeds the memory', 413)
        return None

    async def _resume(self, http_request: web.Request) -> web.StreamResponse:
        attempt_id = http_request.match_info['attempt']
        stream = self._streams.get(attempt_id)
        number = int(http_request.query.get('from', '0'))
        if stream is None and self._faults.forge_resumes:
            stream = Stream.create_forged(attempt_id, self._model, number)
            self._streams[attempt_id] = stream
            self._batch.add(stream)
        if stream is None or stream.cancelled:
            return web.json_response({'message': 'no such stream'}, status=404)
        return await self._send(http_request, stream, number)

    async def _cancel(self, http_request: web.Request) -> web.Response:
        if self._faults.lose_cancels > 0:
            self._faults.lose_cancels -= 1
            http_request.transport.abort()
            return web.Response()
        attempt_id = http_request.match_info['attempt']
        # A cancel may overtake its dispatch, which the tombstone then refuses.
        self._cancelled[attempt_id] = None
        while len(self._cancelled) > _MAX_TOMBSTONES:
            self._cancelled.pop(next(iter(self._cancelled)))
        stream = self._streams.pop(attempt_id, None)
        if stream is not None:
            await self._release(stream)
        return web.json_response({'released': stream is not None})

    async def _release(self, stream: Stream) -> None:
        self._streams.pop(stream.attempt_id, None)
        self._batch.release(stream)
        async with stream.changed:
            stream.changed.notify_all()

    async def _send(
        self,
        http_request: web.Request,
        stream: Stream,
        number: int,
        continued: int = 0,
    ) -> web.StreamResponse:
        """Send events from a number on; free the memory after the last one."""
        headers = {
            'Content-Type': 'text/event-stream',
            'X-Engine-Incarnation': self._incarnation,
        }
        if continued:
            headers['X-Continued-Bytes'] = str(continued)
        response = web.StreamResponse(headers=headers)
        await response.prepare(http_request)
        connection = FaultyConnection(
            http_request,
            response,
            stream.attempt_id,
            self._faults,
        )
        stream.connections += 1
        try:
            await self._send_events(connection, stream, number)
        finally:
            stream.connections -= 1
        if self._faults.forget and not stream.done:
            await self._forget()
        if stream.cancelled and not stream.done:
            http_request.transport.abort()
        return response

    async def _send_events(
        self,
        connection: FaultyConnection,
        stream: Stream,
        number: int,
    ) -> None:
        while not stream.cancelled:
            await stream.wait_for_events(number)
            for payload in stream.events[number:]:
                if not await connection.send(number, payload):
                    return
                number += 1
            if stream.done and number >= len(stream.events):
                await self._release(stream)
                await connection.end()

    async def _forget(self) -> None:
        self._incarnation = str(time.time_ns())
        for stream in list(self._streams.values()):
            await self._release(stream)

    # Reports

    async def _list_held(self, _http_request: web.Request) -> web.Response:
        held = [
            describe_holding(
                'stream',
                stream.attempt_id,
                stream.owner,
                stream.memory,
                stream.deadline,
                stream.connections > 0,
            )
            for stream in self._streams.values()
        ]
        held += self._holdings.describe()
        return web.json_response(
            {'held': held, 'used_tokens': self._batch.used_tokens},
        )

    async def _show_load(self, _http_request: web.Request) -> web.Response:
        visible_until = monotonic() - self._settings.load_lag
        visible_loads = [
            load
            for sampled_at, load in self._loads
            if sampled_at <= visible_until
        ]
        load = visible_loads[-1] if visible_loads else self._measure_load()
        return web.json_response({**load, 'leaving': self._leaving})

    async def _sample_load(self) -> None:
        while True:
            self._loads.append((monotonic(), self._measure_load()))
            self._loads = self._loads[-100:]
            await asyncio.sleep(self._settings.load_lag / 5 or 1)

    def _measure_load(self) -> dict[str, object]:
        return {
            'incarnation': self._incarnation,
            'waiting_tokens': self._batch.waiting_tokens,
            'running': self._batch.running,
            'used_tokens': self._batch.used_tokens,
            'models': self._orders.list_ready(),
        }

    async def _list_cache_events(
        self,
        http_request: web.Request,
    ) -> web.Response:
        after = int(http_request.query.get('after', '0'))
        gap = self._settings.event_gap
        visible_until = monotonic() - self._settings.event_lag
        events = [
            {'number': number, 'kind': event.kind, 'block': event.block}
            for number, event in enumerate(self._batch.cache_events, 1)
            if number > after
            and event.at <= visible_until
            and not (gap and number % gap == 0)
        ]
        return web.json_response({'events': events})

    # Control paths

    async def _put_faults(self, http_request: web.Request) -> web.Response:
        self._faults = msgspec.json.decode(
            await http_request.read(),
            type=Faults,
        )
        self._batch.slowness = self._faults.slowness
        return web.json_response({})

    async def _put_leaving(self, http_request: web.Request) -> web.Response:
        """Report from now on that the engine is leaving.

        Calls are still accepted, unless the query has ``refuse=yes``.
        """
        self._leaving = True
        self._refuses_new = http_request.query.get('refuse') == 'yes'
        return web.json_response({})

    async def _show_ran(self, _http_request: web.Request) -> web.Response:
        return web.json_response(self._accepted_ids)

    async def _show_times(self, _http_request: web.Request) -> web.Response:
        """List the Unix time at which each attempt was accepted, in order."""
        return web.json_response(self._accepted_at)


def _refuse(code: str, message: str, status: int = 503) -> web.Response:
    return web.json_response(
        {'code': code, 'message': message, 'ran': 'no'},
        status=status,
    )
