"""What the tests share: small sites on loopback."""

import pathlib
from collections.abc import AsyncIterator, Iterator

import aiohttp
import hypothesis
import pytest
from aiohttp.test_utils import TestServer

from kelproad.standins.platform import PlatformStandIn
from kelproad.state import invariants
from testbed.site import Site, SitePlan, start_site
from tests.fakes import Bench

# The verdict must not depend on the machine's mood: the same examples each
# time, and no judging of how long it takes to draw them.
hypothesis.settings.register_profile(
    'repeatable',
    derandomize=True,
    deadline=None,
    suppress_health_check=[hypothesis.HealthCheck.too_slow],
)
hypothesis.settings.load_profile('repeatable')

REPOSITORY = pathlib.Path(__file__).resolve().parent.parent
ROADGRIP = REPOSITORY / 'examples' / 'roadgrip'
LAGOSTA = REPOSITORY / 'examples' / 'lagosta'


@pytest.fixture(autouse=True)
def strict_invariants() -> None:
    """Raise on every violated invariant inside the test process."""
    invariants.set_strict(True)


@pytest.fixture(scope='session')
def roadgrip(tmp_path_factory: pytest.TempPathFactory) -> Iterator[Site]:
    """Run a small Roadgrip site that no test breaks.

    Tests that kill, cut or freeze something start a site of their own.
    """
    plan = SitePlan(example=ROADGRIP, endpoints_per_group=3)
    with start_site(plan, tmp_path_factory.mktemp('roadgrip')) as site:
        yield site


@pytest.fixture
async def bench() -> AsyncIterator[Bench]:
    """Serve a stand-in platform for instances in this process."""
    standin = PlatformStandIn()
    async with TestServer(standin.create_application()) as server:
        async with aiohttp.ClientSession() as session:
            yield Bench(standin, server, session)
