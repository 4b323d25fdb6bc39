"""Client of the platform's service: tables, objects, list of instances.

The platform has a transactional table with conditional writes, an object
store and a list of instances and endpoints, which may be outdated.  All calls
have a timeout.  A write whose answer is lost may have taken effect; this is
distinguished from a write that certainly did not, because callers must resolve
it by reading the rows again.
"""

from collections.abc import Sequence
from typing import TypeVar

import aiohttp
import attrs
import msgspec
from returns.result import Failure, Result, Success

from ..state.counters import Counters
from ..state.problems import UNREADABLE_ERRORS
from ..transport.addresses import Address
from ..transport.exchanges import Reply, exchange
from .store import Listing, Row, StoreError, StoreErrorKind, Write

__all__ = ['PlatformClient']

T = TypeVar('T')

_OK = 200
_NOT_FOUND = 404
_CONFLICT = 409
_OUTCOME_UNKNOWN_STATUSES = frozenset((500, 502, 504))
_MAX_SHOWN = 200
_OBJECT_PATH = '/objects/'


@attrs.frozen
class _Transaction:
    writes: list[Write]


@attrs.frozen
class _Conflicts:
    conflicts: list[str]


@attrs.frozen
class _Rows:
    rows: list[Row]


class PlatformClient:
    """Client of the platform; each call has a timeout in seconds."""

    def __init__(
        self,
        address: Address,
        session: aiohttp.ClientSession,
        counters: Counters,
    ) -> None:
        """Use a session, and count the calls by operation and outcome."""
        self._address = address
        self._session = session
        self._counters = counters

    async def transact(
        self,
        writes: list[Write],
        timeout: float,
    ) -> Result[None, StoreError]:
        """Write all rows or none.

        A lost answer gives ``UNKNOWN``: the caller must read the rows and
        compare them with those that it wrote.
        """
        answer = await self._call(
            'transact',
            'POST',
            '/tables/transact',
            timeout,
            msgspec.json.encode(_Transaction(writes)),
        )
        return answer.map(lambda _body: None)

    async def read_row(
        self,
        table: str,
        key: str,
        timeout: float,
    ) -> Result[Row | None, StoreError]:
        """Read one row; ``None`` if it does not exist."""
        answer = await self._call(
            'read_row',
            'GET',
            f'/tables/{table}/row',
            timeout,
            query={'key': key},
        )
        return answer.bind(lambda body: self._decode(body, _Rows)).map(
            lambda found: found.rows[0] if found.rows else None,
        )

    async def scan_rows(
        self,
        table: str,
        timeout: float,
        prefix: str = '',
        after: str = '',
        limit: int = 500,
    ) -> Result[list[Row], StoreError]:
        """Read up to ``limit`` rows in key order, with keys above ``after``."""
        answer = await self._call(
            'scan_rows',
            'GET',
            f'/tables/{table}/rows',
            timeout,
            query={'prefix': prefix, 'after': after, 'limit': str(limit)},
        )
        return answer.bind(lambda body: self._decode(body, _Rows)).map(
            lambda found: found.rows,
        )

    async def put_object(
        self,
        key: str,
        body: bytes,
        timeout: float,
    ) -> Result[None, StoreError]:
        """Store an object; this is idempotent."""
        answer = await self._call(
            'put_object',
            'PUT',
            f'{_OBJECT_PATH}{key}',
            timeout,
            body,
        )
        return answer.map(lambda _body: None)

    async def get_object(
        self,
        key: str,
        timeout: float,
    ) -> Result[bytes, StoreError]:
        """Fetch an object; a missing one gives ``DAMAGED``."""
        return await self._call(
            'get_object', 'GET', f'{_OBJECT_PATH}{key}', timeout
        )

    async def list_instances(
        self,
        timeout: float,
    ) -> Result[Listing, StoreError]:
        """Query the list of instances, which may be outdated."""
        answer = await self._call('list_instances', 'GET', '/members', timeout)
        return answer.bind(lambda body: self._decode(body, Listing))

    async def _call(
        self,
        operation: str,
        method: str,
        path: str,
        timeout: float,
        body: bytes | None = None,
        query: dict[str, str] | None = None,
    ) -> Result[bytes, StoreError]:
        answered = await exchange(
            self._session,
            method,
            self._address.url + path,
            timeout,
            body,
            query,
        )
        if isinstance(answered, Failure):
            failure = answered.failure()
            # A read may be retried freely; only the outcome of a write that
            # was sent is unknown.
            is_unknown = failure.sent and method != 'GET'
            outcome = self._fail(
                StoreErrorKind.UNKNOWN
                if is_unknown
                else StoreErrorKind.UNAVAILABLE,
                operation,
                failure.reason,
            )
        else:
            outcome = self._check_reply(
                answered.unwrap(), operation, method, path
            )
        label = 'ok' if isinstance(outcome, Success) else outcome.failure().kind
        self._counters.store_calls.inc(
            {'operation': operation, 'outcome': str(label)},
        )
        return outcome

    def _check_reply(
        self,
        reply: Reply,
        operation: str,
        method: str,
        path: str,
    ) -> Result[bytes, StoreError]:
        if reply.status == _OK:
            return Success(reply.body)
        return self._fail(
            _classify_status(reply.status, method, path),
            operation,
            f'answered {reply.status}: {reply.body[:_MAX_SHOWN]!r}',
            _read_conflicts(reply.body) if reply.status == _CONFLICT else [],
        )

    def _decode(self, body: bytes, kind: type[T]) -> Result[T, StoreError]:
        try:
            return Success(msgspec.json.decode(body, type=kind))
        except UNREADABLE_ERRORS as error:
            return self._fail(
                StoreErrorKind.UNAVAILABLE,
                'decode',
                f'malformed answer: {error}',
            )

    def _fail(
        self,
        kind: StoreErrorKind,
        operation: str,
        message: str,
        conflicts: Sequence[str] = (),
    ) -> Result[T, StoreError]:
        return Failure(
            StoreError(
                kind,
                operation,
                self._address.authority,
                message,
                list(conflicts),
            ),
        )


def _classify_status(status: int, method: str, path: str) -> StoreErrorKind:
    """Return the kind of error that a status means for a call.

    A server or gateway that answers 500, 502 or 504 may have written before
    it failed; only a refused write has certainly not taken effect.
    """
    if status == _CONFLICT:
        return StoreErrorKind.CONFLICT
    if method != 'GET' and status in _OUTCOME_UNKNOWN_STATUSES:
        return StoreErrorKind.UNKNOWN
    if status == _NOT_FOUND and path.startswith(_OBJECT_PATH):
        return StoreErrorKind.DAMAGED
    return StoreErrorKind.UNAVAILABLE


def _read_conflicts(body: bytes) -> list[str]:
    try:
        return msgspec.json.decode(body, type=_Conflicts).conflicts
    except UNREADABLE_ERRORS:
        return []
