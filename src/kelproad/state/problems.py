"""Errors in what others wrote: files, rows, messages."""

import re
from collections.abc import Callable
from typing import Final, TypeVar

import attrs
import msgspec
from returns.result import Failure, Result, Success

__all__ = ['UNREADABLE_ERRORS', 'Problem', 'parse_digits', 'try_decode']

T = TypeVar('T')
#: Decimal digits, as many as the largest number of 64 bits has.
_DIGITS = re.compile('[0-9]{1,20}')

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


def try_decode(decode: Callable[[bytes], T], encoded: bytes) -> Result[T, str]:
    """Decode what others wrote, or return why it is unreadable."""
    try:
        return Success(decode(encoded))
    except UNREADABLE_ERRORS as error:
        return Failure(str(error))


def parse_digits(text: str) -> int | None:
    """Parse a number that others wrote in digits; ``None`` for other text.

    So is one of too many digits, for which Python raises an error.
    """
    return int(text) if _DIGITS.fullmatch(text) else None
