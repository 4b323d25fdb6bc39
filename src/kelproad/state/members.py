"""Records of the other instances, as received by this one."""

import math
from collections.abc import Iterable

import attrs

from .endpoints import EndpointReport
from .limits import Demand

__all__ = ['Member', 'MemberTable']

#: Seconds without a new record after which a member is suspected and queried
#: directly.
SUSPECT_AFTER = 2.5
#: Seconds without a new record after which a member does not count as live.
REMOVE_AFTER = 4.0
#: Seconds without a new record after which a member's record is removed.  Until
#: then its incarnation and version reject late and replayed records.
FORGET_AFTER = 600.0
#: Members of other zones whose records a zone forwards in every period.
_REMOTE_PER_PERIOD = 8
#: Members of a zone above which its records take longer to reach all of them.
_SMALL_ZONE = 8


@attrs.frozen
class Member:
    """The record of an instance about itself.

    Attributes
    ----------
    incarnation
        Wall-clock time of the instance's start in nanoseconds; a restart
        raises it unless the clock was set back.
    version
        Raised with every heartbeat of an incarnation.
    dispatched
        Prompt tokens that this instance has in flight, by endpoint.
    epoch
        Raised by the instance itself when it receives a record of its own name
        that would count as newer than its present one.
    load_version
        Version to which the load belongs (``dispatched``, ``reports``,
        ``dispatched_by_class``, ``demand``); 0 when the record was sent
        without it, ``None`` when it is the record's own version.
    left
        Whether the instance has stopped on purpose.
    held
        Seconds that the load waited at the instances that forwarded it.
    dispatched_by_class
        ``dispatched`` by length class.
    demand
        Demand of the busiest workspaces at this instance.
    leaving
        Endpoints that the platform recently asked this instance to leave.
    configuration_age
        Seconds since its revision was last confirmed, at the time of sending;
        ``None`` before the first confirmation.
    configuration_fault
        Why it could not read the store, empty when it could.
    pending_files
        Files whose accepted version it cannot read.
    withheld
        Endpoints that get no new requests while their models are replaced.
    """

    name: str
    zone: str
    peer_address: str
    incarnation: int
    version: int = 0
    revision: int = 0
    draining: bool = False
    dispatched: dict[str, int] = attrs.field(factory=dict)
    reports: list[EndpointReport] = attrs.field(factory=list)
    epoch: int = 0
    load_version: int | None = None
    left: bool = False
    held: float = 0
    region: str = ''
    leaving: list[str] = attrs.field(factory=list)
    configuration_age: float | None = None
    configuration_fault: str = ''
    pending_files: list[str] = attrs.field(factory=list)
    withheld: list[str] = attrs.field(factory=list)
    dispatched_by_class: dict[str, list[int]] = attrs.field(factory=dict)
    demand: dict[str, Demand] = attrs.field(factory=dict)

    @property
    def incarnation_key(self) -> tuple[int, int]:
        """Sort key of the incarnation among all under the same name."""
        return (self.epoch, self.incarnation)

    @property
    def order(self) -> tuple[int, int, int]:
        """Sort key of this record among all of the same instance."""
        return (self.epoch, self.incarnation, self.version)

    @property
    def load_order(self) -> tuple[int, int, int]:
        """Sort key of this record's load among those of the same instance."""
        version = self.version
        if self.load_version is not None:
            version = self.load_version
        return (self.epoch, self.incarnation, version)

    @property
    def has_load(self) -> bool:
        """Whether the record was sent with its load."""
        return self.load_version != 0

    def without_load(self) -> 'Member':
        """Return the heartbeat without the load."""
        return attrs.evolve(
            self,
            dispatched={},
            reports=[],
            dispatched_by_class={},
            demand={},
            load_version=0,
            held=0,
        )


class MemberTable:
    """Newest record of each member by name, and the time of receipt.

    Parameters
    ----------
    zone
        Zone of this instance.  Records of other zones come less often, so that
        longer silence of their members is tolerated.
    """

    def __init__(self, zone: str = '') -> None:
        """Start with no members."""
        self._zone = zone
        self._members: dict[str, Member] = {}
        #: Receipt of the newest record, moved on by pauses of this process.
        self._received_at: dict[str, float] = {}
        self._load_received_at: dict[str, float] = {}
        self._remote_count = 0
        self._heartbeat_at: dict[str, float] = {}
        #: Instances on the platform's list, endpoints that it removes, and the
        #: monotonic time at which it was last read.
        self.listed: frozenset[str] = frozenset()
        self.listed_leaving: frozenset[str] = frozenset()
        self.listed_at = float('-inf')

    def merge(self, member: Member, now: float) -> bool:
        """Merge the newer parts of a record into the present one.

        Messages between instances may be duplicated, late or out of order.
        The heartbeat and the load of a record are ordered separately, so an
        older one never replaces a newer one, and the result does not depend on
        the order of receipt.

        Returns
        -------
        bool
            Whether any part was newer.
        """
        held = self._members.get(member.name)
        if held is None:
            self._members[member.name] = member
            self._received_at[member.name] = now
            self._heartbeat_at[member.name] = now
            self._load_received_at[member.name] = now
            self._remote_count += self._is_remote(member)
            return True
        newer_load = member.has_load and (member.load_order > held.load_order)
        if newer_load:
            self._load_received_at[member.name] = now
        if member.order > held.order:
            self._received_at[member.name] = now
            self._heartbeat_at[member.name] = now
        elif not newer_load:
            return False
        self._members[member.name] = _combine(held, member, newer_load)
        return True

    @property
    def cross_zone_interval(self) -> int:
        """Heartbeats of which only one is forwarded from zone to zone."""
        return max(1, math.ceil(self._remote_count / _REMOTE_PER_PERIOD))

    def record_listing(
        self,
        names: frozenset[str],
        leaving: frozenset[str],
        now: float,
    ) -> None:
        """Record the platform's list of instances and leaving endpoints."""
        self.listed = names
        self.listed_leaving = leaving
        self.listed_at = now

    def live(self, now: float) -> list[Member]:
        """List the live members, suspected ones included."""
        return self._list_by_silence(now, 0, REMOVE_AFTER)

    def suspected(self, now: float) -> list[Member]:
        """List the live members that are to be queried directly."""
        return self._list_by_silence(now, SUSPECT_AFTER, REMOVE_AFTER)

    def departed(self, now: float) -> list[Member]:
        """List the members whose departure message is recent."""
        return [
            member
            for name, member in self._members.items()
            if member.left and now - self._received_at[name] <= REMOVE_AFTER
        ]

    def known(self) -> Iterable[Member]:
        """Return the newest record of every member not yet removed."""
        return self._members.values()

    def get(self, name: str) -> Member | None:
        """Find the newest record of a member, ``None`` without one."""
        return self._members.get(name)

    def received_at(self, name: str) -> float:
        """Return the time of receipt of a member's newest record."""
        return self._received_at[name]

    def age_record(self, member: Member, now: float) -> Member:
        """Add the seconds since receipt to the configuration age."""
        if member.configuration_age is None:
            return member
        waited = now - self._heartbeat_at[member.name]
        return attrs.evolve(
            member,
            configuration_age=round(member.configuration_age + waited, 1),
        )

    def load_received_at(self, name: str) -> float:
        """Return the time of receipt of a member's newest load."""
        return self._load_received_at[name]

    def forget(self, now: float) -> None:
        """Remove the records of members silent for ``FORGET_AFTER``."""
        expired = [
            name
            for name, received_at in self._received_at.items()
            if now - received_at > FORGET_AFTER
        ]
        for name in expired:
            self._remote_count -= self._is_remote(self._members.pop(name))
            self._received_at.pop(name)
            self._heartbeat_at.pop(name)
            self._load_received_at.pop(name)

    def discount_local_pause(self, seconds: float) -> None:
        """Subtract a pause of this process from the members' silence.

        A process that was suspended receives nothing meanwhile.  When resumed
        it would count all others as dead and itself as the only watcher of
        every engine.
        """
        for name in self._received_at:
            self._received_at[name] += seconds

    def _is_remote(self, member: Member) -> bool:
        return bool(self._zone) and member.zone != self._zone

    def _list_by_silence(
        self,
        now: float,
        after: float,
        until: float,
    ) -> list[Member]:
        local_count = len(self._members) - self._remote_count
        # 1.5 times as long in a zone of 16 members, twice in one of 32.
        doublings = math.log2(max(1, local_count / _SMALL_ZONE))
        local_factor = 1 + doublings / 2
        remote_factor = max(local_factor, self.cross_zone_interval)
        listed = []
        for name, member in self._members.items():
            factor = remote_factor if self._is_remote(member) else local_factor
            silence = (now - self._received_at[name]) / factor
            if after <= silence <= until and not member.left:
                listed.append(member)
        return listed


def _combine(held: Member, member: Member, newer_load: bool) -> Member:
    """Return a record with the newer heartbeat and the newer load."""
    newest = max(held, member, key=lambda record: record.order)
    source = member if newer_load else held
    if source.incarnation_key != newest.incarnation_key:
        # A new incarnation has none of the old one's work in flight.
        return newest.without_load()
    return attrs.evolve(
        newest,
        dispatched=source.dispatched,
        reports=source.reports,
        dispatched_by_class=source.dispatched_by_class,
        demand=source.demand,
        load_version=source.load_order[-1],
        held=source.held,
    )
