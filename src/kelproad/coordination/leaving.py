"""Endpoints that are about to leave, as reported by the platform's list.

The configuration and the engine's own load report can mark an endpoint as
leaving, too; both reach all instances in other ways.  The entries of the list
are advertised to peers, for instances that cannot query the platform.
"""

from ..state.endpointtable import EndpointTable
from ..state.members import MemberTable

__all__ = ['list_advertised_leaving', 'mark_leaving']

#: Seconds after which an instance no longer advertises the list it read.
_LISTING_VALID = 5.0


def list_advertised_leaving(members: MemberTable, now: float) -> list[str]:
    """List the endpoints that the platform removes, to advertise to peers.

    Only what the platform itself reported recently is included.  Reports of
    peers are not forwarded: otherwise two instances could keep one alive that
    the platform has withdrawn.
    """
    if now - members.listed_at > _LISTING_VALID:
        return []
    return sorted(members.listed_leaving)


def mark_leaving(
    table: EndpointTable,
    members: MemberTable,
    now: float,
) -> None:
    """Mark the endpoints that the platform removes, by its list and peers.

    The list that this instance read last counts even when it is old: an
    endpoint that was leaving then must not get work during a partition.
    """
    reported = members.listed_leaving.union(
        *(member.leaving for member in members.live(now)),
    )
    for name, endpoint in table.all().items():
        endpoint.listed_leaving = name in reported
