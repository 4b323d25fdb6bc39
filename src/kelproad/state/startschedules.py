"""Schedules of the starts of requests at endpoints that limit them.

A schedule spaces starts evenly (generic cell rate algorithm).  A start may be
reserved for later, so that who may wait is served in turn; nothing has to be
returned when a reservation is not used, as time goes on in any case.
"""

import collections

import attrs

__all__ = ['StartGrant', 'StartSchedule', 'choose_spacing']

#: Seconds whose unused starts may be made up for at once.
_BURST_SECONDS = 1.0
#: Most seconds between two starts, however low the limit: only an answer to a
#: request shows that a limit has ended.
_MAX_SPACING = 10.0
#: Seconds over which used starts are counted.
_USE_SECONDS = 4.0


@attrs.frozen
class StartGrant:
    """The reply to a wish to start a request.

    Attributes
    ----------
    granted
        Whether a start is reserved.
    wait
        Seconds until the reserved start; 0 without one.
    next_wait
        Seconds until the next start that is not reserved.
    """

    granted: bool
    wait: float
    next_wait: float


class StartSchedule:
    """Starts at one endpoint, from the instances that share its limit.

    It begins without anything to make up for, since another instance may have
    granted starts just before.
    """

    def __init__(self, spacing: float, first_at: float) -> None:
        """Reserve the first start at ``first_at`` at the earliest."""
        self._spacing = spacing
        #: Monotonic time of the next start if all were evenly spaced.
        self._next_at = first_at + self._burst_seconds
        self._starts: collections.deque[float] = collections.deque()

    def reserve(
        self,
        spacing: float,
        longest_wait: float,
        now: float,
    ) -> StartGrant:
        """Reserve the next start unless it is more than a wait away.

        Parameters
        ----------
        spacing
            Seconds between two starts.
        longest_wait
            Seconds; infinity reserves in any case.
        now
            Monotonic time in seconds.
        """
        self._adapt(spacing, now)
        wait = self._measure_wait(now)
        if wait > longest_wait:
            return StartGrant(granted=False, wait=0, next_wait=wait)
        self._next_at = max(self._next_at, now) + spacing
        self._starts.append(now + wait)
        self._drop_old(now)
        return StartGrant(
            granted=True, wait=wait, next_wait=self._measure_wait(now)
        )

    def measure_use(self, now: float) -> float:
        """Return the starts per second over the last few seconds."""
        self._drop_old(now)
        started = sum(starts_at <= now for starts_at in self._starts)
        return started / _USE_SECONDS

    def _measure_wait(self, now: float) -> float:
        return max(0, self._next_at - self._burst_seconds - now)

    @property
    def _burst_seconds(self) -> float:
        """Seconds by which a start may precede its evenly spaced time."""
        return max(0, _BURST_SECONDS - self._spacing)

    def _adapt(self, spacing: float, now: float) -> None:
        """Change the spacing, also of the starts that are reserved already."""
        if spacing != self._spacing:
            reserved = max(0, self._next_at - now)
            self._next_at = now + reserved * spacing / self._spacing
            self._spacing = spacing

    def _drop_old(self, now: float) -> None:
        while self._starts and self._starts[0] < now - _USE_SECONDS:
            self._starts.popleft()


def choose_spacing(rate: float) -> float:
    """Return the seconds between two starts at a rate per second."""
    return min(_MAX_SPACING, 1 / rate) if rate > 0 else _MAX_SPACING
