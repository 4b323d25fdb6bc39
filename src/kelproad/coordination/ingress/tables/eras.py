"""Eras of the store: the spans between its restorations from a copy.

A store that was restored has lost what it had acknowledged since the copy was
taken, and assigns the same versions again.  Only within one era do versions
order its states.
"""

import logging
from collections.abc import Callable

from ....state.records import record

__all__ = ['StoreEras']

_logger = logging.getLogger(__name__)


class StoreEras:
    """The newest era that the store has stated.

    Attributes
    ----------
    current
        The newest era; 0 while the store has stated none.
    on_restored
        Called when the store was restored while this process runs.
    """

    def __init__(self) -> None:
        """Start without knowledge of any era."""
        self.current = 0
        self.on_restored: list[Callable[[], None]] = []

    def observe(self, stated: int | None, answer: str) -> int:
        """Record the era that an answer states, and return its era.

        An answer that states none counts as one of the current era.

        Parameters
        ----------
        stated
            The era, ``None`` if the answer states none.
        answer
            Description of the answer for the log.
        """
        if stated is None or stated == self.current:
            return self.current
        if stated > self.current:
            self._advance(stated, answer)
        return stated

    def _advance(self, era: int, answer: str) -> None:
        previous = self.current
        self.current = era
        record(
            _logger,
            'store_era_changed',
            previous=previous,
            era=era,
            answer=answer,
        )
        for notify in self.on_restored if previous else ():
            notify()
