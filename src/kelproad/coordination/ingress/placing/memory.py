"""Memory of engines for large prompts.

A prompt too large for one engine reserves memory at several.  One of which no
engine can hold two claims its memory where it is to be answered.

A reservation is short and renewed while it is in use, so that the memory that a
crashed instance reserved is free again soon.  It ends in any case: it is
released when the attempt ends, and lapses where the release is lost.
"""

import asyncio
import logging
from collections.abc import Awaitable, Callable

import attrs
from returns.result import Failure, Result, Success

from ....state.endpoints import Endpoint
from ....state.records import record
from ..settings import Bounds
from .placement import MemoryShare

__all__ = ['EngineOperations', 'MemoryReserver', 'Reservation']

_logger = logging.getLogger(__name__)
#: Seconds for which memory is reserved at a time, and the largest share that
#: this may be of the time in which the operators want unused memory free.
HOLD_SECONDS = 2.5
_HOLD_SHARE = 0.625
#: Share of a reservation's time after which it is renewed: two renewals in a
#: row may be lost.
_RENEW_SHARE = 0.3
#: Seconds for which memory is claimed for a call that is sent meanwhile: all
#: instances know of it after that, which takes 0.1 s at most.
_CLAIM_SECONDS = 0.15
#: Queries in a row without an answer after which the engine that a prompt was
#: sent to counts as lost: one lost packet must not end a stream.
_MAX_UNANSWERED = 2
#: Attempts to release a reservation before it is left to lapse.
_RELEASE_TRIES = 2


@attrs.frozen
class EngineOperations:
    """Remote operations of engines that reservations need.

    Attributes
    ----------
    reserve
        Reserve tokens under an id for some seconds, or renew a reservation.
    claim
        Reserve tokens for a moment, never to be renewed; returns false only if
        the engine lacks the memory.
    release
        Release the reservation under an id.
    read_slowdown
        Query an engine by address for the factor by which it takes longer than
        published; an engine that is alive answers within 0.3 s.
    read_incarnation
        Query an engine by address for its incarnation, empty when its report
        doesn't state it.
    """

    reserve: Callable[[str, str, int, float], Awaitable[Result[None, str]]]
    claim: Callable[[str, str, int, float], Awaitable[bool]]
    release: Callable[[str, str], Awaitable[Result[None, str]]]
    read_slowdown: Callable[[str], Awaitable[Result[float, str]]]
    read_incarnation: Callable[[str], Awaitable[Result[str, str]]]


@attrs.frozen
class Reservation:
    """Memory reserved at one engine.

    ``ticket`` is its id at the engine, unique over all attempts.
    """

    endpoint: Endpoint
    ticket: str
    tokens: int


class MemoryReserver:
    """Reserves, renews and releases memory for attempts."""

    def __init__(
        self,
        orders: EngineOperations,
        read_bounds: Callable[[], Bounds],
        charge: Callable[[Endpoint], None],
    ) -> None:
        """Reserve with operations of engines, within the operators' bounds.

        ``charge`` counts an operation against the engine's request limit.
        """
        self._operations = orders
        self._read_bounds = read_bounds
        self._charge = charge
        self._releases: set[asyncio.Task[None]] = set()

    async def reserve(
        self,
        attempt_id: str,
        shares: tuple[MemoryShare, ...],
    ) -> Result[tuple[Reservation, ...], Endpoint]:
        """Reserve all shares, or none.

        Returns
        -------
        Result
            The reservations, or the first endpoint that refused or failed.
        """
        wanted = tuple(
            Reservation(share.endpoint, f'{attempt_id}.{index}', share.tokens)
            for index, share in enumerate(shares)
        )
        try:
            answers = await asyncio.gather(*map(self._reserve, wanted))
        except asyncio.CancelledError:
            # The caller disconnected, or a stop ended, while engines may still
            # execute requests: the memory would be held until it lapses.
            self.release(wanted)
            raise
        for reservation, answered in zip(wanted, answers, strict=True):
            if isinstance(answered, Failure):
                record(
                    _logger,
                    'memory_not_reserved',
                    endpoint=reservation.endpoint.name,
                    tokens=reservation.tokens,
                    reason=answered.failure(),
                )
                # All are released: a request without an answer may still be
                # executed.
                self.release(wanted)
                return Failure(reservation.endpoint)
        return Success(wanted)

    async def claim(self, attempt_id: str, share: MemoryShare) -> bool:
        """Claim memory of the engine that is to answer a call.

        Instances that choose at the same moment don't know of each other, and
        two large prompts may meet at one engine, where one waits until the
        other has ended.  The engine gives its memory to one of them.  The claim
        lapses by itself, and the call, which is there by then, takes its place.

        Returns
        -------
        bool
            Whether the call may be sent there.
        """
        self._charge(share.endpoint)
        return await self._operations.claim(
            share.endpoint.declaration.address,
            f'{attempt_id}.claim',
            share.tokens,
            _CLAIM_SECONDS,
        )

    async def keep(
        self,
        reservations: tuple[Reservation, ...],
        user: Endpoint,
        record_responding: Callable[[bool], None],
    ) -> None:
        """Renew reservations until cancelled, while their user responds.

        An engine that loses power resets no connection, and the memory of its
        helpers would be held without use.  ``record_responding`` is told
        whether the user responds.
        """
        unanswered = 0
        while True:
            await asyncio.sleep(self._choose_hold() * _RENEW_SHARE)
            self._charge(user)
            answered = await self._operations.read_slowdown(
                user.declaration.address
            )
            if isinstance(answered, Failure):
                unanswered += 1
            else:
                unanswered = 0
                await self._renew(reservations)
            if unanswered == _MAX_UNANSWERED:
                record(_logger, 'memory_user_silent', endpoint=user.name)
            record_responding(unanswered < _MAX_UNANSWERED)

    def release(self, reservations: tuple[Reservation, ...]) -> None:
        """Release reservations in the background."""
        for reservation in reservations:
            task = asyncio.create_task(self._release(reservation))
            self._releases.add(task)
            task.add_done_callback(self._releases.discard)

    async def finish(self, seconds: float) -> None:
        """Wait for releases in progress, for ``seconds`` at most."""
        if self._releases:
            await asyncio.wait(self._releases, timeout=seconds)

    async def _renew(self, reservations: tuple[Reservation, ...]) -> None:
        answers = await asyncio.gather(*map(self._reserve, reservations))
        failures = [
            answered.failure()
            for answered in answers
            if isinstance(answered, Failure)
        ]
        if failures:
            record(_logger, 'memory_not_renewed', reasons=failures)

    def _reserve(
        self,
        reservation: Reservation,
    ) -> Awaitable[Result[None, str]]:
        self._charge(reservation.endpoint)
        return self._operations.reserve(
            reservation.endpoint.declaration.address,
            reservation.ticket,
            reservation.tokens,
            self._choose_hold(),
        )

    def _choose_hold(self) -> float:
        """Choose the seconds of a reservation from the operators' bounds."""
        bounds = self._read_bounds()
        return min(
            HOLD_SECONDS,
            bounds.free_reservation * _HOLD_SHARE,
            bounds.longest_reservation,
        )

    async def _release(self, reservation: Reservation) -> None:
        for _ in range(_RELEASE_TRIES):
            self._charge(reservation.endpoint)
            answered = await self._operations.release(
                reservation.endpoint.declaration.address,
                reservation.ticket,
            )
            if not isinstance(answered, Failure):
                return
        record(
            _logger,
            'memory_not_released',
            endpoint=reservation.endpoint.name,
            ticket=reservation.ticket,
            reason=answered.failure(),
            lapses_after=self._choose_hold(),
        )
