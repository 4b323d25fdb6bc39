"""The configuration in force: accepted files, and the snapshot they make.

An operator's file is the unit of change.  A snapshot is the union of all
files at one revision; it is immutable, so a request keeps the one that
admitted it until the request ends.
"""

from typing import Self

import attrs

from . import invariants
from .declarations import (
    Deployment,
    EndpointGroup,
    FileContent,
    Service,
    ServiceKind,
    Workspace,
)

__all__ = [
    'AppliedFile',
    'PendingFile',
    'Snapshot',
    'SnapshotHolder',
    'extend',
]


@attrs.frozen
class AppliedFile:
    """A file as accepted, with the generation and revision it got.

    A removed file stays as one without text or content, so that instances
    that are behind hear of the removal.
    """

    name: str
    generation: int
    revision: int
    digest: str
    text: str
    content: FileContent | None


@attrs.frozen
class PendingFile:
    """An accepted version of a file that cannot be put in force here.

    The file keeps the version that was in force before, if there was one.
    """

    name: str
    generation: int
    revision: int
    digest: str
    reason: str


@attrs.frozen
class Snapshot:
    """All files in force at one revision, indexed for the request path.

    Attributes
    ----------
    pending
        By name, files whose accepted version could not be read here.
    """

    revision: int
    files: dict[str, AppliedFile]
    deployment: Deployment | None
    services: dict[str, Service]
    models: dict[str, Service]
    workspaces: dict[str, Workspace]
    workspaces_by_digest: dict[str, Workspace]
    groups: dict[str, EndpointGroup]
    pending: dict[str, PendingFile] = attrs.field(factory=dict)

    @classmethod
    def from_files(
        cls,
        revision: int,
        files: dict[str, AppliedFile],
        pending: dict[str, PendingFile] | None = None,
    ) -> Self:
        """Index the declarations of all files."""
        contents = [
            applied.content for applied in files.values() if applied.content
        ]
        services = {
            service.name: service
            for content in contents
            for service in content.services
        }
        workspaces = {
            workspace.name: workspace
            for content in contents
            for workspace in content.workspaces
        }
        deployments = [
            content.deployment for content in contents if content.deployment
        ]
        return cls(
            revision=revision,
            files=files,
            deployment=deployments[0] if deployments else None,
            services=services,
            models={
                service.model: service
                for service in services.values()
                if service.kind is ServiceKind.MODEL
            },
            workspaces=workspaces,
            workspaces_by_digest={
                digest: workspace
                for workspace in workspaces.values()
                for digest in workspace.key_digests
            },
            groups={
                group.name: group
                for content in contents
                for group in content.endpoint_groups
            },
            pending=pending or {},
        )

    @classmethod
    def empty(cls) -> Self:
        """Build the snapshot of an instance that has adopted nothing yet."""
        return cls.from_files(0, {})

    def contents(self) -> dict[str, FileContent]:
        """Return the content of every file in force by file name."""
        return {
            name: applied.content
            for name, applied in self.files.items()
            if applied.content
        }

    def accepted_generation(self, name: str) -> int:
        """Return the newest generation accepted of a file, 0 for none."""
        held = self.files.get(name)
        waiting = self.pending.get(name)
        return max(
            held.generation if held else 0,
            waiting.generation if waiting else 0,
        )

    def groups_of(self, service: Service) -> list[EndpointGroup]:
        """List the endpoint groups behind a service.

        A group can be missing only while its file is pending; the service
        then has fewer endpoints, or none, until the file can be read.
        """
        return [
            self.groups[name]
            for name in service.endpoint_groups
            if name in self.groups
        ]


def extend(
    base: Snapshot,
    offered: list[AppliedFile | PendingFile],
    revision: int,
) -> Snapshot:
    """Lay newer versions of files over a snapshot."""
    files = dict(base.files)
    pending = dict(base.pending)
    for item in offered:
        known = max(
            files[item.name].generation if item.name in files else 0,
            pending[item.name].generation if item.name in pending else 0,
        )
        if item.generation < known:
            continue
        if isinstance(item, AppliedFile):
            files[item.name] = item
            pending.pop(item.name, None)
        elif base.accepted_generation(item.name) < item.generation:
            pending[item.name] = item
    return Snapshot.from_files(revision, files, pending)


class SnapshotHolder:
    """The snapshot in force in this process."""

    def __init__(self) -> None:
        """Start with nothing adopted."""
        self.current = Snapshot.empty()

    def adopt(self, snapshot: Snapshot) -> bool:
        """Put a newer snapshot in force; refuse an older or equal one.

        A late message, a slow store reply or a peer that was cut off may offer
        a revision that is not above the one in force.  Adopting it would
        revert an accepted configuration, so only a higher one is taken, or
        the same one with fewer files pending.
        """
        current = self.current
        completes = len(snapshot.pending) < len(current.pending)
        is_same = snapshot.revision == current.revision
        if snapshot.revision <= current.revision and not (
            is_same and completes
        ):
            return False
        keeps = _keeps_generations(current, snapshot)
        invariants.check(
            keeps,
            'configuration_never_reverts',
            f'{current.revision} -> {snapshot.revision}',
        )
        if keeps:
            self.current = snapshot
        return keeps


def _keeps_generations(current: Snapshot, following: Snapshot) -> bool:
    """Tell whether no file disappears or goes back to an older version."""
    return following.revision >= current.revision and all(
        name in following.files
        and following.files[name].generation >= held.generation
        for name, held in current.files.items()
    )
