"""What an instance knows about the confirmation of its configuration."""

from collections.abc import Callable

import attrs

from ...transport.deadlines import RunningClock, monotonic, read_boottime
from .membership.peers import CONFIRMED_SECONDS, PeerRegister
from .settings import Bounds
from .tables.causes import ConfirmationState, QueryProgress
from .tables.followed import FollowedTables
from .tables.following import TableFollower
from .tables.holder import ConfigurationHolder

__all__ = ['ConfirmationObserver']


@attrs.define
class ConfirmationObserver:
    """Collects what the cause of a missing confirmation is judged by."""

    _tables: FollowedTables
    _holder: ConfigurationHolder
    _peers: PeerRegister
    _running_clock: RunningClock
    _read_bounds: Callable[[], Bounds]
    #: Seconds in which this process did not run, up to the last confirmation.
    _stood_before: float | None = None

    def observe(self) -> ConfirmationState:
        """Return the state at present."""
        follower = self._tables.configuration
        confirmation = self._tables.confirmation
        now = monotonic()
        live = [peer for _, peer in self._peers.iterate_live(now)]
        stood_still = self._measure_standstill()
        if self._stood_before is None:
            self._stood_before = stood_still
        state = ConfirmationState(
            confirmation.measure_age(),
            follower.measure_age(),
            self._read_bounds().apply_configuration,
            max(0, stood_still - self._stood_before),
            self._holder.version,
            confirmation.is_compared,
            confirmation.is_settled,
            confirmation.is_complete,
            confirmation.is_restored,
            tuple(follower.list_failing_tasks()),
            follower.provenance,
            len(live),
            sum(now - peer.confirmed_at < CONFIRMED_SECONDS for peer in live),
            _read_progress(follower),
        )
        if state.is_confirmed:
            self._stood_before = stood_still
        return state

    def _measure_standstill(self) -> float:
        """Measure the seconds in which this process, or its machine, stood."""
        suspended = read_boottime() - monotonic()
        return self._running_clock.stood_still + suspended


def _read_progress(follower: TableFollower) -> QueryProgress:
    """Read how the follower's queries of the store fare."""
    failures = follower.describe()['failures']
    return QueryProgress(failures if isinstance(failures, int) else 0)
