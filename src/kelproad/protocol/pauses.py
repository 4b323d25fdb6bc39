"""Seconds for which an endpoint that turns a request away wants no other."""

import datetime
import re
import time
from email.utils import parsedate_to_datetime

__all__ = ['DECIMAL', 'RETRY_AFTER', 'TURNED_AWAY', 'parse_pause']

RETRY_AFTER = 'Retry-After'
#: Statuses of endpoints that turn a request away.
TURNED_AWAY = frozenset((429, 503))
DECIMAL = re.compile(r'[0-9]{1,15}(\.[0-9]{0,15})?|\.[0-9]{1,15}')
#: Longest pause in seconds: an absurd one must not last forever.
_MAX_PAUSE = 3600.0


def parse_pause(text: str) -> float | None:
    """Parse a number of seconds or a date; ``None`` for anything else.

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
