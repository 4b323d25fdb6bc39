"""Whether an engine outlives the begin of an answer."""

from collections.abc import Callable

import attrs

from ....state.calls import Call
from ....transport.deadlines import monotonic

__all__ = ['Endurance']

#: Events, and seconds since the first of them, after which an engine has
#: outlived the begin of an answer.
_MIN_EVENTS = 3
_MIN_SECONDS = 0.25


@attrs.define
class Endurance:
    """Events of one attempt, until its engine has outlived their begin.

    ``_record`` gets the call, and whether its answer was resumed.
    """

    _call: Call
    _resumed: bool
    _record: Callable[[Call, bool], None]
    _events: int = 0
    _first_at: float | None = None
    _recorded: bool = False

    def count(self, events: int) -> None:
        """Count events that have arrived."""
        now = monotonic()
        if self._first_at is None:
            self._first_at = now
        self._events += events
        lasts = now - self._first_at >= _MIN_SECONDS
        if lasts and self._events >= _MIN_EVENTS and not self._recorded:
            self._recorded = True
            self._record(self._call, self._resumed)

    def finish(self) -> None:
        """Record the end of a whole answer, which shows it in any case."""
        if self._events:
            self._record(self._call, self._resumed)
