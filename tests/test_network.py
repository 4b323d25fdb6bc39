"""An isolated zone serves what needs no claim."""

import pathlib
import time

from testbed.site import SitePlan, start_site
from tests.clients import book, complete
from tests.conftest import ROADGRIP


def test_isolated_zone_serves_and_heals(tmp_path: pathlib.Path) -> None:
    """A zone is cut off from the platform and the other zones.

    Its callers still get completions from local engines; calls that need a
    claim are refused at once as not run.  When the network heals, everything
    works again without an operator.
    """
    plan = SitePlan(example=ROADGRIP, endpoints_per_group=3, network=True)
    with start_site(plan, tmp_path) as site:
        zone, caller = site.zones[0], site.callers[0]
        assert complete(caller).status == 200
        site.network.isolate(zone)
        for _ in range(3):
            assert (
                complete(caller, headers={'X-Deadline-Seconds': '8'}).status
                == 200
            )
        refused = book(caller, 'run-cut', 'key-cut')
        assert refused.status == 503
        assert refused.refusal()['ran'] == 'no'
        site.network.heal()
        time.sleep(1)
        assert book(caller, 'run-healed', 'key-healed').status == 200
