"""Commands that operators run, called in this process."""

import json
import pathlib

import pytest
from typer.testing import CliRunner, Result

from kelproad.cli.main import app
from testbed.calls import OPERATOR_TOKEN
from testbed.site import Site
from tests.clients import complete
from tests.conftest import REPOSITORY, ROADGRIP

EXIT_REFUSED = 1
EXIT_INVALID = 2


def run(*arguments: str, site: Site | None = None) -> Result:
    """Run a command, against the first instance of a site if one is given."""
    environment = {}
    if site is not None:
        environment = {
            'KELPROAD_SERVER': site.instances[0].operator,
            'KELPROAD_TOKEN': OPERATOR_TOKEN,
        }
    return CliRunner().invoke(app, list(arguments), env=environment)


@pytest.mark.parametrize(
    ('before', 'after', 'expected'),
    [
        ('zone: lk-west-a', 'zne: lk-west-a', '$.zne: unknown key'),
        ('10.20.1.2:8080', 'here:8080', '$.caller_address'),
        ('drain_grace: 5', 'drain_grace: soon', 'expected a number'),
        ('instance: lk-west-a-1', '', '$.instance: required, but missing'),
        ('zone: lk-west-a', 'instance: x', '$.instance: duplicate key'),
    ],
)
def test_bad_settings_are_reported_with_their_line(
    tmp_path: pathlib.Path,
    before: str,
    after: str,
    expected: str,
) -> None:
    text = (REPOSITORY / 'examples' / 'instance.yaml').read_text()
    path = tmp_path / 'instance.yaml'
    path.write_text(text.replace(before, after, 1))
    ended = run('serve', '--settings', str(path))
    assert ended.exit_code == EXIT_INVALID
    assert expected in ended.stderr
    assert f'{path}:' in ended.stderr
    assert 'Traceback' not in ended.stderr


def test_check_of_an_example() -> None:
    ended = run('check', '-f', str(ROADGRIP))
    assert ended.exit_code == 0, ended.stderr


def test_check_points_at_the_line(tmp_path: pathlib.Path) -> None:
    path = tmp_path / 'bad.yaml'
    path.write_text('name: bad\nservices:\n  - nme: x\n')
    ended = run('check', '-f', str(path))
    assert ended.exit_code == EXIT_INVALID
    assert f'{path}:3: $.services[0].nme: unknown key' in ended.stderr


def test_read_only_commands(roadgrip: Site) -> None:
    name = 'roadgrip-services'
    assert name in run('get', site=roadgrip).stdout
    text = run('get', name, site=roadgrip).stdout
    assert 'season-reviews' in text
    assert 'lk-west-b' in run('status', site=roadgrip).stdout
    assert json.loads(run('dump', site=roadgrip).stdout)['revision']
    assert 'ops' in run('history', name, site=roadgrip).stdout


def test_diff_and_dry_run_change_nothing(
    roadgrip: Site,
    tmp_path: pathlib.Path,
) -> None:
    path = tmp_path / 'changed.yaml'
    text = run('get', 'roadgrip-deployment', site=roadgrip).stdout
    path.write_text(text.replace('slowdown: 0.7', 'slowdown: 0.6'))
    shown = run('diff', '-f', str(path), site=roadgrip).stdout
    assert '-    slowdown: 0.7' in shown
    assert '+    slowdown: 0.6' in shown
    dry_run = run('apply', '-f', str(path), '--dry-run', site=roadgrip)
    assert dry_run.exit_code == 0, dry_run.stderr
    assert run('get', 'roadgrip-deployment', site=roadgrip).stdout == text


def test_explain_shows_the_endpoint_of_a_request(roadgrip: Site) -> None:
    answer = complete(roadgrip.callers[0])
    explained = run('explain', answer.headers['X-Request-Id'], site=roadgrip)
    assert explained.exit_code == 0
    assert 'report-lk-west' in explained.stdout


def test_unreachable_instance_is_reported_in_one_line() -> None:
    ended = run('status', '--server', '127.0.0.1:9', '--token', 'x')
    assert ended.exit_code == EXIT_REFUSED
    assert ended.stderr.count('\n') == 1
