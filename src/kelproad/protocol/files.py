"""Operators' files: what they declare, checked completely before use.

A file is checked on its own (types, ranges, addresses) and then together with
the other files in force (names that stand twice, references to nothing).
"""

import collections
import re
from collections.abc import Iterable, Iterator, Mapping

from returns.result import Failure, Result, Success

from ..state.configuration import (
    EndpointGroup,
    EndpointKind,
    FileContent,
    Service,
    ServiceKind,
    Workspace,
)
from ..transport.addresses import Address, AddressError
from .documents import Document, Problem, read_document, structure

__all__ = ['check_together', 'parse_file']

_NAME = re.compile(r'[a-z0-9]([a-z0-9.-]{0,62}[a-z0-9])?')
_DIGEST = re.compile('[0-9a-f]{64}')


def parse_file(
    text: str,
    source: str,
    others: Mapping[str, FileContent],
    alone: bool = False,
) -> Result[FileContent, list[Problem]]:
    """Parse a file and check it against the other files in force.

    Parameters
    ----------
    text
        YAML text of the file.
    source
        Name of the file as problems show it.
    others
        The files in force by name; one that has this file's name is about to
        be replaced and is left out.
    alone
        Leave out the checks against other files.

    Returns
    -------
    Result
        The content, or every problem found.
    """
    document = read_document(text, source)
    if alone:
        return document.bind(lambda read: structure(read, FileContent))
    return document.bind(lambda read: _parse(read, others))


def check_together(contents: Iterable[FileContent]) -> list[tuple[str, str]]:
    """Find what is wrong between files, as pairs of path and message."""
    everything = list(contents)
    return [
        *_find_doubled_names(everything),
        *_find_dangling_references(everything),
    ]


def _parse(
    document: Document,
    others: Mapping[str, FileContent],
) -> Result[FileContent, list[Problem]]:
    return structure(document, FileContent).bind(
        lambda content: _check(document, content, others),
    )


def _check(
    document: Document,
    content: FileContent,
    others: Mapping[str, FileContent],
) -> Result[FileContent, list[Problem]]:
    remaining = [
        other for name, other in others.items() if name != content.name
    ]
    found = [
        *_check_alone(content),
        *check_together([*remaining, content]),
    ]
    if found:
        return Failure([document.report(*pair) for pair in found])
    return Success(content)


# One file


def _check_alone(content: FileContent) -> Iterator[tuple[str, str]]:
    yield from _check_name(content.name, '$.name')
    for index, service in enumerate(content.services):
        yield from _check_service(service, f'$.services[{index}]')
    for index, workspace in enumerate(content.workspaces):
        yield from _check_workspace(workspace, f'$.workspaces[{index}]')
    for index, group in enumerate(content.endpoint_groups):
        yield from _check_group(group, f'$.endpoint_groups[{index}]')


def _check_name(name: str, path: str) -> Iterator[tuple[str, str]]:
    if not _NAME.fullmatch(name):
        allowed = '1 to 64 small letters, digits, "." and "-"'
        yield path, f'{name!r} is no name: {allowed}'


def _check_service(service: Service, path: str) -> Iterator[tuple[str, str]]:
    yield from _check_name(service.name, f'{path}.name')
    if service.kind is ServiceKind.MODEL and not service.model:
        yield f'{path}.model', 'a model service names its model'
    if not service.endpoint_groups:
        yield f'{path}.endpoint_groups', 'at least one group is needed'
    yield from _require_positive(
        service.bytes_per_token,
        f'{path}.bytes_per_token',
    )
    yield from _require_positive(
        service.max_body_bytes,
        f'{path}.max_body_bytes',
    )
    if service.segments is not None:
        yield from _check_segments(service, f'{path}.segments')
    deadline = service.deadline
    if not 0 < deadline.default <= deadline.maximum:
        yield f'{path}.deadline', 'must be: 0 < default <= maximum'


def _check_segments(service: Service, path: str) -> Iterator[tuple[str, str]]:
    segmenting = service.segments
    if service.kind is not ServiceKind.MODEL or not service.may_repeat:
        yield path, 'only idempotent model services answer in parts'
    if not segmenting.boundary:
        yield f'{path}.boundary', 'must not be empty'
    for name in ('tokens', 'answer_tokens', 'most_parts', 'parallel'):
        number = getattr(segmenting, name)
        yield from _require_positive(number, f'{path}.{name}')


def _check_workspace(
    workspace: Workspace,
    path: str,
) -> Iterator[tuple[str, str]]:
    yield from _check_name(workspace.name, f'{path}.name')
    yield from _require_positive(workspace.weight, f'{path}.weight')
    for index, digest in enumerate(workspace.key_digests):
        if not _DIGEST.fullmatch(digest):
            yield (
                f'{path}.key_digests[{index}]',
                'not a SHA-256 digest in small hexadecimal digits',
            )
    limits = workspace.limits
    for name in (
        'requests_per_second',
        'tokens_per_second',
        'tokens_in_flight',
    ):
        limit = getattr(limits, name)
        if limit is not None:
            yield from _require_positive(limit, f'{path}.limits.{name}')


def _check_group(group: EndpointGroup, path: str) -> Iterator[tuple[str, str]]:
    yield from _check_name(group.name, f'{path}.name')
    yield from _require_positive(group.memory_tokens, f'{path}.memory_tokens')
    yield from _require_positive(
        group.prefill_tokens_per_second,
        f'{path}.prefill_tokens_per_second',
    )
    for index, endpoint in enumerate(group.endpoints):
        place = f'{path}.endpoints[{index}]'
        yield from _check_name(endpoint.name, f'{place}.name')
        try:
            Address.from_text(endpoint.address)
        except AddressError as error:
            yield f'{place}.address', str(error)


def _require_positive(number: float, path: str) -> Iterator[tuple[str, str]]:
    if not 0 < number < float('inf'):
        yield path, 'must be greater than zero and finite'


# Files together


def _find_doubled_names(
    contents: list[FileContent],
) -> Iterator[tuple[str, str]]:
    for section, names in _list_names(contents).items():
        counted = collections.Counter(names)
        for name, times in counted.items():
            if times > 1:
                yield f'$.{section}', f'{name!r} is declared {times} times'


def _list_names(contents: list[FileContent]) -> dict[str, list[str]]:
    services = [item for content in contents for item in content.services]
    workspaces = [item for content in contents for item in content.workspaces]
    groups = [item for content in contents for item in content.endpoint_groups]
    endpoints = [endpoint for group in groups for endpoint in group.endpoints]
    return {
        'deployment': [
            'deployment' for content in contents if content.deployment
        ],
        'services': [service.name for service in services],
        'services.model': [item.model for item in services if item.model],
        'workspaces': [workspace.name for workspace in workspaces],
        'workspaces.key_digests': [
            digest for item in workspaces for digest in item.key_digests
        ],
        'endpoint_groups': [group.name for group in groups],
        'endpoint_groups.endpoints': [item.name for item in endpoints],
        'endpoint_groups.endpoints.address': [
            item.address for item in endpoints
        ],
    }


def _find_dangling_references(
    contents: list[FileContent],
) -> Iterator[tuple[str, str]]:
    groups = {
        group.name: group
        for content in contents
        for group in content.endpoint_groups
    }
    services = {
        service.name: service
        for content in contents
        for service in content.services
    }
    for service in services.values():
        yield from _check_service_groups(service, groups)
    for content in contents:
        for workspace in content.workspaces:
            for name in workspace.services:
                if name not in services:
                    yield (
                        '$.workspaces',
                        f'{workspace.name!r} uses no known service: {name!r}',
                    )
    yield from _check_zones(contents)


def _check_service_groups(
    service: Service,
    groups: Mapping[str, EndpointGroup],
) -> Iterator[tuple[str, str]]:
    wanted = (
        EndpointKind.ENGINE
        if service.kind is ServiceKind.MODEL
        else EndpointKind.PLAIN
    )
    for name in service.endpoint_groups:
        group = groups.get(name)
        if group is None:
            message = f'{service.name!r} uses no known endpoint group: {name!r}'
            yield '$.services', message
        elif group.kind is not wanted:
            message = (
                f'{service.name!r} is a {service.kind} service, but group '
                f'{name!r} has {group.kind} endpoints'
            )
            yield '$.services', message


def _check_zones(contents: list[FileContent]) -> Iterator[tuple[str, str]]:
    zones = {
        zone
        for content in contents
        if content.deployment
        for zone in content.deployment.zones
    }
    for content in contents:
        for group in content.endpoint_groups:
            for endpoint in group.endpoints:
                if zones and endpoint.zone not in zones:
                    yield (
                        '$.endpoint_groups',
                        f'{endpoint.name!r} is in a zone that the deployment '
                        f'does not have: {endpoint.zone!r}',
                    )
