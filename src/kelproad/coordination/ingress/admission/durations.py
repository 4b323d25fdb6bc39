"""How long answers took lately, by the route that they were requested on."""

from ....transport.deadlines import monotonic

__all__ = ['SlowestAnswers']

#: Seconds of a span; answers of the present and the last one count.
_SPAN_SECONDS = 30.0


class SlowestAnswers:
    """The longest time that an answer on each route took lately."""

    def __init__(self) -> None:
        """Start without any answer."""
        #: Longest seconds by route, in the present span and the one before.
        self._present: dict[str, float] = {}
        self._last: dict[str, float] = {}
        self._ends_at = monotonic() + _SPAN_SECONDS

    def observe(self, route: str, seconds: float) -> None:
        """Record how many seconds an answer took."""
        self._move_on()
        self._present[route] = max(seconds, self._present.get(route, 0))

    def find(self, route: str) -> float:
        """Return the longest seconds of a route, 0 if none is known."""
        self._move_on()
        return max(self._present.get(route, 0), self._last.get(route, 0))

    def _move_on(self) -> None:
        now = monotonic()
        if now < self._ends_at:
            return
        is_recent = now < self._ends_at + _SPAN_SECONDS
        self._last = self._present if is_recent else {}
        self._present = {}
        self._ends_at = now + _SPAN_SECONDS
