"""Admission of calls under the current configuration, until a stop ends.

A call that is not admitted has not run and never will.
"""

from collections.abc import Awaitable, Callable
from typing import TypeVar

from returns.result import Failure, Result, Success

from ..protocol import callers
from ..state.configuration import SnapshotHolder
from ..state.declarations import Service
from ..state.refusals import Refusal
from ..state.requests import Request
from ..transport.deadlines import monotonic
from . import admission
from .configuration import ConfigurationFollower
from .confirmation import Confirmation
from .drain import Drain, StopEndedError
from .limits import WorkspaceLimits
from .reception import Arrival, Call, reauthenticate, receive, refuse_stopping

T = TypeVar('T')

__all__ = ['Admitter']


class Admitter:
    """Receives calls and creates the requests of the permitted ones."""

    def __init__(
        self,
        holder: SnapshotHolder,
        follower: ConfigurationFollower,
        limits: WorkspaceLimits,
        drain: Drain,
    ) -> None:
        """Admit within limits, and only what ends before a planned stop."""
        self._holder = holder
        self._confirmation = Confirmation(holder, follower)
        self._limits = limits
        self._drain = drain

    async def list_models(
        self,
        call: Call,
    ) -> Result[dict[str, Service], Refusal]:
        """List the models that the caller's workspace may use."""
        key = callers.read_bearer_token(call.http_request)
        return await self._until_end(
            lambda: self._confirmation.resolve(
                lambda snapshot: admission.list_models(snapshot, key),
                self._holder.current,
                call.arrived,
                call.deadline,
            ),
        )

    async def receive(self, call: Call, text: bool) -> Result[Arrival, Refusal]:
        """Receive a call, unless a stop ends before its body has arrived."""
        snapshot = self._holder.current
        return await self._until_end(
            lambda: receive(call, snapshot, self._confirmation, text),
        )

    async def admit(
        self,
        arrival: Arrival,
        admit: Callable[[Arrival], Result[Request, Refusal]],
    ) -> Result[Request, Refusal]:
        """Create a request, if it is permitted and within the limits."""
        call = arrival.call
        found = await self._until_end(
            lambda: self._confirmation.resolve(
                lambda snapshot: reauthenticate(snapshot, arrival).bind(admit),
                arrival.snapshot,
                call.arrived,
                call.deadline,
            ),
        )
        return found.bind(self._check_stop).bind(self._limits.admit)

    async def _until_end(
        self,
        answer: Callable[[], Awaitable[Result[T, Refusal]]],
    ) -> Result[T, Refusal]:
        """Wait for a result; refuse the call if a stop ends before."""
        try:
            async with self._drain.until_end():
                return await answer()
        except StopEndedError:
            return Failure(refuse_stopping())

    def _check_stop(self, request: Request) -> Result[Request, Refusal]:
        """Refuse a request that the end of a stop could interrupt.

        Every request ends by its deadline at the latest, but a stream that has
        begun can't be refused any more.
        """
        if request.remaining(monotonic()) > self._drain.seconds_until_end():
            return Failure(refuse_stopping())
        return Success(request)
