"""Admission of calls: route, workspace, remaining time, deadline, body.

A call that is not admitted has not run and never will.
"""

import asyncio
import random
from collections.abc import Callable
from types import MappingProxyType
from typing import TypeAlias

import attrs
from aiohttp import web
from returns.result import Failure, Result, Success

from ....protocol.callers import receive_body
from ....state.budgets import CallBytes
from ....state.calls import Call, CallHead
from ....state.refusals import Refusal, RefusalCode, Step
from ....state.routes import Route, RoutedWorkspace, RoutingConfiguration
from ...drain import StopEndedError
from ..settings import Bounds
from ..tables.confirming import ConfirmedElsewhere
from ..tables.expecting import ConfirmationWait, ExpectedConfirmation
from ..tables.holder import ConfigurationHolder
from .stopping import ELSEWHERE_RETRY, StopGuard, refuse_stopping

__all__ = ['Admitter']

#: Seconds for a call if neither its caller nor its route sets a deadline.
_DEFAULT_SECONDS = 60.0
#: Seconds before the caller's deadline at which a call ends here: the way back
#: takes 3 ms, and the call was sent before it arrived.
_CALLER_MARGIN = 0.04
#: Share of the bound for revoking a key for which a configuration is trusted
#: without confirmation; the rest covers clocks that run apart.  The age counts
#: from the sending of the query, and the bound from the sending of the call, so
#: that no delay makes either shorter.
_TRUSTED_SHARE = 0.9
#: Seconds after which a caller should retry, by where the configuration is
#: current: at once if the next instance probably serves it; most outages of the
#: store last some seconds.  What is only presumed may be wrong, and then each
#: return is in vain.
_RETRIES = MappingProxyType(
    {
        ConfirmedElsewhere.WIDELY: ELSEWHERE_RETRY,
        ConfirmedElsewhere.PARTLY: 0.2,
        ConfirmedElsewhere.PRESUMABLY: 0.2,
        ConfirmedElsewhere.NOWHERE: 1.0,
    }
)
#: Seconds after which a caller should retry whose route or key is not known in
#: a current configuration: news takes about as long, and comes to all instances
#: at about the same time.
_NEWS_RETRY = 0.25
#: Seconds that a call waits for the first configuration of an instance that has
#: just started: sent back, most callers would meet others that start as well.
_FIRST_CONFIGURATION_WAIT = 0.25
#: Seconds after its arrival until which a call waits for a confirmation that
#: is expected, and the largest share of the caller's time for that.  Instances
#: hear of the store soon after each other, and callers abandon an attempt that
#: is not read within a third of their time.
_EXPECTED_WAIT = 0.3
_EXPECTED_WAIT_SHARE = 0.3
#: Seconds after a standstill in which a store that is well has answered.
_RESUMED_SECONDS = 1.0
#: Bytes of a header field in addition to name and text: separators, line end.
_FIELD_BYTES = 4
_Identified: TypeAlias = tuple[
    RoutingConfiguration, Route, RoutedWorkspace | None
]


class Admitter:
    """Decides which calls are admitted, and receives their bodies."""

    def __init__(
        self,
        holder: ConfigurationHolder,
        measure_age: Callable[[], float],
        is_complete: Callable[[], bool],
        judge_confirmed: Callable[[], ConfirmedElsewhere],
        is_store_failing: Callable[[], bool],
        measure_since_standstill: Callable[[], float],
        stop_guard: StopGuard,
        read_bounds: Callable[[], Bounds],
        generator: random.Random,
    ) -> None:
        """Admit by the configuration in force.

        ``measure_age`` returns its possible age in seconds, ``is_complete``
        whether nothing is missing in it that a restored store has lost,
        ``judge_confirmed`` whether other instances have a current one,
        ``is_store_failing`` whether the last attempt to read it failed, and
        ``measure_since_standstill`` the seconds since this process stood still
        for long.
        """
        self._holder = holder
        self._measure_age = measure_age
        self._is_complete = is_complete
        self._judge_confirmed = judge_confirmed
        self._is_store_failing = is_store_failing
        self._stop_guard = stop_guard
        self._read_bounds = read_bounds
        self._generator = generator
        self._measure_since_standstill = measure_since_standstill
        self._confirmation_wait = ConfirmationWait(
            measure_age, lambda: read_bounds().apply_configuration
        )
        self._expected = ExpectedConfirmation(
            measure_age, self._choose_longest_age, self._is_confirmation_near
        )

    @property
    def trusted(self) -> bool:
        """Whether the keys of the configuration may still be relied on.

        A revoked key must not work anywhere after a bounded time, even where
        the store cannot be reached.
        """
        return self._measure_age() < self._read_trusted_age()

    async def admit(
        self,
        head: CallHead,
        http_request: web.Request,
        arrived: float,
        held: CallBytes,
    ) -> Result[Call, Refusal]:
        """Find route and workspace, check the time left and read the body.

        ``held`` counts the bytes of the body, for which there must be room.
        """
        identified = await self._identify(head, http_request, arrived)
        if isinstance(identified, Failure):
            return identified
        configuration, route, workspace = identified.unwrap()
        service = self._choose_service(route)
        profile = configuration.find_profile(service)
        deadline = _choose_deadline(route, head, arrived)
        if not self._stop_guard.permits(head, route, profile, deadline):
            return Failure(refuse_stopping())
        try:
            async with self._stop_guard.until_end():
                body = await self._receive(
                    http_request,
                    configuration.limits.max_body_bytes,
                    deadline,
                    held,
                )
        except StopEndedError:
            return Failure(refuse_stopping())
        return body.map(
            lambda received: Call(
                head,
                route,
                service,
                workspace,
                received,
                arrived,
                deadline,
                configuration.version,
                profile,
                held=held,
            ),
        )

    async def _identify(
        self, head: CallHead, http_request: web.Request, arrived: float
    ) -> Result[_Identified, Refusal]:
        """Find route and workspace, waiting for a confirmation that is near."""
        if self._holder.current is None:
            await self._await_first()
        else:
            await self._confirmation_wait.wait()
        identified = self._look_up(head, http_request)
        is_unconfirmed = isinstance(identified, Failure) and (
            identified.failure().code is RefusalCode.NOT_READY
        )
        if not (is_unconfirmed and self._expected.is_expected):
            return identified
        came = await self._expected.wait(_choose_wait_end(head, arrived))
        identified = self._look_up(head, http_request)
        return identified if came else identified.alt(_send_away)

    async def _await_first(self) -> None:
        """Wait for the first configuration, unless the store has failed."""
        if not self._is_store_failing():
            await self._holder.await_first(_FIRST_CONFIGURATION_WAIT)

    def _look_up(
        self, head: CallHead, http_request: web.Request
    ) -> Result[_Identified, Refusal]:
        """Find route and workspace in the configuration in force."""
        configuration = self._holder.current
        if configuration is None:
            return Failure(self._refuse_unconfirmed('no configuration yet'))
        if _measure_head(http_request) > configuration.limits.max_header_bytes:
            return Failure(_refuse_long_head())
        route = configuration.find_route(head.host, head.path)
        if route is None:
            return Failure(self._refuse_unknown(RefusalCode.NOT_FOUND))
        return self._find_workspace(configuration, route, head).map(
            lambda workspace: (configuration, route, workspace)
        )

    def _find_workspace(
        self,
        configuration: RoutingConfiguration,
        route: Route,
        head: CallHead,
    ) -> Result[RoutedWorkspace | None, Refusal]:
        """Find the workspace that holds the call's key."""
        if route.anonymous or not configuration.requires_keys:
            return Success(None)
        if not self.trusted:
            return Failure(self._refuse_unconfirmed('keys are not confirmed'))
        workspace = configuration.workspaces_by_key.get(head.api_key)
        if workspace is None:
            return Failure(self._refuse_unknown(RefusalCode.UNAUTHENTICATED))
        return Success(workspace)

    def _refuse_unknown(self, code: RefusalCode) -> Refusal:
        """Refuse a route or key that the configuration doesn't have.

        A newer configuration may have it, so the refusal is final only if the
        configuration was confirmed lately, and not by a store that lacks what
        operators have yet to write again.
        """
        if self._measure_age() > self._read_bounds().apply_configuration:
            return self._refuse_unconfirmed(
                'the configuration is not confirmed'
            )
        if not self._is_complete():
            return Refusal(
                RefusalCode.NOT_READY,
                'the configuration may lack what was accepted',
                Step.CONFIGURE,
                retry_after=_NEWS_RETRY,
            )
        return Refusal(code, 'not configured', Step.AUTHENTICATE)

    def _refuse_unconfirmed(self, message: str) -> Refusal:
        """Refuse because there is no current configuration.

        Callers retry at another instance, so if most have a current
        configuration they should do so at once, within their objective.
        """
        return Refusal(
            RefusalCode.NOT_READY,
            message,
            Step.CONFIGURE,
            retry_after=_RETRIES[self._judge_confirmed()],
        )

    def _read_trusted_age(self) -> float:
        """Read the age up to which keys are trusted, in seconds."""
        return self._read_bounds().revoke_key * _TRUSTED_SHARE

    def _choose_longest_age(self) -> float:
        """Choose the age up to which no call is refused for it."""
        longest = self._read_bounds().apply_configuration
        return min(longest, self._read_trusted_age())

    def _is_confirmation_near(self) -> bool:
        """Return whether a confirmation will probably come within a moment."""
        return (
            self._judge_confirmed().is_reported
            or self._measure_since_standstill() < _RESUMED_SECONDS
        )

    async def _receive(
        self,
        http_request: web.Request,
        limit: int,
        deadline: float,
        held: CallBytes,
    ) -> Result[bytes, Refusal]:
        """Read the complete body, before anything is forwarded."""
        try:
            return await receive_body(
                http_request,
                limit,
                deadline,
                held,
                self._generator,
                text=False,
            )
        except asyncio.TimeoutError:
            return Failure(
                Refusal(
                    RefusalCode.NO_CAPACITY,
                    'the body did not arrive in time',
                    Step.RECEIVE,
                ),
            )

    def _choose_service(self, route: Route) -> str:
        """Choose a service at random, by the weights of the route.

        The name is empty, like that of no service, if none is to get calls.
        """
        weighted = [item for item in route.services if item.weight > 0]
        if not weighted:
            return ''
        chosen = self._generator.choices(
            weighted, weights=[service.weight for service in weighted]
        )
        return chosen[0].name


def _measure_head(http_request: web.Request) -> int:
    """Measure the approximate bytes of the head as it was sent."""
    fields = sum(
        len(name) + len(text) + _FIELD_BYTES
        for name, text in http_request.raw_headers
    )
    return len(http_request.raw_path) + fields


def _refuse_long_head() -> Refusal:
    return Refusal(
        RefusalCode.BAD_REQUEST,
        'the head is longer than operators permit',
        Step.RECEIVE,
    )


def _choose_wait_end(head: CallHead, arrived: float) -> float:
    """Choose the time until which a call waits for a confirmation."""
    if head.time_allowed is None:
        return arrived + _EXPECTED_WAIT
    longest = head.time_allowed * _EXPECTED_WAIT_SHARE
    return arrived + min(longest, _EXPECTED_WAIT)


def _send_away(refusal: Refusal) -> Refusal:
    """Have a caller return elsewhere, but not at once: it waited in vain."""
    told = refusal.retry_after or 0
    least = _RETRIES[ConfirmedElsewhere.PARTLY]
    return attrs.evolve(refusal, retry_after=max(told, least))


def _choose_deadline(route: Route, head: CallHead, arrived: float) -> float:
    allowed = head.time_allowed
    longest = route.timeout or _DEFAULT_SECONDS
    if allowed is not None:
        longest = min(longest, allowed - _CALLER_MARGIN)
    return arrived + longest
