"""The platform's names stay in its package, and logging never blocks."""

import logging
import os
import pathlib
import re
import subprocess
import sys

import pytest

from kelproad.cli import structured
from kelproad.state.records import record

SOURCE = pathlib.Path(structured.__file__).resolve().parents[1]
WIRE_NAMES = re.compile(
    'X-Kelproad|rows-(tx|get|feed)|KELPROAD_NODE_FILE|/-/'
    '|path_prefix|api_keys|kv_capacity|warmup_left|read_per_s',
    re.IGNORECASE,
)
#: The stand-ins emulate the platform, so they use its names too.
PLATFORM_PACKAGES = ('platform', 'standins')


def test_names_on_the_wire_stay_in_the_adapter() -> None:
    """No other package depends on the platform's spelling of a field."""
    found = [
        f'{path.relative_to(SOURCE)}:{number}: {line.strip()}'
        for path in sorted(SOURCE.rglob('*.py'))
        if path.relative_to(SOURCE).parts[0] not in PLATFORM_PACKAGES
        for number, line in enumerate(path.read_text().splitlines(), 1)
        if WIRE_NAMES.search(line)
    ]
    assert not found


def run_logging(script: str, **options: object) -> subprocess.Popen[bytes]:
    """Run a script with structured logging in a new process."""
    prelude = (
        'import logging, sys, time\n'
        'from kelproad.cli.structured import configure_structured_logging\n'
        'from kelproad.state.records import record\n'
        'lines = configure_structured_logging("edge-1")\n'
        'logger = logging.getLogger("test")\n'
    )
    return subprocess.Popen(
        [sys.executable, '-c', prelude + script],
        stderr=subprocess.PIPE,
        **options,
    )


def test_a_full_pipe_does_not_block() -> None:
    """The process that reads the log stops reading, and the pipe fills.

    Lines must be dropped; neither calls nor the exit may block.
    """
    read_end, write_end = os.pipe()
    script = (
        'began = time.monotonic()\n'
        'for number in range(20000):\n'
        '    record(logger, "event", text="x" * 200)\n'
        'print(time.monotonic() - began, file=sys.stderr, flush=True)\n'
        'import os; os._exit(0)\n'
    )
    process = run_logging(script, stdout=write_end)
    _, errors = process.communicate(timeout=60)
    os.close(write_end)
    os.close(read_end)
    assert float(errors.decode().splitlines()[-1]) < 10


def test_a_closed_pipe_does_not_block() -> None:
    """The log's reader exits; from then on each write fails."""
    read_end, write_end = os.pipe()
    os.close(read_end)
    script = (
        'for number in range(100):\n'
        '    record(logger, "event", number=number)\n'
        '    time.sleep(0.001)\n'
        'print("went on", file=sys.stderr, flush=True)\n'
        'import os; os._exit(0)\n'
    )
    process = run_logging(script, stdout=write_end)
    _, errors = process.communicate(timeout=60)
    os.close(write_end)
    assert b'went on' in errors


def test_lines_beyond_the_bound_are_counted() -> None:
    """A burst of events is logged up to a bound; the rest is counted."""
    script = (
        'for number in range(3000):\n'
        '    record(logger, "event", number=number)\n'
        'time.sleep(1.1)\n'
        'record(logger, "later")\n'
        'lines.stop()\n'
    )
    process = run_logging(script, stdout=subprocess.PIPE)
    written, _ = process.communicate(timeout=60)
    lines = written.decode().splitlines()
    assert len(lines) < 1500
    assert any('log_lines_dropped' in line for line in lines)


def test_a_line_names_event_fields_and_instance(
    capsys: pytest.CaptureFixture[str],
) -> None:
    """Each line is one JSON object; without a handler none is written."""
    process = run_logging(
        'record(logger, "placed", request="a1", waited=0.5)\nlines.stop()\n',
        stdout=subprocess.PIPE,
    )
    written, _ = process.communicate(timeout=60)
    assert b'"event":"placed"' in written
    assert b'"instance":"edge-1"' in written
    assert b'"request":"a1"' in written
    record(logging.getLogger('quiet'), 'nowhere')
    assert not capsys.readouterr().out


def test_explain_merges_logs(tmp_path: pathlib.Path) -> None:
    """``explain`` prints one request's lines of two instances in order."""
    first, second = tmp_path / 'edge-1.log', tmp_path / 'edge-2.log'
    first.write_text(
        'no line\n'
        '{"time":2.5,"instance":"edge-1","event":"ended","request":"a1"}\n'
        '  12.0 edge-1 {"time":2,"instance":"edge-1","event":"placed",'
        '"request":"a1","endpoint":"i-1"}\n',
    )
    second.write_text(
        '{"time":1,"instance":"edge-2","event":"refused","request":"b2"}\n'
        '{"time":3,"event":"x","request":"a1"\n',
    )
    printed = subprocess.run(
        [
            *(sys.executable, '-m', 'kelproad', 'explain', 'a1'),
            *('--log', str(first), '--log', str(second)),
        ],
        capture_output=True,
        check=True,
    ).stdout.decode()
    lines = printed.splitlines()
    assert len(lines) == 2
    assert 'placed' in lines[0]
    assert 'endpoint="i-1"' in lines[0]
    assert lines[1].strip().startswith('+0.5000 s')
