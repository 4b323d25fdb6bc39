"""Handing tables of the store on between the instances of a zone.

What an instance is told is as fresh as the teller's own reading, never fresher:
the age is told with it, and counted from before the question was sent.  So an
answer that was long on its way, or an instance that was suspended between two
lines, can make nobody trust what is old.
"""

import functools
import logging
import math
import zlib
from collections.abc import Awaitable, Callable

import aiohttp
import attrs
import msgspec
from aiohttp import web
from returns.result import Failure, Result, Success

from ...state.counters import Counters
from ...state.records import record
from ...transport.addresses import Address
from ...transport.deadlines import monotonic, read_boottime
from ...transport.exchanges import Reply, exchange
from .probing import Freshness
from .readers import OLDEST_TOLD, Reader, ReaderChoice
from .tablestates import Provenance, StoredRow, TableState

__all__ = [
    'TABLE_PATH',
    'TableRelay',
    'build_answer',
    'read_after',
    'read_zone',
]

_logger = logging.getLogger(__name__)
#: Path under which an instance hands a table on, with the name of the table.
TABLE_PATH = '/tables/'
_AFTER = 'after'
_ZONE = 'zone'
#: Seconds for a question: the way takes 0.2 ms within a zone, and an instance
#: that has a burst of calls may be some 0.1 s behind.
_ASK_TIMEOUT = 0.3
_OK = 200
_CONFLICT = 409


class _Told(msgspec.Struct, array_like=True):
    """A state of a table, as told to a peer.

    ``age`` are the seconds since the teller's own reading, ``back_for`` those
    since the store came back there, ``None`` when it never was away.
    """

    version: int
    age: float
    back_for: float | None
    whole: bool
    packed_rows: bytes


_encode = msgspec.msgpack.Encoder().encode
_decode = msgspec.msgpack.Decoder(_Told).decode
_decode_rows = msgspec.msgpack.Decoder(
    list[tuple[str, bytes | None, int]],
).decode
#: Level of compression, the fastest: a reader tells many peers of each change.
_COMPRESSION = 1


@attrs.frozen
class TableRelay:
    """Asks other instances for one table."""

    _table: str
    _zone: str
    _readers: ReaderChoice
    _probe: Callable[[Reader], Awaitable[Freshness | None]]
    _session: aiohttp.ClientSession
    _port: int
    _counters: Counters

    async def ask(self, after: int | None) -> TableState | None:
        """Ask for what changed since a version, or for all rows.

        Returns
        -------
        TableState | None
            Nothing when no other instance could tell.
        """
        reader = self._readers.choose(monotonic())
        if reader is None:
            return None
        told = await self._ask(reader, after)
        outcome = 'failed' if isinstance(told, Failure) else 'ok'
        self._counters.store_calls.inc(
            {'operation': 'ask_peer', 'outcome': outcome},
        )
        if isinstance(told, Failure):
            record(
                _logger,
                'reader_avoided',
                table=self._table,
                reader=reader.instance,
                reason=told.failure(),
            )
            return None
        within_zone = reader.zone == self._zone
        return _leave_out_old(
            attrs.evolve(
                told.unwrap(),
                provenance=(
                    Provenance.SAME_ZONE
                    if within_zone
                    else Provenance.OTHER_ZONE
                ),
            ),
        )

    async def _ask(
        self,
        reader: Reader,
        after: int | None,
    ) -> Result[TableState, str]:
        """Fetch what changed, if anything did."""
        asked_at = read_boottime()
        freshness = await self._probe(reader)
        if freshness is None:
            self._readers.avoid(reader, monotonic())
            return Failure('no answer')
        table = freshness.tables.get(self._table)
        if table is None:
            self._readers.note_refusal(reader, monotonic())
            return Failure('not told here')
        if after is None or after < table.changed_at:
            return await self._fetch(reader, after)
        return Success(
            TableState(
                table.version,
                [],
                whole=False,
                # An answer that another table's question brought is older
                # than this one's.
                age=table.age + max(0, asked_at - freshness.asked_at),
                back_for=_read_back_for(table.back_for),
            ),
        )

    async def _fetch(
        self,
        reader: Reader,
        after: int | None,
    ) -> Result[TableState, str]:
        query = {_ZONE: self._zone}
        if after is not None:
            query[_AFTER] = str(after)
        address = Address(reader.host, self._port)
        answered = await exchange(
            self._session,
            'GET',
            f'{address.url}{TABLE_PATH}{self._table}',
            _ASK_TIMEOUT,
            query=query,
        )
        told = answered.alt(lambda failure: failure.reason).bind(_read_reply)
        if isinstance(told, Failure):
            self._readers.avoid(reader, monotonic())
        return told


def _leave_out_old(told: TableState) -> TableState | None:
    """Leave out what is so old that the store itself had better be asked.

    The reader is well, and asked again: it may be the first to notice that the
    store is back.
    """
    return told if told.age <= OLDEST_TOLD else None


def build_answer(state: TableState | None) -> web.Response:
    """Build what a peer is told of a table, or that it isn't read here."""
    if state is None:
        return web.Response(status=_CONFLICT, text='not read here\n')
    back_for = state.back_for if math.isfinite(state.back_for) else None
    packed = _pack_rows(tuple(state.rows))
    return web.Response(
        body=_encode(
            _Told(state.version, state.age, back_for, state.whole, packed),
        ),
    )


def read_after(http_request: web.Request) -> int | None:
    """Read since which version a peer asks; all rows when it says none."""
    text = http_request.query.get(_AFTER, '')
    return int(text) if text.isdecimal() else None


def read_zone(http_request: web.Request) -> str:
    """Read the zone of the peer that asks."""
    return http_request.query.get(_ZONE, '')


@functools.lru_cache(maxsize=4)
def _pack_rows(rows: tuple[StoredRow, ...]) -> bytes:
    """Pack rows once for all peers that ask for the same."""
    encoded = _encode([(row.key, row.encoded, row.version) for row in rows])
    return zlib.compress(encoded, _COMPRESSION)


def _read_reply(reply: Reply) -> Result[TableState, str]:
    if reply.status != _OK:
        return Failure(f'status {reply.status}')
    return _read_told(reply.body)


def _read_told(received: bytes) -> Result[TableState, str]:
    try:
        told = _decode(received)
        rows = _decode_rows(zlib.decompress(told.packed_rows))
    except (msgspec.DecodeError, zlib.error) as error:
        return Failure(f'unreadable: {error}')
    return Success(
        TableState(
            told.version,
            [StoredRow(*row) for row in rows],
            told.whole,
            told.age,
            _read_back_for(told.back_for),
        ),
    )


def _read_back_for(back_for: float | None) -> float:
    return math.inf if back_for is None else back_for
