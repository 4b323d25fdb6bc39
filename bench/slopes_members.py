"""Membership at several sizes: bytes, messages and processor time a member.

All members run in one process, each with its own pynng sockets on loopback,
in three availability zones.  Each watches four engines a member and has work
in flight, so that the messages are as full as in service.
"""

import asyncio
import random
import time

from returns.result import Result, Success

from kelproad.coordination.configuration import ConfigurationFollower
from kelproad.coordination.membership import Membership
from kelproad.protocol.platform import PlatformClient
from kelproad.protocol.settings import Settings
from kelproad.protocol.store import ListedInstance, Listing
from kelproad.state.configuration import AppliedFile, Snapshot, SnapshotHolder
from kelproad.state.counters import Counters
from kelproad.state.declarations import (
    EndpointDeclaration,
    EndpointGroup,
    EndpointKind,
    FileContent,
)
from kelproad.state.endpoints import EndpointTable
from kelproad.state.identity import Identity
from kelproad.state.members import EndpointReport, MemberTable
from kelproad.transport.deadlines import monotonic
from testbed.processes import find_free_address

from .slopes_usage import Row

__all__ = ['measure_members']

_ZONES = 3
_ENGINES_A_MEMBER = 11
_SETTLE = 3.0
_WINDOW = 8.0
_PERCENTILE = 0.95


class _Listed(PlatformClient):
    """A platform client whose list is at hand, without any call."""

    def __init__(self, listing: Listing) -> None:
        """Keep the list that every member gets."""
        self._listing = listing

    async def list_instances(self, timeout: float) -> Result[Listing, object]:
        """Return the list."""
        return Success(self._listing)


class _Watched:
    """One member with its counters."""

    def __init__(self, listed: ListedInstance, listing: Listing) -> None:
        """Build the parts that membership needs."""
        self.zone = listed.zone
        self._index = listing.instances.index(listed)
        self._size = len(listing.instances)
        self.counters = Counters()
        self.table = EndpointTable()
        self.members = MemberTable()
        settings = Settings(
            instance=listed.name,
            zone=listed.zone,
            caller_address='127.0.0.1:1',
            operator_address='127.0.0.1:1',
            peer_address=listed.peer_address,
            platform_address='127.0.0.1:1',
            peer_key='a-shared-key-of-the-slopes',
            operator_digests={},
        )
        platform = _Listed(listing)
        holder = SnapshotHolder()
        holder.adopt(_declare(len(listing.instances)))
        self.table.apply_snapshot(holder.current)
        follower = ConfigurationFollower(
            settings,
            holder,
            self.table,
            self.members,
            platform,
            self.counters,
        )
        self.service = Membership(
            settings,
            Identity.from_start(listed.name, listed.zone),
            self.members,
            self.table,
            holder,
            follower,
            platform,
            self.counters,
            random.Random(listed.name),
        )

    def sent_bytes(self) -> float:
        """Bytes sent so far."""
        return self.counters.peer_bytes.get({'direction': 'sent'})

    def sent_messages(self) -> float:
        """Messages sent so far."""
        return self.counters.peer_messages.get({'direction': 'sent'})

    def load(self, generator: random.Random) -> None:
        """Read the engines of this member's share, all with fresh work."""
        now = monotonic()
        for number, endpoint in enumerate(self.table.all().values()):
            if number % self._size != self._index:
                continue
            report = EndpointReport(
                endpoint.name,
                '1764720000000000000',
                waiting_tokens=generator.randrange(100_000),
                running=generator.randrange(60),
                used_tokens=generator.randrange(400_000),
                models=['model-1'],
            )
            endpoint.accept_report(report, now, here=True)
            endpoint.own_tokens = generator.choice((0, 0, 3000))


def measure_members(sizes: list[int]) -> list[Row]:
    """Measure the exchange between members at several numbers of them."""
    return [row for size in sizes for row in asyncio.run(_measure(size))]


async def _measure(size: int) -> list[Row]:
    listing = Listing(
        [
            ListedInstance(
                f'zone-{number % _ZONES}-{number}',
                f'zone-{number % _ZONES}',
                find_free_address(f'127.0.{number % _ZONES + 1}.1'),
            )
            for number in range(size)
        ],
    )
    watched = [_Watched(listed, listing) for listed in listing.instances]
    for member in watched:
        await member.service.start()
    loading = asyncio.create_task(_load(watched))
    await asyncio.sleep(_SETTLE)
    bytes_before = sum(member.sent_bytes() for member in watched)
    messages_before = sum(member.sent_messages() for member in watched)
    cpu_before = time.process_time()
    started = time.monotonic()
    await asyncio.sleep(_WINDOW)
    seconds = (time.monotonic() - started) * size
    cpu = time.process_time() - cpu_before
    sent = sum(member.sent_bytes() for member in watched) - bytes_before
    messages = sum(item.sent_messages() for item in watched) - messages_before
    now = monotonic()
    seen = min(len(member.members.live(now)) for member in watched)
    near, far = _measure_ages(watched, now)
    loading.cancel()
    for member in watched:
        await member.service.stop()
    return [
        Row('members', size, 'others seen live, at the least', seen),
        Row('members', size, 'bytes sent a second a member', sent / seconds),
        Row(
            'members',
            size,
            'messages sent a second a member',
            messages / seconds,
        ),
        Row('members', size, '% of a core a member', 100 * cpu / seconds),
        Row('members', size, 's old, reports of the own zone, p95', near),
        Row('members', size, 's old, reports of other zones, p95', far),
    ]


def _measure_ages(watched: list[_Watched], now: float) -> tuple[float, float]:
    """Return the 95th percentile of the reports' age, own zone and others."""
    near, far = [], []
    for member in watched:
        for endpoint in member.table.all().values():
            if endpoint.read_locally:
                continue
            is_near = endpoint.declaration.zone == member.zone
            ages = near if is_near else far
            ages.append(now - endpoint.reported_at)
    return _take_percentile(near), _take_percentile(far)


def _take_percentile(ages: list[float]) -> float:
    return sorted(ages)[int(len(ages) * _PERCENTILE)] if ages else 0


async def _load(watched: list[_Watched]) -> None:
    generator = random.Random(1)
    while True:
        for member in watched:
            member.load(generator)
        await asyncio.sleep(1)


def _declare(size: int) -> Snapshot:
    endpoints = [
        EndpointDeclaration(
            f'engine-{number}',
            f'zone-{number % _ZONES}',
            '10.0.0.1:8000',
        )
        for number in range(size * _ENGINES_A_MEMBER)
    ]
    group = EndpointGroup('engines', EndpointKind.ENGINE, endpoints)
    content = FileContent('endpoints', endpoint_groups=[group])
    applied = AppliedFile('endpoints', 1, 1, 'd', '', content)
    return Snapshot.from_files(1, {'endpoints': applied})
