"""Holdings: memory that engines keep, as recorded here and as they list it."""

import attrs

from . import invariants

__all__ = ['STREAM', 'HeldItem', 'Holding', 'HoldingTable']

#: Kind of the holding of a dispatched attempt.
STREAM = 'stream'


@attrs.frozen
class HeldItem:
    """Memory that an engine reports to keep for an owner.

    Attributes
    ----------
    kind
        ``stream``, ``export`` or ``pin``.
    owner
        Instance and incarnation responsible for it.
    remaining
        Seconds until the deadline that came with it, negative if past.
    attached
        Whether a connection reads it; ``None`` if the engine does not report
        it.
    """

    kind: str
    item_id: str
    owner: str
    tokens: int
    remaining: float
    attached: bool | None = None


@attrs.frozen
class Holding:
    """Memory that an engine keeps for this process.

    Attributes
    ----------
    deadline
        Monotonic time until which it is needed.
    """

    url: str
    item_id: str
    owner: str
    deadline: float
    kind: str = STREAM


class HoldingTable:
    """All holdings of this process.

    A holding is added before its dispatch, so that no engine ever keeps memory
    for this process without a record here.
    """

    def __init__(self) -> None:
        """Start with no holdings."""
        self._holdings: dict[str, Holding] = {}

    def __len__(self) -> int:
        """Count the holdings."""
        return len(self._holdings)

    def add(self, holding: Holding) -> None:
        """Add a holding before its dispatch."""
        invariants.check(
            holding.item_id not in self._holdings,
            'attempt_is_dispatched_once',
            holding.item_id,
        )
        self._holdings[holding.item_id] = holding

    def remove(self, item_id: str) -> None:
        """Remove a holding that the engine no longer keeps, if recorded."""
        self._holdings.pop(item_id, None)

    def get(self, item_id: str) -> Holding | None:
        """Find a holding by its id."""
        return self._holdings.get(item_id)

    def all(self) -> list[Holding]:
        """List the holdings."""
        return list(self._holdings.values())
