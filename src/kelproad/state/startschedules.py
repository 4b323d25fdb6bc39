"""Schedules of the starts of requests at endpoints that limit them.

A schedule spaces starts evenly (generic cell rate algorithm).  A start may be
reserved for later, so that who may wait is served in turn; nothing has to be
returned when a reservation is not used, as time goes on in any case.
"""

import collections
import enum

import attrs

__all__ = [
    'LimitReason',
    'StartGrant',
    'StartLimit',
    'StartSchedule',
    'choose_limit',
    'choose_spacing',
]

#: Seconds whose unused starts may be made up for at once, and the same at an
#: engine that warms up, which too many requests within one second would harm.
_BURST_SECONDS = 1.0
_WARM_UP_BURST_SECONDS = 0.25
#: Least and most seconds between two starts, however high or low the limit:
#: only an answer to a request shows that a limit has ended.
_MIN_SPACING = 0.000001
_MAX_SPACING = 10.0
#: Most seconds that starts granted by a higher limit delay later ones.
_MAX_DEBT_SECONDS = 4.0
#: Seconds over which used starts are counted.
_USE_SECONDS = 4.0


class LimitReason(enum.StrEnum):
    """Why the starts at an endpoint are limited."""

    STATED = 'stated'
    WARM_UP = 'warm_up'


@attrs.frozen
class StartLimit:
    """Limit of the starts at one endpoint, for all instances together.

    Attributes
    ----------
    rate
        Starts per second.
    """

    rate: float
    reason: LimitReason = LimitReason.STATED

    @property
    def spacing(self) -> float:
        """Seconds between two starts."""
        return choose_spacing(self.rate)

    @property
    def burst_seconds(self) -> float:
        """Seconds whose unused starts may be made up for at once."""
        if self.reason is LimitReason.WARM_UP:
            return _WARM_UP_BURST_SECONDS
        return _BURST_SECONDS


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
        #: Monotonic time of the next start; in the past while starts are left
        #: to be made up for.
        self._next_at = first_at
        self._starts: collections.deque[float] = collections.deque()

    def reserve(
        self,
        spacing: float,
        longest_wait: float,
        now: float,
        burst_seconds: float = _BURST_SECONDS,
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
        burst_seconds
            Seconds whose unused starts may be made up for at once.
        """
        self._adapt(spacing, now)
        wait = self._measure_wait(now)
        if wait > longest_wait:
            return StartGrant(granted=False, wait=0, next_wait=wait)
        earliest = now - max(0, burst_seconds - spacing)
        self._next_at = max(self._next_at, earliest) + spacing
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
        return max(0, self._next_at - now)

    def _adapt(self, spacing: float, now: float) -> None:
        """Change the spacing, also of the starts that are reserved already.

        Those come as they were granted, and a lower limit waits for some of
        the time that they would take by it.
        """
        ahead = self._next_at - now
        if ahead > 0 and spacing != self._spacing:
            adapted = ahead * spacing / self._spacing
            self._next_at = now + min(adapted, ahead + _MAX_DEBT_SECONDS)
        self._spacing = spacing

    def _drop_old(self, now: float) -> None:
        while self._starts and self._starts[0] < now - _USE_SECONDS:
            self._starts.popleft()


def choose_limit(
    stated: float | None, warm_up: float | None
) -> StartLimit | None:
    """Choose the lower of two rates per second, ``None`` if there is none."""
    if warm_up is not None and (stated is None or warm_up < stated):
        return StartLimit(warm_up, LimitReason.WARM_UP)
    return None if stated is None else StartLimit(stated)


def choose_spacing(rate: float) -> float:
    """Return the seconds between two starts at a rate per second."""
    if not rate > 0:
        return _MAX_SPACING
    return max(_MIN_SPACING, min(_MAX_SPACING, 1 / rate))
