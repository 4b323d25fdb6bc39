"""Addresses to which neither this instance nor a peer could connect.

While one is unreachable, calls go to others.  While all of a service are, one
call in each period tries again, and the others can be refused at once.
"""

import math

import attrs

__all__ = ['UnreachableAddresses']

#: Seconds after the latest failure at any address from which nothing is known.
_EVIDENCE_SECONDS = 2.0
#: Seconds after a failure during which calls avoid an address.
_AVOIDED_SECONDS = 1.0
#: Seconds between two calls that try addresses of a service none of which could
#: be connected to.
_TRIAL_PERIOD = 0.5


@attrs.define
class UnreachableAddresses:
    """Addresses that failed, and the calls that tried them again."""

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
