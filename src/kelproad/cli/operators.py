"""Operator commands for instances: status, dump, explain, drain."""

import json
import pathlib
from typing import Annotated

import typer

from .client import Fields, Server, Token, call_instance
from .requestlog import read_request_events

__all__ = ['drain', 'dump', 'explain', 'status']


def status(server: Server, token: Token) -> None:
    """Show zones, instances, endpoints and revisions."""
    answer = call_instance(server, token, 'GET', '/operator/status')
    freshness = _format_age(answer['configuration_age'])
    typer.echo(
        f'{answer["instance"]} in {answer["zone"]}: '
        f'revision {answer["revision"]}, {freshness}',
    )
    for zone in answer['zones']:
        typer.echo(
            f'  zone     {zone["zone"]:20} revision {zone["lowest_revision"]} '
            f'in force at all {zone["instances"]} instances'
            f'{_format_lagging(zone)}',
        )
    for member in answer['members']:
        confirmed = _format_age(member['age'])
        typer.echo(
            f'  instance {member["name"]:20} {member["zone"]:12} '
            f'revision {member["revision"]:5} {confirmed}'
            f'{", leaving" if member["draining"] else ""}'
            f'{_format_reason(member)}',
        )
    for item in answer['pending']:
        typer.echo(
            f'  file     {item["name"]:20} generation {item["generation"]} '
            f'is not in force here: {item["reason"]}',
        )
    _show_orders(answer['orders'])
    for endpoint in answer['endpoints']:
        typer.echo(
            f'  endpoint {endpoint["name"]:20} {endpoint["zone"]:12} '
            f'{endpoint["own_requests"]:3} requests from here'
            f'{", leaving" if endpoint["leaving"] else ""}'
            f'{"" if endpoint["report"] else ", no report"}',
        )


def dump(server: Server, token: Token) -> None:
    """Print the whole state of a process as JSON."""
    typer.echo(
        json.dumps(
            call_instance(server, token, 'GET', '/operator/dump'), indent=2
        )
    )


def explain(
    request_id: Annotated[str, typer.Argument(help='Id of the request.')],
    server: Server = '',
    token: Token = '',
    log: Annotated[
        list[pathlib.Path] | None,
        typer.Option(help='Log of an instance; may be given several times.'),
    ] = None,
    around: Annotated[
        bool,
        typer.Option(
            help='With --log, show what its instances told of themselves too.'
        ),
    ] = False,
) -> None:
    """Explain why a request went where it went, or was refused.

    With --log the events are read from logs, which works after the instance
    has exited too; without it, an instance is queried.
    """
    if log:
        _explain_by_logs(request_id, log, around)
        return
    decision = call_instance(
        server, token, 'GET', f'/operator/explain/{request_id}'
    )
    typer.echo(json.dumps(decision, indent=2))


def _explain_by_logs(
    request_id: str, paths: list[pathlib.Path], around: bool
) -> None:
    lines = read_request_events(request_id, paths, around)
    if not lines:
        typer.echo(f'no line about {request_id}', err=True)
        raise typer.Exit(1)
    for line in lines:
        typer.echo(line.tell(lines[0].at))


def drain(server: Server, token: Token) -> None:
    """Begin a planned stop of the instance."""
    call_instance(server, token, 'POST', '/operator/drain', {})
    typer.echo('draining')


def _format_age(age: float | None) -> str:
    return 'never confirmed' if age is None else f'confirmed {age:.1f} s ago'


def _format_lagging(zone: Fields) -> str:
    lagging = zone['lagging']
    return f', see {", ".join(lagging)}' if lagging else ''


def _format_reason(member: Fields) -> str:
    if not member['reason']:
        return ''
    return f': {member["behind"]} behind, {member["reason"]}'


def _show_orders(orders: Fields) -> None:
    if not orders['holder']:
        return
    held = orders['held_here_for']
    where = 'here' if held else f'by {orders["holder"]}, as last seen'
    typer.echo(f'  orders   given {where}, token {orders["token"]}')
    for endpoint, note in orders['engines'].items():
        typer.echo(f'  orders   {endpoint:20} {note}')
    for item in orders['stopped']:
        typer.echo(
            f'  orders   rollout of {item["model"]} {item["version"]} '
            f'stopped, it fails (file of revision {item["generation"]})',
        )
