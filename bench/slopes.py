"""Slopes: what each part of an instance takes, measured at several sizes.

``docs/CAPACITY.md`` works out the figures at full size from these.  All run on
one machine with small stand-ins, in minutes.
"""

import argparse
import sys

from .slopes_detection import measure_detection
from .slopes_gossip import measure_gossip
from .slopes_members import measure_members
from .slopes_streams import measure_idle, measure_streams
from .slopes_tables import measure_endpoints, measure_workspaces

__all__ = ['main']

_MEMBERS = (3, 9, 24, 48)
_DETECTING = (9, 24, 48)
_WATCHED = (1, 11, 23)
_KNOWN = (9, 48, 205, 410)
_ENDPOINTS = (25, 250, 1000, 4600)
_WORKSPACES = (10, 100, 500, 2100)
_STREAMS = (1, 40, 400, 2000)


def main() -> int:
    """Measure the parts asked for and print one line a figure."""
    parts = {
        'idle': lambda: measure_idle(list(_WATCHED)),
        'endpoints': lambda: measure_endpoints(list(_ENDPOINTS)),
        'workspaces': lambda: measure_workspaces(list(_WORKSPACES)),
        'gossip': lambda: measure_gossip(list(_KNOWN)),
        'members': lambda: measure_members(list(_MEMBERS)),
        'detection': lambda: measure_detection(list(_DETECTING)),
        'streams': lambda: measure_streams(list(_STREAMS)),
    }
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--only', choices=list(parts), action='append')
    wanted = parser.parse_args().only or list(parts)
    for part in wanted:
        for row in parts[part]():
            print(row, flush=True)
    return 0


if __name__ == '__main__':
    sys.exit(main())
