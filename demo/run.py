"""Demo: a complete site on loopback under a mixed load, then its results.

``demo/run.py lagosta`` runs the Lagosta example instead of Roadgrip's.
"""

import os
import pathlib
import subprocess
import sys
import tempfile
import types

REPOSITORY = pathlib.Path(__file__).resolve().parent.parent
sys.path.insert(0, str(REPOSITORY))

from testbed.site import Site, SitePlan, start_site  # noqa: E402

_MODELS_AND_KEYS = types.MappingProxyType(
    {
        'roadgrip': ('roadgrip-report', 'example-key-crews-colombo'),
        'lagosta': ('lagosta-keeper', 'example-key-pounds-fortaleza'),
    },
)
_SECONDS = '20'
_RATE = '24'


def main(example: str = 'roadgrip') -> int:
    """Run the demo of an example and return the exit code."""
    plan = SitePlan(
        example=REPOSITORY / 'examples' / example,
        instances_per_zone=3,
        engine_settings={'time_scale': 10.0},
    )
    with tempfile.TemporaryDirectory() as directory:
        print('starting platform, engines, services and instances ...')
        with start_site(plan, pathlib.Path(directory)) as site:
            print(
                f'{len(site.instances)} instances in 3 availability zones '
                f'in front of {len(site.endpoints)} endpoints; '
                f'sending a mixed load for {_SECONDS} s',
            )
            code = _run_load(site, *_MODELS_AND_KEYS[example])
    print('all processes stopped')
    return code


def _run_load(site: Site, model: str, key: str) -> int:
    servers = [part for at in site.callers for part in ('--server', at)]
    return subprocess.run(
        [
            sys.executable,
            '-m',
            'kelproad',
            'load',
            *servers,
            '--model',
            model,
            '--seconds',
            _SECONDS,
            '--rate',
            _RATE,
        ],
        check=False,
        env={**os.environ, 'KELPROAD_KEY': key},
    ).returncode


if __name__ == '__main__':
    sys.exit(main(*sys.argv[1:]))
