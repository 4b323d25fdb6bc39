"""Reachability of availability zones, inferred before calls fail.

Instances receive datagrams from each other several times a second.  When all
instances of a zone fall silent at once, the zone is probably partitioned, and
its endpoints with it: a call sent there would wait for a connection that is
never made.  An answer from an endpoint there proves otherwise.
"""

import attrs

__all__ = ['ZoneReachability']

#: Seconds of silence of all instances of a zone after which it is suspect.
#: They send every 0.25 s, so two datagrams in a row were lost or never sent.
SILENT_SECONDS = 0.7
#: Seconds without a datagram of any instance of a zone after which none of them
#: counts as live.
LIVE_SECONDS = 3.0
#: Seconds between two calls that may probe a suspect zone.
_PROBE_SECONDS = 1.0


@attrs.define
class _ZoneTimes:
    """Monotonic times of the latest events of a zone, in seconds."""

    peer_at: float | None = None
    answer_at: float = float('-inf')
    failure_at: float = float('-inf')
    probed_at: float = float('-inf')


class ZoneReachability:
    """Infers whether zones can be reached."""

    def __init__(self) -> None:
        """Start with no zone suspect."""
        self._zones: dict[str, _ZoneTimes] = {}

    def record_peer(self, zone: str, now: float) -> None:
        """Record that a datagram of an instance there was received."""
        self._find(zone).peer_at = now

    def record_answer(self, zone: str, now: float) -> None:
        """Record that an endpoint there answered."""
        self._find(zone).answer_at = now

    def record_connect_failure(self, zone: str, now: float) -> None:
        """Record that a connection to an endpoint there failed."""
        self._find(zone).failure_at = now

    def is_suspect(self, zone: str, now: float) -> bool:
        """Return whether a zone is probably unreachable.

        An endpoint's answer well after the last datagram of an instance proves
        that only the instances are down, until a connection fails.
        """
        times = self._zones.get(zone)
        if times is None or times.peer_at is None:
            return False
        silent_at = times.peer_at + SILENT_SECONDS
        if now < silent_at:
            return False
        return times.answer_at < silent_at or times.failure_at > times.answer_at

    def has_live_instance(self, zone: str, now: float) -> bool:
        """Return whether a datagram of an instance came lately."""
        times = self._zones.get(zone)
        if times is None or times.peer_at is None:
            return False
        return now - times.peer_at < LIVE_SECONDS

    def take_probe(self, zone: str, now: float) -> bool:
        """Permit one call a second to probe a suspect zone."""
        times = self._find(zone)
        if now - times.probed_at < _PROBE_SECONDS:
            return False
        times.probed_at = now
        return True

    def _find(self, zone: str) -> _ZoneTimes:
        return self._zones.setdefault(zone, _ZoneTimes())
