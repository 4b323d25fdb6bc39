"""Budgets: of retries, and of the bytes that are held for callers."""

import functools
from collections.abc import Callable

import attrs

__all__ = ['CallBytes', 'HeldBytes', 'RetryBudget']

#: Share of an instance's memory for what callers send and have not read yet;
#: the program itself takes up to half of the smallest instances.
_MEMORY_SHARE = 0.2
#: Bytes where the memory is not stated.
_DEFAULT_BYTES = 67_108_864


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

    @classmethod
    def from_memory(cls, memory_bytes: float) -> 'HeldBytes':
        """Choose the limit by the memory of the instance, 0 if unknown."""
        return cls(memory_bytes * _MEMORY_SHARE or _DEFAULT_BYTES)

    def begin(self) -> 'CallBytes':
        """Begin to count the bytes of a call."""
        return CallBytes(self)

    def permits(self, size: int) -> bool:
        """Return whether there is room for so many more bytes.

        A call that is alone has room, whatever its size.
        """
        return not self.held or self.held + size <= self.limit


@attrs.define
class CallBytes:
    """The bytes that are held for one call."""

    _total: HeldBytes = attrs.field(
        factory=functools.partial(HeldBytes.from_memory, 0)
    )
    _count: int = 0
    _callbacks: list[Callable[[], None]] = attrs.field(factory=list)

    def try_add(self, size: int) -> bool:
        """Count more bytes, if there is room for them."""
        if not self._total.permits(size):
            return False
        self.add(size)
        return True

    def add(self, size: int) -> None:
        """Count more bytes, whether there is room or not."""
        self._count += size
        self._total.held += size

    def call_at_release(self, callback: Callable[[], None]) -> None:
        """Call a function once nothing is held for the call any more."""
        self._callbacks.append(callback)

    def release(self) -> None:
        """End the call: nothing is held for it any more."""
        self._total.held -= self._count
        self._count = 0
        while self._callbacks:
            self._callbacks.pop()()
