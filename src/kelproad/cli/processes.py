"""The life of an instance's process: its run, its signals and its end."""

import asyncio
import gc
import logging
import os
import signal
import sys
from collections.abc import Coroutine, Sequence
from typing import NoReturn

from returns.result import Failure, Result

__all__ = [
    'EXIT_INVALID',
    'end_process',
    'require_settings',
    'run_instance',
    'run_node',
    'run_until_ended',
]

#: Exit code for settings or options that cannot be served by.
EXIT_INVALID = 2
#: Signals that are ignored once the instance has stopped.
_SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)


def require_settings(loaded: Result[object, Sequence[object]]) -> object:
    """Return the settings, or print their problems and exit."""
    if isinstance(loaded, Failure):
        for problem in loaded.failure():
            sys.stderr.write(f'{problem}\n')
        sys.exit(EXIT_INVALID)
    return loaded.unwrap()


class _SignalKeepingLoop(asyncio.SelectorEventLoop):
    """An event loop that restores no default actions of signals.

    The first signal after that would end the process.
    """

    def remove_signal_handler(self, sig: int) -> bool:
        """Leave the action of a signal as it is."""
        return False


def run_until_ended(main: Coroutine[None, None, int]) -> int:
    """Run an instance in an event loop; return what it returns."""
    with asyncio.Runner(loop_factory=_SignalKeepingLoop) as runner:
        return runner.run(main)


async def run_instance(instance: object) -> int:
    """Run an instance until SIGTERM; return the calls that were cut off."""
    # What was imported lasts as long as the process.  Each full collection
    # would search it anew, and hold the event loop for tens of milliseconds.
    gc.freeze()
    await instance.start()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, instance.start_drain)
    try:
        return await instance.run_until_drained()
    finally:
        await instance.stop()
        _ignore_signals()


async def run_node(node: object) -> int:
    """Run an instance that reloads its settings file on SIGHUP."""
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGHUP, node.reload)
    return await run_instance(node)


def end_process(status: int) -> NoReturn:
    """End the process at once, after flushing the log.

    Everything is closed by now.  Finalizing the interpreter would take another
    0.2 s, on a busy machine over a second, so that a stop that finished in time
    could still end by SIGKILL.
    """
    logging.shutdown()
    sys.stdout.flush()
    sys.stderr.flush()
    os._exit(status)  # noqa: WPS437  skips finalization of the interpreter


def _ignore_signals() -> None:
    """Ignore further signals until the process ends.

    Their default actions would end the process with exit code -15 or -1, and a
    clean stop would look like a crash.
    """
    for number in _SIGNALS:
        signal.signal(number, signal.SIG_IGN)
