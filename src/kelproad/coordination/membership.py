"""Membership: who else is there, what they see and what they have in force.

Once a period an instance sends its own record, and what it has heard that the
receiver has not, to a few peers; ``gossip.py`` chooses both.  The platform's
lagging list only says whom to try.
"""

import asyncio
import collections
import random
from collections.abc import Callable

import attrs
from mode import Service
from returns.result import Failure

from ..protocol.messages import (
    Changes,
    ChangesWanted,
    Gossip,
    PeerMessage,
    decode_message,
    encode_message,
)
from ..protocol.platform import PlatformClient
from ..protocol.settings import Settings
from ..state.configuration import SnapshotHolder
from ..state.counters import Counters
from ..state.endpoints import EndpointTable
from ..state.identity import Identity
from ..state.lengths import LengthClass
from ..state.members import Member, MemberTable
from ..transport.addresses import Address
from ..transport.deadlines import monotonic
from ..transport.peers import PeerLink, PeerListener
from ..transport.services import BackgroundService
from .configuration import ConfigurationFollower, list_changes
from .gossip import PERIOD, Gossiper, Place
from .leaving import list_own_words, mark_leaving
from .limits import WorkspaceLimits

__all__ = ['Membership']

_LISTING_PERIOD = 1.0
_STORE_TIMEOUT = 2.0
#: Seconds between two rounds above which this process must have been paused.
_PAUSE_AFTER = 1.5
#: Seconds that a stopping instance waits for its last message to leave.
_FAREWELL = 0.1
#: Steps of a second in which the age of a report is told.
_AGE_STEPS = 32
#: Seconds between two answers to the suspicions of one peer.
_ANSWER_GAP = 0.2
#: Seconds for which a watcher repeats what it last read from an engine.
_REPORT_KEPT = 3.0


class Membership(BackgroundService):
    """Exchanges records with the other instances."""

    abstract = False

    def __init__(
        self,
        settings: Settings,
        identity: Identity,
        members: MemberTable,
        table: EndpointTable,
        holder: SnapshotHolder,
        follower: ConfigurationFollower,
        platform: PlatformClient,
        counters: Counters,
        generator: random.Random,
        clock: Callable[[], float] = monotonic,
    ) -> None:
        """Exchange records by the instance's settings."""
        super().__init__()
        self._settings = settings
        self._key = settings.peer_key.encode()
        self._identity = identity
        self._members = members
        self._table = table
        self._holder = holder
        self._follower = follower
        self._platform = platform
        self._counters = counters
        self._clock = clock
        self._gossiper = Gossiper(
            Place(
                identity.instance,
                identity.zone,
                settings.region,
                settings.reachable_peer_address,
            ),
            members,
            generator,
        )
        self._own = self._build_record()
        self._rounded_at: float | None = None
        self._busy: set[str] = set()
        self._answered: dict[str, float] = {}
        self._zones: dict[str, str] = {}
        self._links: dict[str, PeerLink] = {}
        self.draining = False
        self.limits = WorkspaceLimits(members, table, counters)
        follower.ask_peer = self.send
        self._listener = self.add_dependency(
            PeerListener(
                Address.from_text(settings.peer_address),
                self.receive,
            ),
        )

    async def on_stop(self) -> None:
        """Say that this instance leaves, and close the links to all peers."""
        self.leave()
        await asyncio.sleep(_FAREWELL)
        for link in self._links.values():
            link.close()

    def send(self, address: str, message: PeerMessage) -> int:
        """Send a message to a peer address; return its bytes."""
        encoded = encode_message(message, self._key)
        if address not in self._links:
            self._links[address] = PeerLink(
                Address.from_text(address),
                Address.from_text(self._settings.peer_address),
            )
        self._links[address].send(encoded)
        self._counters.peer_messages.inc({'direction': 'sent'})
        self._counters.peer_bytes.add({'direction': 'sent'}, len(encoded))
        return len(encoded)

    async def receive(self, received: bytes) -> None:
        """Take a message from any peer."""
        self._counters.peer_bytes.add({'direction': 'received'}, len(received))
        decoded = decode_message(received, self._key)
        if isinstance(decoded, Failure):
            self._counters.peer_messages.inc({'direction': 'rejected'})
            return
        self._counters.peer_messages.inc({'direction': 'received'})
        match decoded.unwrap():
            case Gossip(members=members):
                self._merge(members)
            case ChangesWanted() as wanted:
                self._answer_wanted(wanted)
            case Changes() as changes:
                await self._follower.take_changes(changes)

    def leave(self) -> None:
        """Tell every peer that this instance has ended on purpose.

        Without it the others would wait in vain for a heartbeat, and the
        first reports of this instance's engines would be missing as long.
        """
        self._own = attrs.evolve(self._next_version(), left=True)
        self._send_records(list(self._list_addresses(self._clock())))

    def announce(self) -> None:
        """Send the current records to this period's peers."""
        now = self._clock()
        self._excuse_pause(now)
        if self._gossiper.needs_version(now):
            self._own = self._next_version()
        listed = self._list_addresses(now)
        self._send_records(self._gossiper.choose_targets(now, listed))

    @Service.task
    async def _announce_periodically(self) -> None:
        while not self.should_stop:
            self.announce()
            await self.sleep(PERIOD)

    @Service.task
    async def _follow_listing(self) -> None:
        while not self.should_stop:
            await self._read_listing()
            self._drop_vanished(self._clock())
            await self.sleep(_LISTING_PERIOD)

    async def _read_listing(self) -> None:
        listed = await self._platform.list_instances(_STORE_TIMEOUT)
        if isinstance(listed, Failure):
            return
        listing = listed.unwrap()
        self._zones = {
            instance.peer_address: instance.zone
            for instance in listing.instances
        }
        self._members.note_listing(
            frozenset(instance.name for instance in listing.instances),
            frozenset(listing.leaving_endpoints),
            self._clock(),
        )
        mark_leaving(self._table, self._members, self._clock())

    def _build_record(self) -> Member:
        return Member(
            name=self._identity.instance,
            zone=self._identity.zone,
            peer_address=self._settings.reachable_peer_address,
            incarnation=self._identity.incarnation,
            region=self._settings.region,
        )

    def _next_version(self) -> Member:
        now = self._clock()
        version = self._own.version + 1
        return attrs.evolve(
            self._own,
            version=version,
            revision=self._holder.current.revision,
            draining=self.draining,
            configuration_age=self._follower.finite_age,
            configuration_fault=self._follower.fault,
            pending_files=list(self._holder.current.pending),
            withheld=sorted(self._table.withheld_here),
            dispatched={
                name: endpoint.own_tokens
                for name, endpoint in self._table.all().items()
                if endpoint.own_tokens
            },
            reports=[
                attrs.evolve(
                    endpoint.report,
                    age=_round_age(now - endpoint.reported_at),
                )
                for endpoint in self._table.all().values()
                if endpoint.read_here
                and now - endpoint.reported_at <= _REPORT_KEPT
            ],
            demand=self.limits.describe_demand(),
            dispatched_by_class={
                name: endpoint.own_by_class.copy()
                for name, endpoint in self._table.all().items()
                if endpoint.own_tokens
            },
            leaving=list_own_words(self._members, now),
        )

    def _send_records(self, addresses: list[str]) -> None:
        now = self._clock()
        room = self._gossiper.refill(now) / max(1, len(addresses))
        for address in addresses:
            packed = self._gossiper.pack(address, self._own, now, room)
            self._gossiper.spend(self.send(address, Gossip(packed)))

    def _excuse_pause(self, now: float) -> None:
        if self._rounded_at is not None:
            pause = now - self._rounded_at - PERIOD
            if pause > _PAUSE_AFTER:
                self._members.excuse(pause)
                self.log.info('was paused for %.1f s', pause)
        self._rounded_at = now

    def _list_addresses(self, now: float) -> dict[str, str]:
        heard = {
            member.peer_address: member.zone
            for member in self._members.live(now)
        }
        # Seeds have no known zone.  They are tried also while others are heard:
        # instances that started from different seeds would else stay in
        # groups that never meet while the platform's list is not to be had.
        seeds = dict.fromkeys(self._settings.seeds, '')
        listed = {**seeds, **self._zones, **heard}
        listed.pop(self._settings.reachable_peer_address, None)
        return listed

    def _drop_vanished(self, now: float) -> None:
        """Close the links to addresses that nobody names any more.

        Instances are replaced hundreds of times a day, each time at another
        address; a link kept for each would dial a dead address for ever.
        """
        self._members.forget(now)
        self._answered.clear()
        kept = set(self._list_addresses(now))
        kept |= {member.peer_address for member in self._members.known()}
        self._gossiper.keep_peers(kept)
        for address in self._links.keys() - kept:
            self._links.pop(address).close()

    def _merge(self, members: list[Member]) -> None:
        now = self._clock()
        self._gossiper.note_received(members)
        for member in members:
            if member.name == self._identity.instance:
                self._answer_own(member, members[0])
                continue
            if self._members.merge(member, now):
                self._take_reports(member, now)
                self._follower.hear_member(member)
        self._sum_dispatched()
        mark_leaving(self._table, self._members, now)

    def _answer_own(self, heard: Member, sender: Member) -> None:
        """Answer a record of this instance that others take for the newest.

        An instance that restarted after its clock was set back has a lower
        incarnation than the life before, and its records would be refused as
        old ones.  It puts itself above by raising its epoch.  An older record
        is a suspicion, because no other message carries the receiver's own; a
        newer one sent at once refutes it.  Answers to one peer keep a
        distance, so that replayed suspicions do not make this instance send
        without end.
        """
        now = self._clock()
        if heard.order > self._own.order:
            self._own = attrs.evolve(self._own, epoch=heard.epoch + 1)
            self.log.info('a record newer than the own one, epoch raised')
        elif now - self._answered.get(sender.name, 0) < _ANSWER_GAP:
            return
        self._answered[sender.name] = now
        self._own = self._next_version()
        self._send_records([sender.peer_address])

    def _take_reports(self, member: Member, now: float) -> None:
        for report in member.reports:
            endpoint = self._table.get(report.endpoint)
            if endpoint is not None:
                endpoint.accept_report(report, now - report.age - member.held)

    def _sum_dispatched(self) -> None:
        live = self._members.live(self._clock())
        self._table.instances = len(live) + 1
        totals: collections.Counter[str] = collections.Counter()
        for member in live:
            totals.update(member.dispatched)
        # Only endpoints with work are visited: there are thousands without.
        for name in self._busy | totals.keys():
            endpoint = self._table.get(name)
            if endpoint is not None:
                endpoint.peer_tokens = totals[name]
                endpoint.peer_by_class = _sum_classes(name, live)
        self._busy = set(totals)

    def _answer_wanted(self, wanted: ChangesWanted) -> None:
        changes = list_changes(
            self._holder.current,
            self._settings,
            wanted.after,
        )
        if changes is not None:
            self.send(wanted.reply_to, changes)


def _sum_classes(endpoint: str, live: list[Member]) -> list[int]:
    """Sum what the members have in flight at an endpoint, by class."""
    by_class = [
        member.dispatched_by_class[endpoint]
        for member in live
        if endpoint in member.dispatched_by_class
    ]
    return [sum(counts[rank] for counts in by_class) for rank in LengthClass]


def _round_age(seconds: float) -> float:
    """Round an age to few binary digits, which compress well."""
    return round(seconds * _AGE_STEPS) / _AGE_STEPS
