"""Parsing of operators' files and settings; problems have their lines."""

import pathlib

import pytest
from returns.result import Success

from kelproad.protocol.files import parse_file
from kelproad.protocol.settings import load_settings
from tests.conftest import LAGOSTA, REPOSITORY, ROADGRIP


@pytest.mark.parametrize(('example', 'count'), [(ROADGRIP, 5), (LAGOSTA, 4)])
def test_examples_are_valid_together(
    example: pathlib.Path,
    count: int,
) -> None:
    held = {}
    for path in sorted(example.glob('*.yaml')):
        parsed = parse_file(path.read_text(), path.name, held)
        assert isinstance(parsed, Success), parsed
        held[parsed.unwrap().name] = parsed.unwrap()
    services = [item for file in held.values() for item in file.services]
    assert len(services) == count


@pytest.mark.parametrize(
    ('text', 'expected'),
    [
        ('name: [', 'f.yaml:1: $: not YAML'),
        ('name: a\nname: b', 'f.yaml:2: $.name: duplicate key'),
        ('nme: a', 'f.yaml:1: $.nme: unknown key'),
        ('services: []', 'f.yaml:1: $.name: required, but missing'),
        ('name: 3', 'f.yaml:1: $.name: expected str, found int 3'),
        ('name: x\nservices: 4', 'f.yaml:2: $.services: expected a list'),
        (
            'name: x\nworkspaces:\n  - name: w\n    key_digests: []\n'
            '    services: []\n    weight: heavy',
            'f.yaml:6: $.workspaces[0].weight: expected a number',
        ),
        (
            'name: x\nworkspaces:\n  - name: w\n    key_digests: []\n'
            '    services: []\n    weight: -1',
            'f.yaml:6: $.workspaces[0].weight: must be greater than zero',
        ),
        ('name: &a x\nservices: *a', 'aliases are not supported'),
        (
            'name: x\nendpoint_groups:\n  - name: g\n    kind: engine\n'
            '    endpoints:\n      - {name: e, zone: z, address: host:80}',
            'f.yaml:6: $.endpoint_groups[0].endpoints[0].address',
        ),
    ],
)
def test_problem_has_file_line_and_path(text: str, expected: str) -> None:
    problems = parse_file(text, 'f.yaml', {}).failure()
    assert any(expected in str(problem) for problem in problems), problems


def test_all_problems_are_reported_at_once() -> None:
    text = 'name: A B\ndeployment: {name: x, zones: 1}\nextra: 1'
    problems = parse_file(text, 'f.yaml', {}).failure()
    assert len(problems) == 2


def test_environment_overrides_settings(tmp_path: pathlib.Path) -> None:
    path = tmp_path / 'instance.yaml'
    path.write_text((REPOSITORY / 'examples' / 'instance.yaml').read_text())
    environment = {
        'KELPROAD_PEER_KEY': 'from-the-environment',
        'KELPROAD_DRAIN_GRACE': '2.5',
    }
    settings = load_settings(path, environment).unwrap()
    assert settings.peer_key == 'from-the-environment'
    assert str(settings.drain_grace) == '2.5'


def test_bad_address_in_settings_is_reported(tmp_path: pathlib.Path) -> None:
    text = (REPOSITORY / 'examples' / 'instance.yaml').read_text()
    path = tmp_path / 'instance.yaml'
    path.write_text(text.replace('10.20.1.2:8082', 'somewhere:8082'))
    problems = load_settings(path, {}).failure()
    assert len(problems) == 1
    assert '$.peer_address' in str(problems[0])
