"""Part of a stand-in engine that executes orders on its models and role."""

import asyncio
from collections.abc import Awaitable, Callable

import aiohttp
import attrs
import msgspec
from aiohttp import web

from ..state.declarations import EngineRole
from ..state.orders import (
    EngineState,
    ModelPhase,
    ModelState,
    Order,
    OrderKind,
)

__all__ = ['ManagedModels', 'fetch_weights', 'skip_weights']

#: Fetches the weights of a model and version; returns the seconds after which
#: to retry if the weight store refused, else 0.
Fetch = Callable[[str, str], Awaitable[float]]


@attrs.define
class _Faults:
    """The faults of orders that are injected at present.

    Attributes
    ----------
    failing
        Versions whose load fails.
    lose_answers
        Number of further orders that are executed but not answered.
    load_seconds
        Seconds that a load takes after its weights are fetched.
    """

    failing: list[str] = attrs.field(factory=list)
    lose_answers: int = 0
    load_seconds: float = 0.2


class ManagedModels:
    """The models and the role of one engine, as changed by orders.

    Attributes
    ----------
    taken
        Orders that were accepted, in order of arrival.
    """

    def __init__(
        self,
        models: list[str],
        incarnation: str,
        enforces: bool,
        fetch: Fetch,
        count_running: Callable[[], int],
    ) -> None:
        """Start with models, each given as ``name`` or ``name@version``.

        Parameters
        ----------
        enforces
            Whether orders with an outdated fencing token are refused.
        count_running
            Returns the number of streams for the reported state.
        """
        split = [item.partition('@') for item in models]
        self._models = {
            name: ModelState(name, version) for name, _, version in split
        }
        self._incarnation = incarnation
        self._enforces = enforces
        self._fetch = fetch
        self._count_running = count_running
        self._role = EngineRole.BOTH
        self._token = 0
        self._attempts = 0
        self._loads: dict[str, asyncio.Task[None]] = {}
        self.faults = _Faults()
        self.taken: list[Order] = []

    def routes(self) -> list[web.RouteDef]:
        """Return the routes of the orders API and its control paths."""
        return [
            web.get('/v1/state', self._show_state),
            web.post('/v1/orders', self._handle_order),
            web.put('/control/orders', self._put_faults),
            web.get('/control/orders', self._show_taken),
        ]

    def list_ready(self) -> list[str]:
        """List the models that are ready to serve."""
        return [
            item.model
            for item in self._models.values()
            if item.phase is ModelPhase.READY
        ]

    async def stop(self, _application: web.Application) -> None:
        """Cancel the loads in progress."""
        for load in self._loads.values():
            load.cancel()

    async def _show_state(self, _http_request: web.Request) -> web.Response:
        state = EngineState(
            self._incarnation,
            list(self._models.values()),
            self._role,
            self._count_running(),
            self._token,
        )
        return _answer(state)

    async def _handle_order(self, http_request: web.Request) -> web.Response:
        order = msgspec.json.decode(await http_request.read(), type=Order)
        if self._enforces and order.token < self._token:
            return web.json_response({'token': self._token}, status=409)
        self._token = max(self._token, order.token)
        self.taken.append(order)
        self._execute(order)
        if self.faults.lose_answers > 0:
            self.faults.lose_answers -= 1
            http_request.transport.abort()
        return web.json_response({})

    def _execute(self, order: Order) -> None:
        if order.kind is OrderKind.ROLE:
            self._role = order.role
            return
        held = self._models.get(order.model)
        if order.kind is OrderKind.UNLOAD:
            self._cancel_load(order.model)
            self._models.pop(order.model, None)
            return
        if held and held.phase is not ModelPhase.FAILED:
            if order.version in {'', held.version}:
                adapters = order.adapters
                self._models[order.model] = attrs.evolve(
                    held, adapters=adapters
                )
                return
        self._cancel_load(order.model)
        self._attempts += 1
        loading = ModelState(
            order.model,
            order.version,
            order.adapters,
            ModelPhase.LOADING,
            attempt=self._attempts,
        )
        self._models[order.model] = loading
        self._loads[order.model] = asyncio.create_task(self._load(loading))

    def _cancel_load(self, model: str) -> None:
        load = self._loads.pop(model, None)
        if load is not None:
            load.cancel()

    async def _load(self, loading: ModelState) -> None:
        retry_after = await self._fetch(loading.model, loading.version)
        if not retry_after:
            await asyncio.sleep(self.faults.load_seconds)
        is_failing = loading.version in self.faults.failing
        phase = ModelPhase.READY
        reason = ''
        if retry_after:
            phase, reason = ModelPhase.FAILED, 'the weight store is busy'
        elif is_failing:
            phase, reason = ModelPhase.FAILED, 'the weights are damaged'
        self._models[loading.model] = attrs.evolve(
            loading,
            phase=phase,
            reason=reason,
            retry_after=retry_after,
        )

    async def _put_faults(self, http_request: web.Request) -> web.Response:
        self.faults = msgspec.json.decode(
            await http_request.read(),
            type=_Faults,
        )
        return web.json_response({})

    async def _show_taken(self, _http_request: web.Request) -> web.Response:
        return _answer(self.taken)


async def skip_weights(_model: str, _version: str) -> float:
    """Fetch nothing, for engines without a weight store."""
    return 0


def fetch_weights(address: str) -> Fetch:
    """Return a function that fetches from the weight store at an address."""

    async def fetch(model: str, version: str) -> float:
        url = f'http://{address}/weights/{model}/{version or "any"}'
        try:
            async with aiohttp.request('GET', url) as response:
                headers = response.headers
        except (aiohttp.ClientError, OSError):
            return 1
        return float(headers.get('Retry-After', 0))

    return fetch


def _answer(content: object) -> web.Response:
    return web.Response(
        body=msgspec.json.encode(content),
        content_type='application/json',
    )
