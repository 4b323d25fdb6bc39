"""Accepted configuration in force at real instances, under failure."""

import hashlib
import pathlib
import threading
import time
from collections.abc import Callable, Iterator

import attrs
import pytest
import yaml
from typer.testing import CliRunner

from kelproad.cli.main import app
from testbed import site as sites
from testbed.calls import OPERATOR_TOKEN, CallError
from testbed.processes import wait_until_answering
from testbed.site import InstanceProcess, Site, SitePlan, start_site
from tests.clients import Answer, call, complete
from tests.conftest import ROADGRIP

#: Seconds within which an accepted change must be in force everywhere.
PROMISE = 5
BOARD = 'example-key-board'
LATE = 'key-of-a-late-workspace'
#: Seconds of waiting that an instance cut off outlasts.
IN_VAIN = 0.5


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


def add_workspace(site: Site, key: str = LATE, through: int = 0) -> None:
    path = site.files[3]
    content = yaml.safe_load(path.read_text())
    digest = hashlib.sha256(key.encode()).hexdigest()
    services = content['workspaces'][0]['services'].copy()
    added = {'name': key, 'key_digests': [digest], 'services': services}
    content['workspaces'].append(added)
    path.write_text(yaml.safe_dump(content, sort_keys=False))
    site.apply(path, through)


def wait_in_vain(site: Site, monkeypatch: pytest.MonkeyPatch) -> None:
    """Wait briefly for an instance that can't adopt what was accepted."""
    with monkeypatch.context() as patched:
        patched.setattr(sites, '_ADOPT_SECONDS', IN_VAIN)
        with pytest.raises(TimeoutError):
            site.wait_adopted()


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

    def list_reasons() -> dict[str, str]:
        members = read_status(site, site.instances[0])['members']
        return {member['name']: member['reason'] for member in members}

    wait_for(lambda: 'nothing heard' in list_reasons()[cut.name], 15)
    assert not list_reasons()[site.instances[1].name]
    assert read_status(site, cut)['revision'] == before
    assert complete(cut.caller).status == 200
    site.network.heal()
    wait_for_revision(site, revision)


def test_started_site_has_the_last_file(
    site: Site,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A stream of a test has no end, and only beside load.

    A site counted as started while one of its instances lacked the last file,
    the one that declares the workspaces.  It refused the first stream; the
    test went on with others and saw seconds later that one had no end.
    """
    lagging = site.instances[2]
    site.network.isolate(lagging.zone)
    add_workspace(site)
    body = {'model': 'roadgrip-report', 'prompt': 'x', 'stream': True}
    refused = call(lagging.caller, '/v1/completions', body, key=LATE)
    assert refused.status == 503
    assert refused.refusal()['code'] == 'not_ready'
    assert refused.refusal()['ran'] == 'no'
    assert refused.refusal()['retry_after'] > 0
    assert b'[DONE]' not in refused.body
    wait_in_vain(site, monkeypatch)
    site.network.heal()
    site.wait_adopted()
    answered = call(lagging.caller, '/v1/completions', body, key=LATE)
    assert answered.status == 200
    assert b'[DONE]' in answered.body


def test_started_site_has_what_its_first_instance_lacks(
    site: Site,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against taking the first instance's revision for the newest."""
    site.network.isolate(site.zones[0])
    add_workspace(site, 'key-accepted-elsewhere', through=1)
    wait_in_vain(site, monkeypatch)
    site.network.heal()
    site.wait_adopted()


@pytest.mark.parametrize('number', range(3))
def test_accepted_key_is_known_at_once(site: Site, number: int) -> None:
    """Guards against a final 401 for a key that was accepted a moment ago."""
    key = f'key-just-accepted-{number}'
    body = {'model': 'roadgrip-report', 'prompt': 'x', 'max_tokens': 1}
    add_workspace(site, key)
    answers = [
        call(caller, '/v1/completions', body, key=key)
        for caller in site.callers
    ]
    assert [answer.status for answer in answers] == [200, 200, 200]
    wrong = [
        call(caller, '/v1/completions', body, key='nobody')
        for caller in site.callers
    ]
    assert [answer.status for answer in wrong] == [401, 401, 401]


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


def run_cli(site: Site, *arguments: str) -> str:
    environment = {
        'KELPROAD_SERVER': site.instances[0].operator,
        'KELPROAD_TOKEN': OPERATOR_TOKEN,
    }
    finished = CliRunner().invoke(app, arguments, env=environment)
    return f'{finished.exit_code} {finished.output}'


def test_operators_verbs(site: Site, tmp_path: pathlib.Path) -> None:
    """A file is applied, changed, rolled back, removed and applied again."""
    path = tmp_path / 'extra.yaml'
    path.write_text('name: extra\n')
    option = f'--file={path}'
    assert 'accepted as generation 1' in run_cli(site, 'apply', option)
    path.write_text(
        'name: extra\nworkspaces:\n  - name: x\n    key_digests: []\n'
        '    services: [crew]\n',
    )
    assert '+workspaces:' in run_cli(site, 'diff', option)
    dry_run = run_cli(site, 'apply', option, '--dry-run')
    assert 'would become generation 2' in dry_run
    assert 'accepted as generation 2' in run_cli(site, 'apply', option)
    assert '0 name: extra\n' == run_cli(
        site, 'get', 'extra', '--generation', '1'
    )
    assert 'generation 3' in run_cli(site, 'rollback', 'extra', '--to', '1')
    assert 'generation 4' in run_cli(site, 'remove', 'extra')
    assert run_cli(site, 'get', 'extra').startswith('1 refused (not_found)')
    assert 'generation 5' in run_cli(site, 'apply', option)
    listed = run_cli(site, 'history', 'extra')
    assert listed.count('by ops') == 5
    assert ', removed' in listed
    raced = run_cli(site, 'apply', option, '--base', '4')
    assert raced.startswith('1 ')
    assert '+workspaces:' in raced
    held = run_cli(site, 'remove', 'roadgrip-services')
    assert held.startswith('2 ')
    assert 'extra (in force):5: $.workspaces[0].services[0]: ' in held
    assert 'zone     lk-west-a' in run_cli(site, 'status')


def test_check_of_a_folder(tmp_path: pathlib.Path) -> None:
    """Files of a folder are checked together, every problem at its line."""
    (tmp_path / '1.yaml').write_text(
        'name: a\nworkspaces:\n  - name: w\n    key_digests: []\n'
        '    services:\n      - unknown\n',
    )
    (tmp_path / '2.yaml').write_text(
        'name: b\nworkspaces:\n  - name: w\n    key_digests: []\n'
        '    services: []\n    weight: 0\n',
    )
    checked = CliRunner().invoke(app, ['check', '-f', str(tmp_path)])
    assert checked.exit_code == 2
    assert '1.yaml:6: $.workspaces[0].services[0]' in checked.output
    assert '2.yaml:6: $.workspaces[0].weight' in checked.output
    assert "2.yaml:3: $.workspaces[0].name: workspace 'w'" in checked.output
    nested = '[' * 2000 + ']' * 2000
    (tmp_path / '1.yaml').write_text(nested)
    checked = CliRunner().invoke(app, ['check', '-f', str(tmp_path)])
    assert 'nested too deeply' in checked.output
