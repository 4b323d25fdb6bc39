"""A zone that is cut off goes on serving what it can."""

import pathlib
import time

from testbed.site import SitePlan, start_site
from tests.clients import book, complete
from tests.conftest import ROADGRIP


def test_isolated_zone_serves_and_heals(tmp_path: pathlib.Path) -> None:
    """A zone loses the platform and the other zones.

    Callers in it still get completions from its own engines; what needs a
    claim is refused at once as not run.  When the network heals, everything
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
