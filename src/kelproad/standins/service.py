"""Stand-in for a plain service that records entries, such as logged test runs.

It counts the effects of calls by the reference that the caller sends, so that a
test can detect work that ran twice.
"""

import asyncio
import collections

import attrs
import msgspec
from aiohttp import web

__all__ = ['ServiceStandIn']


@attrs.define
class _Faults:
    """The faults that are injected at present.

    Attributes
    ----------
    delay
        Seconds between the effect and the answer.
    lose_answers
        Number of further calls that take effect but are not answered.
    refuse
        Number of further calls that are refused without any effect.
    """

    delay: float = 0
    lose_answers: int = 0
    refuse: int = 0


class ServiceStandIn:
    """Service that records entries and counts how often each was recorded."""

    def __init__(self) -> None:
        """Start without entries and without faults."""
        self._effects: collections.Counter[str] = collections.Counter()
        self._faults = _Faults()

    def create_application(self) -> web.Application:
        """Build the application with its control path."""
        application = web.Application()
        application.add_routes(
            [
                web.get('/entries', self._list_entries),
                web.get('/headers', self._show_headers),
                web.post('/entries', self._record_entry),
                web.put('/entries/{name}', self._record_entry),
                web.put('/control/faults', self._put_faults),
            ],
        )
        return application

    async def _list_entries(self, _http_request: web.Request) -> web.Response:
        return web.json_response(dict(self._effects))

    async def _show_headers(self, http_request: web.Request) -> web.Response:
        return web.json_response(dict(http_request.headers))

    async def _record_entry(self, http_request: web.Request) -> web.Response:
        faults = self._faults
        if faults.refuse > 0:
            faults.refuse -= 1
            return web.json_response({'booked': False}, status=503)
        body = msgspec.json.decode(await http_request.read(), type=dict)
        reference = str(body['reference'])
        self._effects[reference] += 1
        if faults.lose_answers > 0:
            faults.lose_answers -= 1
            http_request.transport.abort()
        await asyncio.sleep(faults.delay)
        return web.json_response({'booked': True, 'reference': reference})

    async def _put_faults(self, http_request: web.Request) -> web.Response:
        self._faults = msgspec.json.decode(
            await http_request.read(),
            type=_Faults,
        )
        return web.json_response({})
