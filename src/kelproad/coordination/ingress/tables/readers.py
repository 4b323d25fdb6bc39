"""Choice of the instance that serves the store's tables to this one.

If every instance followed every table by itself, calls to the store would grow
with the number of instances, and most of them would return the same.  One
instance reads for all; in each other zone one instance queries it and serves
its own zone.  No agreement is needed on which these are: instances advertise
that they can serve tables, the first by zone and name is queried, and an
instance that finds none reads the store.
"""

from collections.abc import Callable

import attrs

from .tablestates import Provenance

__all__ = [
    'MAX_RELAYED_AGE',
    'Reader',
    'ReaderSelector',
    'choose_longest_relayed',
]

#: Seconds of age from which nothing relayed is taken: the reader of a healthy
#: store and two relays after it are at most 1.6 s behind, and keys are trusted
#: for 3.5 s.
MAX_RELAYED_AGE = 2.0
#: Seconds by which a table from another instance is older than there: one
#: period of queries, one lost datagram and the network.
_HOP_SECONDS = 0.4
#: Seconds for which an instance that did not answer is not queried again.
_AVOIDED_SECONDS = 3.0
#: The same for one that refused, having no table to serve: it may have begun
#: to query another instance itself, or be about to advertise that it can serve.
_REFUSED_SECONDS = 0.3
#: Seconds, for each instance of a zone, in which those that were served until
#: now try the store once: four calls a second of the whole zone.
_BACKOFF_SECONDS = 0.25


def choose_longest_relayed(
    provenance: Provenance, healthy_age: float, slack: float
) -> float:
    """Choose the age from which an instance doesn't relay a table, in seconds.

    One that can't reach the store knows nothing of a change, and neither do all
    that it serves.  It ends that itself, as they can't tell its silence from a
    table without changes.

    Parameters
    ----------
    provenance
        Source of the table.
    healthy_age
        Age in seconds that the table reaches while the store answers at once.
    slack
        Seconds for which the store may take longer.
    """
    hops = Provenance.STORE - provenance
    longest = healthy_age + slack + hops * _HOP_SECONDS
    return min(longest, MAX_RELAYED_AGE)


@attrs.frozen
class Reader:
    """A live instance that tables may be queried from.

    Attributes
    ----------
    provenance
        Source of its tables, ``None`` while they are too old to be relayed.
    """

    instance: str
    host: str
    zone: str
    provenance: Provenance | None = None

    @property
    def rank(self) -> tuple[str, str]:
        """Order in which instances are queried."""
        return self.zone, self.instance

    @property
    def serves_zone(self) -> bool:
        """Whether it may serve tables to the other instances of its zone."""
        return self.provenance in {Provenance.OTHER_ZONE, Provenance.STORE}


class ReaderSelector:
    """Chooses the instance to query, if there is one."""

    def __init__(
        self,
        describe_self: Callable[[], Reader],
        list_live: Callable[[float], list[Reader]],
    ) -> None:
        """Choose for an instance.

        ``list_live`` lists the other instances that are live at a time.
        """
        self._describe_self = describe_self
        self._list_live = list_live
        self._avoided_until: dict[str, float] = {}

    def choose(self, now: float) -> Reader | None:
        """Choose an instance; ``None`` when the store is to be read here."""
        own = self._describe_self()
        able = [
            reader
            for reader in self._list_live(now)
            if self._avoided_until.get(reader.instance, now) <= now
        ]
        chosen = _find_in_zone(own, able) or _find_elsewhere(own, able)
        return min(chosen, key=lambda reader: reader.rank, default=None)

    def measure_backoff(self, now: float) -> float:
        """Return the seconds in which each instance here tries the store once.

        There are none for an instance that serves others, or is alone.
        """
        own = self._describe_self()
        if own.serves_zone:
            return 0
        others = [
            reader for reader in self._list_live(now) if reader.zone == own.zone
        ]
        return len(others) * _BACKOFF_SECONDS

    def avoid(self, reader: Reader, now: float) -> None:
        """Query other instances for a while, as this one did not answer."""
        self._avoid_for(reader, _AVOIDED_SECONDS, now)

    def record_refusal(self, reader: Reader, now: float) -> None:
        """Query other instances briefly, as this one has no table to serve."""
        self._avoid_for(reader, _REFUSED_SECONDS, now)

    def _avoid_for(self, reader: Reader, seconds: float, now: float) -> None:
        self._avoided_until[reader.instance] = now + seconds
        self._avoided_until = {
            name: until
            for name, until in self._avoided_until.items()
            if until > now
        }


def _find_in_zone(own: Reader, live: list[Reader]) -> list[Reader]:
    """List instances that serve this zone; of several the first one remains."""
    serving = [
        reader
        for reader in live
        if reader.zone == own.zone and reader.serves_zone
    ]
    if own.serves_zone:
        return [reader for reader in serving if reader.rank < own.rank]
    return serving


def _find_elsewhere(own: Reader, live: list[Reader]) -> list[Reader]:
    """List readers of the store elsewhere; of several the first one remains."""
    reading = [
        reader
        for reader in live
        if reader.zone != own.zone and reader.provenance is Provenance.STORE
    ]
    if own.provenance is Provenance.STORE:
        return [reader for reader in reading if reader.rank < own.rank]
    return reading
