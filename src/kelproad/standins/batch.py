"""Model of an engine's timing and memory: prefill, decode, KV and prefix cache.

One loop runs the engine step by step.  A step prefills one chunk of the first
waiting prompt, which cannot be interrupted, and then decodes one token of every
running stream.
"""

import asyncio
import collections
import heapq
import itertools

import attrs

from ..transport.deadlines import monotonic
from .settings import EngineSettings
from .streams import BLOCK_TOKENS, Stream

__all__ = ['Batch']


@attrs.frozen
class CacheEvent:
    """A block that was stored in the prefix cache or evicted from it.

    Attributes
    ----------
    at
        Monotonic time, in seconds.
    kind
        ``stored`` or ``evicted``.
    block
        Digest of the block.
    """

    at: float
    kind: str
    block: str


class Batch:
    """The engine's scheduling loop, its memory and its prefix cache.

    Attributes
    ----------
    used_tokens
        Tokens of KV cache that streams, exports and pins have reserved.
    slowness
        Factor by which each step takes longer.
    """

    def __init__(self, settings: EngineSettings) -> None:
        """Start with an empty memory and an empty prefix cache."""
        self._settings = settings
        self._waiting: list[tuple[int, int, Stream]] = []
        self._order = itertools.count()
        self._running: list[Stream] = []
        self._prefilling: Stream | None = None
        self._preempted: list[Stream] = []
        self._work_changed = asyncio.Event()
        self._cache: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )
        self.cache_events: list[CacheEvent] = []
        self.used_tokens = 0
        self.slowness = 1.0

    @property
    def waiting_tokens(self) -> int:
        """Prompt tokens that have not been prefilled yet."""
        waiting = sum(
            stream.prompt_tokens
            for _, _, stream in self._waiting
            if not stream.cancelled
        )
        started = self._preempted.copy()
        if self._prefilling is not None:
            started.append(self._prefilling)
        return waiting + sum(stream.to_prefill for stream in started)

    @property
    def running(self) -> int:
        """Number of streams that are being decoded."""
        return len(self._running)

    def add(self, stream: Stream) -> None:
        """Queue a stream by priority, in order of arrival within each."""
        priority = stream.priority if self._settings.honours_priorities else 0
        heapq.heappush(self._waiting, (priority, next(self._order), stream))
        self._work_changed.set()

    def release(self, stream: Stream) -> None:
        """Free a stream's memory, and cancel it if it has not ended."""
        stream.cancelled = True
        if stream in self._running:
            self._running.remove(stream)
        if stream.admitted:
            stream.admitted = False
            self.used_tokens -= stream.memory
        self._work_changed.set()

    def store_blocks(self, blocks: list[str]) -> None:
        """Cache blocks, evicting those that were used least recently."""
        for block in blocks:
            if block not in self._cache:
                self._record_cache_event('stored', block)
            self._cache[block] = None
            self._cache.move_to_end(block)
        limit = self._settings.cache_tokens // BLOCK_TOKENS
        while len(self._cache) > limit:
            block, _ = self._cache.popitem(last=False)
            self._record_cache_event('evicted', block)

    async def run(self) -> None:
        """Run steps until cancelled, waiting while there is nothing to do."""
        while True:
            if self._settings.interrupts_prefill:
                self._preempt_prefill()
            self._admit_next()
            self._resume_prefill()
            if self._prefilling is None and not self._running:
                self._work_changed.clear()
                await self._work_changed.wait()
                continue
            await self._step()

    async def _step(self) -> None:
        settings = self._settings
        seconds = 0
        stream = self._prefilling
        if stream is not None:
            chunk = min(settings.chunk_tokens, stream.to_prefill)
            seconds += chunk / settings.prefill_tokens_per_second
            stream.to_prefill -= chunk
        if self._running:
            seconds += settings.decode_seconds
        await asyncio.sleep(seconds * self.slowness / settings.time_scale)
        for running in list(self._running):
            await self._decode(running)
        if stream is not None and stream.to_prefill <= 0:
            self._finish_prefill(stream)

    def _admit_next(self) -> None:
        """Start to prefill the first waiting stream if its memory is free."""
        while self._prefilling is None and self._waiting:
            priority, _, stream = self._waiting[0]
            if stream.cancelled:
                heapq.heappop(self._waiting)
                continue
            if self._preempted and priority >= self._preempted[-1].priority:
                return
            if self.used_tokens + stream.memory > self._settings.memory_tokens:
                return
            heapq.heappop(self._waiting)
            stream.admitted = True
            self.used_tokens += stream.memory
            cached = self._count_cached(stream) * BLOCK_TOKENS
            stream.to_prefill = max(1, stream.prompt_tokens - cached)
            self._prefilling = stream

    def _preempt_prefill(self) -> None:
        """Preempt the prefill for a prompt of higher priority that fits."""
        current = self._prefilling
        if current is None or not self._waiting:
            return
        priority, _, head = self._waiting[0]
        fits = self.used_tokens + head.memory <= self._settings.memory_tokens
        if fits and priority < current.priority:
            self._preempted.append(current)
            self._prefilling = None

    def _resume_prefill(self) -> None:
        """Resume the prefill preempted last, unless another one is running.

        A preempted stream keeps its memory, so a waiting prompt that does not
        fit never blocks it.
        """
        while self._prefilling is None and self._preempted:
            stream = self._preempted.pop()
            if not stream.cancelled:
                self._prefilling = stream

    def _finish_prefill(self, stream: Stream) -> None:
        self._prefilling = None
        if stream.cancelled:
            return
        self.store_blocks(stream.blocks)
        self._running.append(stream)

    async def _decode(self, stream: Stream) -> None:
        if stream.cancelled:
            return
        stream.produced += 1
        last = stream.produced >= stream.max_tokens
        async with stream.changed:
            stream.events.append(stream.encode_token(last))
            if last:
                stream.events.append(b'[DONE]')
                stream.done = True
                self._running.remove(stream)
            stream.changed.notify_all()

    # Prefix cache

    def _count_cached(self, stream: Stream) -> int:
        count = 0
        for block in stream.blocks:
            if block not in self._cache:
                break
            self._cache.move_to_end(block)
            count += 1
        return count

    def _record_cache_event(self, kind: str, block: str) -> None:
        self.cache_events.append(CacheEvent(monotonic(), kind, block))
