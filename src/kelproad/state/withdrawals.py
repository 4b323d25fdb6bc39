"""Endpoints that want no more calls: for good, as they leave, or for a time.

What an endpoint states holds for its incarnation, whatever its entry says and
however often the table is built anew: an entry may be old, or lapse and come
back.  Nothing that it answers later takes it back.
"""

import math
from collections.abc import Callable

import attrs

__all__ = ['USABLE_SHARE', 'Withdrawal', 'Withdrawals']

#: Seconds for which the withdrawal of an incarnation that is not listed is
#: kept: its entry may lapse while the store is down, and come back.
_UNLISTED_SECONDS = 60.0
#: Seconds for which an endpoint that leaves is used where nothing else can be:
#: by default, and as a share of the time that the platform permits.
_USABLE_SECONDS = 0.8
USABLE_SHARE = 0.4


@attrs.define
class Withdrawal:
    """What one incarnation of an endpoint stated.

    Attributes
    ----------
    stated_here_at
        Monotonic time at which it first told this instance that it leaves.
    reported_at
        Monotonic time at which it first told another instance, by that one's
        report.
    reported_until
        Monotonic time until which reports of other instances hold.
    paused_until
        Monotonic time until which it wants no requests from this instance.
    leaves
        Whether it stated to this instance or to another one that it leaves.
    usable_seconds
        Seconds after that for which calls that nothing else can serve may
        still be sent to it.
    """

    stated_here_at: float = math.inf
    reported_at: float = math.inf
    reported_until: float = -math.inf
    paused_until: float = -math.inf
    leaves: bool = False
    usable_seconds: float = _USABLE_SECONDS
    #: Monotonic time at which it was last listed.
    listed_at: float = -math.inf

    @property
    def left_at(self) -> float:
        """Monotonic time at which it first stated that it leaves."""
        return min(self.stated_here_at, self.reported_at)

    def is_last_resort(self, now: float) -> bool:
        """Return whether it leaves, but may get what nothing else serves."""
        return self.leaves and now - self.left_at < self.usable_seconds

    def is_paused(self, now: float) -> bool:
        """Return whether it wants no requests from this instance now."""
        return self.paused_until > now

    def state_leaving(self, now: float) -> bool:
        """Record its own statement; return whether it is the first here."""
        is_first = math.isinf(self.stated_here_at)
        self.stated_here_at = min(self.stated_here_at, now)
        self.leaves = True
        return is_first

    def report_leaving(self, stated_at: float, until: float) -> None:
        """Record another instance's report, which holds until a time."""
        self.reported_at = min(self.reported_at, stated_at)
        self.reported_until = max(self.reported_until, until)
        self.leaves = True

    def expire(self, now: float) -> None:
        """Forget reports of other instances that hold no longer."""
        if self.reported_until <= now:
            self.reported_at = math.inf
            self.leaves = math.isfinite(self.stated_here_at)

    def pause(self, until: float) -> bool:
        """Record a pause; return whether it is longer than any before."""
        is_longer = until > self.paused_until
        self.paused_until = max(until, self.paused_until)
        return is_longer


@attrs.define
class Withdrawals:
    """Withdrawals by the name and incarnation of endpoints.

    ``usable_seconds`` is that of new ones.
    """

    usable_seconds: float = _USABLE_SECONDS
    _known: dict[tuple[str, str], Withdrawal] = attrs.field(factory=dict)

    def find(self, endpoint: str, incarnation: str) -> Withdrawal | None:
        """Return the withdrawal of an incarnation, if it stated anything."""
        return self._known.get((endpoint, incarnation))

    def forget_unlisted(
        self, is_listed: Callable[[str, str], bool], now: float
    ) -> None:
        """Forget what has expired, and incarnations long not listed."""
        for key, withdrawal in list(self._known.items()):
            withdrawal.expire(now)
            if is_listed(*key):
                withdrawal.listed_at = now
            elif now - withdrawal.listed_at > _UNLISTED_SECONDS:
                self._known.pop(key)

    def keep(self, endpoint: str, incarnation: str, now: float) -> Withdrawal:
        """Return the withdrawal of an incarnation, a new one if it has none."""
        fresh = Withdrawal(usable_seconds=self.usable_seconds, listed_at=now)
        return self._known.setdefault((endpoint, incarnation), fresh)

    def all(self) -> dict[tuple[str, str], Withdrawal]:
        """Return all withdrawals by name and incarnation."""
        return self._known
