"""Sets of endpoints that a call is placed among, the best one first."""

from collections.abc import Iterator

import attrs

from ....state.calls import Call
from ....state.endpoints import Endpoint
from ..streams.progress import Progress
from .eligibility import are_withdrawn, is_trusted
from .filtering import EndpointFilter

__all__ = ['Tier', 'iterate_tiers']


@attrs.frozen
class Tier:
    """Endpoints to choose from, and the names of those that may answer.

    ``uses_leaving`` says whether endpoints that leave are among them.
    """

    endpoints: list[Endpoint]
    answering: set[str]
    uses_leaving: bool = False


def iterate_tiers(
    endpoint_filter: EndpointFilter,
    endpoints: list[Endpoint],
    call: Call,
    progress: Progress,
    now: float,
    healthy_only: bool,
) -> Iterator[Tier]:
    """Iterate over the tiers of a call's endpoints.

    First those that are healthy, then those that leave and work beside them,
    which are better than those that fail.

    Raises
    ------
    NoPlacementError
        When nobody could connect to any endpoint.
    """
    usable = endpoint_filter.list_usable(
        endpoints, call, progress, now, may_try=not healthy_only
    )
    healthy = endpoint_filter.list_healthy(usable, call, now)
    trusted = {one.name for one in healthy if is_trusted(one, call)}
    if trusted or healthy_only:
        yield Tier(healthy, trusted)
    if healthy_only:
        return
    leaving = endpoint_filter.list_last_resorts(endpoints, call, progress, now)
    if leaving:
        names = {one.name for one in leaving if is_trusted(one, call)}
        yield Tier(healthy + leaving, trusted | names, uses_leaving=True)
    if not (trusted or are_withdrawn(endpoints, now)):
        yield Tier(usable, {endpoint.name for endpoint in usable})
