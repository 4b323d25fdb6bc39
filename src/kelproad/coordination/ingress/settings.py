"""Settings of an instance that serves the routed interface."""

from collections.abc import Mapping

import attrs

from ...transport.addresses import Address

__all__ = ['Bounds', 'NodeSettings']


@attrs.frozen
class Bounds:
    """Limits that operators set for the instances, times in seconds.

    Attributes
    ----------
    stop_grace
        Time between the stop request (SIGTERM) and the kill.
    leave_endpoint
        Time after which a leaving endpoint must get no more calls.
    apply_configuration
        Time after which an accepted configuration must be in force.
    revoke_key
        Time after which a revoked key must not work at any instance.
    retry_ratio, retry_slack
        Retries permitted per call, and their number permitted beyond that, of
        all instances together.
    longest_reservation
        Longest time for which memory may be reserved at an engine.
    free_reservation
        Time after its last use in which reserved memory must be free.
    """

    stop_grace: float = 8.0
    leave_endpoint: float = 2.0
    apply_configuration: float = 2.0
    revoke_key: float = 5.0
    retry_ratio: float = 0.2
    retry_slack: float = 100.0
    longest_reservation: float = 20.0
    free_reservation: float = 4.0


@attrs.frozen
class NodeSettings:
    """Settings of one instance.

    Attributes
    ----------
    ready_address
        Where the platform's balancer checks whether the instance is ready.
    peer_port
        Port at which instances receive each other's datagrams of work (UDP),
        and serve tables to each other (HTTP).  The next port is for queries.
    store_address
        Address of the platform's store.
    seed_hosts
        IP numbers of a few instances, which may be stale or down.
    memory_bytes
        Memory of the instance, 0 when it is not stated.
    descriptors
        Most files and connections that it may have open, 0 when not stated.
    regions
        Region of each zone that the platform lists.
    """

    instance: str
    zone: str
    ip: str
    caller_address: Address
    ready_address: Address
    peer_port: int
    store_address: Address
    seed_hosts: tuple[str, ...] = ()
    bounds: Bounds = attrs.field(factory=Bounds)
    memory_bytes: float = 0
    descriptors: float = 0
    regions: Mapping[str, str] = attrs.field(factory=dict)

    def find_region(self, zone: str) -> str:
        """Return the region of a zone; empty for one that is not listed."""
        return self.regions.get(zone, '')

    @property
    def query_port(self) -> int:
        """UDP port at which instances receive each other's queries."""
        return self.peer_port + 1

    @property
    def tunnel_port(self) -> int:
        """TCP port at which instances ask each other for tunnels."""
        return self.peer_port + 1
