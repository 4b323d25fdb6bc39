"""Execution of one attempt, from reserving memory to the last event."""

import asyncio
import functools
import logging
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
from ....state.records import record
from ....state.refusals import Ran
from ....transport.deadlines import monotonic, within
from ...drain import StopEndedError
from ..placing.memory import MemoryReserver, Reservation
from ..placing.placement import AttemptAccount, Placement
from .answers import AttemptFailure, OpenAnswer, collect
from .attempts import EndpointClient
from .delivery import Endurance, StreamDelivery
from .progress import Attempt
from .silence import SilenceMonitor, choose_fault_threshold

__all__ = ['Sender']

_logger = logging.getLogger(__name__)
_SendResult = Result[web.StreamResponse, AttemptFailure]
_MEMORY_CLAIMED = AttemptFailure(
    'other calls have taken the memory',
    Ran.NO,
    arrived=False,
    blameless=True,
    is_full=True,
)


@attrs.frozen
class _Exchange:
    """An attempt, and what its answer passes through.

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

    attempt: Attempt
    delivery: StreamDelivery
    received: CIMultiDict[str]
    account: AttemptAccount
    reservations: tuple[Reservation, ...] = ()

    @property
    def call(self) -> Call:
        """The call that is sent."""
        return self.attempt.call

    def build_forwarding(self) -> Forwarding:
        """Build the data that the endpoint gets in addition to the call."""
        call, placement = self.call, self.attempt.placement
        tickets = {
            reservation.endpoint.name: reservation.ticket
            for reservation in self.reservations
        }
        return Forwarding(
            endpoint=placement.primary.name,
            time_left=call.remaining(monotonic()),
            workspace=call.workspace_name,
            helpers=tuple(
                (helper.declaration.address, tickets.get(helper.name, ''))
                for helper in placement.helpers
            ),
            resume_after=self.delivery.last_number,
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
        permits_zone: Callable[[Call, str], bool],
    ) -> None:
        """Send with a client, and reserve memory where a placement needs it.

        ``silence_monitor`` is told what attempts wait for and what they bring;
        ``record_outlived`` gets each call whose answer goes on or ends, and
        whether it was resumed; ``find_unusable`` finds a chosen endpoint that
        may not get a call any more; ``permits_zone`` says whether a call may
        pass through a zone.
        """
        self._client = client
        self._reserver = reserver
        self._silence_monitor = silence_monitor
        self._record_outlived = record_outlived
        self._find_unusable = find_unusable
        self._permits_zone = permits_zone

    async def send(
        self,
        attempt: Attempt,
        delivery: StreamDelivery,
        received: CIMultiDict[str],
        account: AttemptAccount,
    ) -> _SendResult:
        """Send a call and forward its answer, until its deadline."""
        exchange = _Exchange(attempt, delivery, received, account)
        attempt_id = f'{attempt.call.request_id}-{attempt.number}'
        shares = attempt.placement.shares
        if not shares:
            return await self._claim_and_run(attempt_id, exchange)
        reserved = await self._reserver.reserve(attempt_id, shares)
        if isinstance(reserved, Failure):
            return Failure(_fail_unreserved(reserved.failure()))
        reservations = reserved.unwrap()
        renewal = asyncio.create_task(
            self._reserver.keep(
                reservations,
                attempt.placement.primary,
                attempt.record_responding,
            ),
        )
        try:
            return await self._claim_and_run(
                attempt_id, attrs.evolve(exchange, reservations=reservations)
            )
        finally:
            renewal.cancel()
            self._reserver.release(reservations)

    async def _claim_and_run(
        self, attempt_id: str, exchange: _Exchange
    ) -> _SendResult:
        claim = exchange.attempt.placement.claim
        if claim and not await self._reserver.claim(attempt_id, claim):
            record(
                _logger,
                'memory_claimed_by_another',
                request=exchange.call.request_id,
                endpoint=claim.endpoint.name,
                tokens=claim.tokens,
            )
            return Failure(_MEMORY_CLAIMED)
        return await self._run(exchange)

    async def _run(self, exchange: _Exchange) -> _SendResult:
        attempt, call = exchange.attempt, exchange.call
        withdrawn = self._find_unusable(attempt.placement)
        if withdrawn is not None:
            return Failure(_fail_withdrawn(withdrawn))
        opened = await self._open(exchange)
        if isinstance(opened, Failure):
            return opened
        attempt.answered = True
        self._silence_monitor.record_answer(attempt)
        self._silence_monitor.begin_wait(attempt)
        answer = opened.unwrap()
        try:
            if call.kind.streams:
                return await self._forward_stream(exchange, answer)
            collected = await collect(
                answer,
                call.deadline,
                lambda: self._silence_monitor.begin_wait(attempt),
            )
            if not isinstance(collected, Failure):
                self._record_outlived(call, False)
                attempt.take_lead(attempt)
            return collected.map(lambda whole: whole.build_response())
        finally:
            answer.close()

    async def _open(
        self, exchange: _Exchange
    ) -> Result[OpenAnswer, AttemptFailure]:
        """Send a call, and wait for the head of its answer."""
        attempt, call = exchange.attempt, exchange.call
        call.via = ''
        attempt.connection = ConnectionProgress(
            record_via=attempt.record_via,
            may_probe=call.kind.repeatable,
            avoids_direct=call.avoids_direct,
            permits_zone=functools.partial(self._permits_zone, call),
        )
        self._silence_monitor.begin_wait(attempt)
        return await self._client.open(
            call,
            exchange.received,
            attempt.placement.primary,
            exchange.build_forwarding(),
            call.deadline,
            choose_fault_threshold(call),
            attempt.connection,
        )

    async def _forward_stream(
        self, exchange: _Exchange, answer: OpenAnswer
    ) -> _SendResult:
        """Forward a stream event by event until it ends."""
        attempt, delivery = exchange.attempt, exchange.delivery
        try:
            async with within(attempt.call.deadline):
                await self._forward_events(exchange, answer)
                delivery.check_end(answer)
                attempt.take_lead(attempt)
                return Success(await delivery.finish(answer))
        except asyncio.TimeoutError:
            return Failure(
                AttemptFailure('no end in time', Ran.UNKNOWN, blameless=True),
            )
        except StopEndedError:
            return Failure(
                AttemptFailure('the stop has ended', Ran.YES, blameless=True)
            )
        except (aiohttp.ClientError, OSError, SequenceError) as error:
            return Failure(
                AttemptFailure(
                    f'the stream was interrupted: {error!r}', Ran.YES
                ),
            )

    async def _forward_events(
        self, exchange: _Exchange, answer: OpenAnswer
    ) -> None:
        """Forward events until the end of the endpoint's body.

        Raises
        ------
        SequenceError
            When the body is not the events that come next.
        """
        attempt, delivery = exchange.attempt, exchange.delivery
        splitter = delivery.create_splitter()
        is_resumed = delivery.last_number is not None
        endurance = Endurance(attempt.call, is_resumed, self._record_outlived)
        async for chunk in answer.read_chunks():
            self._silence_monitor.record_progress(attempt)
            events = splitter.feed(chunk)
            if events:
                attempt.take_lead(attempt)
                exchange.account.end_prefill()
                endurance.count(len(events))
                await delivery.forward(answer.head, events)
            self._silence_monitor.begin_wait(attempt)
        if splitter.has_partial_event:
            raise SequenceError('the stream ends within an event')
        endurance.finish()


def _fail_unreserved(endpoint: Endpoint) -> AttemptFailure:
    """Build the failure of an attempt whose memory an endpoint refused."""
    return AttemptFailure(
        'memory could not be reserved',
        Ran.NO,
        arrived=False,
        blameless=True,
        exclude=endpoint.name,
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
