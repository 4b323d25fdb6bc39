"""Check of the shipped binary: one file, one process, no files on disk.

The binary serves as an entry instance of a site whose other processes run from
the source tree.  While it serves, the check counts its child processes and
lists its open files outside the memory-backed folder.
"""

import os
import pathlib
import sys
import tempfile

import attrs

from .calls import call_control
from .processes import Process, wait_until_answering
from .site import InstanceProcess, Site, SitePlan, start_site

__all__ = ['Footprint', 'main']

_EXAMPLE = pathlib.Path(__file__).parents[1] / 'examples' / 'roadgrip'
_KIBIBYTE = 1024


@attrs.frozen
class Footprint:
    """Resources that a running process uses.

    Attributes
    ----------
    children
        Number of child processes.
    written
        Open files outside memory-backed storage.
    resident
        Resident memory in KiB.
    """

    children: int
    written: list[str]
    resident: int
    uses_io_uring: bool


def main(binary: str) -> int:
    """Run the check and return the exit code."""
    plan = SitePlan(example=_EXAMPLE, endpoints_per_group=3)
    with (
        tempfile.TemporaryDirectory() as directory,
        start_site(plan, pathlib.Path(directory)) as site,
    ):
        instance = site.instances[0]
        _replace_by_binary(site, instance, binary, directory)
        status = call_control(instance.operator, 'GET', '/operator/status')
        footprint = read_footprint(instance.process.pid, directory)
    print(
        f'revision {status["revision"]} in force, '
        f'{footprint.resident / _KIBIBYTE:.1f} MiB resident, '
        f'{footprint.children} children, '
        f'io_uring: {footprint.uses_io_uring}, '
        f'open for writing outside memory: {footprint.written}',
    )
    broken = footprint.children or footprint.written or footprint.uses_io_uring
    return 1 if broken else 0


def read_footprint(pid: int, memory_directory: str) -> Footprint:
    """Read the resources of a process from ``/proc``.

    The folder ``memory_directory`` stands in for the memory-backed storage of
    an instance; open files in it are not listed.
    """
    process = pathlib.Path('/proc') / str(pid)
    status = (process / 'status').read_text()
    resident = status.split('VmRSS:')[1].split()[0]
    children = [
        child
        for task in (process / 'task').iterdir()
        for child in (task / 'children').read_text().split()
    ]
    targets = [os.readlink(link) for link in (process / 'fd').iterdir()]
    return Footprint(
        children=len(children),
        written=[
            target
            for target in targets
            if target.startswith('/')
            and not target.startswith((memory_directory, '/dev/', '/proc/'))
        ],
        resident=int(resident),
        uses_io_uring=any('io_uring' in target for target in targets),
    )


def _replace_by_binary(
    site: Site,
    instance: InstanceProcess,
    binary: str,
    directory: str,
) -> None:
    """Replace an instance that runs from the source tree by the binary."""
    instance.process.stop()
    instance.process = Process(
        f'{instance.name}-binary',
        ['serve', '--settings', str(instance.settings)],
        pathlib.Path(directory),
        environment={'SHIV_ROOT': directory, 'PYTHONPATH': ''},
        program=[str(pathlib.Path(binary).resolve())],
    )
    wait_until_answering(f'http://{instance.caller}/readyz')


if __name__ == '__main__':
    sys.exit(main(sys.argv[1]))
