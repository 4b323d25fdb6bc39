"""``kelproad load``: open-loop load with prompts of widely varying length."""

import asyncio
import json
import pathlib
from typing import Annotated

import typer

__all__ = ['load']


def load(
    server: Annotated[
        list[str],
        typer.Option(
            help='IP:port of the caller side; several share the load.'
        ),
    ],
    key: Annotated[
        str,
        typer.Option(envvar='KELPROAD_KEY', help='API key of a workspace.'),
    ],
    model: Annotated[str, typer.Option(help='Model to ask for.')],
    seconds: Annotated[float, typer.Option(help='How long to send.')] = 20.0,
    rate: Annotated[float, typer.Option(help='Requests a second.')] = 20.0,
    seed: Annotated[int, typer.Option(help='Seed of arrivals, lengths.')] = 1,
    longest: Annotated[int, typer.Option(help='Longest prompt, tokens.')] = (
        300_000
    ),
    deadline: Annotated[float, typer.Option(help='Seconds a request.')] = 30.0,
    output: Annotated[
        pathlib.Path | None,
        typer.Option(help='File for the result as JSON.'),
    ] = None,
    quiet: Annotated[bool, typer.Option(help='No progress lines.')] = False,
) -> None:
    """Send requests at a rate, whatever the answers do, and report."""
    from .loadgen import LoadPlan, run_load
    from .loadreport import format_table

    plan = LoadPlan(
        servers=server,
        key=key,
        model=model,
        seconds=seconds,
        rate=rate,
        seed=seed,
        longest=longest,
        deadline=deadline,
    )
    report = asyncio.run(run_load(plan, None if quiet else typer.echo))
    if output is not None:
        output.write_text(json.dumps(report.to_fields(), indent=2))
    typer.echo(format_table(report))
