"""Time until an accepted change is in force at every instance.

Run as ``python -m bench.configuration [changes]``.  Starts a Roadgrip site with
nine instances, changes a workspace's weight repeatedly and polls all instances
for each change.  Prints percentiles, and the CPU time of all processes.
"""

import pathlib
import resource
import statistics
import sys
import tempfile
import time
from concurrent.futures import Executor, ThreadPoolExecutor

import yaml

from testbed.site import InstanceProcess, Site, SitePlan, start_site

_EXAMPLE = pathlib.Path(__file__).resolve().parent.parent / 'examples'
_POLL_PERIOD = 0.05
_ADOPTION_TIMEOUT = 15
_DEFAULT_CHANGES = 60


def measure(changes: int) -> list[float]:
    """Return the seconds until each change was in force everywhere."""
    plan = SitePlan(
        example=_EXAMPLE / 'roadgrip',
        instances_per_zone=3,
        endpoints_per_group=1,
    )
    with tempfile.TemporaryDirectory() as folder:
        with start_site(plan, pathlib.Path(folder)) as site:
            with ThreadPoolExecutor(12) as pool:
                return [
                    _measure_change(site, pool, number + 2)
                    for number in range(changes)
                ]


def _measure_change(
    site: Site,
    pool: Executor,
    weight: int,
) -> float:
    path = site.files[3]
    content = yaml.safe_load(path.read_text())
    content['workspaces'][0]['weight'] = weight
    path.write_text(yaml.safe_dump(content, sort_keys=False))
    revision = site.apply(path)['revision']
    accepted_at = time.monotonic()
    adopted_at = pool.map(
        lambda instance: _wait_for(site, instance, revision),
        site.instances,
    )
    return max(adopted_at) - accepted_at


def _wait_for(site: Site, instance: InstanceProcess, revision: int) -> float:
    limit = time.monotonic() + _ADOPTION_TIMEOUT
    while time.monotonic() < limit:
        files = site.control(instance.operator, 'GET', '/operator/files')
        if files['revision'] >= revision:
            return time.monotonic()
        time.sleep(_POLL_PERIOD)
    return float('inf')


def main() -> None:
    """Measure as many changes as the command line says, and print."""
    changes = int(sys.argv[1]) if sys.argv[1:] else _DEFAULT_CHANGES
    seconds = sorted(measure(changes))
    percentiles = statistics.quantiles(seconds, n=100, method='inclusive')
    used = resource.getrusage(resource.RUSAGE_CHILDREN)
    print(
        f'{changes} changes, 9 instances: in force everywhere after '
        f'p50 {percentiles[49]:.2f} s, p95 {percentiles[94]:.2f} s, '
        f'p99 {percentiles[98]:.2f} s, '
        f'longest {seconds[-1]:.2f} s',
    )
    print(f'CPU of all processes {used.ru_utime + used.ru_stime:.1f} s')


if __name__ == '__main__':
    main()
