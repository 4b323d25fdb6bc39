"""A source of token streams, and a minimal relay in front of it.

Both run as processes of the stream benchmark.  The source implements the
engines' protocol and sends tokens at a fixed interval; the relay only copies
bytes with aiohttp, as the baseline for an instance.
"""

import argparse
import asyncio
import sys

import aiohttp
from aiohttp import web

from kelproad.transport.http import create_session

__all__ = ['create_relay', 'create_source']

_EVENT_STREAM = 'text/event-stream'
_PAYLOAD = (
    '{"id": "x", "object": "text_completion", "created": 0, '
    '"model": "slope-model", "choices": [{"index": 0, "text": " token", '
    '"finish_reason": null}]}'
)


def create_source(interval: float, seconds: float) -> web.Application:
    """Build an engine that streams a token every ``interval`` seconds."""

    async def stream(http_request: web.Request) -> web.StreamResponse:
        attempt = http_request.headers.get('X-Attempt-Id', 'none')
        await http_request.read()
        response = web.StreamResponse(headers={'Content-Type': _EVENT_STREAM})
        await response.prepare(http_request)
        count = max(1, int(seconds / interval))
        for number in range(count):
            event = f'id: {attempt}.{number}\ndata: {_PAYLOAD}\n\n'
            try:
                await response.write(event.encode())
            except ConnectionError:
                return response
            await asyncio.sleep(interval)
        final_event = f'id: {attempt}.{count}\ndata: [DONE]\n\n'
        await response.write(final_event.encode())
        return response

    async def show_load(_http_request: web.Request) -> web.Response:
        load = {'incarnation': '1', 'models': ['slope-model']}
        return web.json_response(load)

    async def cancel(_http_request: web.Request) -> web.Response:
        return web.json_response({'released': False})

    application = web.Application()
    application.add_routes(
        [
            web.post('/v1/completions', stream),
            web.get('/v1/load', show_load),
            web.get('/v1/held', show_load),
            web.delete('/v1/streams/{attempt}', cancel),
        ],
    )
    return application


def create_relay(target: str) -> web.Application:
    """Build a relay to ``target`` that copies each chunk as it arrives."""
    sessions: list[aiohttp.ClientSession] = []

    async def relay(http_request: web.Request) -> web.StreamResponse:
        if not sessions:
            sessions.append(create_session())
        body = await http_request.read()
        url = f'http://{target}{http_request.path}'
        async with sessions[0].post(url, data=body) as upstream:
            response = web.StreamResponse(
                headers={'Content-Type': _EVENT_STREAM},
            )
            await response.prepare(http_request)
            async for chunk in upstream.content.iter_any():
                try:
                    await response.write(chunk)
                except ConnectionError:
                    return response
        return response

    application = web.Application()
    application.add_routes([web.post('/v1/completions', relay)])
    return application


def _main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument('role', choices=['source', 'relay'])
    parser.add_argument('--port', type=int, required=True)
    parser.add_argument('--hosts', type=int, default=1)
    parser.add_argument('--target', default='')
    parser.add_argument('--interval', type=float, default=1)
    parser.add_argument('--seconds', type=float, default=1)
    options = parser.parse_args()
    if options.role == 'source':
        application = create_source(options.interval, options.seconds)
    else:
        application = create_relay(options.target)
    web.run_app(
        application,
        host=[f'127.0.0.{number + 1}' for number in range(options.hosts)],
        port=options.port,
        print=None,
        access_log=None,
        backlog=4096,
    )


if __name__ == '__main__':
    sys.exit(_main())
