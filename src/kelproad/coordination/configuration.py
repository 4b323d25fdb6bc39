"""Configuration: putting accepted revisions in force.

Two instances of each availability zone read the platform's history; the
others learn of a revision by gossip and request the changes from a peer.  An
instance whose revision no peer confirms queries the platform at a low rate.
"""

import asyncio
import contextlib
import math
import random
from collections.abc import Callable

import attrs
from returns.result import Result, Success

from ..protocol.messages import (
    Changes,
    ChangesWanted,
    FileChange,
    PeerMessage,
)
from ..protocol.platform import PlatformClient
from ..protocol.settings import Settings
from ..protocol.store import StoreError
from ..state.configuration import (
    AppliedFile,
    PendingFile,
    Snapshot,
    SnapshotHolder,
    extend_snapshot,
)
from ..state.counters import Counters
from ..state.endpointtable import EndpointTable
from ..state.members import Member, MemberTable
from ..state.placement import choose_owners
from ..transport.deadlines import monotonic
from ..transport.services import BackgroundService, restarted_task
from .loading import build_file, read_all, read_changes

__all__ = ['ConfigurationFollower', 'is_reader', 'list_changes']

#: Instances of a zone that read the platform's history.
READERS = 2
#: Seconds between two checks whether a read of the platform is due.
_POLL_PERIOD = 1.0
#: Seconds without confirmation after which any instance queries the platform.
_UNCONFIRMED_AFTER = 5.0
#: Seconds between two such queries, with a random addition of up to as much,
#: so that a platform that recovers is not queried by all instances at once.
_FALLBACK_PERIOD = 5.0
#: Minimum seconds between two requests for changes to peers.
_REQUEST_PERIOD = 0.3
#: Seconds without progress after which a transfer is restarted.
_TRANSFER_TIMEOUT = 2.0
#: Characters of text after which a message of changes is full.
_MAX_MESSAGE_TEXT = 262_144


@attrs.define
class _Transfer:
    """Changes that arrive in several messages.

    Messages are in order of revision, and every sender must know at least the
    revision of the previous message.  A file that changes during the transfer
    is then sent again at its newer revision, so the union of all messages is
    complete.
    """

    base: Snapshot
    after: int
    revision: int
    progressed_at: float
    offered: list[AppliedFile | PendingFile] = attrs.field(factory=list)


class ConfigurationFollower(BackgroundService):
    """Puts accepted revisions in force, from the store or from peers."""

    abstract = False

    def __init__(
        self,
        settings: Settings,
        holder: SnapshotHolder,
        table: EndpointTable,
        members: MemberTable,
        platform: PlatformClient,
        counters: Counters,
    ) -> None:
        """Adopt snapshots into a holder and update the endpoint table."""
        super().__init__()
        self._settings = settings
        self._holder = holder
        self._table = table
        self._members = members
        self._platform = platform
        self._counters = counters
        self._transfer: _Transfer | None = None
        self._requested_at = float('-inf')
        self._next_fallback = float('-inf')
        #: Monotonic time of the last confirmation by the store or a peer.
        self.confirmed_at = float('-inf')
        #: Monotonic time at which the last successful read of the store began.
        self.read_at = float('-inf')
        #: Why the last read of the store failed, empty when it succeeded.
        self.fault = ''
        self._first_read_ended = asyncio.Event()
        #: Sends a message to a peer; set by membership, which owns the links.
        self.ask_peer: Callable[[str, PeerMessage], None] | None = None

    @property
    def age(self) -> float:
        """Seconds since the store or a peer confirmed the revision in force."""
        return monotonic() - self.confirmed_at

    @property
    def finite_age(self) -> float | None:
        """The age, ``None`` while nothing has been confirmed."""
        return self.age if math.isfinite(self.age) else None

    async def catch_up(self) -> Result[None, StoreError]:
        """Adopt all changes that were accepted since the revision in force."""
        started_at = monotonic()
        current = self._holder.current
        if current.revision == 0:
            loaded = await read_all(self._platform)
        else:
            loaded = await read_changes(self._platform, current)
        if isinstance(loaded, Success):
            self._record_fault('')
            self._adopt(loaded.unwrap(), 'store')
            self.confirmed_at = max(self.confirmed_at, started_at)
            self.read_at = max(self.read_at, started_at)
        else:
            error = loaded.failure()
            self._record_fault(
                f'{error.operation} at {error.peer}: {error.message}',
            )
        self._first_read_ended.set()
        return loaded.map(lambda _snapshot: None)

    async def wait_for_first_read(self, timeout: float) -> None:
        """Wait until a read of the store has ended, well or not.

        ``timeout`` is the maximum in seconds.
        """
        with contextlib.suppress(asyncio.TimeoutError):
            async with asyncio.timeout(timeout):
                await self._first_read_ended.wait()

    def observe_member(self, member: Member) -> None:
        """Compare the local revision with the one in a member's record.

        Changes up to a higher revision are requested; the same revision
        confirms the local one as of the member's own last confirmation.
        """
        current = self._holder.current.revision
        now = monotonic()
        if member.revision == current and member.configuration_age is not None:
            confirmed = now - member.configuration_age
            self.confirmed_at = max(self.confirmed_at, confirmed)
        has_requested = now - self._requested_at < _REQUEST_PERIOD
        if member.revision > current and not has_requested:
            self._requested_at = now
            self._request_changes(member.peer_address, self._choose_after(now))

    async def accept_changes(self, changes: Changes) -> None:
        """Adopt changes that a peer sent.

        A late answer may start from a revision that this instance has passed
        or has not reached; it is used only when it continues the revision in
        force or the transfer in progress.
        """
        transfer = self._continue_transfer(changes)
        if transfer is None:
            self._counters.adoptions.inc({'source': 'peer', 'outcome': 'late'})
            return
        transfer.after = max(
            [transfer.after, *(change.revision for change in changes.files)],
        )
        for change in changes.files:
            built = await build_file(
                change.name,
                change.generation,
                change.revision,
                change.digest,
                change.text,
            )
            transfer.offered.append(built)
        transfer.progressed_at = monotonic()
        if changes.complete:
            self._transfer = None
            offered, base = transfer.offered, transfer.base
            self._adopt(
                extend_snapshot(base, offered, changes.revision), 'peer'
            )
        else:
            self._transfer = transfer
            self._request_changes(changes.reply_to, transfer.after)

    def explain_missing(self) -> str:
        """Explain why no configuration is in force here yet."""
        live = self._members.live(monotonic())
        configured = [member.name for member in live if member.revision]
        store_state = self._explain_store()
        names = ', '.join(configured) or 'none has one'
        return (
            f'no configuration yet; the platform: {store_state}; '
            f'peers heard: {len(live)}, with a configuration: {names}'
        )

    def _explain_store(self) -> str:
        if self.fault:
            return self.fault
        if not self._first_read_ended.is_set():
            return 'it has not answered yet'
        return 'nothing was accepted there yet'

    @restarted_task
    async def _poll_store(self) -> None:
        while not self.should_stop:
            if self._is_due(monotonic()):
                await self.catch_up()
            await self.sleep(_POLL_PERIOD)

    def _is_due(self, now: float) -> bool:
        if self._holder.current.revision == 0:
            return True
        if is_reader(self._settings, self._members, now):
            return True
        if self.age < _UNCONFIRMED_AFTER or now < self._next_fallback:
            return False
        spread = random.uniform(1, 2)  # noqa: S311  no secret
        self._next_fallback = now + _FALLBACK_PERIOD * spread
        return True

    def _record_fault(self, fault: str) -> None:
        if fault and not self.fault:
            self.log.warning('the store cannot be read: %s', fault)
        if self.fault and not fault:
            self.log.info('the store can be read again')
        self.fault = fault

    def _choose_after(self, now: float) -> int:
        """Choose the revision after which to request changes from a peer."""
        transfer = self._transfer
        if transfer and now - transfer.progressed_at > _TRANSFER_TIMEOUT:
            self._transfer = None
        if self._transfer is None:
            return self._holder.current.revision
        return self._transfer.after

    def _request_changes(self, peer_address: str, after: int) -> None:
        if self.ask_peer is None:
            return
        wanted = ChangesWanted(
            sender=self._settings.instance,
            reply_to=self._settings.reachable_peer_address,
            after=after,
        )
        self.ask_peer(peer_address, wanted)

    def _continue_transfer(self, changes: Changes) -> _Transfer | None:
        """Find or begin the transfer of a message; ``None`` if it is late."""
        current = self._holder.current
        if changes.revision <= current.revision:
            return None
        transfer = self._transfer
        if transfer is not None and changes.after == transfer.after:
            if changes.revision < transfer.revision:
                return None
            transfer.revision = changes.revision
            return transfer
        if changes.after > current.revision:
            return None
        return _Transfer(
            current,
            changes.after,
            changes.revision,
            monotonic(),
        )

    def _adopt(self, snapshot: Snapshot, source: str) -> None:
        previous = self._holder.current
        if not self._holder.adopt(snapshot):
            return
        self._table.replace_groups(snapshot.groups.values())
        self._counters.adoptions.inc({'source': source, 'outcome': 'adopted'})
        self.log.info(
            'configuration revision %d in force, was %d, from %s',
            snapshot.revision,
            previous.revision,
            source,
        )
        for name, item in snapshot.pending.items():
            if previous.pending.get(name) != item:
                self._counters.adoptions.inc(
                    {'source': source, 'outcome': 'pending'},
                )
                self.log.error(
                    'file %s generation %d is not in force: %s',
                    name,
                    item.generation,
                    item.reason,
                )


def is_reader(settings: Settings, members: MemberTable, now: float) -> bool:
    """Return whether this instance reads the store for its zone."""
    names = {settings.instance} | {
        member.name
        for member in members.live(now)
        if member.zone == settings.zone and not member.draining
    }
    return settings.instance in choose_owners('configuration', names, READERS)


def list_changes(
    snapshot: Snapshot,
    settings: Settings,
    after: int,
    limit: int = _MAX_MESSAGE_TEXT,
) -> Changes | None:
    """List the changes after a revision, as many as fit in a message.

    Returns
    -------
    Changes or None
        ``None`` when there are none.
    """
    if snapshot.revision <= after:
        return None
    changed = [
        FileChange(
            item.name,
            item.generation,
            item.revision,
            item.digest,
            item.text if isinstance(item, AppliedFile) else '',
        )
        for item in (*snapshot.files.values(), *snapshot.pending.values())
        if item.revision > after
    ]
    changed.sort(key=lambda change: change.revision)
    size = 0
    taken: list[FileChange] = []
    for change in changed:
        size += len(change.text)
        if taken and size > limit:
            break
        taken.append(change)
    return Changes(
        sender=settings.instance,
        after=after,
        revision=snapshot.revision,
        files=taken,
        complete=len(taken) == len(changed),
        reply_to=settings.reachable_peer_address,
    )
