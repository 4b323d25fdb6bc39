"""Stand-in for the network between zones, with delays and partitions.

Each link listens on one address and forwards bytes to another.  The zone of a
connection's origin is found by its IP prefix, the zone of its target is given
by the link.  While two zones are cut from each other, bytes between them are
held back, as TCP does with lost packets, or their connections are aborted, as
by a switch that fails.
"""

import asyncio
import enum
from collections.abc import Awaitable, Callable, Mapping

import attrs
import msgspec
from aiohttp import web

from ..transport.addresses import Address
from ..transport.deadlines import monotonic

__all__ = ['NetworkStandIn']

#: Bytes that are read at once.
_CHUNK = 65_536
#: Chunks that may be delayed or held back in one direction of a connection.
_MAX_CHUNKS_IN_FLIGHT = 256


class CutMode(enum.StrEnum):
    """Whether a cut holds bytes back or aborts the connections."""

    HOLD = 'hold'
    BREAK = 'break'


@attrs.frozen
class Link:
    """One address whose connections are forwarded to another.

    Attributes
    ----------
    listen, target
        ``IP:port`` of both addresses.
    zone
        Zone of the target.
    """

    listen: str
    target: str
    zone: str


@attrs.frozen
class Conditions:
    """The state of the network.

    Attributes
    ----------
    cuts
        Pairs of zones that are cut from each other, in either order.
    delay
        One-way delay between different zones, in seconds.
    """

    cuts: list[tuple[str, str]] = attrs.field(factory=list)
    mode: CutMode = CutMode.HOLD
    delay: float = 0


class NetworkStandIn:
    """Network that forwards bytes between the zones of a site."""

    def __init__(self, zones: Mapping[str, str]) -> None:
        """Start without cuts; ``zones`` maps each zone to an IP prefix."""
        self._zones = zones
        self._conditions = Conditions()
        self._changed = asyncio.Condition()
        self._servers: list[asyncio.Server] = []

    def create_application(self) -> web.Application:
        """Build the application with the control paths."""
        application = web.Application()
        application.add_routes(
            [
                web.put('/control/network', self._put_conditions),
                web.post('/control/links', self._open_link),
                web.get('/control/network', self._show_conditions),
            ],
        )
        application.on_cleanup.append(self._close_links)
        return application

    async def _open_link(self, http_request: web.Request) -> web.Response:
        link = msgspec.json.decode(await http_request.read(), type=Link)
        address = Address.from_text(link.listen)
        self._servers.append(
            await asyncio.start_server(
                self._create_handler(link),
                address.host,
                address.port,
            ),
        )
        return web.json_response({})

    async def _close_links(self, _application: web.Application) -> None:
        for server in self._servers:
            server.close()

    async def _put_conditions(self, http_request: web.Request) -> web.Response:
        async with self._changed:
            self._conditions = msgspec.json.decode(
                await http_request.read(),
                type=Conditions,
            )
            self._changed.notify_all()
        return web.json_response({})

    async def _show_conditions(
        self,
        _http_request: web.Request,
    ) -> web.Response:
        return web.Response(body=msgspec.json.encode(self._conditions))

    # Connections

    def _create_handler(
        self,
        link: Link,
    ) -> Callable[
        [asyncio.StreamReader, asyncio.StreamWriter],
        Awaitable[None],
    ]:
        async def handle_connection(
            reader: asyncio.StreamReader,
            writer: asyncio.StreamWriter,
        ) -> None:
            origin = self._find_zone(writer.get_extra_info('peername')[0])
            pair = frozenset((origin, link.zone))
            try:
                await self._relay(reader, writer, link, pair)
            except OSError:
                writer.transport.abort()

        return handle_connection

    async def _relay(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        link: Link,
        pair: frozenset[str],
    ) -> None:
        """Relay bytes until both directions end or a cut breaks them."""
        await self._wait_until_uncut(pair)
        target = Address.from_text(link.target)
        target_reader, target_writer = await asyncio.open_connection(
            target.host,
            target.port,
        )
        tasks = {
            asyncio.create_task(
                self._relay_one_way(reader, target_writer, pair)
            ),
            asyncio.create_task(
                self._relay_one_way(target_reader, writer, pair)
            ),
        }
        breaker = asyncio.create_task(self._wait_until_broken(pair))
        relaying = asyncio.gather(*tasks, return_exceptions=True)
        await asyncio.wait(
            {asyncio.ensure_future(relaying), breaker},
            return_when=asyncio.FIRST_COMPLETED,
        )
        breaker.cancel()
        for task in tasks:
            task.cancel()
        writer.transport.abort()
        target_writer.transport.abort()

    async def _relay_one_way(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        pair: frozenset[str],
    ) -> None:
        queue: asyncio.Queue[tuple[float, bytes]] = asyncio.Queue(
            _MAX_CHUNKS_IN_FLIGHT,
        )
        sender = asyncio.create_task(self._send(queue, writer, pair))
        try:
            while received := await reader.read(_CHUNK):
                await queue.put((monotonic() + self._delay(pair), received))
            await queue.put((monotonic() + self._delay(pair), b''))
            await sender
        finally:
            sender.cancel()

    async def _send(
        self,
        queue: asyncio.Queue[tuple[float, bytes]],
        writer: asyncio.StreamWriter,
        pair: frozenset[str],
    ) -> None:
        while True:
            due, chunk = await queue.get()
            if due > monotonic():
                await asyncio.sleep(due - monotonic())
            await self._wait_until_uncut(pair)
            if not chunk:
                writer.write_eof()
                return
            writer.write(chunk)
            await writer.drain()

    def _delay(self, pair: frozenset[str]) -> float:
        return self._conditions.delay if len(pair) > 1 else 0

    def _is_cut(self, pair: frozenset[str]) -> bool:
        return any(frozenset(cut) == pair for cut in self._conditions.cuts)

    async def _wait_until_uncut(self, pair: frozenset[str]) -> None:
        if not self._is_cut(pair):
            return
        async with self._changed:
            while self._is_cut(pair):
                await self._changed.wait()

    async def _wait_until_broken(self, pair: frozenset[str]) -> None:
        async with self._changed:
            while not self._is_broken(pair):
                await self._changed.wait()

    def _is_broken(self, pair: frozenset[str]) -> bool:
        return self._conditions.mode is CutMode.BREAK and self._is_cut(pair)

    def _find_zone(self, host: str) -> str:
        for zone, prefix in self._zones.items():
            if host.startswith(prefix):
                return zone
        return ''
