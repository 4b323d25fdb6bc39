"""Client of the platform's store: rows in tables, and their changes.

Every call has a time limit.  A connection whose call failed is closed, as it
may stay silent for good or have lost an answer.  Answers state nothing
about calls that were lost: these are resolved only by reading the rows again.
"""

import base64
import binascii
import logging
import math
import re
import types
from collections.abc import Callable

import aiohttp
import attrs
import msgspec
from returns.result import Failure, Result, Success

from ..coordination.ingress.tables.positions import StoreEras
from ..coordination.ingress.tables.tablestates import (
    Revision,
    StoredRow,
    StoreProblem,
    StoreProblemKind,
    TableState,
)
from ..state.counters import Counters
from ..state.problems import UNREADABLE_ERRORS
from ..state.records import OnceRecorder
from ..transport.addresses import Address
from ..transport.deadlines import monotonic
from ..transport.exchanges import ExchangeFailure, Reply, exchange

__all__ = ['StoreClient']

_logger = logging.getLogger(__name__)
#: Seconds without a byte of an answer that does not wait for changes.  Later
#: answers confirm no keys any more.
_SILENCE_TIMEOUT = 4.0
#: Seconds for an answer that goes on arriving.
_LONGEST_ANSWER = 15.0
_MAX_ROWS_PER_PAGE = 500
_TOO_MANY_CALLS = 429
_HISTORY_LOST = 410
_CONDITION_FAILED = 412
_OK = 200
#: Header field of all answers: a count of the store's restorations from a copy.
_ERA = 'Store-Era'
_ERA_FORMAT = re.compile('[0-9]{1,18}')
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
class _Page:
    """Rows of one answer, and the newest revision when it was sent."""

    revision: Revision
    rows: list[StoredRow]
    has_more: bool


@attrs.frozen
class StoreClient:
    """Calls to the store over one session; counts them by outcome."""

    _read_address: Callable[[], Address]
    _session: aiohttp.ClientSession
    _counters: Counters
    _eras: StoreEras
    _recorder: OnceRecorder = attrs.field(
        factory=lambda: OnceRecorder(_logger),
    )
    #: Monotonic times at which bytes of an answer arrived last, by table.
    _received_at: dict[str, float] = attrs.field(factory=dict)

    def read_received_at(self, table: str) -> float:
        """Return the monotonic time of the last byte about a table."""
        return self._received_at.get(table, -math.inf)

    async def read_table(self, table: str) -> Result[TableState, StoreProblem]:
        """Read all rows of a table, page by page.

        The state gets the revision of the first page, so that a change between
        two pages is received again with the changes that follow.
        """
        rows: list[StoredRow] = []
        revision = None
        query = {'table': table, 'part': '', 'limit': str(_MAX_ROWS_PER_PAGE)}
        while True:
            page = await self._get('rows-get', query, _SILENCE_TIMEOUT)
            if isinstance(page, Failure):
                return page
            answered = page.unwrap()
            revision = revision or answered.revision
            if answered.revision.era != revision.era:
                return Failure(_RESTORED_MEANWHILE)
            rows.extend(answered.rows)
            if not answered.has_more or not answered.rows:
                return Success(TableState(revision, rows, whole=True))
            # ``from`` is inclusive; the smallest key above the last one read
            # is that key with a zero byte appended.
            query['from'] = f'{answered.rows[-1].key}\0'

    async def await_changes(
        self,
        table: str,
        after: Revision,
        wait_seconds: float,
    ) -> Result[TableState, StoreProblem]:
        """Wait ``wait_seconds`` at most for rows changed since a revision.

        The changes are those since its version in the era of the answer, which
        may be a later one.
        """
        query = {
            'table': table,
            'after_revision': str(after.version),
            'wait_ms': str(int(wait_seconds * 1000)),
        }
        answered = await self._get(
            'rows-feed',
            query,
            wait_seconds + _SILENCE_TIMEOUT,
        )
        return answered.map(
            lambda page: TableState(page.revision, page.rows, whole=False),
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
            _SILENCE_TIMEOUT,
        )
        return answered.map(lambda _: None)

    async def _get(
        self,
        name: str,
        query: dict[str, str],
        seconds: float,
    ) -> Result[_Page, StoreProblem]:
        answered = await self._call('GET', name, query, None, seconds)
        return answered.bind(
            lambda reply: _decode_page(reply.body, self._find_era(reply, name)),
        )

    async def _call(
        self,
        method: str,
        name: str,
        query: dict[str, str],
        body: bytes | None,
        seconds: float,
    ) -> Result[Reply, StoreProblem]:
        def record_progress() -> None:  # noqa: WPS430  closure
            self._received_at[query.get('table', '')] = monotonic()

        answered = await exchange(
            self._session,
            method,
            f'{self._read_address().url}/-/{name}',
            seconds,
            body,
            query,
            {'Content-Type': 'application/json'} if body else {},
            longest=seconds + _LONGEST_ANSWER,
            on_progress=record_progress,
        )
        answered.map(lambda reply: self._find_era(reply, name))
        checked = answered.alt(_convert_failure).bind(_check_reply)
        outcome = 'ok'
        if isinstance(checked, Failure):
            outcome = checked.failure().kind.value
        self._counters.store_calls.inc({'operation': name, 'outcome': outcome})
        return checked

    def _find_era(self, reply: Reply, name: str) -> int:
        """Return the era of an answer, of whatever status."""
        stated = reply.headers.get(_ERA, '')
        era = _parse_era(stated)
        if stated and era is None:
            self._recorder.record(
                stated, 'store_era_unreadable', stated=stated[:_MAX_SHOWN]
            )
        return self._eras.observe(era, f'{name} {reply.status}')


_RESTORED_MEANWHILE = StoreProblem(
    StoreProblemKind.HISTORY_LOST, 'restored between two pages'
)
_KINDS_BY_STATUS = types.MappingProxyType(
    {
        _HISTORY_LOST: StoreProblemKind.HISTORY_LOST,
        _TOO_MANY_CALLS: StoreProblemKind.TOO_MANY_CALLS,
        _CONDITION_FAILED: StoreProblemKind.CONDITION_FAILED,
    },
)


def _convert_failure(failure: ExchangeFailure) -> StoreProblem:
    return StoreProblem(StoreProblemKind.UNREACHABLE, failure.reason)


def _check_reply(reply: Reply) -> Result[Reply, StoreProblem]:
    if reply.status == _OK:
        return Success(reply)
    kind = _KINDS_BY_STATUS.get(reply.status, StoreProblemKind.REFUSED)
    return Failure(StoreProblem(kind, f'status {reply.status}'))


def _parse_era(stated: str) -> int | None:
    return int(stated) if _ERA_FORMAT.fullmatch(stated) else None


def _decode_page(received: bytes, era: int) -> Result[_Page, StoreProblem]:
    try:
        page = _decode_rows(received)
    except UNREADABLE_ERRORS as error:
        return Failure(StoreProblem(StoreProblemKind.UNREADABLE, str(error)))
    rows = [_decode_row(row, era) for row in page.rows]
    return Success(_Page(Revision(era, page.row_version), rows, page.has_more))


def _decode_row(row: _WireRow, era: int) -> StoredRow:
    """Decode one row; a value that is not base64 becomes empty bytes."""
    revision = Revision(era, row.row_version)
    if row.deleted:
        return StoredRow(row.key, None, revision)
    try:
        encoded = base64.b64decode(row.value, validate=True)
    except (binascii.Error, ValueError):
        encoded = b''
    return StoredRow(row.key, encoded, revision)
