"""The operators' verbs: check, apply, diff, get, status, dump and others."""

import difflib
import json
import pathlib
import uuid
from typing import Annotated
from urllib import error, request

import typer
from returns.result import Failure

__all__ = [
    'apply',
    'check',
    'diff',
    'drain',
    'dump',
    'explain',
    'get',
    'status',
]

_EXIT_REFUSED = 1
_EXIT_INVALID = 2
_NOT_FOUND = 404
_TIMEOUT = 15.0

Fields = dict[str, object]
File = Annotated[pathlib.Path, typer.Option('--file', '-f', help='The file.')]
Server = Annotated[
    str,
    typer.Option(
        envvar='KELPROAD_SERVER',
        help='IP:port of the operator side of any instance.',
    ),
]
Token = Annotated[
    str,
    typer.Option(envvar='KELPROAD_TOKEN', help="The operator's token."),
]


def check(file: File) -> None:
    """Check a file on its own; nothing is sent anywhere."""
    from ..protocol.files import parse_file

    parsed = parse_file(file.read_text(), str(file), {})
    if isinstance(parsed, Failure):
        _show_problems([str(problem) for problem in parsed.failure()])
    typer.echo(f'{file}: valid')


def apply(
    file: File,
    server: Server,
    token: Token,
    dry_run: Annotated[
        bool,
        typer.Option(help='Check against the site, but change nothing.'),
    ] = False,
    base: Annotated[
        int | None,
        typer.Option(help='Generation that the file was edited from.'),
    ] = None,
    apply_id: Annotated[
        str,
        typer.Option(help='Id of an earlier try, to find out its outcome.'),
    ] = '',
) -> None:
    """Apply a file as a whole."""
    text = file.read_text()
    if base is None:
        base = _read_generation(server, token, _read_name(text, str(file)))
    answer = _call(
        server,
        token,
        'POST',
        '/operator/apply',
        {
            'text': text,
            'source': str(file),
            'base_generation': base,
            'apply_id': apply_id or uuid.uuid4().hex,
            'dry_run': dry_run,
        },
    )
    verb = 'would become' if dry_run else 'accepted as'
    typer.echo(
        f'{answer["name"]}: {verb} generation {answer["generation"]}, '
        f'revision {answer["revision"]}',
    )


def diff(file: File, server: Server, token: Token) -> None:
    """Show how a file differs from what is in force under its name."""
    text = file.read_text()
    name = _read_name(text, str(file))
    held = _call(server, token, 'GET', f'/operator/files/{name}', missing={})
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
) -> None:
    """Print a file in force, or list the files."""
    if name:
        held = _call(server, token, 'GET', f'/operator/files/{name}')
        typer.echo(held['text'], nl=False)
        return
    listed = _call(server, token, 'GET', '/operator/files')
    for item in listed['files']:
        typer.echo(
            f'{item["name"]:30} generation {item["generation"]:5} '
            f'revision {item["revision"]}',
        )


def status(server: Server, token: Token) -> None:
    """Show zones, instances, endpoints and revisions."""
    seen = _call(server, token, 'GET', '/operator/status')
    age = seen['configuration_age']
    known = 'never confirmed' if age is None else f'confirmed {age:.1f} s ago'
    typer.echo(
        f'{seen["instance"]} in {seen["zone"]}: '
        f'revision {seen["revision"]}, {known}',
    )
    for member in seen['members']:
        typer.echo(
            f'  instance {member["name"]:20} {member["zone"]:12} '
            f'revision {member["revision"]:5} '
            f'heard {member["heard_ago"]:.1f} s ago'
            f'{", leaving" if member["draining"] else ""}',
        )
    for endpoint in seen['endpoints']:
        typer.echo(
            f'  endpoint {endpoint["name"]:20} {endpoint["zone"]:12} '
            f'{endpoint["own_requests"]:3} requests from here'
            f'{", leaving" if endpoint["leaving"] else ""}'
            f'{"" if endpoint["report"] else ", no report"}',
        )


def dump(server: Server, token: Token) -> None:
    """Print the whole state of a process as JSON."""
    typer.echo(
        json.dumps(_call(server, token, 'GET', '/operator/dump'), indent=2)
    )


def explain(
    request_id: Annotated[str, typer.Argument(help='Id of the request.')],
    server: Server,
    token: Token,
) -> None:
    """Tell why a request went where it went, or was refused."""
    decision = _call(server, token, 'GET', f'/operator/explain/{request_id}')
    typer.echo(json.dumps(decision, indent=2))


def drain(server: Server, token: Token) -> None:
    """Begin a planned stop of the instance."""
    _call(server, token, 'POST', '/operator/drain', {})
    typer.echo('draining')


def _read_name(text: str, source: str) -> str:
    from ..protocol.documents import read_document

    document = read_document(text, source)
    if isinstance(document, Failure):
        _show_problems([str(problem) for problem in document.failure()])
    content = document.unwrap().content
    if not isinstance(content, dict) or not isinstance(
        content.get('name'), str
    ):
        _show_problems([f'{source}:1: $.name: required, but missing'])
    return content['name']


def _read_generation(server: str, token: str, name: str) -> int:
    held = _call(server, token, 'GET', f'/operator/files/{name}', missing={})
    return int(held.get('generation', 0))


def _show_problems(problems: list[str]) -> None:
    for problem in problems:
        typer.echo(problem, err=True)
    raise typer.Exit(_EXIT_INVALID)


def _call(
    server: str,
    token: str,
    method: str,
    path: str,
    body: Fields | None = None,
    missing: Fields | None = None,
) -> Fields:
    """Call an instance; a refusal ends the program with its message."""
    call = request.Request(  # noqa: S310  the scheme is fixed here
        f'http://{server}{path}',
        data=None if body is None else json.dumps(body).encode(),
        headers={'Authorization': f'Bearer {token}'},
        method=method,
    )
    opener = request.build_opener(request.ProxyHandler({}))
    try:
        with opener.open(call, timeout=_TIMEOUT) as response:
            return json.load(response)
    except error.HTTPError as failure:
        if failure.code == _NOT_FOUND and missing is not None:
            return missing
        _show_refusal(json.load(failure))
    except OSError as failure:
        typer.echo(f'{server} cannot be reached: {failure}', err=True)
    raise typer.Exit(_EXIT_REFUSED)


def _show_refusal(answer: Fields) -> None:
    problems = answer.get('problems')
    if problems:
        _show_problems(problems)
    refused = answer['error']
    typer.echo(
        f'refused ({refused["code"]}): {refused["message"]}',
        err=True,
    )
