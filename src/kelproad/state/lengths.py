"""Classes of prompt length, which determine priority and sampling."""

import enum

__all__ = ['LengthClass', 'classify_length']


class LengthClass(enum.IntEnum):
    """Classes of prompt length; the value is the priority at the engine."""

    SHORT = 0
    MIDDLE = 1
    LONG = 2


#: Lower bounds of the middle and the long class, in tokens.
_SHORT_LIMIT = 10_000
_MIDDLE_LIMIT = 100_000


def classify_length(prompt_tokens: int) -> LengthClass:
    """Return the length class of a prompt."""
    if prompt_tokens < _SHORT_LIMIT:
        return LengthClass.SHORT
    if prompt_tokens < _MIDDLE_LIMIT:
        return LengthClass.MIDDLE
    return LengthClass.LONG
