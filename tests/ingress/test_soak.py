"""A short run of the soak, and the seeds that it ever failed with."""

import pathlib

import pytest

from testbed.routed import start_routed_site
from testbed.soak.routed import soak

SECONDS = 6.0
#: Seeds that are run each time; those that failed stay, with their causes.
SEEDS = (1,)
STOP_SECONDS = 12.0
#: Seeds of runs in which planned stops are the only failures.
STOP_SEEDS = (1,)


@pytest.mark.parametrize('seed', SEEDS)
async def test_promises_hold_under_failures(
    seed: int,
    tmp_path: pathlib.Path,
) -> None:
    """Instances, endpoints, links and the store fail in turn and at once.

    Whatever callers are told must be true of what endpoints ran, and once all
    is mended everything is answered and nothing is held.
    """
    with start_routed_site(tmp_path, 0) as site:
        assert not await soak(site, SECONDS, seed)


@pytest.mark.parametrize('seed', STOP_SEEDS)
async def test_promises_hold_through_planned_stops(
    seed: int,
    tmp_path: pathlib.Path,
) -> None:
    """Streams of some seconds end in the midst of their answers.

    Instances are told to stop one after another or at once, while callers go
    on calling them.  One took streams 4 and 5 s after SIGTERM and cut them
    2 s later at its own end, though it could have refused them as not run.
    """
    with start_routed_site(tmp_path, 0) as site:
        assert not await soak(site, STOP_SECONDS, seed, only_stops=True)
