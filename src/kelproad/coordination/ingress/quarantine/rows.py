"""Quarantined parts in the store, so that they outlast all instances.

A part has a row in the table of instances, which every instance reads when it
starts.  A row is written when the part is quarantined, and when a later trial
of it fails.
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
#: Seconds after which a row is outdated.
_MAX_AGE = 86_400.0
#: Seconds between two tries to write a row, and tries at most.
_RETRY_PERIOD = 1.0
_MAX_TRIES = 30


class _Row(msgspec.Struct):
    """A quarantined part, as stored in JSON.

    ``written_at`` is Unix time; the ages of the ends refer to it.  Without
    ends, the part was found to be harmless.
    """

    service: str
    part: str
    written_at: float
    ends: list[ReportedEnd]


@attrs.define
class QuarantineRows:
    """Writes the rows of quarantined parts, and reads them."""

    _quarantine: PartQuarantine
    _write: Callable[[str, bytes], Awaitable[Result[None, StoreProblem]]]
    _tasks: dict[str, asyncio.Task[None]] = attrs.field(factory=dict)

    def keep(self, service: str, parts: Iterable[str]) -> None:
        """Write the rows of those parts that are quarantined."""
        for part in parts:
            suspicion = self._quarantine.get(service, part)
            if suspicion is not None and suspicion.quarantined_after:
                self._start_writing(service, part)

    def keep_all(self) -> None:
        """Write the rows of all quarantined parts."""
        for service, part in self._quarantine.list_suspicions():
            self.keep(service, [part])

    def keep_cleared(self, service: str, part: str) -> None:
        """Write that a part was found to be harmless."""
        self._start_writing(service, part)

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

    def _start_writing(self, service: str, part: str) -> None:
        key = _make_key(service, part)
        previous = self._tasks.pop(key, None)
        if previous is not None:
            previous.cancel()
        task = asyncio.create_task(self._write_row(key, service, part))
        self._tasks[key] = task
        task.add_done_callback(lambda done: self._forget(key, done))

    def _forget(self, key: str, done: asyncio.Task[None]) -> None:
        if self._tasks.get(key) is done:
            self._tasks.pop(key)

    async def _write_row(self, key: str, service: str, part: str) -> None:
        for _ in range(_MAX_TRIES):
            written = await self._write(key, self._encode(service, part))
            if not isinstance(written, Failure):
                return
            await asyncio.sleep(_RETRY_PERIOD)
        record(
            _logger,
            'quarantine_not_written',
            part=part,
            reason=written.failure().message,
        )

    def _encode(self, service: str, part: str) -> bytes:
        now = monotonic()
        ends = [
            pack_end(ended, now) for ended in self._list_ends(service, part)
        ]
        return msgspec.json.encode(_Row(service, part, time.time(), ends))

    def _list_ends(self, service: str, part: str) -> list[EndedCall]:
        return [
            ended
            for ended in self._quarantine.list_ends()
            if ended.service == service and ended.parts == {part}
        ]


def _make_key(service: str, part: str) -> str:
    """Make a key of bounded length; callers choose the ids of parts."""
    digest = hashlib.blake2b(
        f'{service}\n{part}'.encode(), digest_size=_DIGEST_BYTES
    )
    return f'{_KEY_PREFIX}{digest.hexdigest()}'
