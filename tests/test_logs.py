"""Log lines name the instance and the request in each format."""

import json
import logging

import pytest

from kelproad.cli.logs import configure_logging
from kelproad.protocol.settings import LogFormat, Settings
from kelproad.state.records import current_request


def create_settings(log_format: LogFormat) -> Settings:
    address = '127.0.0.1:1'
    return Settings(
        instance='zone-1',
        zone='zone',
        caller_address=address,
        operator_address=address,
        peer_address=address,
        platform_address=address,
        peer_key='a-key-of-the-site',
        operator_digests={},
        log_format=log_format,
    )


@pytest.mark.parametrize('log_format', list(LogFormat))
def test_line_names_instance_and_request(
    log_format: LogFormat,
    capsys: pytest.CaptureFixture[str],
) -> None:
    root = logging.getLogger()
    before, level = list(root.handlers), root.level
    root.handlers = []
    token = current_request.set('zone-1:ab:7')
    try:
        configure_logging(create_settings(log_format))
        logging.getLogger('kelproad.test').warning('engine %s left', 'e1')
    finally:
        current_request.reset(token)
        root.handlers = before
        root.setLevel(level)
    line = capsys.readouterr().err.strip()
    assert 'engine e1 left' in line
    if log_format is LogFormat.JSON:
        fields = json.loads(line)
        assert fields['instance'] == 'zone-1'
        assert fields['request'] == 'zone-1:ab:7'
    else:
        assert 'zone-1 zone-1:ab:7 kelproad.test' in line
