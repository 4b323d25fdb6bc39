"""Errors in what others wrote: files, rows, messages."""

from typing import Final

import attrs
import msgspec

__all__ = ['UNREADABLE_ERRORS', 'Problem']

#: All errors that a decoder raises for its input: its own, one for deep nesting
#: even in fields that nobody reads, and those for numbers of many digits.
UNREADABLE_ERRORS: Final[tuple[type[Exception], ...]] = (
    msgspec.DecodeError,
    RecursionError,
    ValueError,
    OverflowError,
)


@attrs.frozen
class Problem:
    """An error in a file, with its position."""

    source: str
    line: int
    path: str
    message: str

    def __str__(self) -> str:
        """Format like a compiler error: file, line, path, message."""
        return f'{self.source}:{self.line}: {self.path}: {self.message}'
