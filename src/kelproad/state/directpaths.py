"""Outcomes of the direct connections of this instance to endpoints."""

import math

import attrs

__all__ = ['DirectPaths']

#: Endpoints that must have failed since the last direct connection before this
#: is an outage of the instance, or of all of them, and not of one endpoint.
_OUTAGE_ENDPOINTS = 2
#: Seconds after which a failure is forgotten.
_FAILURE_SECONDS = 30.0


@attrs.define
class DirectPaths:
    """Outcomes of the direct connections of this instance, by address.

    Attributes
    ----------
    connected_at
        Monotonic time of the last connection that was made, to any endpoint.
    failed
        Monotonic time of the last failure at each address to which none has
        been made since.
    in_outage
        Whether several addresses failed and none was connected to since.
    """

    connected_at: float = -math.inf
    failed: dict[str, float] = attrs.field(factory=dict)
    in_outage: bool = False

    def record_connected(self, address: str, now: float) -> bool:
        """Record a connection; return whether it ends an outage."""
        self.connected_at = now
        self.failed.pop(address, None)
        ended = self.in_outage
        self.in_outage = False
        return ended

    def record_failed(self, address: str, now: float) -> bool:
        """Record that none was made; return whether an outage begins."""
        self.failed[address] = now
        self.failed = {
            name: at
            for name, at in self.failed.items()
            if now - at < _FAILURE_SECONDS
        }
        since = sum(at > self.connected_at for at in self.failed.values())
        if self.in_outage or since < _OUTAGE_ENDPOINTS:
            return False
        self.in_outage = True
        return True

    def describe(self, now: float) -> dict[str, object]:
        """Describe the outcomes for operators, with ages in seconds."""
        age = now - self.connected_at
        return {
            'connected_age': age if math.isfinite(age) else None,
            'failing': {name: now - at for name, at in self.failed.items()},
            'in_outage': self.in_outage,
        }
