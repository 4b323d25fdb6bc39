"""Connections to endpoints, direct and through peers, on loopback."""

import asyncio
import contextlib
import itertools
import random
import secrets
import socket
import threading
import time
from collections.abc import AsyncIterator, Callable

import pytest

from kelproad.coordination.ingress.membership.peers import PeerRegister
from kelproad.coordination.ingress.membership.reachability import (
    ZoneReachability,
)
from kelproad.coordination.ingress.membership.updates import PeerUpdate
from kelproad.coordination.ingress.settings import NodeSettings
from kelproad.coordination.ingress.streams.progress import Attempt
from kelproad.coordination.ingress.streams.silence import SilenceMonitor
from kelproad.coordination.ingress.tunnels import (
    connecting as connecting_module,
)
from kelproad.coordination.ingress.tunnels import serving as serving_module
from kelproad.coordination.ingress.tunnels.connecting import EndpointConnector
from kelproad.coordination.ingress.tunnels.peerchoice import (
    TunnelPeer,
    TunnelPeers,
)
from kelproad.coordination.ingress.tunnels.serving import TunnelServer
from kelproad.protocol.connections import ConnectionProgress, current_progress
from kelproad.protocol.tunnels import (
    TunnelReply,
    TunnelRequest,
    encode_request,
    open_tunnel,
)
from kelproad.state.counters import Counters
from kelproad.state.directpaths import DirectPaths
from kelproad.transport.addresses import Address
from kelproad.transport.deadlines import RunningClock, monotonic
from testbed.soak.links import Cut, Link
from tests.ingress.test_attempts import build_call

NOBODY = Address('127.0.0.1', 9)
BASE_PORT = 7340
#: Seconds for which no other connection is tried beside one, and that a peer
#: takes to reply for which a call must not wait.
LONG = 5.0
SLOW = 0.15
_hosts = itertools.count(secrets.randbelow(60_000) + 256)


class Instance:
    """The parts of an instance that connect to endpoints."""

    def __init__(self, name: str, zone: str = 'a') -> None:
        """Give it an IP number of its own; nothing listens yet."""
        number = next(_hosts)
        self.host = f'127.30.{number // 256}.{number % 256}'
        self.name = name
        self.zone = zone
        self.settings = NodeSettings(
            name, zone, self.host, NOBODY, NOBODY, BASE_PORT, NOBODY
        )
        self.peers = PeerRegister(self.settings, ZoneReachability())
        self.paths = DirectPaths()
        self.chooser = TunnelPeers(self.settings, self.peers, random.Random(1))
        self.connector = EndpointConnector(
            self.host, self.paths, self.chooser, int, Counters()
        )
        self.instances: set[str] = set()
        self.endpoints: set[str] = set()
        self.outcomes: list[str] = []
        #: Seconds until it replies to a request.
        self.delay = float(0)
        self.server = TunnelServer(
            Address(self.host, self.settings.tunnel_port),
            self.is_instance,
            lambda address: address in self.endpoints,
            self.connector.connect_directly,
            self.outcomes.append,
        )

    def choose_peers(self, now: float) -> list[TunnelPeer]:
        """Choose peers of any zone for a tunnel."""
        return self.chooser.choose(now, lambda _zone: True)

    async def is_instance(self, host: str) -> bool:
        """Return whether an IP number is that of a known instance."""
        await asyncio.sleep(self.delay)
        return host in self.instances

    def hear(self, peer: 'Instance', lost_paths: int = 0) -> None:
        """Receive a report of a peer."""
        update = PeerUpdate(
            peer.name, peer.host, peer.zone, 1, 1, False, None, []
        )
        update.lost_paths = lost_paths
        self.peers.accept(update, monotonic())
        peer.instances.add(self.host)


class EchoEndpoint:
    """An endpoint that returns what it receives, and counts connections."""

    def __init__(self) -> None:
        """Listen nowhere yet."""
        self.received: list[bytes] = []
        self.ended = 0

    async def handle(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Return each line; ``reset`` and ``end`` end the connection so."""
        with contextlib.suppress(ConnectionError):
            while line := await reader.readline():
                self.received.append(line)
                writer.write(line)
                if line == b'reset\n':
                    await writer.drain()
                    linger = socket.SO_LINGER
                    raw = writer.get_extra_info('socket')
                    raw.setsockopt(
                        socket.SOL_SOCKET, linger, b'\x01\0\0\0\0\0\0\0'
                    )
                    writer.transport.abort()
                    break
                if line == b'end\n':
                    writer.write_eof()
        self.ended += 1
        writer.close()


class Site:
    """Two instances in a zone and one in another, before one endpoint."""

    def __init__(self, link: Link, endpoint: EchoEndpoint) -> None:
        """Let the instances know each other and the endpoint."""
        self.link = link
        self.endpoint = endpoint
        self.address = Address.from_text(link.address)
        self.here = Instance('here')
        self.near = Instance('near')
        self.far = Instance('far', 'b')
        self.all = (self.here, self.near, self.far)
        for one, other in itertools.permutations(self.all, 2):
            one.hear(other)
        for instance in self.all:
            instance.endpoints.add(self.address.authority)

    def cut(self, *instances: Instance, cut: Cut = Cut.HANG) -> None:
        """Cut instances from the endpoint."""
        hosts = frozenset(instance.host for instance in instances)
        self.link.cut_from(hosts, cut)

    async def exchange(self, line: bytes) -> bytes:
        """Connect as ``here`` does, send a line and read what returns."""
        connected = await self.here.connector.connect(self.address)
        reader, writer = await asyncio.open_connection(sock=connected)
        writer.write(line)
        try:
            return await asyncio.wait_for(reader.readline(), 2)
        finally:
            writer.close()


@pytest.fixture
async def site() -> AsyncIterator[Site]:
    """Start the endpoint, a link to it and the tunnel servers."""
    endpoint = EchoEndpoint()
    server = await asyncio.start_server(endpoint.handle, '127.0.0.1', 0)
    host, port = server.sockets[0].getsockname()
    link = Link('endpoint', f'{host}:{port}')
    await link.open()
    built = Site(link, endpoint)
    for instance in built.all:
        await instance.server.on_start()
    yield built
    for instance in built.all:
        await instance.server.on_stop()
    link.close()
    server.close()


@pytest.fixture
def one_at_a_time(monkeypatch: pytest.MonkeyPatch) -> None:
    """Have a connection tried only once the one before it has failed."""
    monkeypatch.setattr(connecting_module, '_TUNNEL_DELAY', LONG)


async def wait_until(condition: Callable[[], bool]) -> None:
    """Wait until a condition holds, for two seconds at most."""
    async with asyncio.timeout(2):
        while not condition():
            await asyncio.sleep(0.01)


async def test_a_sound_endpoint_is_connected_to_directly(
    site: Site, one_at_a_time: None
) -> None:
    """A tunnel for every call would double the traffic."""
    assert await site.exchange(b'hello\n') == b'hello\n'
    assert not site.here.outcomes
    assert not site.near.outcomes


@pytest.mark.parametrize('cut', [Cut.HANG, Cut.NEW_HANG])
async def test_a_cut_instance_connects_through_its_zone(
    site: Site, cut: Cut, one_at_a_time: None
) -> None:
    """A call at an instance that is cut off finds no way to an endpoint."""
    site.cut(site.here, cut=cut)
    assert await site.exchange(b'hello\n') == b'hello\n'
    assert site.near.outcomes == ['open']
    assert not site.far.outcomes
    assert site.endpoint.received == [b'hello\n']


async def test_a_slow_peer_is_not_waited_for(site: Site) -> None:
    """A busy peer would keep the calls of a cut instance."""
    site.cut(site.here)
    site.near.delay = SLOW
    assert await site.exchange(b'hello\n') == b'hello\n'
    assert site.far.outcomes == ['open']
    assert site.endpoint.received == [b'hello\n']


async def test_a_peer_that_does_not_answer_is_not_waited_for(
    site: Site,
) -> None:
    """A frozen or stopped peer would keep the calls of a cut instance."""
    site.cut(site.here)
    await site.near.server.on_stop()
    assert await site.exchange(b'hello\n') == b'hello\n'
    assert site.far.outcomes == ['open']


async def test_a_peer_that_is_cut_off_as_well_is_passed_over(
    site: Site,
) -> None:
    """Cut instances would send their calls to each other in a circle."""
    site.cut(site.here, site.near)
    assert await site.exchange(b'hello\n') == b'hello\n'
    assert site.far.outcomes == ['open']
    assert site.endpoint.received == [b'hello\n']


async def test_a_probe_that_fails_says_nothing_of_peers(site: Site) -> None:
    """Calls would be refused though peers still connect to the endpoint."""
    site.cut(site.here)
    paths = site.here.paths
    for address in ('10.0.0.1:80', '10.0.0.2:80'):
        paths.record_unanswered(address, monotonic())
    token = current_progress.set(ConnectionProgress(may_probe=True))
    with pytest.raises(OSError):
        await site.here.connector.connect(site.address)
    current_progress.reset(token)
    address = site.address.authority
    assert not paths.unreachable.includes(address, monotonic())
    assert await site.exchange(b'hello\n') == b'hello\n'


async def test_a_dead_endpoint_is_no_lost_path(site: Site) -> None:
    """An instance would think itself cut off whenever an endpoint dies."""
    site.cut(*site.all)
    with pytest.raises(OSError):
        await site.here.connector.connect(site.address)
    now = monotonic()
    address = site.address.authority
    assert not site.here.paths.is_lost(address, now)
    assert site.here.paths.unreachable.includes(address, now)


@pytest.mark.parametrize('via', ['', 'edge-2'])
async def test_the_begin_of_a_direct_answer_ends_mute_paths(via: str) -> None:
    """Calls would go through peers until a long stream has ended."""
    paths = DirectPaths()
    for address in ('10.0.0.1:80', '10.0.0.2:80'):
        paths.record_unanswered(address, monotonic())
    attempt = Attempt(build_call(), None, via=via)
    SilenceMonitor(None, None, paths, RunningClock()).record_answer(attempt)
    assert paths.is_mute(monotonic()) == bool(via)


async def test_the_direct_path_is_used_again_at_once(
    site: Site, one_at_a_time: None
) -> None:
    """Calls would go through peers long after the cut has ended."""
    site.cut(site.here)
    await site.exchange(b'one\n')
    await asyncio.sleep(0.2)
    assert site.here.paths.is_lost(site.address.authority, monotonic())
    site.link.end_cut()
    await site.exchange(b'two\n')
    await asyncio.sleep(0.2)
    site.near.outcomes.clear()
    await site.exchange(b'three\n')
    assert not site.near.outcomes
    assert not site.here.paths.is_lost(site.address.authority, monotonic())


async def test_a_reset_passes_a_tunnel_as_a_reset(site: Site) -> None:
    """A body without a length that was cut short would look complete."""
    site.cut(site.here)
    connected = await site.here.connector.connect(site.address)
    reader, writer = await asyncio.open_connection(sock=connected)
    writer.write(b'reset\n')
    with pytest.raises(ConnectionResetError):
        await asyncio.wait_for(reader.read(-1), 2)


async def test_an_orderly_end_passes_a_tunnel(site: Site) -> None:
    """A whole body that ends with its connection would seem cut short."""
    site.cut(site.here)
    connected = await site.here.connector.connect(site.address)
    reader, writer = await asyncio.open_connection(sock=connected)
    writer.write(b'end\n')
    assert await asyncio.wait_for(reader.read(-1), 2) == b'end\n'
    writer.close()
    await wait_until(lambda: not site.near.server.unfinished)


async def test_a_caller_that_leaves_ends_the_work_behind_a_tunnel(
    site: Site, one_at_a_time: None
) -> None:
    """An endpoint would go on with work that nobody waits for."""
    site.cut(site.here)
    connected = await site.here.connector.connect(site.address)
    await asyncio.sleep(0.1)
    connected.close()
    await wait_until(lambda: site.endpoint.ended == 1)
    assert not site.near.server.unfinished


async def test_a_stopping_instance_opens_no_tunnel(
    site: Site, one_at_a_time: None
) -> None:
    """A planned stop would cut the calls of another instance."""
    site.cut(site.here)
    site.near.server.leaving = True
    assert await site.exchange(b'hello\n') == b'hello\n'
    assert site.near.outcomes == ['refused']


async def test_the_end_of_a_peer_is_no_orderly_end(
    site: Site, one_at_a_time: None
) -> None:
    """A body without a length would look complete when its peer exits."""
    site.cut(site.here)
    connected = await site.here.connector.connect(site.address)
    reader, writer = await asyncio.open_connection(sock=connected)
    writer.write(b'part\n')
    assert await reader.readline() == b'part\n'
    await site.near.server.on_stop()
    with pytest.raises(ConnectionResetError):
        await asyncio.wait_for(reader.read(-1), 2)


async def test_a_peer_with_all_its_tunnels_in_use_opens_no_more(
    site: Site, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The calls of cut instances would use up a peer's descriptors."""
    monkeypatch.setattr(serving_module, 'MAX_TUNNELS', 1)
    site.cut(site.here, site.far)
    first = await site.here.connector.connect(site.address)
    with pytest.raises(OSError):
        await site.here.connector.connect(site.address)
    assert site.near.outcomes == ['open', 'refused']
    first.close()


async def ask(site: Site, origin: str, request: bytes) -> bytes:
    """Send a request for a tunnel to ``near``; return all that it replies."""
    reader, writer = await asyncio.open_connection(
        site.near.host, site.near.settings.tunnel_port, local_addr=(origin, 0)
    )
    writer.write(request)
    try:
        return await asyncio.wait_for(reader.read(-1), 3)
    except ConnectionError:
        return b''
    finally:
        writer.close()


async def test_only_instances_get_tunnels_and_only_to_endpoints(
    site: Site,
) -> None:
    """Anybody could reach endpoints and other hosts through an instance."""
    request = encode_request(TunnelRequest(site.address.authority))
    elsewhere = encode_request(TunnelRequest('127.0.0.1:22'))
    refused = TunnelReply.REFUSED.value
    assert await ask(site, '127.9.9.9', request) == refused
    assert await ask(site, site.here.host, elsewhere) == refused
    assert await ask(site, site.here.host, b'\x00\x01\xff') == refused
    assert await ask(site, site.here.host, b'GET / HTTP/1.1\r\n') == b''
    assert not site.endpoint.received


async def test_a_request_that_does_not_come_ends_its_connection(
    site: Site,
) -> None:
    """Strangers could hold the descriptors of an instance."""
    assert await ask(site, site.here.host, b'\x00') == b''


def test_peers_without_losses_come_first(site: Site) -> None:
    """A cut instance would ask others that are cut off as well."""
    now = monotonic()
    names = [peer.instance for peer in site.here.choose_peers(now)]
    assert names == ['near', 'far']
    update = PeerUpdate('near', site.near.host, 'a', 1, 2, False, None, [])
    update.lost_paths = 3
    site.here.peers.accept(update, now)
    names = [peer.instance for peer in site.here.choose_peers(now)]
    assert names == ['far', 'near']
    site.here.chooser.record_failure('far', now)
    names = [peer.instance for peer in site.here.choose_peers(now)]
    assert names == ['near', 'far']


async def test_a_standstill_of_the_instance_is_no_lost_path(
    site: Site,
) -> None:
    """After a pause an instance took all of its direct paths for lost."""
    connecting = asyncio.create_task(
        site.here.connector.connect_directly(site.address)
    )
    asyncio.get_running_loop().call_soon(time.sleep, 0.5)
    (await connecting).close()
    assert not site.here.paths.count_lost(monotonic())


async def test_a_standstill_of_the_instance_is_no_silence_of_a_peer() -> None:
    """After a pause peers that had opened tunnels counted as failed."""
    loop = asyncio.get_running_loop()
    with socket.create_server(('127.0.0.1', 0)) as listening:

        def reply() -> None:
            accepted, _ = listening.accept()
            with accepted:
                accepted.recv(1024)
                time.sleep(0.1)
                accepted.sendall(TunnelReply.OPEN.value)

        peer = threading.Thread(target=reply)
        peer.start()
        loop.call_later(0.05, time.sleep, 0.5)
        address = Address('127.0.0.1', listening.getsockname()[1])
        (await open_tunnel(address, NOBODY, '127.0.0.1')).close()
        peer.join()
