"""Lag: the revision of every instance and zone, and why some are behind."""

import attrs

from ..state.configuration import Snapshot
from ..state.members import Member, MemberTable

__all__ = ['InstanceLag', 'ZoneLag', 'describe_lag', 'summarize_zones']

#: Seconds without confirmation after which a revision may be outdated.
STALE_AFTER = 15.0


@attrs.frozen
class InstanceLag:
    """The revision in force at one instance, as far as known here.

    Attributes
    ----------
    behind
        Revisions below the highest one known here.
    age
        Seconds since the instance's revision was confirmed by the platform,
        directly or through peers; ``None`` when it never was.
    heard_ago
        Seconds since its newest record arrived here.
    reason
        Why it is behind or unconfirmed; empty when it is neither.
    """

    name: str
    zone: str
    revision: int
    behind: int
    age: float | None
    heard_ago: float
    draining: bool
    reason: str


@attrs.frozen
class ZoneLag:
    """The range of revisions in force at the instances of a zone."""

    zone: str
    instances: int
    lowest_revision: int
    highest_revision: int
    lagging: list[str]


def describe_lag(
    own: Member,
    members: MemberTable,
    snapshot: Snapshot,
    now: float,
) -> list[InstanceLag]:
    """Describe every known instance that has not departed, this one first."""
    others = [
        member
        for member in members.known()
        if member.name != own.name and not member.left
    ]
    known = [own, *others]
    live = {member.name for member in members.live(now)} | {own.name}
    highest = max(snapshot.revision, *(member.revision for member in known))
    described = []
    for member in known:
        is_local = member is own
        heard_ago = 0 if is_local else now - members.received_at(member.name)
        behind = highest - member.revision
        age = member.configuration_age
        age = None if age is None else age + heard_ago
        described.append(
            InstanceLag(
                name=member.name,
                zone=member.zone,
                revision=member.revision,
                behind=behind,
                age=age,
                heard_ago=heard_ago,
                draining=member.draining,
                reason=_explain(
                    member,
                    behind,
                    age,
                    '' if member.name in live else f'{heard_ago:.0f} s',
                ),
            ),
        )
    return described


def summarize_zones(instances: list[InstanceLag]) -> list[ZoneLag]:
    """Summarize instances by zone, in the order of zone names."""
    by_zone: dict[str, list[InstanceLag]] = {}
    for instance in instances:
        by_zone.setdefault(instance.zone, []).append(instance)
    return [
        ZoneLag(
            zone,
            len(in_zone),
            min(instance.revision for instance in in_zone),
            max(instance.revision for instance in in_zone),
            [instance.name for instance in in_zone if instance.reason],
        )
        for zone, in_zone in sorted(by_zone.items())
    ]


def _explain(
    member: Member,
    behind: int,
    age: float | None,
    silent_for: str,
) -> str:
    if silent_for:
        return (
            f'nothing heard for {silent_for}: it has ended, or cannot be '
            'reached from here'
        )
    if member.pending_files:
        return f'cannot read: {", ".join(member.pending_files)}'
    is_stale = age is None or age > STALE_AFTER
    if not behind and not is_stale:
        return ''
    if member.configuration_fault:
        return member.configuration_fault
    if behind:
        return 'the changes have not arrived yet'
    return 'no reader of its zone has recently confirmed the revision'
