"""Client of a model engine's orders API: its state, and orders to change it."""

import asyncio
import enum

import aiohttp
import msgspec

from ..state.orders import EngineState, Order
from ..state.problems import UNREADABLE_ERRORS
from ..transport.deadlines import monotonic, within

__all__ = ['ORDER_TIMEOUT', 'OrderClient', 'OrderOutcome']

_OK = 200
_CONFLICT = 409
#: Seconds to wait for the answer to an order.
ORDER_TIMEOUT = 1.0


class OrderOutcome(enum.StrEnum):
    """Known result of an order that was sent."""

    ACCEPTED = 'accepted'
    #: The engine has seen a higher fencing token.
    FENCED = 'fenced'
    REFUSED = 'refused'
    #: No answer; the engine may have accepted the order, or may still do so.
    UNKNOWN = 'unknown'


class OrderClient:
    """Client of the orders API of engines.

    The session must not retry by itself: a repeated order could arrive after
    the lease under which it was sent.
    """

    def __init__(self, session: aiohttp.ClientSession) -> None:
        """Use a session that makes a new connection for each request."""
        self._session = session

    async def read_state(self, url: str, timeout: float) -> EngineState | None:
        """Query an engine's state; ``None`` without a valid answer."""
        try:
            async with within(monotonic() + timeout):
                async with self._session.get(
                    f'{url}/v1/state',
                    allow_redirects=False,
                ) as response:
                    body = await response.read()
        except (aiohttp.ClientError, OSError, asyncio.TimeoutError):
            return None
        if response.status != _OK:
            return None
        try:
            return msgspec.json.decode(body, type=EngineState)
        except UNREADABLE_ERRORS:
            return None

    async def send(self, url: str, order: Order) -> OrderOutcome:
        """Send an order; as it names a target state, it may be repeated."""
        try:
            async with within(monotonic() + ORDER_TIMEOUT):
                async with self._session.post(
                    f'{url}/v1/orders',
                    data=msgspec.json.encode(order),
                    allow_redirects=False,
                ) as response:
                    await response.read()
        except (aiohttp.ClientError, OSError, asyncio.TimeoutError):
            return OrderOutcome.UNKNOWN
        if response.status == _OK:
            return OrderOutcome.ACCEPTED
        if response.status == _CONFLICT:
            return OrderOutcome.FENCED
        return OrderOutcome.REFUSED
