"""Checks of operators' files against one another.

A name may be declared once in the whole site, and whatever a file refers to
must be declared in some file.  Each finding points at the very item, in
whichever file it stands.
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

__all__ = ['Finding', 'check_together']


@attrs.frozen
class Finding:
    """Something wrong between files, and where.

    Attributes
    ----------
    file
        Name of the file in which the item stands.
    """

    file: str
    path: str
    message: str


@attrs.frozen
class _Place:
    """Where a name is declared."""

    file: str
    path: str
    name: str
    kind: str


def check_together(contents: Iterable[FileContent]) -> list[Finding]:
    """Find all that is wrong between files."""
    everything = list(contents)
    return [
        *_find_doubled_names(everything),
        *_find_dangling_references(everything),
    ]


def _find_doubled_names(contents: list[FileContent]) -> Iterator[Finding]:
    first: dict[tuple[str, str], _Place] = {}
    for content in contents:
        for place in _list_places(content):
            earlier = first.setdefault((place.kind, place.name), place)
            if earlier is not place:
                yield Finding(
                    place.file,
                    place.path,
                    f'{place.kind} {place.name!r} is declared already in '
                    f'{earlier.file!r} at {earlier.path}',
                )


def _list_places(content: FileContent) -> Iterator[_Place]:
    file = content.name
    if content.deployment:
        yield _Place(file, '$.deployment', 'deployment', 'the')
    for index, service in enumerate(content.services):
        path = f'$.services[{index}]'
        yield _Place(file, f'{path}.name', service.name, 'service')
        if service.model:
            yield _Place(file, f'{path}.model', service.model, 'model')
    for index, workspace in enumerate(content.workspaces):
        path = f'$.workspaces[{index}]'
        yield _Place(file, f'{path}.name', workspace.name, 'workspace')
        for number, digest in enumerate(workspace.key_digests):
            place = f'{path}.key_digests[{number}]'
            yield _Place(file, place, digest, 'key digest')
    for index, group in enumerate(content.endpoint_groups):
        path = f'$.endpoint_groups[{index}]'
        yield _Place(file, f'{path}.name', group.name, 'endpoint group')
        yield from _list_endpoint_places(file, path, group)


def _list_endpoint_places(
    file: str,
    path: str,
    group: EndpointGroup,
) -> Iterator[_Place]:
    for index, endpoint in enumerate(group.endpoints):
        place = f'{path}.endpoints[{index}]'
        yield _Place(file, f'{place}.name', endpoint.name, 'endpoint')
        yield _Place(file, f'{place}.address', endpoint.address, 'address')


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
            wrong = _find_wrong_group(service, name, groups.get(name))
            if wrong:
                path = f'$.services[{index}].endpoint_groups[{number}]'
                yield Finding(content.name, path, wrong)


def _find_wrong_group(
    service: Service,
    name: str,
    group: EndpointGroup | None,
) -> str:
    if group is None:
        return f'{service.name!r} uses no known endpoint group: {name!r}'
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
                    f'{workspace.name!r} uses no known service: {name!r}',
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
