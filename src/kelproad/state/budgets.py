"""Budgets: of retries, and of what callers take: bytes and connections."""

import contextlib
import enum
import functools
from collections.abc import Callable, Hashable, Iterator
from typing import Generic, TypeVar

import attrs

__all__ = [
    'ArrivingBody',
    'CallBytes',
    'ConnectionPhase',
    'HeldBytes',
    'OpenConnections',
    'RetryBudget',
    'choose_connection_limit',
]

#: Share of an instance's memory for what callers send and have not read yet;
#: the program itself takes up to half of the smallest instances.
_MEMORY_SHARE = 0.2
#: Bytes where the memory is not stated.
_DEFAULT_BYTES = 67_108_864
#: Share of that for calls of which little is held, so that a few large bodies
#: don't keep all other callers away, and how much that is at most.
_SMALL_SHARE = 0.125
_SMALL_BYTES = 65_536
#: Seconds without a byte after which a body that has not arrived whole yields
#: its room, and bytes per second below which it does, over so many seconds.
_STALLED_SECONDS = 0.5
_LEAST_RATE = 65_536
_RATED_SECONDS = 1.0
#: Share of the descriptors for callers' connections; calls in progress need as
#: many more for endpoints as are busy at once, and the rest is for instances
#: and the store.
_DESCRIPTOR_SHARE = 0.7
#: Share of the memory for connections, and bytes that one takes in a long head.
_IDLE_MEMORY_SHARE = 0.25
_CONNECTION_BYTES = 65_536

Connection = TypeVar('Connection', bound=Hashable)


@attrs.define
class RetryBudget:
    """Credit that requests earn and retries spend.

    Attributes
    ----------
    percent
        Retries earned per hundred requests.
    burst
        Initial credit, and the maximum one unless that is less than a retry.
    per_second
        Retries earned per second, so that a service with few requests has some
        too.
    """

    percent: float
    burst: float
    per_second: float = 0
    _earned_at: float | None = attrs.field(init=False, default=None)
    _credit: float = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Start with the maximum credit."""
        self._credit = self.burst

    def earn(self, now: float) -> None:
        """Add the credit for a request, or for the time since if it is more."""
        since = 0 if self._earned_at is None else now - self._earned_at
        self._earned_at = now
        earned = max(self.percent / 100, since * self.per_second)
        self._credit = min(max(1, self.burst), self._credit + earned)

    @property
    def affords_one(self) -> bool:
        """Whether there is credit for a retry."""
        return self._credit >= 1

    def spend(self) -> bool:
        """Spend one retry; false when the credit does not cover it."""
        if not self.affords_one:
            return False
        self._credit -= 1
        return True


@attrs.define
class HeldBytes:
    """Bodies of calls, and answers that their callers have not read.

    Attributes
    ----------
    limit
        Bytes beyond which no more calls are received.
    held
        Bytes that are held now.
    """

    limit: float
    held: int = 0
    _arriving: set['ArrivingBody'] = attrs.field(factory=set)

    @classmethod
    def from_memory(cls, memory_bytes: float) -> 'HeldBytes':
        """Choose the limit by the memory of the instance, 0 if unknown."""
        return cls(memory_bytes * _MEMORY_SHARE or _DEFAULT_BYTES)

    def begin(self) -> 'CallBytes':
        """Begin to count the bytes of a call."""
        return CallBytes(self)

    def permits(self, size: int, before: int = 0) -> bool:
        """Return whether there is room for so many more bytes of a call.

        ``before`` is what is held for it.  A call that is alone has room,
        whatever its size.
        """
        return self._fits(self.held, size, before)

    def follow(self, body: 'ArrivingBody') -> None:
        """Let a body yield its room as long as it has not arrived whole."""
        self._arriving.add(body)

    def forget(self, body: 'ArrivingBody') -> None:
        """Let a body keep its room: it has arrived, or its call has ended."""
        self._arriving.discard(body)

    def make_room(self, size: int, before: int, now: float) -> None:
        """Interrupt slow bodies, if that makes room for more bytes of a call.

        Those go first of which nothing has arrived for longest.
        """
        slow = [body for body in self._arriving if body.is_slow(now)]
        occupied = self.held - sum(body.held.count for body in slow)
        if not self._fits(occupied, size, before):
            return
        for body in sorted(slow, key=lambda one: one.last_at):
            if self.permits(size, before):
                return
            self._arriving.discard(body)
            body.interrupt()

    def _fits(self, occupied: int, size: int, before: int) -> bool:
        is_small = before + size <= _SMALL_BYTES
        share = 1 if is_small else 1 - _SMALL_SHARE
        return not occupied or occupied + size <= self.limit * share


@attrs.define
class CallBytes:
    """The bytes that are held for one call, ``count`` of them now."""

    _total: HeldBytes = attrs.field(
        factory=functools.partial(HeldBytes.from_memory, 0)
    )
    count: int = 0
    _callbacks: list[Callable[[], None]] = attrs.field(factory=list)

    def try_add(self, size: int) -> bool:
        """Count more bytes, if there is room for them."""
        if not self._total.permits(size, self.count):
            return False
        self.add(size)
        return True

    def take(self, size: int, now: float) -> bool:
        """Count more bytes, if slow bodies leave room for them.

        A call that is alone has room for all of its chunks.
        """
        if self._total.held == self.count:
            self.add(size)
            return True
        if not self._total.permits(size, self.count):
            self._total.make_room(size, self.count, now)
        return self.try_add(size)

    @contextlib.contextmanager
    def receive(
        self, interrupt: Callable[[], None], now: float
    ) -> Iterator['ArrivingBody']:
        """Receive a body in a block, which ``interrupt`` ends for others."""
        body = ArrivingBody(self, interrupt, now, now)
        self._total.follow(body)
        try:
            yield body
        finally:
            self._total.forget(body)

    def add(self, size: int) -> None:
        """Count more bytes, whether there is room or not."""
        self.count += size
        self._total.held += size

    def call_at_release(self, callback: Callable[[], None]) -> None:
        """Call a function once nothing is held for the call any more."""
        self._callbacks.append(callback)

    def release(self) -> None:
        """End the call: nothing is held for it any more."""
        self._total.held -= self.count
        self.count = 0
        while self._callbacks:
            self._callbacks.pop()()


@attrs.define(eq=False)
class ArrivingBody:
    """A body that has not arrived whole.

    Attributes
    ----------
    held
        Bytes that are held for its call.
    last_at
        Monotonic time at which a part of it arrived last.
    is_interrupted
        Whether it had to yield its room.
    """

    held: CallBytes
    _interrupt: Callable[[], None]
    last_at: float
    #: Since when its rate is measured, and what has arrived since.
    _rated_at: float
    _unrated_bytes: int = 0
    _has_low_rate: bool = False
    is_interrupted: bool = False

    def record(self, size: int, now: float) -> None:
        """Record bytes that have arrived."""
        self.last_at = now
        self._unrated_bytes += size
        elapsed = now - self._rated_at
        if elapsed >= _RATED_SECONDS:
            self._has_low_rate = self._unrated_bytes < elapsed * _LEAST_RATE
            self._rated_at = now
            self._unrated_bytes = 0

    def is_slow(self, now: float) -> bool:
        """Return whether it yields its room to calls that need it."""
        return self._has_low_rate or now - self.last_at >= _STALLED_SECONDS

    def interrupt(self) -> None:
        """End the reading of the body; its room is free at once."""
        self.is_interrupted = True
        self.held.release()
        self._interrupt()


class ConnectionPhase(enum.IntEnum):
    """What a connection waits for; the first phases are closed first."""

    HEAD = 0
    """For the first request since it was opened."""
    BODY = 1
    """For the rest of a body."""
    IDLE = 2
    """For the next request."""
    BUSY = 3
    """For an answer."""


@attrs.define
class OpenConnections(Generic[Connection]):
    """The open connections of callers, by phase, longest in it first.

    Attributes
    ----------
    limit
        Most connections that may be open.
    """

    limit: int
    _phases: dict[Connection, ConnectionPhase] = attrs.field(factory=dict)
    _by_phase: dict[ConnectionPhase, dict[Connection, None]] = attrs.field(
        factory=lambda: {phase: {} for phase in ConnectionPhase},
    )

    def __len__(self) -> int:
        """Count the open connections."""
        return len(self._phases)

    def move(self, connection: Connection, phase: ConnectionPhase) -> None:
        """Record what a connection waits for from now on."""
        self.remove(connection)
        self._phases[connection] = phase
        self._by_phase[phase][connection] = None

    def end_body(self, connection: Connection) -> None:
        """Record that a call has arrived whole."""
        if self._phases.get(connection) is ConnectionPhase.BODY:
            self.move(connection, ConnectionPhase.BUSY)

    def end_call(self, connection: Connection) -> None:
        """Record that a connection waits for the next call, if it is open."""
        if connection in self._phases:
            self.move(connection, ConnectionPhase.IDLE)

    def remove(self, connection: Connection) -> None:
        """Forget a connection."""
        phase = self._phases.pop(connection, None)
        if phase is not None:
            self._by_phase[phase].pop(connection)

    def choose_excess(self, newest: Connection) -> Connection | None:
        """Choose the connection to close if there are too many.

        A sound caller sends its request as soon as it is connected, so it is
        the one that has waited longest; ``newest`` if all others are answered.
        """
        if len(self) <= self.limit:
            return None
        others = (
            connection
            for phase in ConnectionPhase
            for connection in self._by_phase[phase]
            if phase is not ConnectionPhase.BUSY and connection != newest
        )
        return next(others, newest)


def choose_connection_limit(descriptors: float, memory_bytes: float) -> int:
    """Choose the most connections of callers for a machine.

    ``memory_bytes`` is 0 where it is not stated.
    """
    limit = descriptors * _DESCRIPTOR_SHARE
    if memory_bytes:
        limit = min(
            limit, memory_bytes * _IDLE_MEMORY_SHARE / _CONNECTION_BYTES
        )
    return max(1, int(limit))
