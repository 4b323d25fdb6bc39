"""Client of the platform's store: rows in tables, and their changes.

Every call has a time limit.  A connection whose call failed is closed, as it
may stay silent for good or have lost an answer.  Answers state nothing
about calls that were lost: these are resolved only by reading the rows again.
"""

import base64
import binascii
import logging
import types
from collections.abc import Callable

import aiohttp
import attrs
import msgspec
from returns.result import Failure, Result, Success

from ..coordination.ingress.tables.eras import StoreEras
from ..coordination.ingress.tables.tablestates import (
    StoredRow,
    StoreProblem,
    StoreProblemKind,
    TableState,
)
from ..state.counters import Counters
from ..state.records import record
from ..transport.addresses import Address
from ..transport.exchanges import ExchangeFailure, Reply, exchange

__all__ = ['StoreClient']

_logger = logging.getLogger(__name__)
#: Seconds for a call that does not wait for changes.  The store takes some
#: 4 ms, and up to 60 times as long when it is slow.
_CALL_TIMEOUT = 1.0
_MAX_ROWS_PER_PAGE = 500
_TOO_MANY_CALLS = 429
_HISTORY_LOST = 410
_CONDITION_FAILED = 412
_OK = 200
#: Header field of all answers: a count of the store's restorations from a copy.
_ERA = 'Store-Era'
#: Characters of an unreadable era that are logged.
_MAX_SHOWN = 40


class _WireRow(msgspec.Struct):
    """A row in the store's JSON; ``value`` is base64."""

    key: str
    value: str = ''
    part: str = ''
    row_version: int = 0
    #: Set in answers to ``rows-feed`` only: the row was deleted.
    deleted: bool = False


class _WireRows(msgspec.Struct):
    """Rows, and the newest version that the store had assigned."""

    row_version: int
    rows: list[_WireRow] = []
    has_more: bool = False


_decode_rows = msgspec.json.Decoder(_WireRows).decode


@attrs.frozen
class StoreClient:
    """Calls to the store over one session; counts them by outcome."""

    _read_address: Callable[[], Address]
    _session: aiohttp.ClientSession
    _counters: Counters
    _eras: StoreEras

    async def read_table(self, table: str) -> Result[TableState, StoreProblem]:
        """Read all rows of a table, page by page.

        The state gets the version of the first page, so that a change between
        two pages is received again with the changes that follow.
        """
        rows: list[StoredRow] = []
        version = None
        query = {'table': table, 'part': '', 'limit': str(_MAX_ROWS_PER_PAGE)}
        while True:
            page = await self._get('rows-get', query, _CALL_TIMEOUT)
            if isinstance(page, Failure):
                return page
            answered = page.unwrap()
            version = answered.row_version if version is None else version
            rows.extend(map(_decode_row, answered.rows))
            if not answered.has_more or not answered.rows:
                return Success(TableState(version, rows, whole=True))
            # ``from`` is inclusive; the smallest key above the last one read
            # is that key with a zero byte appended.
            query['from'] = f'{answered.rows[-1].key}\0'

    async def await_changes(
        self,
        table: str,
        version: int,
        wait_seconds: float,
    ) -> Result[TableState, StoreProblem]:
        """Wait ``wait_seconds`` at most for rows changed since a version."""
        query = {
            'table': table,
            'after_revision': str(version),
            'wait_ms': str(int(wait_seconds * 1000)),
        }
        answered = await self._get(
            'rows-feed',
            query,
            wait_seconds + _CALL_TIMEOUT,
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
        """Write one row unconditionally."""
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
        answered.map(lambda reply: self._observe_era(reply, name))
        checked = answered.alt(_convert_failure).bind(_check_reply)
        outcome = 'ok'
        if isinstance(checked, Failure):
            outcome = checked.failure().kind.value
        self._counters.store_calls.inc({'operation': name, 'outcome': outcome})
        return checked

    def _observe_era(self, reply: Reply, name: str) -> None:
        self._eras.observe(_parse_era(reply), f'{name} {reply.status}')


_KINDS_BY_STATUS = types.MappingProxyType(
    {
        _HISTORY_LOST: StoreProblemKind.HISTORY_LOST,
        _TOO_MANY_CALLS: StoreProblemKind.TOO_MANY_CALLS,
        _CONDITION_FAILED: StoreProblemKind.CONDITION_FAILED,
    },
)


def _convert_failure(failure: ExchangeFailure) -> StoreProblem:
    return StoreProblem(StoreProblemKind.UNREACHABLE, failure.reason)


def _check_reply(reply: Reply) -> Result[bytes, StoreProblem]:
    if reply.status == _OK:
        return Success(reply.body)
    kind = _KINDS_BY_STATUS.get(reply.status, StoreProblemKind.REFUSED)
    return Failure(StoreProblem(kind, f'status {reply.status}'))


def _parse_era(reply: Reply) -> int:
    """Parse the era of an answer; 0 if it states none that can be read."""
    stated = reply.headers.get(_ERA, '')
    if stated.isascii() and stated.isdecimal():
        return int(stated)
    if stated:
        record(_logger, 'store_era_unreadable', stated=stated[:_MAX_SHOWN])
    return 0


def _decode_page(received: bytes) -> Result[_WireRows, StoreProblem]:
    try:
        return Success(_decode_rows(received))
    except msgspec.DecodeError as error:
        return Failure(StoreProblem(StoreProblemKind.UNREADABLE, str(error)))


def _decode_row(row: _WireRow) -> StoredRow:
    """Decode one row; a value that is not base64 becomes empty bytes."""
    if row.deleted:
        return StoredRow(row.key, None, row.row_version)
    try:
        encoded = base64.b64decode(row.value, validate=True)
    except (binascii.Error, ValueError):
        encoded = b''
    return StoredRow(row.key, encoded, row.row_version)
