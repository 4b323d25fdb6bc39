"""The state of this process, for operators; it contains no secrets."""

import math

import attrs

from ..state import invariants
from ..state.configuration import SnapshotHolder
from ..state.endpoints import Endpoint
from ..state.endpointtable import EndpointTable
from ..state.identity import Identity
from ..state.members import Member, MemberTable
from ..state.requests import RequestTable
from ..transport.deadlines import monotonic
from .configuration import ConfigurationFollower
from .lag import describe_lag, summarize_zones
from .membership import Membership
from .orders import OrderController
from .reclamation import Canceller

__all__ = ['Dump']

Fields = dict[str, object]


@attrs.frozen
class Dump:
    """Describes the state of an instance from its parts."""

    identity: Identity
    holder: SnapshotHolder
    table: EndpointTable
    members: MemberTable
    requests: RequestTable
    follower: ConfigurationFollower
    membership: Membership
    canceller: Canceller
    orders: OrderController

    def summarize(self) -> Fields:
        """Summarize the site as far as this instance knows it."""
        now = monotonic()
        snapshot = self.holder.current
        lags = describe_lag(
            self._describe_self(),
            self.members,
            snapshot,
            now,
        )
        return {
            'instance': self.identity.instance,
            'zone': self.identity.zone,
            'revision': snapshot.revision,
            'configuration_age': _finite(self.follower.age),
            'draining': self.membership.draining,
            'pending': [
                attrs.asdict(item) for item in snapshot.pending.values()
            ],
            'orders': self.orders.describe(),
            'zones': [attrs.asdict(zone) for zone in summarize_zones(lags)],
            'members': [attrs.asdict(lag) for lag in lags],
            'endpoints': [
                _describe_endpoint(endpoint, now)
                for endpoint in self.table.all().values()
            ],
        }

    def describe(self) -> Fields:
        """Add to the summary the requests, open cancels and violations."""
        now = monotonic()
        return {
            **self.summarize(),
            'incarnation': self.identity.incarnation,
            'requests': [
                {
                    'request_id': request.request_id,
                    'workspace': request.workspace.name,
                    'service': request.service.name,
                    'revision': request.snapshot.revision,
                    'phase': request.phase,
                    'attempts': request.attempts,
                    'prompt_tokens': request.prompt_tokens,
                    'remaining': request.remaining(now),
                }
                for request in self.requests.all()
            ],
            'cancels_open': self.canceller.describe(),
            'invariant_violations': dict(invariants.violations),
        }

    def _describe_self(self) -> Member:
        snapshot = self.holder.current
        return Member(
            self.identity.instance,
            self.identity.zone,
            '',
            self.identity.incarnation,
            revision=snapshot.revision,
            draining=self.membership.draining,
            configuration_age=self.follower.finite_age,
            configuration_fault=self.follower.fault,
            pending_files=list(snapshot.pending),
        )


def _describe_endpoint(endpoint: Endpoint, now: float) -> Fields:
    report = endpoint.report
    return {
        'name': endpoint.name,
        'group': endpoint.group.name,
        'zone': endpoint.declaration.zone,
        'address': endpoint.declaration.address,
        'leaving': endpoint.leaving,
        'own_requests': endpoint.own_requests,
        'own_tokens': endpoint.own_tokens,
        'peer_tokens': endpoint.peer_tokens,
        'report': attrs.asdict(report) if report else None,
        'report_age': _finite(now - endpoint.reported_at),
    }


def _finite(seconds: float) -> float | None:
    return seconds if math.isfinite(seconds) else None
