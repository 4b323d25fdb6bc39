"""Work in flight at endpoints: this instance's own and that of its peers.

Reports of engines lag by hundreds of milliseconds, in which many calls arrive;
what instances tell each other of the work they sent is newer.
"""

import collections
import math
from collections.abc import Callable, Iterable

import attrs

__all__ = ['EndpointWork', 'PeerWork', 'WorkLedger']

#: Seconds without news after which the work of a peer is forgotten: its
#: process is gone, and endpoints drop calls whose connection closes.  Peers
#: tell at least every 0.25 s while they have work.
FORGET_AFTER = 1.5


@attrs.define
class EndpointWork:
    """Work of one or more instances at one endpoint.

    Attributes
    ----------
    calls
        Calls that it answers.
    context_tokens
        Prompt and answer tokens that it holds for them.
    prefill_seconds
        Predicted seconds of prompts, or parts of prompts, yet to be read.
    helping
        Prompts of which it reads a part for another engine.
    patient_calls
        Calls among them whose streams may pause for long, mostly those of long
        prompts.
    """

    calls: int = 0
    context_tokens: int = 0
    prefill_seconds: float = 0
    helping: int = 0
    patient_calls: int = 0

    @property
    def idle(self) -> bool:
        """Whether nothing is in flight."""
        return not (self.calls or self.helping or self.context_tokens)

    @property
    def tight_calls(self) -> int:
        """Calls whose streams may pause for a short time only."""
        return self.calls - self.patient_calls

    def add(self, other: 'EndpointWork', sign: int = 1) -> None:
        """Add the work of another record, or take it out with sign -1."""
        self.calls += sign * other.calls
        self.context_tokens += sign * other.context_tokens
        self.prefill_seconds += sign * other.prefill_seconds
        self.helping += sign * other.helping
        self.patient_calls += sign * other.patient_calls


@attrs.frozen
class PeerWork:
    """What a peer last told, and when that was heard."""

    by_endpoint: dict[str, EndpointWork]
    heard_at: float


def _ignore() -> None:
    """Take no note."""


class WorkLedger:
    """Who has what in flight where.

    The sums of what peers told are kept as it comes, so that looking one up
    takes as long with hundreds of peers as with one.
    """

    def __init__(self) -> None:
        """Start with nothing in flight."""
        self.own: dict[str, EndpointWork] = {}
        self._peers: dict[str, PeerWork] = {}
        #: What all peers told, summed by endpoint, and how many of them did.
        self._told: dict[str, EndpointWork] = {}
        self._told_by: collections.Counter[str] = collections.Counter()
        #: No peer has been silent for too long before this time.
        self._silent_from = math.inf
        #: Grows with every change of the own work.
        self.changes = 0
        #: Is called at each of them.
        self.on_change: Callable[[], None] = _ignore

    def begin(self, endpoint: str, work: EndpointWork) -> None:
        """Enter work that is about to be sent."""
        self.own.setdefault(endpoint, EndpointWork()).add(work)
        self._note_change()

    def end(self, endpoint: str, work: EndpointWork) -> None:
        """Take out work that is done or given up."""
        held = self.own[endpoint]
        held.add(work, -1)
        if held.idle:
            # Rounding must not leave a trace of seconds behind.
            self.own.pop(endpoint)
        self._note_change()

    def accept_peer(
        self,
        instance: str,
        by_endpoint: dict[str, EndpointWork],
        now: float,
    ) -> None:
        """Take in the whole work of a peer, in place of what it told before."""
        known = self._peers.get(instance)
        if known is not None and known.by_endpoint == by_endpoint:
            self._peers[instance] = PeerWork(by_endpoint, now)
            return
        self.forget_peer(instance)
        if not by_endpoint:
            return
        self._peers[instance] = PeerWork(by_endpoint, now)
        self._silent_from = min(self._silent_from, now + FORGET_AFTER)
        for endpoint, work in by_endpoint.items():
            self._told.setdefault(endpoint, EndpointWork()).add(work)
            self._told_by[endpoint] += 1

    def forget_peer(self, instance: str) -> None:
        """Drop the work of a peer that has ended."""
        peer = self._peers.pop(instance, None)
        if peer is None:
            return
        for endpoint, work in peer.by_endpoint.items():
            self._told[endpoint].add(work, -1)
            self._told_by[endpoint] -= 1
            if not self._told_by[endpoint]:
                # Rounding must not leave a trace of seconds behind.
                self._told.pop(endpoint)
                self._told_by.pop(endpoint)

    def sum_at(self, endpoint: str, now: float) -> EndpointWork:
        """Sum what all instances have in flight at an endpoint."""
        if now >= self._silent_from:
            self._forget_silent(now)
        total = EndpointWork()
        for works in (self.own, self._told):
            work = works.get(endpoint)
            if work is not None:
                total.add(work)
        return total

    def sum_without(
        self,
        instances: Iterable[str],
        now: float,
    ) -> dict[str, EndpointWork]:
        """Sum what is in flight by endpoint, but for that of some peers."""
        names = self.own.keys() | self._told.keys()
        sums = {name: self.sum_at(name, now) for name in names}
        for instance in instances:
            peer = self._peers.get(instance)
            for name, work in peer.by_endpoint.items() if peer else ():
                sums[name].add(work, -1)
        return {name: work for name, work in sums.items() if not work.idle}

    def _note_change(self) -> None:
        self.changes += 1
        self.on_change()

    def _forget_silent(self, now: float) -> None:
        """Drop the work of peers that have been silent for too long."""
        silent = [
            name
            for name, peer in self._peers.items()
            if now - peer.heard_at >= FORGET_AFTER
        ]
        for name in silent:
            self.forget_peer(name)
        oldest = min(
            (peer.heard_at for peer in self._peers.values()),
            default=math.inf,
        )
        self._silent_from = oldest + FORGET_AFTER
