"""Whether an instance should get calls, as it tells the balancer."""

from collections.abc import Callable

import attrs

from ...transport.deadlines import monotonic
from ..drain import Drain, DrainPhase
from .membership.catchup import ConfigurationCatchUp
from .membership.peers import PeerRegister
from .membership.rostering import Roster
from .settings import Bounds
from .tables.confirming import CONFIRMED_SECONDS, ConfirmedElsewhere
from .tables.followed import FollowedTables
from .tables.holder import ConfigurationHolder

__all__ = ['Readiness']

#: Share of the time limit for revoking a key after which an instance without an
#: answer from the store reports itself unready, so that callers go to others.
_UNREADY_SHARE = 0.45


@attrs.frozen
class Readiness:
    """Judges the readiness of an instance by what it knows."""

    _drain: Drain
    _holder: ConfigurationHolder
    _tables: FollowedTables
    _peers: PeerRegister
    _catch_up: ConfigurationCatchUp
    _roster: Roster
    _read_bounds: Callable[[], Bounds]
    _list_failing_tasks: Callable[[], list[str]]

    def explain_unready(self) -> str:
        """Return why no calls should be sent here; empty if they should."""
        if self._drain.phase is not DrainPhase.SERVING:
            return 'stopping'
        if self._holder.current is None:
            return 'no configuration'
        if not len(self._tables.registry):
            return 'no endpoints'
        if self._roster.is_starting and not self._tables.configuration.failing:
            return 'what other instances have written is not read'
        failing = self._list_failing_tasks()
        if failing:
            return f'failing: {", ".join(failing)}'
        return self._explain_outdated()

    def _explain_outdated(self) -> str:
        """Return why the configuration may be outdated; empty if it is not."""
        if not self._tables.confirmation.is_compared:
            return 'configuration not compared with other instances'
        if self._catch_up.is_behind:
            return 'other instances have a newer configuration'
        age = self._tables.configuration.measure_age()
        if age > CONFIRMED_SECONDS:
            elsewhere = self._peers.judge_confirmed(monotonic())
            if elsewhere is not ConfirmedElsewhere.NOWHERE:
                return 'other instances reach the store'
        if age > self._read_bounds().revoke_key * _UNREADY_SHARE:
            return 'the store is out of reach'
        return ''
