"""Choice of the peers that are asked for tunnels."""

import random
from collections.abc import Callable

import attrs

from ....transport.addresses import Address
from ..membership.peers import Peer, PeerRegister
from ..settings import NodeSettings

__all__ = ['TunnelPeer', 'TunnelPeers']

#: Seconds for which a peer that opened no tunnel is asked last.
_FAILED_SECONDS = 1.0


@attrs.frozen
class TunnelPeer:
    """An instance that may open tunnels, and where it accepts requests."""

    instance: str
    address: Address


class TunnelPeers:
    """The live peers, those first that will probably open a tunnel."""

    def __init__(
        self,
        settings: NodeSettings,
        peers: PeerRegister,
        generator: random.Random,
    ) -> None:
        """Choose among the peers of an instance."""
        self._settings = settings
        self._peers = peers
        self._generator = generator
        self._failed_at: dict[str, float] = {}

    def choose(
        self, now: float, permits_zone: Callable[[str], bool]
    ) -> list[TunnelPeer]:
        """List the live peers of permitted zones, the best first.

        Peers that connect to all endpoints come before others, those of the
        own zone before those of other zones, and equal ones in random order.
        """
        live = [
            (name, peer)
            for name, peer in self._peers.iterate_live(now)
            if permits_zone(peer.zone)
        ]
        self._generator.shuffle(live)
        live.sort(key=lambda item: self._rank(*item, now))
        return [
            TunnelPeer(
                name, Address(peer.address.host, self._settings.tunnel_port)
            )
            for name, peer in live
        ]

    def record_failure(self, instance: str, now: float) -> None:
        """Record that a peer opened no tunnel."""
        self._failed_at = {
            name: at
            for name, at in self._failed_at.items()
            if now - at < _FAILED_SECONDS
        }
        self._failed_at[instance] = now

    def _rank(
        self, name: str, peer: Peer, now: float
    ) -> tuple[bool, int, bool]:
        failed_at = self._failed_at.get(name)
        failed = failed_at is not None and now - failed_at < _FAILED_SECONDS
        return (failed, peer.lost_paths, peer.zone != self._settings.zone)
