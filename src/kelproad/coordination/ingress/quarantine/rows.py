"""Quarantined parts and barred requests in the store, to outlast all instances.

A part has a row in the table of instances, which every instance reads when it
starts.  A row is written when the part is quarantined, and when a later trial
of it fails.  Requests share a fixed number of rows, as there may be many more
of them and no row is deleted: the last one is kept.
"""

import asyncio
import hashlib
import logging
import time
from collections.abc import Awaitable, Callable, Iterable

import attrs
import msgspec
from returns.result import Failure, Result

from ....state.problems import UNREADABLE_ERRORS
from ....state.quarantine import PartQuarantine
from ....state.records import record
from ....state.suspicions import EndedCall
from ....transport.deadlines import monotonic
from ..membership.messages import ReportedEnd
from ..tables.tablestates import StoredRow, StoreProblem
from .notices import pack_end, unpack_end

__all__ = ['QuarantineRows']

_logger = logging.getLogger(__name__)
_KEY_PREFIX = 'quarantine '
_DIGEST_BYTES = 16
#: Rows of requests.
_REQUEST_ROWS = 64
#: Seconds after which a row is outdated.
_MAX_AGE = 86_400.0
#: Seconds between two tries to write a row, and tries at most.
_RETRY_PERIOD = 1.0
_MAX_TRIES = 30


class _Row(msgspec.Struct):
    """A quarantined part or a barred request, as stored in JSON.

    ``part`` is the fingerprint of a request.  ``written_at`` is Unix time; the
    ages of the ends refer to it.  Without ends, it was found to be harmless.
    """

    service: str
    part: str
    written_at: float
    ends: list[ReportedEnd]


@attrs.frozen
class _Subject:
    """What a row tells of: a part, or a request by its fingerprint.

    A request is the same at all services.
    """

    service: str
    name: str
    is_request: bool = False

    @property
    def key(self) -> str:
        """Key of bounded length; callers choose the ids of parts."""
        digest = hashlib.blake2b(
            f'{self.service}\n{self.name}'.encode(), digest_size=_DIGEST_BYTES
        )
        if self.is_request:
            slot = int.from_bytes(digest.digest()) % _REQUEST_ROWS
            return f'{_KEY_PREFIX}request {slot}'
        return f'{_KEY_PREFIX}{digest.hexdigest()}'


@attrs.define
class QuarantineRows:
    """Writes the rows of quarantined parts and requests, and reads them."""

    _quarantine: PartQuarantine
    _write: Callable[[str, bytes], Awaitable[Result[None, StoreProblem]]]
    _tasks: dict[str, asyncio.Task[None]] = attrs.field(factory=dict)

    def keep(self, service: str, names: Iterable[str]) -> None:
        """Write the rows of those parts and requests that are refused."""
        for name in names:
            suspicion = self._quarantine.get(service, name)
            if suspicion is not None and suspicion.quarantined_after:
                self._start_writing(_Subject(service, name))
            if self._quarantine.requests.is_barred(name):
                self._start_writing(_Subject('', name, is_request=True))

    def keep_all(self) -> None:
        """Write the rows of all that is refused."""
        for service, part in self._quarantine.list_suspicions():
            self.keep(service, [part])
        for fingerprint, _ in self._quarantine.requests.list_barred(
            monotonic()
        ):
            self.keep('', [fingerprint])

    def keep_cleared(self, service: str, part: str) -> None:
        """Write that a part was found to be harmless."""
        self._start_writing(_Subject(service, part))

    def keep_request(self, fingerprint: str) -> None:
        """Write which ends are left of a request that was barred, if any."""
        self._start_writing(_Subject('', fingerprint, is_request=True))

    def adopt(self, row: StoredRow) -> bool:
        """Adopt a row; return false if it is not one of a part."""
        if not row.key.startswith(_KEY_PREFIX):
            return False
        try:
            decoded = msgspec.json.decode(row.encoded or b'', type=_Row)
        except UNREADABLE_ERRORS as error:
            record(
                _logger,
                'quarantine_unreadable',
                row=row.key,
                reason=str(error),
            )
            return True
        age = max(0, time.time() - decoded.written_at)
        if age < _MAX_AGE:
            now = monotonic()
            for reported in decoded.ends:
                self._quarantine.record_end(
                    unpack_end(reported, now - age), now
                )
        return True

    def _start_writing(self, subject: _Subject) -> None:
        key = subject.key
        previous = self._tasks.pop(key, None)
        if previous is not None:
            previous.cancel()
        task = asyncio.create_task(self._write_row(key, subject))
        self._tasks[key] = task
        task.add_done_callback(lambda done: self._forget(key, done))

    def _forget(self, key: str, done: asyncio.Task[None]) -> None:
        if self._tasks.get(key) is done:
            self._tasks.pop(key)

    async def _write_row(self, key: str, subject: _Subject) -> None:
        for _ in range(_MAX_TRIES):
            written = await self._write(key, self._encode(subject))
            if not isinstance(written, Failure):
                return
            await asyncio.sleep(_RETRY_PERIOD)
        record(
            _logger,
            'quarantine_not_written',
            part=subject.name,
            reason=written.failure().message,
        )

    def _encode(self, subject: _Subject) -> bytes:
        now = monotonic()
        ends = [pack_end(ended, now) for ended in self._list_ends(subject)]
        return msgspec.json.encode(
            _Row(subject.service, subject.name, time.time(), ends)
        )

    def _list_ends(self, subject: _Subject) -> list[EndedCall]:
        if subject.is_request:
            return self._quarantine.requests.list_ends(subject.name)
        return [
            ended
            for ended in self._quarantine.list_ends()
            if ended.service == subject.service
            and ended.parts == {subject.name}
        ]
