"""End of the calls that are in progress when a planned stop ends."""

import logging

from aiohttp import web

from ..state.refusals import Ran, Refusal, RefusalCode, Step
from ..state.requests import Request
from .reception import Arrival, refuse_stopping

__all__ = ['abort_answer', 'may_have_run', 'refuse_interrupted']

_logger = logging.getLogger(__name__)
#: Status of the response on a connection that was aborted.
_ABORTED = 499


def may_have_run(request: Request) -> bool:
    """Return whether a completion that was interrupted may have run.

    The phase can't be used, as the request has ended by now.  Parts are
    attempted as requests of their own.
    """
    if request.parts is not None or request.ran is not Ran.NO:
        return True
    return request.attempts > 0


def refuse_interrupted(was_dispatched: bool) -> Refusal:
    """Refuse a request that was in progress when a stop ended.

    A request that was sent to an endpoint may have run there.
    """
    if not was_dispatched:
        return refuse_stopping()
    return Refusal(
        RefusalCode.ENDPOINT_FAILED,
        'this instance stopped before the answer was complete',
        Step.RELAY,
        ran=Ran.UNKNOWN,
    )


def abort_answer(arrival: Arrival) -> web.Response:
    """Abort a connection, so that the answer can't appear complete."""
    _logger.warning('answer aborted by the end of the stop')
    transport = arrival.http_request.transport
    if transport is not None:
        transport.abort()
    return web.Response(status=_ABORTED)
