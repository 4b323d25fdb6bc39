"""``kelproad serve``: run one instance until it is signalled to stop."""

import asyncio
import logging
import os
import pathlib
import signal
import sys
from collections.abc import Sequence
from typing import Annotated, NoReturn

import typer
from returns.result import Failure, Result

__all__ = ['serve']

_EXIT_INVALID = 2
#: Signals that are ignored once the instance has stopped.
_SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)


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
        left = _serve_platform(settings)
    elif settings is None:
        typer.echo('--settings or --platform is needed', err=True)
        raise typer.Exit(_EXIT_INVALID)
    else:
        left = _serve_standalone(settings)
    # ``left`` counts the calls that the stop interrupted.
    _end_process(1 if left else 0)


def _serve_standalone(settings: pathlib.Path) -> int:
    from ..coordination.instance import Instance
    from ..protocol.settings import load_settings
    from .logs import configure_logging

    loaded = _require(load_settings(settings, os.environ))
    configure_logging(loaded)
    return asyncio.run(_run(Instance(loaded)))


def _serve_platform(settings: pathlib.Path | None) -> int:
    from ..coordination.ingress.reloading import SettingsHolder
    from ..platform.node import create_node
    from ..platform.settings import SETTINGS_VARIABLE, load_node_settings
    from .structured import configure_structured_logging

    # The platform may change the settings file and send SIGHUP before the
    # handler is installed; the default action would end the process.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    path = settings or pathlib.Path(os.environ.get(SETTINGS_VARIABLE, ''))
    loaded = _require(load_node_settings(path))
    holder = SettingsHolder(loaded, lambda: load_node_settings(path))
    log_writer = configure_structured_logging(loaded.instance)
    try:
        return asyncio.run(_run_node(create_node(holder)))
    finally:
        log_writer.stop()


def _require(loaded: Result[object, Sequence[object]]) -> object:
    """Return the settings, or print their problems and exit."""
    if isinstance(loaded, Failure):
        for problem in loaded.failure():
            typer.echo(str(problem), err=True)
        raise typer.Exit(_EXIT_INVALID)
    return loaded.unwrap()


async def _run(instance: object) -> int:
    await instance.start()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, instance.start_drain)
    try:
        return await instance.run_until_drained()
    finally:
        await instance.stop()
        _ignore_signals(loop)


def _ignore_signals(loop: asyncio.AbstractEventLoop) -> None:
    """Ignore further signals until the process ends.

    Closing the loop restores their default actions, so a SIGTERM or SIGHUP
    repeated in the last 0.05 to 0.15 s of a stop would end the process with
    exit code -15 or -1, and a clean stop would look like a crash.
    """
    for number in _SIGNALS:
        loop.remove_signal_handler(number)
        signal.signal(number, signal.SIG_IGN)


def _end_process(status: int) -> NoReturn:
    """End the process at once, after flushing the log.

    Everything is closed by now.  Finalizing the interpreter would take another
    0.2 s, on a busy machine over a second, so that a stop that finished in time
    could still end by SIGKILL.
    """
    logging.shutdown()
    sys.stdout.flush()
    sys.stderr.flush()
    os._exit(status)  # noqa: WPS437  skips finalization of the interpreter


async def _run_node(node: object) -> int:
    """Run an instance that reloads its settings file on SIGHUP."""
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGHUP, node.reload)
    return await _run(node)
