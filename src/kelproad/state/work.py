"""Work in flight at endpoints, of this instance and of its peers.

Reports of engines lag by hundreds of milliseconds, in which many calls arrive;
the instances' reports to each other of the work that they sent are newer.
"""

import collections
import math
from collections.abc import Callable, Collection, Iterable

import attrs

__all__ = ['EndpointWork', 'PeerWork', 'WorkLedger']

#: Seconds without a report after which the work of a peer is removed: its
#: process has exited, and endpoints drop calls whose connection closes.  Peers
#: report at least every 0.25 s while they have work.
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
        Predicted seconds of prompts, or parts of prompts, yet to be prefilled.
    helping
        Prompts of which it prefills a part for another engine.
    patient_calls
        Calls among them whose streams tolerate long gaps, mostly those of long
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
    def gap_sensitive_calls(self) -> int:
        """Number of calls with gap-sensitive streams."""
        return self.calls - self.patient_calls

    def add(self, other: 'EndpointWork', sign: int = 1) -> None:
        """Add the work of another record, or subtract it with sign -1."""
        self.calls += sign * other.calls
        self.context_tokens += sign * other.context_tokens
        self.prefill_seconds += sign * other.prefill_seconds
        self.helping += sign * other.helping
        self.patient_calls += sign * other.patient_calls


@attrs.frozen
class PeerWork:
    """The last report of a peer, and the monotonic time of receipt."""

    by_endpoint: dict[str, EndpointWork]
    received_at: float


def _ignore() -> None:
    """Ignore a change."""


class WorkLedger:
    """Work in flight by endpoint, local and reported by peers.

    Sums over the peers are updated with each report, so that a look-up takes
    as long with hundreds of peers as with one.
    """

    def __init__(self) -> None:
        """Start with nothing in flight."""
        self.local: dict[str, EndpointWork] = {}
        self._peers: dict[str, PeerWork] = {}
        #: Work of all peers, summed by endpoint, and their number.
        self._peer_sums: dict[str, EndpointWork] = {}
        self._peer_counts: collections.Counter[str] = collections.Counter()
        #: No peer reaches the silence timeout before this time.
        self._next_expiry = math.inf
        #: Number of changes of the local work.
        self.changes = 0
        #: Called at each of these changes.
        self.on_change: Callable[[], None] = _ignore

    def begin(self, endpoint: str, work: EndpointWork) -> None:
        """Record work that is about to be sent."""
        self.local.setdefault(endpoint, EndpointWork()).add(work)
        self._notify_change()

    def end(self, endpoint: str, work: EndpointWork) -> None:
        """Remove work that is complete or abandoned."""
        held = self.local[endpoint]
        held.add(work, -1)
        if held.idle:
            # Otherwise rounding errors of the seconds would remain.
            self.local.pop(endpoint)
        self._notify_change()

    def count_local(self, endpoints: Collection[str]) -> int:
        """Count this instance's calls in flight at the given endpoints."""
        return sum(
            work.calls
            for endpoint, work in self.local.items()
            if endpoint in endpoints
        )

    def accept_peer(
        self,
        instance: str,
        by_endpoint: dict[str, EndpointWork],
        now: float,
    ) -> None:
        """Replace the work of a peer by that of its latest report."""
        known = self._peers.get(instance)
        if known is not None and known.by_endpoint == by_endpoint:
            self._peers[instance] = PeerWork(by_endpoint, now)
            return
        self.forget_peer(instance)
        if not by_endpoint:
            return
        self._peers[instance] = PeerWork(by_endpoint, now)
        self._next_expiry = min(self._next_expiry, now + FORGET_AFTER)
        for endpoint, work in by_endpoint.items():
            self._peer_sums.setdefault(endpoint, EndpointWork()).add(work)
            self._peer_counts[endpoint] += 1

    def forget_peer(self, instance: str) -> None:
        """Remove the work of a peer that has exited."""
        peer = self._peers.pop(instance, None)
        if peer is None:
            return
        for endpoint, work in peer.by_endpoint.items():
            self._peer_sums[endpoint].add(work, -1)
            self._peer_counts[endpoint] -= 1
            if not self._peer_counts[endpoint]:
                # Otherwise rounding errors of the seconds would remain.
                self._peer_sums.pop(endpoint)
                self._peer_counts.pop(endpoint)

    def sum_at(self, endpoint: str, now: float) -> EndpointWork:
        """Sum the work that all instances have in flight at an endpoint."""
        if now >= self._next_expiry:
            self._remove_silent(now)
        total = EndpointWork()
        for works in (self.local, self._peer_sums):
            work = works.get(endpoint)
            if work is not None:
                total.add(work)
        return total

    def count_peer_calls(self) -> int:
        """Count the calls that peers report to have in flight."""
        return sum(work.calls for work in self._peer_sums.values())

    def sum_excluding(
        self,
        instances: Iterable[str],
        now: float,
    ) -> dict[str, EndpointWork]:
        """Sum the work in flight by endpoint, without that of some peers."""
        names = self.local.keys() | self._peer_sums.keys()
        sums = {name: self.sum_at(name, now) for name in names}
        for instance in instances:
            peer = self._peers.get(instance)
            for name, work in peer.by_endpoint.items() if peer else ():
                sums[name].add(work, -1)
        return {name: work for name, work in sums.items() if not work.idle}

    def _notify_change(self) -> None:
        self.changes += 1
        self.on_change()

    def _remove_silent(self, now: float) -> None:
        """Remove the work of peers that reached the silence timeout."""
        silent = [
            name
            for name, peer in self._peers.items()
            if now - peer.received_at >= FORGET_AFTER
        ]
        for name in silent:
            self.forget_peer(name)
        oldest = min(
            (peer.received_at for peer in self._peers.values()),
            default=math.inf,
        )
        self._next_expiry = oldest + FORGET_AFTER
