"""How calls end that are in hand when a planned stop ends."""

import logging

from aiohttp import web

from ..state.refusals import Ran, Refusal, RefusalCode, Step
from ..state.requests import Request
from .reception import Arrival, refuse_leaving

__all__ = ['break_off', 'may_have_run', 'refuse_cut']

_logger = logging.getLogger(__name__)
#: What a connection that was closed is said to have been answered with.
_BROKEN_OFF = 499


def may_have_run(request: Request) -> bool:
    """Tell whether a completion that was interrupted may have run.

    Its phase tells no more, as it has ended by now.  Parts are attempted as
    requests of their own.
    """
    if request.parts is not None or request.ran is not Ran.NO:
        return True
    return request.attempts > 0


def refuse_cut(was_sent: bool) -> Refusal:
    """Refuse what was in hand when a stop ended.

    What was sent to an endpoint may have run there.
    """
    if not was_sent:
        return refuse_leaving()
    return Refusal(
        RefusalCode.ENDPOINT_FAILED,
        'this instance stopped before the answer was whole',
        Step.RELAY,
        ran=Ran.UNKNOWN,
    )


def break_off(arrival: Arrival) -> web.Response:
    """Close a connection so that the answer on it can't look complete."""
    _logger.warning('the end of the stop breaks an answer off')
    transport = arrival.http_request.transport
    if transport is not None:
        transport.abort()
    return web.Response(status=_BROKEN_OFF)
