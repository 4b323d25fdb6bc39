"""Discrete-event simulation of engines, by their published cost figures.

An engine works in passes: each iteration prefills all prompt parts that wait
and decodes one event of every running stream.  Time is simulated, so that a
minute of load takes about a second.  The results show how a placement policy
serves callers: the time of each first event, and the longest stall of a stream.
"""

import heapq
import itertools
from collections.abc import Callable

import attrs

from ..state.engines import EngineProfile

__all__ = ['EmulatedEngine', 'Emulation', 'EmulatedCall']


@attrs.define
class EmulatedCall:
    """One call and the timing of its stream.

    Attributes
    ----------
    arrived
        Simulated time of its arrival, in seconds.
    tokens
        Length of its prompt.
    events
        Number of events of its stream, one per pass.
    pending_parts
        Parts of its prompt that still have to be prefilled.
    first_at, last_at
        Simulated times of its first and of its latest event.
    longest_gap
        Longest time between two events, in seconds.
    produced
        Events produced so far.
    """

    name: int
    arrived: float
    tokens: int
    events: int
    pending_parts: int = 1
    first_at: float | None = None
    last_at: float = 0
    longest_gap: float = 0
    produced: int = 0

    def record_event(self, now: float) -> None:
        """Record an event at the time ``now``."""
        if self.first_at is None:
            self.first_at = now
        else:
            self.longest_gap = max(self.longest_gap, now - self.last_at)
        self.last_at = now
        self.produced += 1


@attrs.define
class EmulatedEngine:
    """One engine with its prompt parts and streams.

    Attributes
    ----------
    waiting
        Prompt parts for the next pass: a call and the seconds of its prefill.
    prefilling
        Prompt parts that the present pass prefills.
    decoding
        Calls whose streams are being decoded.
    answering
        Calls that will be decoded here once all parts are prefilled.
    running
        Whether a pass is in progress.
    """

    name: str
    profile: EngineProfile
    waiting: list[tuple[EmulatedCall, float]] = attrs.field(factory=list)
    prefilling: list[tuple[EmulatedCall, float]] = attrs.field(factory=list)
    decoding: list[EmulatedCall] = attrs.field(factory=list)
    answering: list[EmulatedCall] = attrs.field(factory=list)
    running: bool = False

    def begin_pass(self) -> float:
        """Begin a pass over all waiting parts; return its seconds."""
        self.prefilling = self.waiting
        self.waiting = []
        seconds = sum(part for _, part in self.prefilling)
        if self.decoding or self.prefilling:
            seconds += self.profile.predict_decode(
                len(self.decoding) + len(self.prefilling),
                sum(call.tokens for call in self.decoding),
            )
        self.running = True
        return seconds

    def end_pass(self, now: float) -> list[EmulatedCall]:
        """End the pass, with an event per stream; return the calls that end."""
        for call in self.decoding:
            call.record_event(now)
        done = [call for call in self.decoding if call.produced >= call.events]
        self.decoding = [
            call for call in self.decoding if call.produced < call.events
        ]
        for call, _ in self.prefilling:
            call.pending_parts -= 1
        self.prefilling = []
        self.running = False
        return done

    def start_ready(self, now: float) -> list[EmulatedCall]:
        """Start and return the calls whose prompts are prefilled completely."""
        ready = [call for call in self.answering if not call.pending_parts]
        self.answering = [call for call in self.answering if call.pending_parts]
        for call in ready:
            call.record_event(now)
            self.decoding.append(call)
        return ready

    @property
    def has_work(self) -> bool:
        """Whether a pass would prefill or decode anything."""
        return bool(self.waiting or self.decoding)


class Emulation:
    """Engines, and a simulated clock that advances from event to event.

    Attributes
    ----------
    now
        Simulated time in seconds.
    on_first, on_end
        Called with a call at its first event, and after its last one.
    """

    def __init__(self, profile: EngineProfile, engines: int) -> None:
        """Start at time 0 with idle engines."""
        self.now = float(0)
        names = [f'engine-{index}' for index in range(engines)]
        self.engines = {name: EmulatedEngine(name, profile) for name in names}
        self.calls: list[EmulatedCall] = []
        self._order = itertools.count()
        self._scheduled: list[tuple[float, int, Callable[[], None]]] = []
        self.on_first_event: Callable[[EmulatedCall], None] = _ignore
        self.on_end: Callable[[EmulatedCall], None] = _ignore

    def schedule(self, at: float, act: Callable[[], None]) -> None:
        """Run ``act`` when the clock reaches ``at``."""
        heapq.heappush(self._scheduled, (at, next(self._order), act))

    def send(
        self,
        call: EmulatedCall,
        primary: str,
        prefill_engines: list[str],
        part: float,
    ) -> None:
        """Queue a call at its engines.

        Parameters
        ----------
        primary
            Engine that decodes the stream.
        prefill_engines
            Engines that prefill a part of the prompt each.
        part
            Seconds of prefill of each part.
        """
        self.calls.append(call)
        call.pending_parts = len(prefill_engines)
        self.engines[primary].answering.append(call)
        for name in prefill_engines:
            engine = self.engines[name]
            engine.waiting.append((call, part))
            self._start_pass(engine)

    def run(self) -> None:
        """Run the simulation until no event is scheduled."""
        while self._scheduled:
            earliest = heapq.heappop(self._scheduled)
            self.now = earliest[0]
            earliest[-1]()

    def _start_pass(self, engine: EmulatedEngine) -> None:
        if not engine.running and engine.has_work:
            seconds = engine.begin_pass()
            self.schedule(self.now + seconds, lambda: self._end_pass(engine))

    def _end_pass(self, engine: EmulatedEngine) -> None:
        done = engine.end_pass(self.now)
        # The last part of a prompt may be prefilled at any engine.
        for other in self.engines.values():
            for call in other.start_ready(self.now):
                self.on_first_event(call)
            self._start_pass(other)
        for call in done:
            self.on_end(call)
        self._start_pass(engine)


def _ignore(_call: EmulatedCall) -> None:
    """Do nothing."""
