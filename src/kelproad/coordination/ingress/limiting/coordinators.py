"""Selection of the instance that grants starts at a limited endpoint.

One instance of the endpoint's zone grants all starts there, so that the limit
holds for all instances together, however many there are.  Every instance
computes which one from the peers that it knows to be live; there is no
election.  Where two views differ for a moment, each of the two grants starts
for that moment; an instance that has exited is replaced once its silence shows.
"""

import zlib
from collections.abc import Callable

import attrs

from ....state.startschedules import LimitReason, StartLimit
from ..membership.peers import PeerRegister
from ..tables.readers import Reader

__all__ = ['Coordinator', 'CoordinatorSelector']

#: Seconds for which a selection is kept, as all peers are ranked for it, and
#: the most that are kept.
_VALID_SECONDS = 0.1
_MAX_SELECTIONS = 1000


@attrs.frozen
class Coordinator:
    """The instance that grants starts at an endpoint.

    Attributes
    ----------
    host
        Its IP number; empty for this instance.
    share
        Share of the endpoint's limit that it may grant.
    live_part
        Part of the known instances that are live.
    """

    host: str
    share: float = 1
    live_part: float = 1

    def find_share(self, limit: StartLimit) -> float:
        """Return the share of a limit that it may grant."""
        return self.share * self.find_live_part(limit)

    def find_live_part(self, limit: StartLimit) -> float:
        """Return the part of a limit that all live instances may use.

        Instances that are cut off from each other have a coordinator each, and
        an engine that warms up is harmed by more than its rate.
        """
        return self.live_part if limit.reason is LimitReason.WARM_UP else 1


@attrs.define
class CoordinatorSelector:
    """Selects coordinators from the live instances."""

    _describe_self: Callable[[], Reader]
    _peers: PeerRegister
    #: Latest selections by endpoint and zone, and their monotonic times.
    _selected: dict[tuple[str, str], tuple[Coordinator, float]] = attrs.field(
        factory=dict
    )

    def select(self, endpoint: str, zone: str, now: float) -> Coordinator:
        """Select the coordinator of an endpoint in a zone.

        Without a live instance in that zone, each other zone grants an equal
        share of the limit.
        """
        selected, selected_at = self._selected.get(
            (endpoint, zone), (None, float('-inf'))
        )
        if selected is not None and now - selected_at < _VALID_SECONDS:
            return selected
        if len(self._selected) >= _MAX_SELECTIONS:
            self._selected.clear()
        selected = self._select_anew(endpoint, zone, now)
        self._selected[endpoint, zone] = (selected, now)
        return selected

    def _select_anew(self, endpoint: str, zone: str, now: float) -> Coordinator:
        own = self._describe_self()
        live = [own, *self._peers.list_live(now)]
        candidates = [reader for reader in live if reader.zone == zone]
        share = 1.0
        if not candidates:
            share = 1 / len({reader.zone for reader in live if reader.zone})
            candidates = [reader for reader in live if reader.zone == own.zone]
        chosen = min(
            candidates, key=lambda reader: _rank(reader.instance, endpoint)
        )
        is_self = chosen.instance == own.instance
        known = len(self._peers.list_hosts()) + 1
        live_part = self._peers.count_live(now) / known
        return Coordinator('' if is_self else chosen.host, share, live_part)


def _rank(instance: str, endpoint: str) -> tuple[int, str]:
    """Rank instances in another order for each endpoint, to spread the load."""
    return zlib.crc32(f'{instance} {endpoint}'.encode()), instance
