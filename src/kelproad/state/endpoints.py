"""Endpoints as this instance sees them: load reported, work sent."""

from collections.abc import Mapping

import attrs

from .configuration import EndpointDeclaration, EndpointGroup, Snapshot
from .members import EndpointReport

__all__ = ['Endpoint', 'EndpointTable']


@attrs.define
class Endpoint:
    """One back end with everything that routing needs to know of it.

    Attributes
    ----------
    own_tokens
        Prompt tokens that this instance has in flight there.
    peer_tokens
        Prompt tokens that other instances said they have in flight there.
    reported_at
        Monotonic time to which ``report`` refers.
    """

    declaration: EndpointDeclaration
    group: EndpointGroup
    own_tokens: int = 0
    own_requests: int = 0
    peer_tokens: int = 0
    report: EndpointReport | None = None
    reported_at: float = float('-inf')
    consecutive_failures: int = 0
    ejected_until: float = float('-inf')
    listed_leaving: bool = False
    withheld: bool = False

    @property
    def name(self) -> str:
        """Name under which the endpoint was declared."""
        return self.declaration.name

    @property
    def leaving(self) -> bool:
        """Whether it must get no new work, by any source's word."""
        said_so = self.report is not None and self.report.leaving
        return (
            self.declaration.leaving
            or self.listed_leaving
            or self.withheld
            or said_so
        )

    def accept_report(self, report: EndpointReport, read_at: float) -> bool:
        """Take a report if it is newer than the one held."""
        if read_at <= self.reported_at:
            return False
        self.report = report
        self.reported_at = read_at
        return True


class EndpointTable:
    """Endpoints by name, kept in step with the configuration."""

    def __init__(self) -> None:
        """Start empty."""
        self._endpoints: dict[str, Endpoint] = {}
        self._by_group: dict[str, list[Endpoint]] = {}
        #: Endpoints that this instance withholds, as holder of their orders.
        self.withheld_here: frozenset[str] = frozenset()

    def follow(self, snapshot: Snapshot) -> None:
        """Add, replace and remove endpoints as a new snapshot declares.

        Counts of work in flight survive a changed declaration, because the
        work does.
        """
        kept: dict[str, Endpoint] = {}
        self._by_group = {}
        for group in snapshot.groups.values():
            members = [self._declare(item, group) for item in group.endpoints]
            self._by_group[group.name] = members
            kept.update({member.name: member for member in members})
        self._endpoints = kept

    def in_group(self, group: str) -> list[Endpoint]:
        """List the endpoints of a group."""
        return self._by_group.get(group, [])

    def get(self, name: str) -> Endpoint | None:
        """Find an endpoint by its name."""
        return self._endpoints.get(name)

    def all(self) -> Mapping[str, Endpoint]:
        """Return every endpoint by name."""
        return self._endpoints

    def withhold(self, names: frozenset[str]) -> None:
        """Withhold exactly these endpoints from new requests."""
        for name, endpoint in self._endpoints.items():
            endpoint.withheld = name in names

    def _declare(
        self,
        declaration: EndpointDeclaration,
        group: EndpointGroup,
    ) -> Endpoint:
        endpoint = self._endpoints.get(declaration.name)
        if endpoint is None:
            return Endpoint(declaration=declaration, group=group)
        endpoint.declaration = declaration
        endpoint.group = group
        return endpoint
