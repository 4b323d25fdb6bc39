"""Serve from what the build left under target/; options are those of ``serve``.

Other verbs of the command line aren't imported: an instance that was killed is
back a quarter of a second sooner.
"""

import pathlib
import signal
import sys

import typer

# The platform may send SIGHUP from the first moment on, and the default action
# ends the process; ``serve`` installs what reads the settings again.
signal.signal(signal.SIGHUP, signal.SIG_IGN)
_ROOT = pathlib.Path(__file__).resolve().parent.parent
sys.path.insert(0, str(_ROOT / 'target' / 'app'))

from kelproad.cli.serve import serve  # noqa: E402  needs the path above

typer.run(serve)
