"""Guard of engines against requests that crash them."""

import asyncio
import logging
import math
from collections.abc import Coroutine, Mapping

import attrs

from ....state.calls import Call
from ....state.endpoints import Endpoint
from ....state.quarantine import PartQuarantine
from ....state.records import record
from ....state.requestends import RequestState
from ....state.suspicions import EndedCall, Judgement, PartState, Suspicion
from ....transport.deadlines import monotonic
from ..placing.placement import NoPlacementError
from ..streams.answers import AttemptFailure
from ..streams.progress import Attempt
from .ends import EndObserver, may_have_ended
from .notices import PromptNotices
from .refusing import RefusalBuilder
from .rows import QuarantineRows
from .trials import TrialCoordinator

__all__ = ['PromptGuard']

_Suspected = tuple[Endpoint, EndedCall]

_logger = logging.getLogger(__name__)
#: Seconds between two requests of a call for a trial.
_TRIAL_PERIOD = 0.04
#: Seconds that a call waits for what is found of its engine at most.
_CHECK_SECONDS = 0.35


@attrs.define
class PromptGuard:
    """Lets calls with suspect parts pass one at a time, or not at all."""

    _quarantine: PartQuarantine
    _trials: TrialCoordinator
    _observer: EndObserver
    _notices: PromptNotices
    _rows: QuarantineRows
    _refusals: RefusalBuilder
    #: Checks of engines that are in progress.
    _background: set[asyncio.Task[None]] = attrs.field(factory=set)

    def check(self, call: Call) -> Judgement:
        """Judge a call before it is sent.

        Raises
        ------
        NoPlacementError
            When it has a quarantined part, or engines ended under it.
        """
        judgement = self._quarantine.judge(
            call.service,
            call.head.shared_parts,
            call.workspace_name,
            monotonic(),
            lambda: call.fingerprint,
        )
        if judgement.state is PartState.QUARANTINED:
            raise self._refusals.build_quarantined(call, judgement)
        if self._quarantine.requests.is_empty(monotonic()):
            return judgement
        return self._check_request(call, judgement)

    async def admit(self, call: Call, endpoint: Endpoint) -> None:
        """Let a call pass to an endpoint, alone with its suspect parts.

        Raises
        ------
        NoPlacementError
            When it has a quarantined part, or another call tries one of its
            suspect parts.
        """
        judgement = self.check(call)
        if judgement.state is PartState.HARMLESS:
            return
        permission = await self._trials.request(
            call, judgement.parts, endpoint.name
        )
        call.avoided_endpoints = permission.engines
        if permission.granted:
            call.trial = judgement.parts
            self._check_trial(call)
            return
        await asyncio.sleep(_TRIAL_PERIOD)
        raise self._refusals.build_waiting(call)

    def release(self, call: Call) -> None:
        """End the trial of a call, if it is one."""
        if call.trial:
            self._trials.finish(call, call.trial)
            call.trial = ()

    def record_outlived(self, call: Call, resumed: bool) -> None:
        """Record that an engine outlived an answer to a call, or most of it.

        An answer that was resumed may have passed the point at which an engine
        crashes, and shows nothing.
        """
        if not resumed:
            cleared = self._quarantine.record_harmless(
                call.service, call.head.shared_parts, monotonic()
            )
            if cleared:
                self._announce_cleared(call, cleared)
        self.release(call)

    async def record_failure(
        self, attempt: Attempt, failure: AttemptFailure
    ) -> None:
        """Record an attempt that failed or is silent; see if its engine ended.

        A call that may be sent again waits for that a little.  It takes
        milliseconds if the engine resets connections, and no time if no part
        is suspect.
        """
        if not (may_have_ended(failure) or failure.fault):
            if attempt.trial:
                attempt.trial = ()
                self.release(attempt.call)
            return
        suspected = self._suspect_all(attempt, failure)
        observing = self._start(
            self._observe(attempt.call, suspected, self._end_trial(attempt))
        )
        if attempt.call.kind.repeatable and self._awaits_checks(suspected):
            await asyncio.wait((observing,), timeout=_CHECK_SECONDS)

    def record_unheard(self, attempt: Attempt) -> None:
        """Record an attempt that was given up while its engine was silent.

        That its caller left, its time was up, or another engine was tried does
        not tell whether this one has ended.  It is found out afterwards, and
        holds up nothing but the same request while it is tried alone.
        """
        held = self._hold_request(attempt)
        self._start(self._observe_unheard(attempt, monotonic(), held))

    def record_answered(self, call: Call, resumed: bool) -> None:
        """Record that a call was answered whole.

        One that was resumed may have passed what ends its engines.
        """
        requests, now = self._quarantine.requests, monotonic()
        if not (resumed or requests.is_empty(now)):
            ends = requests.count(call.fingerprint, now)
            was_barred = requests.is_barred(call.fingerprint)
            self._quarantine.record_answered(
                call.service, call.fingerprint, now
            )
            if ends:
                self._notices.announce_harmless(
                    call.service, (call.fingerprint,)
                )
            if was_barred:
                self._rows.keep_request(call.fingerprint)
        self.release(call)

    def describe(self) -> list[dict[str, object]]:
        """Describe the suspect and quarantined parts for operators."""
        now = monotonic()
        suspicions = self._quarantine.list_suspicions()
        return [
            {'service': service, 'part': part, **_describe(suspicion, now)}
            for (service, part), suspicion in suspicions.items()
        ]

    def describe_requests(self) -> list[dict[str, object]]:
        """Describe the requests that no engine gets, for operators."""
        barred = self._quarantine.requests.list_barred(monotonic())
        return [
            {
                'fingerprint': fingerprint,
                'engines': list(verdict.engines),
                'retrial_in': round(verdict.retrial_in, 1),
            }
            for fingerprint, verdict in barred
        ]

    def _start(self, check: Coroutine[None, None, None]) -> asyncio.Task[None]:
        """Start to find out whether engines have ended."""
        task = asyncio.create_task(check)
        self._background.add(task)
        task.add_done_callback(self._background.discard)
        return task

    def _end_trial(self, attempt: Attempt) -> tuple[str, ...]:
        """Detach the trial of an attempt from its call; return its parts.

        Another attempt of the call may try parts of its own.
        """
        tried = attempt.trial
        attempt.trial = ()
        if attempt.call.trial == tried:
            attempt.call.trial = ()
        return tried

    def _hold_request(self, attempt: Attempt) -> tuple[str, ...]:
        """Detach the trial of a request from its call, without its parts.

        Returns
        -------
        tuple of str
            Its fingerprint, if the attempt tries it.
        """
        call = attempt.call
        if not attempt.trial or call.fingerprint not in attempt.trial:
            return ()
        held = (call.fingerprint,)
        attempt.trial = _without(attempt.trial, held)
        call.trial = _without(call.trial, held)
        return held

    async def _observe_unheard(
        self, attempt: Attempt, given_up_at: float, held: tuple[str, ...]
    ) -> None:
        """Find out whether a silent engine has ended, then end the trial."""
        call = attempt.call
        try:
            await self._observer.check_unheard(
                call, attempt.placement.primary, attempt.sent_at, given_up_at
            )
        finally:
            if held and call.fingerprint not in call.trial:
                self._trials.finish(call, held)

    async def _observe(
        self, call: Call, suspected: list[_Suspected], tried: tuple[str, ...]
    ) -> None:
        """Find out whether engines have ended, then end the trial there.

        Meanwhile the call may have begun another trial, which goes on.
        """
        try:
            await asyncio.gather(
                *(
                    self._observer.check(call, endpoint, ended)
                    for endpoint, ended in suspected
                )
            )
        finally:
            if tried and not call.trial:
                self._trials.finish(call, tried)

    def _suspect_all(
        self, attempt: Attempt, failure: AttemptFailure
    ) -> list[_Suspected]:
        """Record which engines of an attempt may have ended.

        The end of a helper accuses the request, and none of its parts.
        """
        call, placement = attempt.call, attempt.placement
        suspected = []
        for endpoint in placement.endpoints:
            is_primary = endpoint is placement.primary
            is_named = endpoint.declaration.address == failure.fault
            if not (may_have_ended(failure) or (is_named and not is_primary)):
                continue
            parts = call.head.shared_parts if is_primary else ()
            ended = self._observer.suspect(
                call, endpoint, attempt.sent_at, monotonic(), parts
            )
            if ended is not None:
                suspected.append((endpoint, ended))
        return suspected

    def _awaits_checks(self, suspected: list[_Suspected]) -> bool:
        """Return whether the next attempt depends on what is found."""
        requests, now = self._quarantine.requests, monotonic()
        return any(
            ended.parts or requests.count(ended.fingerprint, now) > 1
            for _, ended in suspected
        )

    def _check_request(self, call: Call, judgement: Judgement) -> Judgement:
        """Judge what a call asks for, after its parts.

        Raises
        ------
        NoPlacementError
            When engines ended under it, or may have.
        """
        verdict = self._quarantine.requests.judge(call.fingerprint, monotonic())
        if verdict.state is RequestState.BARRED:
            raise self._refusals.build_barred(call, verdict)
        if verdict.state is RequestState.CHECKED:
            raise self._refusals.build_waiting(call)
        if verdict.state is RequestState.ALONE:
            parts = (*judgement.parts, call.fingerprint)
            return Judgement(PartState.SUSPECT, parts)
        return judgement

    def _check_trial(self, call: Call) -> None:
        """Judge a call again, as more may be known than when it asked."""
        try:
            self.check(call)
        except NoPlacementError:
            self.release(call)
            raise

    def _announce_cleared(
        self, call: Call, cleared: Mapping[str, Suspicion]
    ) -> None:
        self._notices.announce_harmless(call.service, cleared)
        for part, suspicion in cleared.items():
            record(
                _logger,
                'part_cleared',
                request=call.request_id,
                service=call.service,
                part=part,
                trials=suspicion.trials,
            )
            if suspicion.quarantined_after:
                self._rows.keep_cleared(call.service, part)


def _without(tried: tuple[str, ...], held: tuple[str, ...]) -> tuple[str, ...]:
    """Return what is tried without what is held."""
    return tuple(part for part in tried if part not in held)


def _describe(suspicion: Suspicion, now: float) -> dict[str, object]:
    """Describe the evidence; ``retrial_in`` is ``None`` for never."""
    seconds = suspicion.retrial_at - now
    return {
        'trials': suspicion.trials,
        'quarantined': bool(suspicion.quarantined_after),
        'engines': list(suspicion.ends),
        'retrial_in': round(seconds, 1) if math.isfinite(seconds) else None,
    }
