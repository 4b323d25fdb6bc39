"""Eras of the store: the spans between its restorations from a copy.

A store that was restored has lost what it had acknowledged since the copy was
taken, and assigns the same versions again.  Only within one era do versions
order its states.
"""

import logging

from ....state.records import record

__all__ = ['StoreEras']

_logger = logging.getLogger(__name__)


class StoreEras:
    """The newest era that the store has stated.

    Attributes
    ----------
    current
        The newest era; 0 while the store has stated none.
    """

    def __init__(self) -> None:
        """Start without knowledge of any era."""
        self.current = 0

    def observe(self, era: int, answer: str) -> None:
        """Record the era of an answer of the store.

        ``answer`` describes the answer for the log.
        """
        if era <= self.current:
            return
        record(
            _logger,
            'store_era_changed',
            previous=self.current,
            era=era,
            answer=answer,
        )
        self.current = era
