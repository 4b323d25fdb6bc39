"""Bounded memory for answers that are buffered while they arrive."""

import weakref

__all__ = ['EVENT_OVERHEAD', 'BufferBudget', 'Reservation']

#: Bytes that a buffered event takes beside its data: the object and its slot.
EVENT_OVERHEAD = 64


class BufferBudget:
    """Bound in bytes on all buffered answers of this process."""

    def __init__(self, limit: int, answer_limit: int) -> None:
        """Allow ``limit`` bytes, of which one answer gets ``answer_limit``."""
        self.limit = limit
        self.answer_limit = answer_limit
        self.used = 0

    def reserve_for(self, holder: object) -> 'Reservation':
        """Open a reservation that is released with its holder at the latest.

        A handler may be cancelled at any await and then not release the bytes;
        the finalizer of the holder always does.
        """
        reservation = Reservation(self)
        weakref.finalize(holder, reservation.release)
        return reservation


class Reservation:
    """Bytes reserved for one answer."""

    def __init__(self, budget: BufferBudget) -> None:
        """Start with no bytes."""
        self._budget = budget
        self.size = 0

    def fits_answer(self, size: int) -> bool:
        """Return whether one more event stays within the answer's bound."""
        whole = self.size + size + EVENT_OVERHEAD
        return whole <= self._budget.answer_limit

    def acquire(self, size: int) -> bool:
        """Reserve bytes for one more event; false when a bound is reached."""
        whole = size + EVENT_OVERHEAD
        fits_all = self._budget.used + whole <= self._budget.limit
        if not (fits_all and self.fits_answer(size)):
            return False
        self.size += whole
        self._budget.used += whole
        return True

    def release(self) -> None:
        """Release all bytes; may be called repeatedly."""
        self._budget.used -= self.size
        self.size = 0
