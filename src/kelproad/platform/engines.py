"""Orders to engines that reserve and release memory."""

import logging
import types
from collections.abc import Callable, Mapping

import aiohttp
import attrs
import msgspec
from returns.result import Failure, Result, Success

from ..state.problems import UNREADABLE_ERRORS
from ..state.records import record
from ..state.statements import EndpointStatements
from ..transport.exchanges import ExchangeFailure, Reply, exchange
from .statements import read_statements

__all__ = ['OrderClient']

_logger = logging.getLogger(__name__)
#: Seconds for an order.  Engines answer within a few milliseconds, and a
#: prompt that waits for memory can wait some seconds.
_ORDER_TIMEOUT = 0.3
_OK = 200
_CONFLICT = 409
_NO_FIELDS: Mapping[str, str] = types.MappingProxyType({})
_JSON_FIELDS: Mapping[str, str] = types.MappingProxyType(
    {'Content-Type': 'application/json'}
)
#: Bytes of a reply, whose longest part is a list of reservations.
_MAX_REPLY_BYTES = 1_048_576
#: Bytes of an engine's refusal that are logged.
_MAX_SHOWN = 100


class _Reserve(msgspec.Struct):
    """Order to reserve memory under an id that names no model or call."""

    id: str
    token_count: int
    #: Length of the lease, from the arrival of the order.
    hold_ms: int
    operation: str = 'reserve'
    #: Whether the engine admits nothing else until the memory is free.
    wait: bool = False


class _Release(msgspec.Struct):
    """Order to release the memory reserved under an id."""

    id: str
    operation: str = 'release'


class _Report(msgspec.Struct):
    """The fields used of an engine's report about itself.

    ``pace`` grows as the engine gets slower.
    """

    pace: float = 1
    #: Unix millisecond of the engine's start, 0 when not stated.
    born: int = 0


_decode_report = msgspec.json.Decoder(_Report).decode


@attrs.frozen
class OrderClient:
    """Client of engines; sends each order on a new connection.

    ``_observe`` gets the address and the statements of each reply.
    """

    _session: aiohttp.ClientSession
    _observe: Callable[[str, EndpointStatements], None]

    async def reserve(
        self,
        address: str,
        ticket: str,
        tokens: int,
        seconds: float,
    ) -> Result[None, str]:
        """Reserve memory for ``seconds``, or renew the reservation."""
        order = _Reserve(ticket, tokens, int(seconds * 1000))
        return await self._send_order(address, order)

    async def claim(
        self,
        address: str,
        ticket: str,
        tokens: int,
        seconds: float,
    ) -> bool:
        """Reserve memory; return whether the engine may have it.

        One that does not answer, or answers something else, may.
        """
        order = _Reserve(ticket, tokens, int(seconds * 1000))
        answered = await self._post_order(address, order)
        refused = answered.map(lambda reply: reply.status == _CONFLICT)
        return not refused.value_or(False)

    async def release(self, address: str, ticket: str) -> Result[None, str]:
        """End the reservation that the ticket identifies."""
        return await self._send_order(address, _Release(ticket))

    async def read_slowdown(self, address: str) -> Result[float, str]:
        """Read the ratio of an engine's durations to its published ones.

        It is 1 when the report doesn't state it; an engine that doesn't
        answer is a failure.
        """
        report = await self._read_report(address)
        return report.map(lambda read: read.pace)

    async def read_incarnation(self, address: str) -> Result[str, str]:
        """Read the incarnation of an engine, as its entry would have it.

        It is empty when the report doesn't state it.
        """
        report = await self._read_report(address)
        return report.map(lambda read: str(read.born) if read.born else '')

    async def _read_report(self, address: str) -> Result[_Report, str]:
        answered = await self._exchange(address, 'GET', 'report')
        return answered.alt(lambda failure: failure.reason).map(_decode_reply)

    async def _send_order(
        self,
        address: str,
        order: msgspec.Struct,
    ) -> Result[None, str]:
        answered = await self._post_order(address, order)
        return answered.alt(lambda failure: failure.reason).bind(_check_reply)

    async def _post_order(
        self, address: str, order: msgspec.Struct
    ) -> Result[Reply, ExchangeFailure]:
        return await self._exchange(
            address, 'POST', 'order', msgspec.json.encode(order), _JSON_FIELDS
        )

    async def _exchange(
        self,
        address: str,
        method: str,
        operation: str,
        body: bytes | None = None,
        headers: Mapping[str, str] = _NO_FIELDS,
    ) -> Result[Reply, ExchangeFailure]:
        """Send a request to an engine, and hand on what its reply states."""
        answered = await exchange(
            self._session,
            method,
            f'http://{address}/-/{operation}',
            _ORDER_TIMEOUT,
            body,
            headers=headers,
            max_bytes=_MAX_REPLY_BYTES,
        )
        if not isinstance(answered, Failure):
            reply = answered.unwrap()
            statements = read_statements(reply.status, reply.headers)
            self._observe(address, statements)
        return answered


def _decode_reply(reply: Reply) -> _Report:
    """Decode a report; an unreadable one still shows a live engine."""
    try:
        return _decode_report(reply.body)
    except UNREADABLE_ERRORS as error:
        record(_logger, 'engine_report_unreadable', reason=str(error))
        return _Report()


def _check_reply(reply: Reply) -> Result[None, str]:
    if reply.status == _OK:
        return Success(None)
    return Failure(f'status {reply.status}: {reply.body[:_MAX_SHOWN]!r}')
