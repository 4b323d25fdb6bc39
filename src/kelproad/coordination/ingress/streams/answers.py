"""Answers of endpoints as they are read, and attempts that brought none."""

import asyncio
import contextlib
from collections.abc import AsyncIterator, Callable

import aiohttp
import attrs
from aiohttp import web
from multidict import CIMultiDict
from returns.result import Failure, Result, Success

from ....protocol.connections import ConnectionProgress
from ....protocol.plain import MAX_ANSWER_BYTES
from ....state.budgets import CallBytes
from ....state.calls import AnswerHead, Outcome
from ....state.refusals import Ran
from ....transport.deadlines import within
from ....transport.http import is_framed
from .largeanswers import LargeAnswers

__all__ = [
    'AttemptFailure',
    'CompleteAnswer',
    'OpenAnswer',
    'collect',
    'fail_unanswered',
]

_BODILESS_STATUSES = frozenset((204, 304))
#: Bytes of a body beyond which memory is reserved to collect it.
_LARGE_BYTES = 65_536


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
    is_full
        Whether the endpoint lacks the memory now, and may have it in a moment.
    misdirected
        Whether another endpoint has the address now.
    invalid
        Whether the endpoint sent something that is no answer.
    answer
        The error that the endpoint answered with.
    """

    reason: str
    ran: Ran
    arrived: bool = True
    fault: str = ''
    blameless: bool = False
    exclude: str = ''
    is_full: bool = False
    misdirected: bool = False
    invalid: bool = False
    answer: 'CompleteAnswer | None' = None

    @property
    def is_inconclusive(self) -> bool:
        """Whether it does not tell if the endpoint is well or has ended."""
        may_run = self.arrived and self.ran is Ran.UNKNOWN
        return may_run and self.blameless and self.answer is None

    @property
    def answered(self) -> bool:
        """Whether the endpoint was heard, if only by a refusal."""
        refused = self.arrived and self.ran is Ran.NO
        return refused or self.invalid or self.answer is not None


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


@attrs.frozen
class OpenAnswer:
    """An answer whose head has been read and whose body has not."""

    head: AnswerHead
    response: aiohttp.ClientResponse
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
    """Read a body to its end, a large one in reserved memory.

    That of an answer for the caller stays reserved to the end of the call.
    That of a failure does not, as the call may wait for memory once more.

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
        with contextlib.ExitStack() as reserved:
            reserved.callback(memory.release)
            async for part in answer.read_chunks():
                record_part()
                parts.append(part)
                length += len(part)
                if length > MAX_ANSWER_BYTES:
                    raise _TooLongError
                if length > _LARGE_BYTES and not memory.is_reserved:
                    size = answer.response.content_length or MAX_ANSWER_BYTES
                    await memory.reserve(size)
            body = b''.join(parts)
            if answer.head.outcome is Outcome.ANSWERED:
                memory.keep(length)
                answer.held.call_at_release(reserved.pop_all().close)
            return body
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
