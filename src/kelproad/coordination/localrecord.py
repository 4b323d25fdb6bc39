"""The record of itself that an instance sends to its peers."""

import attrs

from ..protocol.settings import Settings
from ..state.configuration import SnapshotHolder
from ..state.endpointtable import EndpointTable
from ..state.identity import Identity
from ..state.members import Member, MemberTable
from .configuration import ConfigurationFollower
from .leaving import list_advertised_leaving
from .limits import WorkspaceLimits

__all__ = ['LocalRecord']

#: Steps per second to which the ages of reports are rounded.
_AGE_STEPS = 32
#: Seconds for which a watcher keeps advertising its last report of an engine.
_REPORT_RETENTION = 3.0


class LocalRecord:
    """The current version of this instance's record.

    Attributes
    ----------
    current
        The record as it is sent.
    """

    def __init__(
        self,
        settings: Settings,
        identity: Identity,
        members: MemberTable,
        table: EndpointTable,
        holder: SnapshotHolder,
        follower: ConfigurationFollower,
        limits: WorkspaceLimits,
    ) -> None:
        """Start with a record that describes nothing but the instance."""
        self._members = members
        self._table = table
        self._holder = holder
        self._follower = follower
        self._limits = limits
        self.current = Member(
            name=identity.instance,
            zone=identity.zone,
            peer_address=settings.reachable_peer_address,
            incarnation=identity.incarnation,
            region=settings.region,
        )

    def advance(self, now: float, draining: bool, left: bool = False) -> None:
        """Make a new version that describes the present state.

        An instance that has left never comes back under its incarnation.
        """
        self.current = attrs.evolve(
            self.current,
            left=left or self.current.left,
            version=self.current.version + 1,
            revision=self._holder.current.revision,
            draining=draining,
            configuration_age=self._follower.finite_age,
            configuration_fault=self._follower.fault,
            pending_files=list(self._holder.current.pending),
            withheld=sorted(self._table.withheld_locally),
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
                if endpoint.read_locally
                and now - endpoint.reported_at <= _REPORT_RETENTION
            ],
            demand=self._limits.describe_demand(),
            dispatched_by_class={
                name: endpoint.local_by_class.copy()
                for name, endpoint in self._table.all().items()
                if endpoint.own_tokens
            },
            leaving=list_advertised_leaving(self._members, now),
        )

    def raise_epoch(self, received: Member) -> None:
        """Get ahead of a newer record of this instance that a peer has."""
        self.current = attrs.evolve(self.current, epoch=received.epoch + 1)


def _round_age(seconds: float) -> float:
    """Round an age to few binary digits, which compress well."""
    return round(seconds * _AGE_STEPS) / _AGE_STEPS
