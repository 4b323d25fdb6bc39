"""Accepted configuration in force at real instances, under failure."""

import threading
import time
from collections.abc import Callable, Iterator

import attrs
import pytest
import yaml

from testbed.calls import CallError
from testbed.processes import wait_until_answering
from testbed.site import InstanceProcess, Site, SitePlan, start_site
from tests.clients import Answer, call, complete
from tests.conftest import ROADGRIP

#: Seconds within which an accepted change must be in force everywhere.
PROMISE = 5
BOARD = 'example-key-board'


@pytest.fixture(scope='module')
def site(tmp_path_factory: pytest.TempPathFactory) -> Iterator[Site]:
    plan = SitePlan(example=ROADGRIP, endpoints_per_group=3, network=True)
    with start_site(plan, tmp_path_factory.mktemp('site')) as started:
        yield started


def read_status(site: Site, instance: InstanceProcess) -> dict[str, object]:
    return site.control(instance.operator, 'GET', '/operator/status')


def wait_for(holds: Callable[[], bool], seconds: float = PROMISE) -> None:
    limit = time.monotonic() + seconds
    while not holds():
        assert time.monotonic() < limit
        time.sleep(0.05)


def wait_for_revision(site: Site, revision: int) -> None:
    wait_for(
        lambda: all(
            read_status(site, instance)['revision'] >= revision
            for instance in site.instances
        ),
    )


def change_workspaces(site: Site, weight: int, drop: str = '') -> int:
    path = site.files[3]
    content = yaml.safe_load(path.read_text())
    workspaces = content['workspaces']
    workspaces[0]['weight'] = weight
    content['workspaces'] = [w for w in workspaces if w['name'] != drop]
    path.write_text(yaml.safe_dump(content, sort_keys=False))
    return site.apply(path)['revision']


def test_removed_workspace(site: Site) -> None:
    """An operator removes a workspace while it has a request in progress.

    The request finishes; within seconds no instance takes the key any more.
    """
    answers: list[Answer] = []
    body = {'model': 'roadgrip-report', 'prompt': 'x', 'max_tokens': 900}
    long_call = threading.Thread(
        target=lambda: answers.append(
            call(site.callers[1], '/v1/completions', body, key=BOARD),
        ),
    )
    long_call.start()
    time.sleep(0.5)
    change_workspaces(site, 4, drop='board')
    short = {**body, 'max_tokens': 1}
    wait_for(
        lambda: all(
            call(caller, '/v1/completions', short, key=BOARD).status == 401
            for caller in site.callers
        ),
    )
    assert not answers
    long_call.join()
    assert answers[0].status == 200


def test_zone_cut_off_during_an_apply(site: Site) -> None:
    """A zone is cut off, an apply is accepted, the cut heals.

    The zone carries on with what it had; the others say why it lags; healed,
    it has the newest revision within seconds and never had an older one.
    """
    cut = site.instances[2]
    before = read_status(site, cut)['revision']
    site.network.isolate(cut.zone)
    revision = change_workspaces(site, 5)
    time.sleep(5)
    assert read_status(site, cut)['revision'] == before
    assert complete(cut.caller).status == 200
    members = read_status(site, site.instances[0])['members']
    reasons = {member['name']: member['reason'] for member in members}
    assert 'nothing heard' in reasons[cut.name]
    assert not reasons[site.instances[1].name]
    site.network.heal()
    wait_for_revision(site, revision)


def test_racing_operators_over_http(site: Site) -> None:
    """The loser of a race sees what was accepted meanwhile."""
    path = site.files[3]
    change_workspaces(site, 6)
    body = {
        'text': path.read_text(),
        'base_generation': 1,
        'apply_id': 'racing',
    }
    operator = site.instances[1].operator
    with pytest.raises(CallError) as raised:
        site.control(operator, 'POST', '/operator/apply', body)
    assert raised.value.status == 409
    assert '+  weight: 6' in yaml.safe_load(raised.value.body)['difference']


def test_fresh_instance_with_the_store_down(site: Site) -> None:
    """The store is down and an instance is replaced.

    One that finds a peer by its seeds takes the newest configuration from it
    and serves; one that finds nobody stays not ready and says why.
    """
    revision = change_workspaces(site, 7)
    settings = yaml.safe_load(site.instances[0].settings.read_text())
    site.set_faults(site.platform_address, down=True)
    plan, zone = site.plan, site.zones[0]
    seeds = [settings['peer_advertised']]
    site.plan = attrs.evolve(plan, instance_settings={'seeds': seeds})
    fresh = site.add_instance('fresh', zone)
    wait_until_answering(f'http://{fresh.caller}/readyz')
    assert read_status(site, fresh)['revision'] == revision
    assert complete(fresh.caller).status == 200
    other_key = {'seeds': seeds, 'peer_key': 'of-quite-another-site'}
    site.plan = attrs.evolve(plan, instance_settings=other_key)
    lonely = site.add_instance('lonely', zone)
    wait_until_answering(f'http://{lonely.caller}/healthz')
    refusal = call(lonely.caller, '/readyz').refusal()
    assert refusal['code'] == 'not_ready'
    assert 'answered 503' in refusal['message']
    assert 'peers heard: 0' in refusal['message']
    site.set_faults(site.platform_address)
    wait_until_answering(f'http://{lonely.caller}/readyz')


def test_restarted_instance(site: Site) -> None:
    """An instance is killed, changes are accepted, and it starts again."""
    instance = site.instances[2]
    instance.process.kill()
    revision = change_workspaces(site, 8)
    site.start_instance(instance)
    wait_until_answering(f'http://{instance.caller}/readyz')
    wait_for_revision(site, revision)
