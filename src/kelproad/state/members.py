"""What this instance knows of the other instances."""

import math
from collections.abc import Iterable

import attrs

from .limits import Demand

__all__ = ['EndpointReport', 'Member', 'MemberTable']

#: Seconds without news after which a member is suspected and asked directly.
SUSPECT_AFTER = 2.5
#: Seconds without news after which a member is no longer counted as live.
REMOVE_AFTER = 4.0
#: Seconds after which the record of a dead member is dropped.  Until then its
#: incarnation and version reject late and replayed records.
FORGET_AFTER = 600.0
#: Members of other zones of whom a zone passes on news in every period.
_FAR_NEWS = 8
#: Members of a zone beyond which its news take longer to come round.
_SMALL_ZONE = 8


@attrs.frozen
class EndpointReport:
    """What one watcher last read from an engine, with its own age.

    Attributes
    ----------
    incarnation
        Changes when the engine restarts.
    waiting_tokens
        Prompt tokens that the engine has yet to prefill.
    used_tokens
        Tokens of KV cache in use.
    age
        Seconds since the watcher read it, at the time of sending.
    """

    endpoint: str
    incarnation: str
    waiting_tokens: int = 0
    running: int = 0
    used_tokens: int = 0
    leaving: bool = False
    models: list[str] = attrs.field(factory=list)
    age: float = 0


@attrs.frozen
class Member:
    """One instance as it describes itself.

    Attributes
    ----------
    incarnation
        Nanoseconds of the wall clock at the instance's start; a restarted
        instance has a higher one unless the clock was set back.
    version
        Grows with every heartbeat of an incarnation.
    dispatched
        Prompt tokens that this instance has in flight, by endpoint.
    epoch
        Raised by the instance itself when it hears of a record of its own
        name that would be taken for a newer one.
    load_version
        Version whose load these are (``dispatched``, ``reports``,
        ``dispatched_by_class``, ``demand``); 0 when it was sent without,
        ``None`` when it is the record's own version.
    left
        The instance has ended on purpose.
    held
        Seconds that the load waited at the instances that passed it on.
    dispatched_by_class
        The same for each length class.
    demand
        What the busiest workspaces ask of this instance.
    leaving
        Endpoints that the platform has just told this instance to leave.
    configuration_age
        Seconds since its revision was last confirmed, at the time of sending;
        ``None`` while it never was.
    configuration_fault
        Why it could not read the store, empty when it could.
    pending_files
        Files whose accepted version it cannot read.
    withheld
        Endpoints that get no new requests while their models are exchanged.
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
    def life(self) -> tuple[int, int]:
        """Position of the instance's life among all lives under its name."""
        return (self.epoch, self.incarnation)

    @property
    def order(self) -> tuple[int, int, int]:
        """Position of this record among all records of the same instance."""
        return (self.epoch, self.incarnation, self.version)

    @property
    def load_order(self) -> tuple[int, int, int]:
        """Position of this record's load among those of the same instance."""
        version = self.version
        if self.load_version is not None:
            version = self.load_version
        return (self.epoch, self.incarnation, version)

    @property
    def has_load(self) -> bool:
        """Whether the record was sent with its load."""
        return self.load_version != 0

    def without_load(self) -> 'Member':
        """Return the heartbeat alone."""
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
    """Members by name, the newest record of each, with when it was heard.

    Parameters
    ----------
    zone
        Zone of this instance.  News of other zones come less often, so that
        their members may be silent for longer.
    """

    def __init__(self, zone: str = '') -> None:
        """Start with no members."""
        self._zone = zone
        self._members: dict[str, Member] = {}
        self._heard: dict[str, float] = {}
        self._load_heard: dict[str, float] = {}
        self._far = 0
        self._arrived: dict[str, float] = {}
        #: Instances on the platform's list, the endpoints that it takes away,
        #: and when it was read last.
        self.listed: frozenset[str] = frozenset()
        self.listed_leaving: frozenset[str] = frozenset()
        self.listed_at = float('-inf')

    def merge(self, member: Member, now: float) -> bool:
        """Take what is newer in a record than in the one held.

        Messages between instances may be doubled, late or out of order.  The
        heartbeat and the load of a record are ordered each by itself, so an
        older one never replaces a newer one, and any order of any records
        ends in the same.

        Returns
        -------
        bool
            Whether anything was newer.
        """
        held = self._members.get(member.name)
        if held is None:
            self._members[member.name] = member
            self._heard[member.name] = now
            self._arrived[member.name] = now
            self._load_heard[member.name] = now
            self._far += self._is_far(member)
            return True
        newer_load = member.has_load and (member.load_order > held.load_order)
        if newer_load:
            self._load_heard[member.name] = now
        if member.order > held.order:
            self._heard[member.name] = now
            self._arrived[member.name] = now
        elif not newer_load:
            return False
        self._members[member.name] = _join(held, member, newer_load)
        return True

    @property
    def far_interval(self) -> int:
        """Heartbeats of which only one is passed on from zone to zone."""
        return max(1, math.ceil(self._far / _FAR_NEWS))

    def note_listing(
        self,
        names: frozenset[str],
        leaving: frozenset[str],
        now: float,
    ) -> None:
        """Remember whom the platform lists, and which endpoints leave."""
        self.listed = names
        self.listed_leaving = leaving
        self.listed_at = now

    def live(self, now: float) -> list[Member]:
        """List the members heard of recently, suspected ones included."""
        return self._list_heard(now, 0, REMOVE_AFTER)

    def suspected(self, now: float) -> list[Member]:
        """List the live members that have been silent for too long."""
        return self._list_heard(now, SUSPECT_AFTER, REMOVE_AFTER)

    def departed(self, now: float) -> list[Member]:
        """List the members that said lately that they were leaving."""
        return [
            member
            for name, member in self._members.items()
            if member.left and now - self._heard[name] <= REMOVE_AFTER
        ]

    def known(self) -> Iterable[Member]:
        """List every member not yet forgotten, newest record each."""
        return self._members.values()

    def get(self, name: str) -> Member | None:
        """Find the newest record of a member."""
        return self._members.get(name)

    def heard_at(self, name: str) -> float:
        """Tell when a member's newest record arrived."""
        return self._heard[name]

    def age_record(self, member: Member, now: float) -> Member:
        """Add to a record's ages the seconds that it waited here."""
        if member.configuration_age is None:
            return member
        waited = now - self._arrived[member.name]
        return attrs.evolve(
            member,
            configuration_age=round(member.configuration_age + waited, 1),
        )

    def load_heard_at(self, name: str) -> float:
        """Tell when a member's newest load arrived."""
        return self._load_heard[name]

    def forget(self, now: float) -> None:
        """Drop the records of members that have been gone for long."""
        gone = [
            name
            for name, heard in self._heard.items()
            if now - heard > FORGET_AFTER
        ]
        for name in gone:
            self._far -= self._is_far(self._members.pop(name))
            self._heard.pop(name)
            self._arrived.pop(name)
            self._load_heard.pop(name)

    def excuse(self, seconds: float) -> None:
        """Leave a pause of this process out of the members' silence.

        A process that was frozen hears nobody meanwhile.  On waking it would
        take all others for dead and itself for the only watcher of every
        engine; the silence was its own.
        """
        for name in self._heard:
            self._heard[name] += seconds

    def _is_far(self, member: Member) -> bool:
        return bool(self._zone) and member.zone != self._zone

    def _list_heard(
        self,
        now: float,
        after: float,
        until: float,
    ) -> list[Member]:
        near = len(self._members) - self._far
        # In a zone of 16 one and a half times as long, of 32 twice as long.
        doublings = math.log2(max(1, near / _SMALL_ZONE))
        near_stretch = 1 + doublings / 2
        stretch = max(near_stretch, self.far_interval)
        listed = []
        for name, member in self._members.items():
            factor = stretch if self._is_far(member) else near_stretch
            silence = (now - self._heard[name]) / factor
            if after <= silence <= until and not member.left:
                listed.append(member)
        return listed


def _join(held: Member, member: Member, newer_load: bool) -> Member:
    """Build the record with the newer heartbeat and the newer load."""
    newest = max(held, member, key=lambda record: record.order)
    source = member if newer_load else held
    if source.life != newest.life:
        # A new life has nothing of the old one's work in flight.
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
