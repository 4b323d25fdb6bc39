"""Answers of endpoints as they are read, and attempts that brought none."""

import asyncio
import contextlib
from collections.abc import AsyncIterator, Callable
from typing import Self

import aiohttp
import attrs
from aiohttp import web
from multidict import CIMultiDict
from returns.result import Failure, Result, Success

from ....protocol.connections import ConnectionProgress
from ....protocol.plain import MAX_ANSWER_BYTES
from ....state.budgets import CallBytes
from ....state.calls import AnswerHead
from ....state.refusals import Ran
from ....transport.deadlines import within
from ....transport.http import ConnectionLostError, is_framed

__all__ = [
    'AttemptFailure',
    'CompleteAnswer',
    'LargeAnswers',
    'OpenAnswer',
    'collect',
    'fail_unanswered',
]

_BODILESS_STATUSES = frozenset((204, 304))
#: Bytes of a body beyond which memory is reserved to collect it.
_LARGE_BYTES = 65_536
#: Shares of an instance's memory for such bodies: while they arrive, and with
#: those that their callers have not read.
_ARRIVING_SHARE = 0.06
_LARGE_SHARE = 0.15
#: Bytes for both where the memory is not stated.
_DEFAULT_LARGE_BYTES = 67_108_864


@attrs.frozen
class AttemptFailure:
    """An attempt without an answer to forward.

    Attributes
    ----------
    ran
        Whether the endpoint executed the call.
    arrived
        Whether a connection was made, so that the endpoint may have read it.
    fault
        Address of the endpoint at fault, if the answer named another one.
    blameless
        Whether the failure is not attributed to the endpoint, such as an
        expired deadline.
    exclude
        Name of another endpoint to exclude from the next attempt.
    misdirected
        Whether another endpoint has the address now.
    answer
        The error that the endpoint answered with.
    """

    reason: str
    ran: Ran
    arrived: bool = True
    fault: str = ''
    blameless: bool = False
    exclude: str = ''
    misdirected: bool = False
    answer: 'CompleteAnswer | None' = None

    @property
    def answered(self) -> bool:
        """Whether the endpoint sent an answer, if only a refusal."""
        refused = self.arrived and self.ran is Ran.NO
        return refused or self.answer is not None


@attrs.frozen
class CompleteAnswer:
    """An answer with its complete body."""

    head: AnswerHead
    body: bytes

    def build_response(self) -> web.Response:
        """Build the response to the caller, with status and body unchanged."""
        return web.Response(
            status=self.head.status,
            headers=CIMultiDict(self.head.headers),
            body=None if self.head.status in _BODILESS_STATUSES else self.body,
        )


class _TooLongError(Exception):
    """A body is longer than what is forwarded."""


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


@attrs.frozen
class OpenAnswer:
    """An answer whose head has been read and whose body has not."""

    head: AnswerHead
    response: aiohttp.ClientResponse
    ended_properly: Callable[[], bool]
    large_answers: LargeAnswers = attrs.field(factory=LargeAnswers)
    held: CallBytes = attrs.field(factory=CallBytes)

    @property
    def is_too_long(self) -> bool:
        """Whether the stated length of its body can't be collected."""
        length = self.response.content_length or 0
        return length > MAX_ANSWER_BYTES and self.response.method != 'HEAD'

    @property
    def may_lack_its_body(self) -> bool:
        """Whether an empty body may be one that was cut off.

        A process that ends closes its connections like one that has sent all.
        """
        bodiless = (
            self.head.status in _BODILESS_STATUSES
            or self.response.method == 'HEAD'
        )
        return not (bodiless or is_framed(self.response))

    async def read_chunks(self) -> AsyncIterator[bytes]:
        """Yield the body as it arrives.

        Raises
        ------
        aiohttp.ClientError
            When the connection broke before the end.
        """
        while True:
            chunk = await self.response.content.readany()
            if not chunk and self.response.content.at_eof():
                break
            yield chunk
        if not self.ended_properly():
            raise ConnectionLostError(
                'connection reset before the end of the body'
            )

    def close(self) -> None:
        """Close the connection, on which the endpoint aborts the work."""
        self.response.close()


def _ignore() -> None:
    """Ignore that a part of a body has arrived."""


async def collect(
    answer: OpenAnswer,
    deadline: float,
    record_part: Callable[[], None] = _ignore,
) -> Result[CompleteAnswer, AttemptFailure]:
    """Read the complete body of an answer, and close the answer.

    ``record_part`` is called whenever a part of it has arrived.  A large body
    is read on once memory is reserved for its stated length, or for the longest
    one.
    """
    try:
        async with within(deadline):
            body = await _read_body(answer, record_part)
    except _TooLongError:
        return _fail_executed('the answer is too long')
    except asyncio.TimeoutError:
        return Failure(
            AttemptFailure(
                'the body did not arrive in time', Ran.UNKNOWN, blameless=True
            )
        )
    except (aiohttp.ClientError, OSError) as error:
        return _fail_executed(f'the body was truncated: {error!r}')
    finally:
        answer.close()
    complete = CompleteAnswer(answer.head, body)
    if answer.may_lack_its_body and not body:
        return Failure(
            AttemptFailure(
                'the answer is empty, without a length',
                Ran.YES,
                blameless=True,
                answer=complete,
            )
        )
    return Success(complete)


async def _read_body(
    answer: OpenAnswer, record_part: Callable[[], None]
) -> bytes:
    """Read a body to its end, a large one in memory reserved for the call.

    Raises
    ------
    _TooLongError
        When it is longer than what is forwarded.
    aiohttp.ClientError
        When the connection broke before the end.
    """
    if answer.is_too_long:
        raise _TooLongError
    # One growing buffer would at times be copied, and take twice the memory.
    parts: list[bytes] = []
    length = 0
    memory = answer.large_answers.begin()
    try:
        with contextlib.ExitStack() as failing:
            failing.callback(memory.release)
            async for part in answer.read_chunks():
                record_part()
                parts.append(part)
                length += len(part)
                if length > MAX_ANSWER_BYTES:
                    raise _TooLongError
                if length > _LARGE_BYTES and not memory.is_reserved:
                    size = answer.response.content_length or MAX_ANSWER_BYTES
                    await memory.reserve(size)
            memory.keep(length)
            answer.held.call_at_release(failing.pop_all().close)
            return b''.join(parts)
    finally:
        # The traceback of an error may keep this frame for a while.
        parts.clear()


def _fail_executed(reason: str) -> Result[CompleteAnswer, AttemptFailure]:
    return Failure(AttemptFailure(reason, Ran.YES))


def fail_unanswered(
    progress: ConnectionProgress,
    reason: str,
    blameless: bool = False,
) -> AttemptFailure:
    """Build the failure of an attempt that ended before its answer began."""
    return AttemptFailure(
        reason,
        Ran.UNKNOWN if progress.connected else Ran.NO,
        arrived=progress.connected,
        blameless=blameless,
    )
