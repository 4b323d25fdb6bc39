"""Request limits that endpoints set for themselves.

An endpoint in need states in its answers how many requests per second it
accepts from all instances together.  The limit holds until an answer comes
without it: an endpoint that gets no requests sends no answers, so silence does
not end it.

An engine that warms up bears few requests too, at a rate that operators
declare: for some seconds after its start, and whenever it became cold again.
"""

import enum
import math

import attrs

__all__ = [
    'LimitChange',
    'LimitNotice',
    'RequestLimits',
    'WarmUp',
    'WarmUps',
]

#: Seconds for which an own observation is reported to peers, and the most
#: endpoints in one report, so that it fits into a datagram.
_REPORT_SECONDS = 10.0
_MAX_REPORTED = 32
#: Seconds by which a peer's notice must be newer: its age is counted from its
#: receipt, and an own observation that comes back would seem newer.
_TRANSIT_SECONDS = 0.05
#: Seconds without an answer after which the limit of an endpoint that is not
#: listed is forgotten.
_UNLISTED_SECONDS = 30.0
#: Digits of the seconds in dumps.
_DIGITS = 3


class LimitChange(enum.StrEnum):
    """What a notice changed in the limit of an endpoint."""

    BEGUN = 'request_limit_begun'
    CHANGED = 'request_limit_changed'
    ENDED = 'request_limit_ended'


@attrs.frozen
class LimitNotice:
    """What an endpoint stated about its request limit.

    Attributes
    ----------
    rate
        Requests per second from all instances together; ``None`` for no limit.
    incarnation
        Incarnation of the endpoint that stated it.
    observed_at
        Monotonic time of the answer.
    source
        Peer that reported it; empty for an answer to this instance.
    """

    rate: float | None
    incarnation: str
    observed_at: float
    source: str = ''


class RequestLimits:
    """The latest notice of each endpoint that stated a limit."""

    def __init__(self) -> None:
        """Start without limits."""
        self._notices: dict[str, LimitNotice] = {}
        #: Latest own answers of endpoints that never stated a limit here: a
        #: peer may know of one that has ended meanwhile.
        self._unlimited: dict[str, LimitNotice] = {}

    def accept(self, endpoint: str, notice: LimitNotice) -> LimitChange | None:
        """Replace an older notice; return what that changed, if anything."""
        known = self.get(endpoint)
        margin = _TRANSIT_SECONDS if notice.source else 0
        if known is not None and (
            notice.observed_at <= known.observed_at + margin
        ):
            return None
        if notice.rate is None and endpoint not in self._notices:
            if not notice.source:
                self._unlimited[endpoint] = notice
            return None
        self._unlimited.pop(endpoint, None)
        self._notices[endpoint] = notice
        return _compare(known, notice)

    def get(self, endpoint: str) -> LimitNotice | None:
        """Return the latest notice of an endpoint, in any incarnation."""
        return self._notices.get(endpoint) or self._unlimited.get(endpoint)

    def find(self, endpoint: str, incarnation: str) -> LimitNotice | None:
        """Return the limit of an endpoint in its current incarnation."""
        notice = self._notices.get(endpoint)
        if notice is None or notice.rate is None:
            return None
        return notice if notice.incarnation == incarnation else None

    def list_limited(self) -> dict[str, LimitNotice]:
        """List the limits, by endpoint."""
        return {
            name: notice
            for name, notice in self._notices.items()
            if notice.rate is not None
        }

    def list_reported(self, now: float) -> dict[str, LimitNotice]:
        """List the notices to report to peers: the latest own ones."""
        own = [
            (notice.observed_at, name)
            for name, notice in self._notices.items()
            if not notice.source and now - notice.observed_at < _REPORT_SECONDS
        ]
        own.sort(reverse=True)
        return {name: self._notices[name] for _, name in own[:_MAX_REPORTED]}

    def forget_unlisted(self, listed: frozenset[str], now: float) -> list[str]:
        """Forget endpoints that are no longer listed; return their names."""
        for name in self._unlimited.keys() - listed:
            self._unlimited.pop(name)
        forgotten = [
            name
            for name in self._notices.keys() - listed
            if now - self._notices[name].observed_at > _UNLISTED_SECONDS
        ]
        for name in forgotten:
            self._notices.pop(name)
        return forgotten


def _compare(
    known: LimitNotice | None,
    notice: LimitNotice,
) -> LimitChange | None:
    """Compare a notice with the earlier one of the same endpoint."""
    before = None
    if known is not None and known.incarnation == notice.incarnation:
        before = known.rate
    if before == notice.rate:
        return None
    if before is None:
        return LimitChange.BEGUN
    if notice.rate is None:
        return LimitChange.ENDED
    return LimitChange.CHANGED


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

    @property
    def limit(self) -> float | None:
        """The rate, ``None`` for no limit."""
        return self.rate if self.rate > 0 else None


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
