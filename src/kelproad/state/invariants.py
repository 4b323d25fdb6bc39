"""Invariants, asserted at state transitions.

A violation is always counted and logged; with strict checking (all tests and
long runs) it also raises, so that the run stops at the first one.
"""

import collections
import logging

import attrs

__all__ = ['InvariantViolation', 'check', 'set_strict', 'violations']

_logger = logging.getLogger(__name__)
#: Number of violations by invariant name since the process started.
violations: collections.Counter[str] = collections.Counter()


@attrs.define
class _Checking:
    """Mode of checking, set once at the start of the process."""

    strict: bool = False


_checking = _Checking()


class InvariantViolation(AssertionError):
    """A state transition violated an invariant."""


def set_strict(strict: bool) -> None:
    """Set whether violations raise, or are only counted and logged."""
    _checking.strict = strict


def check(holds: bool, name: str, subject: str) -> None:
    """Assert that an invariant holds for a subject.

    Parameters
    ----------
    holds
        The asserted condition, already evaluated.
    name
        Stable name of the invariant, the key of its counter.
    subject
        The request, endpoint or revision that the transition concerns.

    Raises
    ------
    InvariantViolation
        When the condition is false and checking is strict.
    """
    if holds:
        return
    violations[name] += 1
    _logger.error('invariant %s violated by %s', name, subject)
    if _checking.strict:
        raise InvariantViolation(f'{name}: {subject}')
