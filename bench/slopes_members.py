"""Membership traffic and CPU time per member, by number of members.

All members run in one process, each with its own pynng sockets on loopback,
in three availability zones.  Each reads its share of the engines and has work
in flight, so that the messages are as large as in production.
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
from kelproad.state.endpoints import EndpointReport, EndpointTable
from kelproad.state.identity import Identity
from kelproad.state.members import MemberTable
from kelproad.transport.deadlines import monotonic
from testbed.processes import find_free_address

from .slopes_usage import Row

__all__ = ['measure_members']

_ZONES = 3
_ENGINES_PER_MEMBER = 11
_SETTLE_SECONDS = 3.0
_MEASURED_SECONDS = 8.0
_PERCENTILE = 0.95


class _FixedPlatform(PlatformClient):
    """Platform client with a fixed list of instances, without any call."""

    def __init__(self, listing: Listing) -> None:
        """Set the list that all members receive."""
        self._listing = listing

    async def list_instances(self, timeout: float) -> Result[Listing, object]:
        """Return the fixed list."""
        return Success(self._listing)


class _MeasuredMember:
    """One member with its tables and counters."""

    def __init__(self, listed: ListedInstance, listing: Listing) -> None:
        """Create the member, not yet started."""
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
        platform = _FixedPlatform(listing)
        holder = SnapshotHolder()
        holder.adopt(_declare(len(listing.instances)))
        self.table.replace_groups(holder.current.groups.values())
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
        """Bytes sent to peers so far."""
        return self.counters.peer_bytes.get({'direction': 'sent'})

    def sent_messages(self) -> float:
        """Messages sent to peers so far."""
        return self.counters.peer_messages.get({'direction': 'sent'})

    def load(self, generator: random.Random) -> None:
        """Record new reports of this member's engines, with random work."""
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
    """Measure the messages between members, with several numbers of them."""
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
    measured = [
        _MeasuredMember(listed, listing) for listed in listing.instances
    ]
    for member in measured:
        await member.service.start()
    loading = asyncio.create_task(_update_reports(measured))
    await asyncio.sleep(_SETTLE_SECONDS)
    bytes_before = sum(member.sent_bytes() for member in measured)
    messages_before = sum(member.sent_messages() for member in measured)
    cpu_before = time.process_time()
    started = time.monotonic()
    await asyncio.sleep(_MEASURED_SECONDS)
    seconds = (time.monotonic() - started) * size
    cpu = time.process_time() - cpu_before
    sent = sum(member.sent_bytes() for member in measured) - bytes_before
    messages = sum(item.sent_messages() for item in measured) - messages_before
    now = monotonic()
    live = min(len(member.members.live(now)) for member in measured)
    local, remote = _measure_ages(measured, now)
    loading.cancel()
    for member in measured:
        await member.service.stop()
    return [
        Row('members', size, 'other members live, minimum', live),
        Row(
            'members', size, 'bytes sent per second and member', sent / seconds
        ),
        Row(
            'members',
            size,
            'messages sent per second and member',
            messages / seconds,
        ),
        Row('members', size, '% of a core per member', 100 * cpu / seconds),
        Row('members', size, 's of age, reports of the local zone, p95', local),
        Row('members', size, 's of age, reports of other zones, p95', remote),
    ]


def _measure_ages(
    measured: list[_MeasuredMember], now: float
) -> tuple[float, float]:
    """Return the 95th percentile of report age, local and other zones."""
    local, remote = [], []
    for member in measured:
        for endpoint in member.table.all().values():
            if endpoint.read_locally:
                continue
            is_local = endpoint.declaration.zone == member.zone
            ages = local if is_local else remote
            ages.append(now - endpoint.reported_at)
    return _compute_percentile(local), _compute_percentile(remote)


def _compute_percentile(ages: list[float]) -> float:
    return sorted(ages)[int(len(ages) * _PERCENTILE)] if ages else 0


async def _update_reports(measured: list[_MeasuredMember]) -> None:
    generator = random.Random(1)
    while True:
        for member in measured:
            member.load(generator)
        await asyncio.sleep(1)


def _declare(size: int) -> Snapshot:
    endpoints = [
        EndpointDeclaration(
            f'engine-{number}',
            f'zone-{number % _ZONES}',
            '10.0.0.1:8000',
        )
        for number in range(size * _ENGINES_PER_MEMBER)
    ]
    group = EndpointGroup('engines', EndpointKind.ENGINE, endpoints)
    content = FileContent('endpoints', endpoint_groups=[group])
    applied = AppliedFile('endpoints', 1, 1, 'd', '', content)
    return Snapshot.from_files(1, {'endpoints': applied})
