"""The configuration in force: accepted files, and the snapshot of them.

An operator's file is the unit of change.  A snapshot is the union of all
files at one revision; it is immutable, so a request keeps the snapshot that
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
    'extend_snapshot',
]


@attrs.frozen
class AppliedFile:
    """An accepted file, with the generation and revision assigned to it.

    A removed file is kept without text and content, so that instances that are
    behind receive the removal.
    """

    name: str
    generation: int
    revision: int
    digest: str
    text: str
    content: FileContent | None


@attrs.frozen
class PendingFile:
    """An accepted version of a file that this instance cannot read.

    The previous version of the file, if there is one, stays in force.
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
        Files whose accepted version could not be read here, by name.
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
        """Build a snapshot by indexing the declarations of all files."""
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
        """Build the snapshot of an instance that has adopted none yet."""
        return cls.from_files(0, {})

    def contents(self) -> dict[str, FileContent]:
        """Return the content of every file in force by file name."""
        return {
            name: applied.content
            for name, applied in self.files.items()
            if applied.content
        }

    def accepted_generation(self, name: str) -> int:
        """Return the newest accepted generation of a file, 0 for none."""
        held = self.files.get(name)
        waiting = self.pending.get(name)
        return max(
            held.generation if held else 0,
            waiting.generation if waiting else 0,
        )

    def groups_of(self, service: Service) -> list[EndpointGroup]:
        """List the endpoint groups of a service.

        A group can be missing only while its file is pending; the service
        then has fewer endpoints, or none, until the file can be read.
        """
        return [
            self.groups[name]
            for name in service.endpoint_groups
            if name in self.groups
        ]


def extend_snapshot(
    base: Snapshot,
    offered: list[AppliedFile | PendingFile],
    revision: int,
) -> Snapshot:
    """Build a snapshot from a base and newer versions of its files."""
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
        """Start with an empty snapshot."""
        self.current = Snapshot.empty()

    def adopt(self, snapshot: Snapshot) -> bool:
        """Put a newer snapshot in force; refuse an older or equal one.

        A late message, a slow store reply or a peer that was disconnected may
        offer a revision not above the one in force.  Adopting it would revert
        an accepted configuration, so only a higher one is accepted, or the
        same one with fewer files pending.
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
    """Return whether no file is lost or reverts to an older generation."""
    return following.revision >= current.revision and all(
        name in following.files
        and following.files[name].generation >= held.generation
        for name, held in current.files.items()
    )
