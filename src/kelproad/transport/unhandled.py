"""Errors that nobody handles: of detached tasks and of callbacks.

The event loop would only print them.
"""

import asyncio
import logging
from collections.abc import Callable, Mapping

from ..state.records import EVENT_FIELDS

__all__ = ['record_unhandled_errors']

_logger = logging.getLogger(__name__)
#: What an event loop may say of the origin of an error, in this order.
_ORIGINS = ('task', 'future', 'handle', 'transport', 'protocol')
#: Characters of an origin that are logged.
_MAX_SHOWN = 200


def record_unhandled_errors(count: Callable[[str], None]) -> None:
    """Record the errors that the running event loop is told, and count them.

    ``count`` gets what the name of the failed part is, as far as it is known.
    """

    def handle(  # noqa: WPS430  closure
        _loop: asyncio.AbstractEventLoop, context: Mapping[str, object]
    ) -> None:
        origin = _find_origin(context)
        error = context.get('exception')
        _logger.error(
            'error_unhandled',
            extra={
                EVENT_FIELDS: {
                    'origin': _name_origin(origin),
                    'reason': context.get('message'),
                    'where': repr(origin)[:_MAX_SHOWN],
                }
            },
            exc_info=error if isinstance(error, Exception) else None,
        )
        count(_name_origin(origin))

    asyncio.get_running_loop().set_exception_handler(handle)


def _find_origin(context: Mapping[str, object]) -> object:
    found = (context.get(name) for name in _ORIGINS)
    return next((origin for origin in found if origin is not None), None)


def _name_origin(origin: object) -> str:
    """Name a part by its code, which bounds the number of names."""
    if isinstance(origin, asyncio.Task):
        return getattr(origin.get_coro(), '__qualname__', 'task')
    return type(origin).__name__
