"""Orders by real instances while the holder of the lease is frozen."""

import hashlib
import pathlib
import time
from collections.abc import Callable

import yaml

from testbed.site import InstanceProcess, Site, SitePlan, start_site
from tests.clients import call

KEY = 'key-of-the-rollout-test'
MODEL = 'm'
LEASE = 3.0
#: Seconds for which the successor is frozen beyond the end of its lease.
OVERDUE_SECONDS = 0.2


def write_example(folder: pathlib.Path) -> pathlib.Path:
    endpoints = [
        {'name': f'e{number}', 'zone': 'z', 'address': '10.0.0.1:80'}
        for number in range(2)
    ]
    group = {'name': 'g', 'kind': 'engine', 'endpoints': endpoints}
    group |= {'managed': True, 'fencing': 'ignored'}
    service = {'name': 's', 'kind': 'model', 'model': MODEL}
    service |= {'endpoint_groups': ['g']}
    digest = hashlib.sha256(KEY.encode()).hexdigest()
    workspace = {'name': 'w', 'key_digests': [digest], 'services': ['s']}
    contents = [
        {'name': 'd', 'deployment': {'name': 'd', 'zones': ['z']}},
        {'name': 'e', 'endpoint_groups': [group]},
        {'name': 's', 'services': [service]},
        {'name': 'w', 'workspaces': [workspace]},
    ]
    folder.mkdir()
    for number, content in enumerate(contents):
        text = yaml.safe_dump(content, sort_keys=False)
        (folder / f'{number}.yaml').write_text(text)
    return folder


def apply_version(site: Site, instance: InstanceProcess, version: str) -> None:
    content = yaml.safe_load(site.files[2].read_text())
    content['services'][0]['version'] = version
    files = site.control(instance.operator, 'GET', '/operator/files')['files']
    body = {
        'text': yaml.safe_dump(content, sort_keys=False),
        'base_generation': files[2]['generation'],
        'apply_id': f'version-{version}',
    }
    site.control(instance.operator, 'POST', '/operator/apply', body)


def read_orders(site: Site, instance: InstanceProcess) -> dict[str, object]:
    status = site.control(instance.operator, 'GET', '/operator/status')
    return status['orders']


def list_versions(site: Site) -> list[list[str]]:
    addresses = [site.addresses['e0'], site.addresses['e1']]
    states = [site.control(item, 'GET', '/v1/state') for item in addresses]
    return [
        [f'{item["version"]} {item["phase"]}' for item in state['models']]
        for state in states
    ]


def wait_for(condition: Callable[[], bool], seconds: float = 40) -> None:
    limit = time.monotonic() + seconds
    while not condition():
        assert time.monotonic() < limit
        time.sleep(0.1)


def test_frozen_holder(tmp_path: pathlib.Path) -> None:
    """A holder is frozen in the middle of a rollout, and resumed later.

    Meanwhile the other instance takes over, and the operator applies another
    version.  Requests are answered all the time.  The engines, which ignore
    the token, end with the latest version and keep it.

    The successor, too, is frozen once for longer than its lease, as may happen
    on a loaded machine.  It has no lease until its next pass; as no other
    instance took over, it goes on with the same token.
    """
    plan = SitePlan(
        example=write_example(tmp_path / 'example'),
        instances_per_zone=2,
        instance_settings={'lease_seconds': LEASE},
    )
    with start_site(plan, tmp_path) as site:
        check_frozen_holder(site)


def check_frozen_holder(site: Site) -> None:
    def find_holders() -> list[InstanceProcess]:
        return [
            instance
            for instance in site.instances
            if read_orders(site, instance)['held_here_for']
        ]

    def is_held_by_successor() -> bool:
        seen = read_orders(site, new)
        assert seen['token'] == first_token + 1
        return bool(seen['held_here_for'])

    statuses: list[int] = []

    def serve(instance: InstanceProcess) -> None:
        body = {'model': MODEL, 'prompt': 'x', 'max_tokens': 2}
        answer = call(instance.caller, '/v1/completions', body, key=KEY)
        statuses.append(answer.status)

    wait_for(lambda: len(find_holders()) == 1)
    old = find_holders()[0]
    new = next(item for item in site.instances if item is not old)
    first_token = read_orders(site, old)['token']
    apply_version(site, old, '1')
    wait_for(lambda: '1' in str(list_versions(site)))
    old.process.freeze()
    apply_version(site, new, '2')

    def is_done() -> bool:
        serve(new)
        return list_versions(site) == [['2 ready'], ['2 ready']]

    wait_for(is_done)
    wait_for(is_held_by_successor, LEASE)
    new.process.freeze()
    time.sleep(LEASE + OVERDUE_SECONDS)
    new.process.resume()
    wait_for(is_held_by_successor, LEASE)
    old.process.resume()
    for _ in range(20):
        serve(old)
        serve(new)
        assert not read_orders(site, old)['held_here_for']
        time.sleep(0.1)
    wait_for(is_done)
    wait_for(is_held_by_successor, LEASE)
    assert not read_orders(site, old)['held_here_for']
    assert set(statuses) == {200}
    taken = site.control(site.addresses['e1'], 'GET', '/control/orders')
    assert len(taken) <= 3
