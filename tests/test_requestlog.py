"""Stories of requests that the command line reads from logs."""

import json
import pathlib

import pytest
from typer.testing import CliRunner

from kelproad.cli.main import app
from kelproad.cli.requestlog import read_request_events

ID = 'c41d07be'


def write_log(path: pathlib.Path, *lines: dict[str, object]) -> pathlib.Path:
    """Write a log of ``edge-1``, with some text before each line."""
    path.write_text(
        ''.join(
            f'collected {json.dumps({"instance": "edge-1", **line})}\n'
            for line in lines
        )
    )
    return path


def tell(at: float, event: str, **fields: object) -> dict[str, object]:
    """Build a line of a log."""
    return {'time': 100 + at, 'event': event, **fields}


@pytest.fixture
def log(tmp_path: pathlib.Path) -> pathlib.Path:
    """Write the log of a stream that a standstill ended."""
    return write_log(
        tmp_path / 'edge-1.log',
        tell(-3, 'event_loop_late', seconds=0.4),
        tell(-2, 'configuration_adopted', version=6),
        tell(0.25, 'configuration_adopted', version=7),
        tell(0.5, 'placed', request=ID, waited=0.5),
        tell(0.6, 'placed', request='other', waited=0.1),
        tell(2.4, 'event_loop_late', seconds=1.5),
        tell(2.5, 'attempt_failed', request=ID),
        tell(2.5, 'stream_broken_off', request=ID, elapsed=2.5, last_event=7),
        tell(2.5, 'ended', request=ID, elapsed=2.5),
        tell(2.6, 'event_loop_late', seconds=0.3),
        tell(2.6, 'store_lost', table='op'),
        tell(9, 'store_lost', table='op'),
        tell(1, 'store_lost', instance='edge-2'),
    )


def test_a_story_has_only_the_lines_of_its_request(log: pathlib.Path) -> None:
    """Guards against stories that other events hide."""
    events = [line.event for line in read_request_events(ID, [log])]
    assert events == ['placed', 'attempt_failed', 'stream_broken_off', 'ended']


def test_a_story_has_what_its_instance_told_meanwhile(
    log: pathlib.Path,
) -> None:
    """Guards against streams whose end has its cause in another line.

    A standstill is told at its end, which may come after the call's.
    """
    lines = read_request_events(ID, [log], around=True)
    assert [(round(line.at - 100, 2), line.event) for line in lines] == [
        (0.25, 'configuration_adopted'),
        (0.5, 'placed'),
        (2.4, 'event_loop_late'),
        (2.5, 'attempt_failed'),
        (2.5, 'stream_broken_off'),
        (2.5, 'ended'),
        (2.6, 'event_loop_late'),
        (2.6, 'store_lost'),
    ]


def test_the_command_shows_the_fields(log: pathlib.Path) -> None:
    """Guards against a command that lacks what the log tells."""
    arguments = ['explain', ID, '--log', str(log)]
    ended = CliRunner().invoke(app, arguments)
    assert 'last_event=7' in ended.stdout
    assert 'event_loop_late' not in ended.stdout
    ended = CliRunner().invoke(app, [*arguments, '--around'])
    assert 'seconds=1.5' in ended.stdout
