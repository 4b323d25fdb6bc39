"""Memory reservations whose caller leaves meanwhile."""

import asyncio

from returns.result import Result, Success

from kelproad.coordination.ingress.placing.memory import (
    EngineOperations,
    MemoryReserver,
)
from kelproad.coordination.ingress.placing.placement import MemoryShare
from kelproad.coordination.ingress.settings import Bounds
from kelproad.state.declarations import (
    EndpointDeclaration,
    EndpointGroup,
    EndpointKind,
)
from kelproad.state.endpoints import Endpoint

TOKENS = 400_000


def build_share() -> MemoryShare:
    """Build the share of one engine."""
    declaration = EndpointDeclaration('i-1', 'zone-a', '10.0.0.1:80')
    group = EndpointGroup('writer', EndpointKind.ENGINE, [declaration])
    return MemoryShare(Endpoint(declaration, group), TOKENS)


async def test_reservations_in_flight_are_released() -> None:
    """A caller leaves while memory is being reserved for its prompt.

    The order has been sent and the engine carries it out; without a release
    the memory would stay reserved.
    """
    held: set[str] = set()

    async def reserve(
        _address: str,
        ticket: str,
        _tokens: int,
        _seconds: float,
    ) -> Result[None, str]:
        held.add(ticket)
        await asyncio.sleep(1)
        return Success(None)

    async def release(_address: str, ticket: str) -> Result[None, str]:
        held.discard(ticket)
        return Success(None)

    async def read_slowdown(_address: str) -> Result[float, str]:
        return Success(1)

    async def claim(*_claimed: object) -> bool:
        return True

    reserver = MemoryReserver(
        EngineOperations(reserve, claim, release, read_slowdown, read_slowdown),
        Bounds,
        lambda endpoint: None,
    )
    reserving = asyncio.create_task(reserver.reserve('a-1', (build_share(),)))
    await asyncio.sleep(0.01)
    assert held
    reserving.cancel()
    await asyncio.wait((reserving,))
    await reserver.finish(1)
    assert not held
