"""When the configuration in force was last confirmed, here and elsewhere.

The copy from which a store was restored does not know what was accepted after
it was taken, such as the revocation of a key.  Its answers confirm nothing
until operators have written again, or have had time for it.  An instance that
has just started can't know whether it reads such a copy; other instances do.
"""

import enum
from collections.abc import Callable, Sequence

from ....transport.deadlines import monotonic, read_boottime
from .readers import MAX_RELAYED_AGE

__all__ = [
    'CONFIRMED_SECONDS',
    'Confirmation',
    'ConfirmedElsewhere',
    'judge_confirmed',
]

#: Seconds after its confirmation for which the configuration of an instance
#: counts as known: as long as it may be relayed.
CONFIRMED_SECONDS = MAX_RELAYED_AGE
#: Share of the live peers from which a caller that goes to any of them probably
#: meets one with a fresh configuration.
_WIDE_SHARE = 0.5


class Confirmation:
    """Age of the last confirmation of the configuration in force.

    Attributes
    ----------
    read_clock
        Reads the clock by which others get the time to object; it should stand
        still while this process does.
    is_restored
        Whether the store was restored, and nothing was written since.
    """

    def __init__(
        self,
        measure_age: Callable[[], float],
        settle_seconds: float,
        rewrite_seconds: float,
    ) -> None:
        """Confirm by the answers of the store.

        Parameters
        ----------
        measure_age
            Returns how many seconds old the configuration may be, by the last
            answer of the store.
        settle_seconds
            Seconds after a restoration for which answers confirm nothing.
        rewrite_seconds
            Seconds after a restoration for which operators may have more to
            write again.
        """
        self.read_clock = monotonic
        self.is_restored = False
        self._measure_follower_age = measure_age
        self._settle_seconds = settle_seconds
        self._rewrite_seconds = rewrite_seconds
        #: Boot time up to which the configuration is confirmed while answers
        #: confirm nothing.
        self._confirmed_until = float('-inf')
        #: Monotonic time from which answers confirm again.
        self._settled_at = float('-inf')
        #: Monotonic time from which nothing is missing that was accepted.
        self._complete_at = float('-inf')
        #: Whether there has been a first configuration.
        self._has_begun = False
        #: Time by ``read_clock`` from which the first answer counts as
        #: compared.
        self._compared_at = float('inf')

    def measure_age(self) -> float:
        """Return the seconds since the configuration was confirmed."""
        if not self.is_compared:
            return float('inf')
        if self.is_settled:
            return self._measure_follower_age()
        return read_boottime() - self._confirmed_until

    @property
    def is_settled(self) -> bool:
        """Whether answers of the store confirm."""
        return monotonic() >= self._settled_at

    @property
    def is_complete(self) -> bool:
        """Whether all that was accepted should be written again.

        Until then, what is not configured may be missing for that reason.
        """
        return monotonic() >= self._complete_at

    @property
    def is_compared(self) -> bool:
        """Whether the first configuration is as new as that of others."""
        return self.read_clock() >= self._compared_at

    def begin(self, direct: bool) -> None:
        """Wait for other instances after the first configuration.

        The store may have returned from a copy just before, so that operators
        may have more to write again.

        ``direct`` tells whether it comes from the store, not from another
        instance.
        """
        if not self._has_begun:
            self._has_begun = True
            rewritten_at = monotonic() + self._rewrite_seconds
            self._complete_at = max(self._complete_at, rewritten_at)
        wait = self._settle_seconds if direct else 0
        self._compared_at = min(self._compared_at, self.read_clock() + wait)

    def mark_compared(self) -> None:
        """Record that other instances know nothing newer, or are none."""
        self._compared_at = float('-inf')

    def suspend(self, recovered_at: float) -> None:
        """Stop to confirm by answers, as the store was restored.

        ``recovered_at`` is the monotonic time at which it was back.
        """
        self.is_restored = True
        self._confirmed_until = read_boottime() - self.measure_age()
        self._settled_at = recovered_at + self._settle_seconds
        self._complete_at = recovered_at + self._rewrite_seconds

    def resume(self) -> None:
        """Confirm by answers again, as operators have written again."""
        self.is_restored = False
        self._settled_at = float('-inf')
        self._complete_at = float('-inf')


class ConfirmedElsewhere(enum.Enum):
    """Whether other instances have a fresh configuration."""

    #: So many of the live peers report it that the next one probably has it.
    WIDELY = enum.auto()
    #: Some of the live peers report it.
    PARTLY = enum.auto()
    #: Nobody reports it, but this instance or its zone seems to be cut off.
    PRESUMABLY = enum.auto()
    #: Nobody has one, as far as is known.
    NOWHERE = enum.auto()

    @property
    def is_reported(self) -> bool:
        """Whether a live peer reports one."""
        return self in {self.WIDELY, self.PARTLY}


def judge_confirmed(
    ages: Sequence[float], is_cut_off: bool
) -> ConfirmedElsewhere:
    """Judge where the configuration is fresh.

    Parameters
    ----------
    ages
        Seconds since the confirmation at each live peer, by its own report.
    is_cut_off
        Whether this instance, or its zone, seems to be cut off from others.
    """
    confirmed = sum(age < CONFIRMED_SECONDS for age in ages)
    if not confirmed:
        return (
            ConfirmedElsewhere.PRESUMABLY
            if is_cut_off
            else ConfirmedElsewhere.NOWHERE
        )
    if confirmed < len(ages) * _WIDE_SHARE:
        return ConfirmedElsewhere.PARTLY
    return ConfirmedElsewhere.WIDELY
