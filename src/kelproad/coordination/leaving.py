"""Which endpoints are leaving, by whoever says so.

Three say so: the configuration, the engine itself in its load report, and the
platform's list.  The first two travel between instances anyway.  The list's
word travels by peers as well, for instances that cannot ask the platform.
"""

from ..state.endpoints import EndpointTable
from ..state.members import MemberTable

__all__ = ['list_own_words', 'mark_leaving']

#: Seconds after which an instance no longer passes on what it was told.
_LISTING_VALID = 5.0


def list_own_words(members: MemberTable, now: float) -> list[str]:
    """List the endpoints that the platform takes away, to tell the peers.

    Only what the platform itself said a moment ago is passed on.  What was
    heard from peers is not, or two instances could keep a word alive that the
    platform took back.
    """
    if now - members.listed_at > _LISTING_VALID:
        return []
    return sorted(members.listed_leaving)


def mark_leaving(
    table: EndpointTable,
    members: MemberTable,
    now: float,
) -> None:
    """Mark the endpoints that the platform takes away, as far as known.

    The list that this instance read last counts also when it is old: an
    endpoint that was leaving then must not get work because of a cut.
    """
    said = members.listed_leaving.union(
        *(member.leaving for member in members.live(now)),
    )
    for name, endpoint in table.all().items():
        endpoint.listed_leaving = name in said
