"""Checks of operators' files against each other.

A name may be declared only once in the site, and each name that a file refers
to must be declared in some file.  Each finding has the file and path of the
wrong item.
"""

from collections.abc import Iterable, Iterator, Mapping

import attrs

from ..state.declarations import (
    EndpointGroup,
    EndpointKind,
    FileContent,
    Service,
    ServiceKind,
)

__all__ = ['Finding', 'check_across_files']


@attrs.frozen
class Finding:
    """A problem between files, with the place of the wrong item.

    Attributes
    ----------
    file
        Name of the file with the item.
    """

    file: str
    path: str
    message: str


@attrs.frozen
class _Declaration:
    """The place and kind of a declaration of a name."""

    file: str
    path: str
    name: str
    kind: str


def check_across_files(contents: Iterable[FileContent]) -> list[Finding]:
    """Find duplicate declarations and references to undeclared names."""
    everything = list(contents)
    return [
        *_find_duplicate_names(everything),
        *_find_dangling_references(everything),
    ]


def _find_duplicate_names(contents: list[FileContent]) -> Iterator[Finding]:
    first: dict[tuple[str, str], _Declaration] = {}
    for content in contents:
        for found in _list_declarations(content):
            earlier = first.setdefault((found.kind, found.name), found)
            if earlier is not found:
                yield Finding(
                    found.file,
                    found.path,
                    f'{found.kind} {found.name!r} is already declared in '
                    f'{earlier.file!r} at {earlier.path}',
                )


def _list_declarations(content: FileContent) -> Iterator[_Declaration]:
    file = content.name
    if content.deployment:
        yield _Declaration(file, '$.deployment', 'deployment', 'the')
    for index, service in enumerate(content.services):
        path = f'$.services[{index}]'
        yield _Declaration(file, f'{path}.name', service.name, 'service')
        if service.model:
            yield _Declaration(file, f'{path}.model', service.model, 'model')
    for index, workspace in enumerate(content.workspaces):
        path = f'$.workspaces[{index}]'
        yield _Declaration(file, f'{path}.name', workspace.name, 'workspace')
        for number, digest in enumerate(workspace.key_digests):
            key_path = f'{path}.key_digests[{number}]'
            yield _Declaration(file, key_path, digest, 'key digest')
    for index, group in enumerate(content.endpoint_groups):
        path = f'$.endpoint_groups[{index}]'
        yield _Declaration(file, f'{path}.name', group.name, 'endpoint group')
        yield from _list_endpoint_declarations(file, path, group)


def _list_endpoint_declarations(
    file: str,
    path: str,
    group: EndpointGroup,
) -> Iterator[_Declaration]:
    for index, endpoint in enumerate(group.endpoints):
        item = f'{path}.endpoints[{index}]'
        yield _Declaration(file, f'{item}.name', endpoint.name, 'endpoint')
        yield _Declaration(file, f'{item}.address', endpoint.address, 'address')


def _find_dangling_references(
    contents: list[FileContent],
) -> Iterator[Finding]:
    groups = {
        group.name: group
        for content in contents
        for group in content.endpoint_groups
    }
    services = {
        service.name for content in contents for service in content.services
    }
    zones = {
        zone
        for content in contents
        if content.deployment
        for zone in content.deployment.zones
    }
    for content in contents:
        yield from _check_services(content, groups)
        yield from _check_workspaces(content, services)
        if zones:
            yield from _check_zones(content, zones)


def _check_services(
    content: FileContent,
    groups: Mapping[str, EndpointGroup],
) -> Iterator[Finding]:
    for index, service in enumerate(content.services):
        for number, name in enumerate(service.endpoint_groups):
            message = _check_group(service, name, groups.get(name))
            if message:
                path = f'$.services[{index}].endpoint_groups[{number}]'
                yield Finding(content.name, path, message)


def _check_group(
    service: Service,
    name: str,
    group: EndpointGroup | None,
) -> str:
    if group is None:
        return f'{service.name!r} uses an unknown endpoint group: {name!r}'
    wanted = (
        EndpointKind.ENGINE
        if service.kind is ServiceKind.MODEL
        else EndpointKind.PLAIN
    )
    if group.kind is wanted:
        return ''
    return (
        f'{service.name!r} is a {service.kind} service, but group '
        f'{name!r} has {group.kind} endpoints'
    )


def _check_workspaces(
    content: FileContent,
    services: set[str],
) -> Iterator[Finding]:
    for index, workspace in enumerate(content.workspaces):
        for number, name in enumerate(workspace.services):
            if name not in services:
                yield Finding(
                    content.name,
                    f'$.workspaces[{index}].services[{number}]',
                    f'{workspace.name!r} uses an unknown service: {name!r}',
                )


def _check_zones(content: FileContent, zones: set[str]) -> Iterator[Finding]:
    for index, group in enumerate(content.endpoint_groups):
        for number, endpoint in enumerate(group.endpoints):
            if endpoint.zone not in zones:
                yield Finding(
                    content.name,
                    f'$.endpoint_groups[{index}].endpoints[{number}].zone',
                    f'{endpoint.name!r} is in a zone that the deployment '
                    f'does not have: {endpoint.zone!r}',
                )
