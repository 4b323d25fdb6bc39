"""HTTP client of the operator commands."""

import json
from typing import Annotated
from urllib import error, request
from urllib.parse import quote

import typer

__all__ = [
    'Fields',
    'Server',
    'Token',
    'call_instance',
    'quote_name',
    'exit_with_problems',
]

#: Exit status when the instance refuses the call or cannot be reached.
_EXIT_REFUSED = 1
#: Exit status when the input is invalid.
_EXIT_INVALID = 2
_NOT_FOUND = 404
#: Seconds to wait for the connection, and for each read of the answer.
_TIMEOUT = 15.0

#: A decoded JSON object.
Fields = dict[str, object]
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


def call_instance(
    server: str,
    token: str,
    method: str,
    path: str,
    body: Fields | None = None,
    allow_missing: bool = False,
) -> Fields:
    """Call an instance and return the JSON object that it answers with.

    Parameters
    ----------
    allow_missing
        Return the body of an answer with status 404 as well.

    Raises
    ------
    typer.Exit
        If the instance refuses the call or cannot be reached; the reason is
        printed to standard error.
    """
    http_request = request.Request(  # noqa: S310  the scheme is fixed here
        f'http://{server}{path}',
        data=None if body is None else json.dumps(body).encode(),
        headers={'Authorization': f'Bearer {token}'},
        method=method,
    )
    opener = request.build_opener(request.ProxyHandler({}))
    try:
        with opener.open(http_request, timeout=_TIMEOUT) as response:
            return json.load(response)
    except error.HTTPError as failure:
        answer = json.load(failure)
        if failure.code == _NOT_FOUND and allow_missing:
            return answer
        _show_refusal(answer)
    except OSError as failure:
        typer.echo(f'{server} cannot be reached: {failure}', err=True)
        if method == 'POST':
            typer.echo(
                'the outcome is unknown; repeat the command, '
                'with the same --apply-id if it has one',
                err=True,
            )
    raise typer.Exit(_EXIT_REFUSED)


def quote_name(name: str) -> str:
    """Quote a name for use as one segment of a URL path."""
    return quote(name, safe='')


def exit_with_problems(problems: list[str]) -> None:
    """Print problems to standard error and exit with status 2."""
    for problem in problems:
        typer.echo(problem, err=True)
    raise typer.Exit(_EXIT_INVALID)


def _show_refusal(answer: Fields) -> None:
    problems = answer.get('problems')
    if problems:
        exit_with_problems(problems)
    refused = answer['error']
    typer.echo(
        f'refused ({refused["code"]}): {refused["message"]}',
        err=True,
    )
    for row in answer.get('meanwhile', []):
        typer.echo(
            f'  generation {row["generation"]} by {row["author"]} '
            f'at {row["time"]}, apply id {row["apply_id"]}',
            err=True,
        )
    if answer.get('difference'):
        typer.echo(answer['difference'], err=True, nl=False)
