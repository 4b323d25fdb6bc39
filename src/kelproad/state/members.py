"""What this instance knows of the other instances."""

from collections.abc import Iterable

import attrs

from .limits import Demand

__all__ = ['EndpointReport', 'Member', 'MemberTable']

#: Seconds without news after which a member is no longer counted as live.
SUSPECT_AFTER = 4.0


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
        instance has a higher one.
    version
        Grows with every heartbeat of an incarnation.
    dispatched
        Prompt tokens that this instance has in flight, by endpoint.
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
    leaving: list[str] = attrs.field(factory=list)
    configuration_age: float | None = None
    configuration_fault: str = ''
    pending_files: list[str] = attrs.field(factory=list)
    withheld: list[str] = attrs.field(factory=list)
    dispatched_by_class: dict[str, list[int]] = attrs.field(factory=dict)
    demand: dict[str, Demand] = attrs.field(factory=dict)

    @property
    def order(self) -> tuple[int, int]:
        """Position of this record among all records of the same instance."""
        return (self.incarnation, self.version)


class MemberTable:
    """Members by name, the newest record of each, with when it was heard."""

    def __init__(self) -> None:
        """Start with no members."""
        self._members: dict[str, Member] = {}
        self._heard: dict[str, float] = {}
        #: Instances on the platform's list, the endpoints that it takes away,
        #: and when it was read last.
        self.listed: frozenset[str] = frozenset()
        self.listed_leaving: frozenset[str] = frozenset()
        self.listed_at = float('-inf')

    def merge(self, member: Member, now: float) -> bool:
        """Take a record if it is newer than the one held.

        Messages between instances may be doubled, late or out of order; the
        pair (incarnation, version) orders them, so an older record never
        replaces a newer one.
        """
        held = self._members.get(member.name)
        if held is not None and held.order >= member.order:
            return False
        self._members[member.name] = member
        self._heard[member.name] = now
        return True

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
        """List the members heard of recently."""
        return [
            member
            for name, member in self._members.items()
            if now - self._heard[name] <= SUSPECT_AFTER
        ]

    def known(self) -> Iterable[Member]:
        """List every member ever heard of, newest record each."""
        return self._members.values()

    def heard_at(self, name: str) -> float:
        """Tell when a member's newest record arrived."""
        return self._heard[name]
