"""Parts of prompts that are suspected to crash engines.

A request may crash each engine that begins to answer it, because of one part of
its prompt.  The end of an engine alone doesn't show that: an engine crashes by
itself as well, and all requests on it end together.  So each end makes the
parts suspect that were being answered there and are not known to be harmless.
An answer that an engine outlives shows its parts to be harmless.  While a part
is suspect, one request with it is tried at a time; what several trials in a row
end with is quarantined.
"""

import collections
import math
from collections.abc import Callable, Iterable

import attrs

from .partevidence import MIN_TRIALS, Key, PartEvidence
from .requestends import RequestEnds
from .suspicions import (
    BACKGROUND_SECONDS,
    EndedCall,
    EndedLives,
    Judgement,
    PartState,
    Suspicion,
)

__all__ = ['PartQuarantine']

#: Seconds before the end of an engine in which an answer elsewhere shows a part
#: to be harmless.
_HARMLESS_SECONDS = 5.0
#: Most ends in a row that it takes to quarantine a part, when many engines end
#: by themselves.
_MAX_TRIALS = 5
#: Largest probability that a harmless part has met that many ends by chance.
_MAX_CHANCE = 1e-3
#: Seconds that a trial takes.
_TRIAL_SECONDS = 0.5
#: Seconds without a request after which a suspicion is forgotten.
_FORGET_SECONDS = 86_400.0
#: Most harmless and most suspect parts that are remembered.
_MAX_HARMLESS = 4096
_MAX_SUSPECTS = 1024

_HARMLESS = Judgement(PartState.HARMLESS)


class PartQuarantine:
    """What is known of the parts of prompts, by service and part.

    Attributes
    ----------
    requests
        What is known of whole requests.
    """

    def __init__(self, count_engines: Callable[[str], int]) -> None:
        """Suspect nothing; ``count_engines`` counts those of a service."""
        self._count_engines = count_engines
        #: Monotonic times of the last answers, the oldest first.
        self._harmless: collections.OrderedDict[Key, float] = (
            collections.OrderedDict()
        )
        self._suspicions: dict[Key, Suspicion] = {}
        self.requests = RequestEnds()
        self._evidence = PartEvidence(self._suspicions, self.requests)
        self._lives = EndedLives()

    def record_harmless(
        self, service: str, parts: Iterable[str], at: float
    ) -> dict[str, Suspicion]:
        """Record an answer that its engine outlived.

        A late report of an answer says nothing on engines that ended long
        after it.

        Returns
        -------
        dict of str to Suspicion
            The parts that were suspect until now, and the evidence.
        """
        cleared = {}
        for part in parts:
            key = (service, part)
            self._remember_harmless(key, at)
            suspicion = self._suspicions.get(key)
            if suspicion is None:
                continue
            if suspicion.last_end_at < at + _HARMLESS_SECONDS:
                cleared[part] = self._suspicions.pop(key)
            else:
                suspicion.remove_before(at + _HARMLESS_SECONDS)
        return cleared

    def record_answered(
        self, service: str, fingerprint: str, at: float
    ) -> None:
        """Record that a request was answered whole: it ends no engine."""
        self.requests.clear(fingerprint, at + _HARMLESS_SECONDS)
        self._remember_harmless((service, fingerprint), at)

    def select_unproven(
        self, service: str, parts: Iterable[str], now: float
    ) -> frozenset[str]:
        """Select the parts that no recent answer shows to be harmless."""
        oldest = now - _HARMLESS_SECONDS
        return frozenset(
            part
            for part in parts
            if self.find_harmless_at(service, part) < oldest
        )

    def record_end(self, ended: EndedCall, now: float) -> list[str]:
        """Record a call whose engine ended; return the parts quarantined.

        A call that was sent to an engine which had ended shows nothing, and no
        engine ended before it answered again.
        """
        if self.has_ended_before(ended.service, ended.engine, ended.sent_at):
            return []
        if self._lives.has_answered_after(ended):
            return []
        confirmed = set()
        if self._lives.record(ended, now):
            self.requests.confirm(ended.service, ended.engine, now)
            confirmed = self._confirm_parts(ended)
        ended = attrs.evolve(ended, confirmed=self._lives.is_confirmed(ended))
        if self.select_unproven(
            ended.service, filter(None, (ended.fingerprint,)), ended.ended_at
        ):
            self.requests.add(ended, now)
        unproven = self.select_unproven(
            ended.service, ended.parts, ended.ended_at
        )
        ended = attrs.evolve(ended, parts=unproven)
        for part in unproven:
            self._find_or_add((ended.service, part), now).add(ended)
        return [
            part
            for part in sorted(unproven | confirmed)
            if self._quarantine_if_due(ended.service, part)
        ]

    def has_ended_before(self, service: str, engine: str, at: float) -> bool:
        """Return whether an engine is confirmed to have ended before a time."""
        return self._lives.has_ended_before(service, engine, at)

    def withdraw(self, service: str, engine: str) -> None:
        """Withdraw an end: the engine is alive."""
        self._lives.withdraw(service, engine)
        self.requests.withdraw(service, engine)
        for key, suspicion in list(self._suspicions.items()):
            end = suspicion.ends.get(engine)
            if end is None or end.confirmed:
                continue
            suspicion.ends.pop(engine)
            if not suspicion.ends:
                self._suspicions.pop(key)

    def revive(self, service: str, engine: str, at: float) -> list[str]:
        """Withdraw the ends of a life that answered later, confirmed ones too.

        Returns
        -------
        list of str
            The parts that are in quarantine no longer.
        """
        self.requests.revive(service, engine, at)
        self._lives.revive(service, engine, at)
        released = []
        for key, suspicion in list(self._suspicions.items()):
            end = suspicion.ends.get(engine)
            if key[0] != service or end is None or end.ended_at >= at:
                continue
            was_quarantined = suspicion.quarantined_after
            suspicion.remove(engine)
            if was_quarantined and not suspicion.quarantined_after:
                released.append(key[1])
            if not suspicion.ends:
                self._suspicions.pop(key)
        return released

    def judge(
        self,
        service: str,
        parts: Iterable[str],
        workspace: str,
        now: float,
        identify: Callable[[], str] = str,
    ) -> Judgement:
        """Judge a prompt by its parts.

        ``identify`` returns the fingerprint of the call.
        """
        if not self._suspicions:
            return _HARMLESS
        suspect = {
            part: suspicion
            for part in parts
            if (suspicion := self._find_current((service, part), now))
        }
        if not suspect:
            return _HARMLESS
        for part, suspicion in suspect.items():
            suspicion.touched_at = now
            if now < suspicion.retrial_at and self._evidence.is_proven(
                service, part, workspace, suspect, identify
            ):
                return Judgement(
                    PartState.QUARANTINED,
                    (part,),
                    suspicion.retrial_at - now,
                    tuple(suspicion.ends),
                )
        return Judgement(PartState.SUSPECT, tuple(suspect))

    def get(self, service: str, part: str) -> Suspicion | None:
        """Return the evidence against a part, if there is any."""
        return self._suspicions.get((service, part))

    def find_harmless_at(self, service: str, part: str) -> float:
        """Return the monotonic time of the last answer that shows it."""
        return self._harmless.get((service, part), -math.inf)

    def list_ends(self) -> list[EndedCall]:
        """List the evidence, each end of an engine for each of its parts.

        What was asked for is told of those requests that one cause may be.
        """
        return [
            ended
            for (service, part), suspicion in self._suspicions.items()
            for ended in _list_ends_of(service, part, suspicion)
        ]

    def list_suspicions(self) -> dict[Key, Suspicion]:
        """List the evidence by service and part."""
        return dict(self._suspicions)

    def _remember_harmless(self, key: Key, at: float) -> None:
        """Remember when a part or a request did no harm."""
        self._harmless[key] = max(at, self._harmless.get(key, at))
        self._harmless.move_to_end(key)
        if len(self._harmless) > _MAX_HARMLESS:
            self._harmless.popitem(last=False)

    def _confirm_parts(self, ended: EndedCall) -> set[str]:
        """Confirm an end for all calls that it broke off; return their parts.

        It is one for all, whoever found it and under which of them.
        """
        return {
            part
            for (service, part), suspicion in self._suspicions.items()
            if service == ended.service
            and suspicion.confirm(ended.engine, ended.ended_at)
        }

    def _quarantine_if_due(self, service: str, part: str) -> bool:
        """Quarantine a part after enough trials; return whether it is new."""
        suspicion = self._suspicions.get((service, part))
        # It may have been dropped for others.
        if suspicion is None or suspicion.quarantined_after:
            return False
        if suspicion.trials < self._choose_trials(service, part):
            return False
        suspicion.quarantined_after = suspicion.trials
        return True

    def _choose_trials(self, service: str, part: str) -> int:
        """Choose the ends in a row that quarantine a part.

        The more engines end without the part, the likelier it is that some
        trials end by chance.
        """
        related = self._suspicions[service, part].ends
        others = self._lives.count_others(service, related)
        engines = max(1, self._count_engines(service))
        chance = others / engines / BACKGROUND_SECONDS * _TRIAL_SECONDS
        trials = MIN_TRIALS
        while trials < _MAX_TRIALS and chance ** (trials - 1) > _MAX_CHANCE:
            trials += 1
        return trials

    def _find_or_add(self, key: Key, now: float) -> Suspicion:
        suspicion = self._suspicions.get(key)
        if suspicion is None:
            if len(self._suspicions) >= _MAX_SUSPECTS:
                self._drop_one(now)
            suspicion = Suspicion(now)
            self._suspicions[key] = suspicion
        return suspicion

    def _find_current(self, key: Key, now: float) -> Suspicion | None:
        suspicion = self._suspicions.get(key)
        if suspicion is None:
            return None
        is_forgotten = now - suspicion.touched_at > _FORGET_SECONDS
        if is_forgotten or not suspicion.is_current(now):
            self._suspicions.pop(key)
            return None
        return suspicion

    def _drop_one(self, now: float) -> None:
        """Drop the suspicion with the least evidence, the oldest of these."""

        def rank(key: Key) -> tuple[bool, int, float]:  # noqa: WPS430  closure
            known = self._suspicions[key]
            return known.is_current(now), known.trials, known.touched_at

        self._suspicions.pop(min(self._suspicions, key=rank))


def _list_ends_of(
    service: str, part: str, suspicion: Suspicion
) -> list[EndedCall]:
    """List the evidence against one part."""
    return [
        EndedCall(
            service,
            engine,
            frozenset((part,)),
            end.workspaces,
            end.sent_at,
            end.ended_at,
            end.confirmed,
            fingerprint,
        )
        for engine, end in suspicion.ends.items()
        for fingerprint in suspicion.list_causes(end)
    ]
