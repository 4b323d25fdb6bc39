"""What a process uses, as the kernel counts it."""

import os
import pathlib

import attrs

__all__ = ['Usage', 'Row', 'read_usage']

_TICKS = os.sysconf('SC_CLK_TCK')
_UTIME_FIELD = 11
_KILOBYTE = 1024


@attrs.frozen
class Usage:
    """Processor time and memory of a process so far.

    Attributes
    ----------
    cpu
        Seconds of user and system time.
    resident, private
        Bytes resident, and bytes that no other process has (what the kernel
        would get back if it ended).
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
        """Format it as one line of the table."""
        return (
            f'{self.part:<12}{self.size:>7}  {self.figure:<46}'
            f'{self.measured:>12,.4g}'
        )


def read_usage(pid: int) -> Usage:
    """Read what a process has used so far."""
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
