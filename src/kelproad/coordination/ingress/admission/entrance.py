"""Handling calls: admitted or refused, answered, counted and logged.

Each call that has reached its handler ends in an answer, or in a log line with
its id that says who ended it.
"""

import asyncio
import logging

import attrs
from aiohttp import web
from returns.result import Failure

from ....state.budgets import CallBytes, HeldBytes
from ....state.calls import Call, CallEnd
from ....state.counters import Counters, StreamMetrics
from ....state.records import EVENT_FIELDS, current_request, record
from ....state.refusals import Ran, Refusal, RefusalCode, Step
from ....transport.deadlines import monotonic
from ....transport.servers import abort_answer, discard_answer, send_answer
from ...drain import Drain
from ..retrying.dispatching import Dispatcher
from ..streams.delivery import CallerDisconnectedError
from ..tables.holder import ConfigurationHolder
from .admitting import Admitter
from .dialect import Dialect
from .unconfirmed import ConfirmationWatch, round_age

__all__ = ['CallHandler']

_logger = logging.getLogger(__name__)
#: Digits of seconds in the log.
_DIGITS = 4
#: Seconds before its deadline from which on a stream that breaks off has used
#: up its time.
_DEADLINE_TOLERANCE = 0.05


@attrs.define
class _Handling:
    """How far the handling of a call has come.

    Attributes
    ----------
    arrived
        Monotonic time of its arrival.
    held
        Bytes that are held for it.
    call
        The call, once it is admitted.
    has_answer
        Whether its answer or refusal has been decided.
    is_refused
        Whether that is a refusal.
    """

    http_request: web.Request
    request_id: str
    arrived: float
    held: CallBytes
    call: Call | None = None
    has_answer: bool = False
    is_refused: bool = False

    @property
    def has_begun(self) -> bool:
        """Whether the caller may have received a part of the answer."""
        return self.http_request.writer.output_size > 0


class CallHandler:
    """Handles calls from their head to the last byte of the answer."""

    def __init__(
        self,
        dialect: Dialect,
        holder: ConfigurationHolder,
        confirmations: ConfirmationWatch,
        admitter: Admitter,
        dispatcher: Dispatcher,
        counters: Counters,
        drain: Drain,
        held: HeldBytes,
    ) -> None:
        """Dispatch the calls that are admitted, refuse the rest.

        ``confirmations`` tells why the configuration is not confirmed;
        ``held`` counts what is held for callers.
        """
        self._dialect = dialect
        self._holder = holder
        self._confirmations = confirmations
        self._admitter = admitter
        self._dispatcher = dispatcher
        self._counters = counters
        self._stream_metrics = StreamMetrics(counters.registry)
        self._drain = drain
        self._held = held
        #: Calls whose answer has not been sent to its last byte.
        self.unfinished = 0

    async def answer(self, http_request: web.Request) -> web.StreamResponse:
        """Handle one call, and count it as unfinished meanwhile."""
        handling = _Handling(
            http_request,
            self._dialect.read_request_id(http_request.headers),
            monotonic(),
            self._held.begin(),
        )
        current_request.set(handling.request_id)
        self.unfinished += 1
        try:
            return await self._handle(handling)
        finally:
            self.unfinished -= 1
            if handling.call is not None:
                handling.call.drop_body()
            handling.held.release()

    async def _handle(self, handling: _Handling) -> web.StreamResponse:
        """Answer a call, whatever happens, or record who ended it."""
        try:
            return await self._answer(handling)
        except CallerDisconnectedError as left:
            self._record_interruption(handling, left)
            return _abort(handling.http_request)
        except asyncio.CancelledError as cancelled:
            # A part of this instance that was cancelled says nothing of the
            # caller, who still waits.
            task = asyncio.current_task()
            if task is not None and not task.cancelling():
                return await self._fail(handling, cancelled)
            self._record_interruption(handling, cancelled)
            raise
        except Exception as error:
            return await self._fail(handling, error)

    async def _answer(self, handling: _Handling) -> web.StreamResponse:
        """Answer a call to the last byte, and record its end."""
        response = await self._respond(handling)
        handling.has_answer = True
        if isinstance(response, web.Response):
            handling.held.add(response.content_length or 0)
        await _send(handling.http_request, response)
        if handling.call is not None and not handling.is_refused:
            self._record_end(handling, handling.call)
        return response

    async def _respond(self, handling: _Handling) -> web.StreamResponse:
        """Return the answer to a call; that of a stream has been sent."""
        read = self._dialect.read_call_head(handling.http_request)
        if isinstance(read, Failure):
            return self._refuse(handling, read.failure())
        admitted = await self._admitter.admit(
            read.unwrap(),
            handling.http_request,
            handling.arrived,
            handling.held,
        )
        if isinstance(admitted, Failure):
            return self._refuse(handling, admitted.failure())
        handling.call = admitted.unwrap()
        answered = await self._dispatcher.answer(
            handling.call, handling.http_request
        )
        if isinstance(answered, Failure):
            return self._refuse(handling, answered.failure())
        return answered.unwrap()

    async def _fail(
        self, handling: _Handling, error: BaseException
    ) -> web.StreamResponse:
        """End a call after an error that nobody has handled."""
        fields = {'request': handling.request_id, 'error': repr(error)}
        _logger.error(
            'call_failed', extra={EVENT_FIELDS: fields}, exc_info=error
        )
        call = handling.call
        if handling.has_begun:
            if call is not None:
                call.end = CallEnd.FAILED
                self._record_end(handling, call)
            return _abort(handling.http_request)
        discard_answer(handling.http_request)
        response = self._refuse(
            handling,
            Refusal(
                RefusalCode.INTERNAL,
                'an error of this instance',
                Step.DISPATCH if call else Step.RECEIVE,
                ran=Ran.UNKNOWN if call and call.attempts else Ran.NO,
            ),
        )
        response.force_close()
        return response

    def _refuse(self, handling: _Handling, refusal: Refusal) -> web.Response:
        handling.is_refused = True
        self._counters.refusals.inc(
            {
                'step': refusal.step.value,
                'code': refusal.code.value,
                'ran': refusal.ran.value,
            },
        )
        # Logs are cut after some 200 characters: what decides comes first.
        record(
            _logger,
            'refused',
            code=refusal.code.value,
            **self._explain_confirmation(refusal),
            version=self._holder.version,
            request=handling.request_id,
            message=refusal.message,
            ran=refusal.ran.value,
            retry_after=refusal.retry_after,
            elapsed=round(monotonic() - handling.arrived, _DIGITS),
        )
        return self._dialect.build_refusal(refusal, handling.request_id)

    def _explain_confirmation(self, refusal: Refusal) -> dict[str, object]:
        """Return the age of the configuration, and why it is unconfirmed."""
        if refusal.step is not Step.CONFIGURE:
            return {'age': round_age(self._confirmations.measure_age())}
        cause, age = self._confirmations.explain_refusal()
        return {'cause': cause, 'age': round_age(age)}

    def _record_interruption(
        self, handling: _Handling, error: BaseException
    ) -> None:
        """Record who ended a call before the last byte of its answer."""
        end = CallEnd.CALLER_DISCONNECTED
        if self._drain.has_ended:
            end = CallEnd.ABORTED_BY_STOP
        if handling.has_answer:
            record(
                _logger,
                'answer_not_taken',
                request=handling.request_id,
                outcome=end.value,
                reason=repr(error.__cause__ or error),
            )
        if handling.is_refused:
            return
        if handling.call is None:
            record(
                _logger,
                'ended_unadmitted',
                request=handling.request_id,
                outcome=end.value,
                elapsed=round(monotonic() - handling.arrived, _DIGITS),
            )
            return
        handling.call.end = end
        self._record_end(handling, handling.call)

    def _record_end(self, handling: _Handling, call: Call) -> None:
        now = monotonic()
        if handling.has_begun and call.kind.streams:
            self._count_early_end(call, now)
        self._counters.requests.inc(
            {'service': call.service, 'outcome': call.end.value}
        )
        self._counters.latencies.answers.observe(
            {'service': call.service}, now - call.arrived
        )
        record(
            _logger,
            'ended',
            request=call.request_id,
            route=call.route.name,
            service=call.service,
            outcome=call.end.value,
            attempts=call.attempts,
            via=call.via,
            version=call.version,
            elapsed=round(now - call.arrived, _DIGITS),
        )

    def _count_early_end(self, call: Call, now: float) -> None:
        """Count a stream that began and didn't end, by a fixed reason."""
        if call.end is CallEnd.ANSWERED:
            return
        is_late = call.remaining(now) <= _DEADLINE_TOLERANCE
        reason = call.end.value
        if call.end is CallEnd.TRUNCATED and is_late:
            reason = 'deadline'
        self._stream_metrics.ended_early.inc({'reason': reason})


async def _send(
    http_request: web.Request,
    response: web.StreamResponse,
) -> None:
    """Send a complete answer while its call counts as unfinished.

    A stop that saw no call in progress would close the connection before a
    slow caller has read the answer: one received 4.9 of 6 MB.

    Raises
    ------
    CallerDisconnectedError
        When the connection has been closed.
    """
    try:
        await send_answer(http_request, response)
    except ConnectionError as error:
        raise CallerDisconnectedError from error


def _abort(http_request: web.Request) -> web.StreamResponse:
    """Abort a connection, so that the answer can't look complete.

    The response is one for aiohttp, which can't send it any more.
    """
    abort_answer(http_request)
    return web.Response()
