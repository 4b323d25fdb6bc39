"""Ways to find the part of a prompt on which engines crash, compared.

Requests and engines of a site, emulated for a minute, without a network: what
instances tell each other is known at once.  Run ``python -m bench.crashing``.
"""

import heapq
import itertools
import random
from collections.abc import Iterator

import attrs

from kelproad.state.quarantine import PartQuarantine
from kelproad.state.suspicions import EndedCall, PartState

_SECONDS = 60.0
_SERVICE = 'writer'
#: Seconds from a request until its engine crashes, until one that does not has
#: outlived the begin of the answer, and until it is answered.
_CRASH_AFTER = 0.3
_CLEAR_AFTER = 0.5
_ANSWER_AFTER = 1.4
#: Seconds until an engine is back.
_BACK_AFTER = 4.0
#: Seconds between two tries of a request that waits for a trial, and the most
#: that it waits.
_RETRY_PERIOD = 0.05
_LONGEST_WAIT = 1.0
#: Seconds from the begin at which the first crashing request comes.
_BEGIN = 10.0
#: Crashes after which a part is refused by count.
_COUNT = 5
_CRASHING = 'crashing'
_RUNS = 10


@attrs.frozen
class Case:
    """Engines, requests a second, and engines that crash by themselves."""

    engines: int
    sound: float
    crashing: float
    own_crashes: float = 0
    shared_parts: int = 60


@attrs.define(eq=False)
class Request:
    """A request; ``since`` is when it came, ``engine`` where it runs."""

    parts: tuple[str, ...]
    since: float
    sent_at: float = 0
    engine: int = 0
    is_trial: bool = False

    @property
    def crashes(self) -> bool:
        """Whether its engine crashes."""
        return _CRASHING in self.parts


@attrs.define
class Outcome:
    """What a run brought."""

    ended: int = 0
    sound: int = 0
    refused_sound: int = 0
    gave_up: int = 0
    waited: float = 0
    known_after: float = -1


class ByCount:
    """Refuses a part under which several engines have ended."""

    def __init__(self, _case: Case) -> None:
        """Start without evidence."""
        self._ends: dict[str, set[float]] = {}

    def judge(self, request: Request, _now: float) -> PartState:
        """Judge by the number of ends alone."""
        refused = any(
            len(self._ends.get(part, ())) >= _COUNT for part in request.parts
        )
        return PartState.QUARANTINED if refused else PartState.HARMLESS

    def answer(self, request: Request, now: float) -> None:
        """Learn nothing from answers."""

    def end(self, request: Request, life: float, _now: float) -> None:
        """Count an end once for each part."""
        for part in request.parts:
            self._ends.setdefault(part, set()).add(life)


class ByElimination:
    """Accuses the parts that no recent answer clears; trials are optional."""

    with_trials = False

    def __init__(self, case: Case) -> None:
        """Start without evidence."""
        self._parts = PartQuarantine(lambda _service: case.engines)

    def judge(self, request: Request, now: float) -> PartState:
        """Judge by what is left accused."""
        state = self._parts.judge(_SERVICE, request.parts, '', now).state
        if state is PartState.SUSPECT and not self.with_trials:
            return PartState.HARMLESS
        return state

    def answer(self, request: Request, now: float) -> None:
        """Clear the parts of an answer."""
        self._parts.record_harmless(_SERVICE, request.parts, now)

    def end(self, request: Request, life: float, now: float) -> None:
        """Accuse the parts that are not cleared."""
        unproven = self._parts.select_unproven(_SERVICE, request.parts, now)
        ended = EndedCall(
            _SERVICE,
            str(life),
            unproven,
            frozenset(('', 'other')),
            request.sent_at,
            now,
            confirmed=True,
        )
        self._parts.record_end(ended, now)


class ByTrials(ByElimination):
    """The same, with one request at a time for a suspect part."""

    with_trials = True


class Site:
    """The engines of a site, its requests, and the events to come."""

    def __init__(self, way: type, case: Case, seed: int) -> None:
        """Draw requests and crashes from a seed."""
        self._guard = way(case)
        self._order = itertools.count()
        self._events: list[tuple[float, int, str, object]] = []
        self._running: list[list[Request]] = [[] for _ in range(case.engines)]
        self._back_at = [float(0) for _ in self._running]
        self._tried: set[str] = set()
        self.outcome = Outcome()
        generator = random.Random(seed)
        for at, request in _draw_requests(case, generator):
            self._add(at, 'come', request)
        for crash_at in _draw_times(case.own_crashes, 0, generator):
            self._add(crash_at, 'crash', generator.randrange(case.engines))

    def run(self) -> Outcome:
        """Let all events happen."""
        while self._events:
            now, _, kind, subject = heapq.heappop(self._events)
            if kind == 'come':
                self._come(subject, now)
            elif kind == 'clear':
                self._clear(subject, now)
            elif kind == 'end':
                self._end(subject, now)
            elif self._back_at[subject] <= now:
                self._crash(subject, now)
        return self.outcome

    def _add(self, at: float, kind: str, subject: object) -> None:
        heapq.heappush(self._events, (at, next(self._order), kind, subject))

    def _come(self, request: Request, now: float) -> None:
        """Send a request to the engine with the fewest, or refuse it."""
        state = self._guard.judge(request, now)
        if state is PartState.QUARANTINED:
            self._refuse(request, now)
            return
        suspect = state is PartState.SUSPECT
        up = [
            engine
            for engine, back_at in enumerate(self._back_at)
            if back_at <= now
        ]
        if not up or (suspect and not self._tried.isdisjoint(request.parts)):
            self._wait(request, now)
            return
        if not request.sent_at and not request.crashes:
            self.outcome.sound += 1
            self.outcome.waited = max(self.outcome.waited, now - request.since)
        if suspect:
            request.is_trial = True
            self._tried.update(request.parts)
        request.sent_at = now
        request.engine = min(up, key=lambda one: len(self._running[one]))
        self._running[request.engine].append(request)
        if request.crashes:
            self._add(now + _CRASH_AFTER, 'end', request)
        else:
            self._add(now + _CLEAR_AFTER, 'clear', request)
            self._add(now + _ANSWER_AFTER, 'end', request)

    def _refuse(self, request: Request, now: float) -> None:
        if not request.crashes:
            self.outcome.refused_sound += 1
        elif self.outcome.known_after < 0:
            self.outcome.known_after = now - _BEGIN

    def _wait(self, request: Request, now: float) -> None:
        if request.sent_at or now - request.since < _LONGEST_WAIT:
            self._add(now + _RETRY_PERIOD, 'come', request)
        elif not request.crashes:
            self.outcome.gave_up += 1

    def _clear(self, request: Request, now: float) -> None:
        if request in self._running[request.engine]:
            self._release(request)
            self._guard.answer(request, now)

    def _end(self, request: Request, now: float) -> None:
        if request not in self._running[request.engine]:
            return
        if request.crashes:
            self._crash(request.engine, now)
        else:
            self._running[request.engine].remove(request)

    def _crash(self, engine: int, now: float) -> None:
        self.outcome.ended += 1
        self._back_at[engine] = now + _BACK_AFTER
        ended = self._running[engine]
        self._running[engine] = []
        for request in ended:
            self._release(request)
            self._guard.end(request, now, now)
            self._add(now, 'come', attrs.evolve(request, is_trial=False))

    def _release(self, request: Request) -> None:
        if request.is_trial:
            request.is_trial = False
            self._tried.difference_update(request.parts)


def _draw_requests(
    case: Case, generator: random.Random
) -> Iterator[tuple[float, Request]]:
    for begin, rate, extra in (
        (0, case.sound, ()),
        (_BEGIN, case.crashing, (_CRASHING,)),
    ):
        for at in _draw_times(rate, begin, generator):
            shared = f'shared-{generator.randrange(case.shared_parts)}'
            yield at, Request((shared, *extra), at)


def _draw_times(
    rate: float, begin: float, generator: random.Random
) -> Iterator[float]:
    at = begin
    while rate and at < _SECONDS:
        at += generator.expovariate(rate)
        yield at


def main() -> None:
    """Print the outcome of each way in each case, mean and most of ten runs."""
    cases = (
        Case(26, 30, 1.5),
        Case(26, 30, 6),
        Case(26, 30, 6, own_crashes=1),
        Case(26, 30, 0, own_crashes=2),
        Case(26, 30, 0, own_crashes=4, shared_parts=600),
    )
    for case in cases:
        print(case)
        for way in (ByCount, ByElimination, ByTrials):
            outcomes = [Site(way, case, seed).run() for seed in range(_RUNS)]
            ended = [outcome.ended for outcome in outcomes]
            refused = sum(outcome.refused_sound for outcome in outcomes)
            gave_up = sum(outcome.gave_up for outcome in outcomes)
            sound = sum(outcome.sound for outcome in outcomes) + refused
            print(
                f'  {way.__name__:14} ended {sum(ended) / _RUNS:.1f}, most'
                f' {max(ended)}; known after'
                f' {max(outcome.known_after for outcome in outcomes):.1f} s;'
                f' sound refused {refused / sound:.4f}, after a wait'
                f' {gave_up / sound:.4f}; longest wait'
                f' {max(outcome.waited for outcome in outcomes):.2f} s'
            )


if __name__ == '__main__':
    main()
