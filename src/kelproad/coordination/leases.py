"""Leases in the platform's table, each with a fencing token.

A lease is a row that its holder rewrites periodically.  No clocks are
compared: a contender takes the row over once it has seen the same version for
longer than the lease lasts, by its own monotonic clock.  The holder counts its
lease from before it sent the renewal, so it stops no later than a contender
may start.
"""

import asyncio
from collections.abc import Callable

import attrs
import msgspec
from returns.result import Failure, Result, Success

from ..protocol.platform import PlatformClient
from ..protocol.store import ABSENT, Row, StoreError, StoreErrorKind, Write
from ..state.problems import UNREADABLE_ERRORS
from ..transport.deadlines import monotonic

__all__ = ['LEASE_SECONDS', 'Lease', 'LeaseBody']

_TABLE = 'leases'
#: Seconds that a lease lasts after its last renewal.
LEASE_SECONDS = 10.0
#: Renewals during a lease; two may fail without losing it, even when the store
#: does not answer them at all.
_RENEWALS = 4
#: Seconds by which the clocks of two machines may diverge during a lease.
_CLOCK_MARGIN = 0.5
#: Seconds for a call to the store; a renewal may get less.
_STORE_TIMEOUT = 2.0


@attrs.frozen
class LeaseBody:
    """The row of a lease.

    Attributes
    ----------
    holder
        Instance and incarnation; empty after a release.
    token
        Fencing token, which grows with every change of the holder.
    note
        Text that the holder leaves for its successor.
    """

    holder: str
    token: int
    note: str = ''


class Lease:
    """One lease, as held or contended for by this process."""

    def __init__(
        self,
        name: str,
        holder: str,
        platform: PlatformClient,
        seconds: float = LEASE_SECONDS,
        now: Callable[[], float] = monotonic,
    ) -> None:
        """Prepare to contend for a lease; nothing is held yet."""
        self._seconds = seconds
        self._name = name
        self._holder = holder
        self._platform = platform
        self._now = now
        self._version = ABSENT
        self._version_seen_at = float('-inf')
        self._valid_until = float('-inf')
        self._renewed_at = float('-inf')
        #: When the first write that expects the known version was sent.
        self._first_write_at: float | None = None
        #: Whether it was given up; then it is held again only by a new token.
        self._given_up = False
        # Concurrent writes would expect the same version, and a renewal in
        # flight would undo a release.
        self._lock = asyncio.Lock()
        self.body = LeaseBody('', 0)
        self.note = ''
        #: When this process became the holder, and with which token.  An
        #: acquisition whose answer was lost may be in the row before it counts
        #: here.
        self.acquired_at = float('-inf')
        self._acquired_token = 0
        self.writes = 0

    @property
    def is_held(self) -> bool:
        """Whether this process holds it right now, by its own clock."""
        return self.remaining > 0

    @property
    def remaining(self) -> float:
        """Seconds for which it is still held; zero or less when it is not."""
        return self._valid_until - self._now()

    @property
    def share(self) -> float:
        """Seconds between two renewals; each must complete within them."""
        return self._seconds / _RENEWALS

    async def acquire_or_renew(self) -> bool:
        """Renew it, or acquire it if it is free; return whether it is held."""
        if not self.is_held or self._is_due():
            async with self._lock:
                await self._keep()
        return self.is_held

    async def renew(self) -> None:
        """Renew it if it is held and a renewal is due; never acquire it."""
        async with self._lock:
            if self.is_held and self._is_due():
                await self._renew()

    async def release(self) -> None:
        """Release it, so that the next holder need not wait."""
        async with self._lock:
            was_held = self.is_held
            self.give_up()
            if was_held:
                body = attrs.evolve(self.body, holder='')
                await self._platform.transact(
                    [self._encode(body)],
                    _STORE_TIMEOUT,
                )

    def give_up(self) -> None:
        """Stop acting as the holder, because there is a newer one."""
        self._given_up = True
        self._valid_until = float('-inf')

    async def _keep(self) -> None:
        if self.is_held:
            if self._is_due():
                await self._renew()
        elif self._is_lapsed():
            await self._renew()
            if not self.is_held:
                await self._read_row()
        else:
            await self._contend()

    async def _renew(self) -> None:
        await self._write(attrs.evolve(self.body, note=self.note))

    async def _contend(self) -> None:
        await self._read_row()
        if self._is_free():
            body = LeaseBody(self._holder, self.body.token + 1, self.body.note)
            await self._write(body)

    def _is_due(self) -> bool:
        since = self._now() - self._renewed_at
        return since >= self.share or self.note != self.body.note

    def _is_lapsed(self) -> bool:
        """Return whether it expired here and no other holder is known.

        A holder that was paused, or could not reach the store, for longer than
        the lease would otherwise wait as long again, like any contender, and
        then send every engine a new token; meanwhile the zone gets no orders.
        Renewing late is safe, because the write succeeds only on top of the
        holder's own last version, which a new holder would have changed.
        """
        is_own = self.body.holder == self._holder
        return is_own and not self._given_up

    def _is_free(self) -> bool:
        if not self.body.holder:
            return self._version_seen_at > float('-inf')
        unchanged_for = self._now() - self._version_seen_at
        return unchanged_for > self._seconds + _CLOCK_MARGIN

    async def _read_row(self) -> None:
        """Read the row; a version not seen before restarts the wait."""
        found = await self._platform.read_row(
            _TABLE,
            self._name,
            _STORE_TIMEOUT,
        )
        current = found.bind(_decode)
        if isinstance(current, Failure):
            # The row may have changed meanwhile: restart the wait.
            self._version_seen_at = self._now()
            return
        row = found.unwrap()
        version = row.version if row else ABSENT
        is_first = self._version_seen_at == float('-inf')
        if is_first or version != self._version:
            self._version = version
            self._first_write_at = None
            self._version_seen_at = self._now()
            self.body = current.unwrap()
            self.note = self.body.note

    async def _write(self, body: LeaseBody) -> None:
        sent_at = self._now()
        if self._first_write_at is None:
            self._first_write_at = sent_at
        written = await self._platform.transact(
            [self._encode(body)],
            min(self.share, _STORE_TIMEOUT),
        )
        self.writes += 1
        if isinstance(written, Success):
            self._record_write(body, sent_at)
            return
        left = sent_at + self.share - self._now()
        is_uncertain = written.failure().kind is not StoreErrorKind.UNAVAILABLE
        # Reading back from a store that does not answer would use up the time
        # of the next renewal, whose conflict shows the same.
        if is_uncertain and left > 0:
            await self._read_back(body, min(left, _STORE_TIMEOUT))

    async def _read_back(self, body: LeaseBody, timeout: float) -> None:
        """Read back after a conflict or a lost answer.

        The holder and token that were to be written, at the next version,
        mean that a write of this process took effect.  It may have been an
        earlier one whose answer was lost, so the lease counts from before the
        first of them was sent.
        """
        found = await self._platform.read_row(_TABLE, self._name, timeout)
        row = found.value_or(None)
        decoded = found.bind(_decode)
        if row is None or isinstance(decoded, Failure):
            return
        current = decoded.unwrap()
        is_own_write = (current.holder, current.token) == (
            self._holder,
            body.token,
        )
        if is_own_write and row.version == self._version + 1:
            self._record_write(current, self._first_write_at or float('-inf'))
        elif not is_own_write and row.version != self._version:
            self.give_up()
            self._version = row.version
            self._first_write_at = None
            self._version_seen_at = self._now()
            self.body = current

    def _record_write(self, body: LeaseBody, sent_at: float) -> None:
        # A row that was lost starts with the first token again.
        if body.token != self._acquired_token or self._version == ABSENT:
            self._acquired_token = body.token
            self.acquired_at = self._now()
            self._given_up = False
        self._version += 1
        self._first_write_at = None
        self.body = body
        self.note = self.note or body.note
        self._renewed_at = sent_at
        self._version_seen_at = sent_at
        if not self._given_up:
            self._valid_until = sent_at + self._seconds

    def _encode(self, body: LeaseBody) -> Write:
        encoded = msgspec.json.encode(body).decode()
        return Write(_TABLE, self._name, encoded, self._version)


def _decode(row: Row | None) -> Result[LeaseBody, StoreError]:
    """Decode the row; a malformed one counts as a failed read."""
    if row is None:
        return Success(LeaseBody('', 0))
    try:
        return Success(msgspec.json.decode(row.body, type=LeaseBody))
    except UNREADABLE_ERRORS as error:
        return Failure(
            StoreError(
                StoreErrorKind.DAMAGED,
                'read',
                _TABLE,
                f'row {row.key}: {error}',
            ),
        )
