"""CPU time and bytes of a configuration change, by number of workspaces.

Run as ``python -m bench.adoption``.  One file changes; the workspaces are
in files of one workspace each, of up to 50 each, or all in one file.
"""

import asyncio
import time

from kelproad.coordination.configuration import list_changes
from kelproad.coordination.history import digest_text
from kelproad.coordination.loading import build_file
from kelproad.protocol.files import parse_file
from kelproad.protocol.messages import encode_message
from kelproad.protocol.settings import Settings
from kelproad.state.configuration import AppliedFile, Snapshot, extend_snapshot

_SIZES = (10, 500, 2100)
_SETTINGS = Settings('i', 'z', '', '', '', '', '', {})
_REPEATS = 5


def build_file_text(first: int, count: int) -> str:
    """Return the text of a file that declares ``count`` workspaces."""
    items = ''.join(
        f'  - name: w{number}\n    key_digests:\n      - a{number:063x}\n'
        '    services: [reports, crew]\n    weight: 1\n'
        '    limits: {requests_per_second: 20, tokens_per_second: 200000}\n'
        for number in range(first, first + count)
    )
    return f'name: f{first}\nworkspaces:\n{items}'


def build_snapshot(workspaces: int, in_file: int) -> Snapshot:
    """Build a snapshot with ``in_file`` workspaces in each file."""
    files = {}
    for first in range(0, workspaces, in_file):
        text = build_file_text(first, in_file)
        parsed = parse_file(text, 'f', {}, alone=True).unwrap()
        revision = len(files) + 1
        files[parsed.name] = AppliedFile(
            parsed.name, 1, revision, 'd', text, parsed
        )
    return Snapshot.from_files(len(files), files)


def measure(workspaces: int, in_file: int) -> None:
    """Print CPU time to adopt one changed file, and bytes to send it."""
    snapshot = build_snapshot(workspaces, in_file)
    text = build_file_text(0, in_file)
    best = float('inf')
    for _ in range(_REPEATS):
        started = time.process_time()
        built = asyncio.run(build_file('f0', 2, 9999, digest_text(text), text))
        changed = AppliedFile('f0', 2, 9999, 'd', text, None)
        extend_snapshot(snapshot, [built], 9999)
        best = min(best, time.process_time() - started)
    newer = extend_snapshot(snapshot, [changed], 9999)
    message = list_changes(newer, _SETTINGS, snapshot.revision)
    whole = sum(len(item.text) for item in snapshot.files.values())
    print(
        f'{workspaces:5} workspaces, {in_file:5} per file: '
        f'{best * 1000:7.2f} ms of CPU to adopt one changed file, '
        f'{len(encode_message(message, b"k")):7} bytes of changes, '
        f'{whole:7} bytes of all files',
    )


def main() -> None:
    """Measure all sizes, each with three file sizes."""
    for workspaces in _SIZES:
        for in_file in (1, min(50, workspaces), workspaces):
            measure(workspaces, in_file)


if __name__ == '__main__':
    main()
