"""Engines that warm up: for some seconds they bear few requests.

An engine warms up after its start, and whenever it has become cold again.
"""

import math

import attrs

__all__ = ['WarmUp', 'WarmUps']

#: Digits of the seconds in dumps.
_DIGITS = 3


@attrs.frozen
class WarmUp:
    """How the engines of a service warm up, as operators declare it.

    Attributes
    ----------
    seconds
        Time that it takes.
    rate
        Requests per second from all instances together that an engine bears
        meanwhile; 0 for no limit.
    """

    seconds: float = 0
    rate: float = 0


@attrs.define
class _End:
    """Monotonic times until which an engine warms up, by source."""

    stated: float = -math.inf
    assumed: float = -math.inf

    @property
    def latest(self) -> float:
        """The later of them."""
        return max(self.stated, self.assumed)


@attrs.define
class WarmUps:
    """Ends of the warm-ups, by the name and incarnation of engines."""

    _ends: dict[tuple[str, str], _End] = attrs.field(factory=dict)

    def includes(self, endpoint: str, incarnation: str, now: float) -> bool:
        """Return whether an engine warms up."""
        return self.measure_left(endpoint, incarnation, now) > 0

    def measure_left(
        self, endpoint: str, incarnation: str, now: float
    ) -> float:
        """Return the seconds for which an engine goes on warming up."""
        end = self._ends.get((endpoint, incarnation))
        return 0 if end is None else max(0, end.latest - now)

    def state(
        self, endpoint: str, incarnation: str, seconds: float, now: float
    ) -> bool:
        """Record how long an engine says it warms up; return if it begins.

        It ends what the engine stated before, but nothing that was assumed
        since: what it says may be older.
        """
        key = (endpoint, incarnation)
        if not seconds and key not in self._ends:
            return False
        begins = seconds > 0 and not self.includes(endpoint, incarnation, now)
        self._ends.setdefault(key, _End()).stated = now + seconds
        return begins

    def assume(
        self, endpoint: str, incarnation: str, seconds: float, now: float
    ) -> None:
        """Record for how long an engine is assumed to warm up."""
        end = self._ends.setdefault((endpoint, incarnation), _End())
        end.assumed = max(end.assumed, now + seconds)

    def forget_expired(self, now: float) -> None:
        """Forget the warm-ups that have ended."""
        if self._ends:
            self._ends = {
                key: end for key, end in self._ends.items() if end.latest > now
            }

    def describe(self, now: float) -> dict[str, float]:
        """Describe the seconds left for operators, by endpoint."""
        return {
            endpoint: round(end.latest - now, _DIGITS)
            for (endpoint, _), end in self._ends.items()
            if end.latest > now
        }
