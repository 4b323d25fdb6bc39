"""Short runs of the soak, also with the seeds that failed before."""

import pathlib

import pytest

from testbed.routed import start_routed_site
from testbed.soak.routed import soak
from testbed.soak.routed_faults import Base

#: Seeds of runs with all kinds of failures, and their durations in seconds.
#: Seeds that failed stay: 101 for a prompt that needed limited engines, 320 for
#: a limit that had ended and was revived.
RUNS = ((1, 6.0), (101, 15.0), (320, 15.0))
#: Duration of a run in which instances are also cut from all endpoints, in
#: seconds, and seeds of such runs; 1012 failed in the link itself.
CUT_SECONDS = 15.0
CUT_SEEDS = (1, 1012)
#: Duration of a run in which endpoints state that they leave or pause, in
#: seconds, and seeds of such runs; 903 finds it if nothing reads that.
WITHDRAWAL_SECONDS = 15.0
RESTORE_SECONDS = 10.0
RESTORE_SEEDS = (1, 3)
WITHDRAWAL_SEEDS = (903,)
#: Duration of a run in which endpoints pause, with no other faults than
#: suspended instances, in seconds, and seeds of such runs.
PAUSE_SECONDS = 15.0
PAUSE_SEEDS = (1,)
#: Duration of a run in which operators evacuate a zone, in seconds, and seeds
#: of such runs.
EVACUATION_SECONDS = 12.0
EVACUATION_SEEDS = (1,)
#: Duration of a run in which the store answers late or slowly beside suspended
#: instances, in seconds, and seeds of such runs.
LATE_SECONDS = 15.0
LATE_SEEDS = (12,)
#: Duration of a run beside odd rows and silent connections to the store, in
#: seconds, and seeds of such runs.
ROW_SECONDS = 12.0
ROW_SEEDS = (1,)
#: Duration of a run with planned stops only, in seconds.
STOP_SECONDS = 12.0
#: Seeds of runs in which planned stops are the only failures.
STOP_SEEDS = (1,)


@pytest.mark.parametrize(('seed', 'seconds'), RUNS)
async def test_promises_hold_under_failures(
    seed: int,
    seconds: float,
    tmp_path: pathlib.Path,
) -> None:
    """Instances, endpoints, links and the store fail in turn and at once.

    The answers to callers must agree with what the endpoints ran.  Once all
    failures are over, every call is answered and no claim is left.
    """
    with start_routed_site(tmp_path, 0) as site:
        assert not await soak(site, seconds, seed)


@pytest.mark.parametrize('seed', CUT_SEEDS)
async def test_promises_hold_while_instances_are_cut_from_endpoints(
    seed: int,
    tmp_path: pathlib.Path,
) -> None:
    """Calls run twice, or are lost, as they go through other instances."""
    with start_routed_site(tmp_path, 0) as site:
        assert not await soak(site, CUT_SECONDS, seed, kinds=('cuts',))


@pytest.mark.parametrize('seed', STOP_SEEDS)
async def test_promises_hold_through_planned_stops(
    seed: int,
    tmp_path: pathlib.Path,
) -> None:
    """Streams of some seconds are truncated by a planned stop.

    Instances receive SIGTERM one after another or at once, while calls keep
    coming.  One accepted streams 4 and 5 s after SIGTERM and cut them 2 s later
    at its exit, though it could have refused them as not run.
    """
    with start_routed_site(tmp_path, 0) as site:
        assert not await soak(site, STOP_SECONDS, seed, base=Base.STOPS)


@pytest.mark.parametrize('seed', WITHDRAWAL_SEEDS)
async def test_promises_hold_while_endpoints_leave_and_pause(
    seed: int,
    tmp_path: pathlib.Path,
) -> None:
    """Endpoints that stated that they leave, or pause, got more calls."""
    with start_routed_site(tmp_path, 0) as site:
        assert not await soak(
            site, WITHDRAWAL_SECONDS, seed, kinds=('withdrawals',)
        )


@pytest.mark.parametrize('seed', RESTORE_SEEDS)
async def test_promises_hold_while_the_store_returns_from_copies(
    seed: int,
    tmp_path: pathlib.Path,
) -> None:
    """Instances stayed at a configuration of before, without an error."""
    with start_routed_site(tmp_path, 0) as site:
        assert not await soak(site, RESTORE_SECONDS, seed, kinds=('restores',))


@pytest.mark.parametrize('seed', EVACUATION_SEEDS)
async def test_an_evacuated_zone_gets_no_calls(
    seed: int,
    tmp_path: pathlib.Path,
) -> None:
    """Guards against calls to a zone that operators have evacuated."""
    with start_routed_site(tmp_path, 0) as site:
        assert not await soak(
            site,
            EVACUATION_SECONDS,
            seed,
            base=Base.CALM,
            kinds=('evacuations',),
        )


@pytest.mark.parametrize('seed', PAUSE_SEEDS)
async def test_answers_are_whole_while_endpoints_pause(
    seed: int,
    tmp_path: pathlib.Path,
) -> None:
    """Instances ended answers for a silence, with nobody to go on."""
    with start_routed_site(tmp_path, 0) as site:
        assert not await soak(
            site, PAUSE_SECONDS, seed, base=Base.CALM, kinds=('pauses',)
        )


@pytest.mark.parametrize('seed', ROW_SEEDS)
async def test_promises_hold_beside_odd_rows_and_silent_connections(
    seed: int,
    tmp_path: pathlib.Path,
) -> None:
    """Guards against what others write, or lose, ending what is followed."""
    with start_routed_site(tmp_path, 0) as site:
        assert not await soak(
            site, ROW_SECONDS, seed, base=Base.CALM, kinds=('rows',)
        )


@pytest.mark.parametrize('seed', LATE_SEEDS)
async def test_keys_are_confirmed_while_the_store_answers_late(
    seed: int,
    tmp_path: pathlib.Path,
) -> None:
    """Guards against a slow store that counts as one that is away."""
    with start_routed_site(tmp_path, 0) as site:
        assert not await soak(
            site, LATE_SECONDS, seed, base=Base.CALM, kinds=('late',)
        )
