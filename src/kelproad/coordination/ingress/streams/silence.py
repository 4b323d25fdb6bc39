"""How long an attempt may stay silent before it is given up."""

from collections.abc import Callable

import attrs

from ....state.calls import Call
from ....state.directpaths import DirectPaths
from ....state.routes import CallKind
from ....state.work import WorkLedger
from ....transport.deadlines import monotonic
from ..placing.placement import Placement
from ..placing.watching import EngineSpeedMonitor
from ..retrying.retries import RetryBudgets
from ..tunnels.muteness import record_answer
from .timeouts import (
    choose_first_event_timeout,
    choose_plain_timeout,
    choose_stall_timeout,
)

__all__ = ['SilenceMonitor']

#: Seconds of silence from which on an attempt may have lost its path.
_LOST_SILENCE = 0.4


@attrs.frozen
class SilenceMonitor:
    """Judges attempts that bring nothing.

    The ledger holds the work of engines, ``_retry_budgets`` whether a call
    could be sent again; ``_speed_monitor`` gets slow answers and stalls, and
    ``_paths`` knows which endpoints this instance is cut off from.
    """

    _ledger: WorkLedger
    _retry_budgets: RetryBudgets
    _speed_monitor: EngineSpeedMonitor
    _paths: DirectPaths

    def build_stall_check(
        self, call: Call, placement: Placement
    ) -> Callable[[float], bool] | None:
        """Build the stall check of a resumable stream, ``None`` for others."""
        if call.kind is not CallKind.RESUMABLE_STREAM:
            return None
        endpoint = placement.primary

        def is_stalled(silence: float) -> bool:
            self._speed_monitor.check_stall(call.service, endpoint, silence)
            if self._speed_monitor.is_silent(endpoint):
                return True
            if self._is_path_lost(call, placement, silence):
                return True
            work = self._ledger.sum_at(endpoint.name, monotonic())
            return silence >= choose_stall_timeout(placement, work)

        return is_stalled

    def is_engine_lost(
        self, call: Call, placement: Placement, waited: float
    ) -> bool:
        """Return whether a repeatable call must be sent once more."""
        if not call.kind.repeatable:
            return False
        is_path_lost = self._is_path_lost(call, placement, waited)
        if is_path_lost and self._may_be_retried(call):
            return True
        if call.kind is not CallKind.RESUMABLE_STREAM:
            return False
        endpoint = placement.primary
        self._speed_monitor.check_wait(endpoint, waited, placement.predicted)
        return self._speed_monitor.is_silent(endpoint)

    def record_answer(self, call: Call) -> None:
        """Record that an answer begins, so that its path is not mute."""
        if not call.via:
            record_answer(self._paths)

    def choose_head_deadline(self, call: Call, placement: Placement) -> float:
        """Choose the monotonic time until which to wait for the head.

        A resumable stream is sent elsewhere when its endpoint stays silent, a
        plain call only if a retry is possible.  All other calls may be running
        and keep their deadline.
        """
        if call.kind is CallKind.RESUMABLE_STREAM:
            timeout = choose_first_event_timeout(placement)
        elif self._may_be_retried(call):
            timeout = choose_plain_timeout(call)
        else:
            return call.deadline
        return min(call.deadline, monotonic() + timeout)

    def _may_be_retried(self, call: Call) -> bool:
        """Return whether a call without an answer could be sent once more.

        Under a load that delays every endpoint the retry budget is soon spent;
        giving up attempts then would turn late answers into missing ones.
        """
        return (
            call.kind.repeatable
            and call.attempts < call.route.max_endpoints
            and self._retry_budgets.affords(call.service)
        )

    def _is_path_lost(
        self, call: Call, placement: Placement, silence: float
    ) -> bool:
        """Return whether a direct attempt is silent as its path was lost.

        A connection that outlives the loss of its path has its events, and
        goes on.
        """
        if call.via or silence <= max(_LOST_SILENCE, 2 * placement.predicted):
            return False
        now = monotonic()
        address = placement.primary.declaration.address
        return self._paths.is_doubtful(address, now) or self._paths.is_mute(now)
