"""One long run with random faults; exit code 1 on violated guarantees."""

import argparse
import asyncio
import collections
import pathlib
import sys
import tempfile

from testbed.site import Site, SitePlan, start_site

from .accounts import check_consistency
from .callers import Callers, WorkRecord
from .faults import Faults

__all__ = ['main', 'soak']

_EXAMPLE = pathlib.Path(__file__).parents[2] / 'examples' / 'roadgrip'
_APPLY_PERIOD = 3.0
_MAX_SHOWN = 120
_DEFAULT_RATE = 15.0


async def soak(site: Site, seconds: float, seed: int, rate: float) -> list[str]:
    """Run callers, faults and an operator together, then check.

    Returns
    -------
    list of str
        A line for each violated guarantee.
    """
    callers = Callers(site, seed, rate)
    faults = Faults(site, seed)
    operator = asyncio.create_task(_apply_repeatedly(site))
    await asyncio.gather(callers.run(seconds), faults.run(seconds))
    operator.cancel()
    await asyncio.gather(operator, return_exceptions=True)
    _print_summary(callers.records, faults)
    revision = await asyncio.to_thread(_apply_last, site)
    return await asyncio.to_thread(
        check_consistency,
        site,
        callers.records,
        revision,
    )


async def _apply_repeatedly(site: Site) -> None:
    """Apply the last file periodically, as an operator's tool may."""
    while True:
        await asyncio.sleep(_APPLY_PERIOD)
        try:
            await asyncio.to_thread(site.apply, site.files[-1])
        except Exception as error:
            print(f'apply refused: {str(error)[:_MAX_SHOWN]}')


def _apply_last(site: Site) -> int:
    site.wait_ready()
    return int(site.apply(site.files[-1])['revision'])


def _print_summary(records: list[WorkRecord], faults: Faults) -> None:
    for injected in faults.drawn:
        print(
            f'  {injected.name}: {injected.subject}, {injected.seconds:.1f} s'
        )
    outcomes = collections.Counter(
        f'{item.kind}: {item.outcomes[-1]}' for item in records
    )
    for label, count in sorted(outcomes.items()):
        print(f'{count:6} {label}')


def main() -> int:
    """Run with the options of the command line; return the exit code."""
    parser = argparse.ArgumentParser()
    parser.add_argument('--seconds', type=float, default=60)
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--rate', type=float, default=_DEFAULT_RATE)
    options = parser.parse_args()
    plan = SitePlan(
        example=_EXAMPLE,
        instances_per_zone=2,
        endpoints_per_group=3,
        network=True,
    )
    with tempfile.TemporaryDirectory() as directory:
        with start_site(plan, pathlib.Path(directory)) as site:
            broken = asyncio.run(
                soak(site, options.seconds, options.seed, options.rate),
            )
    for line in broken:
        print(f'BROKEN: {line}')
    print(f'seed {options.seed}: {len(broken)} guarantees violated')
    return 1 if broken else 0


if __name__ == '__main__':
    sys.exit(main())
