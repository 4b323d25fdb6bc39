"""What engines hold in memory: as recorded here, and as they list it."""

import attrs

from . import invariants

__all__ = ['STREAM', 'HeldItem', 'Holding', 'HoldingTable']

#: Kind of a holding that comes from a dispatched attempt.
STREAM = 'stream'


@attrs.frozen
class HeldItem:
    """Something that an engine says it keeps on somebody's behalf.

    Attributes
    ----------
    kind
        ``stream``, ``export`` or ``pin``.
    owner
        Instance and incarnation that answer for it.
    remaining
        Seconds until the deadline that came with it, negative if past.
    attached
        Whether a connection reads it; ``None`` when the engine does not say.
    """

    kind: str
    item_id: str
    owner: str
    tokens: int
    remaining: float
    attached: bool | None = None


@attrs.frozen
class Holding:
    """What this process makes an engine hold.

    Attributes
    ----------
    deadline
        Monotonic time until which it is wanted.
    """

    url: str
    item_id: str
    owner: str
    deadline: float
    kind: str = STREAM


class HoldingTable:
    """Everything that this process makes engines hold.

    An entry is made before the dispatch, so that there is no moment at which
    an engine holds something that nobody here knows of.
    """

    def __init__(self) -> None:
        """Start with nothing held."""
        self._holdings: dict[str, Holding] = {}

    def __len__(self) -> int:
        """Count what is held."""
        return len(self._holdings)

    def add(self, holding: Holding) -> None:
        """Enter a holding before it is made."""
        invariants.check(
            holding.item_id not in self._holdings,
            'attempt_is_dispatched_once',
            holding.item_id,
        )
        self._holdings[holding.item_id] = holding

    def remove(self, item_id: str) -> None:
        """Drop a holding that the engine no longer has."""
        self._holdings.pop(item_id, None)

    def get(self, item_id: str) -> Holding | None:
        """Find a holding by its id."""
        return self._holdings.get(item_id)

    def all(self) -> list[Holding]:
        """List what is held."""
        return list(self._holdings.values())
