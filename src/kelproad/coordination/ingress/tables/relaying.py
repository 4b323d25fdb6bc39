"""Relaying tables of the store between instances.

Relayed data is as fresh as the sender's own read, never fresher: its age is
sent with it, and counted from before the query was sent.  So an answer that
was delayed, or an instance that was suspended between two lines of code, can't
make anyone trust old data.
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

from ....state.counters import Counters
from ....state.problems import UNREADABLE_ERRORS, parse_digits
from ....state.records import record
from ....transport.addresses import Address
from ....transport.deadlines import monotonic, read_boottime
from ....transport.exchanges import Reply, exchange
from .positions import StoreEras
from .probing import Freshness
from .readers import MAX_RELAYED_AGE, Reader, ReaderSelector
from .tablestates import Provenance, Revision, StoredRow, TableState

__all__ = [
    'TABLE_PATH',
    'TableRelay',
    'build_answer',
    'read_after',
    'read_zone',
]

_logger = logging.getLogger(__name__)
#: Path under which an instance serves a table to peers, before its name.
TABLE_PATH = '/tables/'
_AFTER = 'after'
_ERA = 'era'
_ZONE = 'zone'
#: Seconds for a fetch.  The reader has just answered a query; all those of a
#: zone fetch a change at once, and a large configuration fills its link.
_FETCH_TIMEOUT = 0.6
#: Seconds in all for one that goes on arriving.
_LONGEST_FETCH = 4.0
_OK = 200
_CONFLICT = 409


class _TableReply(msgspec.Struct, array_like=True):
    """A state of a table, as sent to a peer.

    ``age`` is the time in seconds since the sender's own read,
    ``recovered_for`` that since the store recovered there, ``None`` when it
    never failed.  Versions are those of ``era``.
    """

    version: int
    age: float
    recovered_for: float | None
    whole: bool
    packed_rows: bytes
    era: int = 0


_encode = msgspec.msgpack.Encoder().encode
_decode = msgspec.msgpack.Decoder(_TableReply).decode
_decode_rows = msgspec.msgpack.Decoder(
    list[tuple[str, bytes | None, int]],
).decode
#: Errors of a reply that can't be decoded.
_REPLY_ERRORS: tuple[type[Exception], ...] = (*UNREADABLE_ERRORS, zlib.error)
#: Level of compression, the fastest: a reader sends each change to many peers.
_COMPRESSION = 1


@attrs.frozen
class TableRelay:
    """Queries other instances for one table."""

    _table: str
    _zone: str
    _selector: ReaderSelector
    _probe: Callable[[Reader], Awaitable[Freshness | None]]
    _session: aiohttp.ClientSession
    _port: int
    _counters: Counters
    _eras: StoreEras

    async def query(self, after: Revision | None) -> TableState | None:
        """Query what changed since a revision, or all rows.

        Returns
        -------
        TableState | None
            Nothing when no other instance could answer with fresh data.
        """
        reader = self._selector.choose(monotonic())
        if reader is None:
            return None
        replied = await self._query(reader, after)
        outcome = 'failed' if isinstance(replied, Failure) else 'ok'
        self._counters.store_calls.inc(
            {'operation': 'ask_peer', 'outcome': outcome},
        )
        if isinstance(replied, Failure):
            record(
                _logger,
                'reader_avoided',
                table=self._table,
                reader=reader.instance,
                reason=replied.failure(),
            )
            return None
        within_zone = reader.zone == self._zone
        state = attrs.evolve(
            replied.unwrap(),
            provenance=(
                Provenance.SAME_ZONE if within_zone else Provenance.OTHER_ZONE
            ),
        )
        fresh = _discard_stale(state)
        if fresh is None:
            record(
                _logger,
                'relayed_table_stale',
                table=self._table,
                reader=reader.instance,
                age=round(state.age, 3),
            )
        return fresh

    async def _query(
        self,
        reader: Reader,
        after: Revision | None,
    ) -> Result[TableState, str]:
        """Fetch what changed, if anything did.

        Nothing is taken from a reader whose table is of an earlier era than
        the store is known to be in.
        """
        queried_at = read_boottime()
        freshness = await self._probe(reader)
        if freshness is None:
            self._selector.avoid(reader, monotonic())
            return Failure('no answer')
        table = freshness.tables.get(self._table)
        if table is None:
            self._selector.record_refusal(reader, monotonic())
            return Failure('the reader does not relay this table')
        if table.era < self._eras.current:
            self._selector.record_refusal(reader, monotonic())
            return Failure('the reader is at an earlier era of the store')
        if after is None or after < table.changed_revision:
            return await self._fetch(reader, after)
        return Success(
            TableState(
                table.revision,
                [],
                whole=False,
                # An answer that the query for another table brought is older
                # than this query.
                age=table.age + max(0, queried_at - freshness.queried_at),
                recovered_for=_decode_recovered_for(table.recovered_for),
            ),
        )

    async def _fetch(
        self,
        reader: Reader,
        after: Revision | None,
    ) -> Result[TableState, str]:
        query = {_ZONE: self._zone}
        if after is not None:
            query[_AFTER] = str(after.version)
            query[_ERA] = str(after.era)
        address = Address(reader.host, self._port)
        answered = await exchange(
            self._session,
            'GET',
            f'{address.url}{TABLE_PATH}{self._table}',
            _FETCH_TIMEOUT,
            query=query,
            longest=_LONGEST_FETCH,
        )
        replied = answered.alt(lambda failure: failure.reason).bind(_read_reply)
        if isinstance(replied, Failure):
            self._selector.avoid(reader, monotonic())
        return replied


def _discard_stale(state: TableState) -> TableState | None:
    """Discard a state that is so old that the store should be queried.

    Its reader is not avoided, but queried again: it may be the first to notice
    that the store has recovered.
    """
    return state if state.age <= MAX_RELAYED_AGE else None


def build_answer(state: TableState | None) -> web.Response:
    """Build the answer to a peer's query; 409 for a table not relayed here."""
    if state is None:
        return web.Response(status=_CONFLICT, text='not read here\n')
    recovered_for = (
        state.recovered_for if math.isfinite(state.recovered_for) else None
    )
    packed = _pack_rows(tuple(state.rows))
    return web.Response(
        body=_encode(
            _TableReply(
                state.revision.version,
                state.age,
                recovered_for,
                state.whole,
                packed,
                state.revision.era,
            ),
        ),
    )


def read_after(http_request: web.Request) -> Revision | None:
    """Return the revision that a peer has; ``None`` if it needs all rows."""
    version = parse_digits(http_request.query.get(_AFTER, ''))
    era = parse_digits(http_request.query.get(_ERA, '0'))
    if version is None or era is None:
        return None
    return Revision(era, version)


def read_zone(http_request: web.Request) -> str:
    """Return the zone of the peer that sent a query; empty if not stated."""
    return http_request.query.get(_ZONE, '')


@functools.lru_cache(maxsize=4)
def _pack_rows(rows: tuple[StoredRow, ...]) -> bytes:
    """Pack rows once for all peers that query the same."""
    encoded = _encode(
        [(row.key, row.encoded, row.revision.version) for row in rows]
    )
    return zlib.compress(encoded, _COMPRESSION)


def _read_reply(reply: Reply) -> Result[TableState, str]:
    if reply.status != _OK:
        return Failure(f'status {reply.status}')
    return _decode_reply(reply.body)


def _decode_reply(received: bytes) -> Result[TableState, str]:
    try:
        reply = _decode(received)
        rows = _decode_rows(zlib.decompress(reply.packed_rows))
    except _REPLY_ERRORS as error:
        return Failure(f'unreadable: {error}')
    return Success(
        TableState(
            Revision(reply.era, reply.version),
            [
                StoredRow(key, encoded, Revision(reply.era, version))
                for key, encoded, version in rows
            ],
            reply.whole,
            reply.age,
            _decode_recovered_for(reply.recovered_for),
        ),
    )


def _decode_recovered_for(recovered_for: float | None) -> float:
    return math.inf if recovered_for is None else recovered_for
