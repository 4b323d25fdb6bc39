"""One instance of the routed interface as a process.

An instance is started again within a second or so of being killed, often on a
small machine beside many others: this module imports nothing that only the
command line or the other interface needs.
"""

import os
import pathlib
import signal

from ..coordination.ingress.reloading import SettingsHolder
from ..platform.node import create_node
from ..platform.settings import SETTINGS_VARIABLE, load_node_settings
from .processes import require_settings, run_node, run_until_ended
from .structured import configure_structured_logging

__all__ = ['serve_routed']


def serve_routed(settings: pathlib.Path | None = None) -> int:
    """Serve by a settings file until SIGTERM.

    Without a path, the environment names the file.

    Returns
    -------
    int
        Calls that the stop interrupted.
    """
    # The platform may change the settings file and send SIGHUP before the
    # handler is installed; the default action would end the process.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    path = settings or pathlib.Path(os.environ.get(SETTINGS_VARIABLE, ''))
    loaded = require_settings(load_node_settings(path))
    holder = SettingsHolder(loaded, lambda: load_node_settings(path))
    log_writer = configure_structured_logging(loaded.instance)
    try:
        return run_until_ended(run_node(create_node(holder)))
    finally:
        log_writer.stop()
