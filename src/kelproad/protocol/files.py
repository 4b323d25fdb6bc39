"""Parsing and validation of operators' files, complete before their use.

A file is checked alone (types, ranges, addresses) and then together with the
other files in force (duplicate names, references to undeclared ones).
"""

import re
import types
from collections.abc import Iterator, Mapping

from returns.result import Failure, Result, Success

from ..state.declarations import (
    EndpointGroup,
    FileContent,
    Service,
    ServiceKind,
    Workspace,
)
from ..state.problems import Problem
from ..transport.addresses import Address, AddressError
from .documents import Document, read_document, structure
from .references import Finding, check_across_files

__all__ = ['check_removal', 'parse_file']

_NO_TEXTS: Mapping[str, str] = types.MappingProxyType({})

_NAME = re.compile(r'[a-z0-9]([a-z0-9.-]{0,62}[a-z0-9])?')
_DIGEST = re.compile('[0-9a-f]{64}')


def parse_file(
    text: str,
    source: str,
    others: Mapping[str, FileContent],
    alone: bool = False,
    texts: Mapping[str, str] = _NO_TEXTS,
) -> Result[FileContent, list[Problem]]:
    """Parse a file and check it against the other files in force.

    Parameters
    ----------
    text
        YAML text of the file.
    source
        Name of the file as problems show it.
    others
        The files in force by name; one with this file's name is to be
        replaced and is ignored.
    skip_cross_checks
        Omit the checks against other files.
    texts
        Texts of the other files by name, for the line of a problem that this
        file causes in another one.

    Returns
    -------
    Result
        The content, or every problem found.
    """
    document = read_document(text, source)
    if alone:
        return document.bind(lambda read: structure(read, FileContent))
    return document.bind(
        lambda read: structure(read, FileContent).bind(
            lambda content: _check(read, content, others, texts),
        ),
    )


def check_removal(
    name: str,
    others: Mapping[str, FileContent],
    texts: Mapping[str, str],
) -> list[Problem]:
    """Find the problems of the other files if this one is removed."""
    if name not in others:
        return [Problem(name, 1, '$', 'there is no such file in force')]
    remaining = [content for other, content in others.items() if other != name]
    return [_locate(found, texts) for found in check_across_files(remaining)]


def _check(
    document: Document,
    content: FileContent,
    others: Mapping[str, FileContent],
    texts: Mapping[str, str],
) -> Result[FileContent, list[Problem]]:
    remaining = [
        other for name, other in others.items() if name != content.name
    ]
    problems = [document.report(*pair) for pair in _check_alone(content)]
    for found in check_across_files([*remaining, content]):
        if found.file == content.name:
            problems.append(document.report(found.path, found.message))
        else:
            problems.append(_locate(found, texts))
    return Failure(problems) if problems else Success(content)


def _locate(found: Finding, texts: Mapping[str, str]) -> Problem:
    """Build a problem of another file, parsed again to find the line."""
    source = f'{found.file} (in force)'
    document = read_document(texts.get(found.file, ''), source)
    unread = Document(source, None, {})
    return document.value_or(unread).report(found.path, found.message)


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
        allowed = '1 to 64 lower-case letters, digits, "." and "-"'
        yield path, f'{name!r} is not a valid name: {allowed}'


def _check_service(service: Service, path: str) -> Iterator[tuple[str, str]]:
    yield from _check_name(service.name, f'{path}.name')
    if service.kind is ServiceKind.MODEL and not service.model:
        yield f'{path}.model', 'required for a model service'
    if not service.endpoint_groups:
        yield f'{path}.endpoint_groups', 'at least one group is required'
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
        yield path, 'allowed only for idempotent model services'
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
                'not a SHA-256 digest in lower-case hexadecimal',
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
    yield from _require_positive(group.max_loading, f'{path}.max_loading')
    yield from _require_positive(
        group.prefill_tokens_per_second,
        f'{path}.prefill_tokens_per_second',
    )
    for index, endpoint in enumerate(group.endpoints):
        item = f'{path}.endpoints[{index}]'
        yield from _check_name(endpoint.name, f'{item}.name')
        try:
            Address.from_text(endpoint.address)
        except AddressError as error:
            yield f'{item}.address', str(error)


def _require_positive(number: float, path: str) -> Iterator[tuple[str, str]]:
    if not 0 < number < float('inf'):
        yield path, 'must be greater than zero and finite'
