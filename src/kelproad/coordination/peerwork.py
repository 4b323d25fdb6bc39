"""Prompt tokens in flight at endpoints, as the other instances report them."""

import collections

from ..state.endpointtable import EndpointTable
from ..state.engines import LengthClass
from ..state.members import Member

__all__ = ['PeerWork']


class PeerWork:
    """Keeps the sums over the live members in a table of endpoints."""

    def __init__(self, table: EndpointTable) -> None:
        """Start with nothing in flight."""
        self._table = table
        self._loaded_endpoints: set[str] = set()

    def sum(self, live: list[Member]) -> None:
        """Sum what the live members have in flight, and count them."""
        self._table.instances = len(live) + 1
        totals: collections.Counter[str] = collections.Counter()
        for member in live:
            totals.update(member.dispatched)
        # Visit only endpoints with work: there are thousands without.
        for name in self._loaded_endpoints | totals.keys():
            endpoint = self._table.get(name)
            if endpoint is not None:
                endpoint.peer_tokens = totals[name]
                endpoint.peer_by_class = _sum_classes(name, live)
        self._loaded_endpoints = set(totals)


def _sum_classes(endpoint: str, live: list[Member]) -> list[int]:
    """Sum the members' prompt tokens in flight at an endpoint, by class."""
    by_class = [
        member.dispatched_by_class[endpoint]
        for member in live
        if endpoint in member.dispatched_by_class
    ]
    return [sum(counts[rank] for counts in by_class) for rank in LengthClass]
