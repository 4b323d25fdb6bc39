"""Handling calls: admitted or refused, answered, counted and logged."""

import asyncio
import logging
import math
from collections.abc import Callable

from aiohttp import web
from returns.result import Failure

from ....state.calls import Call, CallEnd
from ....state.counters import Counters
from ....state.records import current_request, record
from ....state.refusals import Refusal
from ....transport.deadlines import monotonic
from ....transport.servers import send_answer
from ..retrying.dispatching import Dispatcher
from ..streams.delivery import CallerDisconnectedError
from ..tables.holder import ConfigurationHolder
from .admitting import Admitter
from .dialect import Dialect

__all__ = ['CallHandler']

_logger = logging.getLogger(__name__)


class CallHandler:
    """Handles calls from their head to the last byte of the answer."""

    def __init__(
        self,
        dialect: Dialect,
        holder: ConfigurationHolder,
        measure_age: Callable[[], float],
        admitter: Admitter,
        dispatcher: Dispatcher,
        counters: Counters,
    ) -> None:
        """Dispatch the calls that are admitted, refuse the rest.

        ``measure_age`` returns how many seconds old the configuration may be.
        """
        self._dialect = dialect
        self._holder = holder
        self._measure_age = measure_age
        self._admitter = admitter
        self._dispatcher = dispatcher
        self._counters = counters
        #: Calls whose answer has not been sent to its last byte.
        self.unfinished = 0

    async def answer(self, http_request: web.Request) -> web.StreamResponse:
        """Handle one call, and count it as unfinished meanwhile."""
        arrived = monotonic()
        self.unfinished += 1
        try:
            response = await self._answer(http_request, arrived)
            await _send(http_request, response)
        finally:
            self.unfinished -= 1
        return response

    async def _answer(
        self,
        http_request: web.Request,
        arrived: float,
    ) -> web.StreamResponse:
        read = self._dialect.read_call_head(http_request)
        if isinstance(read, Failure):
            return self._refuse(read.failure(), '', arrived)
        head = read.unwrap()
        current_request.set(head.request_id)
        admitted = await self._admitter.admit(head, http_request, arrived)
        if isinstance(admitted, Failure):
            return self._refuse(admitted.failure(), head.request_id, arrived)
        call = admitted.unwrap()
        try:
            answered = await self._dispatcher.answer(call, http_request)
        except (CallerDisconnectedError, asyncio.CancelledError):
            call.end = CallEnd.CALLER_DISCONNECTED
            self._record_end(call)
            raise
        if isinstance(answered, Failure):
            return self._refuse(answered.failure(), head.request_id, arrived)
        self._record_end(call)
        return answered.unwrap()

    def _refuse(
        self,
        refusal: Refusal,
        request_id: str,
        arrived: float,
    ) -> web.Response:
        self._counters.refusals.inc(
            {
                'step': refusal.step.value,
                'code': refusal.code.value,
                'ran': refusal.ran.value,
            },
        )
        configuration = self._holder.current
        record(
            _logger,
            'refused',
            request=request_id,
            code=refusal.code.value,
            message=refusal.message,
            ran=refusal.ran.value,
            retry_after=refusal.retry_after,
            version=configuration.version if configuration else None,
            age=_round_age(self._measure_age()),
            elapsed=round(monotonic() - arrived, 4),
        )
        return self._dialect.build_refusal(refusal, request_id)

    def _record_end(self, call: Call) -> None:
        now = monotonic()
        self._counters.requests.inc(
            {'service': call.service, 'outcome': call.end.value},
        )
        self._counters.latencies.answers.observe(
            {'service': call.service},
            now - call.arrived,
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
            elapsed=round(now - call.arrived, 4),
        )


async def _send(
    http_request: web.Request,
    response: web.StreamResponse,
) -> None:
    """Send a complete answer while its call counts as unfinished.

    A stop that saw no call in progress would close the connection before a
    slow caller has read the answer: one received 4.9 of 6 MB.
    """
    try:
        await send_answer(http_request, response)
    except ConnectionError as error:
        record(
            _logger,
            'answer_not_taken',
            request=current_request.get(),
            reason=repr(error),
        )


def _round_age(seconds: float) -> float | None:
    """Round an age for the log; ``None`` before the first confirmation."""
    return round(seconds, 3) if math.isfinite(seconds) else None
