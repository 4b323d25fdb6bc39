"""``kelproad serve``: one entry instance until it is told to stop."""

import asyncio
import os
import pathlib
import signal
from typing import Annotated

import typer
from returns.result import Failure

__all__ = ['serve']

_EXIT_INVALID = 2


def serve(
    settings: Annotated[pathlib.Path, typer.Option(help='Settings file.')],
) -> None:
    """Serve callers until SIGTERM, then finish what is in progress."""
    from ..protocol.settings import load_settings
    from .logs import configure_logging

    loaded = load_settings(settings, os.environ)
    if isinstance(loaded, Failure):
        for problem in loaded.failure():
            typer.echo(str(problem), err=True)
        raise typer.Exit(_EXIT_INVALID)
    configure_logging(loaded.unwrap())
    left = asyncio.run(_serve(loaded.unwrap()))
    raise typer.Exit(1 if left else 0)


async def _serve(settings: object) -> int:
    from ..coordination.instance import Instance

    instance = Instance(settings)
    await instance.start()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, instance.start_drain)
    try:
        return await instance.run_until_drained()
    finally:
        await instance.stop()
