"""Client of the platform's store: rows in tables, and what changed in them.

Every call has a time limit and a fresh outcome: a kept connection may have gone
silent for good, or have lost an answer, so one that failed is closed.  Answers
say nothing about calls that were lost; only reading back does.
"""

import base64
import binascii
import types
from collections.abc import Callable

import aiohttp
import attrs
import msgspec
from returns.result import Failure, Result, Success

from ..coordination.ingress.tablestates import (
    StoredRow,
    StoreProblem,
    StoreProblemKind,
    TableState,
)
from ..state.counters import Counters
from ..transport.addresses import Address
from ..transport.exchanges import ExchangeFailure, Reply, exchange

__all__ = ['StoreClient']

#: Seconds for a call that has nothing to wait for.  The store takes some 4 ms,
#: and up to 60 times as long when it is slow.
_CALL_TIMEOUT = 1.0
_MOST_ROWS = 500
_TOO_MANY_CALLS = 429
_HISTORY_LOST = 410
_CONDITION_FAILED = 412
_SUCCESS = 200


class _WireRow(msgspec.Struct):
    """A row as the store spells it; ``value`` is base64."""

    key: str
    value: str = ''
    part: str = ''
    row_version: int = 0
    #: Only in a feed: the row was dropped.
    deleted: bool = False


class _WireRows(msgspec.Struct):
    """Rows with the newest version that the store had given out."""

    row_version: int
    rows: list[_WireRow] = []
    has_more: bool = False


_decode_rows = msgspec.json.Decoder(_WireRows).decode


@attrs.frozen
class StoreClient:
    """Calls to the store over one session."""

    _read_address: Callable[[], Address]
    _session: aiohttp.ClientSession
    _counters: Counters

    async def read_table(self, table: str) -> Result[TableState, StoreProblem]:
        """Read all rows of a table.

        Pages are read one after the other; the version of the first one
        counts, so that a change in between is seen again in what follows.
        """
        rows: list[StoredRow] = []
        version = None
        query = {'table': table, 'part': '', 'limit': str(_MOST_ROWS)}
        while True:
            page = await self._get('rows-get', query, _CALL_TIMEOUT)
            if isinstance(page, Failure):
                return page
            answered = page.unwrap()
            version = answered.row_version if version is None else version
            rows.extend(map(_decode_row, answered.rows))
            if not answered.has_more or not answered.rows:
                return Success(TableState(version, rows, whole=True))
            # A range begins with its first key, so the smallest key above the
            # last one read is the last one with a zero byte behind it.
            query['from'] = f'{answered.rows[-1].key}\0'

    async def await_changes(
        self,
        table: str,
        version: int,
        patience: float,
    ) -> Result[TableState, StoreProblem]:
        """Wait until rows have changed since a version, or for so long."""
        query = {
            'table': table,
            'after_revision': str(version),
            'wait_ms': str(int(patience * 1000)),
        }
        answered = await self._get(
            'rows-feed',
            query,
            patience + _CALL_TIMEOUT,
        )
        return answered.map(
            lambda found: TableState(
                found.row_version,
                [_decode_row(row) for row in found.rows],
                whole=False,
            ),
        )

    async def put_row(
        self,
        table: str,
        key: str,
        encoded: bytes,
    ) -> Result[None, StoreProblem]:
        """Write one row, whatever it held before."""
        body = {
            'expected_revision': [],
            'puts': [
                {
                    'table': table,
                    'part': '',
                    'key': key,
                    'value': base64.b64encode(encoded).decode(),
                },
            ],
            'remove': [],
        }
        answered = await self._call(
            'POST',
            'rows-tx',
            {},
            msgspec.json.encode(body),
            _CALL_TIMEOUT,
        )
        return answered.map(lambda _: None)

    async def _get(
        self,
        name: str,
        query: dict[str, str],
        seconds: float,
    ) -> Result[_WireRows, StoreProblem]:
        answered = await self._call('GET', name, query, None, seconds)
        return answered.bind(_decode_page)

    async def _call(
        self,
        method: str,
        name: str,
        query: dict[str, str],
        body: bytes | None,
        seconds: float,
    ) -> Result[bytes, StoreProblem]:
        answered = await exchange(
            self._session,
            method,
            f'{self._read_address().url}/-/{name}',
            seconds,
            body,
            query,
            {'Content-Type': 'application/json'} if body else {},
        )
        sorted_out = answered.alt(_explain_unreached).bind(_sort_reply)
        outcome = 'ok'
        if isinstance(sorted_out, Failure):
            outcome = sorted_out.failure().kind.value
        self._counters.store_calls.inc({'operation': name, 'outcome': outcome})
        return sorted_out


_KINDS = types.MappingProxyType(
    {
        _HISTORY_LOST: StoreProblemKind.HISTORY_LOST,
        _TOO_MANY_CALLS: StoreProblemKind.TOO_MANY_CALLS,
        _CONDITION_FAILED: StoreProblemKind.CONDITION_FAILED,
    },
)


def _explain_unreached(failure: ExchangeFailure) -> StoreProblem:
    return StoreProblem(StoreProblemKind.UNREACHABLE, failure.reason)


def _sort_reply(reply: Reply) -> Result[bytes, StoreProblem]:
    if reply.status == _SUCCESS:
        return Success(reply.body)
    kind = _KINDS.get(reply.status, StoreProblemKind.REFUSED)
    return Failure(StoreProblem(kind, f'status {reply.status}'))


def _decode_page(received: bytes) -> Result[_WireRows, StoreProblem]:
    try:
        return Success(_decode_rows(received))
    except msgspec.DecodeError as error:
        return Failure(StoreProblem(StoreProblemKind.UNREADABLE, str(error)))


def _decode_row(row: _WireRow) -> StoredRow:
    """Decode one row; bytes that are not base64 become an unreadable value."""
    if row.deleted:
        return StoredRow(row.key, None, row.row_version)
    try:
        encoded = base64.b64decode(row.value, validate=True)
    except (binascii.Error, ValueError):
        encoded = b''
    return StoredRow(row.key, encoded, row.row_version)
