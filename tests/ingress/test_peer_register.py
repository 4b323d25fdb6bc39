"""Peers as they report, are silent and start anew."""

import pytest

from kelproad.coordination.ingress.membership.peers import PeerRegister
from kelproad.coordination.ingress.membership.reachability import (
    ZoneReachability,
)
from kelproad.coordination.ingress.membership.updates import PeerUpdate
from kelproad.coordination.ingress.settings import NodeSettings
from kelproad.transport.addresses import Address

PEER = '10.0.0.2'


@pytest.fixture
def greeted() -> list[str]:
    """Create a list of the peers that are told what is known."""
    return []


@pytest.fixture
def peers(greeted: list[str]) -> PeerRegister:
    """Create the register of an instance that knows no peer."""
    settings = NodeSettings(
        instance='here',
        zone='a',
        ip='10.0.0.1',
        caller_address=Address('10.0.0.1', 1),
        ready_address=Address('10.0.0.1', 2),
        peer_port=7340,
        store_address=Address('10.0.0.9', 3),
    )
    register = PeerRegister(settings, ZoneReachability())
    register.on_heard.append(greeted.append)
    return register


def hear(
    peers: PeerRegister, now: float, sequence: int, started_at: int = 1
) -> None:
    """Receive a report of the peer."""
    peers.accept(
        PeerUpdate('there', PEER, 'a', started_at, sequence, False, 0, []), now
    )


def test_a_peer_that_starts_anew_is_told_what_is_known(
    peers: PeerRegister, greeted: list[str]
) -> None:
    """Guards against an instance that restarts at once and knows nothing."""
    hear(peers, 10.0, 1)
    hear(peers, 10.5, 2)
    assert greeted == [PEER]
    hear(peers, 11.0, 1, started_at=2)
    hear(peers, 11.5, 2, started_at=2)
    assert greeted == [PEER, PEER]
    hear(peers, 11.6, 3, started_at=1)
    assert greeted == [PEER, PEER]
    hear(peers, 20.0, 3, started_at=2)
    assert greeted == [PEER, PEER, PEER]
