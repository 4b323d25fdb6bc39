"""The demo: a whole site on loopback under a mixed load, then its results."""

import os
import pathlib
import subprocess
import sys
import tempfile

REPOSITORY = pathlib.Path(__file__).resolve().parent.parent
sys.path.insert(0, str(REPOSITORY))

from testbed.site import Site, SitePlan, start_site  # noqa: E402

_SECONDS = '20'
_RATE = '24'


def main() -> int:
    """Run the demo and return the exit code."""
    plan = SitePlan(
        example=REPOSITORY / 'examples' / 'roadgrip',
        instances_per_zone=3,
        engine_settings={'time_scale': 10.0},
    )
    with tempfile.TemporaryDirectory() as directory:
        print('starting platform, engines, services and instances ...')
        with start_site(plan, pathlib.Path(directory)) as site:
            print(
                f'{len(site.instances)} instances in 3 availability zones '
                f'before {len(site.endpoints)} endpoints; '
                f'sending a mixed load for {_SECONDS} s',
            )
            code = _run_load(site)
    print('everything stopped')
    return code


def _run_load(site: Site) -> int:
    servers = [part for at in site.callers for part in ('--server', at)]
    return subprocess.run(
        [
            sys.executable,
            '-m',
            'kelproad',
            'load',
            *servers,
            '--model',
            'roadgrip-report',
            '--seconds',
            _SECONDS,
            '--rate',
            _RATE,
        ],
        check=False,
        env={**os.environ, 'KELPROAD_KEY': 'example-key-crews-colombo'},
    ).returncode


if __name__ == '__main__':
    sys.exit(main())
