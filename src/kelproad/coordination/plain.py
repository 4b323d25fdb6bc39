"""Forwarding of calls to plain services, with retries."""

import random

import attrs
from returns.result import Failure, Result, Success

from ..protocol.plain import PlainAnswer, PlainCall, PlainClient
from ..state.counters import Counters
from ..state.endpoints import Endpoint
from ..state.endpointtable import EndpointTable
from ..state.identity import Identity
from ..state.refusals import Ran, Refusal, RefusalCode
from ..state.requests import Decision, Phase, Request
from ..transport.addresses import Address
from ..transport.deadlines import monotonic
from . import routing
from .ejection import record_outcome
from .retries import Retries

__all__ = ['PlainCalls']

_SAFE_METHODS = frozenset(('GET', 'HEAD', 'OPTIONS'))
#: Maximum number of endpoints that one call is sent to.
_MAX_ATTEMPTS = 3


class PlainCalls:
    """Dispatch of calls to plain endpoints, with retries at others."""

    def __init__(
        self,
        identity: Identity,
        table: EndpointTable,
        client: PlainClient,
        counters: Counters,
        generator: random.Random,
    ) -> None:
        """Call the endpoints of a table through a client."""
        self._identity = identity
        self._table = table
        self._client = client
        self._counters = counters
        self._generator = generator
        self._retries = Retries(counters, generator)

    async def answer(
        self,
        request: Request,
        call: PlainCall,
        decision: Decision,
    ) -> Result[PlainAnswer, Refusal]:
        """Call endpoints in turn, as long as a retry is permitted."""
        self._retries.count_request(request)
        tried: frozenset[str] = frozenset()
        outcome: Result[PlainAnswer, Refusal] | None = None
        while len(tried) < _MAX_ATTEMPTS:
            choice = routing.choose_endpoint(
                request,
                self._table,
                self._identity.zone,
                monotonic(),
                self._generator,
                tried,
            )
            if isinstance(choice, Failure):
                return outcome or choice
            endpoint = choice.unwrap().endpoint
            tried |= {endpoint.name}
            decision.note('routed', endpoint=endpoint.name)
            outcome = await self._attempt(request, call, endpoint)
            if isinstance(outcome, Success):
                return outcome
            refusal = outcome.failure()
            request.record_ran(refusal.ran)
            decision.note('attempt failed', refusal=attrs.asdict(refusal))
            if not _may_repeat(request, call, refusal):
                return outcome
            if not await self._retries.permit(request, decision):
                return outcome
        return outcome

    async def _attempt(
        self,
        request: Request,
        call: PlainCall,
        endpoint: Endpoint,
    ) -> Result[PlainAnswer, Refusal]:
        endpoint.own_requests += 1
        request.phase = Phase.DISPATCHED
        url = Address.from_text(endpoint.declaration.address).url
        system_headers = {
            'X-Request-Id': request.request_id,
            'X-Workspace': request.workspace.name,
        }
        label = 'abandoned'
        try:
            answered = await self._client.call(
                url,
                attrs.evolve(call, system_headers=system_headers),
            )
            label = 'complete' if isinstance(answered, Success) else 'failed'
            refusal = answered.swap().value_or(None)
            now = monotonic()
            counters = self._counters
            record_outcome(self._table, endpoint, refusal, now, counters)
        finally:
            endpoint.own_requests -= 1
            self._counters.attempts.inc(
                {'group': endpoint.group.name, 'outcome': label},
            )
        return answered


def _may_repeat(request: Request, call: PlainCall, refusal: Refusal) -> bool:
    """Return whether the call may be sent to another endpoint.

    Work that may have run is repeated only if it is safe or idempotent.
    """
    if refusal.code is RefusalCode.DEADLINE_EXCEEDED:
        return False
    if request.remaining(monotonic()) <= 0:
        return False
    if refusal.ran is Ran.NO:
        return True
    return call.method in _SAFE_METHODS or request.repeatable
