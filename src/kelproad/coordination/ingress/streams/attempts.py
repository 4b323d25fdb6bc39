"""Attempts: a call sent to one endpoint, and the answer read from it.

Each attempt opens a connection of its own.  A pooled one may be dead, may just
be closed by the endpoint, or may hold the answer to another call; with a new
one, a failure to connect proves that nothing ran.
"""

import asyncio
from collections.abc import AsyncIterator, Callable

import aiohttp
import attrs
import yarl
from aiohttp import web
from multidict import CIMultiDict
from returns.result import Failure, Result, Success

from ....protocol.connections import (
    SKIPPED_AUTO_HEADERS,
    ConnectionProgress,
    build_connect_timeout,
)
from ....protocol.plain import MAX_ANSWER_BYTES
from ....state.calls import AnswerHead, Call, Forwarding, Outcome
from ....state.endpoints import Endpoint
from ....state.refusals import Ran
from ....transport.deadlines import monotonic, within
from ....transport.http import ConnectionLostError, create_end_check
from ..admission.dialect import Dialect

__all__ = [
    'AttemptFailure',
    'EndpointClient',
    'OpenAnswer',
    'CompleteAnswer',
    'fail_unanswered',
]

#: Seconds for connecting, directly and through peers.
CONNECT_TIMEOUT = 0.25
#: Seconds between two checks whether to go on waiting for a silent answer, as
#: more may be known of its endpoint by then.
_CHECK_PERIOD = 0.1
_BODILESS_STATUSES = frozenset((204, 304))


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


@attrs.frozen
class OpenAnswer:
    """An answer whose head has been read and whose body has not."""

    head: AnswerHead
    response: aiohttp.ClientResponse
    ended_properly: Callable[[], bool]

    async def read_chunks(
        self,
        is_stalled: Callable[[float], bool] | None = None,
    ) -> AsyncIterator[bytes]:
        """Yield the body as it arrives.

        Parameters
        ----------
        is_stalled
            Returns whether to stop waiting after the given seconds without a
            byte; without it, there is no limit.

        Raises
        ------
        TimeoutError
            When ``is_stalled`` returns true.
        aiohttp.ClientError
            When the connection broke before the end.
        """
        while True:
            chunk = await self._read_next(is_stalled)
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

    async def _read_next(
        self,
        is_stalled: Callable[[float], bool] | None,
    ) -> bytes:
        if is_stalled is None:
            return await self.response.content.readany()
        started_at = monotonic()
        while True:
            try:
                async with asyncio.timeout(_CHECK_PERIOD):
                    return await self.response.content.readany()
            except asyncio.TimeoutError:
                if is_stalled(monotonic() - started_at):
                    raise


@attrs.frozen
class EndpointClient:
    """Sends calls to endpoints, without retries."""

    _session: aiohttp.ClientSession
    _dialect: Dialect
    _observe_answer: Callable[[Endpoint, AnswerHead], None]

    async def open(
        self,
        call: Call,
        received: CIMultiDict[str],
        endpoint: Endpoint,
        forwarding: Forwarding,
        deadline: float,
        fault_threshold: float,
        progress: ConnectionProgress,
    ) -> Result[OpenAnswer, AttemptFailure]:
        """Send a call and read the head of its answer, until a deadline.

        A silence until the deadline is attributed to the endpoint if it lasted
        ``fault_threshold`` seconds or longer.  ``progress`` is that of the
        connection.
        """
        sent_at = monotonic()
        try:
            async with within(deadline):
                response = await self._send(
                    call,
                    received,
                    endpoint,
                    forwarding,
                    progress,
                )
        except asyncio.TimeoutError:
            now = monotonic()
            blameless = now >= deadline and now - sent_at < fault_threshold
            return Failure(
                fail_unanswered(progress, 'no answer in time', blameless)
            )
        except (aiohttp.ClientError, OSError) as error:
            return Failure(fail_unanswered(progress, repr(error)))
        head = self._dialect.read_answer_head(response, call.request_id)
        self._observe_answer(endpoint, head)
        answer = OpenAnswer(head, response, create_end_check(response))
        return await self._classify(answer, deadline)

    async def _send(
        self,
        call: Call,
        received: CIMultiDict[str],
        endpoint: Endpoint,
        forwarding: Forwarding,
        progress: ConnectionProgress,
    ) -> aiohttp.ClientResponse:
        address = endpoint.declaration.address
        return await self._session.request(
            call.head.method,
            # Encoded: the path is forwarded exactly as the caller wrote it.
            yarl.URL(f'http://{address}{call.head.target}', encoded=True),
            headers=self._dialect.encode_call(call, received, forwarding),
            data=call.body or None,
            skip_auto_headers=SKIPPED_AUTO_HEADERS,
            allow_redirects=False,
            timeout=build_connect_timeout(CONNECT_TIMEOUT),
            trace_request_ctx=progress,
        )

    async def _classify(
        self,
        answer: OpenAnswer,
        deadline: float,
    ) -> Result[OpenAnswer, AttemptFailure]:
        """Separate answers to forward from failures."""
        head = answer.head
        if head.outcome is Outcome.ANSWERED:
            return Success(answer)
        if head.outcome is Outcome.ERROR:
            return Failure(await _collect_error(answer, deadline))
        answer.close()
        if head.outcome is Outcome.MISMATCHED:
            return Failure(
                AttemptFailure('answer to another call', Ran.UNKNOWN),
            )
        return Failure(
            AttemptFailure(
                f'not run: status {head.status}',
                Ran.NO,
                fault=head.at_fault,
                misdirected=head.outcome is Outcome.MISDIRECTED,
            ),
        )


async def collect(
    answer: OpenAnswer,
    deadline: float,
) -> Result[CompleteAnswer, AttemptFailure]:
    """Read the complete body of an answer, and close the answer."""
    received = bytearray()
    try:
        async with within(deadline):
            async for chunk in answer.read_chunks():
                received += chunk
                if len(received) > MAX_ANSWER_BYTES:
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
    return Success(CompleteAnswer(answer.head, bytes(received)))


def _fail_executed(reason: str) -> Result[CompleteAnswer, AttemptFailure]:
    return Failure(AttemptFailure(reason, Ran.YES))


async def _collect_error(
    answer: OpenAnswer,
    deadline: float,
) -> AttemptFailure:
    """Read an error of the endpoint, to forward if no attempt succeeds."""
    collected = await collect(answer, deadline)
    if isinstance(collected, Failure):
        return collected.failure()
    return AttemptFailure(
        f'status {answer.head.status}',
        Ran.YES,
        answer=collected.unwrap(),
    )


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
