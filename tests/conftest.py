"""Fixtures that the tests share: small sites on loopback."""

import pathlib
from collections.abc import AsyncIterator, Iterator

import aiohttp
import hypothesis
import pytest
from aiohttp.test_utils import TestServer

from kelproad.standins.platform import PlatformStandIn
from kelproad.state import invariants
from testbed.site import Site, SitePlan, start_site
from tests.fakes import ConfigurationSite

# Results must not depend on how busy the machine is: the examples are the same
# in each run, and neither generating nor testing one has a time limit.
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
    """Run a small Roadgrip site for tests that do not disturb it.

    Tests that kill or freeze processes or cut the network start their own.
    """
    plan = SitePlan(example=ROADGRIP, endpoints_per_group=3)
    with start_site(plan, tmp_path_factory.mktemp('roadgrip')) as site:
        yield site


@pytest.fixture
async def bench() -> AsyncIterator[ConfigurationSite]:
    """Serve a stand-in platform for instances in this process."""
    standin = PlatformStandIn()
    async with TestServer(standin.create_application()) as server:
        async with aiohttp.ClientSession() as session:
            yield ConfigurationSite(standin, server, session)
