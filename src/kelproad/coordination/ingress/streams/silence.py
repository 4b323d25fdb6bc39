"""Attempts that bring nothing: which ones, and what that says of whom.

Silence ends no attempt.  It is the reason to try another one beside it, and the
first that goes on is kept.
"""

import collections
import enum
import logging
import math

import attrs

from ....state.calls import Call
from ....state.directpaths import DirectPaths
from ....state.records import record
from ....state.routes import CallKind
from ....state.silentgroups import SilentGroups
from ....state.work import EndpointWork, WorkLedger
from ....transport.deadlines import RunningClock, monotonic
from ..placing.placement import Placement
from ..placing.watching import EngineSpeedMonitor
from .progress import Attempt

__all__ = [
    'Silence',
    'SilenceMonitor',
    'choose_fault_threshold',
    'record_path_answered',
    'record_path_unanswered',
]

_logger = logging.getLogger(__name__)
#: Seconds without an event after which a running stream counts as stalled.
_STALL_SECONDS = 1.2
#: Multiple of the predicted prefill for which an engine's silence is tolerated,
#: and the seconds after which callers disconnect in any case.
_PREFILL_RATIO = 1.5
_MAX_STALL_SECONDS = 1.9
#: Seconds that an engine always has for its first event, and the multiple of
#: the predicted time added to them, before the call is sent elsewhere.
_FIRST_EVENT_SECONDS = 1.0
_FIRST_EVENT_RATIO = 4.0
#: Multiple of the predicted time, and seconds beyond that, after which a call
#: has not begun at an engine that has more calls than slots.
_BEGIN_RATIO = 1.3
_BEGIN_SECONDS = 0.03
#: Multiple of the objective for which a plain endpoint may stay silent before
#: it counts as failing, and a repeatable call is sent elsewhere.
_PLAIN_TIMEOUT_RATIO = 1.5

#: Seconds of silence from which on an attempt may have lost its path.
_LOST_SILENCE = 0.4
#: Seconds without a byte from which on an attempt at an engine that answers no
#: query is silent.
_UNANSWERED_SILENCE = 0.1
#: Seconds without a byte after which an attempt that is closed leaves open
#: whether its endpoint is well.
_UNHEARD_SECONDS = 0.01
#: Seconds between two attempts through peers while none is known to help.
_PROBE_PERIOD = 0.25


class Silence(enum.StrEnum):
    """What an attempt that brings nothing lacks, and why."""

    PATH = 'the path to the endpoint is in doubt'
    ENGINE = 'the engine does not respond'
    SLOT = 'the engine has more calls than slots'
    HEAD = 'no answer in time'
    EVENT = 'the stream stalled'

    @property
    def is_of_path(self) -> bool:
        """Whether the path explains it, so that the endpoint may be sound."""
        return self is Silence.PATH

    @property
    def is_of_load(self) -> bool:
        """Whether the endpoint may be sound, and has too much to do."""
        return self in {Silence.SLOT, Silence.HEAD}


@attrs.define
class SilenceMonitor:
    """Judges attempts that bring nothing, and remembers where they do.

    The ledger holds the work of engines; ``_speed_monitor`` gets slow answers
    and stalls, and ``_paths`` knows which endpoints this instance is cut off
    from.  Silence counts by ``_clock``, which stands still with this process.
    ``_groups`` has the engines that are silent together.
    """

    _ledger: WorkLedger
    _speed_monitor: EngineSpeedMonitor
    _paths: DirectPaths
    _clock: RunningClock
    #: Number of silent attempts at each endpoint whose path is not in doubt.
    _silent: collections.Counter[str] = attrs.field(factory=collections.Counter)
    _probed_at: float = -math.inf
    _groups: SilentGroups = attrs.field(factory=SilentGroups)

    def begin_wait(self, attempt: Attempt) -> None:
        """Begin to wait for the endpoint of an attempt."""
        attempt.waits_since = self._clock.read()

    def record_progress(self, attempt: Attempt) -> None:
        """Record that more of an answer has come, which is now forwarded."""
        attempt.waits_since = None
        endpoint = attempt.placement.primary
        now = monotonic()
        if self._groups.record_answer(endpoint, now, now):
            record(
                _logger,
                'engines_answer',
                service=endpoint.group.name,
                zone=endpoint.declaration.zone,
            )

    def find_silence(self, attempt: Attempt) -> Silence | None:
        """Find out whether, and how, an attempt that may be repeated is silent.

        Only the wait for an endpoint that has the call counts, not that for a
        connection or for the caller.
        """
        if attempt.waits_since is None or not attempt.arrived:
            return None
        if not attempt.call.kind.repeatable:
            return None
        waited = self._clock.read() - attempt.waits_since
        if self._is_path_lost(attempt, waited):
            return Silence.PATH
        if attempt.call.kind is CallKind.RESUMABLE_STREAM:
            return self._find_engine_silence(attempt, waited)
        is_late = waited >= choose_plain_timeout(attempt.call)
        return Silence.HEAD if is_late else None

    def is_unheard(self, attempt: Attempt) -> bool:
        """Return whether nothing has come for a while of an attempt."""
        if attempt.waits_since is None or not attempt.arrived:
            return False
        return self._clock.read() - attempt.waits_since >= _UNHEARD_SECONDS

    def record_answer(self, attempt: Attempt) -> None:
        """Record that an attempt brings something, so its path is not mute."""
        if attempt.via:
            self._paths.record_helped(monotonic())
        else:
            record_path_answered(self._paths)

    def begin_silence(self, attempt: Attempt, silence: Silence) -> None:
        """Record that an attempt has fallen silent."""
        attempt.is_silent = True
        if not silence.is_of_path:
            self._silent[attempt.endpoint] += 1
            attempt.accuses_endpoint = True

    def end_silence(self, attempt: Attempt) -> None:
        """Record that a silent attempt goes on, or has ended."""
        attempt.is_silent = False
        if attempt.accuses_endpoint:
            attempt.accuses_endpoint = False
            self._silent[attempt.endpoint] -= 1
            self._silent += collections.Counter()

    def list_silent(self) -> frozenset[str]:
        """List the endpoints at which attempts of this instance are silent.

        What is silent at one of them gains nothing at another one: when many
        fall silent together, each prompt would be prefilled twice.
        """
        return frozenset(self._silent)

    def may_help(self, silence: Silence) -> bool:
        """Return whether another attempt may bring what a silent one does not.

        Where the path is in doubt it goes through a peer.  Unless peers have
        just helped, they are tried with few: all endpoints may be silent.
        """
        if not silence.is_of_path:
            return True
        now = monotonic()
        if self._paths.is_helped(now):
            return True
        if now - self._probed_at < _PROBE_PERIOD:
            return False
        self._probed_at = now
        return True

    def _find_engine_silence(
        self, attempt: Attempt, waited: float
    ) -> Silence | None:
        endpoint = attempt.placement.primary
        if attempt.answered:
            service = attempt.call.service
            self._speed_monitor.check_stall(service, endpoint, waited)
            work = self._ledger.sum_at(endpoint.name, monotonic())
            timeout = choose_stall_timeout(attempt.placement, work)
        else:
            predicted = attempt.placement.predicted
            self._speed_monitor.check_wait(endpoint, waited, predicted)
            timeout = choose_first_event_timeout(attempt.placement)
        answers_none = attempt.is_helpless or self._speed_monitor.is_silent(
            endpoint
        )
        if answers_none and waited >= _UNANSWERED_SILENCE:
            return Silence.ENGINE
        if not attempt.answered and self._lacks_slot(attempt, waited):
            return Silence.SLOT
        if waited < timeout:
            return None
        return Silence.EVENT if attempt.answered else Silence.HEAD

    def _lacks_slot(self, attempt: Attempt, waited: float) -> bool:
        """Return whether a call probably waits until another one ends.

        Instances that choose at the same moment don't know of each other, and
        may send more calls to an engine than it has slots.  A prompt that
        several engines prefill may have begun, and costs too much to do twice.
        """
        placement, profile = attempt.placement, attempt.call.profile
        if profile is None or placement.helpers:
            return False
        if waited < _BEGIN_RATIO * placement.predicted + _BEGIN_SECONDS:
            return False
        endpoint = placement.primary
        slots = endpoint.declaration.slots or profile.slots
        return self._ledger.sum_at(endpoint.name, monotonic()).calls > slots

    def _is_path_lost(self, attempt: Attempt, waited: float) -> bool:
        """Return whether a direct attempt is silent as its path was lost.

        A connection that outlives the loss of its path has its events, and
        goes on.
        """
        shortest = max(_LOST_SILENCE, 2 * attempt.placement.predicted)
        if attempt.via or waited <= shortest:
            return False
        now = monotonic()
        address = attempt.placement.primary.declaration.address
        return self._paths.is_doubtful(address, now) or self._paths.is_mute(now)


def record_path_answered(paths: DirectPaths) -> None:
    """Record that a direct connection has brought an answer, or its begin."""
    if paths.record_answered(monotonic()):
        record(_logger, 'direct_paths_answered')


def record_path_unanswered(paths: DirectPaths, address: str) -> None:
    """Record that a direct connection to an address has brought no answer."""
    if paths.record_unanswered(address, monotonic()):
        record(_logger, 'direct_paths_mute', last=address)


def choose_first_event_timeout(placement: Placement) -> float:
    """Choose the seconds to wait for the first event of a stream."""
    return max(
        _STALL_SECONDS,
        _FIRST_EVENT_SECONDS + _FIRST_EVENT_RATIO * placement.predicted,
    )


def choose_stall_timeout(placement: Placement, work: EndpointWork) -> float:
    """Choose the seconds to wait for the next event of a stream.

    An engine that prefills a long prompt is silent for that long; giving it up
    would make other engines prefill the prompts of all its streams again.
    """
    prefill = _PREFILL_RATIO * work.prefill_seconds
    tolerated = min(_STALL_SECONDS / 2 + prefill, _MAX_STALL_SECONDS)
    return max(choose_first_event_timeout(placement), tolerated)


def choose_plain_timeout(call: Call) -> float:
    """Choose the seconds after which a plain call is sent elsewhere."""
    return call.route.objective * _PLAIN_TIMEOUT_RATIO


def choose_fault_threshold(call: Call) -> float:
    """Choose the seconds of silence that count as a fault of the endpoint.

    Engines may miss a deadline because of their load, which is no failure.
    Callers choose deadlines, and very short ones must not eject endpoints.
    """
    return math.inf if call.kind.streams else choose_plain_timeout(call)
