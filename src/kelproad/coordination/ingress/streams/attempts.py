"""Attempts: a call sent to one endpoint, and the head of its answer.

Each attempt opens a connection of its own.  A pooled one may be dead, may just
be closed by the endpoint, or may hold the answer to another call; with a new
one, a failure to connect proves that nothing ran.
"""

import asyncio
from collections.abc import Callable

import aiohttp
import attrs
import yarl
from multidict import CIMultiDict
from returns.result import Failure, Result, Success

from ....protocol.connections import (
    SKIPPED_AUTO_HEADERS,
    ConnectionProgress,
    build_connect_timeout,
)
from ....state.calls import AnswerHead, Call, Forwarding, Outcome
from ....state.endpoints import Endpoint
from ....state.refusals import Ran
from ....transport.deadlines import monotonic, within
from ....transport.http import InvalidAnswerError, wrap_body
from ..admission.dialect import Dialect
from .answers import AttemptFailure, OpenAnswer, collect, fail_unanswered
from .largeanswers import LargeAnswers

__all__ = ['EndpointClient']

#: Seconds for connecting, directly and through peers.
CONNECT_TIMEOUT = 0.25


@attrs.frozen
class EndpointClient:
    """Sends calls to endpoints, without retries.

    ``_large_answers`` has the memory for large bodies.
    """

    _session: aiohttp.ClientSession
    _dialect: Dialect
    _observe_answer: Callable[[Endpoint, AnswerHead], None]
    _large_answers: LargeAnswers = attrs.field(factory=LargeAnswers)

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
        except InvalidAnswerError as error:
            return Failure(
                AttemptFailure(str(error), Ran.UNKNOWN, invalid=True)
            )
        except (aiohttp.ClientError, OSError) as error:
            return Failure(fail_unanswered(progress, repr(error)))
        head = self._dialect.read_answer_head(response, call.request_id)
        self._observe_answer(endpoint, head)
        answer = OpenAnswer(
            head,
            response,
            self._large_answers,
            call.held,
        )
        return await self._classify(answer, endpoint, deadline)

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
            data=wrap_body(call.body) or None,
            skip_auto_headers=SKIPPED_AUTO_HEADERS,
            allow_redirects=False,
            timeout=build_connect_timeout(CONNECT_TIMEOUT),
            trace_request_ctx=progress,
        )

    async def _classify(
        self,
        answer: OpenAnswer,
        endpoint: Endpoint,
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
                blameless=_is_polite(answer, endpoint),
                misdirected=head.outcome is Outcome.MISDIRECTED,
            ),
        )


def _is_polite(answer: OpenAnswer, endpoint: Endpoint) -> bool:
    """Return whether an endpoint turned a call away for itself, unharmed."""
    head = answer.head
    if head.at_fault not in {'', endpoint.declaration.address}:
        return False
    return head.statements.declines_calls


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
        blameless=answer.head.statements.pause > 0,
        answer=collected.unwrap(),
    )
