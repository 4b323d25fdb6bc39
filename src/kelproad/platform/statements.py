"""Decoding of what endpoints state about themselves in header fields."""

from multidict import CIMultiDictProxy

from ..state.statements import (
    DECIMAL,
    RETRY_AFTER,
    TURNED_AWAY,
    EndpointStatements,
    parse_pause,
)

__all__ = ['STATEMENT_FIELDS', 'read_statements']

#: Requests per second that the endpoint accepts from all instances together.
_REQUEST_LIMIT = 'Server-Limit'
#: Whether the endpoint leaves: 1, or 0.
_LEAVING = 'Server-Leaving'
#: Milliseconds for which the endpoint goes on warming up.
_WARM_UP = 'X-Kelproad-Warmup-Ms'
STATEMENT_FIELDS = (_REQUEST_LIMIT, _LEAVING, _WARM_UP, RETRY_AFTER)
_MILLISECONDS = 1000.0

_LEAVES = '1'
_STAYS = '0'
#: Characters of an unreadable field that are shown.
_MAX_SHOWN = 40

_Unreadable = list[tuple[str, str]]


def read_statements(
    status: int, headers: CIMultiDictProxy[str]
) -> EndpointStatements:
    """Decode the statements of an answer with a status."""
    unreadable: _Unreadable = []
    limits, bad_limits = _parse_limits(headers.getall(_REQUEST_LIMIT, []))
    pause = float(0)
    if status in TURNED_AWAY:
        pause = _parse_pause(headers.getall(RETRY_AFTER, []), unreadable)
    return EndpointStatements(
        # Of several limits the lowest one satisfies all.
        request_limit=min(limits, default=None),
        unreadable_limit=', '.join(bad_limits),
        leaves=_parse_leaving(headers.getall(_LEAVING, []), unreadable),
        pause=pause,
        warm_up=_parse_warm_up(headers.getall(_WARM_UP, []), unreadable),
        unreadable=tuple(unreadable),
    )


def _parse_limits(fields: list[str]) -> tuple[list[float], list[str]]:
    """Parse the limits of one or more fields; return unreadable ones too."""
    limits: list[float] = []
    unreadable: list[str] = []
    for text in _split(fields):
        if DECIMAL.fullmatch(text):
            limits.append(float(text))
        else:
            unreadable.append(_shorten(text))
    return limits, unreadable


def _parse_leaving(fields: list[str], unreadable: _Unreadable) -> bool:
    """Return whether any of the values states that the endpoint leaves."""
    texts = _split(fields)
    unreadable.extend(
        (_LEAVING, _shorten(text))
        for text in texts
        if text not in {_LEAVES, _STAYS}
    )
    return _LEAVES in texts


def _parse_pause(fields: list[str], unreadable: _Unreadable) -> float:
    """Return the longest pause of several, in seconds.

    A date has a comma in it, so that several values are several fields.
    """
    longest = float(0)
    for field in fields:
        seconds = parse_pause(field)
        if seconds is None:
            unreadable.append((RETRY_AFTER, _shorten(field)))
        else:
            longest = max(longest, seconds)
    return longest


def _parse_warm_up(fields: list[str], unreadable: _Unreadable) -> float | None:
    """Return the longest warm-up of several, in seconds."""
    texts = _split(fields)
    unreadable.extend(
        (_WARM_UP, _shorten(text))
        for text in texts
        if not DECIMAL.fullmatch(text)
    )
    stated = [float(text) for text in texts if DECIMAL.fullmatch(text)]
    return max(stated) / _MILLISECONDS if stated else None


def _split(fields: list[str]) -> list[str]:
    """Split fields into their comma-separated values."""
    return (
        [text.strip() for text in ','.join(fields).split(',')] if fields else []
    )


def _shorten(text: str) -> str:
    return repr(text[:_MAX_SHOWN])
