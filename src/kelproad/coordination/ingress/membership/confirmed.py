"""Where else the configuration is fresh, as far as an instance knows."""

import enum
from collections.abc import Sequence

from ..tables.readers import MAX_RELAYED_AGE

__all__ = ['CONFIRMED_SECONDS', 'ConfirmedElsewhere', 'judge_confirmed']

#: Seconds after its confirmation for which the configuration of an instance
#: counts as known: as long as it may be relayed.
CONFIRMED_SECONDS = MAX_RELAYED_AGE
#: Share of the live peers from which a caller that goes to any of them probably
#: meets one with a fresh configuration.
_WIDE_SHARE = 0.5


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
