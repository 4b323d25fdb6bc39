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
from ....state.endpoints import Endpoint
from ....state.refusals import Ran
from ....transport.deadlines import monotonic
from ..placing.memory import MemoryReserver, Reservation
from ..placing.placement import Placement
from .accounting import AttemptAccount
from .answers import AttemptFailure, OpenAnswer, collect
from .attempts import EndpointClient
from .delivery import StreamDelivery
from .endurance import Endurance
from .opening import await_head
from .silence import SilenceMonitor
from .timeouts import choose_fault_threshold

__all__ = ['Sender']

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
            workspace=call.workspace_name,
            helpers=tuple(
                (helper.declaration.address, tickets.get(helper.name, ''))
                for helper in self.placement.helpers
            ),
            resume_after=self.delivery.cutter.last_number,
            priority=call.priority,
        )


class Sender:
    """Executes attempts and forwards their answers."""

    def __init__(
        self,
        client: EndpointClient,
        reserver: MemoryReserver,
        silence_monitor: SilenceMonitor,
        record_outlived: Callable[[Call, bool], None],
        find_unusable: Callable[[Placement], Endpoint | None],
    ) -> None:
        """Send with a client, and reserve memory where a placement needs it.

        ``silence_monitor`` decides how long an attempt may bring nothing;
        ``record_outlived`` gets each call whose answer goes on or ends, and
        whether it was resumed; ``find_unusable`` finds a chosen endpoint that
        may not get a call any more.
        """
        self._client = client
        self._reserver = reserver
        self._silence_monitor = silence_monitor
        self._record_outlived = record_outlived
        self._find_unusable = find_unusable

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

    async def _exchange(self, attempt: _Attempt) -> _SendResult:
        call = attempt.call
        withdrawn = self._find_unusable(attempt.placement)
        if withdrawn is not None:
            return Failure(_fail_withdrawn(withdrawn))
        opened = await self._open(attempt)
        if isinstance(opened, Failure):
            return opened
        self._silence_monitor.record_answer(call)
        answer = opened.unwrap()
        try:
            if call.kind.streams:
                is_stalled = self._silence_monitor.build_stall_check(
                    call, attempt.placement
                )
                endurance = Endurance(
                    call,
                    attempt.delivery.cutter.last_number is not None,
                    self._record_outlived,
                )
                return await _forward_stream(
                    attempt, answer, is_stalled, endurance
                )
            collected = await collect(answer, call.deadline)
            if not isinstance(collected, Failure):
                self._record_outlived(call, False)
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
            self._silence_monitor.choose_head_deadline(call, attempt.placement),
            choose_fault_threshold(call),
            progress,
        )
        return await await_head(
            opening,
            lambda waited: self._silence_monitor.is_engine_lost(
                call, attempt.placement, waited
            ),
            progress,
        )


def _fail_withdrawn(endpoint: Endpoint) -> AttemptFailure:
    """Build the failure of an attempt that was not sent after all."""
    return AttemptFailure(
        'an endpoint left or paused before the call was sent',
        Ran.NO,
        arrived=False,
        blameless=True,
        exclude=endpoint.name,
    )


async def _forward_stream(
    attempt: _Attempt,
    answer: OpenAnswer,
    is_stalled: Callable[[float], bool] | None,
    endurance: Endurance,
) -> _SendResult:
    """Forward a stream event by event until it ends."""
    call, delivery = attempt.call, attempt.delivery
    delivery.cutter.discard_partial_event()
    try:
        async with asyncio.timeout(call.remaining(monotonic())):
            async for chunk in answer.read_chunks(is_stalled):
                events = await delivery.relay(answer, chunk)
                if events:
                    attempt.account.end_prefill()
                    endurance.count(events)
            response = await delivery.finish(answer)
            endurance.finish()
            return Success(response)
    except asyncio.TimeoutError:
        late = call.remaining(monotonic()) <= 0
        return Failure(
            AttemptFailure('the stream stalled', Ran.UNKNOWN, blameless=late),
        )
    except (aiohttp.ClientError, OSError, SequenceError) as error:
        return Failure(
            AttemptFailure(f'the stream was interrupted: {error!r}', Ran.YES),
        )
