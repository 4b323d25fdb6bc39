"""Orders to engines: reserving and releasing memory."""

import aiohttp
import attrs
import msgspec
from returns.result import Failure, Result, Success

from ..transport.exchanges import Reply, exchange

__all__ = ['OrderClient']

#: Seconds for an order; engines answer within a few milliseconds, and a
#: prompt that waits for memory has some seconds.
_ORDER_TIMEOUT = 0.3
_DONE = 200
#: Bytes of an engine's refusal that go to the log.
_MOST_SHOWN = 100


class _Reserve(msgspec.Struct):
    """Set memory aside under an id of ours, which names no model or call."""

    id: str
    token_count: int
    #: A lease; it runs from the arrival of the order.
    hold_ms: int
    operation: str = 'reserve'
    #: Whether the engine is to admit nothing else until there is room.
    wait: bool = False


class _Release(msgspec.Struct):
    """Let memory go that is set aside under an id."""

    id: str
    operation: str = 'release'


@attrs.frozen
class OrderClient:
    """Sends orders, each on a connection of its own."""

    _session: aiohttp.ClientSession

    async def reserve(
        self,
        address: str,
        ticket: str,
        tokens: int,
        seconds: float,
    ) -> Result[None, str]:
        """Reserve memory for some seconds, or renew a reservation."""
        order = _Reserve(ticket, tokens, int(seconds * 1000))
        return await self._give(address, order)

    async def release(self, address: str, ticket: str) -> Result[None, str]:
        """End a reservation."""
        return await self._give(address, _Release(ticket))

    async def is_alive(self, address: str) -> bool:
        """Tell whether an engine answers at all, by asking for its report."""
        answered = await exchange(
            self._session,
            'GET',
            f'http://{address}/-/report',
            _ORDER_TIMEOUT,
        )
        return not isinstance(answered, Failure)

    async def _give(
        self,
        address: str,
        order: msgspec.Struct,
    ) -> Result[None, str]:
        answered = await exchange(
            self._session,
            'POST',
            f'http://{address}/-/order',
            _ORDER_TIMEOUT,
            msgspec.json.encode(order),
            headers={'Content-Type': 'application/json'},
        )
        return answered.alt(lambda failure: failure.reason).bind(_sort_reply)


def _sort_reply(reply: Reply) -> Result[None, str]:
    if reply.status == _DONE:
        return Success(None)
    return Failure(f'status {reply.status}: {reply.body[:_MOST_SHOWN]!r}')
