"""Attempts beside silent ones, so that something else may bring the rest.

The silent attempt stays open.  Its endpoint may go on in a moment, and nothing
may be left to answer in its place.
"""

import attrs

from ....state.counters import Counters
from ....state.refusals import Ran, Refusal
from ....transport.deadlines import monotonic
from ..admission.stopping import refuse_stopping
from ..placing.placement import NoPlacementError
from ..quarantine.guard import PromptGuard
from ..streams.answers import AttemptFailure
from ..streams.progress import Attempt
from ..streams.silence import Silence, SilenceMonitor
from .attempting import AttemptStarter
from .events import record_lead, record_silence
from .racing import AttemptRace
from .retries import RetryBudgets
from .verdicts import ANSWER_MARGIN, AttemptEvaluator

__all__ = ['Hedger']

#: Seconds for which a further attempt waits for the request limits of its
#: endpoints; it is looked for again soon.
_LIMIT_WAIT = 0.05
#: Seconds between two searches for one beside the same silent attempt.
_SEARCH_PERIOD = 0.3


@attrs.frozen
class Hedger:
    """Starts one more attempt where all open ones of a call are silent."""

    _silence_monitor: SilenceMonitor
    _starter: AttemptStarter
    _evaluator: AttemptEvaluator
    _retry_budgets: RetryBudgets
    _guard: PromptGuard
    _counters: Counters

    async def check(self, race: AttemptRace) -> Refusal | None:
        """Look whether the open attempts of a call are silent.

        Returns
        -------
        Refusal or None
            Why not to wait any longer: the stream has not begun, and would be
            cut by the stop of this instance.  Others can serve the caller.
        """
        silences = [
            (attempt, self._silence_monitor.find_silence(attempt))
            for attempt in race.open_attempts
        ]
        for attempt, silence in silences:
            if silence is None:
                self._trust(race, attempt)
        if any(silence is None for _, silence in silences):
            return None
        if race.call.kind.streams and not self._starter.may_begin(
            race.call, race.delivery
        ):
            return refuse_stopping()
        latest, silence = silences[-1]
        if _is_due(latest):
            await race.wait_beside(self._hedge(race, latest, silence))
        return None

    def keep(
        self, race: AttemptRace, leader: Attempt, closed: list[Attempt]
    ) -> None:
        """Keep an attempt that goes on; others are closed for it."""
        self._silence_monitor.record_answer(leader)
        self._trust(race, leader)
        for attempt in closed:
            self._silence_monitor.end_silence(attempt)
            race.progress.drop(attempt)
            self._counters.attempts.inc(
                {'group': race.call.service, 'outcome': 'closed'}
            )
        record_lead(leader, closed)

    def forget(self, attempt: Attempt) -> None:
        """Forget the silence of an attempt that has ended."""
        self._silence_monitor.end_silence(attempt)

    async def _hedge(
        self, race: AttemptRace, silent: Attempt, silence: Silence
    ) -> None:
        """Start an attempt beside a silent one, if that may bring more."""
        silent.searched_at = monotonic()
        if not silent.is_silent:
            await self._suspect(race, silent, silence)
        if not self._may_bring_more(race, silence):
            return
        another = await self._prepare(race)
        if another is None:
            return
        is_silent = self._silence_monitor.find_silence(silent) is not None
        if is_silent and self._retry_budgets.spend(race.call.service):
            self._counters.retries.inc({'outcome': 'beside a silent one'})
            race.start(another)
        else:
            self._guard.release(race.call)

    async def _prepare(self, race: AttemptRace) -> Attempt | None:
        """Prepare an attempt at an endpoint where none is silent."""
        race.progress.silent = self._silence_monitor.list_silent()
        try:
            return await self._starter.prepare_now(
                race.call, race.progress, race.delivery, _LIMIT_WAIT
            )
        except NoPlacementError:
            return None
        finally:
            race.progress.silent = frozenset()

    def _may_bring_more(self, race: AttemptRace, silence: Silence) -> bool:
        return (
            self._is_permitted(race)
            and self._retry_budgets.affords(race.call.service)
            and self._silence_monitor.may_help(silence)
        )

    def _is_permitted(self, race: AttemptRace) -> bool:
        """Return whether time and endpoints are left for another attempt."""
        left = race.call.remaining(monotonic())
        max_endpoints = race.call.route.max_endpoints
        exhausted = race.progress.is_exhausted(max_endpoints)
        return left >= ANSWER_MARGIN and not exhausted

    async def _suspect(
        self, race: AttemptRace, attempt: Attempt, silence: Silence
    ) -> None:
        """Record that an attempt is silent, and what that says of whom."""
        call, progress = race.call, race.progress
        self._silence_monitor.begin_silence(attempt, silence)
        progress.suspect(attempt)
        record_silence(
            attempt,
            silence,
            race.delivery,
            retries_left=self._retry_budgets.affords(call.service),
            endpoints_left=self._is_permitted(race),
        )
        failure = AttemptFailure(
            silence.value,
            Ran.UNKNOWN if attempt.arrived else Ran.NO,
            arrived=attempt.arrived,
            blameless=silence.is_of_load and call.kind.streams,
        )
        self._evaluator.note_silence(attempt, failure)
        if failure.is_inconclusive:
            self._guard.record_unheard(attempt)
        await self._guard.record_failure(attempt, failure)

    def _trust(self, race: AttemptRace, attempt: Attempt) -> None:
        """Record that an attempt is not silent, or not any more."""
        if attempt.is_silent:
            self._silence_monitor.end_silence(attempt)
            race.progress.trust(attempt)


def _is_due(silent: Attempt) -> bool:
    """Return whether to look again for an attempt beside a silent one."""
    return monotonic() - silent.searched_at >= _SEARCH_PERIOD
