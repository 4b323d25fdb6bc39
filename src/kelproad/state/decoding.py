"""What shows that something which others wrote can't be decoded."""

from typing import Final

import msgspec

__all__ = ['UNREADABLE_ERRORS']

#: All errors that a decoder raises for its input: its own, one for deep nesting
#: even in fields that nobody reads, and those for numbers of many digits.
UNREADABLE_ERRORS: Final[tuple[type[Exception], ...]] = (
    msgspec.DecodeError,
    RecursionError,
    ValueError,
    OverflowError,
)
