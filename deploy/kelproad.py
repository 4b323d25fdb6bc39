"""Run ``kelproad serve`` from the build output under target/.

The options are those of ``serve``.  Other commands aren't imported, which lets
an instance restart a quarter of a second sooner after it was killed.
"""

import pathlib
import signal
import sys

import typer

# The platform may send SIGHUP as soon as the process exists, and the default
# action ends it; ``serve`` installs the handler that reloads the settings.
signal.signal(signal.SIGHUP, signal.SIG_IGN)
_ROOT = pathlib.Path(__file__).resolve().parent.parent
sys.path.insert(0, str(_ROOT / 'target' / 'app'))

from kelproad.cli.serve import serve  # noqa: E402  needs the path above

typer.run(serve)
