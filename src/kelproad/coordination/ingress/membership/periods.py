"""When reports of work are due, by the number of receiving instances."""

import attrs

__all__ = [
    'LastReport',
    'MIN_REPEAT_PERIOD',
    'SEND_PERIOD',
    'choose_local_repeat',
    'choose_remote_periods',
]

#: Least seconds between two datagrams to the same peers; the first change
#: after a quiet period is sent at once.
SEND_PERIOD = 0.02
#: Seconds after which unchanged work is sent again, as a datagram may be lost:
#: the minimum, the share of each receiving instance, and the maximum.  Work is
#: forgotten after 1.5 s, so one datagram may be lost.
MIN_REPEAT_PERIOD = 0.25
_REPEAT_PERIOD_PER_PEER = 0.012
_MAX_REPEAT_PERIOD = 0.5
#: Factor on these for an instance without work, of which nothing can be
#: forgotten; it counts as live for 3 s.
_IDLE_FACTOR = 2
#: Seconds between changes sent to other zones: the share of each instance
#: there, and the maximum.
_REMOTE_SEND_PERIOD_PER_PEER = 0.0025
_MAX_REMOTE_SEND_PERIOD = 0.25


def choose_local_repeat(peers: int, idle: bool) -> float:
    """Return the seconds until unchanged work is sent to the zone again."""
    factor = _IDLE_FACTOR if idle else 1
    return _choose_repeat(peers * factor, _MAX_REPEAT_PERIOD * factor)


def choose_remote_periods(peers: int) -> tuple[float, float]:
    """Return the seconds between changes, and until a repetition."""
    return (
        min(_MAX_REMOTE_SEND_PERIOD, peers * _REMOTE_SEND_PERIOD_PER_PEER),
        _choose_repeat(peers, _MAX_REPEAT_PERIOD),
    )


def _choose_repeat(peers: int, longest: float) -> float:
    return max(MIN_REPEAT_PERIOD, min(longest, peers * _REPEAT_PERIOD_PER_PEER))


@attrs.define
class LastReport:
    """The last report sent to some peers, and its monotonic time."""

    changes: object = None
    at: float = float('-inf')

    def mark_if_due(
        self,
        changes: object,
        now: float,
        period: float,
        repeat: float,
    ) -> bool:
        """Return whether a report is due now, and if so record it as sent.

        ``period`` and ``repeat`` are the least seconds since the last report
        if there are changes, and if there are none.
        """
        pause = repeat if changes == self.changes else period
        if now - self.at < pause:
            return False
        self.changes = changes
        self.at = now
        return True
