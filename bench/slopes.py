"""Resource use of each part of an instance, measured at several sizes.

``docs/CAPACITY.md`` extrapolates from these slopes to full size.  All
measurements run on one machine with small stand-ins, within minutes.
"""

import argparse
import sys

from .slopes_detection import measure_detection
from .slopes_gossip import measure_gossip
from .slopes_members import measure_members
from .slopes_streams import measure_idle, measure_streams
from .slopes_tables import measure_endpoints, measure_workspaces

__all__ = ['main']

_MEMBER_COUNTS = (3, 9, 24, 48)
_DETECTION_COUNTS = (9, 24, 48)
_IDLE_ENGINE_COUNTS = (1, 11, 23)
_GOSSIP_COUNTS = (9, 48, 205, 410)
_ENDPOINT_COUNTS = (25, 250, 1000, 4600)
_WORKSPACE_COUNTS = (10, 100, 500, 2100)
_STREAM_COUNTS = (1, 40, 400, 2000)


def main() -> int:
    """Measure all parts, or those of ``--only``; print a line per figure."""
    parts = {
        'idle': lambda: measure_idle(list(_IDLE_ENGINE_COUNTS)),
        'endpoints': lambda: measure_endpoints(list(_ENDPOINT_COUNTS)),
        'workspaces': lambda: measure_workspaces(list(_WORKSPACE_COUNTS)),
        'gossip': lambda: measure_gossip(list(_GOSSIP_COUNTS)),
        'members': lambda: measure_members(list(_MEMBER_COUNTS)),
        'detection': lambda: measure_detection(list(_DETECTION_COUNTS)),
        'streams': lambda: measure_streams(list(_STREAM_COUNTS)),
    }
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--only', choices=list(parts), action='append')
    selected = parser.parse_args().only or list(parts)
    for part in selected:
        for row in parts[part]():
            print(row, flush=True)
    return 0


if __name__ == '__main__':
    sys.exit(main())
