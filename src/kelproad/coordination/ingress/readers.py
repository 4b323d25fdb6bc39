"""Which instance tells this one what the store holds.

If every instance followed every table by itself, calls to the store would grow
with the instances, and most of them would bring the same.  One instance reads
for all; in each other zone one asks it and tells its own zone.  No agreement
is needed on who they are: instances say of themselves that they can tell, the
first by zone and name is asked, and whoever finds nobody to ask reads the
store.
"""

from collections.abc import Callable

import attrs

from .tablestates import Provenance

__all__ = ['OLDEST_TOLD', 'Reader', 'ReaderChoice']

#: Seconds of age from which a table is not told on: the reader of a sound
#: store and two tellings after it are at most 1.6 s behind, and keys are
#: trusted for 3.5 s.
OLDEST_TOLD = 2.0
#: Seconds for which an instance that did not answer is not asked again.
_AVOIDED_SECONDS = 3.0
#: The same for one that answered that it can't tell: it may have begun to ask
#: somebody itself, or is about to say so.
_REFUSED_SECONDS = 0.3
#: Seconds, for each instance of a zone, in which those that were told until now
#: look for the store once: four looks a second of the whole zone.
_BACKOFF_SECONDS = 0.25


@attrs.frozen
class Reader:
    """An instance that was heard of lately.

    Attributes
    ----------
    provenance
        Where its tables come from, ``None`` while they are too old to be told.
    """

    instance: str
    host: str
    zone: str
    provenance: Provenance | None = None

    @property
    def rank(self) -> tuple[str, str]:
        """Order in which instances are asked."""
        return self.zone, self.instance

    @property
    def serves_zone(self) -> bool:
        """Whether it tells the other instances of its zone."""
        return self.provenance in {Provenance.OTHER_ZONE, Provenance.STORE}


class ReaderChoice:
    """Chooses the instance to ask, if there is one."""

    def __init__(
        self,
        describe_own: Callable[[], Reader],
        list_heard: Callable[[float], list[Reader]],
    ) -> None:
        """Choose for an instance.

        ``list_heard`` lists the other instances that were heard of lately.
        """
        self._describe_own = describe_own
        self._list_heard = list_heard
        self._avoided_until: dict[str, float] = {}

    def choose(self, now: float) -> Reader | None:
        """Choose whom to ask; ``None`` when the store is to be read here."""
        own = self._describe_own()
        able = [
            reader
            for reader in self._list_heard(now)
            if self._avoided_until.get(reader.instance, now) <= now
        ]
        chosen = _find_in_zone(own, able) or _find_elsewhere(own, able)
        return min(chosen, key=lambda reader: reader.rank, default=None)

    def measure_backoff(self, now: float) -> float:
        """Measure the seconds in which each of the zone looks for the store.

        There are none for an instance that tells others, or is alone.
        """
        own = self._describe_own()
        if own.serves_zone:
            return 0
        others = [
            reader
            for reader in self._list_heard(now)
            if reader.zone == own.zone
        ]
        return len(others) * _BACKOFF_SECONDS

    def avoid(self, reader: Reader, now: float) -> None:
        """Ask somebody else for a while, as this one did not answer."""
        self._avoid_for(reader, _AVOIDED_SECONDS, now)

    def note_refusal(self, reader: Reader, now: float) -> None:
        """Ask somebody else for a moment, as this one can't tell."""
        self._avoid_for(reader, _REFUSED_SECONDS, now)

    def _avoid_for(self, reader: Reader, seconds: float, now: float) -> None:
        self._avoided_until[reader.instance] = now + seconds
        self._avoided_until = {
            name: until
            for name, until in self._avoided_until.items()
            if until > now
        }


def _find_in_zone(own: Reader, heard: list[Reader]) -> list[Reader]:
    """Find who tells this zone; of several that do, the first goes on."""
    telling = [
        reader
        for reader in heard
        if reader.zone == own.zone and reader.serves_zone
    ]
    if own.serves_zone:
        return [reader for reader in telling if reader.rank < own.rank]
    return telling


def _find_elsewhere(own: Reader, heard: list[Reader]) -> list[Reader]:
    """Find who reads the store in other zones; of several the first goes on."""
    reading = [
        reader
        for reader in heard
        if reader.zone != own.zone and reader.provenance is Provenance.STORE
    ]
    if own.provenance is Provenance.STORE:
        return [reader for reader in reading if reader.rank < own.rank]
    return reading
