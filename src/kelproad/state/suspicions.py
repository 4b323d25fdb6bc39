"""Evidence against parts of prompts: lives of engines that ended on them."""

import enum
import math
from collections.abc import Container, Mapping

import attrs

__all__ = [
    'BACKGROUND_SECONDS',
    'EndedCall',
    'EndedLives',
    'EngineEnd',
    'Judgement',
    'PartState',
    'Suspicion',
    'are_in_a_row',
    'may_count',
]

#: Seconds in which ends are counted as the usual ones of a service.
BACKGROUND_SECONDS = 10.0
#: Seconds for which an end counts that is not confirmed.
_UNCONFIRMED_SECONDS = 2.0
#: Seconds after the last end after which a quarantined part is tried again,
#: once for each.
_RETRIAL_DELAYS = (30.0, 120.0, 480.0)
#: Seconds by which times that another instance states may be off.
_TOLERANCE = 0.05
#: Most ends that are remembered of a part.
_MAX_ENDS = 12
#: Seconds for which calls may be sent to an engine that has ended, as its entry
#: is still listed.
_LISTED_SECONDS = 30.0
_Life = tuple[str, str]


class PartState(enum.StrEnum):
    """What is known of the parts of a prompt."""

    #: Nothing is known against any of them.
    HARMLESS = 'harmless'
    SUSPECT = 'suspect'
    QUARANTINED = 'quarantined'


@attrs.frozen
class EndedCall:
    """A call whose engine ended while it answered.

    Attributes
    ----------
    engine
        One life of the engine: its name and incarnation.
    parts
        Shared parts of the prompt that are not known to be harmless.
    workspaces
        Workspace of the caller; empty text for none.
    sent_at, ended_at
        Monotonic times at which the call was sent there and broke off.
    confirmed
        Whether the engine is known to have ended.
    fingerprint
        Digest of what the call asked for.
    """

    service: str
    engine: str
    parts: frozenset[str]
    workspaces: frozenset[str]
    sent_at: float
    ended_at: float
    confirmed: bool = False
    fingerprint: str = ''


@attrs.define
class EngineEnd:
    """The end of one engine that answered calls with a part."""

    sent_at: float
    ended_at: float
    workspaces: frozenset[str]
    fingerprints: frozenset[str]
    confirmed: bool = False
    counted: bool = False


@attrs.define
class Suspicion:
    """The evidence against a part.

    Attributes
    ----------
    trials
        Ends in a row, each of an engine that was sent the part after the one
        before had ended.
    quarantined_after
        Number of trials after which it was quarantined; 0 when it is not.
    last_end_at
        Monotonic time of the last of these ends.
    touched_at
        Monotonic time of the last call with the part.
    """

    touched_at: float
    trials: int = 0
    quarantined_after: int = 0
    last_end_at: float = -math.inf
    ends: dict[str, EngineEnd] = attrs.field(factory=dict)

    @property
    def retrial_at(self) -> float:
        """Monotonic time from which a quarantined part may be tried again."""
        failed = self.trials - self.quarantined_after
        if failed >= len(_RETRIAL_DELAYS):
            return math.inf
        return self.last_end_at + _RETRIAL_DELAYS[failed]

    def add(self, ended: EndedCall) -> None:
        """Add a call; an end counts once, however many calls it broke off."""
        end = self.ends.get(ended.engine)
        if end is None:
            end = EngineEnd(
                ended.sent_at,
                ended.ended_at,
                ended.workspaces,
                frozenset(filter(None, (ended.fingerprint,))),
            )
            self.ends[ended.engine] = end
        # Reports of one end arrive with different delays; how long a call has
        # lasted is the same in all of them.
        lasted = ended.ended_at - ended.sent_at
        end.sent_at = max(end.sent_at, end.ended_at - lasted)
        end.workspaces |= ended.workspaces
        end.fingerprints |= frozenset(filter(None, (ended.fingerprint,)))
        end.confirmed = end.confirmed or ended.confirmed
        self._count(end)
        if len(self.ends) > _MAX_ENDS:
            self._drop_oldest_end()

    def confirm(self, engine: str, ended_at: float) -> bool:
        """Confirm an end, unless it broke off calls sent after it alone.

        Returns
        -------
        bool
            Whether calls with the part were broken off by it.
        """
        end = self.ends.get(engine)
        if end is None or end.sent_at > ended_at:
            return False
        end.confirmed = True
        self._count(end)
        return True

    def remove(self, engine: str) -> None:
        """Remove an end that was none, and what was concluded from it."""
        if not self.ends.pop(engine).counted:
            return
        self.trials -= 1
        if self.trials < self.quarantined_after:
            self.quarantined_after = 0
        self.last_end_at = max(
            (end.ended_at for end in self.list_counted().values()),
            default=-math.inf,
        )

    def remove_before(self, at: float) -> None:
        """Remove the ends before a time, as an answer explains them."""
        for engine, end in list(self.ends.items()):
            if end.ended_at < at:
                self.remove(engine)

    def list_causes(self, end: EngineEnd) -> frozenset[str]:
        """List the requests that may be the cause of an end and all others.

        Returns
        -------
        frozenset of str
            Their fingerprints; just the empty text if there is none.
        """
        causes = end.fingerprints
        for other in self.list_counted().values():
            causes &= other.fingerprints
        return causes or frozenset(('',))

    def list_counted(self) -> dict[str, EngineEnd]:
        """List the ends in a row that are remembered, by engine."""
        return {engine: end for engine, end in self.ends.items() if end.counted}

    def is_current(self, now: float) -> bool:
        """Return whether an end is confirmed, or may still be."""
        return any(may_count(end, now) for end in self.ends.values())

    def _count(self, end: EngineEnd) -> None:
        """Count an end that is confirmed, once, if it is one in a row."""
        if end.counted or not end.confirmed or not self._is_in_a_row(end):
            return
        end.counted = True
        self.trials += 1
        self.last_end_at = max(self.last_end_at, end.ended_at)

    def _is_in_a_row(self, end: EngineEnd) -> bool:
        """Return whether no call with the part was under way at two ends.

        An end may be told later than those that came after it.
        """
        if end.sent_at >= self.last_end_at - _TOLERANCE:
            return True
        counted = self.list_counted().values()
        return len(counted) == self.trials and all(
            are_in_a_row(end, other) for other in counted
        )

    def _drop_oldest_end(self) -> None:
        """Drop an end, one that was not counted if there is one."""
        uncounted = (
            engine for engine, end in self.ends.items() if not end.counted
        )
        self.ends.pop(next(uncounted, None) or next(iter(self.ends)))


class EndedLives:
    """Lives of engines that have ended, or may have, by service."""

    def __init__(self) -> None:
        """Know of no end."""
        #: Monotonic times of ends lately, confirmed or not.
        self._ends: dict[_Life, float] = {}
        #: The same for ends that were confirmed, also longer ago.
        self._confirmed: dict[_Life, float] = {}
        #: Monotonic times at which lives that had seemed to end answered.
        self._revived_at: dict[_Life, float] = {}

    def record(self, ended: EndedCall, now: float) -> bool:
        """Record an end; return whether it is confirmed for the first time."""
        life = (ended.service, ended.engine)
        self._ends = _select_after(self._ends, now - BACKGROUND_SECONDS)
        self._ends.setdefault(life, ended.ended_at)
        if not ended.confirmed or life in self._confirmed:
            return False
        self._confirmed = _select_after(self._confirmed, now - _LISTED_SECONDS)
        self._confirmed[life] = ended.ended_at
        return True

    def is_confirmed(self, ended: EndedCall) -> bool:
        """Return whether the end of a call's engine is confirmed."""
        return (ended.service, ended.engine) in self._confirmed

    def has_ended_before(self, service: str, engine: str, at: float) -> bool:
        """Return whether a life is confirmed to have ended before a time."""
        return self._confirmed.get((service, engine), math.inf) < at

    def has_answered_after(self, ended: EndedCall) -> bool:
        """Return whether the engine of a call has answered since."""
        life = (ended.service, ended.engine)
        return ended.ended_at < self._revived_at.get(life, -math.inf)

    def withdraw(self, service: str, engine: str) -> None:
        """Withdraw an end that is not confirmed."""
        self._ends.pop((service, engine), None)

    def revive(self, service: str, engine: str, at: float) -> None:
        """Withdraw the ends of a life that answered later."""
        life = (service, engine)
        self._revived_at = _select_after(self._revived_at, at - _LISTED_SECONDS)
        self._revived_at[life] = max(at, self._revived_at.get(life, at))
        for ends in (self._ends, self._confirmed):
            if ends.get(life, math.inf) < at:
                ends.pop(life)

    def count_others(self, service: str, engines: Container[str]) -> int:
        """Count the lives of a service that ended lately, without some."""
        return sum(
            of_service == service and engine not in engines
            for of_service, engine in self._ends
        )


@attrs.frozen
class Judgement:
    """What is known of a prompt.

    Attributes
    ----------
    parts
        The suspect parts; the quarantined one alone if there is one.
    retrial_in
        Seconds until a quarantined part may be tried again.
    engines
        Engines that ended while they answered calls with a quarantined part.
    """

    state: PartState
    parts: tuple[str, ...] = ()
    retrial_in: float = 0
    engines: tuple[str, ...] = ()


def may_count(
    end: EndedCall | EngineEnd,
    now: float,
    seconds: float = _UNCONFIRMED_SECONDS,
) -> bool:
    """Return whether an end is confirmed, or may be some seconds after it."""
    return end.confirmed or now - end.ended_at < seconds


def are_in_a_row(
    first: EndedCall | EngineEnd, second: EndedCall | EngineEnd
) -> bool:
    """Return whether calls were sent to one engine after the other had ended.

    It does not matter to which one.
    """
    return (
        second.sent_at >= first.ended_at - _TOLERANCE
        or first.sent_at >= second.ended_at - _TOLERANCE
    )


def _select_after(
    times: Mapping[_Life, float], oldest: float
) -> dict[_Life, float]:
    """Select what happened after a time."""
    return {life: at for life, at in times.items() if at > oldest}
