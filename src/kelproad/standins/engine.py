"""Stand-in for a model engine: its HTTP interface and its faults.

Streams whose connection broke stay in memory until they are resumed or
cancelled, as real engines with resumable streams keep them.
"""

import asyncio
import time

import attrs
import msgspec
from aiohttp import web

from ..transport.deadlines import monotonic
from .batch import (
    Batch,
    EngineSettings,
    Stream,
    count_tokens,
    digest_blocks,
)
from .orders import OrderedModels, fetch_weights, skip_weights

__all__ = ['EngineSettings', 'EngineStandIn']

_MAX_BODY = 64 * 1024 * 1024
_TOMBSTONES_KEPT = 10_000


@attrs.define
class _Faults:
    """What goes wrong at present.

    Attributes
    ----------
    cut_after
        Connections break after this many events; 0 for never.
    clean_cut
        A connection that breaks ends as if the answer were complete.
    crossed, doubled, skipped
        Every so many events, one of another attempt comes in between, one
        comes twice, or one is left out; 0 for never.
    slowness
        Factor by which every step takes longer.
    lose_cancels
        Number of cancels still to come that are not heard.
    refuse
        Completions are refused before anything runs.
    """

    cut_after: int = 0
    clean_cut: bool = False
    crossed: int = 0
    doubled: int = 0
    skipped: int = 0
    slowness: float = 1.0
    lose_cancels: int = 0
    refuse: bool = False


class EngineStandIn:
    """The engine as callers of its HTTP interface see it."""

    def __init__(self, settings: EngineSettings, models: list[str]) -> None:
        """Serve models from empty memory."""
        self._settings = settings
        self._batch = Batch(settings)
        self._streams: dict[str, Stream] = {}
        self._cancelled: dict[str, None] = {}
        self._faults = _Faults()
        self._leaving = False
        self._incarnation = str(time.time_ns())
        weights = settings.weights_address
        self._orders = OrderedModels(
            models,
            self._incarnation,
            settings.enforces_fencing,
            fetch_weights(weights) if weights else skip_weights,
            lambda: len(self._streams),
        )
        self._loads: list[tuple[float, dict[str, object]]] = []
        self._ran: list[str] = []
        self._tasks: list[asyncio.Task[None]] = []

    def create_application(self) -> web.Application:
        """Build the application to serve."""
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
        fields = msgspec.json.decode(body, type=dict[str, msgspec.Raw])
        refused = self._check(attempt_id, fields)
        if refused is not None:
            return refused
        stream = self._create_stream(http_request, attempt_id, fields)
        self._streams[attempt_id] = stream
        self._ran.append(attempt_id)
        self._batch.add(stream)
        return await self._send(http_request, stream, 0)

    def _check(
        self,
        attempt_id: str,
        fields: dict[str, msgspec.Raw],
    ) -> web.Response | None:
        prompt = fields.get('prompt') or fields.get('messages')
        if prompt is None:
            return _refuse('bad_request', 'no prompt')
        if attempt_id in self._cancelled or attempt_id in self._streams:
            return _refuse('conflict', 'the attempt was cancelled or is here')
        if self._faults.refuse or self._leaving:
            return _refuse('unavailable', 'no new work is taken')
        if count_tokens(bytes(prompt)) >= self._settings.memory_tokens:
            return _refuse('too_large', 'the prompt exceeds the memory', 413)
        return None

    def _create_stream(
        self,
        http_request: web.Request,
        attempt_id: str,
        fields: dict[str, msgspec.Raw],
    ) -> Stream:
        headers = http_request.headers
        chat = 'messages' in fields
        prompt = bytes(fields['messages' if chat else 'prompt'])
        limit = fields.get('max_tokens')
        return Stream(
            attempt_id=attempt_id,
            owner=headers.get('X-Owner', ''),
            priority=int(headers.get('X-Priority', '0')),
            deadline=monotonic() + float(headers['X-Deadline-Seconds']),
            prompt_tokens=count_tokens(prompt),
            max_tokens=msgspec.json.decode(limit, type=int)
            if limit
            else self._settings.default_max_tokens,
            model=msgspec.json.decode(fields['model'], type=str),
            chat=chat,
            blocks=digest_blocks(prompt),
        )

    async def _resume(self, http_request: web.Request) -> web.StreamResponse:
        stream = self._streams.get(http_request.match_info['attempt'])
        if stream is None or stream.cancelled:
            return web.json_response({'message': 'not held'}, status=404)
        return await self._send(
            http_request,
            stream,
            int(http_request.query.get('from', '0')),
        )

    async def _cancel(self, http_request: web.Request) -> web.Response:
        if self._faults.lose_cancels > 0:
            self._faults.lose_cancels -= 1
            http_request.transport.abort()
            return web.Response()
        attempt_id = http_request.match_info['attempt']
        # A cancel may overtake its dispatch; the tombstone refuses it then.
        self._cancelled[attempt_id] = None
        while len(self._cancelled) > _TOMBSTONES_KEPT:
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
    ) -> web.StreamResponse:
        """Send events from a number on; free the memory after the last."""
        response = web.StreamResponse(
            headers={'Content-Type': 'text/event-stream'},
        )
        await response.prepare(http_request)
        sent = 0
        while not stream.cancelled:
            await stream.wait_beyond(number)
            for payload in stream.events[number:]:
                if self._faults.cut_after and sent >= self._faults.cut_after:
                    return await self._cut(http_request, response)
                await self._send_event(response, stream, number, payload)
                number += 1
                sent += 1
            if stream.done and number >= len(stream.events):
                await self._release(stream)
                await response.write_eof()
                return response
        http_request.transport.abort()
        return response

    async def _send_event(
        self,
        response: web.StreamResponse,
        stream: Stream,
        number: int,
        payload: bytes,
    ) -> None:
        faults = self._faults
        event = _encode_event(stream.attempt_id, number, payload)
        position = number + 1
        if faults.crossed and position % faults.crossed == 0:
            await response.write(_encode_event('stranger', number, payload))
        if faults.skipped and position % faults.skipped == 0:
            return
        await response.write(event)
        if faults.doubled and position % faults.doubled == 0:
            await response.write(event)

    async def _cut(
        self,
        http_request: web.Request,
        response: web.StreamResponse,
    ) -> web.StreamResponse:
        if self._faults.clean_cut:
            await response.write_eof()
        else:
            http_request.transport.abort()
        return response

    # Reports

    async def _list_held(self, _http_request: web.Request) -> web.Response:
        now = monotonic()
        held = [
            {
                'kind': 'stream',
                'item_id': stream.attempt_id,
                'owner': stream.owner,
                'tokens': stream.memory,
                'remaining': stream.deadline - now,
            }
            for stream in self._streams.values()
        ]
        return web.json_response(
            {'held': held, 'used_tokens': self._batch.used_tokens},
        )

    async def _show_load(self, _http_request: web.Request) -> web.Response:
        visible = monotonic() - self._settings.load_lag
        shown = [load for since, load in self._loads if since <= visible]
        load = shown[-1] if shown else self._measure_load()
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
        events = [
            {'number': number, 'kind': kind, 'block': block}
            for number, (kind, block) in enumerate(self._batch.cache_events, 1)
            if number > after and not (gap and number % gap == 0)
        ]
        return web.json_response({'events': events})

    # Switches

    async def _put_faults(self, http_request: web.Request) -> web.Response:
        self._faults = msgspec.json.decode(
            await http_request.read(),
            type=_Faults,
        )
        self._batch.slowness = self._faults.slowness
        return web.json_response({})

    async def _put_leaving(self, _http_request: web.Request) -> web.Response:
        self._leaving = True
        return web.json_response({})

    async def _show_ran(self, _http_request: web.Request) -> web.Response:
        return web.json_response(self._ran)


def _encode_event(attempt_id: str, number: int, payload: bytes) -> bytes:
    return b'id: %b.%d\ndata: %b\n\n' % (attempt_id.encode(), number, payload)


def _refuse(code: str, message: str, status: int = 503) -> web.Response:
    return web.json_response(
        {'code': code, 'message': message, 'ran': 'no'},
        status=status,
    )
