"""Membership: the live instances, their load and their configuration.

In every round an instance sends its own record, and received records that the
peer lacks, to a few peers; ``gossippeers.py`` selects the peers, ``gossip.py``
the records.  The platform's list of instances lags and only provides addresses
to try.
"""

import asyncio
import random
from collections.abc import Callable

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
from ..state.endpointtable import EndpointTable
from ..state.identity import Identity
from ..state.members import Member, MemberTable
from ..transport.addresses import Address
from ..transport.deadlines import monotonic
from ..transport.peers import PeerLink, PeerListener
from ..transport.services import BackgroundService, restarted_task
from .configuration import ConfigurationFollower, list_changes
from .gossip import PERIOD, Gossiper
from .gossippeers import Location
from .leaving import mark_leaving
from .limits import WorkspaceLimits
from .localrecord import LocalRecord
from .peerwork import PeerWork

__all__ = ['Membership']

#: Seconds between two reads of the platform's list of instances.
_LISTING_PERIOD = 1.0
#: Seconds that one read of the list may take.
_LISTING_TIMEOUT = 2.0
#: Seconds by which a round may be delayed; beyond that this process must have
#: been paused.
_PAUSE_THRESHOLD = 1.5
#: Seconds that a stopping instance waits for its departure message to be sent.
_DEPARTURE_WAIT = 0.1
#: Minimum seconds between two replies to the suspicions of one peer.
_REPLY_INTERVAL = 0.2


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
        """Add the peer listener; links to peers are opened on first use."""
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
            Location(
                identity.instance,
                identity.zone,
                settings.region,
                settings.reachable_peer_address,
            ),
            members,
            generator,
        )
        self._last_round_at: float | None = None
        self._peer_work = PeerWork(table)
        self._replied_at: dict[str, float] = {}
        self._listed_zones: dict[str, str] = {}
        self._links: dict[str, PeerLink] = {}
        self.draining = False
        self.limits = WorkspaceLimits(members, table, counters)
        self._local_record = LocalRecord(
            settings, identity, members, table, holder, follower, self.limits
        )
        follower.ask_peer = self.send
        self._listener = self.add_dependency(
            PeerListener(
                Address.from_text(settings.peer_address),
                self.receive,
            ),
        )

    async def on_stop(self) -> None:
        """Announce the departure, then close the links to all peers."""
        self.leave()
        await asyncio.sleep(_DEPARTURE_WAIT)
        for link in self._links.values():
            link.close()

    def send(self, address: str, message: PeerMessage) -> int:
        """Send a message to a peer address and return its size in bytes."""
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
        """Dispatch a message from any peer; drop it if it doesn't decode."""
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
                self._send_changes(wanted)
            case Changes() as changes:
                await self._follower.accept_changes(changes)

    def leave(self) -> None:
        """Send a departure message to every peer.

        Without it peers would count this instance as live until its heartbeat
        times out, and the engines it watched would go unreported for as long.
        """
        self._local_record.advance(self._clock(), self.draining, left=True)
        self._send_records(list(self._list_addresses(self._clock())))

    def announce(self) -> None:
        """Send the current records to the peers of this round."""
        now = self._clock()
        self._account_for_pause(now)
        if self._gossiper.peers.needs_version(now):
            self._local_record.advance(now, self.draining)
        listed = self._list_addresses(now)
        self._send_records(self._gossiper.peers.choose(now, listed))

    @restarted_task
    async def _announce_periodically(self) -> None:
        while not self.should_stop:
            self.announce()
            await self.sleep(PERIOD)

    @restarted_task
    async def _follow_listing(self) -> None:
        while not self.should_stop:
            await self._read_listing()
            self._drop_unused_links(self._clock())
            await self.sleep(_LISTING_PERIOD)

    async def _read_listing(self) -> None:
        listed = await self._platform.list_instances(_LISTING_TIMEOUT)
        if isinstance(listed, Failure):
            return
        listing = listed.unwrap()
        self._listed_zones = {
            instance.peer_address: instance.zone
            for instance in listing.instances
        }
        self._members.record_listing(
            frozenset(instance.name for instance in listing.instances),
            frozenset(listing.leaving_endpoints),
            self._clock(),
        )
        mark_leaving(self._table, self._members, self._clock())

    def _send_records(self, addresses: list[str]) -> None:
        now = self._clock()
        budget = self._gossiper.refill(now) / max(1, len(addresses))
        for address in addresses:
            packed = self._gossiper.pack(
                address,
                self._local_record.current,
                now,
                budget,
            )
            self._gossiper.spend(self.send(address, Gossip(packed)))

    def _account_for_pause(self, now: float) -> None:
        if self._last_round_at is not None:
            pause = now - self._last_round_at - PERIOD
            if pause > _PAUSE_THRESHOLD:
                self._members.discount_local_pause(pause)
                self.log.info('process was paused for %.1f s', pause)
        self._last_round_at = now

    def _list_addresses(self, now: float) -> dict[str, str]:
        live = {
            member.peer_address: member.zone
            for member in self._members.live(now)
        }
        # Seeds have no known zone.  They are tried even while peers are live:
        # otherwise instances that started from different seeds would stay in
        # separate groups while the platform's list is unavailable.
        seeds = dict.fromkeys(self._settings.seeds, '')
        listed = {**seeds, **self._listed_zones, **live}
        listed.pop(self._settings.reachable_peer_address, None)
        return listed

    def _drop_unused_links(self, now: float) -> None:
        """Close the links to addresses that are no longer in use.

        Instances are replaced hundreds of times a day, each time at another
        address; a link kept for each would redial a dead address forever.
        """
        self._members.forget(now)
        self._replied_at.clear()
        kept = set(self._list_addresses(now))
        kept |= {member.peer_address for member in self._members.known()}
        self._gossiper.retain_peers(kept)
        for address in self._links.keys() - kept:
            self._links.pop(address).close()

    def _merge(self, members: list[Member]) -> None:
        now = self._clock()
        self._gossiper.record_received(members)
        for member in members:
            if member.name == self._identity.instance:
                self._reply_about_self(member, members[0])
                continue
            if self._members.merge(member, now):
                self._accept_reports(member, now)
                self._follower.observe_member(member)
        self._peer_work.sum(self._members.live(self._clock()))
        mark_leaving(self._table, self._members, now)

    def _reply_about_self(self, received: Member, sender: Member) -> None:
        """Reply to a peer whose record of this instance is not the current one.

        An instance that restarted after its clock was set back has a lower
        incarnation than before, so peers would reject its records as old.  It
        raises its epoch to get ahead.  An older record is a suspicion, because
        no other message carries the receiver's own record; sending a newer one
        at once refutes it.  Replies to one peer are rate-limited, so that
        replayed suspicions cannot make this instance send endlessly.
        """
        now = self._clock()
        if received.order > self._local_record.current.order:
            self._local_record.raise_epoch(received)
            self.log.info(
                'received a record of this instance newer than its own; '
                'epoch raised',
            )
        elif now - self._replied_at.get(sender.name, 0) < _REPLY_INTERVAL:
            return
        self._replied_at[sender.name] = now
        self._local_record.advance(now, self.draining)
        self._send_records([sender.peer_address])

    def _accept_reports(self, member: Member, now: float) -> None:
        for report in member.reports:
            endpoint = self._table.get(report.endpoint)
            if endpoint is not None:
                endpoint.accept_report(report, now - report.age - member.held)

    def _send_changes(self, wanted: ChangesWanted) -> None:
        changes = list_changes(
            self._holder.current,
            self._settings,
            wanted.after,
        )
        if changes is not None:
            self.send(wanted.reply_to, changes)
