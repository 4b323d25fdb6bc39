"""Direct connections of this instance to endpoints, as they succeed and fail.

A connection that fails shows that the endpoint is down or that this instance is
cut off from it.  A peer that connects to the endpoint meanwhile decides: then
the path of this instance is lost, and nothing is known against the endpoint.

Connections may also be made and bring no answer.  That happens at endpoints
that fail; where it happens at several and none answers meanwhile, the paths
count as mute until a probe is answered.
"""

import math

import attrs

__all__ = ['DirectPaths', 'PathChange', 'UnreachableAddresses']

#: Addresses that must have failed since the last direct connection before this
#: is an outage of the instance, or of all endpoints, and not of one.
_OUTAGE_ADDRESSES = 2
#: Seconds after which a failure, and a peer's connection, are forgotten.
_EVIDENCE_SECONDS = 2.0
#: Seconds for which paths count as mute without a further call that shows it:
#: longer than it takes to find that a probe brought no answer.
_MUTE_SECONDS = 5.0
#: Seconds between two probes of mute paths.
_PROBE_PERIOD = 0.5
#: Seconds after an answer for which a call without one shows a fault of its
#: endpoint, not of the path.
_ANSWERED_SECONDS = 0.2
#: Seconds for which an answer through a peer shows that peers are heard where
#: this instance is not.
_HELPED_SECONDS = 2.0
#: Seconds after a failure during which calls avoid an address.
_AVOIDED_SECONDS = 1.0
#: Seconds between two calls that try addresses of a service none of which could
#: be connected to.
_TRIAL_PERIOD = 0.5


@attrs.define
class UnreachableAddresses:
    """Addresses to which neither this instance nor a peer could connect.

    While one is unreachable, calls go to others.  While all of a service are,
    one call in each period tries again, and the others can be refused at once.
    """

    #: Monotonic time of the last failure at each, and of the latest of all.
    _failed_at: dict[str, float] = attrs.field(factory=dict)
    _latest_at: float = -math.inf
    #: Monotonic time of the last trial of each service.
    _tried_at: dict[str, float] = attrs.field(factory=dict)

    def record_failed(self, address: str, now: float) -> None:
        """Record that nobody could connect to an address."""
        if not self.is_current(now):
            self._failed_at.clear()
        self._failed_at[address] = now
        self._latest_at = now

    def record_connected(self, address: str) -> None:
        """Record a connection, by this instance or by a peer.

        If it is the first after failures, the others may work again too.
        """
        if address in self._failed_at:
            self._failed_at.clear()
            self._tried_at.clear()

    def is_current(self, now: float) -> bool:
        """Return whether anything has failed lately."""
        return now - self._latest_at < _EVIDENCE_SECONDS

    def includes(self, address: str, now: float) -> bool:
        """Return whether no connection was made since a failure."""
        return self.is_current(now) and address in self._failed_at

    def is_avoided(self, address: str, now: float) -> bool:
        """Return whether calls avoid an address while there are others."""
        avoided_until = self.find_failure(address) + _AVOIDED_SECONDS
        return self.includes(address, now) and now < avoided_until

    def find_failure(self, address: str) -> float:
        """Return the monotonic time of the last failure at an address."""
        return self._failed_at.get(address, -math.inf)

    def take_trial(self, service: str, now: float) -> bool:
        """Permit a call to try unreachable addresses, one in each period."""
        if now - self._tried_at.get(service, -math.inf) < _TRIAL_PERIOD:
            return False
        self._tried_at[service] = now
        return True


@attrs.frozen
class PathChange:
    """The begin or the end of an outage of direct connections.

    Attributes
    ----------
    begins
        Whether it begins or ends.
    failing
        Number of addresses that fail.
    connected_age
        Seconds since a connection was made before; infinite for never.
    """

    begins: bool
    failing: int
    connected_age: float


@attrs.define
class DirectPaths:
    """Outcomes of the direct connections of this instance, by address.

    Attributes
    ----------
    in_outage
        Whether several addresses failed and none was connected to since.
    unreachable
        Addresses to which peers can't connect either.
    """

    in_outage: bool = False
    unreachable: UnreachableAddresses = attrs.field(
        factory=UnreachableAddresses
    )
    _connected_at: float = -math.inf
    #: Monotonic time of the last failure at each address to which none has
    #: been made since, and of the last connection of a peer to it.
    _failed: dict[str, float] = attrs.field(factory=dict)
    _tunneled: dict[str, float] = attrs.field(factory=dict)
    #: Monotonic time of the last call without an answer at each address, since
    #: the last answer from any.
    _unanswered: dict[str, float] = attrs.field(factory=dict)
    #: Whether such calls have shown that the paths are mute, and until when
    #: that counts without a further one.
    _muted: bool = False
    _muted_until: float = -math.inf
    _probed_at: float = -math.inf
    _answered_at: float = -math.inf
    _helped_at: float = -math.inf

    def record_connected(self, address: str, now: float) -> PathChange | None:
        """Record a direct connection; return whether it ends an outage."""
        age = now - self._connected_at
        self._connected_at = now
        self._failed.pop(address, None)
        self._tunneled.pop(address, None)
        self.unreachable.record_connected(address)
        if not self.in_outage:
            return None
        self.in_outage = False
        return PathChange(False, len(self._failed), age)

    def record_failed(self, address: str, now: float) -> PathChange | None:
        """Record that none was made; return whether an outage begins."""
        self._forget_old(now)
        self._failed[address] = now
        since = sum(at > self._connected_at for at in self._failed.values())
        if self.in_outage or since < _OUTAGE_ADDRESSES:
            return None
        self.in_outage = True
        return PathChange(True, since, now - self._connected_at)

    def record_tunneled(self, address: str, now: float) -> None:
        """Record that a peer connected to an address for this instance."""
        self._tunneled[address] = now
        self.unreachable.record_connected(address)

    def record_answered(self, now: float) -> bool:
        """Record an answer on a direct connection.

        Returns
        -------
        bool
            Whether the paths were mute until now.
        """
        was_mute = self.is_mute(now)
        self._answered_at = now
        self._unanswered.clear()
        self._muted = False
        return was_mute

    def answered_lately(self, now: float) -> bool:
        """Return whether direct connections have just brought an answer."""
        return now - self._answered_at < _ANSWERED_SECONDS

    def record_unanswered(self, address: str, now: float) -> bool:
        """Record a call on a direct connection that brought no answer.

        Returns
        -------
        bool
            Whether the paths count as mute from now on.
        """
        was_mute = self.is_mute(now)
        self._unanswered = _select_after(
            self._unanswered, now - _EVIDENCE_SECONDS
        )
        self._unanswered[address] = now
        self._muted = was_mute or len(self._unanswered) >= _OUTAGE_ADDRESSES
        self._muted_until = now + _MUTE_SECONDS
        return self._muted and not was_mute

    def is_mute(self, now: float) -> bool:
        """Return whether direct connections are made but bring no answers."""
        return self._muted and now < self._muted_until

    def record_helped(self, now: float) -> None:
        """Record an answer on a connection through a peer."""
        self._helped_at = now

    def is_helped(self, now: float) -> bool:
        """Return whether peers have brought answers lately.

        Without that, endpoints may be silent for everybody.
        """
        return now - self._helped_at < _HELPED_SECONDS

    def take_probe(self, now: float) -> bool:
        """Permit a call to probe mute paths, one in each period."""
        if now - self._probed_at < _PROBE_PERIOD:
            return False
        self._probed_at = now
        return True

    def is_lost(self, address: str, now: float) -> bool:
        """Return whether only peers connect to an address at present."""
        oldest = now - _EVIDENCE_SECONDS
        failed_at = self._failed.get(address, -math.inf)
        tunneled_at = self._tunneled.get(address, -math.inf)
        return min(failed_at, tunneled_at) > oldest

    def is_doubtful(self, address: str, now: float) -> bool:
        """Return whether a direct connection to an address will likely fail."""
        return self.in_outage or self.is_lost(address, now)

    def count_lost(self, now: float) -> int:
        """Count the addresses that this instance can't use by itself."""
        self._forget_old(now)
        if self.in_outage:
            return max(1, len(self._failed))
        lost = self._failed.keys() & self._tunneled.keys()
        mute = max(1, len(self._unanswered)) if self.is_mute(now) else 0
        return len(lost) + mute

    def describe(self, now: float) -> dict[str, object]:
        """Describe the outcomes for operators, with ages in seconds."""
        age = now - self._connected_at
        return {
            'connected_age': age if math.isfinite(age) else None,
            'failing': {name: now - at for name, at in self._failed.items()},
            'lost': self.count_lost(now),
            'in_outage': self.in_outage,
            'mute': self.is_mute(now),
        }

    def _forget_old(self, now: float) -> None:
        oldest = now - _EVIDENCE_SECONDS
        self._failed = _select_after(self._failed, oldest)
        self._tunneled = _select_after(self._tunneled, oldest)
        self._unanswered = _select_after(self._unanswered, oldest)


def _select_after(times: dict[str, float], oldest: float) -> dict[str, float]:
    return {name: at for name, at in times.items() if at > oldest}
