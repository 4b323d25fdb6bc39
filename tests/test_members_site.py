"""Membership of real processes that are killed, frozen or cut off."""

import pathlib
import time

from testbed.site import InstanceProcess, Site, SitePlan, start_site
from tests.clients import complete
from tests.conftest import ROADGRIP

#: Seconds within which the views of all instances must agree.
_VIEW_TIMEOUT = 25.0


def _list_seen(site: Site, instance: InstanceProcess) -> set[str]:
    status = site.control(instance.operator, 'GET', '/operator/status')
    return {
        member['name']
        for member in status['members']
        if not member['reason'].startswith('nothing heard')
    } - {instance.name}


def _wait_for_view(site: Site, names: set[str]) -> float:
    """Wait until the named instances see each other and no others."""
    started = time.monotonic()
    observers = [item for item in site.instances if item.name in names]
    while time.monotonic() < started + _VIEW_TIMEOUT:
        if all(
            _list_seen(site, item) == names - {item.name} for item in observers
        ):
            return time.monotonic() - started
        time.sleep(0.2)
    seen = {item.name: _list_seen(site, item) for item in observers}
    raise AssertionError(f'{names} do not see each other: {seen}')


def test_members_through_kill_freeze_and_cut(tmp_path: pathlib.Path) -> None:
    """A zone is cut off and healed, an instance frozen, a third killed.

    After each change, every running instance must see exactly those that run
    and that it can reach; at the end each of them must serve.
    """
    plan = SitePlan(
        example=ROADGRIP,
        endpoints_per_group=3,
        instances_per_zone=2,
        network=True,
    )
    with start_site(plan, tmp_path) as site:
        every = {item.name for item in site.instances}
        cut = {
            item.name for item in site.instances if item.zone == site.zones[0]
        }
        _wait_for_view(site, every)
        site.network.isolate(site.zones[0])
        _wait_for_view(site, cut)
        _wait_for_view(site, every - cut)
        site.network.heal()
        _wait_for_view(site, every)
        frozen = site.instances[0]
        frozen.process.freeze()
        _wait_for_view(site, every - {frozen.name})
        frozen.process.resume()
        _wait_for_view(site, every)
        killed = {site.instances[1].name, site.instances[2].name}
        for number in (1, 2):
            site.instances[number].process.kill()
        _wait_for_view(site, every - killed)
        for instance in site.instances:
            if instance.name not in killed:
                assert complete(instance.caller).status == 200
