"""Memory for answers that are kept while they are made, with a bound."""

import weakref

__all__ = ['EVENT_OVERHEAD', 'BufferBudget', 'Reservation']

#: What a kept event costs beside its bytes: the object and its place.
EVENT_OVERHEAD = 64


class BufferBudget:
    """Bytes that the answers of this process may take together."""

    def __init__(self, limit: int, answer_limit: int) -> None:
        """Allow ``limit`` bytes, of which one answer gets ``answer_limit``."""
        self.limit = limit
        self.answer_limit = answer_limit
        self.used = 0

    def reserve_for(self, holder: object) -> 'Reservation':
        """Open a reservation that ends with its holder at the latest.

        A handler may be cancelled at any wait, and then nobody would give the
        bytes back; the end of the holder's life is a path that none skips.
        """
        reservation = Reservation(self)
        weakref.finalize(holder, reservation.release)
        return reservation


class Reservation:
    """Bytes that one answer has taken."""

    def __init__(self, budget: BufferBudget) -> None:
        """Start with none."""
        self._budget = budget
        self.size = 0

    def fits_answer(self, size: int) -> bool:
        """Tell whether one more event stays within the answer's own bound."""
        whole = self.size + size + EVENT_OVERHEAD
        return whole <= self._budget.answer_limit

    def take(self, size: int) -> bool:
        """Take bytes for one more event; false when a bound is reached."""
        whole = size + EVENT_OVERHEAD
        fits_all = self._budget.used + whole <= self._budget.limit
        if not (fits_all and self.fits_answer(size)):
            return False
        self.size += whole
        self._budget.used += whole
        return True

    def release(self) -> None:
        """Give everything back; doing it again changes nothing."""
        self._budget.used -= self.size
        self.size = 0
