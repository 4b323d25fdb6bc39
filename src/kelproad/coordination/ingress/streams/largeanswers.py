"""Memory for large answers, which are collected before they are sent."""

import asyncio
from typing import Self

import attrs

from ....protocol.plain import MAX_ANSWER_BYTES

__all__ = ['LargeAnswer', 'LargeAnswers']

#: Shares of an instance's memory for large bodies: while they arrive, and with
#: those that their callers have not read.
_ARRIVING_SHARE = 0.06
_LARGE_SHARE = 0.15
#: Bytes for both where the memory is not stated.
_DEFAULT_LARGE_BYTES = 67_108_864


@attrs.define
class LargeAnswers:
    """Memory for large bodies, reserved in turn.

    A body keeps its memory until its caller has read it.
    """

    _arriving_limit: float = MAX_ANSWER_BYTES
    _limit: float = _DEFAULT_LARGE_BYTES
    _arriving: int = 0
    _unread: int = 0
    _turn: asyncio.Lock = attrs.field(factory=asyncio.Lock)
    _freed: asyncio.Event = attrs.field(factory=asyncio.Event)

    @classmethod
    def from_memory(cls, memory_bytes: float) -> Self:
        """Reserve shares of an instance's memory, enough for any one body."""
        return cls(
            max(MAX_ANSWER_BYTES, memory_bytes * _ARRIVING_SHARE),
            max(
                MAX_ANSWER_BYTES,
                memory_bytes * _LARGE_SHARE or _DEFAULT_LARGE_BYTES,
            ),
        )

    def begin(self) -> 'LargeAnswer':
        """Begin to read a body, of which nothing is reserved yet."""
        return LargeAnswer(self)

    async def reserve(self, size: int) -> None:
        """Reserve memory for a body that arrives."""
        async with self._turn:
            while not self._has_room(size):
                self._freed.clear()
                await self._freed.wait()
            self._arriving += size

    def keep(self, reserved: int, length: int) -> None:
        """Keep only the length of a body that has arrived."""
        self._arriving -= reserved
        self._unread += length
        self._freed.set()

    def free(self, arriving: int, unread: int) -> None:
        """Free what was reserved for a body."""
        self._arriving -= arriving
        self._unread -= unread
        self._freed.set()

    def _has_room(self, size: int) -> bool:
        """Return whether there is room; a body that is alone has it."""
        arriving = self._arriving + size
        if self._arriving and arriving > self._arriving_limit:
            return False
        held = self._arriving + self._unread
        return not held or held + size <= self._limit


@attrs.define
class LargeAnswer:
    """Memory that is reserved for one body; none for a small one."""

    _memory: LargeAnswers
    _arriving: int = 0
    _unread: int = 0

    @property
    def is_reserved(self) -> bool:
        """Whether memory is reserved."""
        return bool(self._arriving)

    async def reserve(self, size: int) -> None:
        """Wait for memory for the whole body."""
        await self._memory.reserve(size)
        self._arriving = size

    def keep(self, length: int) -> None:
        """Keep only the length of the body, which has arrived."""
        if self.is_reserved:
            self._memory.keep(self._arriving, length)
            self._arriving = 0
            self._unread = length

    def release(self) -> None:
        """Free the memory."""
        self._memory.free(self._arriving, self._unread)
        self._arriving = 0
        self._unread = 0
