"""Strict parsing of YAML documents; problems have file, line and path.

Operators must see all problems of a file at once, each with its line.  The YAML
loader keeps the line of each value, the structuring library reports the path of
each problem, and this module combines the two.
"""

import enum
from collections.abc import Callable, Iterator
from typing import TypeVar

import attrs
import cattrs
import yaml
from cattrs.errors import (
    ClassValidationError,
    ForbiddenExtraKeysError,
    IterableValidationError,
)
from returns.result import Failure, Result, Success

from ..state.problems import Problem

__all__ = ['Document', 'read_document', 'structure']

T = TypeVar('T')
Plain = object
_MAX_SHOWN = 80
#: The loader in C is several times as fast; not every build of PyYAML has it.
_FastLoader = getattr(yaml, 'CSafeLoader', yaml.SafeLoader)


@attrs.frozen
class Document:
    """A parsed document, with the line of each value by its path."""

    source: str
    content: Plain
    lines: dict[str, int]

    def locate(self, path: str) -> int:
        """Return the line of a path or its nearest known parent, else 1."""
        while path not in self.lines and path:
            path = path[: max(path.rfind('.'), path.rfind('['), 0)]
        return self.lines.get(path, 1)

    def report(self, path: str, message: str) -> Problem:
        """Build the problem that a message describes at a path."""
        return Problem(self.source, self.locate(path), path, message)


def read_document(
    text: str,
    source: str,
) -> Result[Document, list[Problem]]:
    """Parse YAML text; duplicate keys and aliases are problems too."""
    try:
        return _read(text, source, _FastLoader)
    except (yaml.YAMLError, ValueError):
        # The loader in C reports the line after the error; the one in Python
        # reports where the error begins.
        return _read_with_exact_line(text, source)
    except RecursionError:
        # A few kilobytes of opening brackets exceed Python's recursion limit;
        # not handled, the operator would see an internal error.
        return Failure([_report_nesting(source)])


def _read(
    text: str,
    source: str,
    loader_kind: type[yaml.SafeLoader],
) -> Result[Document, list[Problem]]:
    loader = loader_kind(text)
    root = loader.get_single_node()
    builder = _Builder(loader, source)
    content = None if root is None else builder.build(root, '$')
    if builder.problems:
        return Failure(builder.problems)
    return Success(Document(source, content, builder.lines))


def _read_with_exact_line(
    text: str,
    source: str,
) -> Result[Document, list[Problem]]:
    try:
        return _read(text, source, yaml.SafeLoader)
    except (yaml.YAMLError, ValueError) as error:
        return Failure([_report_syntax(error, source)])
    except RecursionError:
        return Failure([_report_nesting(source)])


def structure(
    document: Document,
    kind: type[T],
) -> Result[T, list[Problem]]:
    """Convert a document to a typed record, or list all its problems."""
    try:
        return Success(_converter.structure(document.content, kind))
    except (ClassValidationError, IterableValidationError) as error:
        return Failure(
            [
                document.report(path, message)
                for path, message in _walk_errors(error, '$')
            ]
        )
    except (ValueError, TypeError) as error:
        return Failure([document.report('$', str(error))])


# Reading


class _Builder:
    """Turns YAML nodes into plain values while noting their lines."""

    def __init__(self, loader: yaml.SafeLoader, source: str) -> None:
        self._loader = loader
        self._source = source
        self._seen: set[int] = set()
        self.lines: dict[str, int] = {}
        self.problems: list[Problem] = []

    def build(self, node: yaml.Node, path: str) -> Plain:
        line = node.start_mark.line + 1
        self.lines[path] = line
        if id(node) in self._seen:
            # An alias can make a small file expand without bound.
            return self._refuse(line, path, 'aliases are not supported')
        self._seen.add(id(node))
        if isinstance(node, yaml.MappingNode):
            return self._build_mapping(node, path)
        if isinstance(node, yaml.SequenceNode):
            return [
                self.build(child, f'{path}[{index}]')
                for index, child in enumerate(node.value)
            ]
        try:
            return self._loader.construct_object(node)
        except (yaml.YAMLError, ValueError) as error:
            return self._refuse(line, path, f'unreadable value: {error}')

    def _build_mapping(self, node: yaml.MappingNode, path: str) -> Plain:
        built: dict[str, Plain] = {}
        for key_node, child in node.value:
            key = str(key_node.value)
            line = key_node.start_mark.line + 1
            if key in built:
                self._refuse(line, f'{path}.{key}', 'duplicate key')
                continue
            built[key] = self.build(child, f'{path}.{key}')
            self.lines[f'{path}.{key}'] = line
        return built

    def _refuse(self, line: int, path: str, message: str) -> None:
        self.problems.append(Problem(self._source, line, path, message))


def _report_nesting(source: str) -> Problem:
    return Problem(source, 1, '$', 'nested too deeply')


def _report_syntax(error: Exception, source: str) -> Problem:
    mark = getattr(error, 'problem_mark', None)
    line = mark.line + 1 if mark else 1
    message = getattr(error, 'problem', None) or str(error)
    return Problem(source, line, '$', f'not YAML: {message}')


# Structuring


def _walk_errors(
    error: Exception,
    path: str,
) -> Iterator[tuple[str, str]]:
    if isinstance(error, ClassValidationError):
        yield from _walk_group(error, path, lambda note: f'.{note.name}')
    elif isinstance(error, IterableValidationError):
        yield from _walk_group(error, path, _format_index)
    elif isinstance(error, ForbiddenExtraKeysError):
        for name in sorted(error.extra_fields):
            yield f'{path}.{name}', 'unknown key'
    elif isinstance(error, KeyError):
        yield path, 'required, but missing'
    else:
        yield path, str(error)


def _walk_group(
    error: ClassValidationError | IterableValidationError,
    path: str,
    format_note: Callable[[object], str],
) -> Iterator[tuple[str, str]]:
    with_notes, others = error.group_exceptions()
    for child, note in with_notes:
        yield from _walk_errors(child, path + format_note(note))
    for child in others:
        yield from _walk_errors(child, path)


def _format_index(note: object) -> str:
    index = note.index
    return f'[{index}]' if isinstance(index, int) else f'.{index}'


def _create_converter() -> cattrs.Converter:
    converter = cattrs.Converter(forbid_extra_keys=True)
    for kind in (str, int, bool):
        converter.register_structure_hook(kind, _require_exactly(kind))
    converter.register_structure_hook(float, _require_number)
    converter.register_structure_hook_func(
        _is_list,
        lambda value, kind: _structure_list(converter, value, kind),
    )
    return converter


def _is_list(kind: object) -> bool:
    return getattr(kind, '__origin__', None) is list


def _structure_list(
    converter: cattrs.Converter,
    value: Plain,
    kind: type,
) -> list[Plain]:
    if not isinstance(value, list):
        raise ValueError(f'expected a list, found {_describe(value)}')
    item_kind = kind.__args__[0]
    errors: list[Exception] = []
    structured = []
    for index, item in enumerate(value):
        try:
            structured.append(converter.structure(item, item_kind))
        except Exception as error:
            note = cattrs.IterableValidationNote(f'[{index}]', index, item_kind)
            error.add_note(note)
            errors.append(error)
    if errors:
        raise IterableValidationError('invalid list', errors, kind)
    return structured


def _require_exactly(kind: type) -> Callable[[Plain, type], Plain]:
    def structure_exactly(value: Plain, wanted: type) -> Plain:
        if wanted is not kind:
            # A hook for a class is also called for enums derived from it.
            return _structure_enum(value, wanted)
        # By exact type, since a bool is also an int.
        if value.__class__ is not kind:
            found = _describe(value)
            raise ValueError(f'expected {kind.__name__}, found {found}')
        return value

    return structure_exactly


def _structure_enum(value: Plain, wanted: type[enum.Enum]) -> enum.Enum:
    try:
        return wanted(value)
    except ValueError:
        allowed = ', '.join(str(member.value) for member in wanted)
        found = _describe(value)
        raise ValueError(f'expected one of {allowed}; found {found}')


def _require_number(value: Plain, _kind: type) -> float:
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise ValueError(f'expected a number, found {_describe(value)}')
    return float(value)


def _describe(value: Plain) -> str:
    return f'{type(value).__name__} {value!r}'[:_MAX_SHOWN]


_converter = _create_converter()
