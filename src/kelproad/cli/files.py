"""Operator commands for configuration files: check, apply, diff and others."""

import difflib
import pathlib
import uuid
from typing import Annotated

import typer
from returns.result import Failure, Success

from .client import (
    Fields,
    Server,
    Token,
    call_instance,
    exit_with_problems,
    quote_name,
)

__all__ = ['apply', 'check', 'diff', 'get', 'history', 'remove', 'rollback']

File = Annotated[pathlib.Path, typer.Option('--file', '-f', help='The file.')]
Name = Annotated[str, typer.Argument(help='Name of the file.')]
ApplyId = Annotated[
    str,
    typer.Option(help='Id of an earlier try, to find out its outcome.'),
]
DryRun = Annotated[
    bool,
    typer.Option(help='Check against the site, but change nothing.'),
]
Base = Annotated[
    int | None,
    typer.Option(help='Generation that the file was edited from.'),
]


def check(
    file: Annotated[
        list[pathlib.Path],
        typer.Option('--file', '-f', help='A file, or a folder of them.'),
    ],
    more: Annotated[
        list[pathlib.Path] | None,
        typer.Argument(help='Further files, checked in this order.'),
    ] = None,
) -> None:
    """Check files together, in order; nothing is sent anywhere."""
    from ..protocol.files import parse_file

    paths = _list_paths([*file, *(more or [])])
    held = {}
    texts = {}
    problems: list[str] = []
    for path in paths:
        text = path.read_text()
        checked = parse_file(text, str(path), held, texts=texts)
        if isinstance(checked, Failure):
            problems += [str(problem) for problem in checked.failure()]
        # An invalid file still declares names that later files refer to.
        alone = parse_file(text, str(path), held, alone=True)
        if isinstance(alone, Success):
            held[alone.unwrap().name] = alone.unwrap()
            texts[alone.unwrap().name] = text
    if problems:
        exit_with_problems(list(dict.fromkeys(problems)))
    for path in paths:
        typer.echo(f'{path}: valid')


def apply(
    file: File,
    server: Server,
    token: Token,
    dry_run: DryRun = False,
    base: Base = None,
    apply_id: ApplyId = '',
) -> None:
    """Apply a file as a whole."""
    text = file.read_text()
    name = _read_name(text, str(file))
    _submit(
        server,
        token,
        name,
        {'text': text, 'source': str(file), 'dry_run': dry_run},
        base,
        apply_id,
    )


def remove(
    name: Name,
    server: Server,
    token: Token,
    dry_run: DryRun = False,
    base: Base = None,
    apply_id: ApplyId = '',
) -> None:
    """Remove a file and all that it declares."""
    fields = {'remove': name, 'dry_run': dry_run}
    _submit(server, token, name, fields, base, apply_id)


def rollback(
    name: Name,
    to: Annotated[int, typer.Option(help='Generation to go back to.')],
    server: Server,
    token: Token,
    dry_run: DryRun = False,
    base: Base = None,
    apply_id: ApplyId = '',
) -> None:
    """Apply the text of an earlier generation as a new one."""
    path = f'/operator/history/{quote_name(name)}/{to}'
    earlier = call_instance(server, token, 'GET', path)
    fields: Fields = {'dry_run': dry_run, 'source': f'{name} generation {to}'}
    if earlier['row']['digest']:
        fields['text'] = earlier['text']
    else:
        fields['remove'] = name
    _submit(server, token, name, fields, base, apply_id)


def diff(file: File, server: Server, token: Token) -> None:
    """Show how a file differs from what is in force under its name."""
    text = file.read_text()
    name = _read_name(text, str(file))
    held = _fetch_current(server, token, name)
    lines = difflib.unified_diff(
        str(held.get('text', '')).splitlines(keepends=True),
        text.splitlines(keepends=True),
        f'{name} (generation {held.get("generation", 0)})',
        str(file),
    )
    typer.echo(''.join(lines), nl=False)


def get(
    server: Server,
    token: Token,
    name: Annotated[str, typer.Argument(help='Name of the file.')] = '',
    generation: Annotated[
        int | None,
        typer.Option(help='An earlier generation.'),
    ] = None,
) -> None:
    """Print a file in force, or an earlier generation, or list the files."""
    if name and generation is not None:
        path = f'/operator/history/{quote_name(name)}/{generation}'
        typer.echo(call_instance(server, token, 'GET', path)['text'], nl=False)
        return
    if name:
        path = f'/operator/files/{quote_name(name)}'
        typer.echo(call_instance(server, token, 'GET', path)['text'], nl=False)
        return
    listed = call_instance(server, token, 'GET', '/operator/files')
    for item in listed['files']:
        typer.echo(
            f'{item["name"]:30} generation {item["generation"]:5} '
            f'revision {item["revision"]}',
        )
    for item in listed['pending']:
        typer.echo(
            f'{item["name"]:30} generation {item["generation"]:5} '
            f'not in force: {item["reason"]}',
        )


def history(name: Name, server: Server, token: Token) -> None:
    """List every accepted change of a file, oldest first."""
    path = f'/operator/history/{quote_name(name)}'
    listed = call_instance(server, token, 'GET', path)
    for row in listed['history']:
        typer.echo(
            f'generation {row["generation"]:5} revision {row["revision"]:6} '
            f'{row["time"]} by {row["author"]}, apply id {row["apply_id"]}'
            f'{"" if row["digest"] else ", removed"}',
        )


def _submit(
    server: str,
    token: str,
    name: str,
    fields: Fields,
    base: int | None,
    apply_id: str,
) -> None:
    if base is None:
        base = int(_fetch_current(server, token, name).get('generation', 0))
    chosen_id = apply_id or uuid.uuid4().hex
    # Printed before the call, since its answer may be lost.
    typer.echo(f'apply id {chosen_id}, base generation {base}', err=True)
    body = {**fields, 'base_generation': base, 'apply_id': chosen_id}
    answer = call_instance(server, token, 'POST', '/operator/apply', body)
    verb = 'would become' if fields['dry_run'] else 'accepted as'
    typer.echo(
        f'{answer["name"]}: {verb} generation {answer["generation"]}, '
        f'revision {answer["revision"]}',
    )


def _list_paths(given: list[pathlib.Path]) -> list[pathlib.Path]:
    paths: list[pathlib.Path] = []
    for path in given:
        files = sorted(path.glob('*.yaml')) if path.is_dir() else [path]
        paths.extend(files)
    missing = [str(path) for path in paths if not path.is_file()]
    if missing or not paths:
        exit_with_problems(
            [f'{path}: no such file' for path in missing or given]
        )
    return paths


def _read_name(text: str, source: str) -> str:
    from ..protocol.documents import read_document

    document = read_document(text, source)
    if isinstance(document, Failure):
        exit_with_problems([str(problem) for problem in document.failure()])
    content = document.unwrap().content
    if not isinstance(content, dict) or not isinstance(
        content.get('name'), str
    ):
        exit_with_problems([f'{source}:1: $.name: required, but missing'])
    return content['name']


def _fetch_current(server: str, token: str, name: str) -> Fields:
    return call_instance(
        server,
        token,
        'GET',
        f'/operator/files/{quote_name(name)}',
        allow_missing=True,
    )
