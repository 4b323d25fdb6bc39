"""Parsing, validation and reload of the platform's settings file."""

import logging
import pathlib
import types

import pytest
from returns.result import Failure

from kelproad.coordination.ingress.node import Node
from kelproad.coordination.ingress.reloading import SettingsHolder
from kelproad.coordination.ingress.settings import Bounds
from kelproad.platform.settings import load_node_settings, parse_node_settings

TEXT = """node_name=edge-a-1
role=entry
ip=10.1.0.40
zone=zone-a
listen.frontend=10.1.0.40:8227
listen.ready=10.1.0.40:8220
internal_port_range=7340,7355
seeds=10.1.0.40:8229,10.2.0.29:8229
some.new.field=whatever=it, is
bounds.grace_s=8
bounds.revoke_ms=5000
platform.address=10.200.1.7:8223
"""


def test_fields_are_decoded() -> None:
    """Milliseconds become seconds; unknown fields are ignored."""
    settings = parse_node_settings(TEXT, 'file').unwrap()
    assert settings.instance == 'edge-a-1'
    assert settings.caller_address.port == 8227
    assert settings.peer_port == 7340
    assert settings.seed_hosts == ('10.1.0.40', '10.2.0.29')
    assert settings.bounds.revoke_key == 5
    # Not in the file, so the default applies.
    assert settings.bounds.retry_ratio == Bounds().retry_ratio


def test_problems_name_the_field() -> None:
    """Missing fields, invalid addresses and invalid numbers are each named."""
    for line, name in (
        ('zone=zone-a', 'zone'),
        ('listen.ready=10.1.0.40:8220', 'listen.ready'),
        ('internal_port_range=7340,7355', 'internal_port_range'),
    ):
        problems = parse_node_settings(TEXT.replace(line, ''), 'file').failure()
        assert name in str(problems[0])
    wrong = TEXT.replace('bounds.grace_s=8', 'bounds.grace_s=soon')
    assert 'bounds.grace_s' in str(parse_node_settings(wrong, 'f').failure()[0])
    for port in ('9' * 5000, '\u00b2'):
        wrong = TEXT.replace('7340,7355', f'{port},7355')
        problems = parse_node_settings(wrong, 'f').failure()
        assert 'internal_port_range' in str(problems[0])
    wrong = TEXT.replace('10.200.1.7:8223', 'store:8223')
    problems = parse_node_settings(wrong, 'f').failure()
    assert 'platform.address' in str(problems[0])


def test_a_missing_file_is_a_problem_not_a_crash(
    tmp_path: pathlib.Path,
) -> None:
    """The file need not exist yet."""
    assert isinstance(load_node_settings(tmp_path / 'none'), Failure)


def test_a_changed_file_takes_effect(tmp_path: pathlib.Path) -> None:
    """Operators shorten the grace of a stop while an instance runs.

    A half-written file changes nothing; with the complete one the grace is in
    force, while a changed address takes effect only after a restart.
    """
    path = tmp_path / 'settings'
    path.write_text(TEXT)
    holder = SettingsHolder(
        load_node_settings(path).unwrap(),
        lambda: load_node_settings(path),
    )
    path.write_text(TEXT[:40])
    holder.refresh()
    assert holder.current.bounds.stop_grace == 8
    path.write_text(
        TEXT.replace('grace_s=8', 'grace_s=6').replace('8227', '9999'),
    )
    holder.refresh()
    assert holder.current.bounds.stop_grace == 6
    assert holder.current.caller_address.port == 8227


def test_a_log_line_names_what_a_reload_changed(
    tmp_path: pathlib.Path,
    caplog: pytest.LogCaptureFixture,
) -> None:
    """Without it, operators can't see which settings a reload changed."""
    path = tmp_path / 'settings'
    path.write_text(TEXT)
    holder = SettingsHolder(
        load_node_settings(path).unwrap(),
        lambda: load_node_settings(path),
    )
    path.write_text(TEXT.replace('grace_s=8', 'grace_s=4'))
    with caplog.at_level(logging.INFO):
        holder.refresh()
        holder.refresh()
    reloaded = [
        record.event_fields['changed']
        for record in caplog.records
        if record.getMessage() == 'settings_reloaded'
    ]
    assert reloaded == [{'bounds.stop_grace': [8, 4]}]


def test_a_stop_begins_though_the_settings_cannot_be_reloaded() -> None:
    """Guards against a SIGTERM without effect, after any error."""
    begun: list[bool] = []

    def fail() -> None:
        raise ArithmeticError

    node = types.SimpleNamespace(
        reload=fail,
        _drain=types.SimpleNamespace(start=lambda: begun.append(True)),
        _tunnels=types.SimpleNamespace(leaving=False),
    )
    with pytest.raises(ArithmeticError):
        Node.start_drain(node)
    assert begun
    assert node._tunnels.leaving
