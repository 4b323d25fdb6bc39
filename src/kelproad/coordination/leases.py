"""Leases in the platform's table, each with a fencing token.

A lease is a row that its holder rewrites in time.  No clocks are compared: a
contender takes the row over once it has seen the same version of it for longer
than the lease lasts, by its own monotonic clock.  The holder counts its lease
from before it sent the renewal, so it stops no later than anyone may begin.
"""

import asyncio
from collections.abc import Callable

import attrs
import msgspec
from returns.result import Failure, Result, Success

from ..protocol.platform import PlatformClient
from ..protocol.store import ABSENT, Row, StoreError, StoreErrorKind, Write
from ..transport.deadlines import monotonic

__all__ = ['LEASE_SECONDS', 'Lease', 'LeaseBody']

_TABLE = 'leases'
LEASE_SECONDS = 10.0
#: Renewals in the time of a lease; two may fail without harm, also when the
#: store does not answer them at all.
_RENEWALS = 4
#: Part of a second by which clocks of two machines may run apart in a lease.
_CLOCK_MARGIN = 0.5
#: Seconds for a call to the store, unless a renewal must be over sooner.
_STORE_TIMEOUT = 2.0


@attrs.frozen
class LeaseBody:
    """What the row of a lease holds.

    Attributes
    ----------
    holder
        Instance and incarnation; empty after it was given back.
    token
        Fencing token, which grows with every change of the holder.
    note
        What the holder leaves to its successor.
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
        self._seen_at = float('-inf')
        self._valid_until = float('-inf')
        self._renewed_at = float('-inf')
        #: When the first write on top of the known version was sent.
        self._tried_at: float | None = None
        #: Whether it was given up, so that only a new token may hold it again.
        self._given_up = False
        # Two writes at once would both be on top of the same version, and one
        # under way would undo a giving back.
        self._lock = asyncio.Lock()
        self.body = LeaseBody('', 0)
        self.note = ''
        #: When this process became the holder, and with which token.  A taking
        #: whose answer was lost may be met in the row before it counts here.
        self.taken_at = float('-inf')
        self._token_taken = 0
        self.writes = 0

    @property
    def is_held(self) -> bool:
        """Whether this process holds it at this very moment."""
        return self.remaining > 0

    @property
    def remaining(self) -> float:
        """Seconds for which it is still held; zero or less when it is not."""
        return self._valid_until - self._now()

    @property
    def share(self) -> float:
        """Seconds between two renewals, in which each must be over."""
        return self._seconds / _RENEWALS

    async def keep(self) -> bool:
        """Renew it, or take it if it is free; tell whether it is held."""
        if not self.is_held or self._is_due():
            async with self._lock:
                await self._keep()
        return self.is_held

    async def renew(self) -> None:
        """Renew it if it is held and that is due; never begin to hold it."""
        async with self._lock:
            if self.is_held and self._is_due():
                await self._renew()

    async def give_back(self) -> None:
        """Let the next holder begin at once."""
        async with self._lock:
            was_held = self.is_held
            self.drop()
            if was_held:
                body = attrs.evolve(self.body, holder='')
                await self._platform.transact(
                    [self._encode(body)],
                    _STORE_TIMEOUT,
                )

    def drop(self) -> None:
        """Stop acting as the holder, because a newer one was met."""
        self._given_up = True
        self._valid_until = float('-inf')

    async def _keep(self) -> None:
        if self.is_held:
            if self._is_due():
                await self._renew()
        elif self._is_lapsed():
            await self._renew()
            if not self.is_held:
                await self._look()
        else:
            await self._contend()

    async def _renew(self) -> None:
        await self._write(attrs.evolve(self.body, note=self.note))

    async def _contend(self) -> None:
        await self._look()
        if self._is_free():
            body = LeaseBody(self._holder, self.body.token + 1, self.body.note)
            await self._write(body)

    def _is_due(self) -> bool:
        since = self._now() - self._renewed_at
        return since >= self.share or self.note != self.body.note

    def _is_lapsed(self) -> bool:
        """Tell whether it ran out here, and nobody is known to have taken it.

        A holder that stood still, or could not reach the store, for longer
        than the lease would otherwise wait that long once more, like any
        contender, and then tell every engine a new token: for so long the zone
        gets no orders.  Renewing late is safe, since the write holds only on
        top of the holder's own last one: whoever took over has changed that.
        """
        is_own = self.body.holder == self._holder
        return is_own and not self._given_up

    def _is_free(self) -> bool:
        if not self.body.holder:
            return self._seen_at > float('-inf')
        unchanged_for = self._now() - self._seen_at
        return unchanged_for > self._seconds + _CLOCK_MARGIN

    async def _look(self) -> None:
        """Read the row; a version not seen before starts the wait anew."""
        found = await self._platform.read_row(
            _TABLE,
            self._name,
            _STORE_TIMEOUT,
        )
        standing = found.bind(_decode)
        if isinstance(standing, Failure):
            # What happened meanwhile is unknown: the wait starts anew.
            self._seen_at = self._now()
            return
        row = found.unwrap()
        version = row.version if row else ABSENT
        is_first = self._seen_at == float('-inf')
        if is_first or version != self._version:
            self._version = version
            self._tried_at = None
            self._seen_at = self._now()
            self.body = standing.unwrap()
            self.note = self.body.note

    async def _write(self, body: LeaseBody) -> None:
        sent_at = self._now()
        if self._tried_at is None:
            self._tried_at = sent_at
        written = await self._platform.transact(
            [self._encode(body)],
            min(self.share, _STORE_TIMEOUT),
        )
        self.writes += 1
        if isinstance(written, Success):
            self._take(body, sent_at)
            return
        left = sent_at + self.share - self._now()
        is_doubtful = written.failure().kind is not StoreErrorKind.UNAVAILABLE
        # Reading back from a store that is silent would take the time of the
        # next renewal, whose conflict tells the same.
        if is_doubtful and left > 0:
            await self._settle(body, min(left, _STORE_TIMEOUT))

    async def _settle(self, body: LeaseBody, timeout: float) -> None:
        """Read back after a conflict or a lost answer.

        The holder and token that were to be written, at the next version,
        mean that a write of ours took effect.  It may have been an earlier
        one whose answer was lost, so the lease counts from before the first
        of them was sent.
        """
        found = await self._platform.read_row(_TABLE, self._name, timeout)
        row = found.value_or(None)
        decoded = found.bind(_decode)
        if row is None or isinstance(decoded, Failure):
            return
        standing = decoded.unwrap()
        is_ours = (standing.holder, standing.token) == (
            self._holder,
            body.token,
        )
        if is_ours and row.version == self._version + 1:
            self._take(standing, self._tried_at or float('-inf'))
        elif not is_ours and row.version != self._version:
            self.drop()
            self._version = row.version
            self._tried_at = None
            self._seen_at = self._now()
            self.body = standing

    def _take(self, body: LeaseBody, sent_at: float) -> None:
        # A row that was lost begins with the first token again.
        if body.token != self._token_taken or self._version == ABSENT:
            self._token_taken = body.token
            self.taken_at = self._now()
            self._given_up = False
        self._version += 1
        self._tried_at = None
        self.body = body
        self.note = self.note or body.note
        self._renewed_at = sent_at
        self._seen_at = sent_at
        if not self._given_up:
            self._valid_until = sent_at + self._seconds

    def _encode(self, body: LeaseBody) -> Write:
        encoded = msgspec.json.encode(body).decode()
        return Write(_TABLE, self._name, encoded, self._version)


def _decode(row: Row | None) -> Result[LeaseBody, StoreError]:
    """Decode the row; one that cannot be read counts as not answered."""
    if row is None:
        return Success(LeaseBody('', 0))
    try:
        return Success(msgspec.json.decode(row.body, type=LeaseBody))
    except msgspec.DecodeError as error:
        return Failure(
            StoreError(
                StoreErrorKind.DAMAGED,
                'read',
                _TABLE,
                f'row {row.key}: {error}',
            ),
        )
