"""``kelproad serve``: run one instance until it is signalled to stop."""

import os
import pathlib
from typing import Annotated

import typer

from .processes import (
    EXIT_INVALID,
    end_process,
    require_settings,
    run_instance,
    run_until_ended,
)

__all__ = ['serve']


def serve(
    settings: Annotated[
        pathlib.Path | None,
        typer.Option(help='Settings file.'),
    ] = None,
    platform: Annotated[
        bool,
        typer.Option(help="Serve routes by the platform's settings file."),
    ] = False,
) -> None:
    """Serve callers until SIGTERM, then finish what is in progress."""
    if platform:
        from .routed import serve_routed

        interrupted = serve_routed(settings)
    elif settings is None:
        typer.echo('--settings or --platform is needed', err=True)
        raise typer.Exit(EXIT_INVALID)
    else:
        interrupted = _serve_standalone(settings)
    end_process(1 if interrupted else 0)


def _serve_standalone(settings: pathlib.Path) -> int:
    from ..coordination.instance import Instance
    from ..protocol.settings import load_settings
    from .logs import configure_logging

    loaded = require_settings(load_settings(settings, os.environ))
    configure_logging(loaded)
    return run_until_ended(run_instance(Instance(loaded)))
