"""CPU time and memory of a process, from ``/proc``."""

import os
import pathlib

import attrs

__all__ = ['Usage', 'Row', 'read_usage']

_TICKS = os.sysconf('SC_CLK_TCK')
_UTIME_FIELD = 11
_KILOBYTE = 1024


@attrs.frozen
class Usage:
    """CPU time and memory of a process so far.

    Attributes
    ----------
    cpu
        Seconds of user and system time.
    resident, private
        Bytes resident, and bytes not shared with other processes (which would
        be freed if it exited).
    """

    cpu: float
    resident: int
    private: int


@attrs.frozen
class Row:
    """One measured figure at one size."""

    part: str
    size: int
    figure: str
    measured: float

    def __str__(self) -> str:
        """Format as a table line."""
        return (
            f'{self.part:<12}{self.size:>7}  {self.figure:<46}'
            f'{self.measured:>12,.4g}'
        )


def read_usage(pid: int) -> Usage:
    """Read the usage of a running process.

    Raises
    ------
    OSError
        If there is no such process.
    """
    stat = pathlib.Path(f'/proc/{pid}/stat').read_text()
    fields = stat.rpartition(')')[2].split()
    user, system = fields[_UTIME_FIELD : _UTIME_FIELD + 2]
    rollup = _read_rollup(pid)
    return Usage(
        cpu=(int(user) + int(system)) / _TICKS,
        resident=rollup['Rss'],
        private=rollup['Private_Clean'] + rollup['Private_Dirty'],
    )


def _read_rollup(pid: int) -> dict[str, int]:
    text = pathlib.Path(f'/proc/{pid}/smaps_rollup').read_text()
    amounts = {}
    for line in text.splitlines()[1:]:
        name, amount, *_ = line.split()
        amounts[name.rstrip(':')] = int(amount) * _KILOBYTE
    return amounts
