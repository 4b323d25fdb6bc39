"""Adoption of accepted configuration by real instances, under failures."""

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
ADOPTION_TIMEOUT = 5
BOARD_KEY = 'example-key-board'
ADDED_KEY = 'key-of-a-late-workspace'
#: Seconds to wait for an adoption that must not happen.
NO_ADOPTION_SECONDS = 0.5


@pytest.fixture(scope='module')
def site(tmp_path_factory: pytest.TempPathFactory) -> Iterator[Site]:
    plan = SitePlan(example=ROADGRIP, endpoints_per_group=3, network=True)
    with start_site(plan, tmp_path_factory.mktemp('site')) as started:
        yield started


def read_status(site: Site, instance: InstanceProcess) -> dict[str, object]:
    return site.control(instance.operator, 'GET', '/operator/status')


def wait_for(
    holds: Callable[[], bool], seconds: float = ADOPTION_TIMEOUT
) -> None:
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


def add_workspace(site: Site, key: str = ADDED_KEY, through: int = 0) -> None:
    path = site.files[3]
    content = yaml.safe_load(path.read_text())
    digest = hashlib.sha256(key.encode()).hexdigest()
    services = content['workspaces'][0]['services'].copy()
    added = {'name': key, 'key_digests': [digest], 'services': services}
    content['workspaces'].append(added)
    path.write_text(yaml.safe_dump(content, sort_keys=False))
    site.apply(path, through)


def check_not_adopted(site: Site, monkeypatch: pytest.MonkeyPatch) -> None:
    """Check that an instance still lacks an accepted file after a wait."""
    with monkeypatch.context() as patched:
        patched.setattr(sites, '_ADOPT_TIMEOUT', NO_ADOPTION_SECONDS)
        with pytest.raises(TimeoutError):
            site.wait_adopted()


def test_removed_workspace(site: Site) -> None:
    """An operator removes a workspace while it has a request in progress.

    The request finishes; within seconds no instance accepts its key.
    """
    answers: list[Answer] = []
    body = {'model': 'roadgrip-report', 'prompt': 'x', 'max_tokens': 900}
    long_call = threading.Thread(
        target=lambda: answers.append(
            call(site.callers[1], '/v1/completions', body, key=BOARD_KEY),
        ),
    )
    long_call.start()
    time.sleep(0.5)
    change_workspaces(site, 4, drop='board')
    short = {**body, 'max_tokens': 1}
    wait_for(
        lambda: all(
            call(caller, '/v1/completions', short, key=BOARD_KEY).status == 401
            for caller in site.callers
        ),
    )
    assert not answers
    long_call.join()
    assert answers[0].status == 200


def test_zone_cut_off_during_an_apply(site: Site) -> None:
    """An apply is accepted while a zone is isolated.

    The zone keeps serving with its configuration, and the others report why
    it lags.  Within seconds of reconnecting it has the newest revision.
    """
    isolated = site.instances[2]
    before = read_status(site, isolated)['revision']
    site.network.isolate(isolated.zone)
    revision = change_workspaces(site, 5)

    def list_reasons() -> dict[str, str]:
        members = read_status(site, site.instances[0])['members']
        return {member['name']: member['reason'] for member in members}

    wait_for(lambda: 'nothing heard' in list_reasons()[isolated.name], 15)
    assert not list_reasons()[site.instances[1].name]
    assert read_status(site, isolated)['revision'] == before
    assert complete(isolated.caller).status == 200
    site.network.heal()
    wait_for_revision(site, revision)


def test_start_waits_until_all_instances_have_all_files(
    site: Site,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a site that counts as started too early.

    If an instance still lacks the last file, which declares the workspaces,
    it refuses the first calls of a test; under load this showed up as a
    stream without an end.
    """
    lagging = site.instances[2]
    site.network.isolate(lagging.zone)
    add_workspace(site)
    body = {'model': 'roadgrip-report', 'prompt': 'x', 'stream': True}
    refused = call(lagging.caller, '/v1/completions', body, key=ADDED_KEY)
    assert refused.status == 503
    assert refused.refusal()['code'] == 'not_ready'
    assert refused.refusal()['ran'] == 'no'
    assert refused.refusal()['retry_after'] > 0
    assert b'[DONE]' not in refused.body
    check_not_adopted(site, monkeypatch)
    site.network.heal()
    site.wait_adopted()
    answered = call(lagging.caller, '/v1/completions', body, key=ADDED_KEY)
    assert answered.status == 200
    assert b'[DONE]' in answered.body


def test_start_waits_also_for_its_first_instance(
    site: Site,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against assuming that the first instance is never behind."""
    site.network.isolate(site.zones[0])
    add_workspace(site, 'key-accepted-elsewhere', through=1)
    check_not_adopted(site, monkeypatch)
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
    """An operator who applies on an old base sees what was accepted since."""
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
    """Instances are started while the store is down.

    One that reaches a peer through its seeds gets the newest configuration
    from it and serves; one that reaches none stays not ready and reports why.
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
    """An instance that was down during a change adopts it after its start."""
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


def test_operator_commands(site: Site, tmp_path: pathlib.Path) -> None:
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
    """Files of a folder are checked together; each problem has its line."""
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
