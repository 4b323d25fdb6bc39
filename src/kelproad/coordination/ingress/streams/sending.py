"""Execution of one attempt, from reserving memory to the last event."""

import asyncio
from collections.abc import Callable

import aiohttp
import attrs
from aiohttp import web
from multidict import CIMultiDict
from returns.result import Failure, Result, Success

from ....protocol.connections import ConnectionProgress
from ....protocol.events import SequenceError
from ....state.calls import Call, Forwarding
from ....state.directpaths import DirectPaths
from ....state.refusals import Ran
from ....state.routes import CallKind
from ....state.work import WorkLedger
from ....transport.deadlines import monotonic
from ..placing.memory import MemoryReserver, Reservation
from ..placing.placement import Placement
from ..placing.watching import EngineSpeedMonitor
from ..retrying.retries import RetryBudgets
from .accounting import AttemptAccount
from .attempts import (
    AttemptFailure,
    EndpointClient,
    OpenAnswer,
    collect,
)
from .delivery import StreamDelivery
from .opening import await_head
from .timeouts import (
    choose_fault_threshold,
    choose_first_event_timeout,
    choose_plain_timeout,
    choose_stall_timeout,
)

__all__ = ['Sender']

#: Seconds of silence from which on an attempt may have lost its path.
_LOST_SILENCE = 0.4

_SendResult = Result[web.StreamResponse, AttemptFailure]


@attrs.frozen
class _Attempt:
    """A call that is sent to one endpoint.

    Attributes
    ----------
    delivery
        Forwards a stream to the caller.
    received
        Headers that the caller sent.
    account
        Work of the attempt in the ledger.
    reservations
        Memory that is reserved for it at helpers.
    """

    call: Call
    placement: Placement
    delivery: StreamDelivery
    received: CIMultiDict[str]
    account: AttemptAccount
    reservations: tuple[Reservation, ...] = ()

    def build_forwarding(self) -> Forwarding:
        """Build the data that the endpoint gets in addition to the call."""
        call = self.call
        tickets = {
            reservation.endpoint.name: reservation.ticket
            for reservation in self.reservations
        }
        return Forwarding(
            endpoint=self.placement.primary.name,
            time_left=call.remaining(monotonic()),
            workspace=call.workspace.name if call.workspace else '',
            helpers=tuple(
                (helper.declaration.address, tickets.get(helper.name, ''))
                for helper in self.placement.helpers
            ),
            resume_after=self.delivery.cutter.last_number,
        )


class Sender:
    """Executes attempts and forwards their answers."""

    def __init__(
        self,
        client: EndpointClient,
        reserver: MemoryReserver,
        ledger: WorkLedger,
        retry_budgets: RetryBudgets,
        speed_monitor: EngineSpeedMonitor,
        paths: DirectPaths,
    ) -> None:
        """Send with a client, and reserve memory where a placement needs it.

        The ledger holds the work of engines, ``retry_budgets`` whether a call
        could be sent again; ``speed_monitor`` gets slow answers and stalls.
        ``paths`` knows which endpoints this instance is cut off from.
        """
        self._client = client
        self._retry_budgets = retry_budgets
        self._speed_monitor = speed_monitor
        self._paths = paths
        self._ledger = ledger
        self._reserver = reserver

    async def send(
        self,
        call: Call,
        placement: Placement,
        delivery: StreamDelivery,
        received: CIMultiDict[str],
        account: AttemptAccount,
    ) -> _SendResult:
        """Send a call and forward its answer."""
        attempt = _Attempt(call, placement, delivery, received, account)
        if not placement.shares:
            return await self._exchange(attempt)
        reserved = await self._reserver.reserve(
            f'{call.request_id}-{call.attempts}',
            placement.shares,
        )
        if isinstance(reserved, Failure):
            return Failure(
                AttemptFailure(
                    'memory could not be reserved',
                    Ran.NO,
                    arrived=False,
                    blameless=True,
                    exclude=reserved.failure().name,
                ),
            )
        attempt = attrs.evolve(attempt, reservations=reserved.unwrap())
        exchange = asyncio.create_task(self._exchange(attempt))
        try:
            return await self._renew_during(exchange, attempt)
        finally:
            await self._end(exchange, attempt.reservations)

    async def _end(
        self,
        exchange: asyncio.Task[_SendResult],
        reservations: tuple[Reservation, ...],
    ) -> None:
        """End an exchange and release its reservations.

        A caller that has received the last event closes its connection, which
        may cancel this coroutine while it waits.  The reservations must be
        released even so: otherwise the memory of every such stream would be
        held without use until it lapsed 2.5 s later.
        """
        try:
            if not exchange.done():
                exchange.cancel()
                await asyncio.wait((exchange,))
        finally:
            self._reserver.release(reservations)

    async def _renew_during(
        self,
        exchange: asyncio.Task[_SendResult],
        attempt: _Attempt,
    ) -> _SendResult:
        """Renew reservations until the exchange ends or its engine is lost."""
        renewal = asyncio.create_task(
            self._reserver.keep(
                attempt.reservations, attempt.placement.primary
            ),
        )
        try:
            await asyncio.wait(
                (exchange, renewal),
                return_when=asyncio.FIRST_COMPLETED,
            )
        finally:
            renewal.cancel()
        if exchange.done():
            return exchange.result()
        return Failure(
            AttemptFailure('the engine stopped responding', Ran.UNKNOWN)
        )

    def _build_stall_check(
        self,
        attempt: _Attempt,
    ) -> Callable[[float], bool] | None:
        """Build the stall check of a resumable stream, ``None`` for others."""
        if attempt.call.kind is not CallKind.RESUMABLE_STREAM:
            return None
        placement = attempt.placement
        endpoint = placement.primary

        def is_stalled(silence: float) -> bool:
            self._speed_monitor.check_stall(
                attempt.call.service, endpoint, silence
            )
            if self._speed_monitor.is_silent(endpoint):
                return True
            if self._is_path_lost(attempt, silence):
                return True
            work = self._ledger.sum_at(endpoint.name, monotonic())
            return silence >= choose_stall_timeout(placement, work)

        return is_stalled

    async def _exchange(self, attempt: _Attempt) -> _SendResult:
        call = attempt.call
        opened = await self._open(attempt)
        if isinstance(opened, Failure):
            return opened
        answer = opened.unwrap()
        try:
            if call.kind.streams:
                is_stalled = self._build_stall_check(attempt)
                return await _forward_stream(attempt, answer, is_stalled)
            collected = await collect(answer, call.deadline)
            return collected.map(lambda whole: whole.build_response())
        finally:
            answer.close()

    async def _open(
        self,
        attempt: _Attempt,
    ) -> Result[OpenAnswer, AttemptFailure]:
        """Send a call, and wait for the head while its engine responds."""
        call = attempt.call
        call.via = ''
        progress = ConnectionProgress(
            record_via=call.record_via,
            may_probe=call.kind.repeatable,
            avoids_direct=call.avoids_direct,
        )
        opening = self._client.open(
            call,
            attempt.received,
            attempt.placement.primary,
            attempt.build_forwarding(),
            self._choose_head_deadline(attempt),
            choose_fault_threshold(call),
            progress,
        )
        return await await_head(
            opening,
            lambda waited: self._is_engine_lost(attempt, waited),
            progress,
        )

    def _is_engine_lost(self, attempt: _Attempt, waited: float) -> bool:
        """Return whether a repeatable call must be sent once more."""
        if not attempt.call.kind.repeatable:
            return False
        if self._is_path_lost(attempt, waited) and self._may_be_retried(
            attempt.call
        ):
            return True
        if attempt.call.kind is not CallKind.RESUMABLE_STREAM:
            return False
        placement = attempt.placement
        self._speed_monitor.check_wait(
            placement.primary, waited, placement.predicted
        )
        return self._speed_monitor.is_silent(placement.primary)

    def _is_path_lost(self, attempt: _Attempt, silence: float) -> bool:
        """Return whether a direct attempt is silent as its path was lost.

        A connection that outlives the loss of its path has its events, and
        goes on.
        """
        address = attempt.placement.primary.declaration.address
        return (
            not attempt.call.via
            and silence > max(_LOST_SILENCE, 2 * attempt.placement.predicted)
            and self._paths.is_doubtful(address, monotonic())
        )

    def _choose_head_deadline(self, attempt: _Attempt) -> float:
        """Choose the monotonic time until which to wait for the head.

        A resumable stream is sent elsewhere when its endpoint stays silent, a
        plain call only if a retry is possible.  All other calls may be running
        and keep their deadline.
        """
        call = attempt.call
        if call.kind is CallKind.RESUMABLE_STREAM:
            timeout = choose_first_event_timeout(attempt.placement)
        elif self._may_be_retried(call):
            timeout = choose_plain_timeout(call)
        else:
            return call.deadline
        return min(call.deadline, monotonic() + timeout)

    def _may_be_retried(self, call: Call) -> bool:
        """Return whether a call without an answer could be sent once more.

        Under a load that delays every endpoint the retry budget is soon spent;
        giving up attempts then would turn late answers into missing ones.
        """
        return (
            call.kind.repeatable
            and call.attempts < call.route.max_endpoints
            and self._retry_budgets.affords(call.service)
        )


async def _forward_stream(
    attempt: _Attempt,
    answer: OpenAnswer,
    is_stalled: Callable[[float], bool] | None,
) -> _SendResult:
    """Forward a stream event by event until it ends."""
    call, delivery = attempt.call, attempt.delivery
    delivery.cutter.discard_partial_event()
    try:
        async with asyncio.timeout(call.remaining(monotonic())):
            async for chunk in answer.read_chunks(is_stalled):
                if await delivery.relay(answer, chunk):
                    attempt.account.end_prefill()
            return Success(await delivery.finish(answer))
    except asyncio.TimeoutError:
        late = call.remaining(monotonic()) <= 0
        return Failure(
            AttemptFailure('the stream stalled', Ran.UNKNOWN, blameless=late),
        )
    except (aiohttp.ClientError, OSError, SequenceError) as error:
        return Failure(
            AttemptFailure(f'the stream was interrupted: {error!r}', Ran.YES),
        )
