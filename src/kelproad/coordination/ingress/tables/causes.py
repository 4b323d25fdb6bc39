"""Why the configuration in force is not confirmed, judged from what is known.

The judgement changes nothing; operators are told it.
"""

import enum

import attrs

from .tablestates import Provenance, StoreProblemKind

__all__ = [
    'ConfirmationState',
    'QueryProgress',
    'UnconfirmedCause',
    'judge_cause',
]

#: Seconds for which an answer of the store still says how it is.
_RECENT_SECONDS = 5.0
#: Seconds from which on an answer is late, or a query counts as unanswered: the
#: store takes some 4 ms, and up to 60 times as long when it is slow.
_LATE_SECONDS = 1.0
#: Problems that the store states itself, rather than by its silence.
_STATED_PROBLEMS = frozenset(
    (
        StoreProblemKind.REFUSED,
        StoreProblemKind.TOO_MANY_CALLS,
        StoreProblemKind.UNREADABLE,
    )
)


class UnconfirmedCause(enum.StrEnum):
    """Why an instance has no configuration that is confirmed."""

    STARTING = 'starting'
    NOT_COMPARED = 'not_compared'
    RESTORED = 'restored'
    FOLLOWER_FAILING = 'follower_failing'
    STOOD_STILL = 'stood_still'
    TABLE_ARRIVING = 'table_arriving'
    STORE_REFUSES = 'store_refuses'
    STORE_SLOW = 'store_slow'
    STORE_SILENT = 'store_silent'
    PEERS_SILENT = 'peers_silent'
    PEERS_OUTDATED = 'peers_outdated'


@attrs.frozen
class QueryProgress:
    """The queries of the store under way, and how the last ones ended.

    Attributes
    ----------
    failures
        Failures since the last valid answer.
    problem
        Why the last query that ended failed, ``None`` if it didn't.  Another
        instance may have told the table since.
    unanswered_for
        Seconds since the oldest query under way should have been answered, 0 if
        there is none.
    is_arriving
        Whether bytes of an answer that is not complete have arrived lately.
    answered_for
        Seconds since a query was answered last.
    late_by
        Seconds by which that answer came later than at once.
    """

    failures: int = 0
    problem: StoreProblemKind | None = None
    unanswered_for: float = 0
    is_arriving: bool = False
    answered_for: float = float('inf')
    late_by: float = 0

    @property
    def is_late(self) -> bool:
        """Whether the store answers, but late."""
        is_recent = self.answered_for <= _RECENT_SECONDS
        return is_recent and self.late_by >= _LATE_SECONDS

    @property
    def is_unanswered(self) -> bool:
        """Whether queries fail, or are without an answer for long."""
        return bool(self.failures) or self.unanswered_for >= _LATE_SECONDS


@attrs.frozen
class ConfirmationState:
    """What an instance knows about the confirmation of its configuration.

    Attributes
    ----------
    age
        Seconds since the configuration was confirmed; infinite if never.
    answer_age
        Seconds since the sending of the query whose answer is the newest,
        whether it confirms or not.
    longest_age
        Age in seconds up to which it counts as confirmed.
    stood_still
        Seconds of the age in which this process did not run.
    version
        The version in force, ``None`` before the first.
    is_compared
        Whether the first is known to be as new as that of others.
    is_settled
        Whether answers of the store confirm, as it was not restored just now.
    is_complete
        Whether nothing can be missing that a restored store has lost.
    is_restored
        Whether the store was restored while this instance ran.
    failing_tasks
        Tasks that keep tables current and fail each time they begin anew, or
        hang.
    provenance
        Source of the table, ``None`` before the first answer.
    live_peers, confirmed_peers
        Other instances that are live, and those whose configuration is
        confirmed.
    progress
        The query of the store under way.
    """

    age: float
    answer_age: float
    longest_age: float
    stood_still: float = 0
    version: int | None = None
    is_compared: bool = True
    is_settled: bool = True
    is_complete: bool = True
    is_restored: bool = False
    failing_tasks: tuple[str, ...] = ()
    provenance: Provenance | None = None
    live_peers: int = 0
    confirmed_peers: int = 0
    progress: QueryProgress = QueryProgress()

    @property
    def is_confirmed(self) -> bool:
        """Whether the configuration in force is confirmed."""
        return self.version is not None and self.age <= self.longest_age


def judge_cause(state: ConfirmationState) -> UnconfirmedCause | None:
    """Judge why the configuration is not confirmed; ``None`` if it is.

    A fault of this instance comes before one of the store, which it could not
    tell.
    """
    if state.is_confirmed and state.is_complete:
        return None
    is_answered = state.answer_age <= state.longest_age
    running_age = state.answer_age - state.stood_still
    if running_age <= state.longest_age and not is_answered:
        return UnconfirmedCause.STOOD_STILL
    if state.failing_tasks:
        return UnconfirmedCause.FOLLOWER_FAILING
    if is_answered:
        return _judge_answered(state)
    return _judge_store(state) or _judge_sources(state)


def _judge_answered(state: ConfirmationState) -> UnconfirmedCause:
    """Judge why answers that come in time confirm nothing."""
    if state.is_restored or not state.is_settled:
        return UnconfirmedCause.RESTORED
    if state.version is not None and not state.is_compared:
        return UnconfirmedCause.NOT_COMPARED
    return UnconfirmedCause.STARTING


def _judge_store(state: ConfirmationState) -> UnconfirmedCause | None:
    """Judge the store by the queries of this instance, if there are any."""
    progress = state.progress
    if progress.failures and progress.problem in _STATED_PROBLEMS:
        return UnconfirmedCause.STORE_REFUSES
    if progress.is_arriving:
        return UnconfirmedCause.TABLE_ARRIVING
    if progress.is_late:
        return UnconfirmedCause.STORE_SLOW
    return UnconfirmedCause.STORE_SILENT if progress.is_unanswered else None


def _judge_sources(state: ConfirmationState) -> UnconfirmedCause:
    """Judge who should have told the table, while the store is not asked."""
    if state.provenance is None:
        return UnconfirmedCause.STARTING
    if state.provenance is Provenance.STORE:
        return UnconfirmedCause.STORE_SILENT
    if state.live_peers:
        return UnconfirmedCause.PEERS_OUTDATED
    return UnconfirmedCause.PEERS_SILENT
