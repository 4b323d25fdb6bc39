"""Model of an engine's time and memory: prefill, decode, KV cache, prefixes.

One loop runs the engine step by step.  A step prefills one chunk of the first
waiting prompt, which cannot be interrupted, and then decodes one token of every
running stream.
"""

import asyncio
import collections
import hashlib
import heapq
import itertools
import pathlib
import sys
from typing import Self

import attrs
from returns.result import Failure

from ..protocol.documents import read_document, structure

__all__ = [
    'Batch',
    'EngineSettings',
    'Stream',
    'count_tokens',
    'digest_blocks',
]

#: Bytes of prompt that count as one token.
_BYTES_PER_TOKEN = 4
#: Tokens of one block of the prefix cache.
_BLOCK_TOKENS = 1024


@attrs.frozen
class EngineSettings:
    """Rates and sizes of the engine.

    Attributes
    ----------
    time_scale
        Factor by which the engine runs faster than the rates say, so that a
        demo lasts seconds.
    event_lag, load_lag
        Seconds by which cache events and load reports are late.
    interrupts_prefill
        Whether a prompt of higher priority goes between the chunks of another,
        as in engines whose scheduler picks the prompt anew at every step.
    event_gap
        Every how many cache events one is lost; 0 for never.
    """

    prefill_tokens_per_second: float = 15_000.0
    chunk_tokens: int = 4096
    decode_seconds: float = 0.028
    memory_tokens: int = 400_000
    cache_tokens: int = 200_000
    honours_priorities: bool = True
    enforces_fencing: bool = True
    time_scale: float = 10.0
    load_lag: float = 0.5
    event_lag: float = 1.0
    event_gap: int = 0
    default_max_tokens: int = 16
    interrupts_prefill: bool = False

    @classmethod
    def from_file(cls, path: pathlib.Path | None) -> Self:
        """Read the settings, or take the defaults."""
        if path is None:
            return cls()
        document = read_document(path.read_text(), str(path))
        read = document.bind(lambda content: structure(content, cls))
        if isinstance(read, Failure):
            sys.exit('\n'.join(str(item) for item in read.failure()))
        return read.unwrap()


@attrs.define(eq=False)
class Stream:
    """One completion in the engine.

    Attributes
    ----------
    to_prefill
        Prompt tokens that are not computed yet.
    events
        Data of the events produced so far, the terminal one included.
    """

    attempt_id: str
    owner: str
    priority: int
    deadline: float
    prompt_tokens: int
    max_tokens: int
    model: str
    chat: bool
    blocks: list[str]
    to_prefill: int = 0
    produced: int = 0
    admitted: bool = False
    done: bool = False
    cancelled: bool = False
    events: list[bytes] = attrs.field(factory=list)
    changed: asyncio.Condition = attrs.field(factory=asyncio.Condition)

    async def wait_beyond(self, number: int) -> None:
        """Wait until there are more events than a number, or no more."""
        async with self.changed:
            while len(self.events) <= number and not self.cancelled:
                await self.changed.wait()

    @property
    def memory(self) -> int:
        """Tokens of KV cache that the stream needs."""
        return self.prompt_tokens + self.max_tokens


class Batch:
    """The engine's loop, its memory and its prefix cache."""

    def __init__(self, settings: EngineSettings) -> None:
        """Start with nothing in memory."""
        self._settings = settings
        self._waiting: list[tuple[int, int, Stream]] = []
        self._order = itertools.count()
        self._running: list[Stream] = []
        self._prefilling: Stream | None = None
        self._put_aside: list[Stream] = []
        self._woken = asyncio.Event()
        self._cache: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )
        self.cache_events: list[tuple[str, str]] = []
        self.used_tokens = 0
        self.slowness = 1.0

    @property
    def waiting_tokens(self) -> int:
        """Prompt tokens that are not computed yet."""
        waiting = sum(
            stream.prompt_tokens
            for _, _, stream in self._waiting
            if not stream.cancelled
        )
        begun = self._put_aside.copy()
        if self._prefilling is not None:
            begun.append(self._prefilling)
        return waiting + sum(stream.to_prefill for stream in begun)

    @property
    def running(self) -> int:
        """Number of streams that are being decoded."""
        return len(self._running)

    def add(self, stream: Stream) -> None:
        """Queue a stream."""
        priority = stream.priority if self._settings.honours_priorities else 0
        heapq.heappush(self._waiting, (priority, next(self._order), stream))
        self._woken.set()

    def release(self, stream: Stream) -> None:
        """Free what a stream holds, and stop it if it has not ended."""
        stream.cancelled = True
        if stream in self._running:
            self._running.remove(stream)
        if stream.admitted:
            stream.admitted = False
            self.used_tokens -= stream.memory
        self._woken.set()

    async def run(self) -> None:
        """Run the engine for ever."""
        while True:
            if self._settings.interrupts_prefill:
                self._put_prefill_aside()
            self._admit_next()
            self._take_prefill_up()
            if self._prefilling is None and not self._running:
                self._woken.clear()
                await self._woken.wait()
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
        """Take the first waiting stream if its memory is free."""
        while self._prefilling is None and self._waiting:
            priority, _, stream = self._waiting[0]
            if stream.cancelled:
                heapq.heappop(self._waiting)
                continue
            if self._put_aside and priority >= self._put_aside[-1].priority:
                return
            if self.used_tokens + stream.memory > self._settings.memory_tokens:
                return
            heapq.heappop(self._waiting)
            stream.admitted = True
            self.used_tokens += stream.memory
            cached = self._count_cached(stream) * _BLOCK_TOKENS
            stream.to_prefill = max(1, stream.prompt_tokens - cached)
            self._prefilling = stream

    def _put_prefill_aside(self) -> None:
        """Let a prompt of higher priority go first, if its memory is free."""
        begun = self._prefilling
        if begun is None or not self._waiting:
            return
        priority, _, head = self._waiting[0]
        fits = self.used_tokens + head.memory <= self._settings.memory_tokens
        if fits and priority < begun.priority:
            self._put_aside.append(begun)
            self._prefilling = None

    def _take_prefill_up(self) -> None:
        """Go on with the prompt put aside last, when nothing goes before it.

        What was put aside has its memory already, so a waiting prompt that
        does not fit never keeps it from going on.
        """
        while self._prefilling is None and self._put_aside:
            stream = self._put_aside.pop()
            if not stream.cancelled:
                self._prefilling = stream

    def _finish_prefill(self, stream: Stream) -> None:
        self._prefilling = None
        if stream.cancelled:
            return
        self._store_blocks(stream)
        self._running.append(stream)

    async def _decode(self, stream: Stream) -> None:
        if stream.cancelled:
            return
        stream.produced += 1
        last = stream.produced >= stream.max_tokens
        async with stream.changed:
            stream.events.append(_encode_token(stream, last))
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

    def _store_blocks(self, stream: Stream) -> None:
        for block in stream.blocks:
            if block not in self._cache:
                self.cache_events.append(('stored', block))
            self._cache[block] = None
            self._cache.move_to_end(block)
        limit = self._settings.cache_tokens // _BLOCK_TOKENS
        while len(self._cache) > limit:
            block, _ = self._cache.popitem(last=False)
            self.cache_events.append(('evicted', block))


def count_tokens(prompt: bytes) -> int:
    """Count a prompt's tokens as the model would."""
    return max(1, len(prompt) // _BYTES_PER_TOKEN)


def digest_blocks(prompt: bytes) -> list[str]:
    """Digest the prompt's blocks, each together with all before it."""
    size = _BLOCK_TOKENS * _BYTES_PER_TOKEN
    running = hashlib.blake2b(digest_size=8)
    digests = []
    for start in range(0, len(prompt) - size + 1, size):
        running.update(prompt[start : start + size])
        digests.append(running.hexdigest())
    return digests


def _encode_token(stream: Stream, last: bool) -> bytes:
    text = f'{stream.attempt_id}#{stream.produced} '
    part = (
        f'"delta": {{"role": "assistant", "content": "{text}"}}'
        if stream.chat
        else f'"text": "{text}"'
    )
    kind = 'chat.completion.chunk' if stream.chat else 'text_completion'
    reason = '"stop"' if last else 'null'
    return (
        f'{{"id": "{stream.attempt_id}", "object": "{kind}", "created": 0, '
        f'"model": "{stream.model}", "choices": [{{"index": 0, {part}, '
        f'"finish_reason": {reason}}}]}}'
    ).encode()
