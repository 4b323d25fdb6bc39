"""Dispatch of calls: choose endpoints, send, forward the answer, retry.

A call that may run only once is sent once, unless the endpoint states that it
did not run it or no connection was made.  A repeatable call goes to another
endpoint when one fails, within the retry budget; a stream is resumed after the
last event that the caller has received.

An attempt that is silent is not ended: what it would still bring is lost then,
and nothing may be left to bring it instead.  Another one begins beside it where
that is permitted, and the first to go on is kept.
"""

from typing import Self

import attrs
from aiohttp import web
from returns.result import Failure, Result, Success

from ....state.calls import Call, CallEnd
from ....state.counters import Counters
from ....state.refusals import Refusal
from ....state.work import WorkLedger
from ....transport.deadlines import monotonic
from ...drain import StopEndedError
from ..admission.stopping import StopGuard, refuse_stopping
from ..limiting.gate import StartGate
from ..placing.choosing import Chooser
from ..quarantine.guard import PromptGuard
from ..streams.answers import AttemptFailure
from ..streams.delivery import StreamDelivery
from ..streams.progress import Attempt, Progress
from ..streams.sending import Sender
from ..streams.silence import SilenceMonitor
from .attempting import AttemptRunner, AttemptStarter
from .events import record_broken_off, record_stream
from .hedging import Hedger
from .racing import AttemptRace, AttemptTask
from .retries import RetryBudgets
from .verdicts import AttemptEvaluator, find_faulty_endpoint

__all__ = ['Dispatcher']


class Dispatcher:
    """Dispatches calls to endpoints and forwards their answers."""

    def __init__(
        self,
        chooser: Chooser,
        starter: AttemptStarter,
        runner: AttemptRunner,
        hedger: Hedger,
        evaluator: AttemptEvaluator,
        retry_budgets: RetryBudgets,
        stop_guard: StopGuard,
        counters: Counters,
    ) -> None:
        """Combine the choice, the execution and the evaluation of attempts."""
        self._chooser = chooser
        self._starter = starter
        self._runner = runner
        self._hedger = hedger
        self._evaluator = evaluator
        self._retry_budgets = retry_budgets
        self._stop_guard = stop_guard
        self._counters = counters

    @classmethod
    def from_components(
        cls,
        chooser: Chooser,
        sender: Sender,
        evaluator: AttemptEvaluator,
        retry_budgets: RetryBudgets,
        ledger: WorkLedger,
        stop_guard: StopGuard,
        gate: StartGate,
        guard: PromptGuard,
        silence_monitor: SilenceMonitor,
        counters: Counters,
    ) -> Self:
        """Create a dispatcher that prepares and executes attempts."""
        starter = AttemptStarter(chooser, stop_guard, gate, guard)
        return cls(
            chooser,
            starter,
            AttemptRunner(
                sender, evaluator, ledger, gate, guard, silence_monitor
            ),
            Hedger(
                silence_monitor,
                starter,
                evaluator,
                retry_budgets,
                guard,
                counters,
            ),
            evaluator,
            retry_budgets,
            stop_guard,
            counters,
        )

    async def answer(
        self,
        call: Call,
        http_request: web.BaseRequest,
    ) -> Result[web.StreamResponse, Refusal]:
        """Dispatch a call, within its deadline and before a stop ends.

        Raises
        ------
        CallerDisconnectedError
            When the caller has disconnected.
        """
        self._retry_budgets.count_call(call.service, monotonic())
        race = self._open_race(call, http_request)
        try:
            async with self._stop_guard.until_end() as complete:
                race.delivery.on_complete = complete
                return await self._run(race)
        except StopEndedError:
            return _give_up(race, refuse_stopping(), CallEnd.ABORTED_BY_STOP)

    def _open_race(
        self, call: Call, http_request: web.BaseRequest
    ) -> AttemptRace:
        delivery = StreamDelivery(http_request, call)
        received = http_request.headers
        return AttemptRace(
            call,
            delivery,
            lambda attempt: self._runner.run(attempt, delivery, received),
            self._hedger.keep,
        )

    async def _run(
        self, race: AttemptRace
    ) -> Result[web.StreamResponse, Refusal]:
        """Answer a call, and close what is open of it in any case."""
        try:
            return await self._send_with_retries(race)
        finally:
            for attempt in race.open_attempts:
                self._hedger.forget(attempt)
            self._runner.finish(race.call)
            await race.close()

    async def _send_with_retries(
        self, race: AttemptRace
    ) -> Result[web.StreamResponse, Refusal]:
        """Send a call to one endpoint after another while it may be retried."""
        while True:
            if not race.open_attempts:
                prepared = await self._starter.prepare(
                    race.call, race.progress, race.delivery
                )
                if isinstance(prepared, Failure):
                    return self._refuse(race, prepared.failure())
                race.start(prepared.unwrap())
            ended = await race.wait()
            if ended is None:
                stop = await self._hedger.check(race)
                if stop is not None:
                    return self._refuse(race, stop)
                continue
            answered = self._conclude(race, *ended)
            if answered is not None:
                return answered

    def _conclude(
        self, race: AttemptRace, attempt: Attempt, ended: AttemptTask
    ) -> Result[web.StreamResponse, Refusal] | None:
        """Conclude from the end of an attempt; ``None`` lets the call go on.

        Raises
        ------
        CallerDisconnectedError
            When the caller has disconnected.
        """
        self._hedger.forget(attempt)
        outcome = ended.result()
        if not isinstance(outcome, Failure):
            record_stream(
                race.call, attempt.placement, race.delivery, self._counters
            )
            self._stop_guard.observe_answer(
                race.call.route, monotonic() - race.began_at
            )
            return outcome
        _note_failure(race.progress, attempt, outcome.failure())
        if race.open_attempts:
            return None
        stop = self._evaluator.check_retry(race.call, race.progress)
        if stop is not None:
            return self._refuse(race, stop)
        if race.delivery.begun:
            self._counters.streams_resumed.inc({'way': 'endpoint'})
        return None

    def _refuse(
        self, race: AttemptRace, refusal: Refusal
    ) -> Result[web.StreamResponse, Refusal]:
        """End a call without an answer, and say when to come back."""
        retry_after = refusal.retry_after
        if retry_after is None:
            retry_after = self._chooser.choose_return(race.call)
        return _give_up(race, attrs.evolve(refusal, retry_after=retry_after))


def _give_up(
    race: AttemptRace,
    refusal: Refusal,
    end: CallEnd = CallEnd.TRUNCATED,
) -> Result[web.StreamResponse, Refusal]:
    """End a call that got no complete answer.

    A stream that has begun is aborted, with ``end`` recorded.  Otherwise the
    caller gets an endpoint's error if it may be forwarded, or the refusal.
    """
    call, progress = race.call, race.progress
    if race.delivery.begun:
        call.end = end
        record_broken_off(call, progress, race.delivery, refusal.message)
        return Success(race.delivery.abort())
    if progress.may_forward_error(call):
        return Success(progress.fallback.build_response())
    return Failure(progress.complete(refusal))


def _note_failure(
    progress: Progress, attempt: Attempt, failure: AttemptFailure
) -> None:
    at_fault = find_faulty_endpoint(attempt.placement, failure).name
    if failure.arrived and not failure.answered and progress.spares(attempt):
        at_fault = ''
    progress.note(failure, attempt.endpoint, at_fault)
