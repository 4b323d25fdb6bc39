"""What the tests share: small sites on loopback."""

import pathlib
from collections.abc import Iterator

import hypothesis
import pytest

from kelproad.state import invariants
from testbed.site import Site, SitePlan, start_site

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
