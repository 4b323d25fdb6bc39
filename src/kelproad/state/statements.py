"""What endpoints state about themselves in their answers.

A statement that is decoded has a field here, so that whatever reads answers
gets all of them: answers to calls, and replies to reports and orders.
"""

import datetime
import re
import time
from email.utils import parsedate_to_datetime

import attrs

__all__ = [
    'DECIMAL',
    'RETRY_AFTER',
    'TURNED_AWAY',
    'EndpointStatements',
    'parse_pause',
]

RETRY_AFTER = 'Retry-After'
#: Statuses of endpoints that turn a request away.
TURNED_AWAY = frozenset((429, 503))
DECIMAL = re.compile(r'[0-9]{1,15}(\.[0-9]{0,15})?|\.[0-9]{1,15}')
#: Longest pause in seconds: an absurd one must not last forever.
_MAX_PAUSE = 3600.0


@attrs.frozen
class EndpointStatements:
    """The statements of one answer.

    Attributes
    ----------
    request_limit
        Requests per second that the endpoint accepts from all instances
        together, ``None`` when it states no limit.
    unreadable_limit
        Stated limits that are no numbers; empty for none.
    leaves
        Whether the endpoint states that it leaves.
    pause
        Seconds for which the endpoint wants no requests from this instance; 0
        when it states none.
    warm_up
        Seconds for which the endpoint goes on warming up; ``None`` when it
        states none.
    unreadable
        Other statements that could not be read, by field name.
    """

    request_limit: float | None = None
    unreadable_limit: str = ''
    leaves: bool = False
    pause: float = 0
    warm_up: float | None = None
    unreadable: tuple[tuple[str, str], ...] = ()

    @property
    def any_stated(self) -> bool:
        """Whether the endpoint stated anything, if only unreadably."""
        return self != _NOTHING

    @property
    def declines_calls(self) -> bool:
        """Whether the endpoint wants no more calls, for good or for a time."""
        return self.leaves or self.pause > 0


_NOTHING = EndpointStatements()


def parse_pause(text: str) -> float | None:
    """Parse for how long an endpoint that turned a call away wants no other.

    It is a number of seconds or a date; ``None`` for anything else.

    Returns
    -------
    float or None
        Seconds from now, 0 for a date in the past.
    """
    text = text.strip()
    if DECIMAL.fullmatch(text):
        return min(float(text), _MAX_PAUSE)
    try:
        parsed = parsedate_to_datetime(text)
    except (ValueError, OverflowError):
        return None
    if parsed.tzinfo is None:
        parsed = parsed.replace(tzinfo=datetime.UTC)
    return max(0, min(parsed.timestamp() - time.time(), _MAX_PAUSE))
