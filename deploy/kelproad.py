"""Run an instance of the routed interface from the build output in target/.

It does what ``kelproad serve --platform`` does, and starts in half the
processor time.
"""

import gc
import os
import pathlib
import signal
import sys

# The platform may send SIGHUP as soon as the process exists, and the default
# action ends it; the handler that reloads the settings is installed later.
signal.signal(signal.SIGHUP, signal.SIG_IGN)
# The HTTP library reads all certificate authorities of the machine when it is
# imported; the routed interface verifies no certificate.
for variable in ('SSL_CERT_FILE', 'SSL_CERT_DIR'):
    os.environ.setdefault(variable, os.devnull)
_ROOT = pathlib.Path(__file__).resolve().parent.parent
sys.path.insert(0, str(_ROOT / 'target' / 'app'))

# What is imported stays for the life of the process, so that collecting
# garbage meanwhile, or among it later, finds nothing.
gc.disable()
from kelproad.cli.processes import end_process  # noqa: E402  needs the path
from kelproad.cli.routed import serve_routed  # noqa: E402  needs the path

gc.freeze()
gc.enable()
end_process(1 if serve_routed() else 0)
