"""What operators are told while the configuration is not confirmed.

A line for each change of the cause, without any request, and metrics.
"""

import asyncio
import logging
import math
from collections.abc import Callable

import attrs

from ....state.counters import ConfirmationMetrics
from ....state.records import record
from ....transport.deadlines import RunningClock, monotonic, read_boottime
from ....transport.services import BackgroundService, restarted_task
from ..membership.peers import PeerRegister
from ..settings import Bounds
from ..tables.causes import ConfirmationState, UnconfirmedCause, judge_cause
from ..tables.confirming import CONFIRMED_SECONDS
from ..tables.followed import FollowedTables
from ..tables.holder import ConfigurationHolder
from ..tables.tablestates import name_provenance

__all__ = [
    'ConfirmationObserver',
    'ConfirmationWatch',
    'describe_state',
    'round_age',
]

_logger = logging.getLogger(__name__)
#: Seconds between two looks.
_LOOK_PERIOD = 0.1
#: Seconds between two lines of one time without a confirmation, as causes may
#: alternate.
_LINE_PERIOD = 0.5
#: Seconds with a confirmation after which that time has ended: the age may be
#: about its bound for long.
_CALM_SECONDS = 1.0


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
        boot_now = read_boottime()
        live = [peer for _, peer in self._peers.iterate_live(monotonic())]
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
            sum(
                boot_now - peer.confirmed_at < CONFIRMED_SECONDS
                for peer in live
            ),
            follower.query_progress,
        )
        if state.is_confirmed:
            self._stood_before = stood_still
        return state

    def _measure_standstill(self) -> float:
        """Measure the seconds in which this process, or its machine, stood."""
        suspended = read_boottime() - monotonic()
        return self._running_clock.stood_still + suspended


@attrs.define
class _Unconfirmed:
    """A time without a confirmation.

    Attributes
    ----------
    since
        Monotonic time of its begin.
    recorded
        The cause of the last line, and ``recorded_at`` its monotonic time.
    refusals
        Calls refused meanwhile for want of a confirmation.
    confirmed_at
        Monotonic time since which there is one again.
    """

    since: float
    recorded: UnconfirmedCause | None = None
    recorded_at: float = float('-inf')
    refusals: int = 0
    confirmed_at: float | None = None


class ConfirmationWatch(BackgroundService):
    """Watches whether the configuration in force is confirmed."""

    abstract = False

    def __init__(
        self,
        observe: Callable[[], ConfirmationState],
        metrics: ConfirmationMetrics,
    ) -> None:
        """Watch what ``observe`` returns."""
        super().__init__()
        self._observe = observe
        self._metrics = metrics
        self._unconfirmed: _Unconfirmed | None = None

    def measure_age(self) -> float:
        """Return how many seconds old the configuration may be."""
        return self._observe().age

    def explain_refusal(self) -> tuple[UnconfirmedCause | None, float]:
        """Return the cause of a refusal, which is counted, and the age."""
        state = self._observe()
        cause = judge_cause(state)
        self._record(state, cause)
        self._metrics.refusals.inc({'cause': cause or 'unknown'})
        if self._unconfirmed is not None:
            self._unconfirmed.refusals += 1
        return cause, state.age

    def look(self) -> None:
        """Record what has changed since the last look."""
        state = self._observe()
        self._metrics.age.set({}, state.age)
        self._record(state, judge_cause(state))

    def describe(self) -> dict[str, object]:
        """Describe the state for operators."""
        state = self._observe()
        return {'cause': judge_cause(state), **describe_state(state)}

    @restarted_task
    async def _watch(self) -> None:
        while not self.should_stop:
            self.look()
            await asyncio.sleep(_LOOK_PERIOD)

    def _record(
        self, state: ConfirmationState, cause: UnconfirmedCause | None
    ) -> None:
        if state.is_confirmed:
            self._record_end(state)
            return
        now = monotonic()
        if self._unconfirmed is None:
            self._unconfirmed = _Unconfirmed(now)
        known = self._unconfirmed
        known.confirmed_at = None
        if cause is known.recorded or now - known.recorded_at < _LINE_PERIOD:
            return
        known.recorded = cause
        known.recorded_at = now
        record(
            _logger,
            'configuration_unconfirmed',
            cause=cause,
            **describe_state(state),
        )

    def _record_end(self, state: ConfirmationState) -> None:
        if self._unconfirmed is None:
            return
        ended = self._unconfirmed
        now = monotonic()
        if ended.confirmed_at is None:
            ended.confirmed_at = now
        if now - ended.confirmed_at < _CALM_SECONDS:
            return
        self._unconfirmed = None
        record(
            _logger,
            'configuration_confirmed',
            cause=ended.recorded,
            seconds=round(ended.confirmed_at - ended.since, 3),
            refusals=ended.refusals,
            age=round_age(state.age),
            version=state.version,
        )


def describe_state(state: ConfirmationState) -> dict[str, object]:
    """Describe for operators what a cause is judged by."""
    problem = state.progress.problem
    return {
        'age': round_age(state.age),
        'live_peers': state.live_peers,
        'confirmed_peers': state.confirmed_peers,
        'provenance': name_provenance(state.provenance),
        'failures': state.progress.failures,
        'version': state.version,
        'answer_age': round_age(state.answer_age),
        'stood_still': round(state.stood_still, 3),
        'unanswered_for': round(state.progress.unanswered_for, 3),
        'arriving': state.progress.is_arriving,
        'late_by': round(state.progress.late_by, 3),
        'problem': problem and problem.value,
        'failing_tasks': list(state.failing_tasks),
    }


def round_age(seconds: float) -> float | None:
    """Round an age for the log; ``None`` before the first confirmation."""
    return round(seconds, 3) if math.isfinite(seconds) else None
